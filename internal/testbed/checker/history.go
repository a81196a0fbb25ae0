package checker

import (
	"math"
	"time"

	"valvecove/internal/testbed/scenario"
)

// class is a class of jobs, as far as rules go.
type class struct {
	name              string
	idempotent        bool
	idempotentWithKey bool
	nonIdempotent     bool
	scope             string // of keyed ones
	window            time.Duration
	objective         time.Duration
	objectiveStretch  float64
	meanWork          time.Duration // of its work
}

// job is what a client wants, with all that is known of it.
type job struct {
	id          uint64
	class       *class
	tenant      int
	slots       float64
	work        time.Duration
	dueAt       time.Duration
	deadline    time.Duration
	requests    []request
	attempts    []attempt
	log         []logEntry
	omitted     int // entries that the log had no room for
	brokenRules uint32
	violations  []int // in Checker.violations
	settled     bool
}

// newJobBatch makes room for jobs, each with what most of them need.
func newJobBatch() []*job {
	type block struct {
		job
		requests [1]request
		attempts [1]attempt
		log      [14]logEntry
	}
	const many = 32
	blocks, jobs := make([]block, many), make([]*job, many)
	for i := range blocks {
		current := &blocks[i]
		current.job.requests, current.job.attempts, current.job.log = current.requests[:0], current.attempts[:0], current.log[:0]
		jobs[i] = &current.job
	}
	return jobs
}

// request is one request of a client.
type request struct {
	id           string
	key          string
	responseBody string        // of its last answer
	sentAt       time.Duration // asked
	deadline     time.Duration // its budget is over
	endedAt      time.Duration // answered or ended, as its client saw it
	exhaustedAt  time.Duration // when the scheduler knew that no further attempt is allowed; 0: one is
	unreadUntil  time.Duration // until then an attempt was out that no worker had read
	scheduler    int
	incarnation  int // of the scheduler
	attemptCount int // attempts that have reached a worker
	responses    int
	status       int
	state        requestState
	resent       bool // it was sent a second time, on another connection
}

type requestState uint8

const (
	requestOpen requestState = iota
	requestAnswered
	requestConnLost
	requestClientLeft // by its client
	requestTimedOut
)

// attempt is one sending of a request, from when it has reached a worker.
type attempt struct {
	result      string
	firstByteAt time.Duration // its first byte was written
	endedAt     time.Duration // 0: it has not
	request     int
	worker      int
	notExecuted bool // and that proves that it never ran
	succeeded   bool // by a result
	started     bool
	accepted    bool
	endKnownAt  time.Duration // the scheduler has heard of its end, or gave it up itself; 0: not that anybody knows
}

// possiblyExecuted tells whether at t nothing proved that it had not.
func (a *attempt) possiblyExecuted(t time.Duration) bool { return !a.notExecuted || a.endedAt > t }

// inFlight tells whether at t it had neither ended nor been given up.
func (a *attempt) inFlight(t time.Duration) bool { return a.endedAt == 0 || a.endedAt > t }

func (a *attempt) markEnded(at time.Duration) {
	if a.endedAt == 0 {
		a.endedAt = at
	}
}

func (a *attempt) markEndKnown(at time.Duration) {
	if a.endKnownAt == 0 {
		a.endKnownAt = at
	}
}

func (j *job) findRequest(requestID string) (*request, int) {
	for i := len(j.requests) - 1; i >= 0; i-- {
		if j.requests[i].id == requestID {
			return &j.requests[i], i
		}
	}
	return nil, -1
}

// findAttempt finds what a trace event at a worker is about. Of two that are out there one is rejected, the last that
// came; all else is about the first. Where none is out it is the last.
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

// hasInFlight tells whether an attempt of its is.
func (j *job) hasInFlight() bool {
	for i := range j.attempts {
		if j.attempts[i].endedAt == 0 {
			return true
		}
	}
	return false
}

// scheduler is a scheduler, and what became of its processes.
type scheduler struct {
	incarnation     int
	up              bool
	exits           []processExit // by process
	terminatedAt    time.Duration
	freezes         []interval            // the last one lasts as long as its end is open
	drainNotifiedAt map[int]time.Duration // by worker: told so
	overLimits      bool                  // of its limits, by this process
}

// processExit is how a process ended.
type processExit struct {
	exitedAt     time.Duration // 0: it runs
	terminatedAt time.Duration // SIGTERM; 0: none
	killed       bool
}

// frozenDuring tells whether it was frozen at any time from a to b.
func (s *scheduler) frozenDuring(from, to time.Duration) bool {
	return len(s.freezes) > 0 && anyOverlaps(s.freezes, from, to)
}

// thaw ends a freeze, if there is one.
func (s *scheduler) thaw(at time.Duration) {
	if n := len(s.freezes); n > 0 && s.freezes[n-1].end == forever {
		s.freezes[n-1].end = at
	}
}

// forever is the end of what has none.
const forever = time.Duration(math.MaxInt64)

// interval is a part of the run.
type interval struct{ start, end time.Duration }

// anyOverlaps tells whether one of the spans has a part of the time from a to b.
func anyOverlaps(intervals []interval, from, to time.Duration) bool {
	for _, interval := range intervals {
		if interval.start <= to && from <= interval.end {
			return true
		}
	}
	return false
}

// misbehavingClient is one that is owed an error or a close.
type misbehavingClient struct {
	connectedAt time.Duration
	kind        string
	answered    bool // it had one
}

// overlap is a suspicion: two attempts of a job are out at once.
type overlap struct {
	job               *job
	rule              rule
	early, late       int
	scheduler, worker int           // the way by which the early one would have been given up
	provedOpenAt      time.Duration // when that proved open; 0: not yet
}

// retainedJob keeps a settled job for a while.
type retainedJob struct {
	job           *job
	id            uint64 // by which a reused one is told
	retainedUntil time.Duration
}

// retentionQueue is a queue of settled jobs, the oldest first, that uses its room again.
type retentionQueue struct {
	ring        []retainedJob
	start, size int
}

func (r *retentionQueue) add(entry retainedJob) {
	if r.size == len(r.ring) {
		ring := make([]retainedJob, max(64, 2*len(r.ring)))
		for i := range r.size {
			ring[i] = r.ring[(r.start+i)%len(r.ring)]
		}
		r.ring, r.start = ring, 0
	}
	r.ring[(r.start+r.size)%len(r.ring)] = entry
	r.size++
}

func (r *retentionQueue) first() *retainedJob { return &r.ring[r.start] }

func (r *retentionQueue) drop() {
	r.start = (r.start + 1) % len(r.ring)
	r.size--
}

// classes are the scenario's classes.
func classes(spec *scenario.Scenario) []class {
	list := make([]class, len(spec.Classes))
	for i := range spec.Classes {
		source := &spec.Classes[i]
		list[i] = class{
			name: source.Name, idempotent: source.Idempotency == "safe", idempotentWithKey: source.Idempotency == "keyed", nonIdempotent: source.Idempotency == "unsafe",
			scope: source.DeduplicationScope, window: source.DeduplicationWindow.Std(), objective: source.LatencyObjective.Std(), objectiveStretch: source.ObjectiveStretch, meanWork: source.Work.Std(),
		}
	}
	return list
}

// retention is how long a settled job is remembered that must not run again: what is sent again after the longest
// window is still known.
func retention(spec *scenario.Scenario) time.Duration {
	longest := 5 * time.Second
	for i := range spec.Classes {
		longest = max(longest, spec.Classes[i].DeduplicationWindow.Std())
	}
	return longest
}
