package validator

import (
	"slices"

	"valvecove/internal/control/message"
)

// statusTable are what others say of worker nodes, the newest of each. Those of strangers, who are not on the own list, are
// forgotten in the order in which they became that: there are no more than mostStrangers of them.
type statusTable struct {
	latest        map[uint64]message.WorkerStatus
	unlisted      []unlistedWorker // a ring; may name those that are known by now, or that were forgotten
	oldest        int
	sequence      uint64
	unlistedSince map[uint64]uint64 // by worker: its turn, if it is a stranger
}

type unlistedWorker struct{ workerID, sequence uint64 }

// update keeps a word that is newer than the last one of its node.
func (w *statusTable) update(x message.WorkerStatus, listed bool) bool {
	was, known := w.latest[x.WorkerID]
	if known && !x.Supersedes(was) {
		return false
	}
	w.latest[x.WorkerID] = x
	if listed {
		w.markListed(x.WorkerID)
	} else {
		w.markUnlisted(x.WorkerID)
	}
	return true
}

// markListed tells that a node is on the own list.
func (w *statusTable) markListed(worker uint64) { delete(w.unlistedSince, worker) }

// markUnlisted tells that it is not. Only those matter of whom there is a word.
func (w *statusTable) markUnlisted(worker uint64) {
	if _, known := w.latest[worker]; !known || w.unlistedSince[worker] > 0 {
		return
	}
	if w.unlistedSince == nil {
		w.unlistedSince = map[uint64]uint64{}
	}
	w.sequence++
	w.unlistedSince[worker] = w.sequence
	x := unlistedWorker{worker, w.sequence}
	if len(w.unlisted) < maxUnlisted {
		w.unlisted = append(w.unlisted, x)
		return
	}
	if old := w.unlisted[w.oldest]; w.unlistedSince[old.workerID] == old.sequence {
		delete(w.unlistedSince, old.workerID)
		delete(w.latest, old.workerID)
	}
	w.unlisted[w.oldest] = x
	w.oldest = (w.oldest + 1) % maxUnlisted
}

// resync finds out anew who is a stranger.
func (w *statusTable) resync(listed func(worker uint64) bool) {
	var gone []uint64
	for worker := range w.latest {
		if !listed(worker) && w.unlistedSince[worker] == 0 {
			gone = append(gone, worker)
		}
	}
	slices.Sort(gone) // map order decides nothing
	for _, worker := range gone {
		w.markUnlisted(worker)
	}
}

// blocks tells whether a node that the own list has as up gets nothing by the word of others. A word that the list has
// caught up with is forgotten.
func (w *statusTable) blocks(own message.WorkerStatus) bool {
	x, known := w.latest[own.WorkerID]
	if !known {
		return false
	}
	if own.Supersedes(x) {
		delete(w.latest, own.WorkerID)
		return false
	}
	return x.State != message.WorkerUp
}
