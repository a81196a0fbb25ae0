package dispatch

import "time"

// Hedging: a second attempt at another worker for a job whose first one is late, or, where hedging is off,
// cancellation of the attempt. The design does not mention it. Tokens bound the load that hedges add.

const (
	hedgeTokensPerAttempt = 0.05 // bounds hedges to a part of all attempts
	maxReplicaHedgeTokens = 10.0 // saved by each of a few dispatchers
	maxFleetHedgeTokens   = 30.0 // saved by all of many dispatchers together
	hedgeSlackDivisor     = 3    // an unstarted job is hedged after its slack divided by this
)

// overdueAt returns when an attempt is overdue: once started, when it should have ended; before, when
// waiting further endangers its job's objective.
func (d *Dispatcher) overdueAt(a *attemptInfo) time.Duration {
	if a.started {
		return a.startedAt + d.workload.maxPlausibleRun(a)
	}
	slack := a.job.objectiveAt - d.now - a.expectedRun
	return d.now + max(d.starts.promptStart(a.job.class), slack/hedgeSlackDivisor)
}

// isStuck reports whether an overdue attempt may be lost. One whose worker progresses with other jobs
// is queued there, and one that notifies of progress is long: hedging them would add to the load that
// made them late.
func (d *Dispatcher) isStuck(a *attemptInfo) bool {
	if !a.started {
		return a.worker.activity.progressAt <= a.sentAt
	}
	return d.now >= a.silentAt(&d.settings)
}

// isHedgedEarly reports whether an attempt is hedged although its worker progresses: with many
// dispatchers, of short jobs, as none knows what the others have queued at a worker.
func (d *Dispatcher) isHedgedEarly(a *attemptInfo) bool {
	return d.settings.Replicas > manyReplicas && !a.started && a.job.class.Idempotency == Idempotent &&
		d.workload.isShort(a.job)
}

// maxHedgeTokens returns how many hedges may be saved. It shrinks with the number of dispatchers, as
// the hedges of all of them add load together.
func (d *Dispatcher) maxHedgeTokens() float64 {
	return max(1, min(maxReplicaHedgeTokens, maxFleetHedgeTokens*d.quotaShare()))
}

// hedgeCost returns the tokens that hedging a job takes: with many dispatchers fewer for a small one.
func (d *Dispatcher) hedgeCost(j *jobInfo) float64 {
	if d.settings.Replicas <= manyReplicas {
		return 1
	}
	return min(1, d.arrivals.relativeCost(d.workload.warmUpCost(j)))
}

// chargeHedge adds tokens for an attempt, and takes those of a hedge or retry for one that is not its
// job's first.
func (d *Dispatcher) chargeHedge(attempt *attemptInfo) {
	d.hedges.add(hedgeTokensPerAttempt, d.maxHedgeTokens())
	if attempt.number > 0 {
		d.hedges.take(d.hedgeCost(attempt.job))
	}
}

// retryElsewhere hedges a job that is stuck on one worker or, where hedging is off, cancels its attempt.
func (d *Dispatcher) retryElsewhere(job *jobInfo) {
	hasAttemptsLeft := !d.isAtAttemptLimit(job) && len(job.attempts) < max(2, d.settings.AttemptLimit-1)
	if job.closed || job.inFlight > 1 || !hasAttemptsLeft || job.class.Idempotency == NonIdempotent {
		return
	}
	if !d.hedges.has(d.hedgeCost(job)) {
		return
	}
	hasUtility := !d.lateHasNoUtility(job) || d.now+d.workload.fastestRun(job, 0) <= job.objectiveAt
	switch {
	case d.settings.Hedging:
		d.enqueue(job)
	case d.settings.Cancellation && job.class.Idempotency == Idempotent && hasUtility:
		d.cancelAttempts(job)
	}
}
