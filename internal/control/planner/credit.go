package planner

import "time"

const (
	creditGrace   = time.Second // how long offers under a greater credit may be on their way after it was reduced
	peakRetention = 0.95        // what remains of a peak after creditTicks
	creditPerPeak = 2           // open requests that a forwarder may have, for each at its recent peak
)

// credit is how many requests a forwarder may have open at this planner.
type credit struct {
	limit         int // as it was told
	previousLimit int // a greater one, that holds until previousUntil
	previousUntil time.Duration
	recentPeak    float64 // of its open requests, decaying
}

// covers reports whether the forwarder may have one more request open. A limit that was reduced holds in full a moment
// later, as offers may have been on their way.
func (c *credit) covers(open int, now time.Duration) bool {
	if now < c.previousUntil {
		return open < max(c.limit, c.previousLimit)
	}
	return open < c.limit
}
