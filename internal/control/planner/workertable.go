package planner

import (
	"math"
	"time"

	"valvecove/internal/control/message"
)

const (
	tombstoneRetention = time.Minute // how long the status of an unlisted worker is kept
	maxTombstones      = 4096
)

// workerTable holds all known workers. The policy has those that are assigned to this planner. It also has other workers,
// marked as not ready, while requests in the table have attempts at them.
type workerTable struct {
	byID         map[uint64]*worker
	list         []*worker // iterated instead of byID, so that no decision depends on the order of a map
	revision     int64     // of the newest endpoint list
	listSequence uint64    // number of full lists received
	synced       bool      // whether an endpoint list was received
	partition    partition
	tombstones   []tombstone // oldest first
}

// findOrAdd returns the worker with an ID, and adds it if it is unknown.
func (w *workerTable) findOrAdd(id uint64) *worker {
	if known := w.byID[id]; known != nil {
		return known
	}
	added := &worker{index: len(w.list)}
	added.ID = id
	added.Kind = -1
	added.Cell = math.MinInt // unknown, matches no listed worker
	added.Zone = math.MinInt // unknown, matches no listed worker
	w.byID[id] = added
	w.list = append(w.list, added)
	return added
}

// removeIfUnused removes a worker, unless it is listed or has a status or attempts.
func (w *workerTable) removeIfUnused(known *worker) {
	if known.listed || known.references > 0 || known.hasStatus || w.byID[known.ID] != known {
		return
	}
	delete(w.byID, known.ID)
	end := len(w.list) - 1
	last := w.list[end]
	w.list[known.index] = last
	last.index = known.index
	w.list[end] = nil
	w.list = w.list[:end]
}

// addTombstone schedules the removal of the status of an unlisted worker. Beyond maxTombstones the oldest expires at once.
func (w *workerTable) addTombstone(known *worker, now time.Duration) {
	w.tombstones = append(w.tombstones, tombstone{now, known})
	if len(w.tombstones) > maxTombstones {
		w.expireTombstone()
	}
}

// expireTombstone removes the oldest tombstone and the status of its worker, unless the worker is listed again.
func (w *workerTable) expireTombstone() {
	known := w.tombstones[0].worker
	w.tombstones[0] = tombstone{}
	w.tombstones = w.tombstones[1:]
	if known.listed || w.byID[known.ID] != known {
		return
	}
	known.hasStatus = false
	known.status = message.WorkerStatus{}
	w.removeIfUnused(known)
}

// expireTombstones removes the tombstones older than tombstoneRetention, with the statuses of their workers.
func (w *workerTable) expireTombstones(now time.Duration) {
	for len(w.tombstones) > 0 && now-w.tombstones[0].createdAt >= tombstoneRetention {
		w.expireTombstone()
	}
}

// tombstone records when a worker was found to be unlisted. The worker's status is removed tombstoneRetention later.
type tombstone struct {
	createdAt time.Duration
	worker    *worker
}
