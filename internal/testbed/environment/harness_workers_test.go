package environment

import (
	"slices"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// workerHarness is workers and a network, with schedulers that do as a test says, and requests that it makes up.
type workerHarness struct {
	t        testing.TB
	w        *Environment
	tries    map[string]*request
	events   []trace.Event
	inputs   []simapi.Input
	outputs  []simapi.Output // for the next step
	life     []lifeEvent
	notified bool
	ack      func(in *simapi.Input) (status int, ok bool) // a scheduler's answer to a callback
	see      func(s *trace.Event)
	conns    uint64
}

const ms = time.Millisecond

// plain is a fleet of one kind on a network without delays, whose workers do as they should.
func plain(nodes int) (*scenario.Scenario, *scenario.WorkerKind) {
	s := scenario.Default()
	s.Fleet.Workers, s.Network, s.Fleet.Kinds, s.Rules.OverloadFactor = nodes, scenario.Network{}, s.Fleet.Kinds[:1], 1000
	k := &s.Fleet.Kinds[0]
	k.Share, k.Speed, k.Spread, k.Queue, k.Accept, k.Handshake = 1, 1, 0, 4, 0, 0
	k.CallbackDelay, k.CallbackEarlyShare, k.CallbackTwiceShare, k.CallbackLossShare = 0, 0, 0, 0
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

func newWorkerHarness(tb testing.TB, spec *scenario.Scenario, seed uint64) *workerHarness {
	tb.Helper()
	r := &workerHarness{t: tb, tries: map[string]*request{}, notified: true, ack: func(*simapi.Input) (int, bool) { return 204, true }}
	r.w = &Environment{Spec: spec, seed: seed, conns: map[simapi.Conn]*conn{}, observer: func(s *trace.Event) {
		r.events = append(r.events, *s)
		if r.see != nil {
			r.see(s)
		}
	}}
	r.w.network = newNetwork(r.w)
	for i := range spec.Schedulers.Count {
		r.w.schedulers = append(r.w.schedulers, &scheduler{env: r.w, number: i, alive: true})
	}
	r.w.workers = newWorkers(r.w)
	f := r.w.workers[0].shared
	f.findRequest = func(call string) *request { return r.tries[call] }
	f.knowsStart = func(int, *worker) bool { return r.notified }
	f.onLifeEvent = func(_ *worker, what lifeEvent) { r.life = append(r.life, what) }
	for _, n := range r.w.workers {
		n.begin()
	}
	return r
}

// run plays until an instant. Schedulers answer notes as they come.
func (r *workerHarness) run(to time.Duration) {
	for at, ok := r.w.Next(); len(r.outputs) > 0 || ok && at <= to; at, ok = r.w.Next() {
		if len(r.outputs) > 0 {
			at = r.w.now
		}
		r.step(at)
	}
	r.step(to)
}

func (r *workerHarness) pass(d time.Duration) { r.run(r.w.now + d) }

func (r *workerHarness) step(at time.Duration) {
	outs, from := r.outputs, len(r.inputs)
	r.outputs = nil
	r.inputs = r.w.Step(at, outs, r.inputs)
	for i := range r.inputs[from:] {
		if in := &r.inputs[from+i]; in.Kind == simapi.CallbackReceived {
			if status, ok := r.ack(in); ok {
				r.outputs = append(r.outputs, simapi.Output{
					Kind: simapi.CallbackAnswered, Scheduler: in.Scheduler, Worker: in.Worker, CallbackID: in.CallbackID,
					Status: status,
				})
			}
		}
	}
}

// do does something within a step.
func (r *workerHarness) do(what func()) {
	r.w.schedule(0, what)
	r.step(r.w.now)
}

func (r *workerHarness) dial(sched, node int) simapi.Conn {
	r.conns++
	c := simapi.WorkerConn(sched, r.conns)
	r.outputs = append(r.outputs, simapi.Output{Kind: simapi.WorkerDialed, Scheduler: sched, Worker: node, Conn: c})
	return c
}

// request makes up a client's request of so much work.
func (r *workerHarness) addRequest(call string, class int, work, slots float64) {
	r.tries[call] = &request{id: call, class: class, work: work, slots: slots, key: "key-" + call}
}

// apply has a scheduler do something over a connection.
func (r *workerHarness) apply(c simapi.Conn, kind simapi.OutputKind, call string) {
	n := r.w.conns[c]
	if n == nil {
		return
	}
	o := simapi.Output{Kind: kind, Scheduler: n.scheduler, Worker: n.worker, Conn: c, RequestID: call, Budget: 5 * time.Second}
	if t := r.tries[call]; t != nil {
		o.IdempotencyKey = t.key
	}
	r.outputs = append(r.outputs, o)
}

// sendRequest sends a request over a connection of its own, which stays.
func (r *workerHarness) sendRequest(node int, call string, class int, work, slots float64) simapi.Conn {
	if r.tries[call] == nil {
		r.addRequest(call, class, work, slots)
	}
	c := r.dial(0, node)
	r.step(r.w.now)
	r.apply(c, simapi.AttemptWritten, call)
	r.step(r.w.now)
	return c
}

// first finds what was first seen of a call.
func (r *workerHarness) first(what trace.Kind, call string) (s trace.Event, ok bool) {
	i := slices.IndexFunc(r.events, func(s trace.Event) bool { return s.Kind == what && s.RequestID == call })
	if i < 0 {
		return s, false
	}
	return r.events[i], true
}

// must is the same, and it was seen at that time.
func (r *workerHarness) must(what trace.Kind, call string, at time.Duration) trace.Event {
	r.t.Helper()
	s, ok := r.first(what, call)
	if d := s.At - at; !ok || d < 0 || d > 10*time.Microsecond {
		r.t.Fatalf("trace event %d of %q: found %v, at %v, want %v", what, call, ok, s.At, at)
	}
	return s
}

// expectCallbacks are the callbacks of a call that schedulers must have been told, in that order.
func (r *workerHarness) expectCallbacks(call string, want ...string) {
	r.t.Helper()
	var got []string
	for _, in := range r.inputs {
		if in.Kind == simapi.CallbackReceived && in.Callback.CallID == call {
			got = append(got, in.Callback.State)
		}
	}
	if !slices.Equal(got, want) {
		r.t.Fatalf("callbacks of %q are %v, want %v", call, got, want)
	}
}

// last is what last came over a connection, and must be of a kind.
func (r *workerHarness) last(c simapi.Conn, kind simapi.InputKind) (in simapi.Input) {
	r.t.Helper()
	for _, x := range r.inputs {
		if x.Conn == c {
			in = x
		}
	}
	if in.Kind != kind {
		r.t.Fatalf("connection %x brought %+v, want kind %d", c, in, kind)
	}
	return in
}
