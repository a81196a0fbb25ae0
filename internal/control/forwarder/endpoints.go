package forwarder

import (
	"cmp"
	"maps"
	"slices"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// endpointList is the forwarder's own list of workers.
type endpointList struct {
	workers  map[uint64]dispatch.Worker
	revision int64
	synced   bool // a list from discovery was applied, not only a cached one
}

// apply applies an update of the list, and calls report with the status of each worker that has changed.
func (e *endpointList) apply(update dispatch.WorkerList, report func(message.WorkerStatus)) {
	e.revision = update.Revision
	before := e.workers
	isDelta := update.Kind == dispatch.ListDelta
	if !isDelta {
		e.workers = make(map[uint64]dispatch.Worker, len(update.Workers))
	}
	for _, worker := range update.Workers {
		previous, known := before[worker.ID]
		if worker.Removed {
			delete(e.workers, worker.ID)
			worker.BootAt = max(worker.BootAt, previous.BootAt)
		} else {
			e.workers[worker.ID] = worker
		}
		changed := e.shouldReportNew(worker, isDelta)
		if known {
			changed = worker.Removed || worker.Ready != previous.Ready || worker.BootAt != previous.BootAt
		}
		if changed {
			report(statusOf(worker, update.Revision))
		}
	}
	if !isDelta {
		e.reportMissing(before, report)
	}
	e.synced = e.synced || update.Kind != dispatch.ListCached
}

// shouldReportNew reports whether to report the status of a worker that was not listed before. A delta reports every such
// worker. A full list reports only those that are not ready, and none until a list from discovery has been applied.
func (e *endpointList) shouldReportNew(worker dispatch.Worker, isDelta bool) bool {
	return !worker.Removed && (isDelta || !worker.Ready && e.synced)
}

// reportMissing reports workers of the previous list that are no longer listed as removed.
func (e *endpointList) reportMissing(before map[uint64]dispatch.Worker, report func(message.WorkerStatus)) {
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, listed := e.workers[id]; !listed {
			worker := before[id]
			worker.Removed = true
			report(statusOf(worker, e.revision))
		}
	}
}

// list returns all workers in the order of their IDs.
func (e *endpointList) list() []dispatch.Worker {
	return slices.SortedFunc(maps.Values(e.workers), func(a, b dispatch.Worker) int { return cmp.Compare(a.ID, b.ID) })
}

// statusOf returns the status of a worker according to an endpoint list of a revision.
func statusOf(worker dispatch.Worker, revision int64) message.WorkerStatus {
	status := message.WorkerStatus{WorkerID: worker.ID, StartedMs: worker.BootAt.Milliseconds(), Revision: revision}
	switch {
	case worker.Removed:
		status.State = message.WorkerGone
	case !worker.Ready:
		status.State = message.WorkerDraining
	}
	return status
}
