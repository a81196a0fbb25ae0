package baseline

import (
	"slices"

	"valvecove/dispatch"
)

// possiblyExecuted reports whether any attempt of the job was possibly executed.
func (j *job) possiblyExecuted() bool {
	return slices.ContainsFunc(j.attempts, (*attempt).possiblyExecuted)
}

// possiblyExecuted reports whether the worker may have executed the attempt: no result proves that it did not.
func (a *attempt) possiblyExecuted() bool {
	return !a.ended || a.result != dispatch.WorkerFull && a.result != dispatch.ConnectFailed && a.result != dispatch.NotSent
}

// wasSentTo reports whether the job was sent to a worker before.
func (j *job) wasSentTo(target *worker) bool {
	return slices.ContainsFunc(j.attempts, func(earlier *attempt) bool { return earlier.worker == target })
}

// isAllowed reports whether the rules allow a job to be sent to a ready worker now.
func (b *base) isAllowed(job *job, worker *worker) bool {
	class := job.class
	if class.Kinds != nil && !slices.Contains(class.Kinds, worker.Kind) {
		return false
	}
	if class.Zones != nil && !slices.Contains(class.Zones, worker.Zone) {
		return false
	}
	if len(job.attempts) > 0 && job.inFlight > 0 && !b.settings.Hedging {
		return false
	}
	for _, earlier := range job.attempts {
		if !earlier.ended && earlier.worker == worker {
			return false
		}
		if earlier.possiblyExecuted() && !b.mayRepeat(class, earlier, worker) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a job may be sent to a worker after an attempt that was possibly executed.
func (b *base) mayRepeat(class *dispatch.Class, earlier *attempt, target *worker) bool {
	switch class.Idempotency {
	case dispatch.Idempotent:
		return true
	case dispatch.NonIdempotent:
		return false
	}
	window := class.DeduplicationWindow - class.DeduplicationWindow/windowMarginDivisor
	return b.now-earlier.sentAt < window &&
		(class.DeduplicationScope != dispatch.ScopeZone || earlier.zone == target.Zone) &&
		(class.DeduplicationScope != dispatch.ScopeCell || earlier.cell == target.Cell)
}

// allowsAttempt reports whether a job is open, below its limit of attempts and before its objective.
func (b *base) allowsAttempt(job *job) bool {
	return !job.closed && b.now < job.objective && len(job.attempts) < b.settings.AttemptLimit
}

// send sends an attempt of a job to a worker.
func (b *base) send(job *job, worker *worker) {
	sent := &attempt{
		job:    job,
		worker: worker,
		number: len(job.attempts),
		zone:   worker.Zone,
		cell:   worker.Cell,
		sentAt: b.now,
		index:  len(b.inFlight),
	}
	job.attempts = append(job.attempts, sent)
	job.inFlight++
	worker.inFlight++
	b.inFlight = append(b.inFlight, sent)
	b.emit(dispatch.Send{Job: job.ID, Worker: worker.ID})
	b.track(worker)
}

// start handles the first event that shows that an attempt has started.
func (b *base) start(id uint64, number int) {
	job := b.jobs[id]
	if job == nil || number < 0 || number >= len(job.attempts) {
		return
	}
	started := job.attempts[number]
	if !started.started && !started.ended {
		started.started = true
		b.attemptEnded(started)
	}
}

// attemptOutcome handles the end of an attempt, and ends or retries its job.
func (b *base) attemptOutcome(outcome dispatch.Outcome) {
	job := b.jobs[outcome.Job]
	if job == nil || outcome.Attempt < 0 || outcome.Attempt >= len(job.attempts) || job.attempts[outcome.Attempt].ended {
		return
	}
	ended := job.attempts[outcome.Attempt]
	ended.ended = true
	ended.result = outcome.Result
	job.inFlight--
	last := b.inFlight[len(b.inFlight)-1]
	b.inFlight[ended.index] = last
	last.index = ended.index
	b.inFlight[len(b.inFlight)-1] = nil
	b.inFlight = b.inFlight[:len(b.inFlight)-1]
	ended.worker.inFlight--
	b.track(ended.worker)
	b.attemptEnded(ended)
	if outcome.Closed || job.closed || outcome.Result == dispatch.OK {
		b.closeJob(job)
		return
	}
	b.retryOrFail(job)
}
