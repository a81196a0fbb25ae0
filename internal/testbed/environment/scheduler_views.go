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
		v.knownStarts[i] = n.process.incarnation // long ago
	}
	return v
}

// endpointList is the list as the scheduler last had it.
func (s *schedulerView) endpointList() requests.EndpointList {
	g := requests.EndpointList{Revision: s.revision, Reset: true, Endpoints: make([]requests.Endpoint, 0, len(s.discovery.entryOf))}
	for i, x := range s.versions {
		if x.state != endpointAbsent {
			g.Endpoints = append(g.Endpoints, s.discovery.entries[i].endpointAt(x))
		}
	}
	return g
}

// processStarted is told that a process of the scheduler starts with the list as it last had it: it knows that, and no more.
func (s *schedulerView) processStarted() {
	s.discovery.abandonWatch(s)
	s.lastCallFailed, s.pending = false, s.pending[:0]
	for i := range s.knownStarts {
		s.knownStarts[i], s.drainedStarts[i] = 1, 0 // first starts are of long ago
	}
	for i := range s.discovery.entries {
		e := &s.discovery.entries[i]
		if i < len(s.versions) && s.versions[i].state != endpointAbsent {
			s.learn(i, s.versions[i])
		}
		if e.revision > s.revision {
			s.pending = append(s.pending, pendingChange{i, e.listed, e.revision, s.discovery.env.now})
		}
	}
	s.touch()
}

// published is told that the list has a new generation.
func (s *schedulerView) published(changed []int) {
	if !s.discovery.env.schedulers[s.scheduler].alive {
		return
	}
	m := &listUpdate{revision: s.discovery.revision, entries: changed}
	for _, i := range changed {
		as := s.discovery.entries[i].listed
		m.versions = append(m.versions, as)
		s.pending = append(s.pending, pendingChange{i, as, s.discovery.revision, s.discovery.env.now})
	}
	if c := s.call; c != nil && c.stage == watchOpen {
		s.discovery.send(c, m)
	}
	s.planCheck()
}

// messageArrived is told of what has come over a watch to the scheduler's socket.
func (s *schedulerView) messageArrived(call *watchCall, message watchMessage) {
	scheduler := s.discovery.env.schedulers[s.scheduler]
	if s.call != call || !scheduler.alive || scheduler.incarnation != call.incarnation {
		return
	}
	var input simapi.InputMessage
	switch message := message.(type) {
	case *listUpdate:
		input = simapi.ListReceived{List: s.updateOf(message)}
		s.lastCallFailed = false
		s.applyList(message)
	case watchHeartbeat:
		input = simapi.WatchHeartbeat{}
	case watchEnd:
		input = simapi.WatchEnded{}
		s.lastCallFailed, s.call = !call.wasOpen, nil
		s.touch()
	}
	s.discovery.env.deliver(simapi.Input{Scheduler: s.scheduler, Message: input})
}

// updateOf is a line of changes as it stands on the wire.
func (s *schedulerView) updateOf(update *listUpdate) *requests.EndpointList {
	list := &requests.EndpointList{Revision: update.revision, Reset: update.reset, Endpoints: make([]requests.Endpoint, len(update.entries))}
	for i, e := range update.entries {
		list.Endpoints[i] = s.discovery.entries[e].endpointAt(update.versions[i])
	}
	return list
}

// applyList records what a list says.
func (s *schedulerView) applyList(update *listUpdate) {
	for len(s.versions) < len(s.discovery.entries) {
		s.versions = append(s.versions, version{})
	}
	if update.reset {
		next := 0
		for i, previous := range s.versions {
			if next < len(update.entries) && update.entries[next] == i {
				next++
				continue
			}
			// A start may have counted as told and never have arrived.
			closed := version{endpointAbsent, previous.incarnation, previous.startedMs}
			if n := s.discovery.entries[i].worker; s.discovery.entryOf[n] == i {
				closed.incarnation = max(closed.incarnation, s.knownStarts[n])
			} else if previous.state == endpointAbsent {
				continue
			}
			s.versions[i] = closed
			s.learn(i, closed)
		}
	}
	for i, e := range update.entries {
		s.versions[e] = update.versions[i]
		s.learn(e, update.versions[i])
	}
	s.revision = update.revision
	remaining := s.pending[:0]
	for _, c := range s.pending {
		if c.revision > update.revision {
			remaining = append(remaining, c)
		}
	}
	s.pending = remaining
}

// learn has a version of an entry count as told. What was said of a process before the last one told says nothing.
func (s *schedulerView) learn(entry int, state version) {
	n := s.discovery.entries[entry].worker
	if state.incarnation < s.knownStarts[n] {
		return
	}
	up := state.state != endpointAbsent && state.incarnation > s.knownStarts[n]
	if up || state.state == endpointUp && s.drainedStarts[n] == state.incarnation {
		s.knownStarts[n], s.drainedStarts[n] = state.incarnation, 0
		s.record(trace.Event{Kind: trace.StartNotified, Scheduler: s.scheduler, Worker: n, Incarnation: state.incarnation})
	}
	if state.state != endpointUp && s.drainedStarts[n] != state.incarnation {
		s.drainedStarts[n] = state.incarnation
		s.record(trace.Event{Kind: trace.DrainNotified, Scheduler: s.scheduler, Worker: n, Incarnation: state.incarnation})
	}
}

// record reports a trace event, if it is a scheduler's.
func (s *schedulerView) record(event trace.Event) {
	if !s.discovery.env.schedulers[s.scheduler].planner {
		s.discovery.env.record(event)
	}
}

// touch records that scheduler and discovery had to do with each other just now.
func (s *schedulerView) touch() {
	s.lastContact = s.discovery.env.now
	s.planCheck()
}

// dueAt is when a change counts as told, as things are.
func (s *schedulerView) dueAt(c *pendingChange) time.Duration {
	if w := s.call; w != nil && w.stage != watchEnded {
		return max(c.listedAt, s.askingSince) + notifiedWithin
	}
	wait := s.discovery.env.Spec.Rules.PollInterval.Std()
	if s.lastCallFailed {
		wait *= failedCallFactor
	}
	return max(c.listedAt, s.lastContact) + wait
}

// planCheck sees to it that what is pending is looked at when the first of it is due.
func (s *schedulerView) planCheck() {
	first := time.Duration(-1)
	for i := range s.pending {
		if at := s.dueAt(&s.pending[i]); first < 0 || at < first {
			first = at
		}
	}
	if first < 0 || s.nextCheck > 0 && s.nextCheck <= first {
		return
	}
	s.nextCheck = first
	s.discovery.env.schedule(first, func() {
		if s.nextCheck == first {
			s.nextCheck = 0
			s.learnOverdue(func(c *pendingChange) bool { return s.dueAt(c) <= s.discovery.env.now })
			s.planCheck()
		}
	})
}

// learnOverdue has what is pending count as told if late says so.
func (s *schedulerView) learnOverdue(late func(c *pendingChange) bool) {
	if !s.discovery.env.schedulers[s.scheduler].alive {
		s.pending = s.pending[:0]
		return
	}
	remaining := s.pending[:0]
	for i := range s.pending {
		if c := s.pending[i]; late(&c) {
			s.learn(c.entry, c.version)
		} else {
			remaining = append(remaining, c)
		}
	}
	s.pending = remaining
}

// reloaded is told that the scheduler was sent a SIGHUP.
func (s *schedulerView) reloaded() {
	at, sprout := s.discovery.env.now, s.discovery.env.schedulers[s.scheduler].incarnation
	s.discovery.env.after(notifiedAfterReload, func() {
		if s.discovery.env.schedulers[s.scheduler].incarnation == sprout {
			s.learnOverdue(func(c *pendingChange) bool { return c.listedAt <= at })
		}
	})
}

// knowsStart tells whether a scheduler was told of a worker's last start.
func (d *discovery) knowsStart(sched int, n *worker) bool {
	return d.views[sched].knownStarts[n.number] >= n.process.incarnation
}
