package dispatch

import "time"

// Hedging: a second attempt elsewhere for a job whose first one is late, or where hedging is off, a
// cancelled attempt. The design is silent on it; tokens keep hedges from feeding an overload.

const (
	hedgeTokensPerAttempt = 0.05 // hedges for each attempt, so that they feed no overload
	maxReplicaHedgeTokens = 10.0 // saved up, by each of a few dispatchers
	maxFleetHedgeTokens   = 30.0 // and by all of many
	hedgeSlackDivisor     = 3    // unstarted for its slack divided by this, a job is hedged
)

// dueAt is when an attempt should have ended; before it starts, when waiting endangers its job's objective.
func (d *Dispatcher) dueAt(a *attemptInfo) time.Duration {
	if a.started {
		return a.startedAt + d.maxPlausibleRun(a)
	}
	slack := a.job.objectiveAt - d.now - a.expectedRun
	return d.now + max(d.starts.promptStart(a.job.class), slack/hedgeSlackDivisor)
}

// isStuck tells whether an overdue attempt may be lost. One whose worker gets on with others is queued there,
// one that tells of progress is long: hedging them would add to the load that made them late.
func (d *Dispatcher) isStuck(a *attemptInfo) bool {
	if !a.started {
		return a.worker.activity.progressAt <= a.sentAt
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
	return max(1, min(maxReplicaHedgeTokens, maxFleetHedgeTokens*d.quotaShare()))
}

// hedgeCost is what a hedge takes of the tokens: with many dispatchers, by its work.
func (d *Dispatcher) hedgeCost(j *jobInfo) float64 {
	if d.settings.Replicas <= manyReplicas {
		return 1
	}
	return min(1, d.warmUpCost(j)/(d.meanCost+1e-9))
}

// chargeHedge earns tokens for an attempt, and takes them for one that is not the first of its job.
func (d *Dispatcher) chargeHedge(attempt *attemptInfo) {
	d.hedgeTokens = min(d.hedgeTokens+hedgeTokensPerAttempt, d.maxHedgeTokens())
	if attempt.number > 0 {
		d.hedgeTokens -= d.hedgeCost(attempt.job)
	}
}

// retryElsewhere hedges a job that is stuck on one worker or, where hedging is off, cancels its attempt.
func (d *Dispatcher) retryElsewhere(job *jobInfo) {
	if job.closed || job.inFlight > 1 || len(job.attempts) >= max(2, d.settings.AttemptLimit-1) ||
		job.class.Idempotency == NonIdempotent || d.hedgeTokens < d.hedgeCost(job) {
		return
	}
	canEarn := !d.lateHasNoUtility(job) || d.now+d.fastestRun(job, 0) <= job.objectiveAt
	switch {
	case d.settings.Hedging:
		d.enqueue(job)
	case d.settings.Cancellation && job.class.Idempotency == Idempotent && canEarn:
		d.cancelAttempts(job)
	}
}
