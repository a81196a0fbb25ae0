package baseline

import (
	"valvecove/dispatch"
)

// addJob adds a job that arrived, and offers it to the policy.
func (b *base) addJob(arrival dispatch.Job) {
	if b.jobs[arrival.ID] != nil || arrival.Class < 0 || arrival.Class >= len(b.settings.Classes) {
		return
	}
	added := &job{Job: arrival, class: &b.settings.Classes[arrival.Class]}
	added.At = b.now + max(arrival.Remaining, 0)
	added.Slots = max(1, arrival.Slots)
	// A client's retry has less remaining time than its first request, but its objective still counts from the first request.
	longest := &b.maxRemaining[arrival.Class]
	*longest = max(*longest, min(arrival.Remaining, added.class.ClientTimeout))
	added.arrivedAt = b.now - max(0, *longest-max(arrival.Remaining, 0))
	objective := added.class.LatencyObjective + seconds(added.class.ObjectiveStretch*b.estimateWork(added))
	added.objective = min(added.arrivedAt+objective, added.At)
	b.jobs[arrival.ID] = added
	b.deadlines.Add(added)
	b.offer(added)
}

// estimateWork returns the estimated work of a job in seconds: its hint or, if it has none, the work for which
// ObjectiveStretch allows half of the client's timeout.
func (b *base) estimateWork(job *job) float64 {
	if job.Hint > 0 {
		return job.Hint.Seconds()
	}
	return job.class.ClientTimeout.Seconds() / 2 / max(job.class.ObjectiveStretch, 1)
}

// retryOrFail offers a job whose attempt has ended to the policy again, or fails it if the rules allow no further attempt.
func (b *base) retryOrFail(job *job) {
	switch {
	case job.inFlight > 0 || job.queueIndex > 0:
	case !b.allowsAttempt(job) || job.class.Idempotency == dispatch.NonIdempotent && job.possiblyExecuted():
		b.failJob(job)
	default:
		b.offer(job)
	}
}

// failJob ends a job without a result: it is rejected if the client may retry, and fails otherwise.
func (b *base) failJob(job *job) {
	if job.closed {
		return
	}
	class := job.class
	isRepeatable := class.Idempotency == dispatch.Idempotent ||
		class.Idempotency == dispatch.IdempotentWithKey && class.DeduplicationScope == dispatch.ScopeAll
	if isRepeatable || !job.possiblyExecuted() {
		b.emit(dispatch.Reject{Job: job.ID, RetryAfter: min(retryAfter, b.settings.MaxRetryAfter)})
	} else {
		b.emit(dispatch.Fail{Job: job.ID})
	}
	b.closeJob(job)
}

// closeJob marks a job as ended for its client. The job is removed once no attempt is in flight.
func (b *base) closeJob(job *job) {
	if job == nil {
		return
	}
	if !job.closed {
		job.closed = true
		b.deadlines.Remove(job)
		b.drop(job)
	}
	if job.inFlight == 0 {
		delete(b.jobs, job.ID)
	}
}
