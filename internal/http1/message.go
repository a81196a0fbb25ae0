// Package http1 reads and writes messages of HTTP/1.1. It has no sockets, no clock and no goroutines, and knows nothing of this
// program.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits of a message.
const (
	MaxHeaderSize = 16 << 10
	MaxBodySize   = 64 << 10

	mostBlank = 8
)

// ParseError is a message that can't be read further: its framing is lost. StatusCode is what to answer it with.
type ParseError struct {
	StatusCode int
	Reason     string
}

func (e *ParseError) Error() string { return strconv.Itoa(e.StatusCode) + ": " + e.Reason }

// ErrIncomplete means that the message is not whole yet.
var ErrIncomplete = errors.New("more is needed")

// Field is one header field; both parts lie in the message's bytes.
type Field struct{ Name, Value []byte }

// Message is a parsed request or response. Its parts lie in the bytes that were parsed, but for a body that
// came in chunks; all are void once those bytes are reused.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Fields         []Field
	Body           []byte
	KeepAlive      bool
	Chunked        bool
	Expect         bool // the sender waits for 100 before it sends the body
	old            bool // HTTP/1.0
	length         int  // -1: none given
	joined         []byte
}

// Get gives the value of a field, or nil.
func (m *Message) Get(name string) []byte {
	for _, f := range m.Fields {
		if len(f.Name) == len(name) && bytes.EqualFold(f.Name, []byte(name)) {
			return f.Value
		}
	}
	return nil
}

// Count tells how often a field was given.
func (m *Message) Count(name string) (n int) {
	for _, f := range m.Fields {
		if len(f.Name) == len(name) && bytes.EqualFold(f.Name, []byte(name)) {
			n++
		}
	}
	return n
}

// ParseRequest reads one whole request from the start of b and tells how many bytes it took.
func (m *Message) ParseRequest(b []byte) (int, error) {
	skip := 0
	for skip < mostBlank && skip < len(b) && (b[skip] == '\r' || b[skip] == '\n') {
		skip++ // a few blank lines before a request are harmless; without end they would be hoarded
	}
	line, head, err := m.head(b[skip:], true)
	if err != nil {
		return 0, err
	}
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !IsToken(method) || len(target) == 0 || !IsVisible(target) {
		return 0, &ParseError{400, "not a request line"}
	}
	if err := m.version(version); err != nil {
		return 0, err
	}
	m.Method, m.Target, m.Status = method, target, 0
	if err := m.framing(); err != nil {
		return 0, err
	}
	if m.length < 0 && !m.Chunked {
		m.length = 0
	}
	n, err := m.body(b[skip+head:])
	return skip + head + n, err
}

// ParseResponse reads one whole response from the start of b; interim ones are passed over. ended tells that
// the connection has given all it will.
func (m *Message) ParseResponse(b []byte, ended bool) (int, error) {
	at := 0
	for {
		head, err := m.ParseResponseHeader(b[at:])
		if err != nil {
			return 0, err
		}
		if at += head; m.Status >= 200 {
			break
		}
	}
	if m.Status == 204 || m.Status == 304 {
		m.Chunked, m.length, m.Body = false, 0, nil
		return at, nil
	}
	if !m.Chunked && m.length < 0 { // as long as the connection lasts
		if m.KeepAlive = false; !ended {
			return 0, ErrIncomplete
		}
		if m.Body = b[at:]; len(m.Body) > MaxBodySize {
			return 0, &ParseError{502, "body too large"}
		}
		return len(b), nil
	}
	n, err := m.body(b[at:])
	return at + n, err
}

// ParseResponseHeader reads the head of a response.
func (m *Message) ParseResponseHeader(b []byte) (int, error) {
	line, head, err := m.head(b, false)
	if err != nil {
		return 0, err
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	if err := m.version(version); err != nil {
		return 0, err
	}
	status, ok := ParseDecimal(code)
	if !ok || len(code) != 3 || status < 100 {
		return 0, &ParseError{502, "not a status line"}
	}
	m.Method, m.Target, m.Status = nil, nil, status
	return head, m.framing()
}

// head finds the start line and the fields, and how long they are together.
func (m *Message) head(b []byte, request bool) (line []byte, n int, err error) {
	m.Fields, m.Body, m.Expect = m.Fields[:0], nil, false
	for first := true; ; first = false {
		end := bytes.IndexByte(b[n:], '\n')
		if end < 0 && len(b) > MaxHeaderSize || n+end >= MaxHeaderSize {
			return nil, 0, &ParseError{431, "head too large"}
		}
		if end < 0 {
			return nil, 0, ErrIncomplete
		}
		text, whole := bytes.CutSuffix(b[n:n+end], []byte("\r"))
		if n += end + 1; !whole && request { // some end a line there, and some read on
			return nil, 0, &ParseError{400, "line feed without carriage return"}
		}
		switch {
		case first:
			line = text
		case len(text) == 0:
			return line, n, nil
		default:
			name, value, ok := bytes.Cut(text, []byte(":"))
			if !ok || !IsToken(name) || !isText(value) {
				return nil, 0, &ParseError{400, "not a header field"}
			}
			m.Fields = append(m.Fields, Field{name, trim(value)})
		}
	}
}

func (m *Message) version(v []byte) error {
	switch string(v) {
	case "HTTP/1.1":
		m.KeepAlive, m.old = true, false
	case "HTTP/1.0":
		m.KeepAlive, m.old = false, true
	default:
		if bytes.HasPrefix(v, []byte("HTTP/")) {
			return &ParseError{505, "version not supported"}
		}
		return &ParseError{400, "no HTTP version"}
	}
	return nil
}

// framing finds how the body is delimited. Anything that two readers might read in two ways is refused.
func (m *Message) framing() error {
	m.Chunked, m.length = false, -1
	for _, f := range m.Fields {
		switch {
		case bytes.EqualFold(f.Name, []byte("Content-Length")):
			n, ok := ParseDecimal(f.Value)
			if !ok || m.length >= 0 { // given twice, even if both agree, it is no usual client's
				return &ParseError{400, "bad Content-Length"}
			}
			m.length = n
		case bytes.EqualFold(f.Name, []byte("Transfer-Encoding")):
			if m.Chunked || !bytes.EqualFold(f.Value, []byte("chunked")) {
				return &ParseError{501, "transfer coding not supported"}
			}
			m.Chunked = true
		case bytes.EqualFold(f.Name, []byte("Connection")):
			for _, word := range bytes.Split(f.Value, []byte(",")) {
				switch word = bytes.TrimSpace(word); {
				case bytes.EqualFold(word, []byte("close")):
					m.KeepAlive = false
				case bytes.EqualFold(word, []byte("keep-alive")):
					m.KeepAlive = true
				}
			}
		case bytes.EqualFold(f.Name, []byte("Expect")):
			m.Expect = bytes.EqualFold(f.Value, []byte("100-continue"))
		}
	}
	if m.Chunked && (m.length >= 0 || m.old) { // two readers may find two ends of it
		return &ParseError{400, "Transfer-Encoding with Content-Length or HTTP/1.0"}
	}
	if m.length > MaxBodySize {
		return &ParseError{413, "body too large"}
	}
	return nil
}

func (m *Message) body(b []byte) (int, error) {
	if !m.Chunked {
		if len(b) < m.length {
			return 0, ErrIncomplete
		}
		m.Body = b[:m.length]
		return m.length, nil
	}
	m.joined = m.joined[:0]
	var c ChunkDecoder
	for at := 0; ; {
		piece, n, err := c.Next(b[at:])
		if at += n; err != nil {
			return 0, err
		}
		if m.joined = append(m.joined, piece...); len(m.joined) > MaxBodySize {
			return 0, &ParseError{413, "body too large"}
		}
		if c.Done {
			m.Body = m.joined
			return at, nil
		}
		if n == 0 {
			// What frames a body may not outgrow it: a peer could send one byte a chunk for ever.
			if len(b) > 2*MaxBodySize+MaxHeaderSize {
				return 0, &ParseError{413, "body too large"}
			}
			return 0, ErrIncomplete
		}
	}
}

// ChunkDecoder reads a chunked body piece by piece.
type ChunkDecoder struct {
	left    int // of the present chunk
	ending  bool
	trailer bool
	Done    bool
}

// Next takes one piece from b. Where n is 0 and the body is not Done, more is needed.
func (c *ChunkDecoder) Next(b []byte) (piece []byte, n int, err error) {
	if c.Done || len(b) == 0 {
		return nil, 0, nil
	}
	if c.left > 0 {
		n = min(c.left, len(b))
		c.left -= n
		c.ending = c.left == 0
		return b[:n], n, nil
	}
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if len(b) > 256 {
			return nil, 0, &ParseError{400, "chunk line too long"}
		}
		return nil, 0, nil
	}
	line := bytes.TrimSuffix(b[:end], []byte("\r"))
	switch {
	case c.ending: // the line end after a chunk's data
		if c.ending = false; len(line) > 0 {
			return nil, 0, &ParseError{400, "chunk longer than it said"}
		}
	case c.trailer:
		c.Done = len(line) == 0
	default:
		size, _, _ := bytes.Cut(line, []byte(";"))
		size = bytes.TrimSpace(size)
		if len(size) == 0 || len(size) > 7 {
			return nil, 0, &ParseError{400, "bad chunk size"}
		}
		for _, x := range size {
			digit := bytes.IndexByte([]byte("0123456789abcdef"), x|0x20)
			if x < '0' || digit < 0 {
				return nil, 0, &ParseError{400, "bad chunk size"}
			}
			c.left = c.left<<4 | digit
		}
		c.trailer = c.left == 0
	}
	return nil, end + 1, nil
}

// trim drops blanks on both sides. Unlike bytes.Trim it never returns nil for a value that is there but empty: an
// empty budget or id is malformed, not absent.
func trim(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for len(b) > 0 && (b[len(b)-1] == ' ' || b[len(b)-1] == '\t') {
		b = b[:len(b)-1]
	}
	return b
}

// IsToken holds of a field name, a method, and what else has that form.
func IsToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`()<>@,;:\"/[]?={}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// IsVisible holds of what may go on to a worker node as it is: visible ASCII.
func IsVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// isText holds of a field's value.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// ParseDecimal reads a number of at most nine digits.
func ParseDecimal(b []byte) (int, bool) {
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, len(b) > 0 && len(b) <= 9
}

// ---- Writing ----

// ContinueResponse is the interim response that tells a client to send on.
const ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

var reasons = map[int]string{
	200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	505: "HTTP Version Not Supported",
}

// AppendResponse writes a response; fields are whole lines of its head.
func AppendResponse(b []byte, status int, fields string, body []byte, keep bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasons[status]...)
	if status != 204 {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(append(b, "\r\n"...), fields...)
	if !keep {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if status == 204 {
		return b
	}
	return append(b, body...)
}

// AppendField writes a header field, unless it has no value.
func AppendField(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// AppendRequestStart writes the start of a request up to its last field; the caller adds fields and a blank line.
func AppendRequestStart(b []byte, method, target, host string) []byte {
	b = append(append(b, method...), ' ')
	b = append(append(b, target...), " HTTP/1.1\r\n"...)
	return AppendField(b, "Host", host)
}
