package process

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds on the testbed's own lateness. In a run with real processes a response counts until 50 ms after its deadline. If
// the testbed is ever later than that, it may itself have made a response miss its deadline. If it is often half as late,
// it does not produce the delays that the scenario specifies.
const (
	MaxLateness         = 50 * time.Millisecond // of any event
	MaxLateness999      = 25 * time.Millisecond // of all events but one in a thousand
	minRecordedLateness = 5 * time.Millisecond  // an iteration this late or later is recorded as a trace event
)

// Lateness summarises how late the testbed was: the time from when events of the environment's queue were due to when
// they were processed.
type Lateness struct {
	Iterations          int64 // due times of events, each counted once
	P50, P99, P999, Max time.Duration
}

// InvalidReason says why a run with this lateness is invalid; empty if it is valid.
func (l Lateness) InvalidReason() string {
	switch {
	case l.Max > MaxLateness:
		return fmt.Sprintf("the testbed was late by %v, %v is allowed", l.Max, MaxLateness)
	case l.P999 > MaxLateness999:
		return fmt.Sprintf("the testbed was late by %v or more in one of 1000 iterations, %v is allowed", l.P999, MaxLateness999)
	}
	return ""
}

// latenessMeter records the lateness of events, in microseconds.
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
