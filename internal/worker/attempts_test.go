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
	"valvecove/internal/requests"
)

// delayedPeer is a far end whose connection is not up yet: the loop's side takes nothing until release.
type delayedPeer struct {
	*peer
	filledBytes int
}

// delayConnections has connections come up late from now on. It gives those that were opened, in order, of which the last is the newest.
func (f *fixture) delayConnections() *[]*delayedPeer {
	opened := &[]*delayedPeer{}
	f.dial = func(at netip.AddrPort) (int, error) {
		p, fd := f.socketPair()
		p.dialedAddress = at
		f.dialed = append(f.dialed, p)
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

// runActions has the policy do something in one iteration.
func (f *fixture) runActions(actions ...dispatch.Action) {
	f.policy.Next = append(f.policy.Next, actions...)
	f.table.Wake()
	f.runIterations()
}

// sendAttempt has an attempt made of a new request.
func (f *fixture) sendAttempt(size int) *requests.Request {
	f.tb.Helper()
	q, err := f.table.Admit(f.now, requests.Arrival{
		CallID: fmt.Sprint("q", len(f.requests)), Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: noResponder{},
	})
	if err != nil {
		f.tb.Fatal(err)
	}
	f.requests = append(f.requests, q)
	f.runActions(dispatch.Send{Job: q.ID, Worker: f.workerNumber()})
	return q
}

const acceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// acceptedAttempt has an attempt made and accepted, and then loses its connection, so that what follows needs another.
func (f *fixture) acceptedAttempt() *requests.Request {
	q := f.sendAttempt(0)
	p := f.dialed[len(f.dialed)-1]
	p.read(1 << 12)
	p.write([]byte(acceptedResponse))
	f.runIterations()
	p.close()
	f.runIterations()
	return q
}

// outcomes are the results that the policy has received for a request's attempts.
func (f *fixture) outcomes(q *requests.Request) (results []dispatch.Result) {
	for _, e := range f.policy.Received {
		if o, ok := e.(dispatch.Outcome); ok && o.Job == q.ID {
			results = append(results, o.Result)
		}
	}
	return results
}

func (f *fixture) expect(what string, q *requests.Request, want ...dispatch.Result) {
	f.tb.Helper()
	if got := f.outcomes(q); !slices.Equal(got, want) {
		f.tb.Errorf("%s: outcomes %v, expected %v", what, got, want)
	}
}

func (f *fixture) applyCallback(q *requests.Request, state string) {
	f.tb.Helper()
	result := "r"
	if _, err := f.table.HandleCallback(requests.Callback{CallID: q.CallID, EndpointID: "s-0", State: state, Result: &result}); err != nil {
		f.tb.Fatal(err)
	}
	f.runIterations()
}

// hasDelete tells whether a far end got a DELETE for a request.
func (p *peer) hasDelete(q *requests.Request) bool {
	p.read(1 << 12)
	return strings.HasPrefix(string(p.received), "DELETE /jobs/"+q.CallID+" ")
}

// respondDelete has a far end answer a DELETE.
func (f *fixture) respondDelete(p *peer) {
	p.write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	f.runIterations()
}

// While the DELETE waits for a connection, or for its response, the attempt that it cancels is in flight: the policy hears of no
// end that would have it send another copy.
func TestCancelWaitsForItsConnection(t *testing.T) {
	f := newFixture(t)
	q := f.acceptedAttempt()
	links := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: q.ID})
	f.expect("not written yet", q)
	if len(*links) != 1 {
		t.Fatalf("%d connections for a DELETE", len(*links))
	}
	(*links)[0].release()
	if f.runIterations(); !(*links)[0].hasDelete(q) {
		t.Fatalf("the worker got %q", (*links)[0].received)
	}
	f.expect("not answered yet", q)
	f.respondDelete((*links)[0].peer)
	f.expect("answered", q, dispatch.Cancelled)
}

// A DELETE whose connection does not come up in time is sent on another one.
func TestCancelIsSentOnAnotherConnection(t *testing.T) {
	f := newFixture(t)
	q := f.acceptedAttempt()
	links := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: q.ID})
	f.now += f.pool.connectTimeout
	f.runIterations()
	f.now += cancelRetryDelay
	f.runIterations()
	f.expect("the first connection was late", q)
	if len(*links) != 2 {
		t.Fatalf("%d connections for a DELETE", len(*links))
	}
	(*links)[0].release()
	(*links)[1].release()
	if f.runIterations(); (*links)[0].hasDelete(q) || !(*links)[1].hasDelete(q) {
		t.Errorf("the worker got %q and %q", (*links)[0].received, (*links)[1].received)
	}
	f.expect("not answered yet", q)
	f.respondDelete((*links)[1].peer)
	f.expect("answered", q, dispatch.Cancelled)
}

// A DELETE whose connection is refused, or is reset on its way, is sent again.
func TestCancelIsSentAgainAfterAReset(t *testing.T) {
	f := newFixture(t)
	q := f.acceptedAttempt()
	links := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: q.ID})
	(*links)[0].close()
	f.runIterations()
	f.expect("reset before its last byte", q)
	f.now += cancelRetryDelay
	f.runIterations()
	(*links)[1].release()
	f.runIterations()
	f.expect("written", q)
	(*links)[1].read(1 << 12)
	(*links)[1].close() // without an answer: it may not have come
	f.runIterations()
	f.now += cancelRetryDelay
	f.runIterations()
	if len(*links) != 3 {
		t.Fatalf("%d connections for a DELETE", len(*links))
	}
	(*links)[2].release()
	if f.runIterations(); !(*links)[2].hasDelete(q) {
		t.Errorf("the worker got %q", (*links)[2].received)
	}
	f.expect("written again", q)
	f.respondDelete((*links)[2].peer)
	f.expect("at the end", q, dispatch.Cancelled)
}

// A worker that does not respond to a DELETE may be cut off, and run the attempt up to its timeout.
func TestCancelWithoutResponse(t *testing.T) {
	f := newFixture(t)
	q := f.acceptedAttempt()
	links := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: q.ID})
	(*links)[0].release()
	f.runIterations()
	f.expect("not answered yet", q)
	f.now += cancelTimeout
	f.runIterations()
	f.expect("it may be cut off, and run it", q)
	f.now = q.Deadline
	f.runIterations()
	f.expect("at the deadline", q, dispatch.TimedOut)
}

// A DELETE is given up after some connections, and the attempt runs up to its timeout.
func TestCancelThatIsNeverWritten(t *testing.T) {
	f := newFixture(t)
	q := f.acceptedAttempt()
	links := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: q.ID})
	for range 2 * maxCancelAttempts {
		f.now += f.pool.connectTimeout
		f.runIterations()
		f.now += cancelRetryDelay
		f.runIterations()
	}
	f.expect("as before", q)
	if len(*links) != maxCancelAttempts || f.pool.openCount != 0 || len(f.pool.cancelAttempts) != 0 {
		t.Errorf("%d connections, %d open, %d withdrawals", len(*links), f.pool.openCount, len(f.pool.cancelAttempts))
	}
	f.runActions(dispatch.Cancel{Job: q.ID}) // which may be asked for again
	if len(*links) != maxCancelAttempts+1 {
		t.Error("it is not withdrawn again")
	}
	f.now += 5 * time.Second
	f.runIterations()
	f.expect("at its deadline", q, dispatch.TimedOut)
}

// A DELETE waits for a descriptor.
func TestCancelWithoutDescriptor(t *testing.T) {
	f := newFixture(t)
	q := f.acceptedAttempt()
	most := f.pool.maxConnections
	f.pool.SetMaxConnections(0)
	f.runActions(dispatch.Cancel{Job: q.ID})
	f.expect("no descriptor left", q)
	f.pool.SetMaxConnections(most)
	f.now += cancelRetryDelay
	if f.runIterations(); !f.dialed[len(f.dialed)-1].hasDelete(q) {
		t.Error("nothing is written once there is a descriptor")
	}
	f.expect("not answered yet", q)
	f.respondDelete(f.dialed[len(f.dialed)-1])
	f.expect("answered", q, dispatch.Cancelled)
}

// A DELETE is not written once the worker has said that the attempt is done.
func TestCancelOfAnAttemptThatIsDone(t *testing.T) {
	f := newFixture(t)
	q := f.acceptedAttempt()
	links := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: q.ID})
	f.applyCallback(q, "done")
	f.expect("done", q, dispatch.OK)
	(*links)[0].release()
	if f.runIterations(); (*links)[0].hasDelete(q) || !(*links)[0].ended {
		t.Errorf("a worker that is done got %q", (*links)[0].received)
	}
	if len(f.pool.cancelAttempts) != 0 {
		t.Error("the withdrawal is still kept")
	}
}

// A DELETE is written though the attempt has timed out meanwhile: it may still be in a queue there.
func TestCancelUpToTheDeadline(t *testing.T) {
	f := newFixture(t)
	q := f.acceptedAttempt()
	f.now = q.Deadline - 10*time.Millisecond
	links := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: q.ID})
	f.now = q.Deadline
	f.runIterations()
	f.expect("its time is over", q, dispatch.TimedOut)
	(*links)[0].release()
	if f.runIterations(); len(*links) != 1 || !(*links)[0].hasDelete(q) { // it may still be in a queue there
		t.Errorf("%d connections, the worker got %q", len(*links), (*links)[0].received)
	}
}

// A DELETE is written though the client has left meanwhile.
func TestCancelOfADisconnectedClient(t *testing.T) {
	f := newFixture(t)
	q := f.acceptedAttempt()
	links := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: q.ID})
	f.table.ClientDisconnected(q)
	f.runIterations()
	(*links)[0].release()
	if f.runIterations(); !(*links)[0].hasDelete(q) {
		t.Errorf("the worker got %q", (*links)[0].received)
	}
	f.expect("not answered yet", q)
	f.respondDelete((*links)[0].peer)
	f.expect("answered", q, dispatch.Cancelled)
}

// An attempt that was given up before its connection was up is given up by closing that: what comes up late carries nothing.
func TestAttemptAbandonedBeforeItIsWritten(t *testing.T) {
	f := newFixture(t)
	links := f.delayConnections()
	q := f.sendAttempt(0)
	p := (*links)[0]
	f.runActions(dispatch.Cancel{Job: q.ID})
	f.expect("given up", q, dispatch.Cancelled)
	p.release()
	f.runIterations()
	if p.read(1 << 12); !p.ended || len(p.received) != 0 || len(*links) != 1 {
		t.Errorf("closed %v, and %d bytes came; %d connections", p.ended, len(p.received), len(*links))
	}
}

// An attempt that was written and not accepted yet may have been accepted all the same when its connection is closed. It is given
// up, and may follow elsewhere, by a DELETE that is answered, once its 202 has come.
func TestCancelOfAWrittenAttemptWaitsForItsAcceptance(t *testing.T) {
	f := newFixture(t)
	q := f.sendAttempt(0)
	f.runActions(dispatch.Cancel{Job: q.ID})
	f.expect("not accepted yet", q)
	p := f.dialed[0]
	p.write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
	f.runIterations()
	f.expect("accepted", q)
	deleting := f.dialed[len(f.dialed)-1]
	if deleting.read(1 << 12); !deleting.hasDelete(q) {
		t.Fatalf("the worker got %q", deleting.received)
	}
	f.respondDelete(deleting)
	f.expect("answered", q, dispatch.Cancelled)
	if len(f.pool.cancelAttempts) != 0 {
		t.Error("the cancellation is still kept")
	}
}

// A worker that does not accept what it was written is taken not to: the attempt is given up by closing its connection.
func TestCancelOfAWrittenAttemptThatIsNotAccepted(t *testing.T) {
	f := newFixture(t)
	q := f.sendAttempt(0)
	f.runActions(dispatch.Cancel{Job: q.ID})
	f.now += acceptanceTimeout - time.Millisecond
	f.runIterations()
	f.expect("not accepted yet", q)
	f.now += time.Millisecond
	f.runIterations()
	f.expect("not accepted in time", q, dispatch.Cancelled)
	p := f.dialed[0]
	if p.read(1 << 12); !p.ended || len(f.dialed) != 1 || len(f.pool.cancelAttempts) != 0 {
		t.Errorf("closed %v, %d connections, %d cancellations", p.ended, len(f.dialed), len(f.pool.cancelAttempts))
	}
}

// A worker that has an attempt which has neither ended nor been given up gets no second one, whatever the policy wants.
func TestOneAttemptAtOneWorker(t *testing.T) {
	f := newFixture(t)
	q := f.sendAttempt(0)
	p := f.dialed[0]
	again := dispatch.Send{Job: q.ID, Worker: f.workerNumber()}
	f.runActions(again)
	f.expect("before the 202", q, dispatch.NotSent)
	p.read(1 << 12)
	p.write([]byte(acceptedResponse))
	f.runIterations()
	f.runActions(again)
	links := f.delayConnections()
	p.close()
	f.runActions(dispatch.Cancel{Job: q.ID}, again)
	f.expect("while it is withdrawn", q, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)
	if len(*links) != 1 {
		t.Fatalf("%d connections", len(*links))
	}
	(*links)[0].release()
	f.runIterations()
	(*links)[0].read(1 << 12)
	f.runActions(again)
	f.expect("not answered yet", q, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)
	f.respondDelete((*links)[0].peer)
	(*links)[0].close()
	f.runIterations()
	f.runActions(again)
	f.expect("once it is withdrawn", q, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.Cancelled)
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
	f := newFixture(t)
	links := f.delayConnections()
	q := f.sendAttempt(0)
	f.now += f.pool.connectTimeout - time.Millisecond
	(*links)[0].release()
	f.runIterations()
	(*links)[0].read(1 << 12)
	if got, remaining := (*links)[0].budgetSent(t), q.Deadline-f.now-budgetMargin; got > remaining || got < remaining-time.Millisecond {
		t.Errorf("told %v, %v are left", got, remaining)
	}
}

// The time that an iteration takes is off the budget.
func TestBudgetInALongIteration(t *testing.T) {
	f := newFixture(t)
	links := f.delayConnections()
	q := f.sendAttempt(0)
	(*links)[0].release()
	reads := 0
	f.clock = func() time.Duration { // from the start of the iteration on
		if reads++; reads > 1 {
			return f.now + 300*time.Millisecond
		}
		return f.now
	}
	f.runIterations()
	(*links)[0].read(1 << 12)
	if got, remaining := (*links)[0].budgetSent(t), q.Deadline-f.now-300*time.Millisecond; got > remaining {
		t.Errorf("told %v, %v are left", got, remaining)
	}
}

// With no time remaining nothing is sent.
func TestNothingIsSentWithoutBudget(t *testing.T) {
	f := newFixture(t)
	links := f.delayConnections()
	q := f.sendAttempt(0)
	p := (*links)[0]
	f.pool.byAttempt[f.table.InFlightAttempt(q.ID, 0)].setTimeout(time.Hour) // a connection may take as long as a request
	f.now = q.Deadline
	p.release()
	f.runIterations()
	if p.read(1 << 12); len(p.received) > 0 || !p.ended {
		t.Errorf("with no time left %q was sent, closed %v", p.received, p.ended)
	}
	f.expect("out of time", q, dispatch.TimedOut)
}

// The time in which a request goes in parts is off the budget.
func TestBudgetOfARequestInParts(t *testing.T) {
	f := newFixture(t)
	q := f.sendAttempt(http1.MaxBodySize)
	p := f.dialed[0]
	f.now += f.pool.connectTimeout - time.Millisecond
	for range 64 {
		f.runIterations()
		p.read(1 << 20)
	}
	var m http1.Request
	if _, err := m.Parse(p.received); err != nil {
		t.Fatalf("%d bytes came: %v", len(p.received), err)
	}
	if got, remaining := p.budgetSent(t), q.Deadline-f.now; got > remaining {
		t.Errorf("told %v, %v were left with the last byte", got, remaining)
	}
}

// A request that does not go whole within the time for a connection is not sent.
func TestRequestThatStaysInParts(t *testing.T) {
	f := newFixture(t)
	q := f.sendAttempt(http1.MaxBodySize)
	p := f.dialed[0]
	p.read(50)
	f.runIterations()
	f.now += f.pool.connectTimeout
	for range 64 {
		f.runIterations()
		p.read(1 << 20)
	}
	var m http1.Request
	if _, err := m.Parse(p.received); err == nil || !p.ended {
		t.Errorf("the rest came too, closed %v", p.ended)
	}
	f.expect("never whole", q, dispatch.ConnectFailed)
}

// 'Has it run?' follows from the last byte, also where the connection is reset in the very moment.
func TestResetAroundTheLastByte(t *testing.T) {
	for name, x := range map[string]struct {
		size int
		far  func(f *fixture, q *requests.Request, p *peer)
		want []dispatch.Result
	}{
		"before it": {http1.MaxBodySize, func(_ *fixture, _ *requests.Request, p *peer) { p.read(4000); p.close() }, []dispatch.Result{dispatch.ConnectFailed}},
		"after it":  {0, func(_ *fixture, _ *requests.Request, p *peer) { p.read(4000); p.close() }, []dispatch.Result{dispatch.ConnectionReset}},
		"in the answer": {0, func(_ *fixture, _ *requests.Request, p *peer) {
			p.read(4000)
			p.write([]byte(acceptedResponse[:20]))
			p.close()
		}, []dispatch.Result{dispatch.ConnectionReset}},
		"behind the 202": {0, func(_ *fixture, _ *requests.Request, p *peer) {
			p.read(4000)
			p.write([]byte(acceptedResponse))
			p.close()
		}, nil},
		"behind the 202, told as lost": {0, func(f *fixture, q *requests.Request, p *peer) {
			p.read(4000)
			p.write([]byte(acceptedResponse))
			p.close()
			f.runIterations()
			f.applyCallback(q, "lost")
		}, []dispatch.Result{dispatch.ConnectionReset}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			q := f.sendAttempt(x.size)
			x.far(f, q, f.dialed[0])
			f.runIterations()
			f.expect(name, q, x.want...)
			if f.pool.openCount != 0 {
				t.Error("the connection is still kept")
			}
		})
	}
}

// A call-back may come before the 202, and twice. It counts once, and the connection is free with the 202 all the same.
func TestCallbackBeforeTheAcceptance(t *testing.T) {
	for state, want := range map[string]dispatch.Result{"done": dispatch.OK, "returned": dispatch.WorkerFull, "failed": dispatch.Failed, "lost": dispatch.ConnectionReset} {
		t.Run(state, func(t *testing.T) {
			f := newFixture(t)
			q := f.sendAttempt(0)
			f.applyCallback(q, state)
			f.applyCallback(q, state)
			f.expect("told twice", q, want)
			p := f.dialed[0]
			p.read(1 << 12)
			p.received = nil
			p.write([]byte(acceptedResponse))
			f.runIterations()
			f.expect("and accepted", q, want)
			f.now += reuseDelay
			next := f.sendAttempt(0)
			if p.read(1 << 12); len(f.dialed) != 1 || !strings.Contains(string(p.received), "X-Call-Id: "+next.CallID+"\r\n") {
				t.Errorf("%d connections, the free one carries %q", len(f.dialed), p.received)
			}
			f.expect("of the next", next)
		})
	}
}

// A second answer is never that of the next request, wherever it comes: its connection ends, or does not carry until none is due.
func TestStrayResponse(t *testing.T) {
	const refused = "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	for name, far := range map[string]func(f *fixture, p *peer){
		"right behind the first": func(f *fixture, p *peer) {
			p.write([]byte(acceptedResponse + refused))
			f.runIterations()
			f.now += reuseDelay
		},
		"half of one behind it": func(f *fixture, p *peer) {
			p.write([]byte(acceptedResponse + refused[:5]))
			f.runIterations()
			f.now += reuseDelay
		},
		"at rest": func(f *fixture, p *peer) {
			p.write([]byte(acceptedResponse))
			f.runIterations()
			f.now += reuseDelay
			p.write([]byte(refused))
			f.runIterations()
		},
		"between what is gathered and what is written": func(f *fixture, p *peer) {
			p.write([]byte(acceptedResponse))
			f.runIterations()
			f.now += reuseDelay
			f.loop.UpdateNow()
			q, _ := f.table.Admit(f.now, requests.Arrival{
				CallID: "between", Job: dispatch.Job{Remaining: 5 * time.Second},
				Payload: requests.Payload{Method: "POST", Path: "/a"}, Responder: noResponder{},
			})
			f.policy.Next = append(f.policy.Next, dispatch.Send{Job: q.ID, Worker: f.workerNumber()})
			p.write([]byte(refused))
			f.table.Step(f.now)
		},
		"some milliseconds later": func(f *fixture, p *peer) {
			p.write([]byte(acceptedResponse))
			f.runIterations()
			f.now += reuseDelay - time.Millisecond
			f.sendAttempt(0)
			p.write([]byte(refused))
			f.runIterations()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			q := f.sendAttempt(0)
			p := f.dialed[0]
			p.read(1 << 12)
			p.received = nil
			far(f, p)
			next := f.sendAttempt(0)
			if p.read(1 << 12); len(p.received) > 0 {
				t.Errorf("the connection carries %.60q", p.received)
			}
			f.expect("the first", q)
			f.expect("the next", next)
			if !p.ended {
				t.Error("the connection goes on")
			}
			last := f.dialed[len(f.dialed)-1]
			if last.read(1 << 12); !strings.Contains(string(last.received), "X-Call-Id: "+next.CallID+"\r\n") {
				t.Errorf("the next went as %q", last.received)
			}
			last.write([]byte("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"))
			f.runIterations()
			f.expect("the next by its own answer", next, dispatch.Failed)
		})
	}
	// What a connection was used for before has a word of its own, so its second answer is known for what it is.
	t.Run("to a probe", func(t *testing.T) {
		f := newFixture(t)
		const alive = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		f.runActions(dispatch.HealthCheck{Worker: f.workerNumber()})
		p := f.dialed[0]
		p.read(1 << 12)
		p.write([]byte(alive))
		f.runIterations()
		q := f.sendAttempt(0)
		if len(f.dialed) != 1 {
			t.Fatal("the connection of a probe does not carry")
		}
		p.write([]byte(alive))
		f.runIterations()
		f.expect("no word of its own", q, dispatch.ConnectionReset)
		if p.read(1 << 12); !p.ended {
			t.Error("the connection goes on")
		}
	})
	t.Run("of a request, to a probe", func(t *testing.T) {
		f := newFixture(t)
		f.sendAttempt(0)
		p := f.dialed[0]
		p.read(1 << 12)
		p.write([]byte(acceptedResponse))
		f.runIterations()
		f.runActions(dispatch.HealthCheck{Worker: f.workerNumber()})
		p.write([]byte(acceptedResponse))
		f.runIterations()
		if got, _ := f.policy.Received[len(f.policy.Received)-1].(dispatch.HealthChecked); got.Result != dispatch.NotSent || len(f.dialed) != 1 {
			t.Errorf("the probe ended as %v on %d connections", got.Result, len(f.dialed))
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
		f := newFixture(t)
		q := f.sendAttempt(0)
		p := f.dialed[0]
		p.read(1 << 12)
		p.write([]byte(text))
		f.runIterations()
		f.expect(fmt.Sprintf("%q, and no more yet", text), q)
		p.close()
		f.runIterations()
		f.expect(fmt.Sprintf("%q, closed", text), q, want...)
		if f.pool.openCount != 0 || len(f.pool.byAttempt) != 0 {
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
			f := newFixture(t)
			q := f.sendAttempt(0)
			p := f.dialed[0]
			p.read(1 << 12)
			p.write([]byte(x.header))
			k := f.pool.byAttempt[f.table.InFlightAttempt(q.ID, 0)]
			piece, most := strings.Repeat(x.again, 4096/len(x.again)), 0
			for n := 0; n < 4*maxResponseSize && !p.ended; n += len(piece) {
				p.write([]byte(piece))
				f.runIterations()
				most = max(most, len(k.Input()))
				p.read(1)
			}
			if !p.ended || most > maxResponseSize+64<<10 {
				t.Fatalf("ended %v, %d bytes were kept", p.ended, most)
			}
			f.expect("spoilt", q, dispatch.ConnectionReset)
			next := f.sendAttempt(0)
			last := f.dialed[len(f.dialed)-1]
			last.read(1 << 12)
			last.write([]byte("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"))
			f.runIterations()
			f.expect("the next", next, dispatch.WorkerFull)
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
		f := newFixture(t)
		q := f.sendAttempt(http1.MaxBodySize)
		p := f.dialed[0]
		p.read(1000)
		p.write([]byte(text))
		for range 64 {
			f.runIterations()
			p.read(1 << 20)
		}
		var m http1.Request
		if _, err := m.Parse(p.received); err == nil || !p.ended {
			t.Errorf("%.20q: the rest came too, closed %v", text, p.ended)
		}
		f.expect(fmt.Sprintf("%.12q", text), q, want)
	}
}
