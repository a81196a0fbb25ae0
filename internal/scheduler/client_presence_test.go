package scheduler

import (
	"fmt"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/modeltest"
)

const (
	latestBegin       = 100 * time.Millisecond // after its client's close an attempt may begin until then
	probeResponseTime = 10 * time.Millisecond  // for which an attempt is held while its client is probed
)

// A client may close its connection at the moment from which the process is held up. Wherever that is before the last look at the
// clock, after a reading of it or at a system call, nothing is written for it once the process goes on, on an idle connection as on
// one that has just come up.
func TestClientGoneWhileHeldUp(t *testing.T) {
	for _, isUp := range []bool{false, true} {
		for how, leave := range map[string]func(*peer){"end": (*peer).close, "reset": (*peer).reset} {
			t.Run(fmt.Sprintf("idle connection %v, %s", isUp, how), func(t *testing.T) {
				write, began := writeAttempt(t, isUp, 0, leave)
				if write < 6 || !began {
					t.Fatalf("%d points up to the write, begun %v", write, began)
				}
				for nth := 1; nth < write-1; nth++ { // from the last reading on nothing can be seen any more
					if _, began := writeAttempt(t, isUp, nth, leave); began {
						t.Errorf("%v after point %d of %d and its client's close an attempt began", longestHold, nth, write)
					}
				}
			})
		}
	}
}

// writeAttempt has an attempt written. The points in its course are the readings of the clock and the system calls; it returns which
// of them the write is. Its client leaves at the nth, from which the process is held up; 0: it stays.
func writeAttempt(t *testing.T, isUp bool, nth int, leave func(*peer)) (write int, began bool) {
	t.Helper()
	w := newHarness(&modeltest.Steps{T: t})
	w.listen()
	p, far := w.prepareAttempt(isUp)
	points := 0
	passPoint := func() {
		if points++; points == nth {
			leave(p)
			w.now += longestHold
		}
	}
	w.clock = func() time.Duration {
		now := w.now
		passPoint()
		return now
	}
	w.scheduler.Syscalls().Interceptor = func(call eventloop.Call, _ int) eventloop.Injection {
		passPoint()
		if call == eventloop.CallWrite && write == 0 {
			write = points
		}
		return eventloop.Injection{}
	}
	w.runIterations()
	w.now += 2 * probeResponseTime
	w.runIterations()
	far.read(1 << 12)
	return write, len(far.received) > 0
}

// prepareAttempt gives a client and a worker's side, with an attempt that the next iteration writes there: on an idle connection, or
// on one that comes up.
func (w *harness) prepareAttempt(isUp bool) (client, worker *peer) {
	job := uint64(1)
	if isUp {
		w.openIdleConnection()
		job++
	}
	p := w.connectClient()
	p.write([]byte(requestOfSize(7, 0)))
	w.runIterations()
	links := w.delayConnections()
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: job, Worker: w.workerNumber()})
	w.scheduler.Requests.Wake()
	if !isUp {
		w.runIterations()
		(*links)[0].release()
	}
	far := w.dialed[len(w.dialed)-1]
	far.received = nil
	return p, far
}

// openIdleConnection has a first request served, and its connection to the worker kept.
func (w *harness) openIdleConnection() {
	p := w.connectClient()
	p.write([]byte(requestOfSize(1, 0)))
	w.runIterations()
	w.sendJob(1)
	w.dialed[0].read(1 << 12)
	w.dialed[0].write([]byte(acceptedResponse))
	w.runIterations()
	p.write(callbackRequest("1"))
	w.runIterations()
	w.now += reuseDelay
}

// A client that has ended its side, has read the interim response to that, and then closes is noticed before its next attempt.
func TestHalfClosedClientLeaves(t *testing.T) {
	for _, since := range []time.Duration{latestBegin, time.Second} {
		w := newHarness(&modeltest.Steps{T: t})
		w.listen()
		p := w.connectClient()
		p.write([]byte(requestOfSize(1, 0)))
		w.runIterations()
		p.closeWrite()
		w.runIterations()
		p.read(1 << 10)
		w.now += time.Second
		p.close()
		w.now += since
		w.sendJob(1)
		w.now += probeResponseTime
		w.runIterations()
		for _, far := range w.dialed {
			if far.read(1 << 12); len(far.received) > 0 {
				t.Errorf("an attempt began %v after the close", since)
			}
		}
		if open := w.scheduler.Requests.OpenCount(); open != 0 {
			t.Errorf("%d requests are open", open)
		}
	}
}

// A client that has only ended its side is served, however late its attempt begins: it is probed once more before that.
func TestHalfClosedClientIsServedLate(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	w.listen()
	p := w.connectClient()
	p.write([]byte(requestOfSize(1, 0)))
	w.runIterations()
	p.closeWrite()
	w.runIterations()
	w.now += time.Second
	w.sendJob(1)
	w.now += probeResponseTime
	w.runIterations()
	if w.dialed[0].read(1 << 12); len(w.dialed[0].received) == 0 {
		t.Fatal("nothing was sent")
	}
	worker := w.connectClient()
	worker.write(callbackRequest("1"))
	w.runIterations()
	if got := p.statuses(t); len(got) != 1 || got[0] != 200 || !p.ended {
		t.Errorf("answered %v, connection ended %v", got, p.ended)
	}
}
