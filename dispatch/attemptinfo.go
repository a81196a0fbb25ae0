package dispatch

import "time"

// attemptInfo is the state of one attempt of a job.
type attemptInfo struct {
	job            *jobInfo
	number         int // from 0, by job
	worker         *workerInfo
	zone, cell     int // of the worker when it was sent
	sentAt         time.Duration
	startedAt      time.Duration
	progressAt     time.Duration // last notification
	started        bool
	ended          bool
	orphaned       bool          // the worker's process has ended: the attempt uses no slots there any more
	sentAtLimit    bool          // the worker was at its concurrency limit when it was sent
	connectionIdle time.Duration // how long its connection had been idle; 0: a new one
	result         Result
	lease          *leaseInfo    // nil: none
	expectedRun    time.Duration // on this worker
	timer          timer         // fires when it should have started, or ended
}

// newAttempt returns the next attempt of a job, sent to a worker at sentAt. It is not yet in flight.
func (d *Dispatcher) newAttempt(job *jobInfo, worker *workerInfo, sentAt time.Duration) *attemptInfo {
	attempt := &attemptInfo{
		job:         job,
		number:      len(job.attempts),
		worker:      worker,
		zone:        worker.Zone,
		cell:        worker.Cell,
		sentAt:      sentAt,
		startedAt:   sentAt,
		expectedRun: d.expectedRun(job, worker),
		started:     !d.settings.StartNotifications,
	}
	attempt.timer = timer{purpose: attemptOverdue, attempt: attempt}
	return attempt
}

// addAttempt adds an attempt in flight to its job and its worker.
func (d *Dispatcher) addAttempt(attempt *attemptInfo) {
	job, worker := attempt.job, attempt.worker
	job.attempts = append(job.attempts, attempt)
	job.inFlight++
	worker.inFlight = append(worker.inFlight, attempt)
	worker.slots.used += job.demand
	d.starts.useSlots(job.demand)
	if !attempt.started {
		d.starts.unstarted.add(job.Class, attempt)
	}
}

// endAttempt updates an attempt, its job and its worker with the attempt's outcome.
func (d *Dispatcher) endAttempt(attempt *attemptInfo, outcome Outcome) {
	job, worker := attempt.job, attempt.worker
	attempt.ended = true
	attempt.result = outcome.Result
	d.leases.client.endAttempt(attempt, outcome.Result)
	job.inFlight--
	worker.connections.lastUsedAt = d.now
	if attempt.orphaned {
		worker.orphans--
	} else {
		worker.slots.used = max(0, worker.slots.used-job.demand)
		d.starts.releaseSlots(job.demand)
		worker.inFlight = removeUnordered(worker.inFlight, attempt)
	}
	d.cancelTimer(&attempt.timer)
	d.fleet.markDirty(worker)
	// The report was made before the attempt ended: it does not count the slots that the attempt releases.
	d.applyReport(worker, outcome.Report)
	if attempt.started && !attempt.orphaned {
		worker.report.freeSlots += job.demand
		worker.slots.running -= job.Slots
	}
}

// findInFlight returns an attempt that is in flight, or nil if there is none: events about other attempts are
// ignored.
func (d *Dispatcher) findInFlight(job uint64, number int, worker uint64) *attemptInfo {
	j := d.jobs[job]
	if j == nil || number < 0 || number >= len(j.attempts) {
		return nil
	}
	if attempt := j.attempts[number]; !attempt.ended && attempt.worker.ID == worker {
		return attempt
	}
	return nil
}

// cancelAttempts cancels the attempts of a job that are in flight.
func (d *Dispatcher) cancelAttempts(job *jobInfo) {
	for _, attempt := range job.attempts {
		if !attempt.ended {
			d.emit(Cancel{Job: job.ID, Attempt: attempt.number})
		}
	}
}

// TimeUntilOverdue returns how much longer an attempt may run before it exceeds its longest plausible run
// time. ok is false if it is not in flight.
func (d *Dispatcher) TimeUntilOverdue(job uint64, attempt int) (remaining time.Duration, ok bool) {
	j := d.jobs[job]
	if j == nil || attempt < 0 || attempt >= len(j.attempts) || j.attempts[attempt].ended {
		return 0, false
	}
	inFlight := j.attempts[attempt]
	remaining = d.workload.maxPlausibleRun(inFlight)
	if inFlight.started {
		remaining = max(0, remaining-(d.now-inFlight.startedAt))
	}
	return remaining, true
}
