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
func (w *Environment) Next() (at time.Duration, ok bool) { return w.events.nextAt() }

// Step takes what schedulers did, lets all happen that is due by now, and appends what reaches schedulers.
func (w *Environment) Step(now time.Duration, outs []simapi.Output, dst []simapi.Input) []simapi.Input {
	w.now, w.inputs = max(now, w.now), dst
	for i := range outs {
		w.apply(&outs[i])
	}
	for {
		at, ok := w.events.nextAt()
		if !ok || at > w.now {
			break
		}
		w.events.pop()()
	}
	dst, w.inputs = w.inputs, nil
	return dst
}

// Finished tells whether every job is settled and no further one comes.
func (w *Environment) Finished() bool { return w.clients.finished() }

// schedule puts something on the event queue. What falls on one instant happens in the order in which it was put there.
func (w *Environment) schedule(t time.Duration, do func()) { w.events.schedule(max(t, w.now), do) }

func (w *Environment) after(d time.Duration, do func()) { w.schedule(w.now+max(d, 0), do) }

// deliver hands something to a scheduler. What reaches one that does not run is lost; what reaches a frozen one waits at
// its sockets, which is the driver's to model.
func (w *Environment) deliver(input simapi.Input) {
	if w.schedulers[input.Scheduler].alive || actsOnNoProcess(input.Message) {
		w.inputs = append(w.inputs, input)
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
func (w *Environment) apply(output *simapi.Output) {
	switch message := output.Message.(type) {
	case simapi.Ready, simapi.Unready, simapi.Exited:
		w.schedulers[output.Scheduler].apply(message)
	case simapi.ResponseWritten:
		w.clients.responseWritten(output.Scheduler, &message)
	case simapi.ClientConnClosed:
		w.clients.schedulerClosed(output.Scheduler, message.Conn)
	case simapi.ClientConnFailed:
		w.clients.connFailed(output.Scheduler, message.Conn)
	case simapi.WatchRequested:
		w.discovery.watchRequested(output.Scheduler, message.Revision)
	case simapi.WorkerDialed:
		w.workers[message.Worker].dialed(output.Scheduler, &message)
	case simapi.AttemptWritten:
		w.workers[message.Worker].attemptWritten(output.Scheduler, &message)
	case simapi.HealthCheckWritten:
		w.workers[message.Worker].healthCheckWritten(output.Scheduler, message.Conn)
	case simapi.CancellationWritten:
		w.workers[message.Worker].cancellationWritten(output.Scheduler, &message)
	case simapi.WorkerConnClosed:
		w.workers[message.Worker].schedulerClosed(output.Scheduler, message.Conn)
	case simapi.DatagramWritten:
		w.peers.send(output.Scheduler, &message)
	case simapi.CallbackAnswered:
		w.workers[message.Worker].applyAck(output.Scheduler, &message)
	}
}

// rng is a stream of random numbers of a party's own.
func (w *Environment) rng(name string, n int) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed^xxhash.Sum64String(name), uint64(n)))
}

// record reports a trace event, as of now.
func (w *Environment) record(s trace.Event) {
	w.event = s
	w.event.At = w.now
	w.observer(&w.event)
}

func sortConns(c []*conn) {
	slices.SortFunc(c, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
}
