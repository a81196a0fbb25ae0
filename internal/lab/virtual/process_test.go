package virtual

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/requests"
)

// ask has a client ask on a connection of its own.
func (b *bench) ask(n int, budget time.Duration) []edge.Out {
	return b.step(edge.In{Kind: edge.Asked, Conn: edge.Conn(n), Ask: &edge.Ask{Call: fmt.Sprint("c", n), Budget: budget}})
}

// until lets time pass, each turn at its due time, and gathers what comes.
func (b *bench) until(end time.Duration) (all []edge.Out) {
	for {
		at, ok := b.s.Next()
		if !ok || at > end {
			b.now = end
			return all
		}
		b.now = max(b.now, at)
		all = append(all, b.step()...)
	}
}

// said is what came of some kinds, in short.
func said(outs []edge.Out, kinds ...edge.OutKind) (all []string) {
	for _, o := range outs {
		if slices.Contains(kinds, o.Kind) {
			all = append(all, fmt.Sprintf("%d:%s:%d", o.Kind, o.Call, o.Status))
		}
	}
	return all
}

func expect(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: %v, expected %v", what, got, want)
	}
}

func line(kind edge.OutKind, call string, status int) string {
	return fmt.Sprintf("%d:%s:%d", kind, call, status)
}

const (
	sec = time.Second
	ms  = time.Millisecond
)

// The longest deadline counts as 3 s, so SIGKILL is due 3.7 s after SIGTERM.
func TestDrain(t *testing.T) {
	b := newBench(t, nil)
	expect(t, "start", said(b.start(), edge.Ready), line(edge.Ready, "", 0))
	b.now = sec
	b.ask(1, 12*sec)
	b.act(dispatch.Send{Job: 1, Worker: hostNumber("w-0")})
	b.ask(5, 12*sec)
	expect(t, "SIGTERM", said(b.step(edge.In{Kind: edge.Terminate}), edge.Unready), line(edge.Unready, "", 0))
	b.step(edge.In{Kind: edge.Asked, Conn: 9, Ask: &edge.Ask{Call: "c9", Budget: ms}})
	expect(t, "an answer", said(b.act(dispatch.Fail{Job: 3}), edge.Replied, edge.Cut), line(edge.Replied, "c9", 500))
	b.now = 2 * sec
	b.ask(2, 12*sec)
	b.step(edge.In{Kind: edge.Terminate}) // a second one changes nothing
	expect(t, "links between queries", said(b.until(sec+2800*ms), edge.Cut, edge.Replied), line(edge.Cut, "", 0))
	expect(t, "a late query", said(b.ask(3, 12*sec), edge.Replied, edge.Cut), line(edge.Replied, "c3", 503),
		line(edge.Cut, "", 0))
	// What came later than 0.7 s after SIGTERM is answered, and so is what was never sent; what is out has a moment more.
	expect(t, "until the last words", said(b.until(sec+3399*ms), edge.Replied, edge.Exited))
	expect(t, "last words", said(b.until(sec+3400*ms), edge.Replied), line(edge.Replied, "c2", 503), line(edge.Replied, "c5", 503))
	expect(t, "until the last of all", said(b.until(sec+3549*ms), edge.Replied, edge.Exited))
	expect(t, "the last of all", said(b.until(sec+3550*ms), edge.Replied, edge.Cut), line(edge.Replied, "c1", 500), line(edge.Cut, "", 0))
	expect(t, "until the end", said(b.until(sec+3699*ms), edge.Replied, edge.Exited))
	expect(t, "the end", said(b.until(sec+3700*ms), edge.Replied, edge.Cut, edge.Exited), line(edge.Exited, "", 0))
	if _, ok := b.s.Next(); ok || len(b.ask(4, sec)) > 0 {
		t.Error("one that has exited still acts")
	}
}

// A frozen process takes nothing in and does nothing. What came meanwhile is taken in once it goes on, and what fell
// due meanwhile is seen then.
func TestFreeze(t *testing.T) {
	b := newBench(t, nil)
	b.start()
	b.ask(1, sec)
	b.act(dispatch.Send{Job: 1, Worker: hostNumber("w-0")})
	b.step(edge.In{Kind: edge.Freeze})
	b.step(edge.In{Kind: edge.LinkUp, Conn: b.order[0].conn})
	b.ask(2, sec)
	if _, ok := b.s.Next(); ok || len(b.until(3*sec)) > 0 {
		t.Error("a frozen process acts")
	}
	b.script.Received = nil
	outs := b.step(edge.In{Kind: edge.Resume})
	late := slices.ContainsFunc(b.script.Received, func(e dispatch.Event) bool {
		o, ok := e.(dispatch.Outcome)
		return ok && o.Result == dispatch.TimedOut
	})
	if !late || len(said(outs, edge.Hangup)) != 1 {
		t.Errorf("heard %v, and did %v", b.script.Received, outs)
	}
	if q := b.script.Received[0].(dispatch.Job); q.ID != 2 {
		t.Errorf("first of what waited: %+v", q)
	}
}

// What is killed is gone; the next process knows what it is started with, and numbers its connections further.
func TestKill(t *testing.T) {
	b := newBench(t, nil)
	b.start()
	probe := func() edge.Conn {
		return b.act(dispatch.HealthCheck{Worker: hostNumber("w-1")})[0].Conn
	}
	first := probe()
	b.ask(1, sec)
	b.step(edge.In{Kind: edge.Freeze})
	if outs := b.step(edge.In{Kind: edge.Kill}); len(outs) > 0 || b.s.p != nil {
		t.Errorf("a killed process said %v", outs)
	}
	if len(b.until(5*sec)) > 0 || len(b.ask(2, sec)) > 0 {
		t.Error("a killed process acts")
	}
	b.script.Received = nil
	b.start()
	if second := probe(); second == first || !second.Link() {
		t.Errorf("connection %x after %x", second, first)
	}
	list, ok := b.script.Received[0].(dispatch.WorkerList)
	if !ok || list.Kind != dispatch.ListCached || len(list.Workers) != benchNodes {
		t.Errorf("first heard: %+v", b.script.Received[0])
	}
}

// Another discovery is asked for all that it knows; what the old list held goes on until it speaks.
func TestReload(t *testing.T) {
	b := newBench(t, nil)
	b.start()
	if outs := b.act(dispatch.Subscribe{}); len(outs) != 1 || outs[0].Kind != edge.Watch || outs[0].After != 7 {
		t.Errorf("watching: %+v", outs)
	}
	if outs := b.step(edge.In{Kind: edge.Reload}); len(outs) > 0 {
		t.Errorf("the same discovery: %+v", outs)
	}
	outs := b.step(edge.In{Kind: edge.Reload, Disco: 1})
	if len(outs) != 1 || outs[0].Kind != edge.Watch || outs[0].After != 0 {
		t.Errorf("another discovery: %+v", outs)
	}
	b.script.Received = nil
	b.step(edge.In{Kind: edge.Listed, List: &requests.EndpointList{Revision: 3, Reset: true}})
	outs = b.step(edge.In{Kind: edge.Unlisted})
	if len(b.script.Received) != 2 || b.script.Received[1].(dispatch.WorkerList).Kind != dispatch.ListUnavailable || len(outs) > 0 {
		t.Errorf("heard %+v", b.script.Received)
	}
	b.script.Received = nil
	if b.step(edge.In{Kind: edge.Unlisted}); len(b.script.Received) > 0 {
		t.Errorf("no watch, and lost: %+v", b.script.Received)
	}
	// A call that does not come up is given up soon, and one that nobody answers later.
	for _, c := range []struct {
		ins  []edge.In
		span time.Duration
	}{
		{nil, upWithin},
		{[]edge.In{{Kind: edge.WatchUp}}, firstLine},
		{[]edge.In{{Kind: edge.WatchUp}, {Kind: edge.Quiet}}, nextLine},
	} {
		b.act(dispatch.Subscribe{})
		b.step(c.ins...)
		b.script.Received = nil
		b.until(b.now + c.span - 1)
		early := len(b.script.Received)
		if b.until(b.now + 1); early != 0 || len(b.script.Received) != 1 {
			t.Errorf("after %v: %d too early, then %+v", c.ins, early, b.script.Received)
		}
	}
}

// Where worker nodes come and go, /up tells whether a query could be sent anywhere.
func TestReady(t *testing.T) {
	b := newBench(t, nil)
	b.start()
	b.act(dispatch.Subscribe{})
	list := func(state string) []edge.Out {
		return b.step(edge.In{Kind: edge.Listed, List: &requests.EndpointList{
			Revision: 8, Reset: true,
			Endpoints: []requests.Endpoint{{ID: "w-0", Lifecycle: state}},
		}})
	}
	expect(t, "all drain", said(list("draining"), edge.Ready, edge.Unready), line(edge.Unready, "", 0))
	expect(t, "one is back", said(list("up"), edge.Ready, edge.Unready), line(edge.Ready, "", 0))
}

// One query too many is refused at once, with advice; a connection too many has the one make room that has been idle
// longest.
func TestLimits(t *testing.T) {
	b := newBench(t, func(spec *scenario.Scenario) { spec.Schedulers.Sockets = 24 + 48 }) // 40 client links, 32 queries
	b.start()
	for n := 1; n <= 32; n++ {
		if outs := b.ask(n, 5*sec); len(outs) > 0 {
			t.Fatalf("query %d: %v", n, outs)
		}
	}
	for n := 33; n <= 40; n++ {
		outs := b.ask(n, 5*sec)
		expect(t, "one too many", said(outs, edge.Replied, edge.Cut), line(edge.Replied, fmt.Sprint("c", n), 503))
		if outs[0].After != fullFor {
			t.Errorf("come back after %v", outs[0].After)
		}
	}
	b.ask(33, 5*sec) // it has been used last
	outs := b.ask(41, 5*sec)
	if len(outs) != 2 || outs[0].Kind != edge.Cut || outs[0].Conn != 34 {
		t.Errorf("a connection too many: %+v", outs)
	}
	b.step(edge.In{Kind: edge.Left, Conn: 1})
	if outs := b.ask(42, 5*sec); len(said(outs, edge.Replied)) > 0 {
		t.Errorf("with room again: %+v", outs)
	}
}
