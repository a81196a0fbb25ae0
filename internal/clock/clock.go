// Package clock reads the clocks of the machine. No other package of the scheduler does so. The wall clock is read once, when
// the process starts. Later instants are measured by the monotonic clock, so that steps of the wall clock do not affect them.
//
// Other packages get the clock as a function, which tests replace.
package clock

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time of the wall clock together with a reading of the monotonic clock. The difference of two results is
// measured by the monotonic clock.
func Now() time.Time { return time.Now() }

// SinceEpoch returns a clock that returns the time since the Unix epoch, so that all start times listed by discovery are
// positive. The wall clock is read once, when SinceEpoch is called; the returned clock is monotonic from then on. now is Now, or
// a fake of it in tests.
func SinceEpoch(now func() time.Time) func() time.Duration {
	origin := now()
	return func() time.Duration { return time.Duration(origin.UnixNano()) + now().Sub(origin) }
}

// Monotonic returns the time of CLOCK_MONOTONIC, or 0 if it can't be read. All processes share that clock until the machine
// reboots.
func Monotonic() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading); err != nil {
		return 0
	}
	return time.Duration(reading.Nano())
}

const (
	maxPairReadings = 10                     // times that Together reads both clocks, at most
	pairPrecision   = 100 * time.Microsecond // readings of monotonic that are at most this far apart are accepted
)

// ReadPair returns readings of two clocks at nearly the same instant. The process may be paused between the readings, so they
// are repeated, maxPairReadings times at most, until the readings of monotonic before and after the other clock differ by at
// most pairPrecision. The pair of readings with the smallest difference is returned.
func ReadPair(clock, monotonic func() time.Duration) (clockReading, monotonicReading time.Duration) {
	least := time.Duration(math.MaxInt64)
	for range maxPairReadings {
		before := monotonic()
		reading := clock()
		if passed := monotonic() - before; passed < least {
			least, clockReading, monotonicReading = passed, reading, before+passed/2
		}
		if least <= pairPrecision {
			break
		}
	}
	return clockReading, monotonicReading
}
