package dispatch

import (
	"slices"
	"time"
)

// newAttempt is the next attempt of a job, sent to a worker at an instant.
func (d *Dispatcher) newAttempt(j *jobInfo, w *workerInfo, sentAt time.Duration) *attemptInfo {
	a := &attemptInfo{
		job: j, number: len(j.attempts), worker: w, zone: w.Zone, cell: w.Cell, sentAt: sentAt, startedAt: sentAt,
		expectedRun: d.expectedRun(j, w), started: !d.settings.StartNotifications,
	}
	a.timer = timer{purpose: attemptOverdue, attempt: a}
	return a
}

// addAttempt enters an attempt that is in flight with its job and its worker.
func (d *Dispatcher) addAttempt(a *attemptInfo) {
	j, w := a.job, a.worker
	j.attempts = append(j.attempts, a)
	j.inFlight++
	w.inFlight = append(w.inFlight, a)
	w.usedSlots += j.demand
	d.usedSlots += j.demand
	if !a.started {
		d.unstarted.add(j.Class, a)
	}
}

// endAttempt enters the end of an attempt with its job and its worker.
func (d *Dispatcher) endAttempt(attempt *attemptInfo, outcome Outcome) {
	job, worker := attempt.job, attempt.worker
	attempt.ended, attempt.result = true, outcome.Result
	d.leases.client.endAttempt(attempt, outcome.Result)
	job.inFlight--
	worker.lastEndAt = d.now
	if attempt.orphaned {
		worker.orphans--
	} else {
		worker.usedSlots, d.usedSlots = max(0, worker.usedSlots-job.demand), max(0, d.usedSlots-job.demand)
		worker.inFlight = removeUnordered(worker.inFlight, attempt)
	}
	d.cancelTimer(&attempt.timer)
	d.markDirty(worker)
	// The report is older than the end that it comes with: the slots that this frees are not in it yet.
	d.applyReport(worker, outcome.Report)
	if attempt.started && !attempt.orphaned {
		worker.freeSlots += job.demand
		worker.runningSlots -= job.Slots
	}
}

// findInFlight returns an attempt that is in flight; nil: an event about it is void.
func (d *Dispatcher) findInFlight(job uint64, number int, worker uint64) *attemptInfo {
	j := d.jobs[job]
	if j == nil || number < 0 || number >= len(j.attempts) {
		return nil
	}
	if a := j.attempts[number]; !a.ended && a.worker.ID == worker {
		return a
	}
	return nil
}

// cancelAttempts cancels what is in flight of a job.
func (d *Dispatcher) cancelAttempts(j *jobInfo) {
	for _, a := range j.attempts {
		if !a.ended {
			d.emit(Cancel{Job: j.ID, Attempt: a.number})
		}
	}
}

// onProgressed takes in that an attempt progresses. The notification of its start may have been lost.
func (d *Dispatcher) onProgressed(a *attemptInfo) {
	if a != nil {
		d.onStarted(a)
		a.progressAt, a.worker.progressAt = d.now, d.now
	}
}

// mayBeDropped tells whether its worker may drop an attempt as a repeat: no start is notified then, as it waits for the
// run of another one.
func (a *attemptInfo) mayBeDropped() bool {
	return a.job.class.Idempotency == IdempotentWithKey &&
		slices.ContainsFunc(a.job.attempts[:a.number], (*attemptInfo).possiblyExecuted)
}

// silentAt is when a running attempt has been silent for too long: for one and a half intervals of progress.
func (a *attemptInfo) silentAt(settings *Settings) time.Duration {
	return a.progressAt + settings.ProgressInterval*3/2
}

// TimeUntilOverdue is how much longer an attempt may take before it is overlong by what was expected of its job; not ok:
// it is not in flight.
func (d *Dispatcher) TimeUntilOverdue(job uint64, attempt int) (remaining time.Duration, ok bool) {
	j := d.jobs[job]
	if j == nil || attempt < 0 || attempt >= len(j.attempts) || j.attempts[attempt].ended {
		return 0, false
	}
	a := j.attempts[attempt]
	remaining = d.workload.maxPlausibleRun(a)
	if a.started {
		remaining = max(0, remaining-(d.now-a.startedAt))
	}
	return remaining, true
}
