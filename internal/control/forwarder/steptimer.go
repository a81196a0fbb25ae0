package forwarder

import (
	"math"
	"time"
)

// maxOwnTimerLag is the lag of the forwarder's own timer above which late replies and commands are not held against planners.
const maxOwnTimerLag = 20 * time.Millisecond

// stepTimer tracks how the forwarder has set the request table's timer.
type stepTimer struct {
	firesAt    time.Duration // 0 if the timer is not set
	lastLateAt time.Duration // time of the latest step that was late by more than maxOwnTimerLag
}

// begin handles the start of a step, and reports whether the step is late by more than maxOwnTimerLag. Messages that planners
// have sent in the meantime may then be unread.
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

// isLate reports whether the step at now was late by more than maxOwnTimerLag.
func (s *stepTimer) isLate(now time.Duration) bool { return s.lastLateAt == now }

// set sets the timer unless it already fires earlier, and reports whether that changed it.
func (s *stepTimer) set(at time.Duration) (changed bool) {
	if s.firesAt != 0 && at >= s.firesAt {
		return false
	}
	s.firesAt = at
	return true
}

// never is later than any time at which something is due.
const never = time.Duration(math.MaxInt64)

// earliest collects times at which something is due, and finds the earliest of them.
type earliest struct{ at time.Duration }

func newEarliest() earliest { return earliest{at: never} }

// consider adds a time; 0 stands for none and is ignored.
func (e *earliest) consider(at time.Duration) {
	if at > 0 {
		e.at = min(e.at, at)
	}
}

// after returns the earliest time added, or now+1 if that has passed. It returns false if no time was added.
func (e *earliest) after(now time.Duration) (at time.Duration, ok bool) {
	at = max(e.at, now+1)
	return at, at < never
}
