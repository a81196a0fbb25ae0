package http1

import "bytes"

// Limits of a message, in bytes.
const (
	MaxHeaderSize = 16 << 10 // of the start line and the header fields
	MaxBodySize   = 64 << 10 // of the body, without what frames chunks
)

// Field is one header field. Its parts lie in the bytes that were parsed.
type Field struct{ Name, Value []byte }

// hasName compares the name, whatever its case.
func (f Field) hasName(name string) bool { return equalFold(f.Name, name) }

// Message is what a request and a response have in common. Its parts lie in the bytes that were parsed, but for a chunked
// body, which lies in a buffer of the message's own. All of it is valid until these bytes are overwritten, or the message
// is used to parse again; so a message that is used again and again allocates nothing.
type Message struct {
	Fields    []Field
	Body      []byte
	KeepAlive bool // the sender lets the connection carry another message

	version       protocolVersion
	framing       framing
	contentLength int    // of framingLength
	chunkedBody   []byte // the chunks' data, joined
}

// protocolVersion is the version of the protocol that a message names.
type protocolVersion int

const (
	version11 protocolVersion = iota
	version10
)

// framing says how the end of a body is found.
type framing int

const (
	framingUnknown       framing = iota // the header is not complete
	framingUnspecified                  // no header field says
	framingLength                       // by Content-Length
	framingChunked                      // by Transfer-Encoding
	framingConnectionEnd                // the body of a response ends with the connection
)

// Get returns the value of the first field of a name, nil if there is none. The value of a field that is there but empty is
// not nil.
func (m *Message) Get(name string) []byte {
	for _, field := range m.Fields {
		if field.hasName(name) {
			return field.Value
		}
	}
	return nil
}

// Count returns how many fields of a name there are.
func (m *Message) Count(name string) int {
	count := 0
	for _, field := range m.Fields {
		if field.hasName(name) {
			count++
		}
	}
	return count
}

// IsChunked reports whether the body is framed by chunks. It is valid, too, after a parser returned ErrIncomplete; it is
// false as long as the header is not complete.
func (m *Message) IsChunked() bool { return m.framing == framingChunked }

// parseVersion reads the protocol version, and what it says of the connection's persistence.
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
