package http1

import (
	"errors"
	"strconv"
)

// ErrIncomplete says that the bytes at hand end before the message does. The parser is to be called again with more.
var ErrIncomplete = errors.New("message incomplete")

// ParseError reports a message that breaks the protocol or exceeds a limit of this package. Where the next message begins
// is not known, so the connection can't be read further.
type ParseError struct {
	StatusCode int    // of the response that a server owes for it
	Reason     string // what is wrong, in a few words that may be sent to the peer
}

// Error implements error.
func (e *ParseError) Error() string { return strconv.Itoa(e.StatusCode) + ": " + e.Reason }

func badRequest(reason string) error {
	return &ParseError{StatusCode: StatusBadRequest, Reason: reason}
}

func bodyTooLarge() error {
	return &ParseError{StatusCode: StatusContentTooLarge, Reason: "body too large"}
}
