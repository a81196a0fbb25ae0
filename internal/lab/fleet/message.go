package fleet

import (
	"bytes"
	"errors"
	"strconv"
)

// message is what the rig needs of a request or of an answer. Its parts lie in the bytes that it was read from.
type message struct {
	method, target []byte // of a request
	status         int    // of an answer
	call           []byte // X-Call-Id
	body           []byte
	last           bool // the connection ends with it
}

var (
	errNoMessage = errors.New("no HTTP message")
	errFraming   = errors.New("a message without a Content-Length") // nobody here sends any other
	headEnd      = []byte("\r\n\r\n")
	lineEnd      = []byte("\r\n")
)

// readMessage reads one message from the start of b, n bytes long; n is 0 while it is not whole. Interim answers are
// passed over.
func readMessage(b []byte, m *message) (n int, err error) {
	for {
		size, err := readOne(b[n:], m)
		if size == 0 || err != nil {
			return 0, err
		}
		if n += size; m.status == 0 || m.status >= 200 {
			return n, nil
		}
	}
}

func readOne(b []byte, m *message) (int, error) {
	*m = message{}
	head := bytes.Index(b, headEnd)
	if head < 0 {
		if len(b) > 16<<10 {
			return 0, errNoMessage
		}
		return 0, nil
	}
	line, fields, _ := bytes.Cut(b[:head+2], lineEnd)
	first, rest, ok := bytes.Cut(line, []byte(" "))
	second, _, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 {
		return 0, errNoMessage
	}
	size := -1
	if bytes.HasPrefix(first, []byte("HTTP/1.")) {
		if m.status = number(second); m.status < 100 || m.status > 999 {
			return 0, errNoMessage
		}
		if m.status < 200 || m.status == 204 || m.status == 304 {
			size = 0
		}
	} else if m.method, m.target = first, second; len(first) == 0 || len(second) == 0 {
		return 0, errNoMessage
	}
	sized := size == 0 // whatever it says
	for len(fields) > 0 {
		line, fields, _ = bytes.Cut(fields, lineEnd)
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return 0, errNoMessage
		}
		value = bytes.TrimSpace(value)
		switch {
		case is(name, "Content-Length") && !sized:
			if size = number(value); size < 0 {
				return 0, errNoMessage
			}
		case is(name, "X-Call-Id"):
			m.call = value
		case is(name, "Connection"):
			m.last = is(value, "close")
		case is(name, "Transfer-Encoding"):
			return 0, errFraming
		}
	}
	if size < 0 {
		if m.status != 0 {
			return 0, errFraming
		}
		size = 0
	}
	n := head + len(headEnd)
	if len(b) < n+size {
		if size > mostUnread {
			return 0, errLong
		}
		return 0, nil
	}
	m.body = b[n : n+size]
	return n + size, nil
}

// is compares a name whatever its case.
func is(b []byte, name string) bool { return len(b) == len(name) && bytes.EqualFold(b, []byte(name)) }

// number reads a whole number of at most eight digits; below 0: it is none.
func number(b []byte) int {
	if len(b) == 0 || len(b) > 8 {
		return -1
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return -1
		}
		n = n*10 + int(c-'0')
	}
	return n
}

var reasons = map[int]string{
	200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	500: "Internal Server Error", 503: "Service Unavailable",
}

// appendAnswer writes an answer; fields are whole lines of its head.
func appendAnswer(b []byte, status int, fields string, body []byte) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasons[status]...)
	b = append(b, "\r\n"...)
	b = append(b, fields...)
	if status != 204 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}
