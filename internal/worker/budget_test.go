package worker

import (
	"testing"
	"time"

	"valvecove/internal/http1"
)

// The rules on the time that a worker is given: it is at most what is left to the client, with this slack. A process may be held
// up for as long, once, and something passes on the way to and from it.
const (
	budgetSlack = 150 * time.Millisecond
	longestHold = 150 * time.Millisecond
	longestWay  = 10 * time.Millisecond // from the client, and to the worker
)

// stallAfterReading has the process held up right after the nth reading of its clock from here on.
func (f *fixture) stallAfterReading(nth int) (readings *int) {
	readings = new(int)
	f.clock = func() time.Duration {
		now := f.now
		if *readings++; *readings == nth {
			f.now += longestHold
		}
		return now
	}
	return readings
}

// Wherever between two readings of its clock and the write the process is held up, the time told is within the slack, also with
// what passes on the way.
func TestBudgetHoldsThroughAStall(t *testing.T) {
	for nth := 1; ; nth++ {
		f := newFixture(t)
		links := f.delayConnections()
		q := f.sendAttempt(0)
		f.now = q.Deadline - 400*time.Millisecond
		(*links)[0].release()
		readings := f.stallAfterReading(nth)
		f.runOnce()
		if *readings < nth { // the iteration reads its clock fewer times
			if nth < 4 {
				t.Errorf("only %d readings were tried", nth-1)
			}
			return
		}
		(*links)[0].read(1 << 12)
		if sent, remaining := (*links)[0].budgetSent(t), q.Deadline-f.now-longestWay; sent > remaining+budgetSlack {
			t.Errorf("held up after reading %d: told %v, %v are left", nth, sent, remaining)
		} else if nth <= 2 && sent > remaining { // the clock is read again before the write
			t.Errorf("held up after reading %d, which is not the last: told %v, %v are left", nth, sent, remaining)
		}
	}
}

// A small request that its socket does not take whole is either whole at the worker while the time told holds, or never is, also
// where the event that there is room comes together with the end of that time.
func TestBudgetOfASmallRequestThatWaits(t *testing.T) {
	for _, late := range []time.Duration{smallWriteTimeout - time.Millisecond, smallWriteTimeout, smallWriteTimeout + 1, longestHold, time.Second} {
		f := newFixture(t)
		first := f.sendAttempt(0)
		worker := &delayedPeer{peer: f.dialed[0]}
		worker.read(1 << 12)
		worker.write([]byte(acceptedResponse))
		f.runIterations()
		f.applyCallback(first, "done")
		f.now += reuseDelay
		worker.received = nil
		worker.filledBytes = fillSocket(f.pool.updateEndpoint(f.workerNumber()).idle[0].FD())
		q := f.sendAttempt(0)
		f.now += late
		worker.release()
		f.runIterations()
		worker.read(1 << 12)
		var m http1.Request
		_, err := m.Parse(worker.received)
		if whole := err == nil; whole != (late <= smallWriteTimeout) || len(f.dialed) != 1 {
			t.Fatalf("%v late: whole %v, %d connections", late, whole, len(f.dialed))
		} else if whole && worker.budgetSent(t) > q.Deadline-f.now-longestWay+budgetSlack-longestHold+smallWriteTimeout {
			t.Errorf("%v late: told %v, %v are left", late, worker.budgetSent(t), q.Deadline-f.now)
		}
	}
}

// A large request whose connection has taken its time is written within the time for a connection and little more, or never: a
// repeat has to arrive within its window.
func TestLargeRequestOnALateConnection(t *testing.T) {
	for _, late := range []time.Duration{smallWriteTimeout - 1, smallWriteTimeout} {
		f := newFixture(t)
		links := f.delayConnections()
		f.sendAttempt(http1.MaxBodySize)
		f.now += f.pool.connectTimeout
		p := (*links)[0]
		p.release()
		f.runOnce()
		f.now += late
		for range 64 {
			p.read(1 << 20)
			f.runIterations()
		}
		var m http1.Request
		if _, err := m.Parse(p.received); (err == nil) != (late < smallWriteTimeout) {
			t.Errorf("%v after its connection came up: parsed with %v", late, err)
		}
	}
}
