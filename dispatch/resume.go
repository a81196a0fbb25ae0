package dispatch

import "math"

// unknownKind is the machine kind of an unlisted worker.
const unknownKind = -1

// handleJobResumed admits a job of another dispatcher, with its attempts so far, and queues it unless one of
// them is in flight. A job whose ID is in use is ignored.
func (d *Dispatcher) handleJobResumed(event JobResumed) {
	job := d.admit(event.Job, max(0, event.Age))
	if job == nil {
		return
	}
	for _, past := range event.Attempts {
		d.adoptAttempt(job, past)
	}
	if len(event.Attempts) == 0 && !event.QuotaCharged {
		d.chargeQuota(job)
	}
	d.requeue(job)
}

// adoptAttempt adds an attempt that another dispatcher has sent to a job. That dispatcher received the
// notifications so far, so the times after which the attempt counts as late or lost begin now.
func (d *Dispatcher) adoptAttempt(job *jobInfo, past PastAttempt) {
	worker := d.fleet.byID[past.Worker]
	if worker == nil {
		worker = d.newUnlistedWorker(past)
	}
	attempt := d.newAttempt(job, worker, d.now-max(0, past.SentAgo))
	attempt.ended = past.Ended
	attempt.result = past.Result
	isStartNotified := past.StartedAgo > 0
	if isStartNotified {
		attempt.started = true
		attempt.startedAt = max(attempt.sentAt, d.now-past.StartedAgo)
		attempt.progressAt = d.now
		worker.activity.aliveAt = max(worker.activity.aliveAt, attempt.startedAt)
		worker.activity.progressAt = max(worker.activity.progressAt, attempt.startedAt)
	}
	d.slowStart.handleSent(attempt, d.now)
	if attempt.ended {
		job.attempts = append(job.attempts, attempt)
		return
	}
	d.addAttempt(attempt)
	d.leases.client.recordUnleased(d.now, attempt)
	worker.connections.open = max(worker.connections.open, len(worker.inFlight))
	d.fleet.markDirty(worker)
	if isStartNotified {
		worker.slots.running += job.Slots
		d.observeSlots(worker, worker.slots.running)
	}
	d.setTimer(&attempt.timer, d.overdueAt(attempt))
}

// newUnlistedWorker returns the worker of a past attempt that is in no list. It is kept as long as the
// attempt is in flight, and matches no cell or zone.
func (d *Dispatcher) newUnlistedWorker(past PastAttempt) *workerInfo {
	machine := d.workload.machineKind(unknownKind)
	worker := &workerInfo{
		Worker:  Worker{ID: past.Worker, Kind: unknownKind, Cell: math.MinInt, Zone: math.MinInt},
		machine: machine,
		slots:   newSlotLimit(),
		speed:   relativeSpeed{factor: math.Exp(machine.logSpeed)},
	}
	if !past.Ended {
		d.addWorker(worker.ID, worker)
	}
	return worker
}
