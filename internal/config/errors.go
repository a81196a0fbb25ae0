package config

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// KeyError is the error of one key of a configuration file, or of the file as a whole.
type KeyError struct {
	// Key is the path of the key, such as settings.classes[1].give_up. It is empty for an error of the file as a whole.
	Key string
	// Err is the cause: a *ValueError, a *MissingError, a *PortConflictError, a *SyntaxError, ErrUnknownKey or
	// ErrNotRecorded.
	Err error
}

// Error returns the key and the cause.
func (k *KeyError) Error() string {
	if k.Key == "" {
		return k.Err.Error()
	}
	return fmt.Sprintf("key %q: %v", k.Key, k.Err)
}

// Unwrap returns the cause.
func (k *KeyError) Unwrap() error { return k.Err }

// ValueError is the error of an invalid value.
type ValueError struct {
	Expected string // completes "expected ..."
	Value    any    // nil if the value has the wrong type, or no value is allowed
}

// Error returns the expected and the actual value.
func (v *ValueError) Error() string {
	if v.Value == nil {
		return "expected " + v.Expected
	}
	return "expected " + v.Expected + ", got " + formatValue(v.Value)
}

// formatValue returns numbers in decimal, durations with their unit, and other values in Go's syntax.
func formatValue(value any) string {
	switch value.(type) {
	case int, int64, float64, time.Duration:
		return fmt.Sprint(value)
	default:
		return fmt.Sprintf("%#v", value)
	}
}

// MissingError is the error of a required key that is absent.
type MissingError struct {
	Variable string // environment variable that sets the default of the key; empty: none
}

// Error returns the name of the environment variable, if there is one.
func (m *MissingError) Error() string {
	if m.Variable == "" {
		return "missing"
	}
	return "missing, and " + m.Variable + " is not set"
}

// PortConflictError is the error of a port that PROXY_LISTEN already uses.
type PortConflictError struct {
	Port uint16
}

// Error returns the port.
func (p *PortConflictError) Error() string {
	return fmt.Sprintf("%d is the port of PROXY_LISTEN", p.Port)
}

// SyntaxError is the error of a text, or of a value in it, that can't be parsed.
type SyntaxError struct {
	Format string // JSON or TOML
	Err    error  // error of the parser
}

// Error returns the format and the parser's error.
func (s *SyntaxError) Error() string { return fmt.Sprintf("not %s: %v", s.Format, s.Err) }

// Unwrap returns the parser's error.
func (s *SyntaxError) Unwrap() error { return s.Err }

var (
	// ErrUnknownKey is the cause for an unknown key of the operators' file.
	ErrUnknownKey = errors.New("not known")
	// ErrNotRecorded is the cause for a key of [replay.settings] that is not in the recorded settings.
	ErrNotRecorded = errors.New("not among the recorded settings")
)

// newKeyError returns the error of the key at a path.
func newKeyError(path []string, err error) *KeyError { return &KeyError{Key: keyOf(path), Err: err} }

// keyOf returns the key at a path. Elements that are numbers are indices.
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

// maxKeyErrors is the maximum number of errors of a file that are reported.
const maxKeyErrors = 100

// keyErrors contains the errors of one file, in order of detection.
type keyErrors []*KeyError

// add appends an error, unless there is one for the same key or for a key that contains it.
func (k *keyErrors) add(next *KeyError) {
	if len(*k) == maxKeyErrors {
		return
	}
	for _, earlier := range *k {
		if isAtOrUnder(next.Key, earlier.Key) {
			return
		}
	}
	*k = append(*k, next)
}

// isAtOrUnder reports whether key is parent or within it. All keys are within the empty one.
func isAtOrUnder(key, parent string) bool {
	remainder, hasPrefix := strings.CutPrefix(key, parent)
	if !hasPrefix {
		return false
	}
	return remainder == "" || parent == "" || remainder[0] == '.' || remainder[0] == '['
}

// first returns the first error, or nil.
func (k keyErrors) first() error {
	if len(k) == 0 {
		return nil
	}
	return k[0]
}

// withPath returns the errors, each prefixed with the path of the file unless the path is empty.
func (k keyErrors) withPath(path string) []error {
	var list []error
	for _, keyError := range k {
		if path == "" {
			list = append(list, keyError)
		} else {
			list = append(list, fmt.Errorf("%s: %w", path, keyError))
		}
	}
	return list
}
