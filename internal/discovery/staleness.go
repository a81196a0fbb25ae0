package discovery

import "time"

// Limits of the protocol: a scheduler is expected to apply a change within this time after the server has it and can be reached.
const (
	maxStaleness             = 6 * time.Second
	maxServerChangeStaleness = 4 * time.Second // after a new configuration with another server
)

// stalenessClock contains the instants that determine the staleness deadline, together with the state.
type stalenessClock struct {
	lastReceived    time.Duration // earliest time of a change that has not been received
	watchEndedAt    time.Duration // end of the last connection that received lines
	serverChangedAt time.Duration // first change of the server since a line was received; 0: none
	missedLines     bool          // the last watch ended by a timeout, and may have missed changes
}

// received is called when all changes up to now are known.
func (s *stalenessClock) received(now time.Duration) {
	s.lastReceived = now
	s.serverChangedAt = 0
	s.missedLines = false
}

// deadline returns the instant from which the scheduler may be expected to have applied a change that it has not received.
func (s *stalenessClock) deadline(config *Config, watching bool) time.Duration {
	at := s.lastReceived + config.maxStaleness()
	if config.Pushed && !watching {
		at = min(at, s.watchEndedAt) // a later change is effective at once; one that a silent watch missed has the ordinary limit
	}
	if s.serverChangedAt > 0 {
		at = min(at, s.serverChangedAt+maxServerChangeStaleness)
	}
	return at
}

// maxStaleness returns the time after which a change at the server is expected to be applied here.
func (c *Config) maxStaleness() time.Duration { return min(maxStaleness, c.pollInterval()) }

// pollInterval returns the configured poll interval, or the limit of the protocol if there is none.
func (c *Config) pollInterval() time.Duration {
	if c.PollInterval > 0 {
		return c.PollInterval
	}
	return maxStaleness
}
