package worker

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/http1"
)

// The time that a worker is given is at most the time that remains to the client, plus budgetSlack. The process may be suspended once
// for longestHold.
const (
	budgetSlack = 150 * time.Millisecond
	longestHold = 150 * time.Millisecond
	longestWay  = 10 * time.Millisecond // transit from the client, and to the worker
)

// stallAfterReading suspends the process after the nth reading of its clock from now on. It returns the count of readings.
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

// The time budget is within the slack wherever the process is suspended between the readings of its clock and the write.
func TestBudgetHoldsThroughAStall(t *testing.T) {
	for nth := 1; ; nth++ {
		f := newFixture(t)
		opened := f.delayConnections()
		request := f.sendAttempt(0)
		f.now = request.Deadline - 400*time.Millisecond
		(*opened)[0].release()
		readings := f.stallAfterReading(nth)
		f.runOnce()
		if *readings < nth { // the iteration reads its clock fewer times
			if nth < 4 {
				t.Errorf("only %d readings were tried", nth-1)
			}
			return
		}
		(*opened)[0].Read(1 << 12)
		if sent, remaining := (*opened)[0].budgetSent(t), request.Deadline-f.now-longestWay; sent > remaining+budgetSlack {
			t.Errorf("suspended after reading %d: budget %v, remaining %v", nth, sent, remaining)
		} else if nth <= 2 && sent > remaining { // the clock is read again before the write
			t.Errorf("suspended after reading %d, which is not the last: budget %v, remaining %v", nth, sent, remaining)
		}
	}
}

// A small request that does not fit into the socket's buffer is complete at the worker before its time budget is outdated, or never;
// also if the socket becomes writable in the iteration in which the time is up.
func TestBudgetOfASmallRequestThatWaits(t *testing.T) {
	for _, late := range []time.Duration{smallWriteTimeout - time.Millisecond, smallWriteTimeout, smallWriteTimeout + 1, longestHold, time.Second} {
		f := newFixture(t)
		first := f.sendAttempt(0)
		worker := f.dialed[0]
		worker.Read(1 << 12)
		worker.Write([]byte(acceptedResponse))
		f.runIterations()
		f.applyCallback(first, "done")
		f.now += reuseDelay
		worker.Received = nil
		worker.filledBytes = eventlooptest.FillSocket(f.pool.updateEndpoint(f.workerNumber()).idle[0].FD())
		request := f.sendAttempt(0)
		f.now += late
		worker.release()
		f.runIterations()
		worker.Read(1 << 12)
		var m http1.Request
		_, err := m.Parse(worker.Received)
		if whole := err == nil; whole != (late <= smallWriteTimeout) || len(f.dialed) != 1 {
			t.Fatalf("%v late: complete %v, %d connections", late, whole, len(f.dialed))
		} else if whole && worker.budgetSent(t) > request.Deadline-f.now-longestWay+budgetSlack-longestHold+smallWriteTimeout {
			t.Errorf("%v late: budget %v, remaining %v", late, worker.budgetSent(t), request.Deadline-f.now)
		}
	}
}

// A large request whose connection was slow to connect is written within smallWriteTimeout, or never: a retry must arrive within its
// deduplication window.
func TestLargeRequestOnALateConnection(t *testing.T) {
	for _, late := range []time.Duration{smallWriteTimeout - 1, smallWriteTimeout} {
		f := newFixture(t)
		opened := f.delayConnections()
		f.sendAttempt(http1.MaxBodySize)
		f.now += f.pool.connectTimeout
		remote := (*opened)[0]
		remote.release()
		f.runOnce()
		f.now += late
		for range 64 {
			remote.Read(1 << 20)
			f.runIterations()
		}
		var m http1.Request
		if _, err := m.Parse(remote.Received); (err == nil) != (late < smallWriteTimeout) {
			t.Errorf("%v after its connection was up: parsed with %v", late, err)
		}
	}
}

// A worker is given at most the time that remains when the attempt is written, however late the connection is up.
func TestBudgetIsRemainingTime(t *testing.T) {
	f := newFixture(t)
	opened := f.delayConnections()
	request := f.sendAttempt(0)
	f.now += f.pool.connectTimeout - time.Millisecond
	(*opened)[0].release()
	f.runIterations()
	(*opened)[0].Read(1 << 12)
	if got, remaining := (*opened)[0].budgetSent(t), request.Deadline-f.now-budgetMargin; got > remaining || got < remaining-time.Millisecond {
		t.Errorf("budget %v, remaining %v", got, remaining)
	}
}

// The time that has passed in the present iteration is subtracted from the budget.
func TestBudgetInALongIteration(t *testing.T) {
	f := newFixture(t)
	opened := f.delayConnections()
	request := f.sendAttempt(0)
	(*opened)[0].release()
	reads := 0
	f.clock = func() time.Duration { // from the start of the iteration on
		if reads++; reads > 1 {
			return f.now + 300*time.Millisecond
		}
		return f.now
	}
	f.runIterations()
	(*opened)[0].Read(1 << 12)
	if got, remaining := (*opened)[0].budgetSent(t), request.Deadline-f.now-300*time.Millisecond; got > remaining {
		t.Errorf("budget %v, remaining %v", got, remaining)
	}
}

// Nothing is written if no time remains.
func TestNothingIsSentWithoutBudget(t *testing.T) {
	f := newFixture(t)
	opened := f.delayConnections()
	request := f.sendAttempt(0)
	remote := (*opened)[0]
	f.pool.byAttempt[f.table.InFlightAttempt(request.ID, 0)].setTimeout(time.Hour) // as if connecting took as long as a request
	f.now = request.Deadline
	remote.release()
	f.runIterations()
	if remote.Read(1 << 12); len(remote.Received) > 0 || !remote.Ended {
		t.Errorf("%q was written, closed %v", remote.Received, remote.Ended)
	}
	f.expect("out of time", request, dispatch.TimedOut)
}

// The time for writing a request in parts is subtracted from the budget.
func TestBudgetOfARequestInParts(t *testing.T) {
	f := newFixture(t)
	request := f.sendAttempt(http1.MaxBodySize)
	remote := f.dialed[0]
	f.now += f.pool.connectTimeout - time.Millisecond
	for range 64 {
		f.runIterations()
		remote.Read(1 << 20)
	}
	var m http1.Request
	if _, err := m.Parse(remote.Received); err != nil {
		t.Fatalf("%d bytes received: %v", len(remote.Received), err)
	}
	if got, remaining := remote.budgetSent(t), request.Deadline-f.now; got > remaining {
		t.Errorf("budget %v, remaining %v at the last byte", got, remaining)
	}
}

// A request that is not completely written within the time to connect ends as not executed.
func TestRequestThatStaysInParts(t *testing.T) {
	f := newFixture(t)
	request := f.sendAttempt(http1.MaxBodySize)
	remote := f.dialed[0]
	remote.Read(50)
	f.runIterations()
	f.now += f.pool.connectTimeout
	for range 64 {
		f.runIterations()
		remote.Read(1 << 20)
	}
	var m http1.Request
	if _, err := m.Parse(remote.Received); err == nil || !remote.Ended {
		t.Errorf("the rest was received too, closed %v", remote.Ended)
	}
	f.expect("never complete", request, dispatch.ConnectFailed)
}
