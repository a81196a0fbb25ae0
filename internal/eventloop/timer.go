package eventloop

import (
	"time"

	"valvecove/internal/deadline"
)

// Timer is a function that is called at a time of the loop's clock.
type Timer struct {
	deadline.Item
	owner Handler
	act   func()
}

// StartTimer calls act in the first iteration after the delay has passed. A panic in act ends the owner.
func (l *Loop) StartTimer(delay time.Duration, owner Handler, act func()) *Timer {
	timer := &Timer{Item: deadline.Item{At: l.now + delay}, owner: owner, act: act}
	l.timers.Add(timer)
	return timer
}

// StopTimer stops a timer. It does nothing for one that has run or is nil.
func (l *Loop) StopTimer(timer *Timer) {
	if timer != nil {
		l.timers.Remove(timer)
	}
}

// After calls act in the first iteration after the delay has passed. A panic in act ends no handler.
func (l *Loop) After(delay time.Duration, act func()) *Timer {
	return l.StartTimer(delay, (*waker)(l), act)
}

// runTimers runs the timers that are due, including those that are started meanwhile and are due at once.
func (l *Loop) runTimers() {
	for l.timers.Len() > 0 && l.timers.First().At <= l.now {
		timer := l.timers.First()
		l.timers.Remove(timer)
		l.Protect(timer.owner, timer.act)
	}
}
