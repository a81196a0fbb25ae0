package environment

import (
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// schedulerView is what discovery has sent to a scheduler, and what the scheduler counts as notified of.
//
// A scheduler counts as notified of a change once the change has reached the scheduler's socket. If the change does not arrive,
// the scheduler counts as notified at the first of:
//   - with a watch or a call for one: notifiedWithin after the change was listed and the call began, whatever the network
//     does to the messages;
//   - without one: the rules' poll interval after the change and the last contact, or four times as long if the last call
//     failed;
//   - notifiedAfterReload after a SIGHUP that came after the change.
//
// Each notification is recorded once (trace.DrainNotified, trace.StartNotified), and again for a process that starts with a
// list that contains it.
type schedulerView struct {
	discovery      *discovery
	scheduler      int
	versions       []version // by entry: the version in the scheduler's list
	revision       int64
	knownStarts    []int // by worker: incarnation of the last start that it was notified of
	drainedStarts  []int // by worker: incarnation that it was notified is draining or gone; 0: none
	pending        []pendingChange
	nextCheck      time.Duration // when pending is checked next; 0: never
	call           *watchCall
	callingSince   time.Duration // start of the present series of calls and watches; a call that replaces another continues it
	lastContact    time.Duration // when it last called, or had a watch
	lastCallFailed bool          // its last call failed
}

// pendingChange is a change that is listed and has not reached the scheduler.
type pendingChange struct {
	entry    int
	version  version
	revision int64
	listedAt time.Duration
}

const (
	notifiedWithin      = 6 * time.Second
	notifiedAfterReload = 4 * time.Second
	failedCallFactor    = 4 // multiple of the rules' poll interval, after a call that failed
)

func newSchedulerView(d *discovery, sched int) *schedulerView {
	v := &schedulerView{discovery: d, scheduler: sched, knownStarts: make([]int, len(d.env.workers)), drainedStarts: make([]int, len(d.env.workers))}
	for i, worker := range d.env.workers {
		v.knownStarts[i] = worker.process.incarnation // the start before the run
	}
	return v
}

// endpointList returns the list as the scheduler last received it.
func (s *schedulerView) endpointList() requests.EndpointList {
	list := requests.EndpointList{Revision: s.revision, Reset: true, Endpoints: make([]requests.Endpoint, 0, len(s.discovery.entryOf))}
	for i, x := range s.versions {
		if x.state != endpointAbsent {
			list.Endpoints = append(list.Endpoints, s.discovery.entries[i].endpointAt(x))
		}
	}
	return list
}

// processStarted handles the start of a process of the scheduler, which knows the list that its predecessor last received and
// nothing else.
func (s *schedulerView) processStarted() {
	s.discovery.abandonWatch(s)
	s.lastCallFailed, s.pending = false, s.pending[:0]
	for i := range s.knownStarts {
		s.knownStarts[i], s.drainedStarts[i] = 1, 0 // first incarnations started before the run, so that they are known
	}
	for i := range s.discovery.entries {
		e := &s.discovery.entries[i]
		if i < len(s.versions) && s.versions[i].state != endpointAbsent {
			s.markNotified(i, s.versions[i])
		}
		if e.revision > s.revision {
			s.pending = append(s.pending, pendingChange{i, e.listed, e.revision, s.discovery.env.now})
		}
	}
	s.recordContact()
}

// published handles a new revision of the list.
func (s *schedulerView) published(changed []int) {
	if !s.discovery.env.schedulers[s.scheduler].alive {
		return
	}
	update := &listUpdate{revision: s.discovery.revision, entries: changed}
	for _, i := range changed {
		listed := s.discovery.entries[i].listed
		update.versions = append(update.versions, listed)
		s.pending = append(s.pending, pendingChange{i, listed, s.discovery.revision, s.discovery.env.now})
	}
	if c := s.call; c != nil && c.stage == watchOpen {
		s.discovery.send(c, update)
	}
	s.scheduleCheck()
}

// messageArrived handles a message on a watch that has reached the scheduler's socket.
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
		s.recordContact()
	}
	s.discovery.env.deliver(simapi.Input{Scheduler: s.scheduler, Message: input})
}

// updateOf returns an update in the form that the scheduler receives.
func (s *schedulerView) updateOf(update *listUpdate) *requests.EndpointList {
	list := &requests.EndpointList{Revision: update.revision, Reset: update.reset, Endpoints: make([]requests.Endpoint, len(update.entries))}
	for i, e := range update.entries {
		list.Endpoints[i] = s.discovery.entries[e].endpointAt(update.versions[i])
	}
	return list
}

// applyList records an update that the scheduler has received.
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
			// The scheduler may count as notified of a start that never arrived.
			closed := version{endpointAbsent, previous.incarnation, previous.startedMs}
			if n := s.discovery.entries[i].worker; s.discovery.entryOf[n] == i {
				closed.incarnation = max(closed.incarnation, s.knownStarts[n])
			} else if previous.state == endpointAbsent {
				continue
			}
			s.versions[i] = closed
			s.markNotified(i, closed)
		}
	}
	for i, e := range update.entries {
		s.versions[e] = update.versions[i]
		s.markNotified(e, update.versions[i])
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

// markNotified counts the scheduler as notified of a version of an entry. Versions of earlier processes than the last one that
// it was notified of have no effect.
func (s *schedulerView) markNotified(entry int, state version) {
	worker := s.discovery.entries[entry].worker
	if state.incarnation < s.knownStarts[worker] {
		return
	}
	up := state.state != endpointAbsent && state.incarnation > s.knownStarts[worker]
	if up || state.state == endpointUp && s.drainedStarts[worker] == state.incarnation {
		s.knownStarts[worker], s.drainedStarts[worker] = state.incarnation, 0
		s.record(trace.Event{Kind: trace.StartNotified, Scheduler: s.scheduler, Worker: worker, Incarnation: state.incarnation})
	}
	if state.state != endpointUp && s.drainedStarts[worker] != state.incarnation {
		s.drainedStarts[worker] = state.incarnation
		s.record(trace.Event{Kind: trace.DrainNotified, Scheduler: s.scheduler, Worker: worker, Incarnation: state.incarnation})
	}
}

// record records a trace event of a scheduler, not of a planner.
func (s *schedulerView) record(event trace.Event) {
	if !s.discovery.env.schedulers[s.scheduler].planner {
		s.discovery.env.record(event)
	}
}

// recordContact records that the scheduler is in contact with discovery now.
func (s *schedulerView) recordContact() {
	s.lastContact = s.discovery.env.now
	s.scheduleCheck()
}

// notifiedBy returns when the scheduler counts as notified of a pending change, in the present state of its call or watch.
func (s *schedulerView) notifiedBy(c *pendingChange) time.Duration {
	if call := s.call; call != nil && call.stage != watchEnded {
		return max(c.listedAt, s.callingSince) + notifiedWithin
	}
	wait := s.discovery.env.Spec.Rules.PollInterval.Std()
	if s.lastCallFailed {
		wait *= failedCallFactor
	}
	return max(c.listedAt, s.lastContact) + wait
}

// scheduleCheck plans a check of the pending changes for when the scheduler counts as notified of the first.
func (s *schedulerView) scheduleCheck() {
	first := time.Duration(-1)
	for i := range s.pending {
		if at := s.notifiedBy(&s.pending[i]); first < 0 || at < first {
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
			s.markOverdueNotified(func(c *pendingChange) bool { return s.notifiedBy(c) <= s.discovery.env.now })
			s.scheduleCheck()
		}
	})
}

// markOverdueNotified counts the scheduler as notified of the pending changes for which overdue returns true.
func (s *schedulerView) markOverdueNotified(overdue func(c *pendingChange) bool) {
	if !s.discovery.env.schedulers[s.scheduler].alive {
		s.pending = s.pending[:0]
		return
	}
	remaining := s.pending[:0]
	for i := range s.pending {
		if c := s.pending[i]; overdue(&c) {
			s.markNotified(c.entry, c.version)
		} else {
			remaining = append(remaining, c)
		}
	}
	s.pending = remaining
}

// reloaded handles a SIGHUP that was sent to the scheduler.
func (s *schedulerView) reloaded() {
	at, incarnation := s.discovery.env.now, s.discovery.env.schedulers[s.scheduler].incarnation
	s.discovery.env.after(notifiedAfterReload, func() {
		if s.discovery.env.schedulers[s.scheduler].incarnation == incarnation {
			s.markOverdueNotified(func(c *pendingChange) bool { return c.listedAt <= at })
		}
	})
}

// knowsStart reports whether a scheduler counts as notified of a worker's last start.
func (d *discovery) knowsStart(sched int, worker *worker) bool {
	return d.views[sched].knownStarts[worker.number] >= worker.process.incarnation
}
