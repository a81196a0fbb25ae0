package validator

import (
	"slices"

	"valvecove/internal/control/message"
)

// maxUnlisted is how many statuses of workers that are not on the forwarder's own endpoint list are kept.
const maxUnlisted = 4096

// statusTable holds the newest status of each worker that planners have reported. Statuses of workers that are not on the
// own endpoint list are removed in the order in which the workers left the list, or were first reported.
type statusTable struct {
	latest map[uint64]message.WorkerStatus

	unlisted      []unlistedWorker // a ring buffer; may hold entries that are no longer valid
	oldest        int              // index of the oldest entry, once the ring buffer is full
	sequence      uint64
	unlistedSince map[uint64]uint64 // by worker: the sequence number of its entry, if it is not listed
}

// unlistedWorker is an entry of the ring buffer. It is valid as long as unlistedSince has its sequence number.
type unlistedWorker struct {
	workerID uint64
	sequence uint64
}

func newStatusTable() statusTable {
	return statusTable{latest: map[uint64]message.WorkerStatus{}, unlistedSince: map[uint64]uint64{}}
}

// update enters a status if it is newer than the worker's last one, and reports whether it is.
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

// markListed records that a worker is on the own list.
func (t *statusTable) markListed(workerID uint64) { delete(t.unlistedSince, workerID) }

// markUnlisted records that a worker is not on the own list. It does nothing for a worker without a status.
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

// remove removes the status of an entry of the ring buffer, if the entry is valid.
func (t *statusTable) remove(entry unlistedWorker) {
	if t.unlistedSince[entry.workerID] == entry.sequence {
		delete(t.unlistedSince, entry.workerID)
		delete(t.latest, entry.workerID)
	}
}

// resync calls markUnlisted for the workers that are no longer on the own list, after markListed was called for all that
// are.
func (t *statusTable) resync(isListed func(workerID uint64) bool) {
	var removed []uint64
	for workerID := range t.latest {
		if !isListed(workerID) && t.unlistedSince[workerID] == 0 {
			removed = append(removed, workerID)
		}
	}
	slices.Sort(removed) // so that the result does not depend on the order of the map
	for _, workerID := range removed {
		t.markUnlisted(workerID)
	}
}

// blocking returns the reported status that excludes a worker which is up on the own list. It returns false if there is
// none. A reported status that the own list supersedes is removed.
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
