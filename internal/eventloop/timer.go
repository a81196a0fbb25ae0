package eventloop

import (
	"time"

	"valvecove/internal/deadline"
)

// Timer is a call that is due at a time of the loop's clock.
type Timer struct {
	deadline.Item
	owner Handler
	act   func()
}

// StartTimer calls act in the iteration in which the delay has passed. A panic in it ends the owner.
func (l *Loop) StartTimer(delay time.Duration, owner Handler, act func()) *Timer {
	timer := &Timer{Item: deadline.Item{At: l.now + delay}, owner: owner, act: act}
	l.timers.Add(timer)
	return timer
}

// StopTimer has a timer not run; one that has run, and nil, are let be.
func (l *Loop) StopTimer(timer *Timer) {
	if timer != nil {
		l.timers.Remove(timer)
	}
}

// After calls act in the iteration in which the delay has passed, for no handler in particular.
func (l *Loop) After(delay time.Duration, act func()) *Timer {
	return l.StartTimer(delay, (*waker)(l), act)
}

// runTimers runs the timers that are due, and those that these start and that are due at once.
func (l *Loop) runTimers() {
	for l.timers.Len() > 0 && l.timers.First().At <= l.now {
		timer := l.timers.First()
		l.timers.Remove(timer)
		l.Protect(timer.owner, timer.act)
	}
}
