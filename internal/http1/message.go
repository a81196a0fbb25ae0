package http1

import "bytes"

// Limits of a message, in bytes.
const (
	MaxHeaderSize = 16 << 10 // of the start line and the header fields
	MaxBodySize   = 64 << 10 // of the body, without the framing of chunks
)

// Field is one header field. Its slices refer to the parsed input.
type Field struct{ Name, Value []byte }

// hasName reports whether the field has the name. The comparison ignores the case of ASCII letters.
func (f Field) hasName(name string) bool { return equalFold(f.Name, name) }

// Message contains the elements that requests and responses have in common. Its slices refer to the parsed input, except for a
// chunked body, which is copied into a buffer of the message. They are valid until the input is overwritten or the message is
// parsed into again. Reusing a message avoids allocations.
type Message struct {
	Fields    []Field
	Body      []byte
	KeepAlive bool // the sender allows another message on the connection

	version       protocolVersion
	framing       framing
	contentLength int    // if framing is framingLength
	chunkedBody   []byte // the joined data of the chunks; reused
}

// protocolVersion is the HTTP version in the start line of a message.
type protocolVersion int

const (
	version11 protocolVersion = iota
	version10
)

// framing is the method by which the end of a body is determined.
type framing int

const (
	framingUnknown        framing = iota // the header is not complete
	framingUnspecified                   // no header field specifies it
	framingLength                        // by Content-Length
	framingChunked                       // by Transfer-Encoding
	framingCloseDelimited                // by the end of the connection; responses only
)

// Get returns the value of the first field with the name, or nil if there is none. The value of an empty field is empty but not
// nil.
func (m *Message) Get(name string) []byte {
	for _, field := range m.Fields {
		if field.hasName(name) {
			return field.Value
		}
	}
	return nil
}

// Count returns the number of fields with the name.
func (m *Message) Count(name string) int {
	count := 0
	for _, field := range m.Fields {
		if field.hasName(name) {
			count++
		}
	}
	return count
}

// IsChunked reports whether the body is chunked. It is also valid after a parser has returned ErrIncomplete, and is false while
// the header is not complete.
func (m *Message) IsChunked() bool { return m.framing == framingChunked }

// parseVersion parses the protocol version, and sets KeepAlive to the default of that version.
func (m *Message) parseVersion(text []byte) error {
	switch string(text) {
	case "HTTP/1.1":
		m.version = version11
	case "HTTP/1.0":
		m.version = version10
	default:
		if bytes.HasPrefix(text, []byte("HTTP/")) {
			return &ParseError{StatusCode: StatusHTTPVersionNotSupported, Reason: "version not supported"}
		}
		return badRequest("no HTTP version")
	}
	m.KeepAlive = m.version == version11
	return nil
}
