package checker

import (
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// This file holds the checker itself: its state, the trace events that it takes, and what it forgets to stay small.

// Options are the settings of a checker besides the scenario.
type Options struct {
	RealProcesses bool          // the schedulers are real processes: time limits are wider, and what only sockets show is checked
	MaxLateness   time.Duration // the testbed's own lateness beyond which a run is invalid; default 50 ms
}

// Checker keeps the history of one run and checks it. It is used by one goroutine.
type Checker struct {
	spec    *scenario.Scenario
	options Options
	classes []class
	cells   []int // by worker
	zones   []int
	timeLimits

	now             time.Duration
	highestJobID    uint64 // of the jobs' numbers
	jobs            map[uint64]*job
	jobsByRequest   map[string]*job
	schedulers      []*scheduler
	misbehaving     map[uint64]misbehavingClient
	coldWork        map[int][]coldArrival // by worker, onto a cold one
	fleetLog        eventRing
	texts           textTable
	retained        [2]retentionQueue // the safe ones, and the others
	freeJobs        []*job            // forgotten, to be used again
	overlaps        []overlap
	violations      []Violation
	checkCounts     [ruleCount]int
	violationCounts [ruleCount]int
	counts          Counts
	maxLateness     time.Duration // the testbed's own lateness, at most
	recentLateness  lateness      // and lately
}

// lateness is how late the testbed itself was, and when.
type lateness struct{ observedAt, amount time.Duration }

// latenessWindow is how long the testbed's lateness is taken to show in what it sees.
const latenessWindow = time.Second

// observationLateness is how late the testbed may be with what it sees now.
func (c *Checker) observationLateness() time.Duration {
	if c.now-c.recentLateness.observedAt > latenessWindow {
		return 0
	}
	return c.recentLateness.amount
}

// noRequest is no try.
const noRequest = 255

const (
	maxSettled     = 1 << 16 // jobs remembered, of each sort
	maxJobLog      = 64      // trace events of a job
	maxFleetLog    = 4096    // trace events of the fleet
	maxColdWork    = 24      // told of a worker that fell
	maxExplained   = 16      // breaches of a rule that are told in full
	maxOverlaps    = 256     // overlaps looked at at once
	maxMisbehaving = 1 << 14 // misbehaving clients remembered that have had their answer
)

// idempotentRetention is how long safe jobs are remembered, besides what a late attempt may take: they are most.
const idempotentRetention = time.Second

// New returns a checker of a run of a checked scenario.
func New(spec *scenario.Scenario, options Options) *Checker {
	if options.MaxLateness <= 0 {
		options.MaxLateness = 50 * time.Millisecond // as long as clients listen beyond a deadline: an answer in time may go unheard
	}
	checker := &Checker{
		spec: spec, options: options, classes: classes(spec), jobs: make(map[uint64]*job, 1024),
		jobsByRequest: make(map[string]*job, 1024),
		misbehaving:   map[uint64]misbehavingClient{}, coldWork: map[int][]coldArrival{},
		texts: textTable{[]string{""}, map[string]uint16{}},
	}
	checker.cells, checker.zones = spec.WorkerPlacement()
	checker.timeLimits = newTimeLimits(spec, options.RealProcesses)
	for range max(1, spec.Schedulers.Count) {
		checker.schedulers = append(checker.schedulers, newScheduler())
	}
	return checker
}

// Observe handles an event of the trace. Events have to come in order of time; the event is not kept.
func (c *Checker) Observe(event *trace.Event) {
	c.now = event.At
	c.evictSettled()
	if len(c.overlaps) > 0 {
		c.resolveOverlaps(event)
	}
	if event.Kind >= trace.WorkerStarted {
		c.fleetEvent(event)
		return
	}
	switch event.Kind {
	case trace.JobDue:
		c.jobDue(event)
	case trace.RequestSent:
		c.requestSent(event)
	case trace.JobSettled:
		c.jobSettled(event)
	case trace.HealthChecked, trace.WorkerConnected, trace.AttemptSent, trace.WorkerDialed, trace.WorkerFaultStarted, trace.WorkerFaultEnded, trace.WorkerPresent:
	case trace.MisbehavingClientConnected:
		c.misbehavingClientConnected(event)
	case trace.MisbehavingClientAnswered:
		c.misbehavingClientAnswered(event)
	case trace.ColdWorkReceived:
		c.coldWorkReceived(event)
	case trace.WorkerOverloaded:
		c.workerOverloaded(event)
	default:
		c.requestEvent(event)
	}
}

// evictSettled forgets the settled jobs whose time is up, or for which there is no space.
func (c *Checker) evictSettled() {
	for i := range c.retained {
		for queue := &c.retained[i]; queue.size > 0 && (queue.first().retainedUntil < c.now || queue.size > maxSettled); {
			c.evictOldest(queue)
		}
	}
}

// evictOldest forgets the job that was settled first.
func (c *Checker) evictOldest(queue *retentionQueue) {
	oldest := queue.first()
	if oldest.retainedUntil >= c.now {
		c.counts.Evicted++
	}
	job, id := oldest.job, oldest.id
	queue.drop()
	switch {
	case job.id != id || !job.settled:
	case queue == &c.retained[0] && job.hasInFlight():
		c.retained[1].add(retainedJob{job, id, c.now + c.retention})
	default:
		c.forgetJob(job)
	}
}

func (c *Checker) forgetJob(job *job) {
	c.dropOverlaps(job)
	c.attachExplanation(job)
	delete(c.jobs, job.id)
	for i := range job.requests {
		if c.jobsByRequest[job.requests[i].id] == job {
			delete(c.jobsByRequest, job.requests[i].id)
		}
	}
	job.id, job.settled = 0, false
	c.freeJobs = append(c.freeJobs, job)
}
