package fleet

import (
	"strings"
	"testing"
)

// A message is not returned until it is complete, wherever it is cut.
func TestMessageReaderWaitsForTheWholeMessage(t *testing.T) {
	var m message
	var reader messageReader
	text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\nConnection: close\r\n\r\nabc"
	for n := range text {
		if got, err := reader.read([]byte(text[:n]), &m); got != 0 || err != nil {
			t.Fatalf("%d bytes: %d, %v", n, got, err)
		}
	}
	if n, err := reader.read([]byte(text+"more"), &m); n != len(text) || err != nil || string(m.body) != "abc" || !m.lastOnConn {
		t.Errorf("whole message: length %d, %v, parsed as %+v", n, err, m)
	}
}

func TestMessageReaderRejectsMalformedMessages(t *testing.T) {
	var m message
	var reader messageReader
	for _, bad := range []string{
		"GET\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"POST / HTTP/1.1\r\nno field\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", strings.Repeat("x", 17<<10),
	} {
		if n, err := reader.read([]byte(bad), &m); err == nil {
			t.Errorf("%.40q was accepted: %d", bad, n)
		}
	}
}
