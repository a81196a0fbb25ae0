package discovery

import "time"

// Limits of the protocol: a scheduler is expected to apply a change within this time after the server has it and is reachable.
const (
	maxStaleness             = 6 * time.Second
	maxServerChangeStaleness = 4 * time.Second // after another server is configured
)

// stalenessClock contains the times that, together with the state of the watch, determine the staleness deadline.
type stalenessClock struct {
	currentAt       time.Duration // all changes up to this time have been received
	watchEndedAt    time.Duration // end of the last connection that received lines
	serverChangedAt time.Duration // first change of the server since the last received line; 0: none
	missedLines     bool          // the last watch ended by a timeout, and may have missed changes
}

// received records that all changes up to now have been received.
func (s *stalenessClock) received(now time.Duration) {
	s.currentAt = now
	s.serverChangedAt = 0
	s.missedLines = false
}

// deadline returns the staleness deadline; see Watch.StalenessDeadline. watching means that the state of the watch is Watching.
func (s *stalenessClock) deadline(config *Config, watching bool) time.Duration {
	at := s.currentAt + config.maxStaleness()
	if config.Pushed && !watching {
		// A change after the end of the watch is effective at once. A change that a silent watch missed has the ordinary limit.
		at = min(at, s.watchEndedAt)
	}
	if s.serverChangedAt > 0 {
		at = min(at, s.serverChangedAt+maxServerChangeStaleness)
	}
	return at
}

// maxStaleness returns the time within which the scheduler is expected to apply a change at the server.
func (c *Config) maxStaleness() time.Duration { return min(maxStaleness, c.pollInterval()) }

// pollInterval returns the configured poll interval, or the protocol's limit if none is configured.
func (c *Config) pollInterval() time.Duration {
	if c.PollInterval > 0 {
		return c.PollInterval
	}
	return maxStaleness
}
