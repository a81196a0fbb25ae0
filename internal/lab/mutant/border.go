package mutant

import (
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
)

// border stands between the world and a scheduler, and lets pass what its two hooks say.
type border struct {
	spec  *scenario.Scenario
	inner edge.Scheduler
	in    func(b *border, in *edge.In) (pass bool)   // nil: all passes
	out   func(b *border, out *edge.Out) (pass bool) // nil: all passes

	now   time.Duration
	sched int
	up    bool
	fed   []edge.In // for the inner one, besides what came from the world
	dst   []edge.Out
	raw   []edge.Out
	asked map[string]*query
	owns  map[edge.Conn]*errand // connections of ours to worker nodes
	links uint64
	later []later // what is to be done, in order of time
	count int     // for hooks that strike every so often
	last  string  // for hooks that remember a result
	told  bool    // for hooks that strike once, or from a moment on
}

// query is what a client has asked.
type query struct {
	edge.Ask
	at   time.Duration
	conn edge.Conn
	sent int  // attempts of the inner scheduler
	done bool // it had its answer, from whomever
}

// errand is an attempt of ours.
type errand struct {
	node int
	q    *query
}

type later struct {
	at time.Duration
	do func()
}

// wrap makes a Wrap of hooks. New hooks are made for each scheduler.
func wrap(in func(b *border, in *edge.In) bool, out func(b *border, out *edge.Out) bool) func(*scenario.Scenario,
	edge.Scheduler) edge.Scheduler {
	return func(spec *scenario.Scenario, inner edge.Scheduler) edge.Scheduler {
		return &border{
			spec: spec, inner: inner, in: in, out: out, asked: map[string]*query{},
			owns: map[edge.Conn]*errand{},
		}
	}
}

// Step lets both sides through.
func (b *border) Step(now time.Duration, ins []edge.In, dst []edge.Out) []edge.Out {
	b.now, b.dst = now, dst
	for i := range ins {
		b.take(&ins[i])
	}
	for len(b.later) > 0 && b.later[0].at <= now {
		do := b.later[0].do
		b.later = b.later[1:]
		do()
	}
	for again := true; again; again = len(b.fed) > 0 {
		fed := b.fed
		b.fed = nil
		b.raw = b.inner.Step(now, fed, b.raw[:0])
		for i := range b.raw {
			b.give(&b.raw[i])
		}
	}
	dst, b.dst = b.dst, nil
	return dst
}

// Next tells when either wants to run.
func (b *border) Next() (time.Duration, bool) {
	at, ok := b.inner.Next()
	if len(b.later) > 0 && (!ok || b.later[0].at < at) {
		at, ok = b.later[0].at, true
	}
	return at, ok
}

// take is what comes from the world.
func (b *border) take(in *edge.In) {
	b.sched = in.Sched
	switch in.Kind {
	case edge.Start, edge.Kill:
		b.forget()
		b.up = in.Kind == edge.Start
	case edge.Asked:
		b.asked[in.Ask.Call] = &query{Ask: *in.Ask, at: b.now, conn: in.Conn}
	case edge.LinkUp, edge.LinkDown, edge.Answered:
		if e := b.owns[in.Conn]; e != nil {
			b.own(in, e)
			return
		}
	}
	if b.in == nil || b.in(b, in) {
		b.fed = append(b.fed, *in)
	}
}

// forget is the end of a process.
func (b *border) forget() {
	clear(b.asked)
	clear(b.owns)
	b.later, b.up = nil, false
}

// give is what comes from the inner scheduler.
func (b *border) give(o *edge.Out) {
	if !b.up && o.Kind != edge.Exited {
		return
	}
	q := b.asked[o.Call]
	switch o.Kind {
	case edge.Sent:
		if q != nil {
			q.sent++
		}
	case edge.Exited:
		b.forget()
	}
	if b.out == nil || b.out(b, o) {
		b.dst = append(b.dst, *o)
	}
	if q != nil && o.Kind == edge.Replied {
		q.done = true
	}
}

// at has something done at an instant, unless the process has ended by then.
func (b *border) at(t time.Duration, do func()) {
	t = max(t, b.now+1)
	i := len(b.later)
	for i > 0 && b.later[i-1].at > t {
		i--
	}
	b.later = append(b.later, later{})
	copy(b.later[i+1:], b.later[i:])
	b.later[i] = later{t, do}
}

// every says yes to each n-th of what it is asked about.
func (b *border) every(n int) bool {
	b.count++
	return b.count%n == 0
}

// feed brings something to the inner scheduler that the world knows nothing of.
func (b *border) feed(in edge.In) {
	in.Sched = b.sched
	b.fed = append(b.fed, in)
}

// reply answers a query in the inner scheduler's place, which takes its client for gone.
func (b *border) reply(q *query, status int) {
	q.done = true
	b.dst = append(b.dst, edge.Out{Kind: edge.Replied, Sched: b.sched, Conn: q.conn, Call: q.Call, Status: status})
	b.feed(edge.In{Kind: edge.Left, Conn: q.conn})
}

// send sends a query to a worker node, over a connection of its own.
func (b *border) send(q *query, node int) {
	b.links++
	conn := edge.LinkConn(b.sched, 1<<39|b.links)
	b.owns[conn] = &errand{node, q}
	b.dst = append(b.dst, edge.Out{Kind: edge.Dial, Sched: b.sched, Conn: conn, Node: node})
}

// own is what comes over a connection of ours.
func (b *border) own(in *edge.In, e *errand) {
	switch in.Kind {
	case edge.LinkUp:
		left := max(time.Millisecond, e.q.at+e.q.Budget-b.now).Truncate(time.Millisecond)
		b.dst = append(b.dst, edge.Out{
			Kind: edge.Sent, Sched: b.sched, Conn: in.Conn, Node: e.node, Call: e.q.Call,
			Key: e.q.Key, Budget: left, First: b.now,
		})
	case edge.Answered:
		b.dst = append(b.dst, edge.Out{Kind: edge.Hangup, Sched: b.sched, Conn: in.Conn, Node: e.node})
		delete(b.owns, in.Conn)
	default:
		delete(b.owns, in.Conn)
	}
}

// effect is what running a query twice does, in the scenario's word.
func (b *border) effect(q *query) string { return b.spec.Classes[q.Class].Effect }

// other is a worker node other than the one given.
func (b *border) other(node, by int) int { return (node + by) % max(1, b.spec.Fleet.Nodes) }
