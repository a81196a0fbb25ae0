// Package environment is the testbed's model of all that is round schedulers: workers, discovery, the network, clients
// and their load balancer, and their faults. It does no I/O and reads no clock. All that is random follows from one
// seed, and each party draws from a stream of its own, so that what one does shifts no draw of another: two schedulers
// meet the same environment.
//
// The interface to schedulers is package simapi. Both drivers call Step; between two calls nothing happens. What clients,
// workers and discovery observed goes to a trace.Observer.
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

	// WorkerAddrs gives machines other addresses than NodeAddr's own; nil: it doesn't.
	WorkerAddrs func(place int) string

	seed     uint64
	now      time.Duration
	events   eventQueue
	inputs   []simapi.Input // of this step
	observer trace.Observer
	event    trace.Event // reused

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

// New draws an environment from a checked scenario.
func New(spec *scenario.Scenario, seed uint64, epoch time.Duration, watch trace.Observer) *Environment {
	environment := &Environment{Spec: spec, Epoch: epoch, seed: seed, observer: watch, conns: map[simapi.Conn]*conn{}}
	if watch == nil {
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
		n.begin()
	}
	for _, s := range environment.schedulers {
		s.scheduleStart()
	}
	environment.clients.start()
	environment.faults.start()
	return environment
}

// Next tells when the environment wants to run at the latest; not ok: nothing will happen any more by itself.
func (e *Environment) Next() (at time.Duration, ok bool) { return e.events.nextAt() }

// Step takes what schedulers did, lets all happen that is due by now, and appends what reaches schedulers.
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

// Finished tells whether every job is settled and no further one comes.
func (e *Environment) Finished() bool { return e.clients.finished() }

// schedule puts something on the event queue. What falls on one instant happens in the order in which it was put there.
func (e *Environment) schedule(t time.Duration, do func()) { e.events.schedule(max(t, e.now), do) }

func (e *Environment) after(d time.Duration, do func()) { e.schedule(e.now+max(d, 0), do) }

// deliver hands something to a scheduler. What reaches one that does not run is lost; what reaches a frozen one waits at
// its sockets, which is the driver's to model.
func (e *Environment) deliver(input simapi.Input) {
	if e.schedulers[input.Scheduler].alive || actsOnNoProcess(input.Message) {
		e.inputs = append(e.inputs, input)
	}
}

// actsOnNoProcess reports whether a message is for a scheduler that does not run, or runs no more.
func actsOnNoProcess(message simapi.InputMessage) bool {
	switch message.(type) {
	case simapi.Start, simapi.Kill:
		return true
	}
	return false
}

// apply takes something that a scheduler did. What a process did that is gone by now is not known to its successor.
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
		e.workers[message.Worker].applyAck(output.Scheduler, &message)
	}
}

// rng is a stream of random numbers of a party's own.
func (e *Environment) rng(name string, n int) *rand.Rand {
	return rand.New(rand.NewPCG(e.seed^xxhash.Sum64String(name), uint64(n)))
}

// record reports a trace event, as of now.
func (e *Environment) record(s trace.Event) {
	e.event = s
	e.event.At = e.now
	e.observer(&e.event)
}

func sortConns(c []*conn) {
	slices.SortFunc(c, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
}
