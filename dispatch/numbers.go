package dispatch

import (
	"math"
	"time"
)

// seconds is a span of s seconds, held within what a Duration can carry.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), 1e6) * float64(time.Second))
}

// clamp holds x within limit and its negative.
func clamp(x, limit float64) float64 { return min(max(x, -limit), limit) }

// finite reads a figure that makes no sense as absent.
func finite(x float64) float64 {
	if math.IsNaN(x) || x > 1e9 || x < 0 {
		return 0
	}
	return x
}
