package dispatch

import (
	"slices"
	"time"
)

// Retries and hedged requests.
const (
	hedgeRate          = 0.05 // hedges for each attempt, so that they feed no overload
	hedgeBurst         = 10.0 // saved up, by each of a few dispatchers
	fleetHedgeBurst    = 30.0 // and by all of many
	slackDivisor       = 3    // unstarted for its slack divided by this, a job is hedged
	dedupMarginDivisor = 20   // this part of a deduplication window is left for delays, or repeatMargin if it is more
	careDivisor        = 4    // jobs not safe to repeat accept connections idle for this part of the time
)

// repeatMargin is what may pass between the choice of a worker and the last byte there, besides connecting: the process may be held
// up for 150 ms, a request goes in parts for 50 ms at most, and the rest is for the way.
const repeatMargin = 210 * time.Millisecond

// provesNotExecuted are the results of attempts that ran nothing.
var provesNotExecuted = [...]bool{WorkerFull: true, ConnectFailed: true, NotSent: true}

func (a *attemptInfo) possiblyExecuted() bool {
	return !a.ended || int(a.result) >= len(provesNotExecuted) || !provesNotExecuted[a.result]
}

// mayAttempt is the one place that knows when a worker may be sent a job, for the first time or again.
func (d *Dispatcher) mayAttempt(j *jobInfo, w *workerInfo) bool {
	if j.closed || j.streaming || d.now >= j.deadline || d.isAtLimit(j) ||
		j.inFlight > 0 && !d.settings.Hedging {
		return false
	}
	return !slices.ContainsFunc(j.attempts, func(a *attemptInfo) bool {
		return !a.ended && a.worker == w || a.possiblyExecuted() && !d.mayRepeat(j.class, a, w)
	})
}

// mayRepeat tells whether a worker may be sent the job of an attempt that was possibly executed.
func (d *Dispatcher) mayRepeat(class *Class, a *attemptInfo, w *workerInfo) bool {
	if class.Idempotency != IdempotentWithKey {
		return class.Idempotency == Idempotent
	}
	scope := class.DeduplicationScope
	if scope == ScopeZone && a.zone != w.Zone || scope == ScopeCell && a.cell != w.Cell {
		return false
	}
	margin := max(class.DeduplicationWindow/dedupMarginDivisor, d.settings.ConnectTimeout+repeatMargin)
	return d.now-a.sentAt < class.DeduplicationWindow-margin
}

// mayReject tells whether the client may be told that another try is harmless.
func (d *Dispatcher) mayReject(j *jobInfo) bool {
	return j.class.Idempotency == Idempotent ||
		j.class.Idempotency == IdempotentWithKey && j.class.DeduplicationScope == ScopeAll ||
		!slices.ContainsFunc(j.attempts, (*attemptInfo).possiblyExecuted)
}

func (d *Dispatcher) isAtLimit(j *jobInfo) bool {
	return len(j.attempts) >= max(1, d.settings.AttemptLimit)
}

func (d *Dispatcher) send(job *jobInfo, worker *workerInfo) {
	attempt := d.newAttempt(job, worker, d.now)
	d.addAttempt(attempt)
	attempt.limitBound = worker.usedSlots+1 > worker.limit
	d.chargeWarmUp(attempt)
	d.hedgeTokens = min(d.hedgeTokens+hedgeRate, d.maxHedgeTokens())
	if attempt.number > 0 {
		d.hedgeTokens -= d.hedgeCost(job)
	}
	if d.isEjected(worker) {
		d.nextTrialAt = d.now + trialInterval
	}
	d.pilotSentAt, worker.uncordonedAt = d.now, 0
	d.guardConnection(attempt)
	d.emit(Send{Job: job.ID, Worker: worker.ID})
	d.setTimer(&attempt.timer, d.dueAt(attempt))
}

// dueAt is when an attempt should have ended; before it starts, when waiting endangers its job's objective.
func (d *Dispatcher) dueAt(a *attemptInfo) time.Duration {
	if a.started {
		return a.startedAt + d.maxPlausibleRun(a)
	}
	slack := a.job.objectiveAt - d.now - a.expectedRun
	return d.now + max(d.promptStart(a.job.class), slack/slackDivisor)
}

// guardConnection guards against connections dropped unseen while idle: what is sent on one is lost. Those
// idle for longer than has lately gone well are closed first.
func (d *Dispatcher) guardConnection(attempt *attemptInfo) {
	worker, maxIdle, idle := attempt.worker, d.maxIdle, d.now-attempt.worker.lastEndAt
	if attempt.job.class.Idempotency != Idempotent {
		maxIdle /= careDivisor
	}
	if d.settings.ConnIdleTimeout > 0 && idle >= d.settings.ConnIdleTimeout {
		worker.connections = min(worker.connections, len(worker.inFlight)-1)
	}
	if worker.connections < len(worker.inFlight) { // a new one is opened
		worker.connections = len(worker.inFlight)
		return
	}
	attempt.connIdle = idle
	if d.maxIdle > 0 && idle > maxIdle {
		d.emit(CloseIdleConnections{Worker: worker.ID})
		attempt.connIdle, worker.connections = 0, len(worker.inFlight)
	}
}

// onStarted takes in a start. Other attempts of the job, and those of ended jobs, are not cancelled: workers
// go on with what is cancelled but tell nothing of it. We would count capacity that is not there.
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
		d.dequeue(job) // no further attempt is needed
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

// observeStartDelay learns from how soon an attempt started, and adjusts its worker's limit. A late start tells nothing
// where this process was stalled meanwhile.
func (d *Dispatcher) observeStartDelay(attempt *attemptInfo) {
	delay := d.now - attempt.sentAt
	isPrompt := delay <= d.promptStart(attempt.job.class)
	d.minStartDelay = min(d.minStartDelay, delay)
	if !isPrompt && d.spansStall(attempt) {
		return
	}
	d.adjustLimit(attempt, isPrompt)
	if !isPrompt {
		d.meanLateStart += (delay - d.meanLateStart) / lateStartDivisor
	}
}

// isStuck tells whether an overdue attempt may be lost. One whose worker gets on with others is queued there,
// one that tells of progress is long: hedging them would add to the load that made them late.
func (d *Dispatcher) isStuck(a *attemptInfo) bool {
	if !a.started {
		return a.worker.progressAt <= a.sentAt
	}
	return d.now >= a.silentAt(&d.settings)
}

// isHedgedEarly hedges short jobs of many dispatchers: none knows what the others have queued at a worker.
func (d *Dispatcher) isHedgedEarly(a *attemptInfo) bool {
	return d.settings.Replicas > manyReplicas && !a.started && a.job.class.Idempotency == Idempotent &&
		d.isShort(a.job)
}

// maxHedgeTokens is how many hedges may be saved up: those of all dispatchers together feed an overload too.
func (d *Dispatcher) maxHedgeTokens() float64 {
	return max(1, min(hedgeBurst, fleetHedgeBurst*d.quotaShare()))
}

// retryElsewhere hedges a job that is stuck on one worker or, where hedging is off, cancels its attempt.
func (d *Dispatcher) retryElsewhere(job *jobInfo) {
	if job.closed || job.inFlight > 1 || len(job.attempts) >= max(2, d.settings.AttemptLimit-1) ||
		job.class.Idempotency == NonIdempotent || d.hedgeTokens < d.hedgeCost(job) {
		return
	}
	canEarn := !d.lateIsWorthless(job) || d.now+d.fastestRun(job, 0) <= job.objectiveAt
	switch {
	case d.settings.Hedging:
		d.enqueue(job)
	case d.settings.Cancellation && job.class.Idempotency == Idempotent && canEarn:
		d.cancelAttempts(job)
	}
}

// onOutcome takes in the end of an attempt: its job ends, or is queued for another one.
func (d *Dispatcher) onOutcome(outcome Outcome) {
	attempt := d.findInFlight(outcome.Job, outcome.Attempt, outcome.Worker)
	if attempt == nil {
		return
	}
	job := attempt.job
	d.endAttempt(attempt, outcome)
	if !attempt.orphaned { // else it tells of a process that has gone
		d.onResult(attempt)
	}
	d.forgetWorker(attempt.worker)
	if job.recheckOnEnd && !job.closed { // in flight at its objective, it was not looked at again
		job.recheckOnEnd = false
		d.setTimer(&job.objectiveTimer, d.now)
	}
	if outcome.Closed || job.closed || outcome.Result == OK {
		d.closeJob(job)
	} else {
		d.requeue(job)
	}
}

// requeue queues a job for a further attempt, where none is in flight and one may be made.
func (d *Dispatcher) requeue(j *jobInfo) {
	switch {
	case j.heapIndex >= 0 || j.inFlight > 0:
	case d.isAtLimit(j) || j.class.Idempotency == NonIdempotent && !d.mayReject(j):
		d.finish(j)
	default:
		d.enqueue(j)
	}
}
