package checker

import (
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// This file defines the checker: its state, the dispatch of trace events, and the eviction of settled jobs.

// Options are the settings of a checker besides the scenario.
type Options struct {
	RealProcesses bool          // the schedulers are real processes: time limits are wider, and the rules on sockets are checked
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
	highestJobID    uint64
	jobs            map[uint64]*job
	jobsByRequest   map[string]*job
	schedulers      []*scheduler
	misbehaving     map[uint64]misbehavingClient
	coldWork        map[int][]coldArrival // by worker: work sent to it while it was warming up
	fleetLog        eventRing
	texts           textTable
	retained        [2]retentionQueue // settled jobs: the idempotent ones, and the others
	freeJobs        []*job            // evicted jobs, for reuse
	overlaps        []overlap
	violations      []Violation
	checkCounts     [ruleCount]int
	violationCounts [ruleCount]int
	counts          Counts
	maxLateness     time.Duration // the largest lateness of the testbed in this run
	recentLateness  lateness      // the largest lateness of the testbed within latenessWindow
}

// lateness is a delay of the testbed's own events, and when it was observed.
type lateness struct {
	observedAt time.Duration
	amount     time.Duration
}

// latenessWindow is how long an observed lateness of the testbed widens the time limits.
const latenessWindow = time.Second

// observationLateness returns how late the current trace events may be.
func (c *Checker) observationLateness() time.Duration {
	if c.now-c.recentLateness.observedAt > latenessWindow {
		return 0
	}
	return c.recentLateness.amount
}

// noRequest is the request index of a log entry that belongs to no request.
const noRequest = 255

const (
	maxSettled     = 1 << 16 // jobs retained, in each of the two queues
	maxJobLog      = 64      // trace events of a job
	maxFleetLog    = 4096    // trace events of the fleet
	maxColdWork    = 24      // arrivals listed for a worker that was overloaded while warming up
	maxExplained   = 16      // violations of a rule that are explained in full
	maxOverlaps    = 256     // overlaps that wait for a decision
	maxMisbehaving = 1 << 14 // misbehaving clients retained before the answered ones are removed
)

// idempotentRetention is how long idempotent jobs are retained, besides the time that a late attempt may take. It is short
// because most jobs are idempotent.
const idempotentRetention = time.Second

// defaultMaxLateness equals the time for which clients wait beyond a deadline. With a larger lateness, a client may time out
// although its response was sent in time.
const defaultMaxLateness = 50 * time.Millisecond

// New returns a checker of a run of a validated scenario.
func New(spec *scenario.Scenario, options Options) *Checker {
	if options.MaxLateness <= 0 {
		options.MaxLateness = defaultMaxLateness
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

// Observe handles an event of the trace. Events have to be passed in order of time; the event is not retained.
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
	case trace.HealthChecked, trace.WorkerConnected, trace.AttemptSent, trace.WorkerDialed,
		trace.WorkerFaultStarted, trace.WorkerFaultEnded, trace.WorkerPresent:
		// No rule needs these.
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

// evictSettled evicts the settled jobs whose retention has expired, and the oldest ones of a queue that is over its size.
func (c *Checker) evictSettled() {
	for i := range c.retained {
		queue := &c.retained[i]
		for queue.size > 0 && (queue.first().retainedUntil < c.now || queue.size > maxSettled) {
			c.evictOldest(queue)
		}
	}
}

// evictOldest removes the job that was settled first from a queue. An idempotent job with an attempt in flight moves to the
// other queue.
func (c *Checker) evictOldest(queue *retentionQueue) {
	oldest := queue.first()
	if oldest.retainedUntil >= c.now {
		c.counts.Evicted++
	}
	job := oldest.job
	id := oldest.id
	queue.drop()
	switch {
	case job.id != id || !job.settled:
	case queue == &c.retained[0] && job.hasInFlight():
		c.retained[1].add(retainedJob{job, id, c.now + c.retention})
	default:
		c.releaseJob(job)
	}
}

// releaseJob completes the explanation of a job's violations and releases the job for reuse.
func (c *Checker) releaseJob(job *job) {
	c.dropOverlaps(job)
	c.attachExplanation(job)
	delete(c.jobs, job.id)
	for i := range job.requests {
		if c.jobsByRequest[job.requests[i].id] == job {
			delete(c.jobsByRequest, job.requests[i].id)
		}
	}
	job.id = 0
	job.settled = false
	c.freeJobs = append(c.freeJobs, job)
}
