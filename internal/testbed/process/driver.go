package process

import (
	"errors"
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// environmentModel is the environment, as far as the driver deals with it.
type environmentModel interface {
	Next() (at time.Duration, ok bool)
	Step(now time.Duration, outs []simapi.Output, dst []simapi.Input) []simapi.Input
	Finished() bool
}

// driver carries the environment out on sockets. All that it has is used by one goroutine, in iterations: what the sockets
// brought becomes outputs, the environment steps, and its inputs are carried out. Other goroutines start and await
// processes and read their figures. They reach the loop through its mailbox, and are reached through each scheduler's
// commands.
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
	events       []trace.Event // of the driver's own, not told yet
	timers       deadline.Queue[*timer]
	mailbox      chan func() // from other goroutines, to be run in the loop
	done         chan struct{}
	lateness     latenessMeter
	failure      error // what ends the run
	finished     bool  // the environment is

	callbackTimeout time.Duration // with calls of workers

	onStart   func(time.Time) // is told of the instant from which the environment's time counts
	holding   bool            // the environment stands still
	heldSince time.Duration   // from then on
	held      time.Duration   // how long it did before

	schedulers      []*scheduler
	starter         *starter
	workers         []*worker
	discoveries     [][]*listener  // by index and scheduler; nil: nobody needs it yet
	watches         map[int]*watch // the one that counts, by scheduler
	watchCallers    map[*watch]struct{}
	clients         map[simapi.Conn]*client
	workerConns     map[simapi.Conn]*workerConn
	misbehaving     map[simapi.Conn]*misbehavingClient
	requestForms    formTable
	writeBuffer     []byte // what is written goes through here
	alteredRequests []string
}

// maxPosted is how many may wait. They come by process and by look at a process, a few a second.
const maxPosted = 1024

func newDriver(spec *scenario.Scenario, opt Options) (d *driver, err error) {
	if opt.Observer == nil {
		opt.Observer = func(*trace.Event) {}
	}
	d = &driver{
		spec: spec, options: opt, observer: opt.Observer, reader: newReader(), mailbox: make(chan func(), maxPosted),
		done: make(chan struct{}), lateness: newLatenessMeter(), starter: &starter{commands: make(chan func())},
		watches: map[int]*watch{}, watchCallers: map[*watch]struct{}{}, clients: map[simapi.Conn]*client{},
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
	if err = d.addresses.hasAddresses(spec.Fleet.Workers, 1); err != nil {
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

// close gives up all that the driver has, after its loop has ended. Processes are killed and awaited.
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
	for w := range d.watchCallers {
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

// fail ends the run: the first reason counts.
func (d *driver) fail(err error) {
	if d.failure == nil && err != nil {
		d.failure = err
	}
}

// failIfLocal passes on a fault of this machine's, and tells whether it was one.
func (d *driver) failIfLocal(err error) bool {
	var f localError
	if errors.As(err, &f) {
		d.fail(err)
		return true
	}
	return false
}

// addOutput has the environment learn of something that a scheduler did.
func (d *driver) addOutput(sched int, message simapi.OutputMessage) {
	d.outputs = append(d.outputs, simapi.Output{Scheduler: sched, Message: message})
}

// record reports a trace event of the driver's own, at the end of the turn: those of the environment may be of instants before now.
func (d *driver) record(s trace.Event) { d.events = append(d.events, s) }

// post has the loop run something soon; for other goroutines. It waits while too much waits, and gives up once the
// loop has ended.
func (d *driver) post(do func()) {
	select {
	case d.mailbox <- do:
		d.wake()
	case <-d.done:
	}
}
