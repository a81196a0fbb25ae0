package dispatch

// Attempts: sending a job, and what its start teaches. The design learns from starts whether a worker has
// room.

func (d *Dispatcher) send(job *jobInfo, worker *workerInfo) *attemptInfo {
	attempt := d.newAttempt(job, worker, d.now)
	d.addAttempt(attempt)
	attempt.limitBound = worker.usedSlots+1 > worker.limit
	d.chargeWarmUp(attempt)
	d.hedges.add(hedgeTokensPerAttempt, d.maxHedgeTokens())
	if attempt.number > 0 {
		d.hedges.take(d.hedgeCost(job))
	}
	if d.isEjected(worker) {
		d.nextTrialAt = d.now + trialInterval
	}
	d.pilotSentAt, worker.uncordonedAt = d.now, 0
	d.guardConnection(attempt)
	d.emit(Send{Job: job.ID, Worker: worker.ID})
	d.setTimer(&attempt.timer, d.dueAt(attempt))
	return attempt
}

// onStarted takes in a start. Other attempts of the job, and those of ended jobs, are not cancelled:
// workers go on with what is cancelled but tell nothing of it. We would count capacity that is not there.
func (d *Dispatcher) onStarted(attempt *attemptInfo) {
	if attempt == nil || attempt.started {
		return
	}
	job, worker := attempt.job, attempt.worker
	d.markStarted(attempt)
	d.observeIdleConnection(attempt, true)
	d.observeStartDelay(attempt)
	worker.runningSlots += job.Slots
	d.observeSlots(worker, worker.runningSlots)
	d.setTimer(&attempt.timer, d.dueAt(attempt))
	if !job.closed {
		d.queue.remove(job) // no further attempt is needed
		d.leases.client.withdraw(job)
	}
}

// markStarted enters a start with the attempt and its worker.
func (d *Dispatcher) markStarted(attempt *attemptInfo) {
	attempt.started = true
	attempt.startedAt = d.now
	d.markAlive(attempt.worker)
	attempt.progressAt = d.now
	attempt.worker.progressAt = d.now
	if attempt.sentAt == d.pilotSentAt {
		d.pilotSentAt = 0
	}
}

// observeStartDelay learns from how soon an attempt started, and adjusts its worker's limit. A late start
// tells nothing where this process was stalled meanwhile.
func (d *Dispatcher) observeStartDelay(attempt *attemptInfo) {
	delay := d.now - attempt.sentAt
	isPrompt := delay <= d.promptStart(attempt.job.class)
	d.leases.client.reportStart(attempt, isPrompt)
	d.minStartDelay = min(d.minStartDelay, delay)
	if !isPrompt && d.spansStall(attempt) {
		return
	}
	d.adjustLimit(attempt, isPrompt)
	if !isPrompt {
		d.meanLateStart += (delay - d.meanLateStart) / lateStartDivisor
	}
}
