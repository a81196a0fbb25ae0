package discovery

import "errors"

// MaxEventSize is the maximum number of buffered bytes of an incomplete event.
const MaxEventSize = 4 << 20

// Errors of EventScanner.Scan.
var (
	ErrNotAnEvent    = errors.New("watch event: not a JSON object")
	ErrEventTooLarge = errors.New("watch event: too large")
)

// TokenKind is the kind of a Token.
type TokenKind uint8

// Kinds of tokens.
const (
	TokenNone    TokenKind = iota // no token is complete: the data ends within an event or between two events
	TokenLineEnd                  // a line end outside of an event
	TokenEvent                    // a whole event
)

// Token is a part of a watch's response body.
type Token struct {
	Kind  TokenKind
	Event []byte // the JSON object of TokenEvent, valid until the next Scan
}

// EventScanner finds the events in the body of a watch's response: JSON objects that take one line or several, with whitespace
// between them. An event is complete with its last brace. The scanner only counts braces and brackets outside of strings: the
// syntax of an event must be checked by a JSON decoder. The zero value is ready for the start of a body.
type EventScanner struct {
	event    []byte // the received part of the current event
	depth    int    // number of open braces and brackets
	position lexicalPosition
}

// lexicalPosition is the position of the scanner relative to JSON strings.
type lexicalPosition uint8

const (
	outsideString lexicalPosition = iota
	insideString
	afterBackslash
)

// Scan reads data up to the end of the next token, and returns the token and the number of bytes read. After an error, the
// scanner must not be used.
func (e *EventScanner) Scan(data []byte) (token Token, consumed int, err error) {
	if e.depth == 0 {
		e.event = e.event[:0]
	}
	for i, char := range data {
		kind, err := e.scanByte(char)
		if err != nil {
			return Token{}, i, err
		}
		switch kind {
		case TokenLineEnd:
			return Token{Kind: TokenLineEnd}, i + 1, nil
		case TokenEvent:
			e.event = append(e.event, data[:i+1]...)
			return Token{Kind: TokenEvent, Event: e.event}, i + 1, nil
		case TokenNone:
		}
	}
	e.event = append(e.event, data...)
	if len(e.event) > MaxEventSize {
		return Token{}, len(data), ErrEventTooLarge
	}
	return Token{}, len(data), nil
}

// Buffered returns the number of buffered bytes of the current event.
func (e *EventScanner) Buffered() int { return len(e.event) }

// scanByte reads one byte, and returns the kind of the token that it completes.
func (e *EventScanner) scanByte(char byte) (TokenKind, error) {
	switch e.position {
	case afterBackslash:
		e.position = insideString
		return TokenNone, nil
	case insideString:
		switch char {
		case '\\':
			e.position = afterBackslash
		case '"':
			e.position = outsideString
		}
		return TokenNone, nil
	case outsideString:
	}
	if e.depth == 0 {
		return e.scanBetweenEvents(char)
	}
	return e.scanStructure(char), nil
}

// scanBetweenEvents reads a byte outside of events.
func (e *EventScanner) scanBetweenEvents(char byte) (TokenKind, error) {
	switch char {
	case '\n':
		return TokenLineEnd, nil
	case ' ', '\t', '\r':
		return TokenNone, nil
	case '{':
		e.depth = 1
		return TokenNone, nil
	default:
		return TokenNone, ErrNotAnEvent
	}
}

// scanStructure reads a byte within an event, outside of strings.
func (e *EventScanner) scanStructure(char byte) TokenKind {
	switch char {
	case '"':
		e.position = insideString
	case '{', '[':
		e.depth++
	case '}', ']':
		e.depth--
		if e.depth == 0 {
			return TokenEvent
		}
	}
	return TokenNone
}
