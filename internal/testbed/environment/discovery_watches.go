package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/simapi"
)

// This file holds the calls and watches by which schedulers follow the list.

// watchCall is a call for the watch, and then the watch.
type watchCall struct {
	view        *schedulerView
	stage       watchCallStage
	address     int // of the address that was called
	incarnation int // of the scheduler
	after       int64
	wasOpen     bool           // it was open once
	queue       []watchMessage // on the way to the scheduler, in order
}

type watchCallStage uint8

const (
	watchSending watchCallStage = iota // on its way
	watchWaiting                       // for its turn
	watchServed
	watchOpen
	watchEnded
)

// watchMessage is what discovery writes on a watch: a *listUpdate, a watchHeartbeat or a watchEnd.
type watchMessage interface{ watchMessage() }

// listUpdate is a line of changes of the list.
type listUpdate struct {
	revision int64
	reset    bool
	entries  []int
	versions []version
}

// watchHeartbeat is an empty line.
type watchHeartbeat struct{}

// watchEnd is the end of the watch, or of a call for it that failed.
type watchEnd struct{}

func (*listUpdate) watchMessage()    {}
func (watchHeartbeat) watchMessage() {}
func (watchEnd) watchMessage()       {}

// watchRequested takes a scheduler's call for the watch. An earlier one of the same scheduler's is left by that.
func (d *discovery) watchRequested(number int, revision int64) {
	scheduler, v := d.env.schedulers[number], d.views[number]
	if !scheduler.alive {
		return
	}
	watchCall := &watchCall{view: v, address: scheduler.discovery, incarnation: scheduler.incarnation, after: revision}
	if v.call == nil {
		v.askingSince = d.env.now
	}
	d.abandonWatch(v)
	v.call = watchCall
	v.touch()
	me, it := endpoint{schedulerEndpoint, scheduler.number}, endpoint{discoveryEndpoint, 0}
	way, back, ok := d.env.network.connectDelays(me, it)
	if !ok {
		return // it never comes up, and the scheduler has a timeout of its own
	}
	d.env.after(way+back, func() {
		if watchCall.stage == watchSending {
			d.env.deliver(simapi.Input{Scheduler: scheduler.number, Message: simapi.WatchConnected{}})
		}
		d.env.network.send(me, it, func() { d.callReceived(watchCall) })
	})
}

// abandonWatch forgets a scheduler's watch or call, as nobody is at its other end.
func (d *discovery) abandonWatch(v *schedulerView) {
	c := v.call
	if v.call = nil; c != nil {
		d.endCall(c)
	}
}

// endCall is the end of a call or a watch. If it was handled just now, it is the next one's turn.
func (d *discovery) endCall(c *watchCall) {
	was := c.stage
	c.stage = watchEnded
	switch was {
	case watchWaiting:
		d.calls = slices.DeleteFunc(d.calls, func(x *watchCall) bool { return x == c })
	case watchServed:
		d.serving = nil
		d.serveNext()
	}
}

func (d *discovery) callReceived(watchCall *watchCall) {
	if watchCall.stage != watchSending {
		return
	}
	if d.outages > 0 || watchCall.address != d.address {
		d.endWatch(watchCall)
		return
	}
	watchCall.stage = watchWaiting
	d.calls = append(d.calls, watchCall)
	d.env.after(d.env.Spec.Discovery.Timeout.Std(), func() {
		if watchCall.stage == watchWaiting {
			d.endWatch(watchCall)
		}
	})
	d.serveNext()
}

// serveNext handles the next call.
func (d *discovery) serveNext() {
	if d.serving != nil || len(d.calls) == 0 {
		return
	}
	watchCall := d.calls[0]
	d.calls = slices.Delete(d.calls, 0, 1)
	watchCall.stage, d.serving = watchServed, watchCall
	done := func() {
		if d.serving == watchCall {
			d.serving = nil
			d.openWatch(watchCall)
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
	lines := max(1, len(d.changesSince(watchCall.after).entries))
	d.env.after(time.Duration(float64(lines)/capacity*float64(time.Second)), done)
}

// openWatch answers a call: what changed since the version that it names, or all.
func (d *discovery) openWatch(c *watchCall) {
	c.stage, c.wasOpen = watchOpen, true
	d.send(c, d.changesSince(c.after))
	c.view.touch()
	d.env.after(heartbeatInterval, func() { d.sendHeartbeat(c) })
}

// sendHeartbeat writes an empty line every so often.
func (d *discovery) sendHeartbeat(c *watchCall) {
	if s := d.env.schedulers[c.view.scheduler]; c.stage != watchOpen || !s.alive || s.incarnation != c.incarnation {
		return
	}
	d.send(c, watchHeartbeat{})
	d.env.after(heartbeatInterval, func() { d.sendHeartbeat(c) })
}

// changesSince is what has changed after a generation; the whole list, if it can't tell.
func (d *discovery) changesSince(after int64) *listUpdate {
	m := &listUpdate{revision: d.revision, reset: after <= 0 || after > d.revision || after < d.revision-historyLength}
	for i := range d.entries {
		e := &d.entries[i]
		if m.reset && e.listed.state != endpointAbsent || !m.reset && e.revision > after {
			m.entries, m.versions = append(m.entries, i), append(m.versions, e.listed)
		}
	}
	return m
}

// send writes something on a watch. All arrives in order, however long the network takes for each.
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
	c.view.touch()
}
