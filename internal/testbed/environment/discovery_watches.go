package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/simapi"
)

// This file holds the calls and watches by which schedulers follow the list.

// watchCall is a call that opens a watch, and the watch once it is open.
type watchCall struct {
	view          *schedulerView
	stage         watchCallStage
	address       int // index of the address that was called
	incarnation   int // of the scheduler's process
	afterRevision int64
	wasOpen       bool           // the watch was opened, so that the call has not failed
	queue         []watchMessage // messages in transit to the scheduler, in order
}

type watchCallStage uint8

const (
	watchSending watchCallStage = iota // in transit
	watchWaiting                       // to be served
	watchServed                        // being served
	watchOpen
	watchEnded
)

// watchMessage is what discovery writes on a watch: a *listUpdate, a watchHeartbeat or a watchEnd.
type watchMessage interface{ watchMessage() }

// listUpdate is a message with changes of the list, or with the whole list if reset is set.
type listUpdate struct {
	revision int64
	reset    bool
	entries  []int
	versions []version
}

// watchHeartbeat is an empty line, which shows that the watch is alive.
type watchHeartbeat struct{}

// watchEnd is the end of the watch, or the failure of the call.
type watchEnd struct{}

func (*listUpdate) watchMessage()    {}
func (watchHeartbeat) watchMessage() {}
func (watchEnd) watchMessage()       {}

// watchRequested handles a scheduler's call for a watch. It replaces an earlier call or watch of the same scheduler.
func (d *discovery) watchRequested(number int, revision int64) {
	scheduler, view := d.env.schedulers[number], d.views[number]
	if !scheduler.alive {
		return
	}
	call := &watchCall{view: view, address: scheduler.discovery, incarnation: scheduler.incarnation, afterRevision: revision}
	if view.call == nil {
		view.callingSince = d.env.now
	}
	d.abandonWatch(view)
	view.call = call
	view.recordContact()
	from, to := endpoint{schedulerEndpoint, scheduler.number}, endpoint{discoveryEndpoint, 0}
	delay, returnDelay, ok := d.env.network.connectDelays(from, to)
	if !ok {
		return // the connection is never established, and the scheduler has a timeout
	}
	d.env.after(delay+returnDelay, func() {
		if call.stage == watchSending {
			d.env.deliver(simapi.Input{Scheduler: scheduler.number, Message: simapi.WatchConnected{}})
		}
		d.env.network.send(from, to, func() { d.callReceived(call) })
	})
}

// abandonWatch drops the watch or call of a scheduler that has given it up or has ended.
func (d *discovery) abandonWatch(v *schedulerView) {
	c := v.call
	if v.call = nil; c != nil {
		d.endCall(c)
	}
}

// endCall ends a call or a watch. If it was being served, the next call is.
func (d *discovery) endCall(c *watchCall) {
	previous := c.stage
	c.stage = watchEnded
	switch previous {
	case watchWaiting:
		d.calls = slices.DeleteFunc(d.calls, func(x *watchCall) bool { return x == c })
	case watchServed:
		d.serving = nil
		d.serveNext()
	}
}

func (d *discovery) callReceived(call *watchCall) {
	if call.stage != watchSending {
		return
	}
	if d.outages > 0 || call.address != d.address {
		d.endWatch(call)
		return
	}
	call.stage = watchWaiting
	d.calls = append(d.calls, call)
	d.env.after(d.env.Spec.Discovery.Timeout.Std(), func() {
		if call.stage == watchWaiting {
			d.endWatch(call)
		}
	})
	d.serveNext()
}

// serveNext serves the next waiting call, unless one is being served.
func (d *discovery) serveNext() {
	if d.serving != nil || len(d.calls) == 0 {
		return
	}
	call := d.calls[0]
	d.calls = slices.Delete(d.calls, 0, 1)
	call.stage, d.serving = watchServed, call
	done := func() {
		if d.serving == call {
			d.serving = nil
			d.openWatch(call)
			d.serveNext()
		}
	}
	capacity := d.env.Spec.Discovery.Capacity
	for _, f := range d.slowFactors {
		capacity /= f
	}
	if capacity <= 0 {
		done()
		return
	}
	lines := max(1, len(d.changesSince(call.afterRevision).entries))
	d.env.after(time.Duration(float64(lines)/capacity*float64(time.Second)), done)
}

// openWatch answers a call with the changes since the revision that it names, or with the whole list.
func (d *discovery) openWatch(c *watchCall) {
	c.stage, c.wasOpen = watchOpen, true
	d.send(c, d.changesSince(c.afterRevision))
	c.view.recordContact()
	d.env.after(heartbeatInterval, func() { d.sendHeartbeat(c) })
}

// sendHeartbeat sends a heartbeat, and plans the next after heartbeatInterval.
func (d *discovery) sendHeartbeat(c *watchCall) {
	if s := d.env.schedulers[c.view.scheduler]; c.stage != watchOpen || !s.alive || s.incarnation != c.incarnation {
		return
	}
	d.send(c, watchHeartbeat{})
	d.env.after(heartbeatInterval, func() { d.sendHeartbeat(c) })
}

// changesSince returns the changes since a revision, or the whole list if the revision is 0, unknown or too old.
func (d *discovery) changesSince(after int64) *listUpdate {
	update := &listUpdate{revision: d.revision, reset: after <= 0 || after > d.revision || after < d.revision-historyLength}
	for i := range d.entries {
		e := &d.entries[i]
		if update.reset && e.listed.state != endpointAbsent || !update.reset && e.revision > after {
			update.entries, update.versions = append(update.entries, i), append(update.versions, e.listed)
		}
	}
	return update
}

// send sends a message on a watch. Messages arrive in order, whatever the network's delay of each.
func (d *discovery) send(c *watchCall, m watchMessage) {
	c.queue = append(c.queue, m)
	d.env.network.send(endpoint{discoveryEndpoint, 0}, endpoint{schedulerEndpoint, c.view.scheduler}, func() {
		first := c.queue[0]
		c.queue = c.queue[1:]
		c.view.messageArrived(c, first)
	})
}

// endWatch ends a watch, or fails a call, from discovery's side.
func (d *discovery) endWatch(c *watchCall) {
	if c.stage == watchEnded {
		return
	}
	d.endCall(c)
	d.send(c, watchEnd{})
	c.view.recordContact()
}
