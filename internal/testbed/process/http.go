package process

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

const (
	maxHeader = 64 << 10 // bytes, of a message's start line and header
	maxBody   = 1 << 20  // bytes
)

// reader parses HTTP messages from received bytes with net/http's parser. That is another implementation than the
// schedulers' own, so that a message which only theirs can read is detected.
type reader struct {
	src bytes.Reader
	buf *bufio.Reader
}

func newReader() *reader { return &reader{buf: bufio.NewReader(nil)} }

var (
	errHeaderTooLarge = errors.New("header too large")
	errBodyTooLarge   = errors.New("body too large")
	errTwoLengths     = errors.New("both Content-Length and Transfer-Encoding")
)

var headerEnd = []byte("\r\n\r\n")

// request parses the request at the start of b, and returns its length n, which is 0 while the request is incomplete.
func (r *reader) request(b []byte) (q *http.Request, body []byte, n int, err error) {
	headerLen, err := headerLength(b)
	if headerLen == 0 || err != nil {
		return nil, nil, 0, err
	}
	r.load(b)
	if q, err = http.ReadRequest(r.buf); err != nil {
		return nil, nil, 0, err
	}
	if q.TransferEncoding != nil && bytes.Contains(bytes.ToLower(b[:headerLen]), []byte("\ncontent-length:")) {
		return nil, nil, 0, errTwoLengths // net/http would ignore one of them
	}
	body, n, err = r.body(b, headerLen, q.ContentLength, q.Body, false)
	return q, body, n, err
}

// response parses the response at the start of b and skips interim responses before it. n is their length together, or 0
// while the response is incomplete. ended says that the connection has ended, which is the end of some responses.
func (r *reader) response(b []byte, ended bool) (a *http.Response, body []byte, n int, err error) {
	for offset := 0; ; {
		headerLen, err := headerLength(b[offset:])
		if headerLen == 0 || err != nil {
			return nil, nil, 0, err
		}
		r.load(b[offset:])
		response, err := http.ReadResponse(r.buf, nil)
		if err != nil {
			return nil, nil, 0, err
		}
		if response.StatusCode < 200 {
			offset += headerLen
			continue
		}
		if response.ContentLength < 0 && response.TransferEncoding == nil && !ended {
			return nil, nil, 0, nil
		}
		body, n, err := r.body(b[offset:], headerLen, response.ContentLength, response.Body, ended)
		if n > 0 {
			n += offset
		}
		return response, body, n, err
	}
}

// headerLength returns the length of the start line and header at the start of b, or 0 while they are incomplete.
func headerLength(b []byte) (int, error) {
	end := bytes.Index(b[:min(len(b), maxHeader)], headerEnd)
	switch {
	case end >= 0:
		return end + len(headerEnd), nil
	case len(b) >= maxHeader:
		return 0, errHeaderTooLarge
	}
	return 0, nil
}

func (r *reader) load(b []byte) {
	r.src.Reset(b)
	r.buf.Reset(&r.src)
}

// body reads the body of the message whose header was just parsed, if it is complete. length is the Content-Length, or
// below 0 if the body is chunked or extends to the end of the connection.
func (r *reader) body(b []byte, headerLen int, length int64, from io.Reader, ended bool) (body []byte, n int, err error) {
	switch {
	case length > maxBody:
		return nil, 0, errBodyTooLarge
	case length >= 0 && int64(len(b)-headerLen) < length:
		return nil, 0, nil
	case length >= 0:
		n = headerLen + int(length)
		return b[headerLen:n], n, nil
	}
	body, err = io.ReadAll(io.LimitReader(from, maxBody+1))
	switch {
	case len(body) > maxBody:
		return nil, 0, errBodyTooLarge
	case err != nil && !ended && strings.Contains(err.Error(), io.ErrUnexpectedEOF.Error()):
		return nil, 0, nil // incomplete; the trailer's error only has the text of io.ErrUnexpectedEOF
	case err != nil:
		return nil, 0, err
	}
	return body, len(b) - r.src.Len() - r.buf.Buffered(), nil
}

// singleValue returns the value of a header field, empty if it is missing. ok is false if the field occurs more than once.
func singleValue(h http.Header, name string) (value string, ok bool) {
	list := h[name]
	if len(list) == 0 {
		return "", true
	}
	return list[0], len(list) == 1
}
