package validator

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// maxClockSkew is the maximum time by which the start of a worker in a status may be ahead of this process's clock.
const maxClockSkew = time.Minute

// listedWorker is an entry of the forwarder's own endpoint list.
type listedWorker struct {
	kind   int
	cell   int
	zone   int
	status message.WorkerStatus // according to the list
}

// updateList processes a full endpoint list or a delta.
func (v *Validator) updateList(list dispatch.WorkerList) {
	if list.Kind == dispatch.ListUnavailable {
		return
	}
	isFull := list.Kind != dispatch.ListDelta
	if isFull {
		clear(v.workers)
	}
	for i := range list.Workers {
		v.updateWorker(&list.Workers[i], list.Revision)
	}
	if isFull {
		v.statuses.resync(v.isListed)
	}
}

// updateWorker processes an entry of an endpoint list.
func (v *Validator) updateWorker(entry *dispatch.Worker, revision int64) {
	if entry.Removed {
		delete(v.workers, entry.ID)
		v.statuses.markUnlisted(entry.ID)
		return
	}
	worker := listedWorker{
		kind:   entry.Kind,
		cell:   entry.Cell,
		zone:   entry.Zone,
		status: message.WorkerStatus{WorkerID: entry.ID, StartedMs: entry.BootAt.Milliseconds(), Revision: revision},
	}
	if !entry.Ready {
		worker.status.State = message.WorkerDraining
	}
	v.workers[entry.ID] = worker
	v.statuses.markListed(entry.ID)
}

// isListed reports whether a worker is on the forwarder's own endpoint list.
func (v *Validator) isListed(workerID uint64) bool {
	_, listed := v.workers[workerID]
	return listed
}

// ObserveStatus processes a worker's status from a planner, and reports whether it is newer than all known statuses of the
// worker. It ignores a status whose start is negative or more than maxClockSkew in the future.
func (v *Validator) ObserveStatus(now time.Duration, status message.WorkerStatus) (isNew bool) {
	v.advance(now)
	if status.StartedMs < 0 || time.Duration(status.StartedMs) > (v.now+maxClockSkew)/time.Millisecond {
		return false
	}
	worker, listed := v.workers[status.WorkerID]
	if !v.statuses.update(status, listed) {
		return false
	}
	return !listed || status.Supersedes(worker.status)
}

// BlockingStatus returns the newest status that forbids attempts at a listed worker, or false if there is none.
func (v *Validator) BlockingStatus(workerID uint64) (status message.WorkerStatus, ok bool) {
	worker, listed := v.workers[workerID]
	if !listed {
		return message.WorkerStatus{}, false
	}
	if status, ok := v.statuses.blocking(worker.status); ok {
		return status, true
	}
	return worker.status, worker.status.State != message.WorkerUp
}

// Blocked reports whether a status from a planner forbids attempts at a worker that the own endpoint list shows as up.
func (v *Validator) Blocked(workerID uint64) bool {
	worker, listed := v.workers[workerID]
	if !listed || worker.status.State != message.WorkerUp {
		return false
	}
	_, blocked := v.statuses.blocking(worker.status)
	return blocked
}
