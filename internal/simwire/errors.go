package simwire

import (
	"errors"
	"fmt"
)

// LineError reports a line of the input that the protocol does not allow.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error returns the line's number and what is wrong with it.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns what is wrong with the line.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError reports a field whose value the protocol does not allow.
type FieldError struct {
	Field    string
	Expected string
	Value    string // as it stands in the line, or its beginning
}

// Error returns the field, what was expected of it, and its value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: expected %s, got %q", e.Field, e.Expected, e.Value)
}

// errEndOfInput marks the regular end of input, which may come only between batches.
var errEndOfInput = errors.New("end of input")

// maxQuotedBytes is how much of a line or a value an error quotes.
const maxQuotedBytes = 40

func quotable(text string) string { return text[:min(len(text), maxQuotedBytes)] }
