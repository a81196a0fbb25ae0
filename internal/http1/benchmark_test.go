package http1

import "testing"

// BenchmarkParseRequest and the other benchmarks of this file show whether parsing and writing allocate after the buffers have
// grown.
func BenchmarkParseRequest(b *testing.B) {
	input := []byte("POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Call-Id: q1\r\nX-Call-Class: a\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nhello")
	var request Request
	b.ReportAllocs()
	for b.Loop() {
		if _, err := request.Parse(input); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParseChunkedRequest(b *testing.B) {
	input := []byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	var request Request
	b.ReportAllocs()
	for b.Loop() {
		if _, err := request.Parse(input); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParseResponse(b *testing.B) {
	input := []byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	var response Response
	b.ReportAllocs()
	for b.Loop() {
		if _, err := response.Parse(input, false); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAppendResponse(b *testing.B) {
	var buffer []byte
	b.ReportAllocs()
	for b.Loop() {
		buffer = AppendResponse(buffer[:0], 503, "Retry-After: 1.000\r\n", nil, false)
	}
}
