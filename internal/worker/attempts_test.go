package worker

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// delayedPeer is a far end whose connection is not up yet: the loop's side takes nothing until release.
type delayedPeer struct {
	*peer
	filledBytes int
}

// delayConnections has connections come up late from now on. It gives those that were opened, in order, of which the last is the newest.
func (w *fixture) delayConnections() *[]*delayedPeer {
	opened := &[]*delayedPeer{}
	w.dial = func(at netip.AddrPort) (int, error) {
		p, fd := w.socketPair()
		p.dialedAddress = at
		w.dialed = append(w.dialed, p)
		*opened = append(*opened, &delayedPeer{p, fillSocket(fd)})
		return fd, nil
	}
	return opened
}

// fillSocket fills a socket's buffer, so that it takes nothing more.
func fillSocket(fd int) (held int) {
	b := make([]byte, 512)
	for {
		n, err := unix.Write(fd, b)
		if errors.Is(err, unix.EAGAIN) {
			return held
		}
		held += n
	}
}

// release lets the connection come up.
func (p *delayedPeer) release() {
	for b := make([]byte, 4096); p.filledBytes > 0; {
		n, err := unix.Read(p.fd, b[:min(len(b), p.filledBytes)])
		if err != nil || n == 0 {
			return
		}
		p.filledBytes -= n
	}
}

// attemptFixture is a fixture with requests that are sent to its one worker.
type attemptFixture struct {
	*fixture
	requests []*requests.Request
}

func newAttemptFixture(t *testing.T) *attemptFixture {
	t.Helper()
	return &attemptFixture{fixture: newFixture(&modeltest.Steps{T: t})}
}

// runActions has the policy do something in one iteration.
func (w *attemptFixture) runActions(actions ...dispatch.Action) {
	w.policy.Next = append(w.policy.Next, actions...)
	w.table.Wake()
	w.runIterations()
}

// sendAttempt has an attempt made of a new request.
func (w *attemptFixture) sendAttempt(size int) *requests.Request {
	w.T.Helper()
	q, err := w.table.Admit(w.now, requests.Arrival{
		CallID: fmt.Sprint("q", len(w.requests)), Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: noResponder{},
	})
	if err != nil {
		w.T.Fatal(err)
	}
	w.requests = append(w.requests, q)
	w.runActions(dispatch.Send{Job: q.ID, Worker: w.workerNumber()})
	return q
}

const acceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// acceptedAttempt has an attempt made and accepted, and then loses its connection, so that what follows needs another.
func (w *attemptFixture) acceptedAttempt() *requests.Request {
	q := w.sendAttempt(0)
	p := w.dialed[len(w.dialed)-1]
	p.read(1 << 12)
	p.write([]byte(acceptedResponse))
	w.runIterations()
	p.close()
	w.runIterations()
	return q
}

// outcomes are the results that the policy has received for a request's attempts.
func (w *attemptFixture) outcomes(q *requests.Request) (results []dispatch.Result) {
	for _, e := range w.policy.Received {
		if o, ok := e.(dispatch.Outcome); ok && o.Job == q.ID {
			results = append(results, o.Result)
		}
	}
	return results
}

func (w *attemptFixture) expect(what string, q *requests.Request, want ...dispatch.Result) {
	w.T.Helper()
	if got := w.outcomes(q); !slices.Equal(got, want) {
		w.T.Errorf("%s: outcomes %v, expected %v", what, got, want)
	}
}

func (w *attemptFixture) applyCallback(q *requests.Request, state string) {
	w.T.Helper()
	result := "r"
	if _, err := w.table.HandleCallback(requests.Callback{CallID: q.CallID, EndpointID: "s-0", State: state, Result: &result}); err != nil {
		w.T.Fatal(err)
	}
	w.runIterations()
}

// hasDelete tells whether a far end got a DELETE for a request.
func (p *peer) hasDelete(q *requests.Request) bool {
	p.read(1 << 12)
	return strings.HasPrefix(string(p.received), "DELETE /jobs/"+q.CallID+" ")
}

// respondDelete has a far end answer a DELETE.
func (w *attemptFixture) respondDelete(p *peer) {
	p.write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	w.runIterations()
}

// While the DELETE waits for a connection, or for its response, the attempt that it cancels is in flight: the policy hears of no
// end that would have it send another copy.
func TestCancelWaitsForItsConnection(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.acceptedAttempt()
	links := w.delayConnections()
	w.runActions(dispatch.Cancel{Job: q.ID})
	w.expect("not written yet", q)
	if len(*links) != 1 {
		t.Fatalf("%d connections for a DELETE", len(*links))
	}
	(*links)[0].release()
	if w.runIterations(); !(*links)[0].hasDelete(q) {
		t.Fatalf("the worker got %q", (*links)[0].received)
	}
	w.expect("not answered yet", q)
	w.respondDelete((*links)[0].peer)
	w.expect("answered", q, dispatch.Cancelled)
}

// A DELETE whose connection does not come up in time is sent on another one.
func TestCancelIsSentOnAnotherConnection(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.acceptedAttempt()
	links := w.delayConnections()
	w.runActions(dispatch.Cancel{Job: q.ID})
	w.now += w.pool.connectTimeout
	w.runIterations()
	w.now += cancelRetryDelay
	w.runIterations()
	w.expect("the first connection was late", q)
	if len(*links) != 2 {
		t.Fatalf("%d connections for a DELETE", len(*links))
	}
	(*links)[0].release()
	(*links)[1].release()
	if w.runIterations(); (*links)[0].hasDelete(q) || !(*links)[1].hasDelete(q) {
		t.Errorf("the worker got %q and %q", (*links)[0].received, (*links)[1].received)
	}
	w.expect("not answered yet", q)
	w.respondDelete((*links)[1].peer)
	w.expect("answered", q, dispatch.Cancelled)
}

// A DELETE whose connection is refused, or is reset on its way, is sent again.
func TestCancelIsSentAgainAfterAReset(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.acceptedAttempt()
	links := w.delayConnections()
	w.runActions(dispatch.Cancel{Job: q.ID})
	(*links)[0].close()
	w.runIterations()
	w.expect("reset before its last byte", q)
	w.now += cancelRetryDelay
	w.runIterations()
	(*links)[1].release()
	w.runIterations()
	w.expect("written", q)
	(*links)[1].read(1 << 12)
	(*links)[1].close() // without an answer: it may not have come
	w.runIterations()
	w.now += cancelRetryDelay
	w.runIterations()
	if len(*links) != 3 {
		t.Fatalf("%d connections for a DELETE", len(*links))
	}
	(*links)[2].release()
	if w.runIterations(); !(*links)[2].hasDelete(q) {
		t.Errorf("the worker got %q", (*links)[2].received)
	}
	w.expect("written again", q)
	w.respondDelete((*links)[2].peer)
	w.expect("at the end", q, dispatch.Cancelled)
}

// A worker that does not respond to a DELETE may be cut off, and run the attempt up to its timeout.
func TestCancelWithoutResponse(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.acceptedAttempt()
	links := w.delayConnections()
	w.runActions(dispatch.Cancel{Job: q.ID})
	(*links)[0].release()
	w.runIterations()
	w.expect("not answered yet", q)
	w.now += cancelTimeout
	w.runIterations()
	w.expect("it may be cut off, and run it", q)
	w.now = q.Deadline
	w.runIterations()
	w.expect("at the deadline", q, dispatch.TimedOut)
}

// A DELETE is given up after some connections, and the attempt runs up to its timeout.
func TestCancelThatIsNeverWritten(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.acceptedAttempt()
	links := w.delayConnections()
	w.runActions(dispatch.Cancel{Job: q.ID})
	for range 2 * maxCancelTries {
		w.now += w.pool.connectTimeout
		w.runIterations()
		w.now += cancelRetryDelay
		w.runIterations()
	}
	w.expect("as before", q)
	if len(*links) != maxCancelTries || w.pool.openCount != 0 || len(w.pool.cancelTries) != 0 {
		t.Errorf("%d connections, %d open, %d withdrawals", len(*links), w.pool.openCount, len(w.pool.cancelTries))
	}
	w.runActions(dispatch.Cancel{Job: q.ID}) // which may be asked for again
	if len(*links) != maxCancelTries+1 {
		t.Error("it is not withdrawn again")
	}
	w.now += 5 * time.Second
	w.runIterations()
	w.expect("at its deadline", q, dispatch.TimedOut)
}

// A DELETE waits for a descriptor.
func TestCancelWithoutDescriptor(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.acceptedAttempt()
	most := w.pool.maxConnections
	w.pool.maxConnections = 0
	w.runActions(dispatch.Cancel{Job: q.ID})
	w.expect("no descriptor left", q)
	w.pool.maxConnections = most
	w.now += cancelRetryDelay
	if w.runIterations(); !w.dialed[len(w.dialed)-1].hasDelete(q) {
		t.Error("nothing is written once there is a descriptor")
	}
	w.expect("not answered yet", q)
	w.respondDelete(w.dialed[len(w.dialed)-1])
	w.expect("answered", q, dispatch.Cancelled)
}

// A DELETE is not written once the worker has said that the attempt is done.
func TestCancelOfAnAttemptThatIsDone(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.acceptedAttempt()
	links := w.delayConnections()
	w.runActions(dispatch.Cancel{Job: q.ID})
	w.applyCallback(q, "done")
	w.expect("done", q, dispatch.OK)
	(*links)[0].release()
	if w.runIterations(); (*links)[0].hasDelete(q) || !(*links)[0].ended {
		t.Errorf("a worker that is done got %q", (*links)[0].received)
	}
	if len(w.pool.cancelTries) != 0 {
		t.Error("the withdrawal is still kept")
	}
}

// A DELETE is written though the attempt has timed out meanwhile: it may still be in a queue there.
func TestCancelUpToTheDeadline(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.acceptedAttempt()
	w.now = q.Deadline - 10*time.Millisecond
	links := w.delayConnections()
	w.runActions(dispatch.Cancel{Job: q.ID})
	w.now = q.Deadline
	w.runIterations()
	w.expect("its time is over", q, dispatch.TimedOut)
	(*links)[0].release()
	if w.runIterations(); len(*links) != 1 || !(*links)[0].hasDelete(q) { // it may still be in a queue there
		t.Errorf("%d connections, the worker got %q", len(*links), (*links)[0].received)
	}
}

// A DELETE is written though the client has left meanwhile.
func TestCancelOfADisconnectedClient(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.acceptedAttempt()
	links := w.delayConnections()
	w.runActions(dispatch.Cancel{Job: q.ID})
	w.table.ClientDisconnected(q)
	w.runIterations()
	(*links)[0].release()
	if w.runIterations(); !(*links)[0].hasDelete(q) {
		t.Errorf("the worker got %q", (*links)[0].received)
	}
	w.expect("not answered yet", q)
	w.respondDelete((*links)[0].peer)
	w.expect("answered", q, dispatch.Cancelled)
}

// An attempt that was given up before its connection was up is given up by closing that: what comes up late carries nothing.
func TestAttemptAbandonedBeforeItIsWritten(t *testing.T) {
	w := newAttemptFixture(t)
	links := w.delayConnections()
	q := w.sendAttempt(0)
	p := (*links)[0]
	w.runActions(dispatch.Cancel{Job: q.ID})
	w.expect("given up", q, dispatch.Cancelled)
	p.release()
	w.runIterations()
	if p.read(1 << 12); !p.ended || len(p.received) != 0 || len(*links) != 1 {
		t.Errorf("closed %v, and %d bytes came; %d connections", p.ended, len(p.received), len(*links))
	}
}

// An attempt that was written and not accepted yet may have been accepted all the same when its connection is closed. It is given
// up, and may follow elsewhere, by a DELETE that is answered, once its 202 has come.
func TestCancelOfAWrittenAttemptWaitsForItsAcceptance(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.sendAttempt(0)
	w.runActions(dispatch.Cancel{Job: q.ID})
	w.expect("not accepted yet", q)
	p := w.dialed[0]
	p.write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
	w.runIterations()
	w.expect("accepted", q)
	deleting := w.dialed[len(w.dialed)-1]
	if deleting.read(1 << 12); !deleting.hasDelete(q) {
		t.Fatalf("the worker got %q", deleting.received)
	}
	w.respondDelete(deleting)
	w.expect("answered", q, dispatch.Cancelled)
	if len(w.pool.cancelTries) != 0 {
		t.Error("the cancellation is still kept")
	}
}

// A worker that does not accept what it was written is taken not to: the attempt is given up by closing its connection.
func TestCancelOfAWrittenAttemptThatIsNotAccepted(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.sendAttempt(0)
	w.runActions(dispatch.Cancel{Job: q.ID})
	w.now += acceptanceTimeout - time.Millisecond
	w.runIterations()
	w.expect("not accepted yet", q)
	w.now += time.Millisecond
	w.runIterations()
	w.expect("not accepted in time", q, dispatch.Cancelled)
	p := w.dialed[0]
	if p.read(1 << 12); !p.ended || len(w.dialed) != 1 || len(w.pool.cancelTries) != 0 {
		t.Errorf("closed %v, %d connections, %d cancellations", p.ended, len(w.dialed), len(w.pool.cancelTries))
	}
}

// A worker that has an attempt which has neither ended nor been given up gets no second one, whatever the policy wants.
func TestOneAttemptAtOneWorker(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.sendAttempt(0)
	p := w.dialed[0]
	again := dispatch.Send{Job: q.ID, Worker: w.workerNumber()}
	w.runActions(again)
	w.expect("before the 202", q, dispatch.NotSent)
	p.read(1 << 12)
	p.write([]byte(acceptedResponse))
	w.runIterations()
	w.runActions(again)
	links := w.delayConnections()
	p.close()
	w.runActions(dispatch.Cancel{Job: q.ID}, again)
	w.expect("while it is withdrawn", q, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)
	if len(*links) != 1 {
		t.Fatalf("%d connections", len(*links))
	}
	(*links)[0].release()
	w.runIterations()
	(*links)[0].read(1 << 12)
	w.runActions(again)
	w.expect("not answered yet", q, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)
	w.respondDelete((*links)[0].peer)
	(*links)[0].close()
	w.runIterations()
	w.runActions(again)
	w.expect("once it is withdrawn", q, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.Cancelled)
	if len(*links) != 2 {
		t.Errorf("%d connections: it is not sent again", len(*links))
	}
}

func (p *peer) budgetSent(t *testing.T) time.Duration {
	t.Helper()
	_, text, ok := strings.Cut(string(p.received), "X-Budget-Ms: ")
	text, _, _ = strings.Cut(text, "\r\n")
	ms, good := http1.ParseDecimal([]byte(text))
	if !ok || !good {
		t.Fatalf("no budget in %.200q", p.received)
	}
	return time.Duration(ms) * time.Millisecond
}

// A worker is given at most the time that remains when the attempt is sent, however late the connection comes up.
func TestBudgetIsRemainingTime(t *testing.T) {
	w := newAttemptFixture(t)
	links := w.delayConnections()
	q := w.sendAttempt(0)
	w.now += w.pool.connectTimeout - time.Millisecond
	(*links)[0].release()
	w.runIterations()
	(*links)[0].read(1 << 12)
	if got, remaining := (*links)[0].budgetSent(t), q.Deadline-w.now-budgetMargin; got > remaining || got < remaining-time.Millisecond {
		t.Errorf("told %v, %v are left", got, remaining)
	}
}

// The time that an iteration takes is off the budget.
func TestBudgetInALongIteration(t *testing.T) {
	w := newAttemptFixture(t)
	links := w.delayConnections()
	q := w.sendAttempt(0)
	(*links)[0].release()
	reads := 0
	w.clock = func() time.Duration { // from the start of the iteration on
		if reads++; reads > 1 {
			return w.now + 300*time.Millisecond
		}
		return w.now
	}
	w.runIterations()
	(*links)[0].read(1 << 12)
	if got, remaining := (*links)[0].budgetSent(t), q.Deadline-w.now-300*time.Millisecond; got > remaining {
		t.Errorf("told %v, %v are left", got, remaining)
	}
}

// With no time remaining nothing is sent.
func TestNothingIsSentWithoutBudget(t *testing.T) {
	w := newAttemptFixture(t)
	links := w.delayConnections()
	q := w.sendAttempt(0)
	p := (*links)[0]
	w.pool.byAttempt[w.table.InFlightAttempt(q.ID, 0)].setTimeout(time.Hour) // a connection may take as long as a request
	w.now = q.Deadline
	p.release()
	w.runIterations()
	if p.read(1 << 12); len(p.received) > 0 || !p.ended {
		t.Errorf("with no time left %q was sent, closed %v", p.received, p.ended)
	}
	w.expect("out of time", q, dispatch.TimedOut)
}

// The time in which a request goes in parts is off the budget.
func TestBudgetOfARequestInParts(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.sendAttempt(http1.MaxBodySize)
	p := w.dialed[0]
	w.now += w.pool.connectTimeout - time.Millisecond
	for range 64 {
		w.runIterations()
		p.read(1 << 20)
	}
	var m http1.Request
	if _, err := m.Parse(p.received); err != nil {
		t.Fatalf("%d bytes came: %v", len(p.received), err)
	}
	if got, remaining := p.budgetSent(t), q.Deadline-w.now; got > remaining {
		t.Errorf("told %v, %v were left with the last byte", got, remaining)
	}
}

// A request that does not go whole within the time for a connection is not sent.
func TestRequestThatStaysInParts(t *testing.T) {
	w := newAttemptFixture(t)
	q := w.sendAttempt(http1.MaxBodySize)
	p := w.dialed[0]
	p.read(50)
	w.runIterations()
	w.now += w.pool.connectTimeout
	for range 64 {
		w.runIterations()
		p.read(1 << 20)
	}
	var m http1.Request
	if _, err := m.Parse(p.received); err == nil || !p.ended {
		t.Errorf("the rest came too, closed %v", p.ended)
	}
	w.expect("never whole", q, dispatch.ConnectFailed)
}

// 'Has it run?' follows from the last byte, also where the connection is reset in the very moment.
func TestResetAroundTheLastByte(t *testing.T) {
	for name, x := range map[string]struct {
		size int
		far  func(w *attemptFixture, q *requests.Request, p *peer)
		want []dispatch.Result
	}{
		"before it": {http1.MaxBodySize, func(_ *attemptFixture, _ *requests.Request, p *peer) { p.read(4000); p.close() }, []dispatch.Result{dispatch.ConnectFailed}},
		"after it":  {0, func(_ *attemptFixture, _ *requests.Request, p *peer) { p.read(4000); p.close() }, []dispatch.Result{dispatch.ConnectionReset}},
		"in the answer": {0, func(_ *attemptFixture, _ *requests.Request, p *peer) {
			p.read(4000)
			p.write([]byte(acceptedResponse[:20]))
			p.close()
		}, []dispatch.Result{dispatch.ConnectionReset}},
		"behind the 202": {0, func(_ *attemptFixture, _ *requests.Request, p *peer) {
			p.read(4000)
			p.write([]byte(acceptedResponse))
			p.close()
		}, nil},
		"behind the 202, told as lost": {0, func(w *attemptFixture, q *requests.Request, p *peer) {
			p.read(4000)
			p.write([]byte(acceptedResponse))
			p.close()
			w.runIterations()
			w.applyCallback(q, "lost")
		}, []dispatch.Result{dispatch.ConnectionReset}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newAttemptFixture(t)
			q := w.sendAttempt(x.size)
			x.far(w, q, w.dialed[0])
			w.runIterations()
			w.expect(name, q, x.want...)
			if w.pool.openCount != 0 {
				t.Error("the connection is still kept")
			}
		})
	}
}

// A call-back may come before the 202, and twice. It counts once, and the connection is free with the 202 all the same.
func TestCallbackBeforeTheAcceptance(t *testing.T) {
	for state, want := range map[string]dispatch.Result{"done": dispatch.OK, "returned": dispatch.WorkerFull, "failed": dispatch.Failed, "lost": dispatch.ConnectionReset} {
		t.Run(state, func(t *testing.T) {
			w := newAttemptFixture(t)
			q := w.sendAttempt(0)
			w.applyCallback(q, state)
			w.applyCallback(q, state)
			w.expect("told twice", q, want)
			p := w.dialed[0]
			p.read(1 << 12)
			p.received = nil
			p.write([]byte(acceptedResponse))
			w.runIterations()
			w.expect("and accepted", q, want)
			w.now += reuseDelay
			next := w.sendAttempt(0)
			if p.read(1 << 12); len(w.dialed) != 1 || !strings.Contains(string(p.received), "X-Call-Id: "+next.CallID+"\r\n") {
				t.Errorf("%d connections, the free one carries %q", len(w.dialed), p.received)
			}
			w.expect("of the next", next)
		})
	}
}

// A second answer is never that of the next request, wherever it comes: its connection ends, or does not carry until none is due.
func TestStrayResponse(t *testing.T) {
	const refused = "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	for name, far := range map[string]func(w *attemptFixture, p *peer){
		"right behind the first": func(w *attemptFixture, p *peer) {
			p.write([]byte(acceptedResponse + refused))
			w.runIterations()
			w.now += reuseDelay
		},
		"half of one behind it": func(w *attemptFixture, p *peer) {
			p.write([]byte(acceptedResponse + refused[:5]))
			w.runIterations()
			w.now += reuseDelay
		},
		"at rest": func(w *attemptFixture, p *peer) {
			p.write([]byte(acceptedResponse))
			w.runIterations()
			w.now += reuseDelay
			p.write([]byte(refused))
			w.runIterations()
		},
		"between what is gathered and what is written": func(w *attemptFixture, p *peer) {
			p.write([]byte(acceptedResponse))
			w.runIterations()
			w.now += reuseDelay
			w.loop.UpdateNow()
			q, _ := w.table.Admit(w.now, requests.Arrival{
				CallID: "between", Job: dispatch.Job{Remaining: 5 * time.Second},
				Payload: requests.Payload{Method: "POST", Path: "/a"}, Responder: noResponder{},
			})
			w.policy.Next = append(w.policy.Next, dispatch.Send{Job: q.ID, Worker: w.workerNumber()})
			p.write([]byte(refused))
			w.table.Step(w.now)
		},
		"some milliseconds later": func(w *attemptFixture, p *peer) {
			p.write([]byte(acceptedResponse))
			w.runIterations()
			w.now += reuseDelay - time.Millisecond
			w.sendAttempt(0)
			p.write([]byte(refused))
			w.runIterations()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newAttemptFixture(t)
			q := w.sendAttempt(0)
			p := w.dialed[0]
			p.read(1 << 12)
			p.received = nil
			far(w, p)
			next := w.sendAttempt(0)
			if p.read(1 << 12); len(p.received) > 0 {
				t.Errorf("the connection carries %.60q", p.received)
			}
			w.expect("the first", q)
			w.expect("the next", next)
			if !p.ended {
				t.Error("the connection goes on")
			}
			last := w.dialed[len(w.dialed)-1]
			if last.read(1 << 12); !strings.Contains(string(last.received), "X-Call-Id: "+next.CallID+"\r\n") {
				t.Errorf("the next went as %q", last.received)
			}
			last.write([]byte("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"))
			w.runIterations()
			w.expect("the next by its own answer", next, dispatch.Failed)
		})
	}
	// What a connection was used for before has a word of its own, so its second answer is known for what it is.
	t.Run("to a probe", func(t *testing.T) {
		w := newAttemptFixture(t)
		const alive = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		w.runActions(dispatch.HealthCheck{Worker: w.workerNumber()})
		p := w.dialed[0]
		p.read(1 << 12)
		p.write([]byte(alive))
		w.runIterations()
		q := w.sendAttempt(0)
		if len(w.dialed) != 1 {
			t.Fatal("the connection of a probe does not carry")
		}
		p.write([]byte(alive))
		w.runIterations()
		w.expect("no word of its own", q, dispatch.ConnectionReset)
		if p.read(1 << 12); !p.ended {
			t.Error("the connection goes on")
		}
	})
	t.Run("of a request, to a probe", func(t *testing.T) {
		w := newAttemptFixture(t)
		w.sendAttempt(0)
		p := w.dialed[0]
		p.read(1 << 12)
		p.write([]byte(acceptedResponse))
		w.runIterations()
		w.runActions(dispatch.HealthCheck{Worker: w.workerNumber()})
		p.write([]byte(acceptedResponse))
		w.runIterations()
		if got, _ := w.policy.Received[len(w.policy.Received)-1].(dispatch.HealthChecked); got.Result != dispatch.NotSent || len(w.dialed) != 1 {
			t.Errorf("the probe ended as %v on %d connections", got.Result, len(w.dialed))
		}
	})
}

// A close with a part of an answer is no answer. One without a length lasts until the close, and is whole with that.
func TestTruncatedResponse(t *testing.T) {
	for text, want := range map[string][]dispatch.Result{
		"":                                    {dispatch.ConnectionReset},
		"HTTP/1.1 20":                         {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted":               {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\n":           {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\nContent-Le": {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nhalf":             {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nha": {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n":   {dispatch.ConnectionReset},
		"HTTP/1.1 100 Continue\r\n\r\n":                                      {dispatch.ConnectionReset},
		"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\n":                             {dispatch.ConnectionReset},
		"HTTP/1.1 202 Accepted\r\n\r\nuntil the cl":                          nil,
		"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\n\r\nuntil the cl":             {dispatch.WorkerFull},
	} {
		w := newAttemptFixture(t)
		q := w.sendAttempt(0)
		p := w.dialed[0]
		p.read(1 << 12)
		p.write([]byte(text))
		w.runIterations()
		w.expect(fmt.Sprintf("%q, and no more yet", text), q)
		p.close()
		w.runIterations()
		w.expect(fmt.Sprintf("%q, closed", text), q, want...)
		if w.pool.openCount != 0 || len(w.pool.byAttempt) != 0 {
			t.Errorf("%q: the connection is still kept", text)
		}
	}
}

// An answer without end ends its connection within its bound, and nothing else suffers.
func TestEndlessResponse(t *testing.T) {
	for name, x := range map[string]struct{ header, again string }{
		"a status line":          {"", "HTTP/1.1 202 Accepted "},
		"a head":                 {"HTTP/1.1 202 Accepted\r\n", "X: y\r\n"},
		"interim answers":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"a body until it closes": {"HTTP/1.1 202 Accepted\r\n\r\n", "0123456789abcdef"},
		"chunks":                 {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailers":               {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"a chunk's line":         {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newAttemptFixture(t)
			q := w.sendAttempt(0)
			p := w.dialed[0]
			p.read(1 << 12)
			p.write([]byte(x.header))
			k := w.pool.byAttempt[w.table.InFlightAttempt(q.ID, 0)]
			piece, most := strings.Repeat(x.again, 4096/len(x.again)), 0
			for n := 0; n < 4*maxResponseSize && !p.ended; n += len(piece) {
				p.write([]byte(piece))
				w.runIterations()
				most = max(most, len(k.Input()))
				p.read(1)
			}
			if !p.ended || most > maxResponseSize+64<<10 {
				t.Fatalf("ended %v, %d bytes were kept", p.ended, most)
			}
			w.expect("spoilt", q, dispatch.ConnectionReset)
			next := w.sendAttempt(0)
			last := w.dialed[len(w.dialed)-1]
			last.read(1 << 12)
			last.write([]byte("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"))
			w.runIterations()
			w.expect("the next", next, dispatch.WorkerFull)
		})
	}
}

// An answer that comes before our last byte is written ends the connection, so the worker never has it whole and can't run it.
func TestResponseBeforeTheLastByte(t *testing.T) {
	for text, want := range map[string]dispatch.Result{
		acceptedResponse: dispatch.ConnectFailed,
		"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n":                 dispatch.ConnectFailed,
		"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n": dispatch.WorkerFull,
		"HTTP/1.1 413 Too large\r\nContent-Length: 0\r\n\r\n":             dispatch.NotSent,
		"garbage\r\n\r\n": dispatch.ConnectFailed,
	} {
		w := newAttemptFixture(t)
		q := w.sendAttempt(http1.MaxBodySize)
		p := w.dialed[0]
		p.read(1000)
		p.write([]byte(text))
		for range 64 {
			w.runIterations()
			p.read(1 << 20)
		}
		var m http1.Request
		if _, err := m.Parse(p.received); err == nil || !p.ended {
			t.Errorf("%.20q: the rest came too, closed %v", text, p.ended)
		}
		w.expect(fmt.Sprintf("%.12q", text), q, want)
	}
}
