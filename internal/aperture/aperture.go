// Package aperture gives one scheduler a subset of a large fleet by deterministic subsetting, so that with many schedulers
// and thousands of workers not every scheduler is connected to every worker.
//
// It owns the choice of the subset and its width, and which workers count as unresponsive. It stands between the request
// table and the dispatch policy, as a policy of its own: events in, actions out. It does no I/O, reads no clock, draws no
// random numbers and never decides about a job. The policy behind it sees the workers of the subset only, as an endpoint
// list that follows the rules of any other.
//
// Schedulers agree on who has which workers without talking to each other: it follows from the endpoint list, the number of
// schedulers and the scheduler's index among them. docs/design/aperture.md has the choice and its reasons.
//
// What may be relied on: the policy sees a worker in the subset as discovery lists it. One that leaves the subset it sees as
// not ready, and then as removed once no attempt of this scheduler is in flight there. It sees no other worker. Each list
// update of discovery brings the policy one of the same kind, be it empty. Jobs, outcomes and actions pass unchanged, but
// for timers, of which the earlier of two is set.
package aperture

import (
	"time"

	"valvecove/dispatch"
)

const (
	evaluationInterval = 250 * time.Millisecond // between two looks at load, responses and what is to be released
	refreshInterval    = 50 * time.Millisecond  // the subset is selected anew at most so often, however many changes come
)

// Policy decides about jobs. The aperture narrows what it sees of the fleet.
type Policy interface {
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// Aperture is the subset of one scheduler, in front of its policy. It is not safe for concurrent use.
type Aperture struct {
	policy   Policy
	config   Config
	notifies bool // workers notify of the start of a job
	now      time.Duration
	fleet    fleet
	load     loadMonitor
	widening widening

	awaitingList  bool // the list is lost, or requested, and nothing has come since
	allSelected   bool // every ready worker is desired
	refreshedAt   time.Duration
	evaluateAt    time.Duration
	timerAt       time.Duration     // the timer that is set; 0: none
	policyTimerAt time.Duration     // the policy's timer; 0: none
	events        []dispatch.Event  // of a step, as the policy sees them
	updates       []dispatch.Worker // of the subset, which the policy has not seen yet
	deselected    []uint64          // workers removed from the policy's view
	log           sizeLog
}

// New returns an aperture in front of a policy that knows no workers. Both are to be made from the same settings.
func New(policy Policy, settings dispatch.Settings, config Config) *Aperture {
	config.Coverage = max(ringCount, config.Coverage)
	return &Aperture{
		policy:       policy,
		config:       config,
		notifies:     settings.StartNotifications,
		fleet:        newFleet(settings),
		load:         newLoadMonitor(settings),
		widening:     widening{factor: 1, retentions: 1},
		awaitingList: true,
		refreshedAt:  -refreshInterval,
	}
}

// SetSchedulers changes the number of schedulers, and the index of this one among them, from 0. It takes effect with
// the next step, for the subset and for who may warm up workers, and for no other setting. A new scheduler should take the next
// index, and the last one that of a scheduler that leaves: that moves the fewest workers.
func (a *Aperture) SetSchedulers(index, count int) { a.fleet.setSeat(newSeat(index, count)) }

// Step has the policy step on what it sees of the events, and appends its actions and the aperture's own to dst.
func (a *Aperture) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	a.now = max(now, a.now)
	visible := a.observeEvents(events)
	if a.now >= a.evaluateAt {
		a.evaluate()
	}
	if a.fleet.needsRefresh && a.now >= a.refreshedAt+refreshInterval {
		a.refresh()
	}
	visible = a.appendOwnUpdate(visible)
	first := len(dst)
	if len(visible) > 0 {
		dst = a.policy.Step(now, visible, dst)
	}
	clear(visible)
	a.events = visible[:0]
	dst = a.observeActions(dst, first)
	dst = a.appendFreedLinks(dst)
	dst = a.appendLog(dst)
	return a.appendTimer(dst)
}

// observeEvents takes in the events of a step, and returns what the policy sees of them.
func (a *Aperture) observeEvents(events []dispatch.Event) []dispatch.Event {
	policyTimerDue := a.policyTimerAt > 0 && a.policyTimerAt <= a.now
	if policyTimerDue {
		a.policyTimerAt = 0
	}
	if a.timerAt <= a.now {
		a.timerAt = 0
	}
	visible := a.events[:0]
	for _, event := range events {
		if _, fired := event.(dispatch.TimerFired); fired {
			if !policyTimerDue { // it was the timer of the aperture
				continue
			}
			policyTimerDue = false
		}
		visible = a.observeEvent(event, visible)
	}
	return visible
}

// observeEvent takes in one event, and appends what the policy sees of it.
func (a *Aperture) observeEvent(event dispatch.Event, visible []dispatch.Event) []dispatch.Event {
	switch typed := event.(type) {
	case dispatch.WorkerList:
		visible = a.appendOwnUpdate(visible) // earlier changes first
		event = a.applyList(typed)
	case dispatch.Job:
		a.load.jobArrived(typed, a.now)
	case dispatch.Outcome:
		a.attemptEnded(typed)
	case dispatch.Started:
		a.fleet.responseReceived(typed.Worker)
	case dispatch.Progressed:
		a.fleet.responseReceived(typed.Worker)
	case dispatch.ResponseStarted:
		a.fleet.responseReceived(typed.Worker)
	case dispatch.ClientDisconnected:
		a.load.jobClosed(typed.Job)
	case dispatch.HealthChecked:
		a.healthChecked(typed)
	case dispatch.ReplicasChanged:
		a.SetSchedulers(typed.ReplicaIndex, typed.Replicas)
	case dispatch.JobResumed:
		hidden := a.jobResumed(typed)
		visible = a.appendOwnUpdate(visible)
		a.reportWorkers(hidden) // hidden again, after the job
	}
	return append(visible, event)
}

// observeActions takes in the policy's actions, which are those of dst from first on. Its timers are kept back.
func (a *Aperture) observeActions(dst []dispatch.Action, first int) []dispatch.Action {
	kept := dst[:first]
	for _, action := range dst[first:] {
		switch typed := action.(type) {
		case dispatch.SetTimer:
			at := a.now + max(typed.After, 1)
			if a.policyTimerAt == 0 || at < a.policyTimerAt {
				a.policyTimerAt = at
			}
			continue
		case dispatch.Send:
			a.attemptStarted(typed)
		case dispatch.Reject:
			a.load.jobClosed(typed.Job)
		case dispatch.Fail:
			a.load.jobClosed(typed.Job)
		case dispatch.HealthCheck:
			if worker := a.fleet.workers[typed.Worker]; worker != nil {
				a.fleet.expectResponse(worker, a.now)
			}
		case dispatch.Subscribe:
			a.awaitingList = true
		}
		kept = append(kept, action)
	}
	clear(dst[len(kept):])
	return kept
}

// appendFreedLinks closes the idle connections that lead to workers outside of the subset. A worker may be in use again by
// now: it has come back at once, or another attempt there was resumed.
func (a *Aperture) appendFreedLinks(dst []dispatch.Action) []dispatch.Action {
	for _, id := range a.deselected {
		worker := a.fleet.workers[id]
		isInUse := worker != nil && (worker.reported || worker.inFlight > 0)
		if !isInUse {
			dst = append(dst, dispatch.CloseIdleConnections{Worker: id})
		}
	}
	a.deselected = a.deselected[:0]
	return dst
}

// appendTimer sets a timer to what is due next, the policy's or the aperture's.
func (a *Aperture) appendTimer(dst []dispatch.Action) []dispatch.Action {
	next := a.evaluateAt
	if a.fleet.needsRefresh {
		next = min(next, a.refreshedAt+refreshInterval)
	}
	if a.policyTimerAt > 0 {
		next = min(next, a.policyTimerAt)
	}
	if a.timerAt == 0 || next < a.timerAt {
		a.timerAt = max(next, a.now+1)
		dst = append(dst, dispatch.SetTimer{After: a.timerAt - a.now})
	}
	return dst
}

// evaluate looks at load and responses, and releases what has not been desired for the retention time.
func (a *Aperture) evaluate() {
	// A process that was late itself can't know who was: everybody has the time to respond again.
	late := a.evaluateAt > 0 && a.now-a.evaluateAt >= evaluationInterval
	a.evaluateAt = a.now + evaluationInterval
	a.fleet.checkResponses(a.now, late)
	a.load.expireJobs(a.now, late)
	a.adjustWidening()
	if a.fleet.needsRefresh { // what is desired again is not released
		a.refresh()
	}
	for _, u := range a.fleet.units {
		if u.selected && !u.desired && a.now-u.lastDesired >= a.config.Retention {
			u.selected = false
			a.reportWorkers(u.workers)
		}
	}
	a.noticeSize()
}

// adjustWidening widens or narrows the subset by the load.
func (a *Aperture) adjustWidening() {
	delayed := a.load.delayedShare()
	a.load.decay()
	if a.coversFleet() {
		a.widening.reset(a.now)
		return
	}
	switch a.widening.adjust(a.now, delayed, a.allSelected, &a.config) {
	case widened:
		a.fleet.needsRefresh = true
		a.log.reason = "wider, as jobs find no room in time"
	case narrowed:
		a.fleet.needsRefresh = true
		a.log.reason = "narrower, as jobs find room"
	case unchanged:
	}
}
