package process

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the testbed's own lateness. Live, an answer counts until 50 ms after its deadline: a testbed that was later than
// that at any time may have put somebody else's answer beyond it, and one that is often half as late does not play
// the delays that the scenario names.
const (
	MaxLateness      = 50 * time.Millisecond // nothing may be done later
	MaxLateness999   = 25 * time.Millisecond // nor one thing in a thousand
	recordedLateness = 5 * time.Millisecond  // a turn as late as that is a trace event
)

// Lateness is how late the testbed was: the spans from when things were on the environment's event queue to when they were done.
type Lateness struct {
	Iterations          int64 // instants of the event queue
	P50, P99, P999, Max time.Duration
}

// InvalidReason says why a run with such a lateness is no result; empty: it is one.
func (l Lateness) InvalidReason() string {
	switch {
	case l.Max > MaxLateness:
		return fmt.Sprintf("the testbed was late by %v, %v is allowed", l.Max, MaxLateness)
	case l.P999 > MaxLateness999:
		return fmt.Sprintf("the testbed was late by %v or more in one of 1000 iterations, %v is allowed", l.P999, MaxLateness999)
	}
	return ""
}

// latenessMeter measures it.
type latenessMeter struct{ spans *hdrhistogram.Histogram }

func newLatenessMeter() latenessMeter {
	return latenessMeter{hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (m latenessMeter) add(span time.Duration) {
	_ = m.spans.RecordValue(min(span.Microseconds(), m.spans.HighestTrackableValue()))
}

func (m latenessMeter) lateness() Lateness {
	at := func(q float64) time.Duration {
		return time.Duration(m.spans.ValueAtQuantile(q)) * time.Microsecond
	}
	return Lateness{Iterations: m.spans.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: at(100)}
}
