package validator

import (
	"slices"

	"valvecove/internal/control/message"
)

// maxUnlisted is the maximum number of stored statuses of workers that are not on the forwarder's own endpoint list.
const maxUnlisted = 4096

// statusTable holds the newest status that planners have reported of each worker. If there are too many statuses of workers that
// are not on the own endpoint list, those of the workers that left the list, or were first reported, the longest ago are removed.
type statusTable struct {
	latest map[uint64]message.WorkerStatus

	unlisted      []unlistedWorker // ring buffer; may contain entries that are no longer valid
	oldest        int              // index of the oldest entry once the ring buffer is full
	sequence      uint64
	unlistedSince map[uint64]uint64 // by ID of an unlisted worker: the sequence number of its entry
}

// unlistedWorker is an entry of the ring buffer. It is valid as long as unlistedSince has its sequence number for the worker.
type unlistedWorker struct {
	workerID uint64
	sequence uint64
}

func newStatusTable() statusTable {
	return statusTable{latest: map[uint64]message.WorkerStatus{}, unlistedSince: map[uint64]uint64{}}
}

// update stores a status if it is newer than the worker's last one, and reports whether it is.
func (t *statusTable) update(status message.WorkerStatus, listed bool) bool {
	previous, known := t.latest[status.WorkerID]
	if known && !status.Supersedes(previous) {
		return false
	}
	t.latest[status.WorkerID] = status
	if listed {
		t.markListed(status.WorkerID)
	} else {
		t.markUnlisted(status.WorkerID)
	}
	return true
}

// markListed records that a worker is on the own endpoint list.
func (t *statusTable) markListed(workerID uint64) { delete(t.unlistedSince, workerID) }

// markUnlisted records that a worker is not on the own endpoint list. It does nothing for a worker without a status.
func (t *statusTable) markUnlisted(workerID uint64) {
	if _, known := t.latest[workerID]; !known || t.unlistedSince[workerID] > 0 {
		return
	}
	t.sequence++
	t.unlistedSince[workerID] = t.sequence
	entry := unlistedWorker{workerID: workerID, sequence: t.sequence}
	if len(t.unlisted) < maxUnlisted {
		t.unlisted = append(t.unlisted, entry)
		return
	}
	t.remove(t.unlisted[t.oldest])
	t.unlisted[t.oldest] = entry
	t.oldest = (t.oldest + 1) % maxUnlisted
}

// remove removes the status that an entry of the ring buffer refers to, if the entry is valid.
func (t *statusTable) remove(entry unlistedWorker) {
	if t.unlistedSince[entry.workerID] == entry.sequence {
		delete(t.unlistedSince, entry.workerID)
		delete(t.latest, entry.workerID)
	}
}

// resync calls markUnlisted for all workers that are no longer on the own endpoint list. Before, markListed must have been called
// for all workers on it.
func (t *statusTable) resync(isListed func(workerID uint64) bool) {
	var removed []uint64
	for workerID := range t.latest {
		if !isListed(workerID) && t.unlistedSince[workerID] == 0 {
			removed = append(removed, workerID)
		}
	}
	slices.Sort(removed) // for a result that does not depend on the iteration order of the map
	for _, workerID := range removed {
		t.markUnlisted(workerID)
	}
}

// blocking returns the reported status that excludes a worker, or false if there is none. own is the worker's status on the own
// endpoint list. A reported status that own supersedes is removed.
func (t *statusTable) blocking(own message.WorkerStatus) (status message.WorkerStatus, ok bool) {
	status, known := t.latest[own.WorkerID]
	if !known {
		return message.WorkerStatus{}, false
	}
	if own.Supersedes(status) {
		delete(t.latest, own.WorkerID)
		return message.WorkerStatus{}, false
	}
	return status, status.State != message.WorkerUp
}
