package dispatch

// Attempts: sending a job to a worker, and what the start of an attempt changes. By the design room
// grows when a job starts promptly, by the notification of its start.

import (
	"slices"
	"time"
)

// send starts an attempt of a job at a worker.
func (d *Dispatcher) send(job *jobInfo, worker *workerInfo) *attemptInfo {
	attempt := d.newAttempt(job, worker, d.now)
	d.addAttempt(attempt)
	attempt.sentAtLimit = worker.slots.used+1 > worker.slots.limit
	d.slowStart.handleSent(attempt, d.now)
	d.chargeHedge(attempt)
	d.outliers.handleSent(worker, d.now)
	d.starts.handleSent(d.now)
	worker.uncordonedAt = 0
	if d.idleConnections.prepare(attempt, d.settings.ConnIdleTimeout, d.now) {
		d.emit(CloseIdleConnections{Worker: worker.ID})
	}
	d.emit(Send{Job: job.ID, Worker: worker.ID})
	d.setTimer(&attempt.timer, d.overdueAt(attempt))
	return attempt
}

// handleStarted processes the start of an attempt. Other attempts of the job, and those of jobs that
// are closed, are not cancelled: a worker goes on with what is cancelled but notifies of nothing, and
// its slots would count as free.
func (d *Dispatcher) handleStarted(attempt *attemptInfo) {
	if attempt == nil || attempt.started {
		return
	}
	job, worker := attempt.job, attempt.worker
	d.markStarted(attempt)
	d.idleConnections.observe(attempt.connectionIdle, true, d.now)
	d.observeStartDelay(attempt)
	worker.slots.running += job.Slots
	d.observeSlots(worker, worker.slots.running)
	d.setTimer(&attempt.timer, d.overdueAt(attempt))
	if !job.closed {
		d.queue.remove(job) // no further attempt is needed
		d.leases.client.withdraw(job)
	}
}

// markStarted updates an attempt and its worker by the attempt's start.
func (d *Dispatcher) markStarted(attempt *attemptInfo) {
	attempt.started = true
	attempt.startedAt = d.now
	d.markAlive(attempt.worker)
	attempt.progressAt = d.now
	attempt.worker.activity.progressAt = d.now
	d.starts.handleStarted(attempt.sentAt)
}

// observeStartDelay updates the start delays and the worker's limit by the start of an attempt. A late
// start shows nothing if this process was stalled meanwhile.
func (d *Dispatcher) observeStartDelay(attempt *attemptInfo) {
	delay := d.now - attempt.sentAt
	isPrompt := delay <= d.starts.promptStart(attempt.job.class)
	d.leases.client.reportStart(attempt, isPrompt)
	d.starts.observeDelay(delay)
	if !isPrompt && d.stalls.spans(attempt) {
		return
	}
	d.adjustLimit(attempt, isPrompt)
	if !isPrompt {
		d.starts.observeLateDelay(delay)
	}
}

// handleProgressed processes the progress of an attempt. The notification of its start may have been lost.
func (d *Dispatcher) handleProgressed(attempt *attemptInfo) {
	if attempt == nil {
		return
	}
	d.handleStarted(attempt)
	attempt.progressAt = d.now
	attempt.worker.activity.progressAt = d.now
}

// mayBeDeduplicated reports whether the worker may drop an attempt as a repetition: no start is notified then,
// as the attempt waits for the result of the run of an earlier one.
func (a *attemptInfo) mayBeDeduplicated() bool {
	return a.job.class.Idempotency == IdempotentWithKey &&
		slices.ContainsFunc(a.job.attempts[:a.number], (*attemptInfo).possiblyExecuted)
}

// silentAt returns the instant at which a running attempt has been silent for too long: for one and a half
// intervals of progress notifications.
func (a *attemptInfo) silentAt(settings *Settings) time.Duration {
	return a.progressAt + settings.ProgressInterval*3/2
}
