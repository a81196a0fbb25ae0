package live

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the lab's own lateness. Live, an answer counts until 50 ms after its deadline: a lab that was later than
// that at any time may have put somebody else's answer beyond it, and one that is often half as late does not play
// the delays that the scenario names.
const (
	VoidMost = 50 * time.Millisecond // nothing may be done later
	Void999  = 25 * time.Millisecond // nor one thing in a thousand
	tellLate = 5 * time.Millisecond  // a turn as late as that is a sight
)

// Lateness is how late the lab was: the spans from when things were on the world's agenda to when they were done.
type Lateness struct {
	Turns               int64 // instants of the agenda
	P50, P99, P999, Max time.Duration
}

// Void says why a play with such a lateness is no result; empty: it is one.
func (l Lateness) Void() string {
	switch {
	case l.Max > VoidMost:
		return fmt.Sprintf("the lab was late by %v, %v is allowed", l.Max, VoidMost)
	case l.P999 > Void999:
		return fmt.Sprintf("the lab was late by %v or more in one of 1000 turns, %v is allowed", l.P999, Void999)
	}
	return ""
}

// lateMeter measures it.
type lateMeter struct{ spans *hdrhistogram.Histogram }

func newLateMeter() lateMeter {
	return lateMeter{hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (m lateMeter) add(span time.Duration) {
	_ = m.spans.RecordValue(min(span.Microseconds(), m.spans.HighestTrackableValue()))
}

func (m lateMeter) lateness() Lateness {
	at := func(q float64) time.Duration {
		return time.Duration(m.spans.ValueAtQuantile(q)) * time.Microsecond
	}
	return Lateness{Turns: m.spans.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: at(100)}
}
