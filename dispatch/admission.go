package dispatch

// Admission creates a job's entry with its predictions, and gives the job its final answer. The design says:
// each dispatcher holds unsent jobs in a min-heap, each stamped with arrival time and a score.

import "time"

func (d *Dispatcher) handleJob(arrival Job) {
	job := d.admit(arrival, 0)
	if job == nil {
		return
	}
	d.chargeQuota(job)
	d.requestChecks(job)
	d.enqueue(job)
}

// admit adds a job to the open jobs. age is the time since its first arrival, at this or another dispatcher.
// It returns nil if the ID is already in use or the class is unknown.
func (d *Dispatcher) admit(arrival Job, age time.Duration) *jobInfo {
	isKnownClass := arrival.Class >= 0 && arrival.Class < len(d.settings.Classes)
	if d.jobs[arrival.ID] != nil || !isKnownClass {
		return nil
	}
	job := d.newJob(arrival, age)
	d.arrivals.observe(job.class.PriorityWeight, d.workload.warmUpCost(job))
	d.jobs[arrival.ID] = job
	d.checks.addTokens(len(d.fleet.workers))
	job.bindTimers()
	d.setTimer(&job.deadlineTimer, job.deadline)
	d.setTimer(&job.objectiveTimer, job.objectiveAt-d.workload.fastestRun(job, 0))
	return job
}

// newJob returns the entry of a job, with its predictions and its objective.
func (d *Dispatcher) newJob(arrival Job, age time.Duration) *jobInfo {
	job := &jobInfo{Job: arrival, class: &d.settings.Classes[arrival.Class], heapIndex: -1}
	job.Slots = max(1, finiteOrZero(arrival.Slots))
	job.Hint = max(0, arrival.Hint)
	job.demand = max(job.Slots, finiteOrZero(arrival.Memory))
	job.arrivedAt = d.now - age
	job.deadline = d.now + max(arrival.Remaining, 0)
	job.work = d.workload.expectedWork(job)
	job.objectiveAt = d.objectiveOf(job, age)
	job.longProbability = d.workload.longProbability(job)
	return job
}

// finish gives a job its final answer, unless it is closed or its response has begun. The answer is a
// rejection if the client may safely retry, else a failure.
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
