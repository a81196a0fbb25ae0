package process

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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

// ---- Time ----

// timer calls do once.
type timer struct {
	deadline.Item
	run func()
}

func (d *driver) after(span time.Duration, do func()) *timer {
	t := &timer{run: do}
	t.At = d.now + span
	d.timers.Add(t)
	return t
}

func (d *driver) stop(t *timer) {
	if t != nil {
		d.timers.Remove(t)
	}
}

// environmentTime is the environment's time at an instant of the loop's. The environment stands still while its schedulers start for the
// first time: clients are to come once there is somebody to come to, and a process takes a while to be there.
func (d *driver) environmentTime(at time.Duration) time.Duration {
	if d.holding {
		at = min(at, d.heldSince)
	}
	return max(0, at-d.held)
}

// updateHold has the environment stand still, or go on, as things are now.
func (d *driver) updateHold() {
	wait := false
	for _, s := range d.schedulers {
		wait = wait || s.incarnation == 1 && s.alive && !s.everReady
	}
	if wait && d.holding && d.held+d.now-d.heldSince > maxHold {
		for _, s := range d.schedulers {
			s.everReady = true // it has had its time
		}
		wait = false
	}
	switch {
	case wait && !d.holding:
		d.holding, d.heldSince = true, d.now
	case !wait && d.holding:
		d.holding = false
		d.held += d.now - d.heldSince
		d.onStart(d.startedAt.Add(d.held))
	}
}

const maxHold = 30 * time.Second

// nextAt is when the loop wants to run at the latest, an end in the environment's time included.
func (d *driver) nextAt(end time.Duration) time.Duration {
	next := d.now + time.Second
	if !d.holding {
		if len(d.outputs) > 0 {
			return 0
		}
		if environmentNext, ok := d.environment.Next(); ok {
			end = min(end, environmentNext)
		}
		next = min(next, end+d.held)
	}
	if d.timers.Len() > 0 {
		next = min(next, d.timers.First().At)
	}
	return next
}

// ---- The loop ----

// run runs until the environment is over, the end has come, the context ends or something fails. The first two end no
// run that is to stay open.
func (d *driver) run(ctx context.Context, end time.Duration) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer d.avoidSchedulerCores()()
	defer context.AfterFunc(ctx, d.wake)()
	d.onStart(d.startedAt)
	for d.failure == nil && ctx.Err() == nil && (d.options.StayOpen || !d.finished && d.environmentTime(d.now) < end) {
		until := end
		if d.options.StayOpen {
			until = time.Duration(math.MaxInt64) - d.held
		}
		if err := d.wait(d.nextAt(until), true); err != nil {
			return err
		}
		d.runPosted()
		d.now = d.clock()
		if d.updateHold(); !d.holding {
			d.stepEnvironment(d.environmentTime(d.now))
		}
	}
	if d.failure == nil && !d.options.StayOpen {
		return ctx.Err()
	}
	return d.failure
}

// avoidSchedulerCores keeps the loop's thread off the schedulers' cores, where there are others, until it is undone.
func (d *driver) avoidSchedulerCores() (undo func()) {
	var all, remainder unix.CPUSet
	if len(d.options.Cores) == 0 || unix.SchedGetaffinity(0, &all) != nil {
		return func() {}
	}
	remainder = all
	for _, core := range d.options.Cores {
		remainder.Clear(core)
	}
	if remainder.Count() == 0 || unix.SchedSetaffinity(0, &remainder) != nil {
		return func() {}
	}
	return func() { _ = unix.SchedSetaffinity(0, &all) }
}

// runPosted does what others want done in the loop, and what is due in it.
func (d *driver) runPosted() {
	for more := true; more; {
		select {
		case do := <-d.mailbox:
			do()
		default:
			more = false
		}
	}
	for d.timers.Len() > 0 && d.timers.First().At <= d.now {
		t := d.timers.First()
		d.timers.Remove(t)
		t.run()
	}
}

// stepEnvironment is the environment's: what fell due since its last one, each at its own instant as in simulated time, and then what the
// sockets have brought. So the testbed's lateness delays what it does, and never what the environment makes of it.
func (d *driver) stepEnvironment(now time.Duration) {
	d.inputs = d.inputs[:0]
	worst := time.Duration(0)
	for at, ok := d.environment.Next(); ok && at <= now; at, ok = d.environment.Next() {
		d.lateness.add(now - at)
		worst = max(worst, now-at)
		d.inputs = d.environment.Step(at, nil, d.inputs)
	}
	if worst >= recordedLateness {
		d.record(trace.Event{Kind: trace.TestbedLate, Lateness: worst})
	}
	if len(d.outputs) > 0 {
		outs := d.outputs
		d.outputs = d.spareOutputs[:0]
		d.inputs = d.environment.Step(now, outs, d.inputs)
		clear(outs)
		d.spareOutputs = outs[:0]
	}
	for i := range d.inputs {
		d.carryOut(&d.inputs[i])
	}
	clear(d.inputs)
	for i := range d.events {
		d.events[i].At = now
		d.observer(&d.events[i])
	}
	d.events = d.events[:0]
	d.finished = d.finished || d.environment.Finished()
}

// carryOut does what reaches a scheduler.
func (d *driver) carryOut(input *simapi.Input) {
	switch message := input.Message.(type) {
	case simapi.Start, simapi.Terminate, simapi.Kill, simapi.Freeze, simapi.Resume, simapi.Replace, simapi.Reload:
		d.controlProcess(d.schedulers[input.Scheduler], message)
	case simapi.RequestReceived:
		d.sendRequest(input.Scheduler, &message)
	case simapi.ClientClosed:
		d.closeClient(message.Conn)
	case simapi.ClientMisbehaves:
		d.startMisbehaving(input.Scheduler, &message)
	case simapi.WorkerConnected, simapi.WorkerDisconnected, simapi.ResponseReceived:
		d.actOnWorkerConn(message)
	case simapi.CallbackReceived:
		d.sendCallback(input.Scheduler, &message)
	case simapi.ListReceived:
		d.sendList(input.Scheduler, message.List)
	case simapi.WatchHeartbeat:
		d.sendHeartbeat(input.Scheduler)
	case simapi.WatchEnded:
		d.endWatch(input.Scheduler)
	case simapi.WatchConnected:
	case simapi.AcceptModeChanged:
		if message.Worker < len(d.workers) {
			d.failIfLocal(d.workers[message.Worker].setMode(message.Machine, message.Mode))
		}
	case simapi.DiscoveryAcceptModeChanged:
		d.failIfLocal(d.setDiscoveryMode(message.Discovery, message.Mode))
	default:
		d.fail(fmt.Errorf("the environment gives an input %T, which the process driver does not know", message))
	}
}

// controlProcess starts, ends or signals a scheduler's process.
func (d *driver) controlProcess(target *scheduler, input simapi.InputMessage) {
	switch message := input.(type) {
	case simapi.Start:
		target.start(&message)
	case simapi.Replace:
		target.replace()
	case simapi.Reload:
		d.failIfLocal(d.openDiscovery(message.Discovery))
		target.reload(message.Discovery)
	case simapi.Kill:
		target.reportNotReady()
		target.enqueue(target.kill)
	case simapi.Terminate:
		target.signal(syscall.SIGTERM)
	case simapi.Freeze:
		target.signal(syscall.SIGSTOP)
	case simapi.Resume:
		target.signal(syscall.SIGCONT)
	}
}

// actOnWorkerConn does what a worker does on a connection, if that is still there.
func (d *driver) actOnWorkerConn(input simapi.InputMessage) {
	switch message := input.(type) {
	case simapi.WorkerConnected:
		if conn := d.workerConns[message.Conn]; conn != nil {
			conn.accepted(message.ResetAfter)
		}
	case simapi.WorkerDisconnected:
		if conn := d.workerConns[message.Conn]; conn != nil {
			conn.closeByWorker(message.Reset)
		}
	case simapi.ResponseReceived:
		if conn := d.workerConns[message.Conn]; conn != nil {
			conn.respond(&message)
		}
	}
}
