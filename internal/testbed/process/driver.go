package process

import (
	"errors"
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// environmentModel is the part of the environment model that the driver uses.
type environmentModel interface {
	Next() (at time.Duration, ok bool)
	Step(now time.Duration, outs []simapi.Output, dst []simapi.Input) []simapi.Input
	Finished() bool
}

// driver connects the environment model to real sockets and processes. One goroutine, the event loop, owns its state. In
// each iteration socket events become outputs of the schedulers, the environment processes them, and the loop carries
// out the resulting inputs to the schedulers. Other goroutines start processes, wait for them and sample their resource
// usage: the loop sends them commands through each scheduler's queue, and they reply through the mailbox.
type driver struct {
	*poller
	spec         *scenario.Scenario
	options      Options
	environment  environmentModel
	observer     trace.Observer
	addresses    addressPlan
	reader       *reader
	outputs      []simapi.Output
	spareOutputs []simapi.Output
	inputs       []simapi.Input
	events       []trace.Event // the driver's own trace events that are still to be reported
	timers       deadline.Queue[*timer]
	mailbox      chan func()   // functions of other goroutines, to be called in the loop
	done         chan struct{} // closed once the loop has ended
	lateness     latenessMeter
	failure      error // the first failure; it ends the run
	finished     bool  // the environment has no more to do

	callbackTimeout time.Duration // for callbacks of workers

	onStart   func(time.Time) // is called with the wall-clock time of the environment's time zero, again after each pause
	holding   bool            // the environment's time is paused
	heldSince time.Duration   // when the current pause began
	held      time.Duration   // sum of the earlier pauses

	schedulers      []*scheduler
	starter         *starter
	workers         []*worker
	discoveries     [][]*listener       // by index and scheduler; nil until first used
	watches         map[int]*watch      // the current one of each scheduler
	watchConns      map[*watch]struct{} // all connections to discovery
	clients         map[simapi.Conn]*client
	workerConns     map[simapi.Conn]*workerConn
	misbehaving     map[simapi.Conn]*misbehavingClient
	requestForms    formTable
	writeBuffer     []byte // for encoding messages; reused
	alteredRequests []string
}

// mailboxSize is the capacity of the mailbox. Starts and exits of processes and samples of their usage post a few functions a
// second.
const mailboxSize = 1024

func newDriver(spec *scenario.Scenario, opt Options) (d *driver, err error) {
	if opt.Observer == nil {
		opt.Observer = func(*trace.Event) {}
	}
	d = &driver{
		spec: spec, options: opt, observer: opt.Observer, reader: newReader(), mailbox: make(chan func(), mailboxSize),
		done: make(chan struct{}), lateness: newLatenessMeter(), starter: &starter{commands: make(chan func())},
		watches: map[int]*watch{}, watchConns: map[*watch]struct{}{}, clients: map[simapi.Conn]*client{},
		workerConns: map[simapi.Conn]*workerConn{}, misbehaving: map[simapi.Conn]*misbehavingClient{}, callbackTimeout: callbackTimeout,
	}
	d.starter.run()
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	if d.poller, err = newPoller(); err != nil {
		return nil, err
	}
	scheds := spec.Schedulers.Count
	if d.addresses, err = findAddresses(scheds); err != nil {
		return nil, err
	}
	if err = d.addresses.checkCapacity(spec.Fleet.Workers, 1); err != nil {
		return nil, err
	}
	for i := range scheds {
		d.schedulers = append(d.schedulers, newScheduler(d, i))
	}
	for i := range spec.Fleet.Workers {
		n, err := newWorker(d, i)
		if n != nil {
			d.workers = append(d.workers, n)
		}
		if err != nil {
			return nil, err
		}
	}
	return d, d.openDiscovery(0)
}

// close releases all resources of the driver after its loop has ended: it kills the processes and waits for them, and
// closes all sockets.
func (d *driver) close() {
	close(d.done)
	for _, s := range d.schedulers {
		s.close()
	}
	d.starter.close()
	for _, c := range d.clients {
		c.reset()
	}
	for _, k := range d.workerConns {
		k.reset()
	}
	for _, o := range d.misbehaving {
		o.close()
	}
	for w := range d.watchConns {
		w.reset()
	}
	for _, n := range d.workers {
		n.close()
	}
	for _, list := range d.discoveries {
		for _, l := range list {
			l.close()
		}
	}
	d.addresses.close()
	if d.poller != nil {
		d.poller.close()
	}
}

// fail ends the run with an error. Only the first error is kept.
func (d *driver) fail(err error) {
	if d.failure == nil && err != nil {
		d.failure = err
	}
}

// failIfLocal ends the run if err is a localError, and reports whether it is.
func (d *driver) failIfLocal(err error) bool {
	var f localError
	if errors.As(err, &f) {
		d.fail(err)
		return true
	}
	return false
}

// addOutput queues an action of a scheduler for the environment's next step.
func (d *driver) addOutput(sched int, message simapi.OutputMessage) {
	d.outputs = append(d.outputs, simapi.Output{Scheduler: sched, Message: message})
}

// record queues a trace event of the driver's own. It is reported at the end of the iteration, as the environment may
// still report events with earlier times in it.
func (d *driver) record(s trace.Event) { d.events = append(d.events, s) }

// post has the loop call a function. Other goroutines use it. It blocks while the mailbox is full, and drops the function
// once the loop has ended.
func (d *driver) post(do func()) {
	select {
	case d.mailbox <- do:
		d.wake()
	case <-d.done:
	}
}
