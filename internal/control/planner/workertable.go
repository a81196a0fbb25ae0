package planner

import (
	"math"
	"time"

	"valvecove/internal/control/message"
)

const (
	tombstoneRetention = time.Minute // of the status of a worker that is not on the endpoint list
	maxTombstones      = 4096
)

// workerTable has all workers. The policy has those that are assigned to this planner. While requests in the table have
// attempts at other ones, it has these too, as not ready.
type workerTable struct {
	byID         map[uint64]*worker
	list         []*worker // so that no decision depends on the order of a map
	revision     int64     // of the endpoint list
	listSequence uint64    // counts full lists
	synced       bool      // a list was received
	partition    partition
	tombstones   []tombstone // by time
}

// ensure returns the worker of a number, and adds it if it is not known.
func (w *workerTable) ensure(id uint64) *worker {
	if known := w.byID[id]; known != nil {
		return known
	}
	added := &worker{index: len(w.list)}
	added.ID = id
	added.Kind = -1
	added.Cell = math.MinInt // no other worker is in it
	added.Zone = math.MinInt // no other worker is in it
	w.byID[id] = added
	w.list = append(w.list, added)
	return added
}

// removeWorker removes a worker that is neither listed nor has a status or an attempt. Any other one is kept.
func (w *workerTable) removeWorker(known *worker) {
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

// addTombstone schedules the removal of the status of a worker that is not listed.
func (w *workerTable) addTombstone(known *worker, now time.Duration) {
	w.tombstones = append(w.tombstones, tombstone{now, known})
	if len(w.tombstones) > maxTombstones {
		w.expireTombstone()
	}
}

// expireTombstone removes the status of the worker with the oldest tombstone, unless it is listed again.
func (w *workerTable) expireTombstone() {
	known := w.tombstones[0].worker
	w.tombstones[0] = tombstone{}
	w.tombstones = w.tombstones[1:]
	if known.listed || w.byID[known.ID] != known {
		return
	}
	known.hasStatus = false
	known.status = message.WorkerStatus{}
	w.removeWorker(known)
}

// expireTombstones removes the statuses of workers that have not been listed for tombstoneRetention.
func (w *workerTable) expireTombstones(now time.Duration) {
	for len(w.tombstones) > 0 && now-w.tombstones[0].at >= tombstoneRetention {
		w.expireTombstone()
	}
}

// tombstone is a worker that was not on the endpoint list at a time. Its status is removed tombstoneRetention later.
type tombstone struct {
	at     time.Duration
	worker *worker
}
