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
		for how, leave := range map[string]func(*peer){"end": (*peer).Close, "reset": (*peer).Reset} {
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
	h := newHarness(&modeltest.Steps{T: t})
	h.listen()
	p, far := h.prepareAttempt(isUp)
	points := 0
	passPoint := func() {
		if points++; points == nth {
			leave(p)
			h.now += longestHold
		}
	}
	h.clock = func() time.Duration {
		now := h.now
		passPoint()
		return now
	}
	h.scheduler.Syscalls().Interceptor = func(call eventloop.Call, _ int) eventloop.Injection {
		passPoint()
		if call == eventloop.CallWrite && write == 0 {
			write = points
		}
		return eventloop.Injection{}
	}
	h.runIterations()
	h.now += 2 * probeResponseTime
	h.runIterations()
	far.Read(1 << 12)
	return write, len(far.Received) > 0
}

// prepareAttempt gives a client and a worker's side, with an attempt that the next iteration writes there: on an idle connection, or
// on one that comes up.
func (h *harness) prepareAttempt(isUp bool) (client, worker *peer) {
	job := uint64(1)
	if isUp {
		h.openIdleConnection()
		job++
	}
	p := h.connectClient()
	p.Write([]byte(requestOfSize(7, 0)))
	h.runIterations()
	links := h.delayConnections()
	h.policy.Next = append(h.policy.Next, dispatch.Send{Job: job, Worker: h.workerNumber()})
	h.scheduler.Requests.Wake()
	if !isUp {
		h.runIterations()
		(*links)[0].release()
	}
	far := h.dialed[len(h.dialed)-1]
	far.Received = nil
	return p, far
}

// openIdleConnection has a first request served, and its connection to the worker kept.
func (h *harness) openIdleConnection() {
	p := h.connectClient()
	p.Write([]byte(requestOfSize(1, 0)))
	h.runIterations()
	h.sendJob(1)
	h.dialed[0].Read(1 << 12)
	h.dialed[0].Write([]byte(acceptedResponse))
	h.runIterations()
	p.Write(callbackRequest("1"))
	h.runIterations()
	h.now += reuseDelay
}

// A client that has ended its side, has read the interim response to that, and then closes is noticed before its next attempt.
func TestHalfClosedClientLeaves(t *testing.T) {
	for _, since := range []time.Duration{latestBegin, time.Second} {
		h := newHarness(&modeltest.Steps{T: t})
		h.listen()
		p := h.connectClient()
		p.Write([]byte(requestOfSize(1, 0)))
		h.runIterations()
		p.CloseWrite()
		h.runIterations()
		p.Read(1 << 10)
		h.now += time.Second
		p.Close()
		h.now += since
		h.sendJob(1)
		h.now += probeResponseTime
		h.runIterations()
		for _, far := range h.dialed {
			if far.Read(1 << 12); len(far.Received) > 0 {
				t.Errorf("an attempt began %v after the close", since)
			}
		}
		if open := h.scheduler.Requests.OpenCount(); open != 0 {
			t.Errorf("%d requests are open", open)
		}
	}
}

// A client that has only ended its side is served, however late its attempt begins: it is probed once more before that.
func TestHalfClosedClientIsServedLate(t *testing.T) {
	h := newHarness(&modeltest.Steps{T: t})
	h.listen()
	p := h.connectClient()
	p.Write([]byte(requestOfSize(1, 0)))
	h.runIterations()
	p.CloseWrite()
	h.runIterations()
	h.now += time.Second
	h.sendJob(1)
	h.now += probeResponseTime
	h.runIterations()
	if h.dialed[0].Read(1 << 12); len(h.dialed[0].Received) == 0 {
		t.Fatal("nothing was sent")
	}
	worker := h.connectClient()
	worker.Write(callbackRequest("1"))
	h.runIterations()
	if got := p.statuses(t); len(got) != 1 || got[0] != 200 || !p.Ended {
		t.Errorf("answered %v, connection ended %v", got, p.Ended)
	}
}
