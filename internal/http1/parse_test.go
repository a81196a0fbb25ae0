package http1

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// parser is the common interface of the parsers of requests and responses.
type parser interface {
	parse(input []byte) (size int, err error)
	message() *Message
	statusCode() int
}

type requestParser struct{ Request }

func (p *requestParser) parse(input []byte) (int, error) { return p.Parse(input) }
func (p *requestParser) message() *Message               { return &p.Message }
func (p *requestParser) statusCode() int                 { return 0 }

type responseParser struct{ Response }

func (p *responseParser) parse(input []byte) (int, error) { return p.Parse(input, false) }
func (p *responseParser) message() *Message               { return &p.Message }
func (p *responseParser) statusCode() int                 { return p.StatusCode }

func newParser(isRequest bool) parser {
	if isRequest {
		return &requestParser{}
	}
	return &responseParser{}
}

// A message that is received in parts is incomplete until its last byte, and then parsed as if it had been received at once. No
// input makes the parsers panic or consume more bytes than it has.
func FuzzParse(f *testing.F) {
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
	f.Fuzz(func(t *testing.T, input []byte, isRequest bool) {
		whole := newParser(isRequest)
		size, err := whole.parse(input)
		if size > len(input) || err == nil && size == 0 || len(whole.message().Body) > MaxBodySize {
			t.Fatalf("consumed %d of %d bytes, body of %d bytes, %v", size, len(input), len(whole.message().Body), err)
		}
		part := newParser(isRequest)
		for length := range input {
			checkPrefix(t, whole, part, input[:length], size, err)
		}
	})
}

// checkPrefix parses a prefix of an input, and compares the result with that of the complete input, which is size and err.
func checkPrefix(t *testing.T, whole, part parser, start []byte, size int, err error) {
	t.Helper()
	partSize, partErr := part.parse(start)
	switch {
	case err == nil && len(start) < size:
		if !errors.Is(partErr, ErrIncomplete) {
			t.Fatalf("%d of %d bytes: consumed %d, %v", len(start), size, partSize, partErr)
		}
	case err == nil:
		if partSize != size || !bytes.Equal(part.message().Body, whole.message().Body) || part.statusCode() != whole.statusCode() {
			t.Fatalf("more input changed the message: consumed %d bytes, then %d", size, partSize)
		}
	case errors.Is(err, ErrIncomplete) && !errors.Is(partErr, ErrIncomplete):
		t.Fatalf("the complete input is an incomplete message, a prefix of it returns %v", partErr)
	}
}

// Ambiguous framing, invalid syntax, and messages that exceed a limit are rejected with the given status code.
func TestInvalidRequestIsRejected(t *testing.T) {
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
		var request Request
		var parseError *ParseError
		if _, err := request.Parse([]byte(text)); !errors.As(err, &parseError) || parseError.StatusCode != want {
			t.Errorf("%.70q: %v, expected %d", text, err, want)
		}
	}
}

// Keywords of the protocol are compared with ASCII case folding only: the Kelvin sign must not match k, nor the long s match s,
// as they do with Unicode case folding.
func TestKeywordsAreFoldedInASCIIOnly(t *testing.T) {
	for text, want := range map[string]error{
		"POST / HTTP/1.1\r\nTransfer-Encoding: CHUNked\r\n\r\n0\r\n\r\n":      nil,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chun\u212aed\r\n\r\n0\r\n\r\n": &ParseError{StatusNotImplemented, "transfer coding not supported"},
	} {
		var request Request
		if _, err := request.Parse([]byte(text)); !reflect.DeepEqual(err, want) {
			t.Errorf("%q: %v, expected %v", text, err, want)
		}
	}
	for option, keepAlive := range map[string]bool{
		"close": false, "CLOSE": false, "clo\u017fe": true, "x, \tclose \t,y": false, "\u00a0close": true,
	} {
		if got := keepsAlive(t, "HTTP/1.1", option); got != keepAlive {
			t.Errorf("HTTP/1.1, %q: keep-alive is %v", option, got)
		}
	}
	for option, keepAlive := range map[string]bool{
		"keep-alive": true, "Keep-Alive": true, "\u212aeep-alive": false,
	} {
		if got := keepsAlive(t, "HTTP/1.0", option); got != keepAlive {
			t.Errorf("HTTP/1.0, %q: keep-alive is %v", option, got)
		}
	}
}

// keepsAlive returns KeepAlive of a request with a protocol version and a connection option.
func keepsAlive(t *testing.T, version, option string) bool {
	t.Helper()
	var request Request
	if _, err := request.Parse([]byte("GET / " + version + "\r\nConnection: " + option + "\r\n\r\n")); err != nil {
		t.Fatalf("%q: %v", option, err)
	}
	return request.KeepAlive
}

// ExpectContinue is known as soon as the header is complete, as the client sends the body only after the interim response.
func TestExpectContinueIsKnownBeforeBody(t *testing.T) {
	var request Request
	const header = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
	if _, err := request.Parse([]byte(header)); !errors.Is(err, ErrIncomplete) || !request.ExpectContinue {
		t.Errorf("header without body: %v, ExpectContinue is %v", err, request.ExpectContinue)
	}
	if _, err := request.Parse([]byte("POST / HTTP/1.1\r\n")); !errors.Is(err, ErrIncomplete) || request.ExpectContinue {
		t.Errorf("first line of the next request: %v, ExpectContinue is %v", err, request.ExpectContinue)
	}
}

// The body of a response without framing ends with the connection. A response with a status that excludes a body ends with its
// header.
func TestResponseBodyEnd(t *testing.T) {
	tests := []struct {
		name, text      string
		connectionEnded bool
		err             error
		body            string
		keepAlive       bool
	}{
		{name: "unframed, connection open", text: "HTTP/1.1 200 OK\r\n\r\nbo", err: ErrIncomplete},
		{name: "unframed, connection ended", text: "HTTP/1.1 200 OK\r\n\r\nbody", connectionEnded: true, body: "body"},
		{name: "no content", text: "HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n", keepAlive: true},
		{name: "not modified", text: "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", keepAlive: true},
		{name: "bare line feeds", text: "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", body: "ok", keepAlive: true},
		{name: "connection options", text: "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n"},
		{name: "version 1.0", text: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n", keepAlive: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var response Response
			_, err := response.Parse([]byte(test.text), test.connectionEnded)
			if !errors.Is(err, test.err) || string(response.Body) != test.body {
				t.Errorf("body %q, %v", response.Body, err)
			}
			if err == nil && response.KeepAlive != test.keepAlive {
				t.Errorf("keep-alive is %v", response.KeepAlive)
			}
		})
	}
}

// The framing of a response is known as soon as its header is complete. Until then the framing of the previous message must not
// be reported.
func TestFramingIsKnownBeforeBody(t *testing.T) {
	var response Response
	for _, step := range []struct {
		text                          string
		isChunked, endsWithConnection bool
	}{
		{"HTTP/1.1 200 OK\r\n\r\n", false, true},
		{"HTTP/1.1 200 OK\r\n", false, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n", true, false},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", false, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", false, false},
	} {
		_, err := response.Parse([]byte(step.text), false)
		if !errors.Is(err, ErrIncomplete) || response.IsChunked() != step.isChunked || response.IsCloseDelimited() != step.endsWithConnection {
			t.Errorf("%q: %v, chunked %v, ends with the connection %v", step.text, err, response.IsChunked(), response.IsCloseDelimited())
		}
	}
}

// The framing of a chunked body is bounded, as a peer could otherwise make the message grow without limit by chunks of one byte
// or by chunk extensions.
func TestChunkFramingIsBounded(t *testing.T) {
	var request Request
	const header, chunk = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;extension=value\r\nx\r\n"
	atBound := strings.Repeat(chunk, maxChunkedSize/len(chunk))
	if _, err := request.Parse([]byte(header + atBound)); !errors.Is(err, ErrIncomplete) {
		t.Errorf("%d bytes of chunks: %v, expected ErrIncomplete", len(atBound), err)
	}
	var parseError *ParseError
	if _, err := request.Parse([]byte(header + atBound + chunk)); !errors.As(err, &parseError) || parseError.StatusCode != StatusContentTooLarge {
		t.Errorf("%d bytes of chunks: %v, expected a ParseError with status 413", len(atBound)+len(chunk), err)
	}
}

// Get returns an empty value that is not nil for an empty field, and nil for a missing one.
func TestGetDistinguishesEmptyFromMissing(t *testing.T) {
	var request Request
	if _, err := request.Parse([]byte("GET / HTTP/1.1\r\nX-Empty: \r\nx-EMPTY: 2\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if value := request.Get("X-Empty"); value == nil || len(value) > 0 {
		t.Errorf("the empty field: %q, is nil: %v", value, value == nil)
	}
	if count := request.Count("X-Empty"); count != 2 {
		t.Errorf("%d fields, expected 2", count)
	}
	if value := request.Get("X-Missing"); value != nil {
		t.Errorf("the missing field: %q, expected nil", value)
	}
}

// Guards against the loss of messages whose sender pads numbers with zeros: a worker's callbacks in such chunks were answered 400.
func TestLengthsMayHaveLeadingZeros(t *testing.T) {
	const data = "0123456789"
	for _, zeros := range []int{0, 1, 6, 7, 14, 300} {
		padding := strings.Repeat("0", zeros)
		chunks := fmt.Sprintf("%sa\r\n%s\r\n%s0\r\n\r\n", padding, data, padding)
		for _, framed := range []string{
			"Transfer-Encoding: chunked\r\n\r\n" + chunks,
			"Content-Length: " + padding + "10\r\n\r\n" + data,
		} {
			var request Request
			if size, err := request.Parse([]byte("POST / HTTP/1.1\r\n" + framed)); err != nil || size != 17+len(framed) || string(request.Body) != data {
				t.Errorf("request, %d zeros: %d bytes, %q, %v", zeros, size, request.Body, err)
			}
			var response Response
			if _, err := response.Parse([]byte("HTTP/1.1 200 OK\r\n"+framed), false); err != nil || string(response.Body) != data {
				t.Errorf("response, %d zeros: %q, %v", zeros, response.Body, err)
			}
		}
	}
}

// Guards against a verdict that depends on how a message was cut: a long line between chunks was rejected only if it came in pieces.
func TestLongChunkLineInPieces(t *testing.T) {
	const header = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	message := header + "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n0\r\n\r\n"
	for size := len(header); size <= len(message); size++ {
		var request Request
		_, err := request.Parse([]byte(message[:size]))
		if size < len(message) && !errors.Is(err, ErrIncomplete) || size == len(message) && err != nil {
			t.Fatalf("%d of %d bytes: %v", size, len(message), err)
		}
	}
}
