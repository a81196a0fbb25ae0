package dispatch

// Admission. The paper and the design hold jobs that are not sent yet in a heap, each with its arrival
// and its score: this file makes a job's entry with its predictions, and gives a job its final answer.

import "time"

func (d *Dispatcher) handleJob(e Job) {
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
	d.checks.earn(d.settings.HealthCheckCost, len(d.fleet.workers))
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

// observeArrival takes a job into the means over all jobs.
func (d *Dispatcher) observeArrival(job *jobInfo) {
	d.arrivals++
	costRate := max(slowMeanGain, 1/d.arrivals) // the first ones count in full
	d.meanWeight += slowMeanGain * (job.class.PriorityWeight - d.meanWeight)
	d.meanCost += (d.warmUpCost(job) - d.meanCost) * costRate
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
