package dispatch

import "time"

// Latency objectives. A job that can't meet its objective any more is demoted, so that it leaves after
// those that can, or rejected in time where a late answer earns nothing. The design is silent on it; a
// rejection is an answer without an attempt.

const (
	missCostSlope            = 4                     // the tail's credit falls over so many times the miss budget
	explorationsPerRejection = 0.2                   // jobs sent though thought out of reach, for each rejected
	maxExplorationTokens     = 4.0                   // and at once
	objectiveRecheckInterval = 50 * time.Millisecond // a job that is late is looked at again after this
)

// objectiveOf is the instant until which a job's answer earns in full. A client's retry has the objective
// of its first try, which had the longest time left that its class has seen.
func (d *Dispatcher) objectiveOf(job *jobInfo, age time.Duration) time.Duration {
	full := &d.fullTimeout[job.Class]
	*full = max(*full, min(job.Remaining+age, job.class.ClientTimeout))
	elapsed := max(0, *full-max(job.Remaining, 0))
	firstTryAt := d.now - elapsed
	stretch := seconds(job.class.ObjectiveStretch * job.work)
	return min(firstTryAt+job.class.LatencyObjective+stretch, job.deadline)
}

// handleObjectivePassed acts when no worker could meet an unstarted job's objective any more. It demotes the job,
// as all would wait past tau else, or rejects it in time where a late answer is worthless.
func (d *Dispatcher) handleObjectivePassed(job *jobInfo) {
	// What runs, or is in flight for one of many dispatchers, goes on: its client would only come again.
	isInFlightForMany := d.settings.Replicas > manyReplicas && job.inFlight > 0
	job.recheckOnEnd = isInFlightForMany || job.isRunning()
	if job.closed || job.recheckOnEnd {
		return
	}
	worthless := d.lateHasNoUtility(job)
	isDemotedForGood := job.priority == levelUnreachable && !worthless
	if isDemotedForGood {
		return
	}
	if worthless && d.mayReject(job) && d.isObjectiveUnreachable(job) && !d.takeExplorationToken(job) {
		d.finish(job)
		return
	}
	if job.heapIndex >= 0 {
		isNew := job.priority != levelUnreachable
		job.priority = levelUnreachable
		d.queue.reorder(job)
		if isNew {
			d.repeatLeaseRequests(job)
		}
	}
	d.setTimer(&job.objectiveTimer, d.now+objectiveRecheckInterval)
}

// isObjectiveUnreachable tells whether a job would be late even if it ran as much shorter as the spread of runs allows.
func (d *Dispatcher) isObjectiveUnreachable(job *jobInfo) bool {
	isDemotedInQueue := job.priority == levelUnreachable && job.inFlight == 0
	return isDemotedInQueue || d.now+d.fastestRun(job, unreachableDeviations) > job.objectiveAt
}

// takeExplorationToken lets some go all the same while workers idle: what rejects jobs must not prevent its correction.
func (d *Dispatcher) takeExplorationToken(job *jobInfo) bool {
	d.trialTokens += explorationsPerRejection
	isDue := d.trialTokens >= 1 && d.fleet.available.idleCount > 0
	if job.priority == levelUnreachable || !isDue {
		d.trialTokens = min(d.trialTokens, maxExplorationTokens)
		return false
	}
	d.trialTokens--
	return true
}

// lateHasNoUtility tells whether a late answer earns less than its miss costs under the miss budget.
func (d *Dispatcher) lateHasNoUtility(job *jobInfo) bool {
	tailShare, lateValue := d.settings.TailShare, job.class.LateValue
	if lateValue <= 0 {
		return true
	}
	credit := lateValue * (1 - tailShare) * missCostSlope * d.settings.MissBudget
	return tailShare > 0 && credit <= tailShare
}

// canMeetObjective tells whether a job would meet its objective on a worker, or has no such hope on any.
func (d *Dispatcher) canMeetObjective(j *jobInfo, w *workerInfo) bool {
	return j.isDeprioritized() || w.acceptsLate(j, d.now) || d.now+d.expectedRun(j, w) <= j.objectiveAt
}
