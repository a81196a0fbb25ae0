package dispatch

// Latency objectives. A job that can no longer meet its objective loses priority: it is dispatched after the
// jobs that can or, if a late answer has no utility, is rejected early. The design does not mention
// objectives; such a rejection is an answer without an attempt.

import "time"

const (
	missCostSlope            = 4   // the utility of the tail falls to 0 over this many miss budgets
	explorationsPerRejection = 0.2 // attempts at jobs whose objective is estimated to be unreachable
	maxExplorationTokens     = 4.0
	objectiveRecheckInterval = 50 * time.Millisecond // of a queued job that is late
)

// objectives is the state that the latency objectives of jobs depend on besides the settings.
type objectives struct {
	firstTryTimeouts []time.Duration // by class: longest remaining time seen, taken as that of first tries
	exploration      tokenBucket     // admits jobs whose predicted completion misses their objective
}

func newObjectives(classes []Class) objectives {
	return objectives{firstTryTimeouts: make([]time.Duration, len(classes))}
}

// firstTryTimeout returns the estimated remaining time of a first try of a class at its arrival, after an
// update with that of a job.
func (o *objectives) firstTryTimeout(class int, remaining, maxTimeout time.Duration) time.Duration {
	o.firstTryTimeouts[class] = max(o.firstTryTimeouts[class], min(remaining, maxTimeout))
	return o.firstTryTimeouts[class]
}

// tryExplore reports whether a job is attempted although its objective is estimated to be unreachable, and
// then takes a token. Without such attempts, estimates that reject all jobs would never be corrected.
func (o *objectives) tryExplore(isAllowed bool) bool {
	o.exploration.tokens += explorationsPerRejection
	if isAllowed && o.exploration.has(1) {
		o.exploration.take(1)
		return true
	}
	o.exploration.tokens = min(o.exploration.tokens, maxExplorationTokens)
	return false
}

// objectiveOf returns the time until which a job's answer has its full utility. A client's retry keeps the
// objective of its first try, whose arrival is inferred from the longest remaining time seen for the class.
// age is the time since the job's first arrival.
func (d *Dispatcher) objectiveOf(job *jobInfo, age time.Duration) time.Duration {
	firstTryTimeout := d.objectives.firstTryTimeout(job.Class, job.Remaining+age, job.class.ClientTimeout)
	elapsed := max(0, firstTryTimeout-max(job.Remaining, 0))
	firstTryAt := d.now - elapsed
	stretch := seconds(job.class.ObjectiveStretch * job.work)
	return min(firstTryAt+job.class.LatencyObjective+stretch, job.deadline)
}

// handleObjectivePassed runs when no worker can meet an unstarted job's objective any more. It lowers the
// job's priority, or rejects the job early if a late answer has no utility.
func (d *Dispatcher) handleObjectivePassed(job *jobInfo) {
	// A running job is not rejected, nor is one in flight if there are many dispatchers: its client would
	// only retry it.
	isInFlightForMany := d.settings.Replicas > manyReplicas && job.inFlight > 0
	job.recheckOnEnd = isInFlightForMany || job.isRunning()
	if job.closed || job.recheckOnEnd {
		return
	}
	hasNoUtility := d.lateHasNoUtility(job)
	isLoweredForGood := job.priority == priorityUnreachable && !hasNoUtility
	if isLoweredForGood {
		return
	}
	if hasNoUtility && d.mayReject(job) && d.isObjectiveUnreachable(job) && !d.tryExplore(job) {
		d.finish(job)
		return
	}
	if job.heapIndex >= 0 {
		d.lowerPriority(job)
	}
	d.setTimer(&job.objectiveTimer, d.now+objectiveRecheckInterval)
}

// lowerPriority gives a queued job the priority of those whose objective is unreachable.
func (d *Dispatcher) lowerPriority(job *jobInfo) {
	isLowered := job.priority != priorityUnreachable
	job.priority = priorityUnreachable
	d.queue.reorder(job)
	if isLowered {
		d.leases.client.repeatRequests(d.now, job)
	}
}

// isObjectiveUnreachable reports whether a job would be late even if its run took as much less time than
// expected as the prediction error allows.
func (d *Dispatcher) isObjectiveUnreachable(job *jobInfo) bool {
	isLoweredInQueue := job.priority == priorityUnreachable && job.inFlight == 0
	return isLoweredInQueue || d.now+d.workload.fastestRun(job, unreachableDeviations) > job.objectiveAt
}

// tryExplore reports whether a job is attempted although its objective is estimated to be unreachable. A job
// whose priority is lowered already is not attempted, and no job is while no worker is idle.
func (d *Dispatcher) tryExplore(job *jobInfo) bool {
	return d.objectives.tryExplore(job.priority != priorityUnreachable && d.fleet.available.idleCount > 0)
}

// lateHasNoUtility reports whether a late answer has no utility, or no more than its miss costs under the
// miss budget.
func (d *Dispatcher) lateHasNoUtility(job *jobInfo) bool {
	tailShare, lateValue := d.settings.TailShare, job.class.LateValue
	if lateValue <= 0 {
		return true
	}
	utility := lateValue * (1 - tailShare) * missCostSlope * d.settings.MissBudget
	return tailShare > 0 && utility <= tailShare
}

// canMeetObjective reports whether a job would meet its objective on a worker, or need not: because its
// priority is lowered, or because the worker accepts late jobs.
func (d *Dispatcher) canMeetObjective(j *jobInfo, w *workerInfo) bool {
	return j.isDeprioritized() || w.acceptsLate(j, d.now) || d.now+d.expectedRun(j, w) <= j.objectiveAt
}
