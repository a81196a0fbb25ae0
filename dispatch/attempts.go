package dispatch

// Attempts: sending a job to a worker, and the state that changes when an attempt starts. In the design a
// worker's room grows when the start notification of a job arrives promptly.

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

// handleStarted processes the start of an attempt. It cancels neither other attempts of the job nor attempts
// of closed jobs: a worker goes on with a cancelled attempt but sends no more notifications, so that its
// slots would wrongly count as free.
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

// markStarted records the start of an attempt with the attempt and its worker.
func (d *Dispatcher) markStarted(attempt *attemptInfo) {
	attempt.started = true
	attempt.startedAt = d.now
	d.markAlive(attempt.worker)
	attempt.progressAt = d.now
	attempt.worker.activity.progressAt = d.now
	d.starts.handleStarted(attempt.sentAt)
}

// observeStartDelay updates the start delays and the worker's limit when an attempt starts. If this process
// stalled while the attempt was in flight, a late start changes neither the limit nor the mean late delay.
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

// handleProgressed processes a progress notification of an attempt, which also implies its start: the start
// notification may have been lost.
func (d *Dispatcher) handleProgressed(attempt *attemptInfo) {
	if attempt == nil {
		return
	}
	d.handleStarted(attempt)
	attempt.progressAt = d.now
	attempt.worker.activity.progressAt = d.now
}

// mayBeDeduplicated reports whether the worker may drop an attempt as a duplicate of an earlier one. It then
// sends no start notification, as the attempt waits for the result of the earlier one's run.
func (a *attemptInfo) mayBeDeduplicated() bool {
	return a.job.class.Idempotency == IdempotentWithKey &&
		slices.ContainsFunc(a.job.attempts[:a.number], (*attemptInfo).possiblyExecuted)
}

// silentAt returns when a running attempt counts as silent: one and a half intervals of progress
// notifications after its latest notification.
func (a *attemptInfo) silentAt(settings *Settings) time.Duration {
	return a.progressAt + settings.ProgressInterval*3/2
}
