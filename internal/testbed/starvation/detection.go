package starvation

import (
	"math"
	"slices"
	"time"
)

const (
	windowShare    = 0.9 // of the window of an idempotency key, in which a scheduler has to retry
	maxExamined    = 64  // idle workers examined for one request, besides those that are still to be reserved
	reserveDivisor = 20  // one worker in twenty is reserved where several schedulers share the fleet
)

// Bounds on a scheduler's estimates of work.
const (
	minClassEnds     = 30   // executions after which a process has estimated the error of a class's hints
	maxEstimateError = 2    // factor by which it may be wrong after that, as an execution shows only hint divided by speed
	meanFactor       = 2    // by which work may differ from the mean of its class without hints
	roughDeviation   = 2    // standard deviations by which rough hints may be wrong
	minWork          = 1e-9 // seconds
)

// scanRequests looks for starvation among the overdue requests.
func (c *Checker) scanRequests() {
	c.recoverWorkers()
	c.checkWindows()
	for i := range c.overdueRequests {
		kind := i - 1
		for bucket, queued := range c.overdueRequests[i] {
			if len(queued) > 0 && c.anyIdle(kind, bucket) {
				c.scanSet(queued)
			}
		}
	}
}

// scanSet looks for starvation in a set of overdue requests. It removes the starved ones from the set.
func (c *Checker) scanSet(set []*request) {
	for i := len(set) - 1; i >= 0; i-- { // backward: a later request replaces one that is removed
		queued := set[i]
		owner := &c.schedulers[queued.scheduler]
		isConnecting := owner.dials >= c.dialsPerRequest*owner.overdueCount
		if !owner.isAccountable(queued.queuedSince, c.now) || isConnecting || c.isClientCut(queued.queuedSince) {
			continue
		}
		if idle := c.findIdleWorker(queued, queued.queuedSince, false); idle != nil {
			c.verdict.Queued++
			c.addFinding(queued, idle, false)
		}
	}
}

// checkWindows handles everything whose time window has passed.
func (c *Checker) checkWindows() {
	c.checkStartNotifications()
	c.checkDials()
	c.addOverdueRequests()
	c.addIdleWorkers()
}

// requestRejected checks whether the rejection of a queued request is starvation.
func (c *Checker) requestRejected(rejected *request) {
	c.checkWindows()
	if !c.anyIdle(c.classes[rejected.job.class].kind, rejected.job.bucket) {
		return
	}
	idle := c.findIdleWorker(rejected, max(rejected.queuedSince, c.now-idleWindow), true)
	if idle == nil {
		return
	}
	owner := &c.schedulers[rejected.scheduler]
	switch {
	case c.isRejectionExcused(rejected):
		c.verdict.Excused++
	case owner.excused < owner.dials:
		owner.excused++
		c.verdict.Excused++
	default:
		c.verdict.Rejected++
		c.addFinding(rejected, idle, true)
	}
}

// isRejectionExcused reports whether the state of the scheduler or of the clients' network excuses a rejection.
func (c *Checker) isRejectionExcused(rejected *request) bool {
	owner := &c.schedulers[rejected.scheduler]
	isCrowded := owner.open >= c.requestLimit
	mayHaveNoAttemptLeft := len(rejected.attempts)+owner.dials >= c.spec.Schedulers.AttemptLimit
	return !owner.isServing() || owner.isSettling(c.now) || isCrowded || mayHaveNoAttemptLeft || c.isClientCut(rejected.sentAt)
}

// isClientCut reports whether clients may have been disconnected from schedulers at any time since an instant.
func (c *Checker) isClientCut(since time.Duration) bool {
	return slices.ContainsFunc(c.clientFaults, func(fault interval) bool {
		return fault.start <= c.now && since <= fault.end
	})
}

// findIdleWorker returns a worker that was plainly idle for a request, or nil. The request's execution could have begun at start.
func (c *Checker) findIdleWorker(waiting *request, start time.Duration, rejected bool) *worker {
	owner := &c.schedulers[waiting.scheduler]
	boundTo := c.classes[waiting.job.class].kind
	execution := c.executionOf(waiting.job, owner, start, rejected)
	reserved := c.reservedWorkers(waiting)
	examined := 0
	for kind := range c.idleWorkers {
		if boundTo != anyKind && boundTo != kind || !execution.isFeasible(&c.kinds[kind]) {
			continue
		}
		for _, number := range c.idleWorkers[kind][waiting.job.bucket] {
			examined++
			if examined > maxExamined+reserved {
				return nil
			}
			candidate := &c.workers[number]
			if !c.canDispatch(waiting, owner, candidate) {
				continue
			}
			if reserved == 0 {
				return candidate
			}
			reserved--
		}
	}
	return nil
}

// reservedWorkers returns how many idle workers may be left idle for other requests.
func (c *Checker) reservedWorkers(waiting *request) int {
	reserved := 0
	if c.running > 1 { // schedulers have no information about each other's jobs at shared workers
		reserved = len(c.workers) / reserveDivisor
	}
	larger := c.schedulers[waiting.scheduler].queued[waiting.job.bucket+1:]
	if slices.ContainsFunc(larger, func(queued int) bool { return queued > 0 }) {
		reserved++
	}
	return reserved
}

// canDispatch reports whether a scheduler could send an attempt of a request to an idle worker.
func (c *Checker) canDispatch(waiting *request, owner *scheduler, target *worker) bool {
	mayBeFull := c.omitsStarts && target.usedSlots > 0
	return !mayBeFull && owner.knowsWorker(target, c.now) && c.isRetryAllowed(waiting, target)
}

// isRetryAllowed reports whether a request's attempts so far allow another one at a worker.
func (c *Checker) isRetryAllowed(waiting *request, target *worker) bool {
	if len(waiting.attempts) >= c.spec.Schedulers.AttemptLimit {
		return false
	}
	class := &c.classes[waiting.job.class]
	return !slices.ContainsFunc(waiting.attempts, func(earlier *attempt) bool {
		return !earlier.notExecuted && !c.isRepeatable(class, earlier, target)
	})
}

// isRepeatable reports whether an attempt that may have been executed may be followed by one at a worker.
func (c *Checker) isRepeatable(class *class, earlier *attempt, target *worker) bool {
	switch class.idempotency {
	case idempotent:
		return true
	case nonIdempotent:
		return false
	}
	if float64(c.now-earlier.sentAt) >= windowShare*float64(class.window) {
		return false
	}
	first := &c.workers[earlier.worker]
	switch class.scope {
	case "zone":
		return first.zone == target.zone
	case "cell":
		return first.cell == target.cell
	default:
		return true
	}
}

// execution is an execution that a scheduler could have begun, with the range of the work that the scheduler may estimate.
type execution struct {
	job              *job
	start            time.Duration // the instant at which it could have begun
	rejected         bool          // false: the job is queued
	objectiveStretch float64
	minWorkFactor    float64 // the least estimate of the work, as a multiple of it
	maxWorkFactor    float64 // the largest estimate, as a multiple of the work
	meetsAtBest      bool    // the fastest worker that the scenario allows would meet the objective
}

// executionOf returns the execution of a job that its scheduler could have begun at start.
func (c *Checker) executionOf(waiting *job, owner *scheduler, start time.Duration, rejected bool) execution {
	minWorkFactor, maxWorkFactor := c.estimateRange(owner, waiting)
	return execution{
		job:              waiting,
		start:            start,
		rejected:         rejected,
		objectiveStretch: c.classes[waiting.class].objectiveStretch,
		minWorkFactor:    minWorkFactor,
		maxWorkFactor:    maxWorkFactor,
		meetsAtBest:      start+durationOf(waiting.work/c.maxSpeed) <= waiting.objective,
	}
}

// isFeasible reports whether a scheduler has no reason to reject the job, or to let it wait for a faster worker, when the
// slowest worker of a kind is idle.
func (e *execution) isFeasible(kind *workerKind) bool {
	work := e.job.work
	objective := e.job.objective
	isLate := e.start+durationOf(work/kind.minSpeed) > objective
	if isLate && (e.rejected || e.meetsAtBest) {
		return false
	}
	// Objectives grow with the work: an estimate that is too small makes the objective seem nearer than it is.
	estimatedObjective := objective - durationOf((1-e.minWorkFactor)*e.objectiveStretch*work)
	if e.rejected && e.start+durationOf(e.minWorkFactor*work/kind.minSpeed) > estimatedObjective {
		return false
	}
	return e.start+durationOf(e.maxWorkFactor*work/kind.minSpeed) <= e.job.deadline
}

// estimateRange returns the least and the largest work that a scheduler may estimate for a job from the scenario's hints, as
// multiples of the work.
func (c *Checker) estimateRange(owner *scheduler, estimated *job) (low, high float64) {
	load := &c.spec.Load
	switch load.Hints {
	case "rough":
		factor := math.Exp(roughDeviation * load.HintFactor)
		return 1 / factor, factor
	case "none":
		mean := c.spec.Classes[estimated.class].Work.Std().Seconds() / max(estimated.work, minWork)
		return min(1, mean/meanFactor), max(1, meanFactor*mean)
	case "wrong":
		low = min(1, load.HintFactor)
		high = max(1, load.HintFactor)
		if owner.classEnds[estimated.class] >= minClassEnds {
			low = max(low, 1.0/maxEstimateError)
			high = min(high, maxEstimateError)
		}
		return low, high
	default:
		return 1, 1
	}
}

// durationOf converts seconds to a duration.
func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
