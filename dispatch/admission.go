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
	if d.jobs[arrival.ID] != nil || arrival.Class < 0 || arrival.Class >= len(d.settings.Classes) {
		return nil
	}
	class, remaining := &d.settings.Classes[arrival.Class], max(arrival.Remaining, 0)
	job := &jobInfo{Job: arrival, class: class, heapIndex: -1}
	job.arrivedAt, job.deadline = d.now-age, d.now+remaining
	job.Slots, job.Hint = max(1, finite(arrival.Slots)), max(0, arrival.Hint)
	job.demand = max(job.Slots, finite(arrival.Memory))
	job.work = d.expectedWork(job)
	// A retry has the objective of its first try, which had the longest time left that its class has seen.
	full := &d.fullTimeout[arrival.Class]
	*full = max(*full, min(arrival.Remaining+age, class.ClientTimeout))
	firstTryAt := d.now - max(0, *full-remaining)
	stretch := seconds(class.ObjectiveStretch * job.work)
	job.objectiveAt = min(firstTryAt+class.LatencyObjective+stretch, job.deadline)
	job.longChance = d.longScore(job)
	d.arrivals++
	d.meanWeight += meanRate * (class.PriorityWeight - d.meanWeight)
	d.meanCost += (d.warmUpCost(job) - d.meanCost) * max(meanRate, 1/d.arrivals)
	d.jobs[arrival.ID] = job
	checks := min(checksPerJob, healthCheckBudget/max(d.settings.HealthCheckCost, 1e-9))
	d.checkTokens = min(d.checkTokens+checks, float64(len(d.workerList)))
	job.bindTimers()
	d.setTimer(&job.deadlineTimer, job.deadline)
	d.setTimer(&job.objectiveTimer, job.objectiveAt-d.fastestRun(job, 0))
	return job
}

// chargeQuota demotes a job whose tenant is beyond this dispatcher's share of its quota.
func (d *Dispatcher) chargeQuota(j *jobInfo) {
	if j.Tenant < 0 || j.Tenant >= len(d.quotaTokens) || d.settings.TenantQuota[j.Tenant] <= 0 {
		return
	}
	tokens, rate := &d.quotaTokens[j.Tenant], d.settings.TenantQuota[j.Tenant]*d.quotaShare()
	refill := rate * (d.now - d.quotaRefilledAt[j.Tenant]).Seconds()
	*tokens = min(*tokens+refill, max(quotaBurstSpan*rate, quotaBurst))
	d.quotaRefilledAt[j.Tenant] = d.now
	if *tokens < 1 {
		j.standing = overQuota
		return
	}
	*tokens--
}

// finish gives a job its final answer, unless its response has begun.
func (d *Dispatcher) finish(j *jobInfo) {
	if j.closed || j.streaming {
		return
	}
	if d.mayReject(j) {
		d.emit(Reject{Job: j.ID, RetryAfter: min(max(0, j.deadline-d.now), d.settings.MaxRetryAfter)})
	} else {
		d.emit(Fail{Job: j.ID})
	}
	d.closeJob(j)
}

// onObjectivePassed acts when no worker could meet an unstarted job's objective any more. It demotes the job,
// as all would wait past tau else, or rejects it in time where a late answer is worthless.
func (d *Dispatcher) onObjectivePassed(job *jobInfo) {
	// What runs, or is in flight for one of many dispatchers, goes on: its client would only come again.
	job.recheckOnEnd = d.settings.Replicas > manyReplicas && job.inFlight > 0 || job.isRunning()
	worthless := d.lateIsWorthless(job)
	if job.closed || job.recheckOnEnd || job.standing == outOfReach && !worthless {
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
func (d *Dispatcher) isOutOfReach(j *jobInfo) bool {
	return j.standing == outOfReach && j.inFlight == 0 || d.now+d.fastestRun(j, reachSpreads) > j.objectiveAt
}

// takeTrial lets some go all the same while workers idle: what rejects jobs must not prevent its correction.
func (d *Dispatcher) takeTrial(j *jobInfo) bool {
	d.trialTokens += trialRate
	if j.standing == outOfReach || d.trialTokens < 1 || d.available.idle == 0 {
		d.trialTokens = min(d.trialTokens, trialBurst)
		return false
	}
	d.trialTokens--
	return true
}

// lateIsWorthless tells whether a late answer earns less than its miss costs under the miss budget.
func (d *Dispatcher) lateIsWorthless(j *jobInfo) bool {
	tail, late := d.settings.TailShare, j.class.LateValue
	return late <= 0 || tail > 0 && late*(1-tail)*missCostSlope*d.settings.MissBudget <= tail
}
