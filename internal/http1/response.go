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

// Parse reads one final response, with its body, from the start of input, and returns how many bytes it took. Interim
// responses before it are passed over. connectionEnded says that the peer sends nothing more, which ends a body that has
// no other framing. The error is ErrIncomplete or a ParseError.
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
		r.framing = framingConnectionEnd
		return r.parseUnframedBody(input, size, connectionEnded)
	}
	bodySize, err := r.parseBody(input[size:])
	if err != nil {
		return 0, err
	}
	return size + bodySize, nil
}

// parseUnframedBody takes all that follows the header as the body, once the connection has ended.
func (r *Response) parseUnframedBody(input []byte, headerSize int, connectionEnded bool) (size int, err error) {
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

// EndsWithConnection reports whether the body ends only with the connection. It is valid after a call of Parse, also of one
// that returned ErrIncomplete; it is false as long as the header is not complete.
func (r *Response) EndsWithConnection() bool { return r.framing == framingConnectionEnd }

// ParseHeader reads the status line and the header fields of one response, be it an interim one, from the start of input, and
// returns how many bytes they took. The body is left for the caller to read, as with a ChunkDecoder. The error is
// ErrIncomplete or a ParseError.
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

// IsInterim reports whether another response to the same request follows.
func (r *Response) IsInterim() bool { return r.StatusCode < firstFinalStatus }
