package dispatch

import "time"

// Admission: quotas, objectives, and which late jobs are worth their capacity.
const (
	quotaBurst       = 8.0                   // jobs of a tenant at once, however small our share of its quota
	quotaBurstSpan   = 2                     // seconds of a tenant's quota, at once
	missCostSlope    = 4                     // the tail's credit falls over so many times the miss budget
	trialRate        = 0.2                   // jobs sent though thought out of reach, for each rejected
	trialBurst       = 4.0                   // and at once
	objectiveRecheck = 50 * time.Millisecond // a job that is late is looked at again after this
)

func (d *Dispatcher) onJob(e Job) {
	if j := d.admit(e, 0); j != nil {
		d.chargeQuota(j)
		d.requestChecks(j)
		d.enqueue(j)
	}
}

// admit takes in a job that first came so long ago; nil: its id is in use, or its class unknown.
func (d *Dispatcher) admit(arrival Job, age time.Duration) *jobInfo {
	isKnownClass := arrival.Class >= 0 && arrival.Class < len(d.settings.Classes)
	if d.jobs[arrival.ID] != nil || !isKnownClass {
		return nil
	}
	job := d.newJob(arrival, age)
	d.observeArrival(job)
	d.jobs[arrival.ID] = job
	d.earnCheckTokens()
	job.bindTimers()
	d.setTimer(&job.deadlineTimer, job.deadline)
	d.setTimer(&job.objectiveTimer, job.objectiveAt-d.fastestRun(job, 0))
	return job
}

// newJob makes the entry of a job that first came so long ago, with its predictions and its objective.
func (d *Dispatcher) newJob(arrival Job, age time.Duration) *jobInfo {
	job := &jobInfo{Job: arrival, class: &d.settings.Classes[arrival.Class], heapIndex: -1}
	job.Slots = max(1, finite(arrival.Slots))
	job.Hint = max(0, arrival.Hint)
	job.demand = max(job.Slots, finite(arrival.Memory))
	job.arrivedAt = d.now - age
	job.deadline = d.now + max(arrival.Remaining, 0)
	job.work = d.expectedWork(job)
	job.objectiveAt = d.objectiveOf(job, age)
	job.longChance = d.longScore(job)
	return job
}

// objectiveOf is the instant until which a job's answer earns in full. A client's retry has the objective of its first
// try, which had the longest time left that its class has seen.
func (d *Dispatcher) objectiveOf(job *jobInfo, age time.Duration) time.Duration {
	full := &d.fullTimeout[job.Class]
	*full = max(*full, min(job.Remaining+age, job.class.ClientTimeout))
	elapsed := max(0, *full-max(job.Remaining, 0))
	firstTryAt := d.now - elapsed
	stretch := seconds(job.class.ObjectiveStretch * job.work)
	return min(firstTryAt+job.class.LatencyObjective+stretch, job.deadline)
}

// observeArrival takes a job into the means over all jobs.
func (d *Dispatcher) observeArrival(job *jobInfo) {
	d.arrivals++
	costRate := max(meanRate, 1/d.arrivals) // the first ones count in full
	d.meanWeight += meanRate * (job.class.PriorityWeight - d.meanWeight)
	d.meanCost += (d.warmUpCost(job) - d.meanCost) * costRate
}

// earnCheckTokens adds what one job pays for health checks: as many as their budget allows at their price.
func (d *Dispatcher) earnCheckTokens() {
	affordable := healthCheckBudget / max(d.settings.HealthCheckCost, 1e-9)
	earned := min(checksPerJob, affordable)
	d.checkTokens = min(d.checkTokens+earned, float64(len(d.workerList)))
}

// chargeQuota demotes a job whose tenant is beyond this dispatcher's share of its quota.
func (d *Dispatcher) chargeQuota(job *jobInfo) {
	isKnownTenant := job.Tenant >= 0 && job.Tenant < len(d.quotaTokens)
	if !isKnownTenant || d.settings.TenantQuota[job.Tenant] <= 0 {
		return
	}
	rate := d.settings.TenantQuota[job.Tenant] * d.quotaShare()
	burst := max(quotaBurstSpan*rate, quotaBurst)
	refill := rate * (d.now - d.quotaRefilledAt[job.Tenant]).Seconds()
	tokens := min(d.quotaTokens[job.Tenant]+refill, burst)
	d.quotaRefilledAt[job.Tenant] = d.now
	if tokens < 1 {
		job.standing = overQuota
	} else {
		tokens--
	}
	d.quotaTokens[job.Tenant] = tokens
}

// finish gives a job its final answer, unless its response has begun.
func (d *Dispatcher) finish(job *jobInfo) {
	if job.closed || job.streaming {
		return
	}
	if d.mayReject(job) {
		remaining := max(0, job.deadline-d.now)
		d.emit(Reject{Job: job.ID, RetryAfter: min(remaining, d.settings.MaxRetryAfter)})
	} else {
		d.emit(Fail{Job: job.ID})
	}
	d.closeJob(job)
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
		job.standing = outOfReach
		d.queue.reorder(job)
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
	isDue := d.trialTokens >= 1 && d.available.idle > 0
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
