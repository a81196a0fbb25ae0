package http1

import "bytes"

const (
	statusCodeDigits = 3
	minStatusCode    = 100
)

// Response is a parsed response.
type Response struct {
	Message
	StatusCode int
}

// Parse parses one final response, with its body, from the start of input, and returns the number of bytes that it consumed.
// Interim responses before it are skipped. connectionEnded is set if the peer has closed the connection, which ends a body
// without other framing. The error is ErrIncomplete or a ParseError.
func (r *Response) Parse(input []byte, connectionEnded bool) (size int, err error) {
	for {
		headerSize, err := r.ParseHeader(input[size:])
		if err != nil {
			return 0, err
		}
		size += headerSize
		if !r.IsInterim() {
			break
		}
	}
	if r.StatusCode == StatusNoContent || r.StatusCode == StatusNotModified {
		return size, nil
	}
	if r.framing == framingUnspecified {
		r.framing = framingCloseDelimited
		return r.parseCloseDelimitedBody(input, size, connectionEnded)
	}
	bodySize, err := r.parseBody(input[size:])
	if err != nil {
		return 0, err
	}
	return size + bodySize, nil
}

// parseCloseDelimitedBody returns ErrIncomplete until the connection has ended. The body is then all input after the header.
func (r *Response) parseCloseDelimitedBody(input []byte, headerSize int, connectionEnded bool) (size int, err error) {
	r.KeepAlive = false
	if !connectionEnded {
		return 0, ErrIncomplete
	}
	r.Body = input[headerSize:]
	if len(r.Body) > MaxBodySize {
		return 0, &ParseError{StatusCode: StatusBadGateway, Reason: "body too large"}
	}
	return len(input), nil
}

// IsCloseDelimited reports whether the body is delimited by the end of the connection. It is valid after Parse, also if Parse
// has returned ErrIncomplete, and is false while the header is not complete.
func (r *Response) IsCloseDelimited() bool { return r.framing == framingCloseDelimited }

// ParseHeader parses the status line and the header fields of one final or interim response from the start of input, and
// returns their length in bytes. The caller reads the body, for example with a ChunkDecoder. The error is ErrIncomplete or a
// ParseError.
func (r *Response) ParseHeader(input []byte) (size int, err error) {
	startLine, size, err := r.parseHeaderSection(input, lineEndingLenient)
	if err != nil {
		return 0, err
	}
	if err := r.parseStatusLine(startLine); err != nil {
		return 0, err
	}
	if err := r.parseFraming(); err != nil {
		return 0, err
	}
	return size, nil
}

func (r *Response) parseStatusLine(line []byte) error {
	version, codeAndReason, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(codeAndReason, []byte(" "))
	if err := r.parseVersion(version); err != nil {
		return err
	}
	statusCode, ok := ParseDecimal(code)
	if !ok || len(code) != statusCodeDigits || statusCode < minStatusCode {
		return &ParseError{StatusCode: StatusBadGateway, Reason: "not a status line"}
	}
	r.StatusCode = statusCode
	return nil
}

// IsInterim reports whether the response is an interim one: another response to the request follows.
func (r *Response) IsInterim() bool { return r.StatusCode < firstFinalStatus }
