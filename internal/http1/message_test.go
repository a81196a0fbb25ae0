package http1

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// A message cut anywhere is short until it is whole and then what it would have been in one piece; no bytes
// make the parsers panic or take more than there is.
func FuzzMessage(f *testing.F) {
	for _, text := range []string{
		"POST /a?x=1 HTTP/1.1\r\nContent-Length: 5\r\nX-Call-Id: q\r\n\r\nhelloGET /up HTTP/1.1\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailer: 1\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nConnection: close\r\n\r\nbody", "HTTP/1.1 204 \r\n\r\n", "\r\n\r\nGET", "\x00\xff",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "GET /\r\n\r\n",
	} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	f.Fuzz(func(t *testing.T, b []byte, request bool) {
		parse := func(m *Message, b []byte) (int, error) {
			if request {
				return m.ParseRequest(b)
			}
			return m.ParseResponse(b, false)
		}
		var whole, part Message
		n, err := parse(&whole, b)
		if n > len(b) || err == nil && n == 0 || len(whole.Body) > MaxBodySize {
			t.Fatalf("took %d of %d, body of %d, %v", n, len(b), len(whole.Body), err)
		}
		for i := range b {
			k, short := parse(&part, b[:i])
			switch {
			case err == nil && i < n && !errors.Is(short, ErrIncomplete):
				t.Fatalf("%d of %d bytes: %d, %v", i, n, k, short)
			case err == nil && i >= n && (k != n || !bytes.Equal(part.Body, whole.Body) || part.Status != whole.Status):
				t.Fatalf("more bytes changed the message: took %d, then %d", n, k)
			case errors.Is(err, ErrIncomplete) && !errors.Is(short, ErrIncomplete):
				t.Fatalf("short as a whole, %v in part", short)
			}
		}
	})
}

// Framing that two readers might read in two ways, or that costs too much, is refused and never guessed at.
func TestFramingRefused(t *testing.T) {
	for text, want := range map[string]int{
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n":                  400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n":                  400,
		"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n":                           400,
		"POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\n":                                               400,
		"POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\n":                                               400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                                 501,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000000\r\n":                           400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1ffff\r\n" + strings.Repeat("x", 1<<17): 413,
		"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n":                                            413,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", MaxHeaderSize):                                  431,
		"GET / HTTP/3.0\r\n\r\n": 505,
		"POST / HTTP/1.1\r\nContent-Length: 2\r\ntransfer-ENCODING:chunked\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: x\r\nContent-Length: 2\r\n\r\n":      501,
		"POST / HTTP/1.1\r\nTransfer-Encoding:\vchunked\r\n\r\n":                    400,
		"POST / HTTP/1.1\r\nX: y\r\n Transfer-Encoding: chunked\r\n\r\n":            400,
		"POST / HTTP/1.1\r\nX: y\nTransfer-Encoding: chunked\r\n\r\n":               400,
		"POST / HTTP/1.1\nContent-Length: 2\r\n\r\n":                                400,
		"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n":         400,
		"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n":                           400,
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                     400,
		"POST /\xff HTTP/1.1\r\n\r\n":                                               400,
		strings.Repeat("\r\n", 8):                                                   400,
	} {
		var m Message
		var bad *ParseError
		if _, err := m.ParseRequest([]byte(text)); !errors.As(err, &bad) || bad.StatusCode != want {
			t.Errorf("%.70q: %v, expected %d", text, err, want)
		}
	}
}
