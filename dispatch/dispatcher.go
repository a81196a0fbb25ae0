package dispatch

import (
	"math/rand/v2"
	"time"
)

// The initial estimates of a new dispatcher.
const (
	initialLogError   = 0.35 // mean absolute log error of runs
	initialHintWeight = 1.0  // of the logistic model; positive: a longer hint makes a long run more likely
	minInitialSojourn = 1e-3 // seconds
)

// New returns a dispatcher without workers, jobs or observations. The seed determines all its random draws.
func New(settings Settings, seed uint64) *Dispatcher {
	source := rand.NewPCG(seed, 0)
	dispatcher := &Dispatcher{
		settings:   settings,
		rng:        rand.New(source),
		source:     source,
		jobs:       map[uint64]*jobInfo{},
		fleet:      newWorkerFleet(),
		cordons:    newCordons(),
		starts:     newStartMonitor(&settings),
		timers:     newTimerQueue(),
		queue:      newJobQueue(settings.Classes),
		quotas:     newTenantQuotas(settings.TenantQuota),
		objectives: newObjectives(settings.Classes),
		arrivals:   newArrivalStatistics(settings.Classes),
		workload:   newWorkloadModel(settings.Classes),
	}
	dispatcher.leases = newLeaseExchange(
		&dispatcher.settings, dispatcher.rng, &dispatcher.timers, &leaseAdapter{dispatcher},
	)
	dispatcher.slowStart = slowStart{
		settings: &dispatcher.settings,
		rng:      dispatcher.rng,
		workload: &dispatcher.workload,
		arrivals: &dispatcher.arrivals,
	}
	dispatcher.checks = healthChecker{
		settings: &dispatcher.settings,
		rng:      dispatcher.rng,
		minDelay: dispatcher.starts.minDelay,
	}
	dispatcher.hedges.tokens = dispatcher.maxHedgeTokens()
	dispatcher.maintenance.purpose = runMaintenance
	dispatcher.setTimer(&dispatcher.maintenance, 0)
	return dispatcher
}

// Step applies the events that occurred at now, in their order, and returns dst with the resulting actions
// appended, which the caller carries out in order. It keeps neither slice. If now is before the time of the
// last step, that time is used instead.
func (d *Dispatcher) Step(now time.Duration, events []Event, dst []Action) []Action {
	d.now = max(now, d.now)
	d.actions = dst
	d.slowStart.recordFirstStep(d.now)
	for _, event := range events {
		d.handleEvent(event)
	}
	d.timers.dropCallerTimer(d.now)
	for next := d.timers.popDue(d.now); next != nil; next = d.timers.popDue(d.now) {
		d.handleTimer(next)
	}
	d.leases.processMessages(d.now)
	d.dispatchQueued()
	d.leases.processMessages(d.now)
	if at, ok := d.timers.nextCallerTimer(); ok {
		d.emit(SetTimer{After: at - d.now})
	}
	dst, d.actions = d.actions, nil
	return dst
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) handleEvent(event Event) {
	switch event := event.(type) {
	case WorkerList:
		d.handleWorkerList(event)
	case Job:
		d.handleJob(event)
	case Outcome:
		d.handleOutcome(event)
	case Started:
		d.handleStarted(d.findInFlight(event.Job, event.Attempt, event.Worker))
	case Progressed:
		d.handleProgressed(d.findInFlight(event.Job, event.Attempt, event.Worker))
	case ResponseStarted:
		d.handleResponseStarted(d.findInFlight(event.Job, event.Attempt, event.Worker))
	case ClientDisconnected:
		d.closeJob(d.jobs[event.Job])
	case HealthChecked:
		d.handleHealthChecked(event)
	case TimerFired:
		d.stalls.handleTimer(d.timers.callerAt, d.now)
	default:
		d.handlePeerEvent(event)
	}
}

// handlePeerEvent applies an event caused by other dispatchers or by operators.
func (d *Dispatcher) handlePeerEvent(event Event) {
	switch event := event.(type) {
	case JobResumed:
		d.handleJobResumed(event)
	case ReplicasChanged:
		d.handleReplicasChanged(event)
	case ModelUpdate:
		d.handleModelUpdate(event)
	case PeerMessageReceived:
		d.leases.handleMessage(d.now, event)
	case Cordoned:
		d.handleCordoned(event.Worker)
	case Uncordoned:
		d.handleUncordoned(event.Worker)
	}
}

// handleTimer acts on a timer that has fired. A dispatch cycle follows in every case.
func (d *Dispatcher) handleTimer(fired *timer) {
	switch fired.purpose {
	case reviewQueue:
	case runMaintenance:
		d.maintain()
	case jobDeadline:
		d.finish(fired.job)
	case jobObjective:
		d.handleObjectivePassed(fired.job)
	case attemptOverdue:
		d.handleOverdue(fired.attempt)
	case leaseOverdue:
		d.leases.client.handleTimer(d.now, fired.lease)
	case workerAvailable:
		d.fleet.markDirty(fired.worker)
	}
}

// sample selects which of n items to use: count consecutive items from the index from on, modulo n. These are
// all items if n is at most limit, else size items from a random index on.
func (d *Dispatcher) sample(n, limit, size int) (from, count int) {
	if n > limit {
		return d.rng.IntN(n), size
	}
	return 0, n
}

// jitter returns a random duration from 0 to longest, both included.
func (d *Dispatcher) jitter(longest time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(longest) + 1))
}
