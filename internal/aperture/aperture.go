// Package aperture assigns a subset of a large fleet to one scheduler by deterministic subsetting, so that with many schedulers and
// thousands of workers not every scheduler is connected to every worker.
//
// It selects the subset and its size, and detects unresponsive workers. An Aperture is a policy between the request table and the
// dispatch policy: it receives events and returns actions. It does no I/O, reads no clock, uses no random numbers and never
// decides about a job. The policy behind it receives an endpoint list with the workers of the subset only.
//
// Schedulers need no messages to agree on their subsets, which depend on the endpoint list, the number of schedulers and the
// index of the scheduler only. docs/design/aperture.md describes the selection and the reasons for it.
//
// The policy receives a worker in the subset as discovery lists it. A worker that is removed from the subset is reported as not
// ready, and as removed once no attempt of this scheduler is in flight there. Other workers are not reported. For each list
// update of discovery the policy receives one of the same kind, which may be empty. Jobs, outcomes and actions are passed on
// unchanged, except for timers: the earlier one of the policy's and the aperture's is set.
package aperture

import (
	"time"

	"valvecove/dispatch"
)

const (
	evaluationInterval = 250 * time.Millisecond // interval at which load and responses are evaluated, and workers released
	refreshInterval    = 50 * time.Millisecond  // minimum interval between two selections of the subset
)

// Policy is the policy behind an Aperture; see requests.Policy.
type Policy interface {
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// Aperture passes events to a policy that concern its subset of the fleet. It is not safe for concurrent use.
type Aperture struct {
	policy   Policy
	config   Config
	notifies bool // workers send a callback at the start of a job
	now      time.Duration
	fleet    fleet
	load     loadMonitor
	widening widening

	awaitingList  bool              // no list was received since discovery failed or the policy has subscribed
	allSelected   bool              // every ready worker is desired
	refreshedAt   time.Duration     // of the last selection of the subset
	evaluateAt    time.Duration     // of the next evaluation
	timerAt       time.Duration     // the timer that is set; 0: none
	policyTimerAt time.Duration     // the policy's timer; 0: none
	events        []dispatch.Event  // events of a step for the policy
	updates       []dispatch.Worker // changes of the subset that were not passed to the policy yet
	deselected    []uint64          // workers that were removed from the policy's list in this step
	log           sizeLog
}

// New returns an aperture in front of a policy that has no workers. Both must have the same settings.
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

// SetSchedulers changes the number of schedulers, and the index of this one among them, from 0. It takes effect with the next
// step, for the subset and for the schedulers that may send to a worker during its slow start. The fewest workers change their
// subset if a new scheduler gets the next index, and if the last scheduler gets the index of one that is removed.
func (a *Aperture) SetSchedulers(index, count int) { a.fleet.setReplica(newReplica(index, count)) }

// Step passes the visible events to the policy, and appends the policy's actions and the aperture's own to dst.
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
	dst = a.appendConnectionCloses(dst)
	dst = a.appendLog(dst)
	return a.appendTimer(dst)
}

// observeEvents handles the events of a step, and returns those for the policy.
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
			if !policyTimerDue { // it was the aperture's timer
				continue
			}
			policyTimerDue = false
		}
		visible = a.observeEvent(event, visible)
	}
	return visible
}

// observeEvent handles one event, and appends the events for the policy that result from it.
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

// observeActions handles the policy's actions, which are those of dst from first on. It removes the policy's timers; see
// appendTimer.
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

// appendConnectionCloses closes the idle connections to workers that were removed from the subset. A worker may be in use again
// in the same step, because it was selected again or an attempt there was resumed.
func (a *Aperture) appendConnectionCloses(dst []dispatch.Action) []dispatch.Action {
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

// appendTimer sets a timer for the next step that the policy or the aperture needs.
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

// evaluate evaluates load and responses, and releases the units that have not been desired for the retention time.
func (a *Aperture) evaluate() {
	// If this process was not running in time, late responses are not the workers' fault: all have the full time again.
	late := a.evaluateAt > 0 && a.now-a.evaluateAt >= evaluationInterval
	a.evaluateAt = a.now + evaluationInterval
	a.fleet.checkResponses(a.now, late)
	a.load.expireJobs(a.now, late)
	a.adjustWidening()
	if a.fleet.needsRefresh { // a unit that is desired again is not released
		a.refresh()
	}
	for _, u := range a.fleet.units {
		if u.selected && !u.desired && a.now-u.lastDesired >= a.config.Retention {
			u.selected = false
			a.reportWorkers(u.workers)
		}
	}
	a.checkSize()
}

// adjustWidening widens or narrows the subset according to the load.
func (a *Aperture) adjustWidening() {
	delayed := a.load.delayedFraction()
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
