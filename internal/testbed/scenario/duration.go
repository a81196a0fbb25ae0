package scenario

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that scenario files write as in "250ms".
type Duration time.Duration

const (
	microsecond = Duration(time.Microsecond)
	millisecond = Duration(time.Millisecond)
	second      = Duration(time.Second)
	hour        = Duration(time.Hour)
)

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalText reads a duration as in "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a duration as in \"250ms\", got %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes a duration as UnmarshalText reads it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }
