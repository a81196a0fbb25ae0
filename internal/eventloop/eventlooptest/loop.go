// Package eventlooptest runs an event loop on a clock that the test controls, and provides connections whose remote ends the test
// reads and writes. It is for tests only.
package eventlooptest

import (
	"log/slog"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
)

// startTime is the time of a new loop. It is not zero, so that tests can use earlier times.
const startTime = 1000 * time.Hour

// iterations is the number of iterations that RunIterations runs: enough to handle all consequences of one event.
const iterations = 4

// Loop is an event loop whose clock returns Time.
type Loop struct {
	*eventloop.Loop
	Time time.Duration

	tb testing.TB
}

// NewLoop returns a loop with hooks. It is closed at the end of the test.
func NewLoop(tb testing.TB, hooks eventloop.Hooks) *Loop {
	tb.Helper()
	loop := &Loop{Time: startTime, tb: tb}
	events, err := eventloop.New(eventloop.Config{
		Clock: func() time.Duration { return loop.Time },
		Log:   slog.New(slog.DiscardHandler),
		Hooks: hooks,
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(events.CloseDescriptors)
	loop.Loop = events
	return loop
}

// RunIterations runs enough iterations, without waiting, to do all that is due now.
func (l *Loop) RunIterations() {
	l.tb.Helper()
	for range iterations {
		if err := l.RunOnce(0); err != nil {
			l.tb.Fatal(err)
		}
	}
}

// Advance advances the clock and runs the loop.
func (l *Loop) Advance(span time.Duration) {
	l.tb.Helper()
	l.Time += span
	l.RunIterations()
}

// ReadyDescriptors returns the number of descriptors that have events. The events are not handled.
func (l *Loop) ReadyDescriptors() int {
	l.tb.Helper()
	ready, err := unix.EpollWait(l.EpollFD(), make([]unix.EpollEvent, 64), 0)
	if err != nil {
		l.tb.Fatal(err)
	}
	return ready
}
