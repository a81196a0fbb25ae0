package http1

import (
	"errors"
	"strconv"
)

// ErrIncomplete is returned if the input ends before the message does. The parser is called again with more input.
var ErrIncomplete = errors.New("message incomplete")

// ParseError reports a message that violates the protocol or exceeds a limit of this package. The start of the next message is
// not known after it, so the connection can't be read further.
type ParseError struct {
	StatusCode int    // of the response with which a server rejects the message
	Reason     string // short description of the violation, which may be sent to the peer
}

// Error returns the status code and the reason.
func (e *ParseError) Error() string { return strconv.Itoa(e.StatusCode) + ": " + e.Reason }

func badRequest(reason string) error {
	return &ParseError{StatusCode: StatusBadRequest, Reason: reason}
}

func bodyTooLarge() error {
	return &ParseError{StatusCode: StatusContentTooLarge, Reason: "body too large"}
}
