package worker

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/http1"
)

// The time budget that a worker receives may exceed the time that remains until the client's deadline by at most budgetSlack. The
// process may be suspended once, for maxSuspension.
const (
	budgetSlack    = 150 * time.Millisecond
	maxSuspension  = 150 * time.Millisecond
	maxNetworkTime = 10 * time.Millisecond // from the client and to the worker
)

// suspendAfterReading simulates a suspension of the process after the nth reading of its clock from now on. It returns the count
// of readings.
func (f *fixture) suspendAfterReading(nth int) (readings *int) {
	readings = new(int)
	f.clock = func() time.Duration {
		now := f.now
		if *readings++; *readings == nth {
			f.now += maxSuspension
		}
		return now
	}
	return readings
}

// The time budget is within the slack wherever the process is suspended between the readings of its clock and the write.
func TestBudgetAfterSuspension(t *testing.T) {
	for nth := 1; ; nth++ {
		f := newFixture(t)
		opened := f.delayConnections()
		request := f.sendAttempt(0)
		f.now = request.Deadline - 400*time.Millisecond
		(*opened)[0].release()
		readings := f.suspendAfterReading(nth)
		f.runOnce()
		if *readings < nth { // the iteration reads the clock fewer than nth times
			if nth < 4 {
				t.Errorf("only %d readings were tried", nth-1)
			}
			return
		}
		(*opened)[0].Read(1 << 12)
		if sent, remaining := (*opened)[0].budgetSent(t), request.Deadline-f.now-maxNetworkTime; sent > remaining+budgetSlack {
			t.Errorf("suspended after reading %d: budget %v, remaining %v", nth, sent, remaining)
		} else if nth <= 2 && sent > remaining { // the clock is read again before the write
			t.Errorf("suspended after reading %d, which is not the last: budget %v, remaining %v", nth, sent, remaining)
		}
	}
}

// A small request that waits for space in the socket's buffer is completely written within smallWriteTimeout, while its time
// budget is current, or never: also if the socket becomes writable in the iteration in which the timeout passes.
func TestBudgetOfDelayedSmallRequest(t *testing.T) {
	for _, late := range []time.Duration{smallWriteTimeout - time.Millisecond, smallWriteTimeout, smallWriteTimeout + 1, maxSuspension, time.Second} {
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
		if isComplete := err == nil; isComplete != (late <= smallWriteTimeout) || len(f.dialed) != 1 {
			t.Fatalf("%v late: complete %v, %d connections", late, isComplete, len(f.dialed))
		} else if isComplete && worker.budgetSent(t) > request.Deadline-f.now-maxNetworkTime+budgetSlack-maxSuspension+smallWriteTimeout {
			t.Errorf("%v late: budget %v, remaining %v", late, worker.budgetSent(t), request.Deadline-f.now)
		}
	}
}

// A large request whose connection has used up the connect timeout is written within smallWriteTimeout, or never: a retry must
// reach the worker within the deduplication window.
func TestLargeRequestOnSlowConnection(t *testing.T) {
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
			t.Errorf("written until %v after its connection was established: parsed with %v", late, err)
		}
	}
}

// The time budget is the time that remains when the attempt is written, less budgetMargin, however long connecting took.
func TestBudgetIsRemainingTime(t *testing.T) {
	f := newFixture(t)
	opened := f.delayConnections()
	request := f.sendAttempt(0)
	f.now += f.pool.connectTimeout - time.Millisecond
	(*opened)[0].release()
	f.runIterations()
	(*opened)[0].Read(1 << 12)
	if got, remaining := (*opened)[0].budgetSent(t), request.Deadline-f.now-budgetMargin; got > remaining || got < remaining-time.Millisecond {
		t.Errorf("budget %v, expected the remaining time %v", got, remaining)
	}
}

// The time that has passed in the current iteration is subtracted from the budget.
func TestBudgetInLongIteration(t *testing.T) {
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
		t.Errorf("budget %v, expected at most the remaining time %v", got, remaining)
	}
}

// Nothing is written if no time remains.
func TestAttemptWithoutBudgetIsNotWritten(t *testing.T) {
	f := newFixture(t)
	opened := f.delayConnections()
	request := f.sendAttempt(0)
	remote := (*opened)[0]
	// Simulates a connect timeout that ends after the request's deadline.
	f.pool.byAttempt[f.table.InFlightAttempt(request.ID, 0)].setTimeout(time.Hour)
	f.now = request.Deadline
	remote.release()
	f.runIterations()
	if remote.Read(1 << 12); len(remote.Received) > 0 || !remote.Ended {
		t.Errorf("%q was written, expected nothing; closed %v", remote.Received, remote.Ended)
	}
	f.expect("at the deadline", request, dispatch.TimedOut)
}

// The time for writing a request in parts is subtracted from its time budget.
func TestBudgetOfRequestWrittenInParts(t *testing.T) {
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
		t.Fatalf("%d bytes received, expected a complete request: %v", len(remote.Received), err)
	}
	if got, remaining := remote.budgetSent(t), request.Deadline-f.now; got > remaining {
		t.Errorf("budget %v, remaining %v at the last byte", got, remaining)
	}
}

// A request that is not completely written within the connect timeout ends as not executed.
func TestRequestNotCompletedInTime(t *testing.T) {
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
		t.Errorf("the whole request was received, or the connection is open; closed %v", remote.Ended)
	}
	f.expect("never complete", request, dispatch.ConnectFailed)
}
