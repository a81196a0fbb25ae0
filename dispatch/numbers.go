package dispatch

import (
	"math"
	"time"
)

// maxSeconds and maxFigure bound what is computed and what is read. A Duration holds far more than maxSeconds.
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

// finiteOrZero returns a figure of the input, or 0, as if it were missing, for one that is not a number, negative or over maxFigure.
func finiteOrZero(x float64) float64 {
	if math.IsNaN(x) || x > maxInput || x < 0 {
		return 0
	}
	return x
}
