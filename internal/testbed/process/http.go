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
	maxHeader = 64 << 10
	maxBody   = 1 << 20
)

// reader takes HTTP messages from bytes at hand by net/http's parser: another implementation than the schedulers' own,
// so that what only theirs understands is found out.
type reader struct {
	src bytes.Reader
	buf *bufio.Reader
}

func newReader() *reader { return &reader{buf: bufio.NewReader(nil)} }

var (
	errHeaderTooLarge = errors.New("head too large")
	errBodyTooLarge   = errors.New("body too large")
	errTwoLengths     = errors.New("both Content-Length and Transfer-Encoding")
)

var headerEnd = []byte("\r\n\r\n")

// request reads one request from the start of b, n bytes long; n is 0 while it is not whole.
func (r *reader) request(b []byte) (q *http.Request, body []byte, n int, err error) {
	first, err := headerLength(b)
	if first == 0 || err != nil {
		return nil, nil, 0, err
	}
	r.load(b)
	if q, err = http.ReadRequest(r.buf); err != nil {
		return nil, nil, 0, err
	}
	if q.TransferEncoding != nil && bytes.Contains(bytes.ToLower(b[:first]), []byte("\ncontent-length:")) {
		return nil, nil, 0, errTwoLengths // net/http picks one
	}
	body, n, err = r.body(b, first, q.ContentLength, q.Body, false)
	return q, body, n, err
}

// response reads one answer to a POST from the start of b; interim ones are passed over. ended tells that nothing more
// will come: some answers end only with their connection.
func (r *reader) response(b []byte, ended bool) (a *http.Response, body []byte, n int, err error) {
	for offset := 0; ; {
		first, err := headerLength(b[offset:])
		if first == 0 || err != nil {
			return nil, nil, 0, err
		}
		r.load(b[offset:])
		response, err := http.ReadResponse(r.buf, nil)
		if err != nil {
			return nil, nil, 0, err
		}
		if response.StatusCode < 200 {
			offset += first
			continue
		}
		if response.ContentLength < 0 && response.TransferEncoding == nil && !ended {
			return nil, nil, 0, nil
		}
		body, n, err := r.body(b[offset:], first, response.ContentLength, response.Body, ended)
		if n > 0 {
			n += offset
		}
		return response, body, n, err
	}
}

// headerLength tells how long the head at the start of b is; 0 while it is not whole.
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

// body takes the body of the message just read, if it is whole. length below 0: it has none, or is in chunks.
func (r *reader) body(b []byte, first int, length int64, from io.Reader, ended bool) (body []byte, n int, err error) {
	switch {
	case length > maxBody:
		return nil, 0, errBodyTooLarge
	case length >= 0 && int64(len(b)-first) < length:
		return nil, 0, nil
	case length >= 0:
		n = first + int(length)
		return b[first:n], n, nil
	}
	body, err = io.ReadAll(io.LimitReader(from, maxBody+1))
	switch {
	case len(body) > maxBody:
		return nil, 0, errBodyTooLarge
	case err != nil && !ended && strings.Contains(err.Error(), io.ErrUnexpectedEOF.Error()):
		return nil, 0, nil // in a chunk, or in the trailer, which has an error of its own
	case err != nil:
		return nil, 0, err
	}
	return body, len(b) - r.src.Len() - r.buf.Buffered(), nil
}

// singleValue gives the value of a header field, and whether it is given at most once.
func singleValue(h http.Header, name string) (value string, ok bool) {
	list := h[name]
	if len(list) == 0 {
		return "", true
	}
	return list[0], len(list) == 1
}
