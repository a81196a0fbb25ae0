package dispatch

import (
	"math"
)

// unknownKind is the kind of the worker of a past attempt that is not listed.
const unknownKind = -1

func (d *Dispatcher) onReplicasChanged(e ReplicasChanged) {
	d.sharing = ReplicasChanged{
		Replicas:     max(1, e.Replicas),
		ReplicaIndex: max(0, e.ReplicaIndex),
		QuotaShare:   clamp(finite(e.QuotaShare), 1),
	}
	d.fleet.rings.changed = true
	d.updatePreferences()
}

// onJobResumed takes in a job with its attempts so far.
func (d *Dispatcher) onJobResumed(e JobResumed) {
	j := d.admit(e.Job, max(0, e.Age))
	if j == nil {
		return
	}
	for _, past := range e.Attempts {
		d.adoptAttempt(j, past)
	}
	if len(e.Attempts) == 0 && !e.QuotaCharged {
		d.chargeQuota(j)
	}
	d.requeue(j)
}

// adoptAttempt enters an attempt that another dispatcher has made. Its notifications so far went there;
// whether it is late, or lost, counts from now on.
func (d *Dispatcher) adoptAttempt(job *jobInfo, past PastAttempt) {
	worker := d.fleet.byID[past.Worker]
	if worker == nil {
		worker = d.newUnlistedWorker(past)
	}
	attempt := d.newAttempt(job, worker, d.now-max(0, past.SentAgo))
	attempt.ended, attempt.result = past.Ended, past.Result
	isNotified := past.StartedAgo > 0
	if isNotified {
		attempt.started, attempt.startedAt, attempt.progressAt = true, max(attempt.sentAt, d.now-past.StartedAgo), d.now
		worker.activity.aliveAt = max(worker.activity.aliveAt, attempt.startedAt)
		worker.activity.progressAt = max(worker.activity.progressAt, attempt.startedAt)
	}
	d.recordWarmUpWork(attempt)
	if attempt.ended {
		job.attempts = append(job.attempts, attempt)
		return
	}
	d.addAttempt(attempt)
	d.leases.client.takeSlots(d.now, attempt)
	worker.connections.open = max(worker.connections.open, len(worker.inFlight))
	d.fleet.markDirty(worker)
	if isNotified {
		worker.slots.running += job.Slots
		d.observeSlots(worker, worker.slots.running)
	}
	d.setTimer(&attempt.timer, d.dueAt(attempt))
}

// newUnlistedWorker is the worker of a past attempt that no list has named. It is known while the attempt is
// in flight.
func (d *Dispatcher) newUnlistedWorker(past PastAttempt) *workerInfo {
	machine := d.workload.machineKind(unknownKind)
	w := &workerInfo{
		Worker:  Worker{ID: past.Worker, Kind: unknownKind, Cell: math.MinInt, Zone: math.MinInt},
		machine: machine, slots: slotLimit{limit: 1}, speed: relativeSpeed{factor: math.Exp(machine.logSpeed)},
	}
	if !past.Ended {
		d.addWorker(w.ID, w)
	}
	return w
}
