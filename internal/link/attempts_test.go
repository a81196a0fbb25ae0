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

	"valvecove/internal/ledger"
	"valvecove/internal/steps"
	"valvecove/logic"
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
	queries []*ledger.Query
}

func newAttempts(t *testing.T) *attempts {
	return &attempts{world: newWorld(&steps.Steps{T: t})}
}

// act has the module do something in one turn.
func (w *attempts) act(actions ...logic.Action) {
	w.module.Next = append(w.module.Next, actions...)
	w.loop.Ledger.Wake()
	w.turn()
}

// send has an attempt made of a new query.
func (w *attempts) send(size int) *ledger.Query {
	w.T.Helper()
	q, err := w.loop.Ledger.Take(w.now, ledger.Arrival{Call: fmt.Sprint("q", len(w.queries)), Job: logic.Job{Left: 5 * time.Second},
		Parcel: ledger.Parcel{Verb: "POST", Path: "/a", Body: make([]byte, size)}, Asker: nobody{}})
	if err != nil {
		w.T.Fatal(err)
	}
	w.queries = append(w.queries, q)
	w.act(logic.Send{Job: q.ID, Worker: w.worker()})
	return q
}

const accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// accepted has an attempt made and accepted, and then loses its link, so that what follows needs another.
func (w *attempts) accepted() *ledger.Query {
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
func (w *attempts) outcomes(q *ledger.Query) (results []logic.Result) {
	for _, e := range w.module.Heard {
		if o, ok := e.(logic.Outcome); ok && o.Job == q.ID {
			results = append(results, o.Result)
		}
	}
	return results
}

func (w *attempts) expect(what string, q *ledger.Query, want ...logic.Result) {
	w.T.Helper()
	if got := w.outcomes(q); !slices.Equal(got, want) {
		w.T.Errorf("%s: outcomes %v, expected %v", what, got, want)
	}
}

func (w *attempts) note(q *ledger.Query, state string) {
	w.T.Helper()
	result := "r"
	if _, err := w.loop.Ledger.Tell(ledger.Note{ID: q.Call, From: "s-0", State: state, Result: &result}); err != nil {
		w.T.Fatal(err)
	}
	w.turn()
}

// deletes tells whether a far end got a DELETE for a query.
func (p *peer) deletes(q *ledger.Query) bool {
	p.read(1 << 12)
	return strings.HasPrefix(string(p.got), "DELETE /jobs/"+q.Call+" ")
}

// While the DELETE waits for a connection, the attempt that it withdraws is out: it has neither ended nor been given up, and the
// module is told of no end that would have it send another copy.
func TestWithdrawalWaitsForItsConnection(t *testing.T) {
	t.Run("comes up", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(logic.Cancel{Job: q.ID})
		w.expect("not written yet", q)
		if len(*links) != 1 {
			t.Fatalf("%d connections for a DELETE", len(*links))
		}
		(*links)[0].release()
		if w.turn(); !(*links)[0].deletes(q) {
			t.Fatalf("the worker node got %q", (*links)[0].got)
		}
		w.expect("written", q, logic.Cancelled)
	})
	t.Run("late, then on another", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(logic.Cancel{Job: q.ID})
		w.now += w.loop.servers.dial
		w.turn()
		w.now += withdrawAgain
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
		w.expect("written", q, logic.Cancelled)
	})
	t.Run("refused, or reset on its way", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(logic.Cancel{Job: q.ID})
		(*links)[0].close()
		w.turn()
		w.expect("reset before its last byte", q)
		w.now += withdrawAgain
		w.turn()
		(*links)[1].release()
		w.turn()
		w.expect("written", q, logic.Cancelled)
		(*links)[1].read(1 << 12)
		(*links)[1].close() // without an answer: it may not have come
		w.turn()
		w.now += withdrawAgain
		w.turn()
		if len(*links) != 3 {
			t.Fatalf("%d connections for a DELETE", len(*links))
		}
		(*links)[2].release()
		if w.turn(); !(*links)[2].deletes(q) {
			t.Errorf("the worker node got %q", (*links)[2].got)
		}
		w.expect("at the end", q, logic.Cancelled)
	})
	t.Run("never", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(logic.Cancel{Job: q.ID})
		for range 2 * withdrawTimes {
			w.now += w.loop.servers.dial
			w.turn()
			w.now += withdrawAgain
			w.turn()
		}
		w.expect("as before", q)
		if len(*links) != withdrawTimes || w.loop.servers.open != 0 || len(w.loop.servers.withdrawals) != 0 {
			t.Errorf("%d connections, %d open, %d withdrawals", len(*links), w.loop.servers.open, len(w.loop.servers.withdrawals))
		}
		w.act(logic.Cancel{Job: q.ID}) // which may be asked for again
		if len(*links) != withdrawTimes+1 {
			t.Error("it is not withdrawn again")
		}
		w.now += 5 * time.Second
		w.turn()
		w.expect("at its deadline", q, logic.TimedOut)
	})
	t.Run("no descriptor", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		most := w.loop.servers.most
		w.loop.servers.most = 0
		w.act(logic.Cancel{Job: q.ID})
		w.expect("no descriptor left", q)
		w.loop.servers.most = most
		w.now += withdrawAgain
		if w.turn(); !w.dialed[len(w.dialed)-1].deletes(q) {
			t.Error("nothing is written once there is a descriptor")
		}
		w.expect("written", q, logic.Cancelled)
	})
	t.Run("done meanwhile", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(logic.Cancel{Job: q.ID})
		w.note(q, "done")
		w.expect("done", q, logic.OK)
		(*links)[0].release()
		if w.turn(); (*links)[0].deletes(q) || !(*links)[0].ended {
			t.Errorf("a worker node that is done got %q", (*links)[0].got)
		}
		if len(w.loop.servers.withdrawals) != 0 {
			t.Error("the withdrawal is still kept")
		}
	})
	t.Run("until its deadline", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		w.now = q.Deadline - 10*time.Millisecond
		links := w.hold()
		w.act(logic.Cancel{Job: q.ID})
		w.now = q.Deadline
		w.turn()
		w.expect("its time is over", q, logic.TimedOut)
		(*links)[0].release()
		if w.turn(); len(*links) != 1 || !(*links)[0].deletes(q) { // it may still be in a queue there
			t.Errorf("%d connections, the worker node got %q", len(*links), (*links)[0].got)
		}
	})
	t.Run("its client leaves", func(t *testing.T) {
		w := newAttempts(t)
		q := w.accepted()
		links := w.hold()
		w.act(logic.Cancel{Job: q.ID})
		w.loop.Ledger.Gone(q)
		w.turn()
		(*links)[0].release()
		if w.turn(); !(*links)[0].deletes(q) {
			t.Errorf("the worker node got %q", (*links)[0].got)
		}
		w.expect("written", q, logic.Cancelled)
	})
}

// A DELETE that waits for its connection when a process is replaced is sent by the one that goes on.
func TestWithdrawalIsHandedOver(t *testing.T) {
	s := &steps.Steps{T: t}
	dir := t.TempDir()
	base, at := elderWorld(s, dir)
	w := &attempts{world: base}
	q := w.accepted()
	w.hold()
	w.act(logic.Cancel{Job: q.ID})
	next := &attempts{world: w.succeeds(dir, at)}
	if err := w.replacedBy(next.world); err != nil {
		t.Fatal(err)
	}
	next.turn()
	if p := next.dialed[len(next.dialed)-1]; !p.deletes(q) {
		t.Errorf("the worker node got %q", p.got)
	}
	next.expect("written", q, logic.Cancelled)
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
			w.act(logic.Cancel{Job: q.ID})
			w.expect("given up", q, logic.Cancelled)
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
	again := logic.Send{Job: q.ID, Worker: w.worker()}
	w.act(again)
	w.expect("before the 202", q, logic.NotSent)
	p.read(1 << 12)
	p.write([]byte(accepted))
	w.turn()
	w.act(again)
	links := w.hold()
	p.close()
	w.act(logic.Cancel{Job: q.ID}, again)
	w.expect("while it is withdrawn", q, logic.NotSent, logic.NotSent, logic.NotSent)
	if len(*links) != 1 {
		t.Fatalf("%d connections", len(*links))
	}
	(*links)[0].release()
	w.turn()
	w.act(again)
	w.expect("once it is withdrawn", q, logic.NotSent, logic.NotSent, logic.NotSent, logic.Cancelled)
	if len(*links) != 2 {
		t.Errorf("%d connections: it is not sent again", len(*links))
	}
}
