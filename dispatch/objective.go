package dispatch

// Latency objectives. A job that can't meet its objective any more loses priority, so that it leaves the
// queue after those that can, or is rejected in time where a late answer has no utility. The design does
// not mention objectives; a rejection is an answer without an attempt.

import "time"

const (
	missCostSlope            = 4   // the utility of the tail falls to 0 over so many miss budgets
	explorationsPerRejection = 0.2 // attempts at a job whose objective is thought unreachable
	maxExplorationTokens     = 4.0
	objectiveRecheckInterval = 50 * time.Millisecond // of a queued job that is late
)

// objectives are what the latency objectives of jobs depend on besides the settings.
type objectives struct {
	firstTryTimeouts []time.Duration // by class: the longest remaining time seen, which first tries have
	exploration      tokenBucket     // admits jobs whose predicted completion misses their objective
}

func newObjectives(classes []Class) objectives {
	return objectives{firstTryTimeouts: make([]time.Duration, len(classes))}
}

// firstTryTimeout returns the remaining time of a first try of a class, updated by that of a job at its
// arrival.
func (o *objectives) firstTryTimeout(class int, remaining, maxTimeout time.Duration) time.Duration {
	o.firstTryTimeouts[class] = max(o.firstTryTimeouts[class], min(remaining, maxTimeout))
	return o.firstTryTimeouts[class]
}

// tryExplore reports whether a job is attempted although its objective is thought unreachable. What rejects
// jobs must not prevent the correction of its own estimates.
func (o *objectives) tryExplore(isAllowed bool) bool {
	o.exploration.tokens += explorationsPerRejection
	if isAllowed && o.exploration.has(1) {
		o.exploration.take(1)
		return true
	}
	o.exploration.tokens = min(o.exploration.tokens, maxExplorationTokens)
	return false
}

// objectiveOf returns the instant until which a job's answer has its full utility. A client's retry has the
// objective of its first try, which had the longest remaining time seen of its class. age is the time since
// the job's first arrival.
func (d *Dispatcher) objectiveOf(job *jobInfo, age time.Duration) time.Duration {
	firstTryTimeout := d.objectives.firstTryTimeout(job.Class, job.Remaining+age, job.class.ClientTimeout)
	elapsed := max(0, firstTryTimeout-max(job.Remaining, 0))
	firstTryAt := d.now - elapsed
	stretch := seconds(job.class.ObjectiveStretch * job.work)
	return min(firstTryAt+job.class.LatencyObjective+stretch, job.deadline)
}

// handleObjectivePassed acts when no worker could meet an unstarted job's objective any more. It lowers the
// job's priority, or rejects it in time where a late answer has no utility.
func (d *Dispatcher) handleObjectivePassed(job *jobInfo) {
	// What runs, or is in flight for one of many dispatchers, is not rejected: its client would only send
	// it again.
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

// isObjectiveUnreachable reports whether a job would be late even if it ran as much shorter than expected
// as the error of predictions allows.
func (d *Dispatcher) isObjectiveUnreachable(job *jobInfo) bool {
	isLoweredInQueue := job.priority == priorityUnreachable && job.inFlight == 0
	return isLoweredInQueue || d.now+d.workload.fastestRun(job, unreachableDeviations) > job.objectiveAt
}

// tryExplore reports whether a job is attempted although its objective is thought unreachable. One whose
// priority is lowered already is not, and none is while no worker is idle.
func (d *Dispatcher) tryExplore(job *jobInfo) bool {
	return d.objectives.tryExplore(job.priority != priorityUnreachable && d.fleet.available.idleCount > 0)
}

// lateHasNoUtility reports whether a late answer has less utility than its miss costs under the miss
// budget.
func (d *Dispatcher) lateHasNoUtility(job *jobInfo) bool {
	tailShare, lateValue := d.settings.TailShare, job.class.LateValue
	if lateValue <= 0 {
		return true
	}
	utility := lateValue * (1 - tailShare) * missCostSlope * d.settings.MissBudget
	return tailShare > 0 && utility <= tailShare
}

// canMeetObjective reports whether a job would meet its objective on a worker. A job whose priority is
// lowered need not.
func (d *Dispatcher) canMeetObjective(j *jobInfo, w *workerInfo) bool {
	return j.isDeprioritized() || w.acceptsLate(j, d.now) || d.now+d.expectedRun(j, w) <= j.objectiveAt
}
