package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// What an empty dispatcher assumes before it has observed anything.
const (
	initialLogError       = 0.35             // mean log distance of runs from what was expected
	initialHintWeight     = 1.0              // of the logistic model: the chance of running long rises with the hint
	minInitialSojourn     = 1e-3             // seconds
	lateStartsPerSojourn  = 3                // the mean late start is this part of the mean objective
	startDelaysPerConnect = 4                // the least start delay is this part of the connect timeout
	minInitialStartDelay  = time.Millisecond // or this
)

// New returns a dispatcher that knows nothing but its settings. The seed determines all its random draws.
func New(settings Settings, seed uint64) *Dispatcher {
	source := rand.NewPCG(seed, 0)
	dispatcher := &Dispatcher{
		settings: settings, rng: rand.New(source), source: source, jobs: map[uint64]*jobInfo{},
		fleet: newWorkerFleet(), cordons: newCordons(), kinds: map[int]*machineInfo{},
		keyWork: map[uint64]float64{}, spread: initialLogError,
	}
	dispatcher.initIndexes()
	dispatcher.hedgeTokens = dispatcher.maxHedgeTokens()
	classes := len(settings.Classes)
	objective := 0.0
	for _, c := range settings.Classes {
		objective += c.LatencyObjective.Seconds() / float64(classes)
		dispatcher.sizeCorrection = append(dispatcher.sizeCorrection, [slotBuckets]float64{})
		dispatcher.overrunFactor = append(dispatcher.overrunFactor, 1)
		dispatcher.meanWeight += c.PriorityWeight / float64(classes)
	}
	dispatcher.muShort = max(objective, minInitialSojourn)
	dispatcher.longCut = math.Log(dispatcher.muShort)
	dispatcher.starts.meanLateDelay = seconds(objective / lateStartsPerSojourn)
	dispatcher.fullTimeout = make([]time.Duration, classes)
	dispatcher.weights = make([]float64, classes+2)
	dispatcher.weights[classes] = initialHintWeight
	dispatcher.starts.minDelay = max(settings.ConnectTimeout/startDelaysPerConnect, minInitialStartDelay)
	dispatcher.checks.minDelay = dispatcher.starts.minDelay
	dispatcher.quotaTokens = slices.Clone(settings.TenantQuota)
	dispatcher.quotaRefilledAt = make([]time.Duration, len(settings.TenantQuota))
	dispatcher.setTimer(&dispatcher.maintenance, 0)
	return dispatcher
}

// initIndexes makes what holds jobs, workers and timers.
func (d *Dispatcher) initIndexes() {
	d.maintenance.purpose = runMaintenance
	d.timers.less = func(a, b *timer) bool { return a.at < b.at }
	d.timers.moved = func(x *timer, i int) { x.heapIndex = i + 1 }
	d.placementGroups = placementGroups(d.settings.Classes)
	d.queue = newJobQueue(len(d.settings.Classes))
	d.starts.unstarted = newStartTracker(len(d.settings.Classes))
	d.directory = newPeerDirectory(&d.settings)
	d.client = newLeaseClient()
	d.coordinator = newCoordinator()
}

// Step takes in what happened at now and returns dst with the actions that it calls for appended. It keeps neither slice.
func (d *Dispatcher) Step(now time.Duration, events []Event, dst []Action) []Action {
	d.now, d.actions = max(now, d.now), dst
	if d.bornAt == 0 {
		d.bornAt = d.now // what was sent before is not known: no warming worker gets a job for one window
	}
	for _, e := range events {
		d.handleEvent(e)
	}
	if d.timerAt <= d.now {
		d.timerAt = 0
	}
	for d.timers.first().at <= d.now { // never empty: maintenance sets its timer anew
		d.handleTimer(d.timers.pop())
	}
	d.exchangeLeases()
	d.dispatchQueued()
	d.exchangeLeases()
	if next := d.timers.first().at; d.timerAt == 0 || next < d.timerAt {
		d.timerAt = next
		d.emit(SetTimer{After: d.timerAt - d.now})
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
		d.stalls.handleTimer(d.timerAt, d.now)
	default:
		d.handlePeerEvent(event)
	}
}

// handlePeerEvent takes in what other dispatchers or the operators bring about.
func (d *Dispatcher) handlePeerEvent(event Event) {
	switch event := event.(type) {
	case JobResumed:
		d.onJobResumed(event)
	case ReplicasChanged:
		d.onReplicasChanged(event)
	case ModelUpdate:
		d.handleModelUpdate(event)
	case PeerMessageReceived:
		d.onPeerMessage(event)
	case Cordoned:
		d.handleCordoned(event.Worker)
	case Uncordoned:
		d.handleUncordoned(event.Worker)
	}
}

// handleTimer does what a timer is for. Queued jobs are looked at after any.
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
		d.onLeaseOverdue(fired.lease)
	case workerAvailable:
		d.fleet.markDirty(fired.worker)
	}
}

// sample draws where to begin among n items, and how many to take: all, or size of more than limit.
func (d *Dispatcher) sample(n, limit, size int) (from, count int) {
	if n > limit {
		return d.rng.IntN(n), size
	}
	return 0, n
}

// jitter draws a span from zero to most, both included.
func (d *Dispatcher) jitter(most time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(most) + 1))
}
