package discovery

import "time"

// Limits of the protocol: a change counts as known here so long after the server had it and could be reached.
const (
	maxStaleness             = 6 * time.Second
	maxServerChangeStaleness = 4 * time.Second // after a new configuration that names another server
)

// stalenessClock is what the staleness deadline depends on besides the state.
type stalenessClock struct {
	lastReceived    time.Duration // a change that has not been received was made then at the earliest
	watchEndedAt    time.Duration // end of the last connection that received lines
	serverChangedAt time.Duration // when a server was named from which nothing has been received yet; 0: none
	missedLines     bool          // the last watch fell silent: what it missed counts as known, whatever follows
}

// received notes that every change up to now is known.
func (c *stalenessClock) received(now time.Duration) {
	c.lastReceived = now
	c.serverChangedAt = 0
	c.missedLines = false
}

// deadline is the instant from which a change that has not been received may count as known.
func (c *stalenessClock) deadline(config *Config, watching bool) time.Duration {
	at := c.lastReceived + config.maxStaleness()
	if config.Pushed && !watching {
		at = min(at, c.watchEndedAt) // at once; but what a silent watch missed counts as for any other list
	}
	if c.serverChangedAt > 0 {
		at = min(at, c.serverChangedAt+maxServerChangeStaleness)
	}
	return at
}

// maxStaleness is how long after the server had it a change counts as known here.
func (c *Config) maxStaleness() time.Duration { return min(maxStaleness, c.pollInterval()) }

func (c *Config) pollInterval() time.Duration {
	if c.PollInterval > 0 {
		return c.PollInterval
	}
	return maxStaleness
}
