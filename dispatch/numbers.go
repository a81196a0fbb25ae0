package dispatch

import (
	"math"
	"time"
)

// maxSeconds bounds computed durations, in seconds; a Duration holds far more. maxInput bounds the numbers
// of the input.
const (
	maxSeconds = 1e6
	maxInput   = 1e9
)

// seconds returns a number of seconds as a Duration, bounded to 0 to maxSeconds.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxSeconds) * float64(time.Second))
}

// clamp bounds x to between -limit and limit.
func clamp(x, limit float64) float64 { return min(max(x, -limit), limit) }

// finiteOrZero returns a number of the input. If it is not a number, negative or over maxInput, it returns 0,
// as for a missing one.
func finiteOrZero(x float64) float64 {
	if math.IsNaN(x) || x > maxInput || x < 0 {
		return 0
	}
	return x
}
