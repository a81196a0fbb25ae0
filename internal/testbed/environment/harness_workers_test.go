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
	ack      func(callback *simapi.CallbackReceived) (status int, ok bool) // a scheduler's answer to a callback
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
	r := &workerHarness{t: tb, tries: map[string]*request{}, notified: true, ack: func(*simapi.CallbackReceived) (int, bool) { return 204, true }}
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
func (w *workerHarness) run(to time.Duration) {
	for at, ok := w.w.Next(); len(w.outputs) > 0 || ok && at <= to; at, ok = w.w.Next() {
		if len(w.outputs) > 0 {
			at = w.w.now
		}
		w.step(at)
	}
	w.step(to)
}

func (w *workerHarness) pass(d time.Duration) { w.run(w.w.now + d) }

func (w *workerHarness) step(at time.Duration) {
	outs, from := w.outputs, len(w.inputs)
	w.outputs = nil
	w.inputs = w.w.Step(at, outs, w.inputs)
	for _, in := range w.inputs[from:] {
		callback, ok := in.Message.(simapi.CallbackReceived)
		if !ok {
			continue
		}
		if status, ok := w.ack(&callback); ok {
			w.outputs = append(w.outputs, simapi.Output{Scheduler: in.Scheduler, Message: simapi.CallbackAnswered{
				Worker: callback.Worker, CallbackID: callback.CallbackID, Status: status,
			}})
		}
	}
}

// do does something within a step.
func (w *workerHarness) do(what func()) {
	w.w.schedule(0, what)
	w.step(w.w.now)
}

func (w *workerHarness) dial(sched, node int) simapi.Conn { return w.dialMachine(sched, node, 0) }

// dialMachine has a scheduler open a connection to one of a worker's machines.
func (w *workerHarness) dialMachine(sched, node, machine int) simapi.Conn {
	w.conns++
	c := simapi.WorkerConn(sched, w.conns)
	w.outputs = append(w.outputs, simapi.Output{Scheduler: sched, Message: simapi.WorkerDialed{Worker: node, Machine: machine, Conn: c}})
	return c
}

// addRequest makes up a client's request of so much work.
func (w *workerHarness) addRequest(call string, class int, work, slots float64) {
	w.tries[call] = &request{id: call, class: class, work: work, slots: slots, key: "key-" + call}
}

// act has a scheduler do something over a connection to a worker, if that is there.
func (w *workerHarness) act(c simapi.Conn, message func(worker int) simapi.OutputMessage) {
	if n := w.w.conns[c]; n != nil {
		w.outputs = append(w.outputs, simapi.Output{Scheduler: n.scheduler, Message: message(n.worker)})
	}
}

func (w *workerHarness) writeAttempt(c simapi.Conn, call string) {
	key := ""
	if t := w.tries[call]; t != nil {
		key = t.key
	}
	w.act(c, func(worker int) simapi.OutputMessage {
		return simapi.AttemptWritten{Worker: worker, Conn: c, RequestID: call, IdempotencyKey: key, Budget: 5 * time.Second}
	})
}

func (w *workerHarness) writeHealthCheck(c simapi.Conn) {
	w.act(c, func(worker int) simapi.OutputMessage { return simapi.HealthCheckWritten{Worker: worker, Conn: c} })
}

func (w *workerHarness) writeCancellation(c simapi.Conn, call string) {
	w.act(c, func(worker int) simapi.OutputMessage {
		return simapi.CancellationWritten{Worker: worker, Conn: c, RequestID: call}
	})
}

func (w *workerHarness) closeConn(c simapi.Conn) {
	w.act(c, func(worker int) simapi.OutputMessage { return simapi.WorkerConnClosed{Worker: worker, Conn: c} })
}

// sendRequest sends a request over a connection of its own, which stays.
func (w *workerHarness) sendRequest(node int, call string, class int, work, slots float64) simapi.Conn {
	if w.tries[call] == nil {
		w.addRequest(call, class, work, slots)
	}
	c := w.dial(0, node)
	w.step(w.w.now)
	w.writeAttempt(c, call)
	w.step(w.w.now)
	return c
}

// first finds what was first seen of a call.
func (w *workerHarness) first(what trace.Kind, call string) (s trace.Event, ok bool) {
	i := slices.IndexFunc(w.events, func(s trace.Event) bool { return s.Kind == what && s.RequestID == call })
	if i < 0 {
		return s, false
	}
	return w.events[i], true
}

// must is the same, and it was seen at that time.
func (w *workerHarness) must(what trace.Kind, call string, at time.Duration) trace.Event {
	w.t.Helper()
	s, ok := w.first(what, call)
	if d := s.At - at; !ok || d < 0 || d > 10*time.Microsecond {
		w.t.Fatalf("trace event %d of %q: found %v, at %v, want %v", what, call, ok, s.At, at)
	}
	return s
}

// expectCallbacks are the callbacks of a call that schedulers must have been told, in that order.
func (w *workerHarness) expectCallbacks(call string, want ...string) {
	w.t.Helper()
	var got []string
	for _, in := range w.inputs {
		if m, ok := in.Message.(simapi.CallbackReceived); ok && m.Callback.CallID == call {
			got = append(got, m.Callback.State)
		}
	}
	if !slices.Equal(got, want) {
		w.t.Fatalf("callbacks of %q are %v, want %v", call, got, want)
	}
}

// connOf is the connection to a worker that a message came over; 0: none.
func connOf(message simapi.InputMessage) simapi.Conn {
	switch m := message.(type) {
	case simapi.WorkerConnected:
		return m.Conn
	case simapi.WorkerDisconnected:
		return m.Conn
	case simapi.ResponseReceived:
		return m.Conn
	}
	return 0
}

// last is what last came over a connection, and must be of a type.
func last[T simapi.InputMessage](r *workerHarness, c simapi.Conn) (message T) {
	r.t.Helper()
	var found simapi.InputMessage
	for _, in := range r.inputs {
		if connOf(in.Message) == c {
			found = in.Message
		}
	}
	message, ok := found.(T)
	if !ok {
		r.t.Fatalf("connection %x brought %T %+v, want %T", c, found, found, message)
	}
	return message
}

// nothing checks that nothing came over a connection.
func (w *workerHarness) nothing(c simapi.Conn) {
	w.t.Helper()
	for _, in := range w.inputs {
		if connOf(in.Message) == c {
			w.t.Fatalf("connection %x brought %T %+v", c, in.Message, in.Message)
		}
	}
}
