package dispatch

import (
	"slices"
	"time"
)

// Retries: whether a worker may be sent a job, for the first time or again, and what happens to the job after
// an attempt has ended. The design does not mention retries; the rules follow from the idempotency of the
// job's class.

// windowMarginDivisor sets the margin for delays at the end of a deduplication window: the window divided by
// this, or the connect timeout plus repeatMargin if that is longer.
const windowMarginDivisor = 20

// repeatMargin is the longest time from the choice of a worker to the arrival of the request's last byte
// there, without the time to connect: 150 ms for a stall of the process, 50 ms for a request that is written
// in parts, and the rest for transmission.
const repeatMargin = 210 * time.Millisecond

// provesNotExecuted marks the results which prove that an attempt was not executed.
var provesNotExecuted = [...]bool{WorkerFull: true, ConnectFailed: true, NotSent: true}

func (a *attemptInfo) possiblyExecuted() bool {
	return !a.ended || int(a.result) >= len(provesNotExecuted) || !provesNotExecuted[a.result]
}

// mayAttempt reports whether a worker may be sent a job, for the first time or again. No other function
// decides this.
func (d *Dispatcher) mayAttempt(j *jobInfo, w *workerInfo) bool {
	if j.closed || j.streaming || d.now >= j.deadline || d.isAtAttemptLimit(j) ||
		j.inFlight > 0 && !d.settings.Hedging {
		return false
	}
	return !slices.ContainsFunc(j.attempts, func(a *attemptInfo) bool {
		return !a.ended && a.worker == w || a.possiblyExecuted() && !d.mayRepeat(j.class, a, w)
	})
}

// mayRepeat reports whether a worker may be sent the job of an attempt that was possibly executed.
func (d *Dispatcher) mayRepeat(class *Class, a *attemptInfo, w *workerInfo) bool {
	if class.Idempotency != IdempotentWithKey {
		return class.Idempotency == Idempotent
	}
	scope := class.DeduplicationScope
	if scope == ScopeZone && a.zone != w.Zone || scope == ScopeCell && a.cell != w.Cell {
		return false
	}
	margin := max(class.DeduplicationWindow/windowMarginDivisor, d.settings.ConnectTimeout+repeatMargin)
	return d.now-a.sentAt < class.DeduplicationWindow-margin
}

// mayReject reports whether a job may be rejected. A rejection promises the client that a retry is safe.
func (d *Dispatcher) mayReject(j *jobInfo) bool {
	return j.class.Idempotency == Idempotent ||
		j.class.Idempotency == IdempotentWithKey && j.class.DeduplicationScope == ScopeAll ||
		!slices.ContainsFunc(j.attempts, (*attemptInfo).possiblyExecuted)
}

func (d *Dispatcher) isAtAttemptLimit(j *jobInfo) bool {
	return len(j.attempts) >= max(1, d.settings.AttemptLimit)
}

// handleOutcome applies the end of an attempt: its job ends, or is queued for another attempt.
func (d *Dispatcher) handleOutcome(outcome Outcome) {
	attempt := d.findInFlight(outcome.Job, outcome.Attempt, outcome.Worker)
	if attempt == nil {
		return
	}
	job := attempt.job
	d.endAttempt(attempt, outcome)
	if !attempt.orphaned { // else the result is that of an earlier process of the worker
		d.handleResult(attempt)
	}
	d.forgetWorker(attempt.worker)
	if job.recheckOnEnd && !job.closed {
		job.recheckOnEnd = false
		d.setTimer(&job.objectiveTimer, d.now)
	}
	if outcome.Closed || job.closed || outcome.Result == OK {
		d.closeJob(job)
	} else {
		d.requeue(job)
	}
}

// requeue queues a job for a further attempt if none is in flight. A job that may not be attempted again is
// finished.
func (d *Dispatcher) requeue(j *jobInfo) {
	switch {
	case j.heapIndex >= 0 || j.inFlight > 0:
	case d.isAtAttemptLimit(j) || j.class.Idempotency == NonIdempotent && !d.mayReject(j):
		d.finish(j)
	default:
		d.enqueue(j)
	}
}
