package simwire

import (
	"errors"
	"fmt"
)

// LineError is the error of a line of the input that the protocol does not allow.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error returns the line's number and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError is the error of a field whose value the protocol does not allow.
type FieldError struct {
	Field    string
	Expected string
	Value    string // the text in the line, truncated to maxQuotedBytes
}

// Error returns the field, and its expected and actual values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: expected %s, got %q", e.Field, e.Expected, e.Value)
}

// errEndOfInput is returned at the end of the input, which is valid only between batches.
var errEndOfInput = errors.New("end of input")

// maxQuotedBytes is the maximum length of the part of a line or a value that an error quotes.
const maxQuotedBytes = 40

// quotable returns the part of a text that an error quotes.
func quotable(text string) string { return text[:min(len(text), maxQuotedBytes)] }
