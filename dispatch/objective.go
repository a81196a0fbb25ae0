package dispatch

import "time"

// Latency objectives. A job that can't meet its objective any more is demoted, so that it leaves after
// those that can, or rejected in time where a late answer earns nothing. The design is silent on it; a
// rejection is an answer without an attempt.

const (
	missCostSlope    = 4                     // the tail's credit falls over so many times the miss budget
	trialRate        = 0.2                   // jobs sent though thought out of reach, for each rejected
	trialBurst       = 4.0                   // and at once
	objectiveRecheck = 50 * time.Millisecond // a job that is late is looked at again after this
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

// onObjectivePassed acts when no worker could meet an unstarted job's objective any more. It demotes the job,
// as all would wait past tau else, or rejects it in time where a late answer is worthless.
func (d *Dispatcher) onObjectivePassed(job *jobInfo) {
	// What runs, or is in flight for one of many dispatchers, goes on: its client would only come again.
	isInFlightForMany := d.settings.Replicas > manyReplicas && job.inFlight > 0
	job.recheckOnEnd = isInFlightForMany || job.isRunning()
	if job.closed || job.recheckOnEnd {
		return
	}
	worthless := d.lateIsWorthless(job)
	isDemotedForGood := job.standing == outOfReach && !worthless
	if isDemotedForGood {
		return
	}
	if worthless && d.mayReject(job) && d.isOutOfReach(job) && !d.takeTrial(job) {
		d.finish(job)
		return
	}
	if job.heapIndex >= 0 {
		isNew := job.standing != outOfReach
		job.standing = outOfReach
		d.queue.reorder(job)
		if isNew {
			d.repeatLeaseRequests(job)
		}
	}
	d.setTimer(&job.objectiveTimer, d.now+objectiveRecheck)
}

// isOutOfReach tells whether a job would be late even if it ran as much shorter as the spread of runs allows.
func (d *Dispatcher) isOutOfReach(job *jobInfo) bool {
	isDemotedInQueue := job.standing == outOfReach && job.inFlight == 0
	return isDemotedInQueue || d.now+d.fastestRun(job, reachSpreads) > job.objectiveAt
}

// takeTrial lets some go all the same while workers idle: what rejects jobs must not prevent its correction.
func (d *Dispatcher) takeTrial(job *jobInfo) bool {
	d.trialTokens += trialRate
	isDue := d.trialTokens >= 1 && d.fleet.available.idle > 0
	if job.standing == outOfReach || !isDue {
		d.trialTokens = min(d.trialTokens, trialBurst)
		return false
	}
	d.trialTokens--
	return true
}

// lateIsWorthless tells whether a late answer earns less than its miss costs under the miss budget.
func (d *Dispatcher) lateIsWorthless(job *jobInfo) bool {
	tailShare, lateValue := d.settings.TailShare, job.class.LateValue
	if lateValue <= 0 {
		return true
	}
	credit := lateValue * (1 - tailShare) * missCostSlope * d.settings.MissBudget
	return tailShare > 0 && credit <= tailShare
}

// canEarn tells whether a job would meet its objective on a worker, or has no such hope on any.
func (d *Dispatcher) canEarn(j *jobInfo, w *workerInfo) bool {
	return j.demoted() || d.mayTryUncordoned(j, w) || d.now+d.expectedRun(j, w) <= j.objectiveAt
}
