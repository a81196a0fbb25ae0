package environment

import (
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// schedulerView is what a scheduler has been notified of by discovery, and what counts as notified.
//
// A change counts as notified once it has reached the scheduler's socket. Where it has not, it counts 6 s after it was
// listed and a watch, or a call for one, was there to send it on, whatever the network does to that; without one, once
// the scheduler has neither watched nor polled for as long as the rules allow, or four times as long after a call that
// failed; and 4 s after a SIGHUP that came later than the change. Each is recorded once (trace.DrainNotified,
// trace.StartNotified), and again for a process that starts with a list that says so.
type schedulerView struct {
	discovery      *discovery
	scheduler      int
	versions       []version // by entry: what the scheduler's list says
	revision       int64
	knownStarts    []int // by worker: the last start that it was told of
	drainedStarts  []int // by worker: the start of which it was told that it drains or is gone; 0: none
	pending        []pendingChange
	nextCheck      time.Duration // when what is pending is looked at next; 0: never
	call           *watchCall
	askingSince    time.Duration // when it began to ask or watch, without a break but for calls that it gave up
	lastContact    time.Duration // when it last asked, or had a watch
	lastCallFailed bool          // its last call did
}

// pendingChange is something listed that has not reached the scheduler.
type pendingChange struct {
	entry    int
	version  version
	revision int64
	listedAt time.Duration
}

const (
	notifiedWithin      = 6 * time.Second
	notifiedAfterReload = 4 * time.Second
	failedCallFactor    = 4 // times the rules' span, after a call that failed
)

func newSchedulerView(d *discovery, sched int) *schedulerView {
	v := &schedulerView{discovery: d, scheduler: sched, knownStarts: make([]int, len(d.env.workers)), drainedStarts: make([]int, len(d.env.workers))}
	for i, n := range d.env.workers {
		v.knownStarts[i] = n.incarnation // long ago
	}
	return v
}

// endpointList is the list as the scheduler last had it.
func (v *schedulerView) endpointList() requests.EndpointList {
	g := requests.EndpointList{Revision: v.revision, Reset: true, Endpoints: make([]requests.Endpoint, 0, len(v.discovery.entryOf))}
	for i, x := range v.versions {
		if x.state != endpointAbsent {
			g.Endpoints = append(g.Endpoints, v.discovery.entries[i].endpointAt(x))
		}
	}
	return g
}

// processStarted is told that a process of the scheduler starts with the list as it last had it: it knows that, and no more.
func (v *schedulerView) processStarted() {
	v.discovery.abandonWatch(v)
	v.lastCallFailed, v.pending = false, v.pending[:0]
	for i := range v.knownStarts {
		v.knownStarts[i], v.drainedStarts[i] = 1, 0 // first starts are of long ago
	}
	for i := range v.discovery.entries {
		e := &v.discovery.entries[i]
		if i < len(v.versions) && v.versions[i].state != endpointAbsent {
			v.learn(i, v.versions[i])
		}
		if e.revision > v.revision {
			v.pending = append(v.pending, pendingChange{i, e.listed, e.revision, v.discovery.env.now})
		}
	}
	v.touch()
}

// published is told that the list has a new generation.
func (v *schedulerView) published(changed []int) {
	if !v.discovery.env.schedulers[v.scheduler].alive {
		return
	}
	m := &listUpdate{revision: v.discovery.revision, entries: changed}
	for _, i := range changed {
		as := v.discovery.entries[i].listed
		m.versions = append(m.versions, as)
		v.pending = append(v.pending, pendingChange{i, as, v.discovery.revision, v.discovery.env.now})
	}
	if c := v.call; c != nil && c.stage == watchOpen {
		v.discovery.send(c, m)
	}
	v.planCheck()
}

// messageArrived is told of what has come over a watch to the scheduler's socket.
func (v *schedulerView) messageArrived(call *watchCall, message watchMessage) {
	s := v.discovery.env.schedulers[v.scheduler]
	if v.call != call || !s.alive || s.incarnation != call.incarnation {
		return
	}
	var input simapi.InputMessage
	switch message := message.(type) {
	case *listUpdate:
		input = simapi.ListReceived{List: v.updateOf(message)}
		v.lastCallFailed = false
		v.applyList(message)
	case watchHeartbeat:
		input = simapi.WatchHeartbeat{}
	case watchEnd:
		input = simapi.WatchEnded{}
		v.lastCallFailed, v.call = !call.wasOpen, nil
		v.touch()
	}
	v.discovery.env.deliver(simapi.Input{Scheduler: v.scheduler, Message: input})
}

// updateOf is a line of changes as it stands on the wire.
func (v *schedulerView) updateOf(update *listUpdate) *requests.EndpointList {
	list := &requests.EndpointList{Revision: update.revision, Reset: update.reset, Endpoints: make([]requests.Endpoint, len(update.entries))}
	for i, e := range update.entries {
		list.Endpoints[i] = v.discovery.entries[e].endpointAt(update.versions[i])
	}
	return list
}

// applyList records what a list says.
func (v *schedulerView) applyList(update *listUpdate) {
	for len(v.versions) < len(v.discovery.entries) {
		v.versions = append(v.versions, version{})
	}
	if update.reset {
		next := 0
		for i, previous := range v.versions {
			if next < len(update.entries) && update.entries[next] == i {
				next++
				continue
			}
			// A start may have counted as told and never have arrived.
			closed := version{endpointAbsent, previous.incarnation, previous.startedMs}
			if n := v.discovery.entries[i].worker; v.discovery.entryOf[n] == i {
				closed.incarnation = max(closed.incarnation, v.knownStarts[n])
			} else if previous.state == endpointAbsent {
				continue
			}
			v.versions[i] = closed
			v.learn(i, closed)
		}
	}
	for i, e := range update.entries {
		v.versions[e] = update.versions[i]
		v.learn(e, update.versions[i])
	}
	v.revision = update.revision
	remaining := v.pending[:0]
	for _, c := range v.pending {
		if c.revision > update.revision {
			remaining = append(remaining, c)
		}
	}
	v.pending = remaining
}

// learn has a version of an entry count as told. What was said of a process before the last one told says nothing.
func (v *schedulerView) learn(entry int, state version) {
	n := v.discovery.entries[entry].worker
	if state.incarnation < v.knownStarts[n] {
		return
	}
	up := state.state != endpointAbsent && state.incarnation > v.knownStarts[n]
	if up || state.state == endpointUp && v.drainedStarts[n] == state.incarnation {
		v.knownStarts[n], v.drainedStarts[n] = state.incarnation, 0
		v.record(trace.Event{Kind: trace.StartNotified, Scheduler: v.scheduler, Worker: n, Incarnation: state.incarnation})
	}
	if state.state != endpointUp && v.drainedStarts[n] != state.incarnation {
		v.drainedStarts[n] = state.incarnation
		v.record(trace.Event{Kind: trace.DrainNotified, Scheduler: v.scheduler, Worker: n, Incarnation: state.incarnation})
	}
}

// record reports a trace event, if it is a scheduler's.
func (v *schedulerView) record(s trace.Event) {
	if !v.discovery.env.schedulers[v.scheduler].planner {
		v.discovery.env.record(s)
	}
}

// touch records that scheduler and discovery had to do with each other just now.
func (v *schedulerView) touch() {
	v.lastContact = v.discovery.env.now
	v.planCheck()
}

// dueAt is when a change counts as told, as things are.
func (v *schedulerView) dueAt(c *pendingChange) time.Duration {
	if w := v.call; w != nil && w.stage != watchEnded {
		return max(c.listedAt, v.askingSince) + notifiedWithin
	}
	wait := v.discovery.env.Spec.Rules.PollInterval.Std()
	if v.lastCallFailed {
		wait *= failedCallFactor
	}
	return max(c.listedAt, v.lastContact) + wait
}

// planCheck sees to it that what is pending is looked at when the first of it is due.
func (v *schedulerView) planCheck() {
	first := time.Duration(-1)
	for i := range v.pending {
		if at := v.dueAt(&v.pending[i]); first < 0 || at < first {
			first = at
		}
	}
	if first < 0 || v.nextCheck > 0 && v.nextCheck <= first {
		return
	}
	v.nextCheck = first
	v.discovery.env.schedule(first, func() {
		if v.nextCheck == first {
			v.nextCheck = 0
			v.learnOverdue(func(c *pendingChange) bool { return v.dueAt(c) <= v.discovery.env.now })
			v.planCheck()
		}
	})
}

// learnOverdue has what is pending count as told if late says so.
func (v *schedulerView) learnOverdue(late func(c *pendingChange) bool) {
	if !v.discovery.env.schedulers[v.scheduler].alive {
		v.pending = v.pending[:0]
		return
	}
	remaining := v.pending[:0]
	for i := range v.pending {
		if c := v.pending[i]; late(&c) {
			v.learn(c.entry, c.version)
		} else {
			remaining = append(remaining, c)
		}
	}
	v.pending = remaining
}

// reloaded is told that the scheduler was sent a SIGHUP.
func (v *schedulerView) reloaded() {
	at, sprout := v.discovery.env.now, v.discovery.env.schedulers[v.scheduler].incarnation
	v.discovery.env.after(notifiedAfterReload, func() {
		if v.discovery.env.schedulers[v.scheduler].incarnation == sprout {
			v.learnOverdue(func(c *pendingChange) bool { return c.listedAt <= at })
		}
	})
}

// knowsStart tells whether a scheduler was told of a worker's last start.
func (d *discovery) knowsStart(sched int, n *worker) bool {
	return d.views[sched].knownStarts[n.number] >= n.incarnation
}
