package link

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

// late is a far end whose connection is not up yet: the loop's side takes nothing until release.
type late struct {
	*peer
	held int
}

// hold has connections come up late from now on. It gives those that were opened, in order, of which the last is the newest.
func (w *world) hold() *[]*late {
	opened := &[]*late{}
	w.loop.dial = func(at netip.AddrPort) (int, error) {
		p, fd := w.pair()
		p.at = at
		w.dialed = append(w.dialed, p)
		*opened = append(*opened, &late{p, fill(fd)})
		return fd, nil
	}
	return opened
}

// fill fills a socket's buffer, so that it takes nothing more.
func fill(fd int) (held int) {
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
func (p *late) release() {
	for b := make([]byte, 4096); p.held > 0; {
		n, err := unix.Read(p.fd, b[:min(len(b), p.held)])
		if err != nil || n == 0 {
			return
		}
		p.held -= n
	}
}

// attempts is a world with queries that are sent to its one worker node.
type attempts struct {
	*world
	queries []*requests.Request
}

func newAttempts(t *testing.T) *attempts {
	return &attempts{world: newWorld(&modeltest.Steps{T: t})}
}

// act has the module do something in one turn.
func (w *attempts) act(actions ...dispatch.Action) {
	w.module.Next = append(w.module.Next, actions...)
	w.loop.Requests.Wake()
	w.turn()
}

// send has an attempt made of a new query.
func (w *attempts) send(size int) *requests.Request {
	w.T.Helper()
	q, err := w.loop.Requests.Admit(w.now, requests.Arrival{
		CallID: fmt.Sprint("q", len(w.queries)), Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: nobody{},
	})
	if err != nil {
		w.T.Fatal(err)
	}
	w.queries = append(w.queries, q)
	w.act(dispatch.Send{Job: q.ID, Worker: w.worker()})
	return q
}

const accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// accepted has an attempt made and accepted, and then loses its link, so that what follows needs another.
func (w *attempts) accepted() *requests.Request {
	q := w.send(0)
	p := w.dialed[len(w.dialed)-1]
	p.read(1 << 12)
	p.write([]byte(accepted))
	w.turn()
	p.close()
	w.turn()
	return q
}

// outcomes are the results that the module has heard of a query's attempts.
func (w *attempts) outcomes(q *requests.Request) (results []dispatch.Result) {
	for _, e := range w.module.Received {
		if o, ok := e.(dispatch.Outcome); ok && o.Job == q.ID {
			results = append(results, o.Result)
		}
	}
	return results
}

func (w *attempts) expect(what string, q *requests.Request, want ...dispatch.Result) {
	w.T.Helper()
	if got := w.outcomes(q); !slices.Equal(got, want) {
		w.T.Errorf("%s: outcomes %v, expected %v", what, got, want)
	}
}

func (w *attempts) note(q *requests.Request, state string) {
	w.T.Helper()
	result := "r"
	if _, err := w.loop.Requests.HandleCallback(requests.Callback{CallID: q.CallID, EndpointID: "s-0", State: state, Result: &result}); err != nil {
		w.T.Fatal(err)
	}
	w.turn()
}

// deletes tells whether a far end got a DELETE for a query.
func (p *peer) deletes(q *requests.Request) bool {
	p.read(1 << 12)
	return strings.HasPrefix(string(p.got), "DELETE /jobs/"+q.CallID+" ")
}

// answer has a far end answer a DELETE.
func (w *attempts) answer(p *peer) {
	p.write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	w.turn()
}

// While the DELETE waits for a connection, or for its answer, the attempt that it withdraws is out: it has neither ended nor been given up, and the
// module is told of no end that would have it send another copy.
func TestWithdrawalWaitsForItsConnection(t *testing.T) {
	t.Run("comes up", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(dispatch.Cancel{Job: q.ID})
		w.expect("not written yet", q)
		if len(*links) != 1 {
			t.Fatalf("%d connections for a DELETE", len(*links))
		}
		(*links)[0].release()
		if w.turn(); !(*links)[0].deletes(q) {
			t.Fatalf("the worker node got %q", (*links)[0].got)
		}
		w.expect("not answered yet", q)
		w.answer((*links)[0].peer)
		w.expect("answered", q, dispatch.Cancelled)
	})
	t.Run("late, then on another", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(dispatch.Cancel{Job: q.ID})
		w.now += w.loop.workers.connectTimeout
		w.turn()
		w.now += cancelRetryDelay
		w.turn()
		w.expect("the first connection was late", q)
		if len(*links) != 2 {
			t.Fatalf("%d connections for a DELETE", len(*links))
		}
		(*links)[0].release()
		(*links)[1].release()
		if w.turn(); (*links)[0].deletes(q) || !(*links)[1].deletes(q) {
			t.Errorf("the worker node got %q and %q", (*links)[0].got, (*links)[1].got)
		}
		w.expect("not answered yet", q)
		w.answer((*links)[1].peer)
		w.expect("answered", q, dispatch.Cancelled)
	})
	t.Run("refused, or reset on its way", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(dispatch.Cancel{Job: q.ID})
		(*links)[0].close()
		w.turn()
		w.expect("reset before its last byte", q)
		w.now += cancelRetryDelay
		w.turn()
		(*links)[1].release()
		w.turn()
		w.expect("written", q)
		(*links)[1].read(1 << 12)
		(*links)[1].close() // without an answer: it may not have come
		w.turn()
		w.now += cancelRetryDelay
		w.turn()
		if len(*links) != 3 {
			t.Fatalf("%d connections for a DELETE", len(*links))
		}
		(*links)[2].release()
		if w.turn(); !(*links)[2].deletes(q) {
			t.Errorf("the worker node got %q", (*links)[2].got)
		}
		w.expect("written again", q)
		w.answer((*links)[2].peer)
		w.expect("at the end", q, dispatch.Cancelled)
	})
	t.Run("hangs", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(dispatch.Cancel{Job: q.ID})
		(*links)[0].release()
		w.turn()
		w.expect("not answered yet", q)
		w.now += cancelTimeout
		w.turn()
		w.expect("it may be cut off, and run it", q)
		w.now = q.Deadline
		w.turn()
		w.expect("at the deadline", q, dispatch.TimedOut)
	})
	t.Run("never", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(dispatch.Cancel{Job: q.ID})
		for range 2 * maxCancelTries {
			w.now += w.loop.workers.connectTimeout
			w.turn()
			w.now += cancelRetryDelay
			w.turn()
		}
		w.expect("as before", q)
		if len(*links) != maxCancelTries || w.loop.workers.openCount != 0 || len(w.loop.workers.cancelTries) != 0 {
			t.Errorf("%d connections, %d open, %d withdrawals", len(*links), w.loop.workers.openCount, len(w.loop.workers.cancelTries))
		}
		w.act(dispatch.Cancel{Job: q.ID}) // which may be asked for again
		if len(*links) != maxCancelTries+1 {
			t.Error("it is not withdrawn again")
		}
		w.now += 5 * time.Second
		w.turn()
		w.expect("at its deadline", q, dispatch.TimedOut)
	})
	t.Run("no descriptor", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		most := w.loop.workers.maxConnections
		w.loop.workers.maxConnections = 0
		w.act(dispatch.Cancel{Job: q.ID})
		w.expect("no descriptor left", q)
		w.loop.workers.maxConnections = most
		w.now += cancelRetryDelay
		if w.turn(); !w.dialed[len(w.dialed)-1].deletes(q) {
			t.Error("nothing is written once there is a descriptor")
		}
		w.expect("not answered yet", q)
		w.answer(w.dialed[len(w.dialed)-1])
		w.expect("answered", q, dispatch.Cancelled)
	})
	t.Run("done meanwhile", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(dispatch.Cancel{Job: q.ID})
		w.note(q, "done")
		w.expect("done", q, dispatch.OK)
		(*links)[0].release()
		if w.turn(); (*links)[0].deletes(q) || !(*links)[0].ended {
			t.Errorf("a worker node that is done got %q", (*links)[0].got)
		}
		if len(w.loop.workers.cancelTries) != 0 {
			t.Error("the withdrawal is still kept")
		}
	})
	t.Run("until its deadline", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		w.now = q.Deadline - 10*time.Millisecond
		links := w.hold()
		w.act(dispatch.Cancel{Job: q.ID})
		w.now = q.Deadline
		w.turn()
		w.expect("its time is over", q, dispatch.TimedOut)
		(*links)[0].release()
		if w.turn(); len(*links) != 1 || !(*links)[0].deletes(q) { // it may still be in a queue there
			t.Errorf("%d connections, the worker node got %q", len(*links), (*links)[0].got)
		}
	})
	t.Run("its client leaves", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(dispatch.Cancel{Job: q.ID})
		w.loop.Requests.ClientDisconnected(q)
		w.turn()
		(*links)[0].release()
		if w.turn(); !(*links)[0].deletes(q) {
			t.Errorf("the worker node got %q", (*links)[0].got)
		}
		w.expect("not answered yet", q)
		w.answer((*links)[0].peer)
		w.expect("answered", q, dispatch.Cancelled)
	})
}

// A DELETE that waits for its connection when a process is replaced is sent by the one that goes on.
func TestWithdrawalSurvivesHotRestart(t *testing.T) {
	s := &modeltest.Steps{T: t}
	dir := t.TempDir()
	base, at := newPredecessorWorld(s, dir)
	w := &attempts{world: base}
	q := w.accepted()
	w.hold()
	w.act(dispatch.Cancel{Job: q.ID})
	next := &attempts{world: w.startSuccessor(dir, at)}
	if err := w.handOverTo(next.world); err != nil {
		t.Fatal(err)
	}
	next.turn()
	if p := next.dialed[len(next.dialed)-1]; !p.deletes(q) {
		t.Errorf("the worker node got %q", p.got)
	}
	next.expect("not answered yet", q)
	next.answer(next.dialed[len(next.dialed)-1])
	next.expect("answered", q, dispatch.Cancelled)
}

// An attempt that was given up before its connection was up, or before it was accepted, is given up by closing that: what comes
// up late carries nothing.
func TestGivenUpBeforeItIsAccepted(t *testing.T) {
	for name, far := range map[string]func(p *late){
		"not connected": func(*late) {},
		"connected":     (*late).release,
	} {
		t.Run(name, func(t *testing.T) {
			w := newAttempts(t)
			links := w.hold()
			q := w.send(0)
			p := (*links)[0]
			far(p)
			w.turn()
			p.read(1 << 12)
			sent := len(p.got)
			w.act(dispatch.Cancel{Job: q.ID})
			w.expect("given up", q, dispatch.Cancelled)
			p.release()
			w.turn()
			if p.read(1 << 12); !p.ended || len(p.got) != sent || len(*links) != 1 {
				t.Errorf("closed %v, and %d more bytes came; %d connections", p.ended, len(p.got)-sent, len(*links))
			}
		})
	}
}

// A worker node that has an attempt which has neither ended nor been given up gets no second one, whatever the module wants.
func TestOneAttemptAtOneWorkerNode(t *testing.T) {
	w := newAttempts(t)
	q := w.send(0)
	p := w.dialed[0]
	again := dispatch.Send{Job: q.ID, Worker: w.worker()}
	w.act(again)
	w.expect("before the 202", q, dispatch.NotSent)
	p.read(1 << 12)
	p.write([]byte(accepted))
	w.turn()
	w.act(again)
	links := w.hold()
	p.close()
	w.act(dispatch.Cancel{Job: q.ID}, again)
	w.expect("while it is withdrawn", q, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)
	if len(*links) != 1 {
		t.Fatalf("%d connections", len(*links))
	}
	(*links)[0].release()
	w.turn()
	(*links)[0].read(1 << 12)
	w.act(again)
	w.expect("not answered yet", q, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)
	w.answer((*links)[0].peer)
	(*links)[0].close()
	w.turn()
	w.act(again)
	w.expect("once it is withdrawn", q, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.Cancelled)
	if len(*links) != 2 {
		t.Errorf("%d connections: it is not sent again", len(*links))
	}
}

func (p *peer) budget(t *testing.T) time.Duration {
	t.Helper()
	_, text, ok := strings.Cut(string(p.got), "X-Budget-Ms: ")
	text, _, _ = strings.Cut(text, "\r\n")
	ms, good := http1.ParseDecimal([]byte(text))
	if !ok || !good {
		t.Fatalf("no budget in %.200q", p.got)
	}
	return time.Duration(ms) * time.Millisecond
}

// A worker node is told at most what is left to the client when the attempt is sent, however late that is.
func TestBudgetIsWhatIsLeft(t *testing.T) {
	t.Run("comes up late", func(t *testing.T) {
		w := newAttempts(t)
		links := w.hold()
		q := w.send(0)
		w.now += w.loop.workers.connectTimeout - time.Millisecond
		(*links)[0].release()
		w.turn()
		(*links)[0].read(1 << 12)
		if got, left := (*links)[0].budget(t), q.Deadline-w.now; got > left || got < left-time.Millisecond {
			t.Errorf("told %v, %v are left", got, left)
		}
	})
	t.Run("a turn that takes long", func(t *testing.T) {
		w := newAttempts(t)
		links := w.hold()
		q := w.send(0)
		(*links)[0].release()
		reads := 0
		w.clock = func() time.Duration { // from the start of the turn on
			if reads++; reads > 1 {
				return w.now + 300*time.Millisecond
			}
			return w.now
		}
		w.turn()
		(*links)[0].read(1 << 12)
		if got, left := (*links)[0].budget(t), q.Deadline-w.now-300*time.Millisecond; got > left {
			t.Errorf("told %v, %v are left", got, left)
		}
	})
	t.Run("comes up too late", func(t *testing.T) {
		w := newAttempts(t)
		links := w.hold()
		q := w.send(0)
		p := (*links)[0]
		w.loop.workers.byAttempt[w.loop.Requests.InFlightAttempt(q.ID, 0)].setTimeout(time.Hour) // a connection may take as long as a query
		w.now = q.Deadline
		p.release()
		w.turn()
		if p.read(1 << 12); len(p.got) > 0 || !p.ended {
			t.Errorf("with no time left %q was sent, closed %v", p.got, p.ended)
		}
		w.expect("out of time", q, dispatch.TimedOut)
	})
	t.Run("goes in parts", func(t *testing.T) {
		w := newAttempts(t)
		q := w.send(http1.MaxBodySize)
		p := w.dialed[0]
		w.now += w.loop.workers.connectTimeout - time.Millisecond
		for range 64 {
			w.turn()
			p.read(1 << 20)
		}
		var m http1.Request
		if _, err := m.Parse(p.got); err != nil {
			t.Fatalf("%d bytes came: %v", len(p.got), err)
		}
		if got, left := p.budget(t), q.Deadline-w.now; got > left {
			t.Errorf("told %v, %v were left with the last byte", got, left)
		}
	})
	t.Run("stays in parts", func(t *testing.T) {
		w := newAttempts(t)
		q := w.send(http1.MaxBodySize)
		p := w.dialed[0]
		p.read(50)
		w.turn()
		w.now += w.loop.workers.connectTimeout
		for range 64 {
			w.turn()
			p.read(1 << 20)
		}
		var m http1.Request
		if _, err := m.Parse(p.got); err == nil || !p.ended {
			t.Errorf("the rest came too, closed %v", p.ended)
		}
		w.expect("never whole", q, dispatch.ConnectFailed)
	})
}

// 'Has it run?' follows from the last byte, also where the connection is reset in the very moment.
func TestResetRoundTheLastByte(t *testing.T) {
	for name, x := range map[string]struct {
		size int
		far  func(w *attempts, q *requests.Request, p *peer)
		want []dispatch.Result
	}{
		"before it": {http1.MaxBodySize, func(_ *attempts, _ *requests.Request, p *peer) { p.read(4000); p.close() }, []dispatch.Result{dispatch.ConnectFailed}},
		"after it":  {0, func(_ *attempts, _ *requests.Request, p *peer) { p.read(4000); p.close() }, []dispatch.Result{dispatch.ConnectionReset}},
		"in the answer": {0, func(_ *attempts, _ *requests.Request, p *peer) {
			p.read(4000)
			p.write([]byte(accepted[:20]))
			p.close()
		}, []dispatch.Result{dispatch.ConnectionReset}},
		"behind the 202": {0, func(_ *attempts, _ *requests.Request, p *peer) { p.read(4000); p.write([]byte(accepted)); p.close() }, nil},
		"behind the 202, told as lost": {0, func(w *attempts, q *requests.Request, p *peer) {
			p.read(4000)
			p.write([]byte(accepted))
			p.close()
			w.turn()
			w.note(q, "lost")
		}, []dispatch.Result{dispatch.ConnectionReset}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newAttempts(t)
			q := w.send(x.size)
			x.far(w, q, w.dialed[0])
			w.turn()
			w.expect(name, q, x.want...)
			if w.loop.workers.openCount != 0 {
				t.Error("the link is still kept")
			}
		})
	}
}

// A call-back may come before the 202, and twice. It counts once, and the link is free with the 202 all the same.
func TestCallBackBeforeTheAcceptance(t *testing.T) {
	for state, want := range map[string]dispatch.Result{"done": dispatch.OK, "returned": dispatch.WorkerFull, "failed": dispatch.Failed, "lost": dispatch.ConnectionReset} {
		t.Run(state, func(t *testing.T) {
			w := newAttempts(t)
			q := w.send(0)
			w.note(q, state)
			w.note(q, state)
			w.expect("told twice", q, want)
			p := w.dialed[0]
			p.read(1 << 12)
			p.got = nil
			p.write([]byte(accepted))
			w.turn()
			w.expect("and accepted", q, want)
			w.now += reuseDelay
			next := w.send(0)
			if p.read(1 << 12); len(w.dialed) != 1 || !strings.Contains(string(p.got), "X-Call-Id: "+next.CallID+"\r\n") {
				t.Errorf("%d links, the free one carries %q", len(w.dialed), p.got)
			}
			w.expect("of the next", next)
		})
	}
}

// A second answer is never that of the next request, wherever it comes: its link ends, or does not carry until none is due.
func TestSecondAnswer(t *testing.T) {
	const refused = "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	for name, far := range map[string]func(w *attempts, p *peer){
		"right behind the first": func(w *attempts, p *peer) { p.write([]byte(accepted + refused)); w.turn(); w.now += reuseDelay },
		"half of one behind it":  func(w *attempts, p *peer) { p.write([]byte(accepted + refused[:5])); w.turn(); w.now += reuseDelay },
		"at rest": func(w *attempts, p *peer) {
			p.write([]byte(accepted))
			w.turn()
			w.now += reuseDelay
			p.write([]byte(refused))
			w.turn()
		},
		"between what is gathered and what is written": func(w *attempts, p *peer) {
			p.write([]byte(accepted))
			w.turn()
			w.now += reuseDelay
			w.loop.UpdateNow()
			q, _ := w.loop.Requests.Admit(w.now, requests.Arrival{
				CallID: "between", Job: dispatch.Job{Remaining: 5 * time.Second},
				Payload: requests.Payload{Method: "POST", Path: "/a"}, Responder: nobody{},
			})
			w.module.Next = append(w.module.Next, dispatch.Send{Job: q.ID, Worker: w.worker()})
			p.write([]byte(refused))
			w.loop.Requests.Step(w.now)
		},
		"some milliseconds later": func(w *attempts, p *peer) {
			p.write([]byte(accepted))
			w.turn()
			w.now += reuseDelay - time.Millisecond
			w.send(0)
			p.write([]byte(refused))
			w.turn()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newAttempts(t)
			q := w.send(0)
			p := w.dialed[0]
			p.read(1 << 12)
			p.got = nil
			far(w, p)
			next := w.send(0)
			if p.read(1 << 12); len(p.got) > 0 {
				t.Errorf("the link carries %.60q", p.got)
			}
			w.expect("the first", q)
			w.expect("the next", next)
			if !p.ended {
				t.Error("the link goes on")
			}
			last := w.dialed[len(w.dialed)-1]
			if last.read(1 << 12); !strings.Contains(string(last.got), "X-Call-Id: "+next.CallID+"\r\n") {
				t.Errorf("the next went as %q", last.got)
			}
			last.write([]byte("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"))
			w.turn()
			w.expect("the next by its own answer", next, dispatch.Failed)
		})
	}
	// What a link was used for before has a word of its own, so its second answer is known for what it is.
	t.Run("to a probe", func(t *testing.T) {
		w := newAttempts(t)
		const alive = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		w.act(dispatch.HealthCheck{Worker: w.worker()})
		p := w.dialed[0]
		p.read(1 << 12)
		p.write([]byte(alive))
		w.turn()
		q := w.send(0)
		if len(w.dialed) != 1 {
			t.Fatal("the link of a probe does not carry")
		}
		p.write([]byte(alive))
		w.turn()
		w.expect("no word of its own", q, dispatch.ConnectionReset)
		if p.read(1 << 12); !p.ended {
			t.Error("the link goes on")
		}
	})
	t.Run("of a request, to a probe", func(t *testing.T) {
		w := newAttempts(t)
		w.send(0)
		p := w.dialed[0]
		p.read(1 << 12)
		p.write([]byte(accepted))
		w.turn()
		w.act(dispatch.HealthCheck{Worker: w.worker()})
		p.write([]byte(accepted))
		w.turn()
		if got, _ := w.module.Received[len(w.module.Received)-1].(dispatch.HealthChecked); got.Result != dispatch.NotSent || len(w.dialed) != 1 {
			t.Errorf("the probe ended as %v on %d links", got.Result, len(w.dialed))
		}
	})
}

// A close with a part of an answer is no answer. One without a length lasts until the close, and is whole with that.
func TestAnswerCutShort(t *testing.T) {
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
		w := newAttempts(t)
		q := w.send(0)
		p := w.dialed[0]
		p.read(1 << 12)
		p.write([]byte(text))
		w.turn()
		w.expect(fmt.Sprintf("%q, and no more yet", text), q)
		p.close()
		w.turn()
		w.expect(fmt.Sprintf("%q, closed", text), q, want...)
		if w.loop.workers.openCount != 0 || len(w.loop.workers.byAttempt) != 0 {
			t.Errorf("%q: the link is still kept", text)
		}
	}
}

// An answer without end ends its link within its bound, and nothing else suffers.
func TestAnswerWithoutEnd(t *testing.T) {
	for name, x := range map[string]struct{ head, again string }{
		"a status line":          {"", "HTTP/1.1 202 Accepted "},
		"a head":                 {"HTTP/1.1 202 Accepted\r\n", "X: y\r\n"},
		"interim answers":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"a body until it closes": {"HTTP/1.1 202 Accepted\r\n\r\n", "0123456789abcdef"},
		"chunks":                 {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailers":               {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"a chunk's line":         {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newAttempts(t)
			q := w.send(0)
			p := w.dialed[0]
			p.read(1 << 12)
			p.write([]byte(x.head))
			k := w.loop.workers.byAttempt[w.loop.Requests.InFlightAttempt(q.ID, 0)]
			piece, most := strings.Repeat(x.again, 4096/len(x.again)), 0
			for n := 0; n < 4*maxResponseSize && !p.ended; n += len(piece) {
				p.write([]byte(piece))
				w.turn()
				most = max(most, len(k.Input()))
				p.read(1)
			}
			if !p.ended || most > maxResponseSize+64<<10 {
				t.Fatalf("ended %v, %d bytes were kept", p.ended, most)
			}
			w.expect("spoilt", q, dispatch.ConnectionReset)
			next := w.send(0)
			last := w.dialed[len(w.dialed)-1]
			last.read(1 << 12)
			last.write([]byte("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"))
			w.turn()
			w.expect("the next", next, dispatch.WorkerFull)
		})
	}
}

// An answer that comes before our last byte is written ends the link, so the worker node never has it whole and can't run it.
func TestAnswerBeforeTheLastByte(t *testing.T) {
	for text, want := range map[string]dispatch.Result{
		accepted: dispatch.ConnectFailed,
		"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n":                 dispatch.ConnectFailed,
		"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n": dispatch.WorkerFull,
		"HTTP/1.1 413 Too large\r\nContent-Length: 0\r\n\r\n":             dispatch.NotSent,
		"garbage\r\n\r\n": dispatch.ConnectFailed,
	} {
		w := newAttempts(t)
		q := w.send(http1.MaxBodySize)
		p := w.dialed[0]
		p.read(1000)
		p.write([]byte(text))
		for range 64 {
			w.turn()
			p.read(1 << 20)
		}
		var m http1.Request
		if _, err := m.Parse(p.got); err == nil || !p.ended {
			t.Errorf("%.20q: the rest came too, closed %v", text, p.ended)
		}
		w.expect(fmt.Sprintf("%.12q", text), q, want)
	}
}
