package world

import (
	"slices"
	"testing"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

// rig is worker nodes and a network, with schedulers that do as a test says, and queries that it makes up.
type rig struct {
	t      testing.TB
	w      *World
	tries  map[string]*try
	sights []seen.Sight
	ins    []edge.In
	outs   []edge.Out // for the next step
	life   []lifeEvent
	told   bool
	ack    func(in *edge.In) (status int, ok bool) // a scheduler's answer to a note
	see    func(s *seen.Sight)
	conns  uint64
}

const ms = time.Millisecond

// plain is a fleet of one kind on a network without delays, whose worker nodes do as they should.
func plain(nodes int) (*scenario.Scenario, *scenario.Kind) {
	s := scenario.Default()
	s.Fleet.Nodes, s.Net, s.Fleet.Kinds, s.Rules.FallFactor = nodes, scenario.Net{}, s.Fleet.Kinds[:1], 1000
	k := &s.Fleet.Kinds[0]
	k.Share, k.Speed, k.Spread, k.Queue, k.Accept, k.Handshake = 1, 1, 0, 4, 0, 0
	k.NoteLate, k.NoteEarly, k.NoteTwice, k.NoteLost = 0, 0, 0, 0
	for i := range s.Classes {
		s.Classes[i].Noise = 0
	}
	return s, k
}

// Classes of scenario.Default.
const (
	safeClass   = 0
	unsafeClass = 2
	keyedClass  = 3
)

func newRig(tb testing.TB, spec *scenario.Scenario, seed uint64) *rig {
	tb.Helper()
	r := &rig{t: tb, tries: map[string]*try{}, told: true, ack: func(*edge.In) (int, bool) { return 204, true }}
	r.w = &World{Spec: spec, seed: seed, conns: map[edge.Conn]*conn{}, watch: func(s *seen.Sight) {
		r.sights = append(r.sights, *s)
		if r.see != nil {
			r.see(s)
		}
	}}
	r.w.net = newNetwork(r.w)
	for i := range spec.Schedulers.Count {
		r.w.scheds = append(r.w.scheds, &sched{w: r.w, n: i, alive: true})
	}
	r.w.nodes = newNodes(r.w)
	f := r.w.nodes[0].fleet
	f.find = func(call string) *try { return r.tries[call] }
	f.told = func(int, *node) bool { return r.told }
	f.saw = func(_ *node, what lifeEvent) { r.life = append(r.life, what) }
	for _, n := range r.w.nodes {
		n.begin()
	}
	return r
}

// run plays until an instant. Schedulers answer notes as they come.
func (r *rig) run(to time.Duration) {
	for at, ok := r.w.Next(); len(r.outs) > 0 || ok && at <= to; at, ok = r.w.Next() {
		if len(r.outs) > 0 {
			at = r.w.now
		}
		r.step(at)
	}
	r.step(to)
}

func (r *rig) pass(d time.Duration) { r.run(r.w.now + d) }

func (r *rig) step(at time.Duration) {
	outs, from := r.outs, len(r.ins)
	r.outs = nil
	r.ins = r.w.Step(at, outs, r.ins)
	for i := range r.ins[from:] {
		if in := &r.ins[from+i]; in.Kind == edge.Told {
			if status, ok := r.ack(in); ok {
				r.outs = append(r.outs, edge.Out{
					Kind: edge.Acked, Sched: in.Sched, Node: in.Node, NoteID: in.NoteID,
					Status: status,
				})
			}
		}
	}
}

// do does something within a step.
func (r *rig) do(what func()) {
	r.w.at(0, what)
	r.step(r.w.now)
}

func (r *rig) dial(sched, node int) edge.Conn {
	r.conns++
	c := edge.LinkConn(sched, r.conns)
	r.outs = append(r.outs, edge.Out{Kind: edge.Dial, Sched: sched, Node: node, Conn: c})
	return c
}

// query makes up a client's query of so much work.
func (r *rig) query(call string, class int, work, slots float64) {
	r.tries[call] = &try{call: call, class: class, work: work, slots: slots, key: "key-" + call}
}

// out has a scheduler do something over a connection.
func (r *rig) out(c edge.Conn, kind edge.OutKind, call string) {
	n := r.w.conns[c]
	if n == nil {
		return
	}
	o := edge.Out{Kind: kind, Sched: n.sched, Node: n.node, Conn: c, Call: call, Budget: 5 * time.Second}
	if t := r.tries[call]; t != nil {
		o.Key = t.key
	}
	r.outs = append(r.outs, o)
}

// ask sends a query over a connection of its own, which stays.
func (r *rig) ask(node int, call string, class int, work, slots float64) edge.Conn {
	if r.tries[call] == nil {
		r.query(call, class, work, slots)
	}
	c := r.dial(0, node)
	r.step(r.w.now)
	r.out(c, edge.Sent, call)
	r.step(r.w.now)
	return c
}

// first finds what was first seen of a call.
func (r *rig) first(what seen.What, call string) (s seen.Sight, ok bool) {
	i := slices.IndexFunc(r.sights, func(s seen.Sight) bool { return s.What == what && s.Call == call })
	if i < 0 {
		return s, false
	}
	return r.sights[i], true
}

// must is the same, and it was seen at that time.
func (r *rig) must(what seen.What, call string, at time.Duration) seen.Sight {
	r.t.Helper()
	s, ok := r.first(what, call)
	if d := s.At - at; !ok || d < 0 || d > 10*time.Microsecond {
		r.t.Fatalf("sight %d of %q: found %v, at %v, want %v", what, call, ok, s.At, at)
	}
	return s
}

// notes are the notes of a call that schedulers must have been told, in that order.
func (r *rig) notes(call string, want ...string) {
	r.t.Helper()
	var got []string
	for _, in := range r.ins {
		if in.Kind == edge.Told && in.Note.CallID == call {
			got = append(got, in.Note.State)
		}
	}
	if !slices.Equal(got, want) {
		r.t.Fatalf("notes of %q are %v, want %v", call, got, want)
	}
}

// last is what last came over a connection, and must be of a kind.
func (r *rig) last(c edge.Conn, kind edge.InKind) (in edge.In) {
	r.t.Helper()
	for _, x := range r.ins {
		if x.Conn == c {
			in = x
		}
	}
	if in.Kind != kind {
		r.t.Fatalf("connection %x brought %+v, want kind %d", c, in, kind)
	}
	return in
}
