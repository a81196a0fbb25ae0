package http1

import "bytes"

// lineEnding is the set of line endings that are accepted in a header section.
type lineEnding int

const (
	lineEndingStrict  lineEnding = iota // CRLF
	lineEndingLenient                   // CRLF, or LF alone
)

// parseHeaderSection parses the header fields up to and including the blank line, and returns the start line before them. size
// is the total length in bytes. Requests use lineEndingStrict, as intermediaries differ in whether a bare LF ends a line.
func (m *Message) parseHeaderSection(input []byte, ending lineEnding) (startLine []byte, size int, err error) {
	m.Fields, m.Body, m.framing = m.Fields[:0], nil, framingUnknown
	for isFirst := true; ; isFirst = false {
		line, lineSize, err := nextLine(input, size, ending)
		if err != nil {
			return nil, 0, err
		}
		size += lineSize
		switch {
		case isFirst:
			startLine = line
		case len(line) == 0:
			return startLine, size, nil
		default:
			field, err := parseField(line)
			if err != nil {
				return nil, 0, err
			}
			m.Fields = append(m.Fields, field)
		}
	}
}

// nextLine returns the line at an offset of a header section, without its line ending. size includes the line ending.
func nextLine(input []byte, offset int, ending lineEnding) (line []byte, size int, err error) {
	length := bytes.IndexByte(input[offset:], '\n')
	if length < 0 && len(input) > MaxHeaderSize || offset+length >= MaxHeaderSize {
		return nil, 0, &ParseError{StatusCode: StatusRequestHeaderFieldsTooLarge, Reason: "head too large"}
	}
	if length < 0 {
		return nil, 0, ErrIncomplete
	}
	line, hasReturn := bytes.CutSuffix(input[offset:offset+length], []byte("\r"))
	if !hasReturn && ending == lineEndingStrict {
		return nil, 0, badRequest("line feed without carriage return")
	}
	return line, length + 1, nil
}

func parseField(line []byte) (Field, error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !IsToken(name) || !isFieldValue(value) {
		return Field{}, badRequest("not a header field")
	}
	return Field{Name: name, Value: trimWhitespace(value)}, nil
}
