package http1

import "testing"

// A response consists of the status line, Content-Length, the fields of the caller, Connection: close unless kept alive, and
// the body.
func TestAppendResponse(t *testing.T) {
	for _, test := range []struct {
		statusCode int
		fields     string
		body       string
		keepAlive  bool
		want       string
	}{
		{200, "", "ready\n", true, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n"},
		{503, "Retry-After: 1.000\r\n", "", false, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1.000\r\nConnection: close\r\n\r\n"},
		{204, "", "ignored", true, "HTTP/1.1 204 No Content\r\n\r\n"},
		{418, "", "", true, "HTTP/1.1 418 \r\nContent-Length: 0\r\n\r\n"},
	} {
		if got := string(AppendResponse([]byte("x"), test.statusCode, test.fields, []byte(test.body), test.keepAlive)); got != "x"+test.want {
			t.Errorf("status %d: %q, expected %q", test.statusCode, got, "x"+test.want)
		}
	}
}

func TestAppendRequest(t *testing.T) {
	got := string(AppendRequestStart(nil, "GET", "/alive", "10.0.0.1:80"))
	if want := "GET /alive HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"; got != want {
		t.Errorf("%q, expected %q", got, want)
	}
	got = string(AppendField(AppendField(nil, "Empty", ""), "Name", "value"))
	if want := "Name: value\r\n"; got != want {
		t.Errorf("%q, expected %q", got, want)
	}
}
