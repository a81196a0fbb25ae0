// Package clock is the one place where the scheduler reads the clocks of its machine. The wall clock is read once, when a
// process starts; whatever happens after that is a span of the monotonic clock, which no step of the wall clock changes.
//
// It decides nothing: whoever needs an instant is handed a function, which tests replace by a clock of their own.
package clock

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the wall clock's time together with a reading of the monotonic clock: differences of two of its results are
// spans of the latter.
func Now() time.Time { return time.Now() }

// SinceEpoch returns a clock that counts time from the Unix epoch, so that any start time that discovery names is positive.
// It reads the wall clock now, and follows the monotonic clock from here on. now is Now, or a test's double of it.
func SinceEpoch(now func() time.Time) func() time.Duration {
	origin := now()
	return func() time.Duration { return time.Duration(origin.UnixNano()) + now().Sub(origin) }
}

// Monotonic returns CLOCK_MONOTONIC, which all processes of one boot of the machine share.
func Monotonic() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading); err != nil {
		return 0
	}
	return time.Duration(reading.Nano())
}

// Limits of Together.
const (
	maxTogetherTries  = 10
	togetherPrecision = 100 * time.Microsecond
)

// Together reads two clocks at one moment, as closely as the machine allows: a process may be held up between two readings,
// so they are taken anew until monotonic, which is read before and after the other, shows that it was not.
func Together(clock, monotonic func() time.Duration) (clockReading, monotonicReading time.Duration) {
	least := time.Duration(math.MaxInt64)
	for range maxTogetherTries {
		before := monotonic()
		reading := clock()
		if passed := monotonic() - before; passed < least {
			least, clockReading, monotonicReading = passed, reading, before+passed/2
		}
		if least <= togetherPrecision {
			break
		}
	}
	return clockReading, monotonicReading
}
