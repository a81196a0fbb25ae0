package process

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// run runs the event loop until the environment has finished, its time has reached end, the context ends or something
// fails. With Options.StayOpen, only the last two end it.
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

// avoidSchedulerCores excludes the schedulers' cores from the affinity of the loop's thread, if that leaves any, until
// undo is called.
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

// runPosted calls the functions in the mailbox, and then those of the timers that have expired.
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

// stepEnvironment has the environment process its events that are due, each with the time at which it was due, as in
// simulated time, and then the outputs that the sockets have delivered. So the testbed's lateness delays the effect of an
// event, and never changes how the environment evaluates it.
func (d *driver) stepEnvironment(now time.Duration) {
	d.inputs = d.inputs[:0]
	worst := time.Duration(0)
	for at, ok := d.environment.Next(); ok && at <= now; at, ok = d.environment.Next() {
		d.lateness.add(now - at)
		worst = max(worst, now-at)
		d.inputs = d.environment.Step(at, nil, d.inputs)
	}
	if worst >= minRecordedLateness {
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

// carryOut applies an input to a scheduler: on a socket, at a listener, or to its process.
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
		d.fail(fmt.Errorf("unknown type of input from the environment: %T", message))
	}
}

// controlProcess starts, replaces, reconfigures, signals or kills a scheduler's process.
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
		target.markStopped()
		target.enqueue(target.kill)
	case simapi.Terminate:
		target.signal(syscall.SIGTERM)
	case simapi.Freeze:
		target.signal(syscall.SIGSTOP)
	case simapi.Resume:
		target.signal(syscall.SIGCONT)
	}
}

// actOnWorkerConn applies a worker's action to a connection, if that is still open.
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
