package checker

import (
	"math"
	"time"

	"valvecove/internal/testbed/scenario"
)

// class is what the rules need of a scenario's class of jobs.
type class struct {
	name              string
	idempotent        bool
	idempotentWithKey bool
	nonIdempotent     bool
	scope             string        // of a class that is idempotent with a key: cell, zone or all
	window            time.Duration // in which workers drop repeats of a key
	objective         time.Duration
	objectiveStretch  float64 // added to the objective, times the work
	meanWork          time.Duration
}

// job is the history of a client's job.
type job struct {
	id            uint64
	class         *class
	tenant        int
	slots         float64
	work          time.Duration
	dueAt         time.Duration
	deadline      time.Duration
	requests      []request
	attempts      []attempt
	log           []logEntry
	omitted       int    // entries that were removed from the log
	violatedRules uint32 // a bit for each rule
	violations    []int  // indexes in Checker.violations
	settled       bool
}

// newJobBatch allocates jobs in one block, each with the capacity that most jobs need.
func newJobBatch() []*job {
	type block struct {
		job
		requests [1]request
		attempts [1]attempt
		log      [14]logEntry
	}
	const batchSize = 32
	blocks := make([]block, batchSize)
	jobs := make([]*job, batchSize)
	for i := range blocks {
		current := &blocks[i]
		current.job.requests = current.requests[:0]
		current.job.attempts = current.attempts[:0]
		current.job.log = current.log[:0]
		jobs[i] = &current.job
	}
	return jobs
}

// request is one request of a client.
type request struct {
	id           string
	key          string
	responseBody string // of its last response
	sentAt       time.Duration
	deadline     time.Duration // the end of its budget
	endedAt      time.Duration // when its client saw its response or its end
	exhaustedAt  time.Duration // when the scheduler knew that no further attempt is allowed; 0: one is allowed
	unreadUntil  time.Duration // until then an attempt was in flight that no worker had read
	scheduler    int
	incarnation  int // of the scheduler, when it was sent
	attemptCount int // attempts that have reached a worker
	responses    int
	status       int
	state        requestState
	resent       bool // sent a second time, on another connection
}

// requestState is the state of a request as its client sees it.
type requestState uint8

const (
	requestOpen requestState = iota
	requestAnswered
	requestConnLost
	requestClientLeft // its client closed the connection
	requestTimedOut
)

// attempt is one sending of a request that has reached a worker.
type attempt struct {
	result      string
	firstByteAt time.Duration // when its first byte was written
	endedAt     time.Duration // 0: it is in flight
	request     int           // index in its job
	worker      int
	notExecuted bool // it ended in a way that proves that it was not executed
	succeeded   bool // it ended with a result
	started     bool
	accepted    bool
	endKnownAt  time.Duration // when its scheduler was notified of its end, or cancelled it; 0: neither has happened
}

// possiblyExecuted reports whether nothing proved by an instant that the attempt was not executed.
func (a *attempt) possiblyExecuted(at time.Duration) bool { return !a.notExecuted || a.endedAt > at }

// inFlight reports whether the attempt had neither ended nor been cancelled by an instant.
func (a *attempt) inFlight(at time.Duration) bool { return a.endedAt == 0 || a.endedAt > at }

// markEnded sets the time of the attempt's end, unless it is set.
func (a *attempt) markEnded(at time.Duration) {
	if a.endedAt == 0 {
		a.endedAt = at
	}
}

// markEndKnown sets the time from which the scheduler knows the attempt's end, unless it is set.
func (a *attempt) markEndKnown(at time.Duration) {
	if a.endKnownAt == 0 {
		a.endKnownAt = at
	}
}

// findRequest returns the request with an ID and its index, or nil and -1.
func (j *job) findRequest(requestID string) (*request, int) {
	for i := len(j.requests) - 1; i >= 0; i-- {
		if j.requests[i].id == requestID {
			return &j.requests[i], i
		}
	}
	return nil, -1
}

// findAttempt returns the attempt that an event at a worker is about, or nil: the first that is in flight there, else the
// last one. With last set it returns the last one in any case: a worker that has two attempts in flight rejects the later one.
func (j *job) findAttempt(requestIndex, worker int, last bool) *attempt {
	var found *attempt
	for i := range j.attempts {
		attempt := &j.attempts[i]
		if attempt.request != requestIndex || attempt.worker != worker {
			continue
		}
		if attempt.endedAt == 0 && !last {
			return attempt
		}
		found = attempt
	}
	return found
}

// hasInFlight reports whether an attempt of the job is in flight.
func (j *job) hasInFlight() bool {
	for i := range j.attempts {
		if j.attempts[i].endedAt == 0 {
			return true
		}
	}
	return false
}

// scheduler is the history of a scheduler and its processes.
type scheduler struct {
	incarnation     int // of the current process: an index of exits
	up              bool
	exits           []processExit         // by process
	terminatedAt    time.Duration         // when the current process got SIGTERM; 0: it did not
	freezes         []interval            // the last one may end at forever: it lasts
	drainNotifiedAt map[int]time.Duration // by worker
	overLimits      bool                  // the current process has exceeded its limits
}

// processExit is the end of a process.
type processExit struct {
	exitedAt     time.Duration // 0: it is running
	terminatedAt time.Duration // when it got SIGTERM; 0: it did not
	killed       bool          // by SIGKILL
}

// frozenDuring reports whether the scheduler was frozen at any time of an interval.
func (s *scheduler) frozenDuring(from, to time.Duration) bool {
	return len(s.freezes) > 0 && anyOverlaps(s.freezes, from, to)
}

// thaw ends the current freeze, if there is one.
func (s *scheduler) thaw(at time.Duration) {
	last := len(s.freezes) - 1
	if last >= 0 && s.freezes[last].end == forever {
		s.freezes[last].end = at
	}
}

// forever is the end of an interval without one.
const forever = time.Duration(math.MaxInt64)

// interval is a part of the run, with both of its ends.
type interval struct {
	start time.Duration
	end   time.Duration
}

// anyOverlaps reports whether any of the intervals overlaps the one between two instants.
func anyOverlaps(intervals []interval, from, to time.Duration) bool {
	for _, interval := range intervals {
		if interval.start <= to && from <= interval.end {
			return true
		}
	}
	return false
}

// misbehavingClient is a client that has to get an error response or a close.
type misbehavingClient struct {
	connectedAt time.Duration
	kind        string
	answered    bool // it got one
}

// overlap is a possible violation: two attempts of a job that seem to be in flight at once.
type overlap struct {
	job               *job
	rule              rule
	early, late       int           // indexes of the attempts in the job
	scheduler, worker int           // the ends of the path on which the early one would be cancelled
	provedOpenAt      time.Duration // when a message that was sent later arrived on that path; 0: none has
}

// retainedJob is a settled job in a retention queue.
type retainedJob struct {
	job           *job
	id            uint64 // differs from that of job if job was released and reused
	retainedUntil time.Duration
}

// retentionQueue is a queue of settled jobs, the oldest first, in a ring buffer that grows.
type retentionQueue struct {
	ring        []retainedJob
	start, size int
}

// add appends a job.
func (r *retentionQueue) add(entry retainedJob) {
	if r.size == len(r.ring) {
		ring := make([]retainedJob, max(64, 2*len(r.ring)))
		for i := range r.size {
			ring[i] = r.ring[(r.start+i)%len(r.ring)]
		}
		r.ring = ring
		r.start = 0
	}
	r.ring[(r.start+r.size)%len(r.ring)] = entry
	r.size++
}

// first returns the oldest job of a queue that is not empty.
func (r *retentionQueue) first() *retainedJob { return &r.ring[r.start] }

// drop removes the oldest job of a queue that is not empty.
func (r *retentionQueue) drop() {
	r.start = (r.start + 1) % len(r.ring)
	r.size--
}

// classes returns the classes of a scenario, in its order.
func classes(spec *scenario.Scenario) []class {
	list := make([]class, len(spec.Classes))
	for i := range spec.Classes {
		source := &spec.Classes[i]
		list[i] = class{
			name:              source.Name,
			idempotent:        source.Idempotency == "safe",
			idempotentWithKey: source.Idempotency == "keyed",
			nonIdempotent:     source.Idempotency == "unsafe",
			scope:             source.DeduplicationScope,
			window:            source.DeduplicationWindow.Std(),
			objective:         source.LatencyObjective.Std(),
			objectiveStretch:  source.ObjectiveStretch,
			meanWork:          source.Work.Std(),
		}
	}
	return list
}

// retention returns how long a settled job is retained that is not idempotent: longer than the longest deduplication window.
func retention(spec *scenario.Scenario) time.Duration {
	const shortest = 5 * time.Second
	longest := shortest
	for i := range spec.Classes {
		longest = max(longest, spec.Classes[i].DeduplicationWindow.Std())
	}
	return longest
}
