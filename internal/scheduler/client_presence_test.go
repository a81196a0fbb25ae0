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
	maxBeginAfterClose = 100 * time.Millisecond // an attempt may begin until this long after its client's close
	probeResponseTime  = 10 * time.Millisecond  // the write of an attempt is delayed for this time while its client is probed
)

// A client closes its connection just when the process is suspended. If that happens at any clock reading or system call before
// the last clock reading, no attempt is written for the client after the process resumes, neither on an idle connection nor on
// one that was just established.
func TestNoAttemptIfClientClosesDuringSuspension(t *testing.T) {
	for _, isIdle := range []bool{false, true} {
		for how, leave := range map[string]func(*peer){"end": (*peer).Close, "reset": (*peer).Reset} {
			t.Run(fmt.Sprintf("idle connection %v, %s", isIdle, how), func(t *testing.T) {
				write, began := writeAttempt(t, isIdle, 0, leave)
				if write < 6 || !began {
					t.Fatalf("%d clock readings and system calls up to the write, attempt begun %v", write, began)
				}
				for nth := 1; nth < write-1; nth++ { // a suspension after the last clock reading can't be detected
					if _, began := writeAttempt(t, isIdle, nth, leave); began {
						t.Errorf("closed and suspended for %v at point %d of %d: an attempt began", maxSuspension, nth, write)
					}
				}
			})
		}
	}
}

// writeAttempt makes the scheduler write an attempt, and counts the clock readings and system calls meanwhile. It returns which
// of them was the write, and whether the worker received any byte. At the nth, the client closes its connection and the process
// is suspended; nth 0: neither happens.
func writeAttempt(t *testing.T, isIdle bool, nth int, leave func(*peer)) (write int, began bool) {
	t.Helper()
	h := newHarness(&modeltest.Steps{T: t})
	h.listen()
	p, remote := h.prepareAttempt(isIdle)
	points := 0
	passPoint := func() {
		if points++; points == nth {
			leave(p)
			h.now += maxSuspension
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
	remote.Read(1 << 12)
	return write, len(remote.Received) > 0
}

// prepareAttempt returns a client and the remote end of a worker connection, to which the next iteration writes an attempt of the
// client's request. The connection is idle before if isIdle is set, and is established in that iteration otherwise.
func (h *harness) prepareAttempt(isIdle bool) (client, worker *peer) {
	job := uint64(1)
	if isIdle {
		h.openIdleConnection()
		job++
	}
	p := h.connectClient()
	p.Write([]byte(requestOfSize(7, 0)))
	h.runIterations()
	links := h.delayConnections()
	h.policy.Next = append(h.policy.Next, dispatch.Send{Job: job, Worker: h.workerNumber()})
	h.scheduler.Requests.Wake()
	if !isIdle {
		h.runIterations()
		(*links)[0].release()
	}
	remote := h.dialed[len(h.dialed)-1]
	remote.Received = nil
	return p, remote
}

// openIdleConnection serves a first request, which leaves an idle connection to the worker.
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

// A client half-closes its connection, reads the interim response that probes it, and then closes. The close is noticed before
// the next attempt.
func TestHalfClosedClientCloses(t *testing.T) {
	for _, since := range []time.Duration{maxBeginAfterClose, time.Second} {
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
		for _, remote := range h.dialed {
			if remote.Read(1 << 12); len(remote.Received) > 0 {
				t.Errorf("an attempt began %v after the close", since)
			}
		}
		if open := h.scheduler.Requests.OpenCount(); open != 0 {
			t.Errorf("%d requests are open, expected none", open)
		}
	}
}

// A client that has only half-closed its connection is served, however late its attempt begins: it is probed again before that.
func TestHalfClosedClientIsServed(t *testing.T) {
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
		t.Fatal("no attempt was sent")
	}
	worker := h.connectClient()
	worker.Write(callbackRequest("1"))
	h.runIterations()
	if got := p.statuses(t); len(got) != 1 || got[0] != 200 || !p.Ended {
		t.Errorf("answered %v, connection ended %v", got, p.Ended)
	}
}
