package planner

import "time"

// timerLagDecay is the divisor of the lag that each tick subtracts from it: the lag halves within a quarter of a second.
const timerLagDecay = 8

// stepTimer is the timer that the planner has set, and by how much recent ones have fired late.
type stepTimer struct {
	firesAt time.Duration // 0: none is set
	lag     time.Duration
}

// begin processes the start of a step: a timer that is due has fired, and its delay is a sample of the lag.
func (s *stepTimer) begin(now time.Duration) {
	if s.firesAt > 0 && now >= s.firesAt {
		s.lag = max(s.lag, now-s.firesAt)
		s.firesAt = 0
	}
}

// decayLag reduces the lag by what a tick subtracts.
func (s *stepTimer) decayLag() { s.lag -= s.lag / timerLagDecay }

// set sets the timer, and reports whether that changes it: a timer that fires earlier is kept.
func (s *stepTimer) set(at time.Duration) (changed bool) {
	if s.firesAt != 0 && at >= s.firesAt {
		return false
	}
	s.firesAt = at
	return true
}
