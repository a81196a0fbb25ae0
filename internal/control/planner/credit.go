package planner

import "time"

const (
	creditGrace      = time.Second // how long a forwarder may still use its previous credit after a reduction
	peakDecayFactor  = 0.95        // factor by which a recent peak decays, once every creditTicks ticks
	creditPeakFactor = 2           // credit demand as a multiple of the recent peak of open requests
)

// credit limits how many requests a forwarder may have open at this planner.
type credit struct {
	limit         int // the limit that was last sent to the forwarder
	previousLimit int // a greater limit from before a reduction, valid until previousUntil
	previousUntil time.Duration
	recentPeak    float64 // decaying maximum of its open requests
}

// covers reports whether the forwarder may have one more request open. A reduced limit applies only after creditGrace,
// because offers made under the previous limit may still be in transit.
func (c *credit) covers(open int, now time.Duration) bool {
	if now < c.previousUntil {
		return open < max(c.limit, c.previousLimit)
	}
	return open < c.limit
}
