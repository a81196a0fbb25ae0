package planner

import "time"

// timerLagDecay: each tick reduces the lag by 1/timerLagDecay, so the lag halves in about a quarter of a second.
const timerLagDecay = 8

// stepTimer tracks the timer that the planner has set, and the lag by which recent timers have fired late.
type stepTimer struct {
	firesAt time.Duration // 0 if no timer is set
	lag     time.Duration
}

// begin processes the start of a step. A timer that is due counts as fired, and its delay as a sample of the lag.
func (s *stepTimer) begin(now time.Duration) {
	if s.firesAt > 0 && now >= s.firesAt {
		s.lag = max(s.lag, now-s.firesAt)
		s.firesAt = 0
	}
}

// decayLag reduces the lag once per tick.
func (s *stepTimer) decayLag() { s.lag -= s.lag / timerLagDecay }

// set sets the timer unless it is already set to fire no later, and reports whether it has changed.
func (s *stepTimer) set(at time.Duration) (changed bool) {
	if s.firesAt != 0 && at >= s.firesAt {
		return false
	}
	s.firesAt = at
	return true
}
