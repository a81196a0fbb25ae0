package forwarder

import (
	"math"
	"time"
)

// maxOwnTimerLag is how late a forwarder may be for its own timer and still judge planners by their reply times.
const maxOwnTimerLag = 20 * time.Millisecond

// stepTimer is the request table's timer as the forwarder has set it.
type stepTimer struct {
	firesAt    time.Duration // 0: it is not set
	lastLateAt time.Duration // the latest step that was late by more than maxOwnTimerLag
}

// begin processes the start of a step, and reports whether the step is late for the timer: messages that planners have sent
// in the meantime are not read yet.
func (s *stepTimer) begin(now time.Duration) (late bool) {
	if s.firesAt == 0 || now < s.firesAt {
		return false
	}
	late = now-s.firesAt > maxOwnTimerLag
	if late {
		s.lastLateAt = now
	}
	s.firesAt = 0
	return late
}

// isLate reports whether the step at an instant was late for the timer.
func (s *stepTimer) isLate(now time.Duration) bool { return s.lastLateAt == now }

// set sets the timer, and reports whether that changes it: a timer that fires earlier is kept.
func (s *stepTimer) set(at time.Duration) (changed bool) {
	if s.firesAt != 0 && at >= s.firesAt {
		return false
	}
	s.firesAt = at
	return true
}

// never is later than each instant.
const never = time.Duration(math.MaxInt64)

// earliest finds the earliest of some instants.
type earliest struct{ at time.Duration }

func newEarliest() earliest { return earliest{at: never} }

// consider adds an instant; 0: there is none.
func (e *earliest) consider(at time.Duration) {
	if at > 0 {
		e.at = min(e.at, at)
	}
}

// after returns the earliest instant, or the first one after now if it has passed. It returns false if there is none.
func (e *earliest) after(now time.Duration) (at time.Duration, ok bool) {
	at = max(e.at, now+1)
	return at, at < never
}
