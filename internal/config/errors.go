package config

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// KeyError reports what is wrong with one key of a configuration file, or with the file's text as a whole.
type KeyError struct {
	// Key has dots between names and brackets around indices, as in settings.classes[1].give_up. It is empty where the
	// text as a whole is meant.
	Key string
	// Err says what is wrong: a *ValueError, a *MissingError, a *PortConflictError, a *SyntaxError, ErrUnknownKey or
	// ErrNotRecorded.
	Err error
}

func (e *KeyError) Error() string {
	if e.Key == "" {
		return e.Err.Error()
	}
	return fmt.Sprintf("key %q: %v", e.Key, e.Err)
}

// Unwrap returns what is wrong with the key.
func (e *KeyError) Unwrap() error { return e.Err }

// ValueError reports a value that is not as expected.
type ValueError struct {
	Expected string // completes "expected ..."
	Value    any    // nil where its kind alone is wrong, and where nothing was expected
}

func (e *ValueError) Error() string {
	if e.Value == nil {
		return "expected " + e.Expected
	}
	return "expected " + e.Expected + ", got " + formatValue(e.Value)
}

// formatValue writes numbers plainly, durations with their unit, and all else, such as texts, in Go's syntax.
func formatValue(value any) string {
	switch value.(type) {
	case int, int64, float64, time.Duration:
		return fmt.Sprint(value)
	default:
		return fmt.Sprintf("%#v", value)
	}
}

// MissingError reports a key that has to be there.
type MissingError struct {
	Variable string // the environment variable that could stand in for the key; empty: none could
}

func (e *MissingError) Error() string {
	if e.Variable == "" {
		return "missing"
	}
	return "missing, and " + e.Variable + " is not set"
}

// PortConflictError reports a port to listen at that is already that of PROXY_LISTEN.
type PortConflictError struct {
	Port uint16
}

func (e *PortConflictError) Error() string {
	return fmt.Sprintf("%d is the port of PROXY_LISTEN", e.Port)
}

// SyntaxError reports a text, or a value in it, that does not parse.
type SyntaxError struct {
	Format string // JSON or TOML
	Err    error  // the parser's
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("not %s: %v", e.Format, e.Err) }

// Unwrap returns the parser's error.
func (e *SyntaxError) Unwrap() error { return e.Err }

var (
	// ErrUnknownKey reports a key of the operators' file that has no meaning there.
	ErrUnknownKey = errors.New("not known")
	// ErrNotRecorded reports a key of [replay.settings] that the recorded settings lack.
	ErrNotRecorded = errors.New("not among the recorded settings")
)

func newKeyError(path []string, err error) *KeyError { return &KeyError{Key: keyOf(path), Err: err} }

// keyOf joins the elements of a path. Those that are numbers are indices.
func keyOf(path []string) string {
	key := ""
	for _, element := range path {
		if _, err := strconv.Atoi(element); err == nil {
			key += "[" + element + "]"
		} else if key != "" {
			key += "." + element
		} else {
			key = element
		}
	}
	return key
}

// maxKeyErrors bounds how many errors of a file are reported.
const maxKeyErrors = 100

// keyErrors are the errors of one file, in the order in which they were found.
type keyErrors []*KeyError

// add appends an error. One at or under a key that already has one follows from that, and is left out.
func (e *keyErrors) add(next *KeyError) {
	if len(*e) == maxKeyErrors {
		return
	}
	for _, earlier := range *e {
		if isAtOrUnder(next.Key, earlier.Key) {
			return
		}
	}
	*e = append(*e, next)
}

// isAtOrUnder tells whether key is parent or lies within it. All keys lie within the empty one.
func isAtOrUnder(key, parent string) bool {
	remainder, hasPrefix := strings.CutPrefix(key, parent)
	if !hasPrefix {
		return false
	}
	return remainder == "" || parent == "" || remainder[0] == '.' || remainder[0] == '['
}

// first returns the first error, or nil.
func (e keyErrors) first() error {
	if len(e) == 0 {
		return nil
	}
	return e[0]
}

// in returns the errors with the file's path in front of each, or as they are if the path is empty.
func (e keyErrors) in(path string) []error {
	var list []error
	for _, keyError := range e {
		if path == "" {
			list = append(list, keyError)
		} else {
			list = append(list, fmt.Errorf("%s: %w", path, keyError))
		}
	}
	return list
}
