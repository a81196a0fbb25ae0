package planner

import "time"

const (
	creditGrace   = time.Second // how long offers under a greater credit may be in transit after its reduction
	peakRetention = 0.95        // fraction of a peak that remains after creditTicks
	creditPerPeak = 2           // open requests that a forwarder may have, as a multiple of its recent peak
)

// credit is how many requests a forwarder may have open at this planner.
type credit struct {
	limit         int // as the forwarder was notified
	previousLimit int // a greater one, which remains valid until previousUntil
	previousUntil time.Duration
	recentPeak    float64 // of its open requests, decaying
}

// covers reports whether the forwarder may have one more request open. A reduced limit applies after creditGrace only,
// because offers under the earlier one may still be in transit.
func (c *credit) covers(open int, now time.Duration) bool {
	if now < c.previousUntil {
		return open < max(c.limit, c.previousLimit)
	}
	return open < c.limit
}
