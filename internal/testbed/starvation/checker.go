package starvation

import (
	"math"
	"slices"
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// Time windows of the rules in the package comment.
const (
	idleWindow         = time.Second             // after which a request that is queued while a worker is idle counts as starved
	scanInterval       = 100 * time.Millisecond  // between two scans of the queued requests
	healthyAfter       = 10 * time.Second        // without a sign of a fault, a worker is healthy again
	startupWindow      = 2 * time.Second         // to act on its own start, or on the notification of a worker's start
	dialWindow         = 1300 * time.Millisecond // in which a connection is established, or its worker counts as unhealthy
	notificationWindow = 250 * time.Millisecond  // in which the callback of a start is sent, or its worker counts as unhealthy
)

// Estimates of how a scheduler divides its limit on sockets, from which follows how many requests it admits.
const (
	processSockets      = 24  // of a process, besides its connections
	workerSocketDivisor = 6   // one connection in six is to a worker
	minWorkerSockets    = 8   // least number of connections to workers
	spareSocketDivisor  = 10  // one client connection in ten is reserved
	minSpareSockets     = 8   // least number of reserved client connections
	crowdedShare        = 0.9 // a scheduler with this share of the requests that it admits may reject
)

// Checker finds starvation in one run from its trace. It is used by one goroutine.
type Checker struct {
	spec            *scenario.Scenario
	classes         []class
	kinds           []workerKind
	maxSpeed        float64 // of any worker that the scenario allows
	omitsStarts     bool    // some workers send no callbacks of starts, so schedulers cannot rely on them
	clientFaults    []interval
	requestLimit    int // requests of a scheduler from which on it may reject
	dialsPerRequest int // connections that may fail one after the other in the idle window of one request

	now             time.Duration
	nextScan        time.Duration
	jobs            map[uint64]*job
	requests        map[string]*request
	workers         []worker
	schedulers      []scheduler
	running         int // schedulers that are up
	idleWorkers     []workersByBucket
	overdueRequests []requestsByBucket // the overdue requests: queued for the idle window; by kind plus one, 0 is any kind
	newlyIdle       ringQueue[idleEntry]
	newlyQueued     ringQueue[queueEntry]
	started         ringQueue[startedAttempt]
	recovering      deadline.Queue[*worker]
	dials           ringQueue[dial]
	dialed          map[uint64]bool // connections that are not established yet
	verdict         Verdict
}

// workersByBucket has the numbers of one kind's workers that have been idle for the idle window, by bucket of slots.
type workersByBucket [slotBuckets][]int32

// requestsByBucket has the overdue requests that are bound to one kind, by bucket of slots.
type requestsByBucket [slotBuckets][]*request

// interval is a time in which clients and schedulers may be disconnected from each other.
type interval struct {
	start time.Duration
	end   time.Duration
}

// New returns a checker of a run of a scenario, which has to be valid.
func New(spec *scenario.Scenario) *Checker {
	checker := &Checker{
		spec:            spec,
		clientFaults:    clientFaults(spec.Faults),
		requestLimit:    requestLimit(spec.Schedulers.Sockets),
		dialsPerRequest: max(1, int(idleWindow/max(spec.Schedulers.ConnTimeout.Std(), 1))-1),
		jobs:            map[uint64]*job{},
		requests:        map[string]*request{},
		workers:         make([]worker, spec.Fleet.Workers),
		schedulers:      make([]scheduler, max(1, spec.Schedulers.Count)),
		idleWorkers:     make([]workersByBucket, len(spec.Fleet.Kinds)),
		overdueRequests: make([]requestsByBucket, len(spec.Fleet.Kinds)+1),
		dialed:          map[uint64]bool{},
	}
	for i := range spec.Fleet.Kinds {
		kind := newWorkerKind(&spec.Fleet.Kinds[i])
		checker.kinds = append(checker.kinds, kind)
		checker.maxSpeed = max(checker.maxSpeed, kind.maxSpeed)
		checker.omitsStarts = checker.omitsStarts || kind.omitsStarts
	}
	for i := range spec.Classes {
		checker.classes = append(checker.classes, newClass(&spec.Classes[i], spec.Fleet.Kinds))
	}
	for i := range checker.schedulers {
		checker.schedulers[i].classEnds = make([]int, len(spec.Classes))
	}
	cells, zones := spec.WorkerPlacement()
	for i := range checker.workers {
		target := &checker.workers[i]
		target.number = i
		target.cell = cells[i]
		target.zone = zones[i]
	}
	return checker
}

// clientFaults returns the times in which faults of the scenario impair the clients' network, each with the idle window after
// it.
func clientFaults(faults []scenario.Fault) []interval {
	var intervals []interval
	for i := range faults {
		fault := &faults[i]
		if scenario.FaultKinds[fault.Kind] != "net" || fault.Between != "clients" && fault.And != "clients" {
			continue
		}
		disturbed := interval{start: fault.At.Std(), end: math.MaxInt64}
		if fault.Duration > 0 {
			disturbed.end = fault.At.Std() + fault.Duration.Std() + idleWindow
		}
		intervals = append(intervals, disturbed)
	}
	return intervals
}

// requestLimit returns how many open requests a scheduler has to have before its limit on sockets excuses a rejection.
func requestLimit(sockets int) int {
	connections := max(0, sockets-processSockets)
	connections -= max(minWorkerSockets, connections/workerSocketDivisor)
	return int(crowdedShare * float64(connections-max(minSpareSockets, connections/spareSocketDivisor)))
}

// handlers are the handlers of trace events, by kind; events of other kinds are ignored.
var handlers = [...]func(c *Checker, event *trace.Event){
	trace.JobDue:     (*Checker).jobDue,
	trace.JobSettled: (*Checker).jobSettled,

	trace.RequestSent:      (*Checker).requestSent,
	trace.ResponseReceived: (*Checker).requestEnded,
	trace.ConnectionLost:   (*Checker).requestEnded,
	trace.ClientLeft:       (*Checker).requestEnded,
	trace.ClientTimedOut:   (*Checker).requestEnded,

	trace.AttemptSent:      (*Checker).attemptSent,
	trace.AttemptReceived:  (*Checker).attemptReceived,
	trace.AttemptRejected:  (*Checker).attemptRejected,
	trace.AttemptReturned:  (*Checker).attemptReturned,
	trace.AttemptStarted:   (*Checker).attemptStarted,
	trace.AttemptFinished:  (*Checker).attemptFinished,
	trace.AttemptDied:      (*Checker).attemptDied,
	trace.AttemptCancelled: (*Checker).attemptCancelled,
	trace.AttemptUnread:    (*Checker).attemptUnread,
	trace.CallbackAnswered: (*Checker).callbackAnswered,
	trace.CallbackLost:     (*Checker).callbackLost,

	trace.WorkerDialed:       (*Checker).workerDialed,
	trace.WorkerConnected:    (*Checker).workerConnected,
	trace.WorkerFaultStarted: (*Checker).workerEvent,
	trace.WorkerFaultEnded:   (*Checker).workerEvent,
	trace.WorkerPresent:      (*Checker).workerEvent,
	trace.WorkerStarted:      (*Checker).workerEvent,
	trace.WorkerStopped:      (*Checker).workerEvent,
	trace.WorkerDraining:     (*Checker).workerEvent,
	trace.WorkerHung:         (*Checker).workerEvent,
	trace.WorkerRecovered:    (*Checker).workerEvent,
	trace.WorkerOverloaded:   (*Checker).workerEvent,

	trace.DrainNotified:       (*Checker).schedulerNotified,
	trace.StartNotified:       (*Checker).schedulerNotified,
	trace.SchedulerStarted:    (*Checker).schedulerEvent,
	trace.SchedulerTerminated: (*Checker).schedulerEvent,
	trace.SchedulerKilled:     (*Checker).schedulerEvent,
	trace.SchedulerExited:     (*Checker).schedulerEvent,
	trace.SchedulerFrozen:     (*Checker).schedulerEvent,
	trace.SchedulerResumed:    (*Checker).schedulerEvent,
}

// Observe handles a trace event and does not retain it. Events have to be passed in order of time.
func (c *Checker) Observe(event *trace.Event) {
	for c.nextScan <= event.At {
		c.now = c.nextScan
		c.scanRequests()
		c.nextScan += scanInterval
	}
	c.now = event.At
	c.recoverWorkers()
	if int(event.Kind) >= len(handlers) {
		return
	}
	if handle := handlers[event.Kind]; handle != nil {
		handle(c, event)
	}
}

// Verdict returns what was found so far. The caller owns it.
func (c *Checker) Verdict() Verdict {
	verdict := c.verdict
	verdict.Findings = slices.Clone(verdict.Findings)
	return verdict
}
