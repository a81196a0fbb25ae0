package validator

import (
	"slices"

	"valvecove/internal/control/message"
)

// maxUnlisted bounds the statuses that are kept of workers that are not on the own endpoint list.
const maxUnlisted = 4096

// statusTable has the newest status of each worker from others. Workers that are not on the own list are forgotten in the
// order in which they were found not to be.
type statusTable struct {
	latest map[uint64]message.WorkerStatus

	unlisted      []unlistedWorker // a ring; may hold entries that are listed or forgotten by now
	oldest        int              // index of the ring's oldest entry, once it is full
	sequence      uint64
	unlistedSince map[uint64]uint64 // by worker: the sequence number of its ring entry, if it is not listed
}

// unlistedWorker is an entry of the ring. It is valid while unlistedSince has its sequence number.
type unlistedWorker struct {
	workerID uint64
	sequence uint64
}

func newStatusTable() statusTable {
	return statusTable{latest: map[uint64]message.WorkerStatus{}, unlistedSince: map[uint64]uint64{}}
}

// update keeps a status that is newer than the worker's last one, and reports whether it is.
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

// markListed notes that a worker is on the own list.
func (t *statusTable) markListed(workerID uint64) { delete(t.unlistedSince, workerID) }

// markUnlisted notes that a worker is not on the own list. Only workers with a status matter.
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
	t.forget(t.unlisted[t.oldest])
	t.unlisted[t.oldest] = entry
	t.oldest = (t.oldest + 1) % maxUnlisted
}

// forget drops the status of a ring's entry, if that is still valid.
func (t *statusTable) forget(entry unlistedWorker) {
	if t.unlistedSince[entry.workerID] == entry.sequence {
		delete(t.unlistedSince, entry.workerID)
		delete(t.latest, entry.workerID)
	}
}

// resync finds the workers that are not on the own list any more. It is called after markListed for all that are.
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

// blocking returns the status from others by which a worker gets nothing, whatever the own list says of it; not ok: there is
// none. A status that the own list supersedes is forgotten.
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
