package dispatch

import "time"

// Hedging: a job whose first attempt is late is sent to a second worker. If hedging is off, the late attempt
// is cancelled instead, so that the job can be retried. The design does not mention this. Tokens bound the
// load that hedged requests add.

const (
	hedgeTokensPerAttempt = 0.05 // bounds hedges to a fraction of all attempts
	maxReplicaHedgeTokens = 10.0 // capacity of each dispatcher's bucket, if there are few dispatchers
	maxFleetHedgeTokens   = 30.0 // capacity of the buckets of many dispatchers, in total
	hedgeSlackDivisor     = 3    // an unstarted job is hedged after its slack divided by this
)

// overdueAt returns when an attempt becomes overdue. For a started attempt that is the end of its longest
// plausible run. For an unstarted one it is when further waiting puts its job's objective at risk.
func (d *Dispatcher) overdueAt(a *attemptInfo) time.Duration {
	if a.started {
		return a.startedAt + d.workload.maxPlausibleRun(a)
	}
	slack := a.job.objectiveAt - d.now - a.expectedRun
	return d.now + max(d.starts.promptStart(a.job.class), slack/hedgeSlackDivisor)
}

// isStuck reports whether an overdue attempt may be lost. If its worker makes progress with other jobs, the
// attempt is queued there, and if the attempt itself reports progress, its run is merely long. Hedging such
// attempts would add to the load that made them late.
func (d *Dispatcher) isStuck(a *attemptInfo) bool {
	if !a.started {
		return a.worker.activity.progressAt <= a.sentAt
	}
	return d.now >= a.silentAt(&d.settings)
}

// isHedgedEarly reports whether an unstarted attempt is hedged although its worker makes progress. With many
// dispatchers this holds for short idempotent jobs, as no dispatcher knows what the others have queued at a
// worker.
func (d *Dispatcher) isHedgedEarly(a *attemptInfo) bool {
	return d.settings.Replicas > manyReplicas && !a.started && a.job.class.Idempotency == Idempotent &&
		d.workload.isShort(a.job)
}

// maxHedgeTokens returns the capacity of the hedge token bucket. It shrinks as the number of dispatchers
// grows, as their hedges add up.
func (d *Dispatcher) maxHedgeTokens() float64 {
	return max(1, min(maxReplicaHedgeTokens, maxFleetHedgeTokens*d.quotaShare()))
}

// hedgeCost returns the tokens that hedging a job takes: one, or less for a job of less than mean cost if
// there are many dispatchers.
func (d *Dispatcher) hedgeCost(j *jobInfo) float64 {
	if d.settings.Replicas <= manyReplicas {
		return 1
	}
	return min(1, d.arrivals.relativeCost(d.workload.warmUpCost(j)))
}

// chargeHedge adds the tokens for an attempt. If the attempt is a hedge or a retry, that is, not its job's
// first, it also takes the cost of a hedge.
func (d *Dispatcher) chargeHedge(attempt *attemptInfo) {
	d.hedges.add(hedgeTokensPerAttempt, d.maxHedgeTokens())
	if attempt.number > 0 {
		d.hedges.take(d.hedgeCost(attempt.job))
	}
}

// retryElsewhere queues a job that is stuck at one worker for a hedge or, if hedging is off, cancels its
// attempt. It does neither if the job may not be attempted again or if there are too few tokens.
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
