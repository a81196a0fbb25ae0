package fleet

import (
	"time"

	"valvecove/internal/deadline"
)

// timer calls its target at a time. It is embedded in the object that it is for, so that setting it does not allocate.
type timer struct {
	deadline.Item
	target timerTarget
}

// timerTarget is called by the engine once its timer has expired.
type timerTarget interface{ timerExpired() }

// timerFunc is a function as a timer's target.
type timerFunc func()

func (f timerFunc) timerExpired() { f() }

// setTimer sets a timer to a time of the engine's clock. If it is already set, the new time replaces the old one.
func (e *engine) setTimer(set *timer, at time.Duration, target timerTarget) {
	e.timers.Remove(set)
	set.At = at
	set.target = target
	e.timers.Add(set)
}

// at calls a function at a time of the engine's clock.
func (e *engine) at(at time.Duration, action func()) { e.setTimer(&timer{}, at, timerFunc(action)) }

// fireTimers calls the targets of all timers that have expired.
func (e *engine) fireTimers() {
	e.now = e.clock()
	for e.timers.Len() > 0 {
		first := e.timers.First()
		lateness := e.now - first.At
		if lateness < 0 {
			return
		}
		e.timers.Remove(first)
		if e.measuring {
			record(e.lateness, lateness)
		}
		first.target.timerExpired()
		e.now = e.clock()
	}
}
