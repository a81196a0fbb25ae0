package environment

import (
	"slices"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// workerHarness is an environment of workers and a network, with schedulers and requests that the test scripts.
type workerHarness struct {
	t              testing.TB
	env            *Environment
	requests       map[string]*request
	events         []trace.Event
	inputs         []simapi.Input
	outputs        []simapi.Output // for the next step
	lifeEvents     []lifeEvent
	knowsStart     bool
	answerCallback func(callback *simapi.CallbackReceived) (status int, ok bool) // to a callback; not ok: no answer
	onEvent        func(s *trace.Event)
	connCount      uint64
}

const ms = time.Millisecond

// uniformFleet returns a scenario with workers of one kind, without noise in run times, faults of callbacks, or network delays.
func uniformFleet(workers int) (*scenario.Scenario, *scenario.WorkerKind) {
	s := scenario.Default()
	s.Fleet.Workers, s.Network, s.Fleet.Kinds, s.Rules.OverloadFactor = workers, scenario.Network{}, s.Fleet.Kinds[:1], 1000
	k := &s.Fleet.Kinds[0]
	k.Share, k.Speed, k.Spread, k.Queue, k.Accept, k.Handshake = 1, 1, 0, 4, 0, 0
	k.CallbackDelay, k.CallbackEarlyShare, k.CallbackTwiceShare, k.CallbackLossShare = 0, 0, 0, 0
	for i := range s.Classes {
		s.Classes[i].Noise = 0
	}
	return s, k
}

// Indices of the classes of scenario.Default.
const (
	safeClass   = 0
	unsafeClass = 2
	keyedClass  = 3
)

func newWorkerHarness(tb testing.TB, spec *scenario.Scenario, seed uint64) *workerHarness {
	tb.Helper()
	r := &workerHarness{t: tb, requests: map[string]*request{}, knowsStart: true, answerCallback: func(*simapi.CallbackReceived) (int, bool) { return 204, true }}
	r.env = &Environment{Spec: spec, seed: seed, conns: map[simapi.Conn]*conn{}, observer: func(event *trace.Event) {
		r.events = append(r.events, *event)
		if r.onEvent != nil {
			r.onEvent(event)
		}
	}}
	r.env.network = newNetwork(r.env)
	for i := range spec.Schedulers.Count {
		r.env.schedulers = append(r.env.schedulers, &scheduler{env: r.env, number: i, alive: true})
	}
	r.env.workers = newWorkers(r.env)
	shared := r.env.workers[0].shared
	shared.findRequest = func(requestID string) *request { return r.requests[requestID] }
	shared.knowsStart = func(int, *worker) bool { return r.knowsStart }
	shared.onLifeEvent = func(_ *worker, event lifeEvent) { r.lifeEvents = append(r.lifeEvents, event) }
	for _, n := range r.env.workers {
		n.beginRun()
	}
	return r
}

// runUntil runs until a time. Schedulers answer callbacks as they arrive.
func (w *workerHarness) runUntil(to time.Duration) {
	for at, ok := w.env.Next(); len(w.outputs) > 0 || ok && at <= to; at, ok = w.env.Next() {
		if len(w.outputs) > 0 {
			at = w.env.now
		}
		w.step(at)
	}
	w.step(to)
}

func (w *workerHarness) runFor(d time.Duration) { w.runUntil(w.env.now + d) }

func (w *workerHarness) step(at time.Duration) {
	outs, from := w.outputs, len(w.inputs)
	w.outputs = nil
	w.inputs = w.env.Step(at, outs, w.inputs)
	for _, in := range w.inputs[from:] {
		callback, ok := in.Message.(simapi.CallbackReceived)
		if !ok {
			continue
		}
		if status, ok := w.answerCallback(&callback); ok {
			w.outputs = append(w.outputs, simapi.Output{Scheduler: in.Scheduler, Message: simapi.CallbackAnswered{
				Worker: callback.Worker, CallbackID: callback.CallbackID, Status: status,
			}})
		}
	}
}

// doNow calls what in a step at the present time.
func (w *workerHarness) doNow(what func()) {
	w.env.schedule(0, what)
	w.step(w.env.now)
}

func (w *workerHarness) dial(sched, worker int) simapi.Conn { return w.dialMachine(sched, worker, 0) }

// dialMachine opens a connection from a scheduler to one of a worker's machines.
func (w *workerHarness) dialMachine(sched, worker, machine int) simapi.Conn {
	w.connCount++
	c := simapi.WorkerConn(sched, w.connCount)
	w.outputs = append(w.outputs, simapi.Output{Scheduler: sched, Message: simapi.WorkerDialed{Worker: worker, Machine: machine, Conn: c}})
	return c
}

// addRequest adds a client's request with the given work.
func (w *workerHarness) addRequest(requestID string, class int, work, slots float64) {
	w.requests[requestID] = &request{id: requestID, class: class, work: work, slots: slots, key: "key-" + requestID}
}

// sendOnConn adds a scheduler's output for a connection to a worker, unless the connection is gone.
func (w *workerHarness) sendOnConn(c simapi.Conn, message func(worker int) simapi.OutputMessage) {
	if n := w.env.conns[c]; n != nil {
		w.outputs = append(w.outputs, simapi.Output{Scheduler: n.scheduler, Message: message(n.worker)})
	}
}

func (w *workerHarness) writeAttempt(c simapi.Conn, requestID string) {
	key := ""
	if t := w.requests[requestID]; t != nil {
		key = t.key
	}
	w.sendOnConn(c, func(worker int) simapi.OutputMessage {
		return simapi.AttemptWritten{Worker: worker, Conn: c, RequestID: requestID, IdempotencyKey: key, Budget: 5 * time.Second}
	})
}

func (w *workerHarness) writeHealthCheck(c simapi.Conn) {
	w.sendOnConn(c, func(worker int) simapi.OutputMessage { return simapi.HealthCheckWritten{Worker: worker, Conn: c} })
}

func (w *workerHarness) writeCancellation(c simapi.Conn, requestID string) {
	w.sendOnConn(c, func(worker int) simapi.OutputMessage {
		return simapi.CancellationWritten{Worker: worker, Conn: c, RequestID: requestID}
	})
}

func (w *workerHarness) closeConn(c simapi.Conn) {
	w.sendOnConn(c, func(worker int) simapi.OutputMessage { return simapi.WorkerConnClosed{Worker: worker, Conn: c} })
}

// sendRequest sends a request over a new connection, which stays open.
func (w *workerHarness) sendRequest(worker int, requestID string, class int, work, slots float64) simapi.Conn {
	if w.requests[requestID] == nil {
		w.addRequest(requestID, class, work, slots)
	}
	c := w.dial(0, worker)
	w.step(w.env.now)
	w.writeAttempt(c, requestID)
	w.step(w.env.now)
	return c
}

// firstEvent returns the first event of a kind of a request.
func (w *workerHarness) firstEvent(kind trace.Kind, requestID string) (s trace.Event, ok bool) {
	i := slices.IndexFunc(w.events, func(s trace.Event) bool { return s.Kind == kind && s.RequestID == requestID })
	if i < 0 {
		return s, false
	}
	return w.events[i], true
}

// requireEvent returns the first event of a kind of a request, and fails the test unless there is one at the given time.
func (w *workerHarness) requireEvent(kind trace.Kind, requestID string, at time.Duration) trace.Event {
	w.t.Helper()
	s, ok := w.firstEvent(kind, requestID)
	if d := s.At - at; !ok || d < 0 || d > 10*time.Microsecond {
		w.t.Fatalf("trace event %d of %q: found %v, at %v, want %v", kind, requestID, ok, s.At, at)
	}
	return s
}

// requireCallbacks fails the test unless schedulers received exactly these callbacks of a request, in this order.
func (w *workerHarness) requireCallbacks(requestID string, want ...string) {
	w.t.Helper()
	var got []string
	for _, in := range w.inputs {
		if m, ok := in.Message.(simapi.CallbackReceived); ok && m.Callback.CallID == requestID {
			got = append(got, m.Callback.State)
		}
	}
	if !slices.Equal(got, want) {
		w.t.Fatalf("callbacks of %q are %v, want %v", requestID, got, want)
	}
}

// connOf returns the connection to a worker on which a message arrived; 0: none.
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

// requireLastMessage returns the last message on a connection, and fails the test unless it is of the given type.
func requireLastMessage[T simapi.InputMessage](r *workerHarness, c simapi.Conn) (message T) {
	r.t.Helper()
	var found simapi.InputMessage
	for _, in := range r.inputs {
		if connOf(in.Message) == c {
			found = in.Message
		}
	}
	message, ok := found.(T)
	if !ok {
		r.t.Fatalf("last message on connection %x: %T %+v, want %T", c, found, found, message)
	}
	return message
}

// requireNoMessage fails the test if a message arrived on a connection.
func (w *workerHarness) requireNoMessage(c simapi.Conn) {
	w.t.Helper()
	for _, in := range w.inputs {
		if connOf(in.Message) == c {
			w.t.Fatalf("unexpected message on connection %x: %T %+v", c, in.Message, in.Message)
		}
	}
}
