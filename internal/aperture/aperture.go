// Package aperture limits one scheduler to a subset of a large fleet by deterministic subsetting, so that with many schedulers
// and thousands of workers, not every scheduler is connected to every worker.
//
// It chooses the size and the workers of the subset, and detects unresponsive workers. An Aperture is a policy between the
// request table and the dispatch policy: it receives events and returns actions. It does no I/O, reads no clock, uses no random
// numbers and never decides about a job. The endpoint list that it passes to the dispatch policy contains only the workers of the
// subset.
//
// Schedulers exchange no messages to agree on their subsets: a subset depends only on the endpoint list, the number of schedulers
// and the scheduler's index. docs/design/aperture.md describes the selection and the reasons for it.
//
// The policy receives the workers of the subset with the status that discovery lists. A worker that is removed from the subset is
// reported as not ready, and as removed once this scheduler has no attempt in flight there. Other workers are not reported. For
// each list update from discovery, the policy receives an update of the same kind, which may be empty. Jobs, outcomes and actions
// are passed on unchanged, except for timers: only the earlier of the policy's timer and the aperture's timer is set.
package aperture

import (
	"time"

	"valvecove/dispatch"
)

const (
	evaluationInterval = 250 * time.Millisecond // interval at which load and responses are evaluated and units are released
	refreshInterval    = 50 * time.Millisecond  // minimum interval between two selections of the subset
)

// Policy is the policy behind an Aperture; see requests.Policy.
type Policy interface {
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// Aperture restricts a policy to a subset of the fleet. It is not safe for concurrent use.
type Aperture struct {
	policy             Policy
	config             Config
	startNotifications bool // workers send a callback at the start of a job
	now                time.Duration
	fleet              fleet
	load               loadMonitor
	widening           widening

	awaitingList  bool              // no list has been received since discovery failed or the policy subscribed
	allSelected   bool              // all units with a ready worker are desired
	refreshedAt   time.Duration     // time of the last selection of the subset
	evaluateAt    time.Duration     // time of the next evaluation
	timerAt       time.Duration     // time at which the current timer fires; 0: no timer is set
	policyTimerAt time.Duration     // time at which the policy's timer is due; 0: none
	events        []dispatch.Event  // buffer for the events that a step passes to the policy
	updates       []dispatch.Worker // statuses that have changed and were not passed to the policy yet
	deselected    []uint64          // IDs of listed workers that were removed from the policy's list in this step
	log           sizeLog
}

// New returns an Aperture in front of a policy, which must have the same settings and no workers yet.
func New(policy Policy, settings dispatch.Settings, config Config) *Aperture {
	config.Coverage = max(ringCount, config.Coverage)
	return &Aperture{
		policy:             policy,
		config:             config,
		startNotifications: settings.StartNotifications,
		fleet:              newFleet(settings),
		load:               newLoadMonitor(settings),
		widening:           widening{factor: 1, waitMultiple: 1},
		awaitingList:       true,
		refreshedAt:        -refreshInterval,
	}
}

// SetSchedulers changes the number of schedulers and this scheduler's index, which starts from 0. The change takes effect at the
// next step, for the subset and for the choice of the schedulers that may send to a worker during its slow start. The fewest
// workers move between subsets if an added scheduler gets the next unused index, and if the last scheduler gets the index of a
// removed one.
func (a *Aperture) SetSchedulers(index, count int) { a.fleet.setReplica(newReplica(index, count)) }

// Step passes the events that concern the subset to the policy, and appends the actions of the policy and of the aperture to dst.
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

// observeEvents handles the events of a step, and returns the events to pass to the policy.
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
			if !policyTimerDue { // the timer was set for the aperture only
				continue
			}
			policyTimerDue = false
		}
		visible = a.observeEvent(event, visible)
	}
	return visible
}

// observeEvent handles one event, and appends the resulting events for the policy to visible.
func (a *Aperture) observeEvent(event dispatch.Event, visible []dispatch.Event) []dispatch.Event {
	switch typed := event.(type) {
	case dispatch.WorkerList:
		visible = a.appendOwnUpdate(visible) // changes of the subset that precede the list
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
		outside := a.jobResumed(typed)
		visible = a.appendOwnUpdate(visible)
		a.reportWorkers(outside) // after the job, the policy receives their status as workers outside of the subset
	}
	return append(visible, event)
}

// observeActions handles the policy's actions, dst[first:]. It removes the policy's timers from them, as appendTimer sets one
// timer for the policy and the aperture.
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

// appendConnectionCloses closes the idle connections to workers that were removed from the policy's list in this step. A worker
// that is in use again, because it was selected again or an attempt there was resumed, keeps them.
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

// appendTimer sets a timer for the next step that the policy or the aperture needs, unless an earlier timer is set.
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

// evaluate evaluates load and responses, and releases the units that have not been desired for Config.Retention.
func (a *Aperture) evaluate() {
	// If this process was stalled, late responses are not the workers' fault: every worker gets the full timeout again.
	stalled := a.evaluateAt > 0 && a.now-a.evaluateAt >= evaluationInterval
	a.evaluateAt = a.now + evaluationInterval
	a.fleet.checkResponses(a.now, stalled)
	a.load.expireJobs(a.now, stalled)
	a.adjustWidening()
	if a.fleet.needsRefresh { // before the release below: units that become desired again stay
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
		a.log.reason = "widened because jobs were delayed"
	case narrowed:
		a.fleet.needsRefresh = true
		a.log.reason = "narrowed after a period of low load"
	case unchanged:
	}
}
