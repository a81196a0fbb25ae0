package scenario

import (
	"errors"
	"fmt"
)

// KeyError says what is wrong with the value of one key of a scenario.
type KeyError struct {
	Key string // with indexes, as in "fault[2].size"
	Err error
}

func (e *KeyError) Error() string { return fmt.Sprintf("key %q: %v", e.Key, e.Err) }

// Unwrap returns the error without its key.
func (e *KeyError) Unwrap() error { return e.Err }

var errNoSuchKey = errors.New("unknown key")

// problemList collects the errors of several keys.
type problemList struct{ problems []error }

// report adds an error for a key. The format is that of fmt.Errorf.
func (p *problemList) report(key, format string, args ...any) {
	p.problems = append(p.problems, &KeyError{Key: key, Err: fmt.Errorf(format, args...)})
}

// err joins the errors in the order in which they were reported; nil if there are none.
func (p *problemList) err() error { return errors.Join(p.problems...) }
