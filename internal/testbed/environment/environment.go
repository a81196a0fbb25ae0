// Package environment simulates everything around the schedulers: workers, discovery, the network, clients and their load
// balancer, and the faults of all of these. It does no I/O and reads no clock. All random numbers derive from one seed, and
// each party has its own stream, so that the actions of one don't change the draws of another: two scheduler versions are
// tested in the same environment.
//
// Package simapi defines the messages that are exchanged with schedulers. Both drivers (simulation and process) call Step;
// nothing happens between two calls. What clients, workers and discovery observe is reported to a trace.Observer.
package environment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// Environment is the environment of one run. It is used by one goroutine.
type Environment struct {
	Spec  *scenario.Scenario
	Epoch time.Duration // Unix time of the run's start

	// WorkerAddrs overrides the addresses that WorkerAddr returns; nil: no override.
	WorkerAddrs func(place int) string

	seed     uint64
	now      time.Duration
	events   eventQueue
	inputs   []simapi.Input // inputs produced by the current step
	observer trace.Observer
	event    trace.Event // reused by record to avoid allocations

	network    *network
	peers      *peerNetwork
	schedulers []*scheduler
	workers    []*worker
	discovery  *discovery
	balancer   *loadBalancer
	clients    *clients
	faults     *faultTimeline
	conns      map[simapi.Conn]*conn
}

// New returns the environment of a scenario, which must have passed its Check.
func New(spec *scenario.Scenario, seed uint64, epoch time.Duration, observer trace.Observer) *Environment {
	environment := &Environment{Spec: spec, Epoch: epoch, seed: seed, observer: observer, conns: map[simapi.Conn]*conn{}}
	if observer == nil {
		environment.observer = func(*trace.Event) {}
	}
	environment.network = newNetwork(environment)
	environment.peers = newPeerNetwork(environment)
	environment.schedulers = newSchedulers(environment)
	environment.workers = newWorkers(environment)
	environment.discovery = newDiscovery(environment)
	environment.balancer = newLoadBalancer(environment)
	environment.clients = newClients(environment)
	environment.faults = newFaultTimeline(environment)
	environment.discovery.start()
	for _, n := range environment.workers {
		n.beginRun()
	}
	for _, s := range environment.schedulers {
		s.scheduleStart()
	}
	environment.clients.start()
	environment.faults.start()
	return environment
}

// Next returns the time of the next planned event, by which Step must be called; not ok: no event is planned.
func (e *Environment) Next() (at time.Duration, ok bool) { return e.events.nextAt() }

// Step applies the outputs of schedulers, runs all events that are due by now, and appends the inputs for schedulers to dst.
func (e *Environment) Step(now time.Duration, outs []simapi.Output, dst []simapi.Input) []simapi.Input {
	e.now, e.inputs = max(now, e.now), dst
	for i := range outs {
		e.apply(&outs[i])
	}
	for {
		at, ok := e.events.nextAt()
		if !ok || at > e.now {
			break
		}
		e.events.pop()()
	}
	dst, e.inputs = e.inputs, nil
	return dst
}

// Finished reports whether every job is settled and no more jobs will arrive.
func (e *Environment) Finished() bool { return e.clients.finished() }

// schedule plans a call of do at t, or now if t is in the past. Events at the same time run in the order in which they were
// scheduled.
func (e *Environment) schedule(t time.Duration, do func()) { e.events.schedule(max(t, e.now), do) }

func (e *Environment) after(d time.Duration, do func()) { e.schedule(e.now+max(d, 0), do) }

// deliver appends an input for a scheduler. An input for one whose process does not run is lost. Inputs for a frozen process
// wait in its sockets; the driver models that.
func (e *Environment) deliver(input simapi.Input) {
	if e.schedulers[input.Scheduler].alive || needsNoProcess(input.Message) {
		e.inputs = append(e.inputs, input)
	}
}

// needsNoProcess reports whether a message is also delivered to a scheduler whose process does not run: Start, or Kill, which
// is delivered after the process has ended.
func needsNoProcess(message simapi.InputMessage) bool {
	switch message.(type) {
	case simapi.Start, simapi.Kill:
		return true
	}
	return false
}

// apply applies an output of a scheduler. Outputs of a process that has ended in the meantime don't affect its successor.
func (e *Environment) apply(output *simapi.Output) {
	switch message := output.Message.(type) {
	case simapi.Ready, simapi.Unready, simapi.Exited:
		e.schedulers[output.Scheduler].apply(message)
	case simapi.ResponseWritten:
		e.clients.responseWritten(output.Scheduler, &message)
	case simapi.ClientConnClosed:
		e.clients.schedulerClosed(output.Scheduler, message.Conn)
	case simapi.ClientConnFailed:
		e.clients.connFailed(output.Scheduler, message.Conn)
	case simapi.WatchRequested:
		e.discovery.watchRequested(output.Scheduler, message.Revision)
	case simapi.WorkerDialed:
		e.workers[message.Worker].dialed(output.Scheduler, &message)
	case simapi.AttemptWritten:
		e.workers[message.Worker].attemptWritten(output.Scheduler, &message)
	case simapi.HealthCheckWritten:
		e.workers[message.Worker].healthCheckWritten(output.Scheduler, message.Conn)
	case simapi.CancellationWritten:
		e.workers[message.Worker].cancellationWritten(output.Scheduler, &message)
	case simapi.WorkerConnClosed:
		e.workers[message.Worker].schedulerClosed(output.Scheduler, message.Conn)
	case simapi.DatagramWritten:
		e.peers.send(output.Scheduler, &message)
	case simapi.CallbackAnswered:
		e.workers[message.Worker].sendCallbackAnswer(output.Scheduler, &message)
	}
}

// rng returns a random number generator that derives from the seed, the name and n alone.
func (e *Environment) rng(name string, n int) *rand.Rand {
	return rand.New(rand.NewPCG(e.seed^xxhash.Sum64String(name), uint64(n)))
}

// record reports a trace event with the current time.
func (e *Environment) record(event trace.Event) {
	e.event = event
	e.event.At = e.now
	e.observer(&e.event)
}

func sortConns(c []*conn) {
	slices.SortFunc(c, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
}
