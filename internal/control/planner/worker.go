package planner

import (
	"math"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const (
	tombstoneRetention = time.Minute // of the status of a worker that is not on the endpoint list
	maxTombstones      = 4096
)

// worker is a worker on the endpoint list, or one that is not (any more) and of which there is a status or an attempt.
type worker struct {
	dispatch.Worker        // as the list has it
	listed          bool   // it is on the list
	listSequence    uint64 // of the last full list on which it was
	owned           bool   // it is assigned to this planner
	hasStatus       bool
	status          message.WorkerStatus // the newest, whoever reported it
	warmUntil       time.Duration        // until then it gets no work while it is warming up
	references      int                  // attempts of requests in the table
	announced       bool                 // the policy has it
	announcedAs     dispatch.Worker
	index           int // in workerTable.list
	location        *location
}

// startedAt returns when the worker's process started, by what is known of it.
func (w *worker) startedAt() time.Duration {
	return max(w.BootAt, time.Duration(w.status.StartedMs)*time.Millisecond)
}

// isUp reports whether the worker is on the endpoint list and its newest status says that it is up.
func (w *worker) isUp() bool { return w.listed && w.status.State == message.WorkerUp }

// isUnavailable reports whether the newest status says that the worker is draining or gone.
func (w *worker) isUnavailable() bool { return w.hasStatus && w.status.State != message.WorkerUp }

// workerTable is all workers. The policy has those that are assigned to this planner. While requests in the table have
// attempts at other ones, it has these too, as not ready.
type workerTable struct {
	byID         map[uint64]*worker
	list         []*worker // the order of maps must decide nothing
	revision     int64     // of the endpoint list
	listSequence uint64    // counts full lists
	synced       bool      // there was a list
	partition    partition
	takeovers    []takeover        // by time
	tombstones   []tombstone       // by time
	updates      []dispatch.Worker // that the policy was not told yet
}

// tombstone is a worker that was not on the endpoint list at a time. Its status is forgotten later.
type tombstone struct {
	at     time.Duration
	worker *worker
}

// ensureWorker returns the worker of a number, and enters it if it is not known.
func (p *Planner) ensureWorker(id uint64) *worker {
	table := &p.workers
	if known := table.byID[id]; known != nil {
		return known
	}
	added := &worker{index: len(table.list)}
	added.ID = id
	added.Kind, added.Cell, added.Zone = -1, math.MinInt, math.MinInt // it is in none that another worker is in
	table.byID[id] = added
	table.list = append(table.list, added)
	return added
}

// removeWorker forgets a worker that is not listed, and of which there is neither a status nor an attempt.
func (t *workerTable) removeWorker(w *worker) {
	if w.listed || w.references > 0 || w.hasStatus || t.byID[w.ID] != w {
		return
	}
	delete(t.byID, w.ID)
	end := len(t.list) - 1
	last := t.list[end]
	t.list[w.index] = last
	last.index = w.index
	t.list[end] = nil
	t.list = t.list[:end]
}

// addReferences counts attempts at a worker that requests in the table have.
func (p *Planner) addReferences(w *worker, count int) {
	w.references += count
	if w.owned && w.listed && w.status.State != message.WorkerGone {
		return // the policy has it in any case
	}
	p.syncWorker(w)
	p.workers.removeWorker(w)
}

// addTombstone has the status of a worker that is not listed forgotten later.
func (t *workerTable) addTombstone(w *worker, now time.Duration) {
	t.tombstones = append(t.tombstones, tombstone{now, w})
	if len(t.tombstones) > maxTombstones {
		t.expireTombstone()
	}
}

// expireTombstone forgets the status of the worker whose tombstone is the oldest, unless it is listed again.
func (t *workerTable) expireTombstone() {
	w := t.tombstones[0].worker
	t.tombstones[0] = tombstone{}
	t.tombstones = t.tombstones[1:]
	if w.listed || t.byID[w.ID] != w {
		return
	}
	w.hasStatus = false
	w.status = message.WorkerStatus{}
	t.removeWorker(w)
}

// expireTombstones forgets the statuses of workers that have not been listed for long.
func (p *Planner) expireTombstones() {
	table := &p.workers
	for len(table.tombstones) > 0 && p.now-table.tombstones[0].at >= tombstoneRetention {
		table.expireTombstone()
	}
}
