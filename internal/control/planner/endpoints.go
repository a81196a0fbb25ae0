package planner

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// statusUpdater updates a worker's status if the given one is newer.
type statusUpdater interface {
	update(w *worker, status message.WorkerStatus, source statusSource)
}

// listNotifier passes events to the policy, and records that an endpoint list answers the policy's subscription.
type listNotifier interface {
	notifier
	endpointListReceived(kind dispatch.ListKind)
}

// endpointHandler processes changes of the endpoint list and of the assignment of workers to planners.
type endpointHandler struct {
	settings   *dispatch.Settings
	step       *step
	locations  *locationIndex
	policy     listNotifier
	policySync *policySync
	statuses   statusUpdater
	workers    *workerTable

	takeovers []takeover // in order of their expiry
}

// processList processes a watch event of the endpoint list and notifies the policy.
func (e *endpointHandler) processList(list dispatch.WorkerList) {
	if list.Kind == dispatch.ListUnavailable {
		e.policy.endpointListReceived(list.Kind)
		e.policy.notify(list)
		return
	}
	e.policySync.flush() // notify the policy of earlier changes first
	table := e.workers
	table.revision = list.Revision
	e.policy.endpointListReceived(list.Kind)
	isFull := list.Kind != dispatch.ListDelta
	if isFull {
		table.listSequence++
	}
	for i := range list.Workers {
		e.update(&list.Workers[i], list.Revision)
	}
	if isFull {
		e.removeUnlisted(list.Revision)
		e.policySync.takeUpdates() // discarded: the full list includes them
		list.Workers = e.policySync.workersOfPolicy()
	} else {
		list.Workers = e.policySync.takeUpdates()
	}
	table.synced = true
	e.policy.notify(list)
}

// processSourceChange resets all revisions, because a new source numbers them from the start.
func (e *endpointHandler) processSourceChange() {
	for _, worker := range e.workers.list {
		worker.status.Revision = 0
	}
	e.workers.revision = 0
}

// update processes one entry of the endpoint list.
func (e *endpointHandler) update(entry *dispatch.Worker, revision int64) {
	if entry.Removed {
		if known := e.workers.byID[entry.ID]; known != nil && known.listed {
			known.BootAt = max(known.BootAt, entry.BootAt)
			e.remove(known, revision)
		}
		return
	}
	worker := e.workers.findOrAdd(entry.ID)
	isNew := !worker.listed
	worker.Worker = *entry
	worker.listed = true
	worker.listSequence = e.workers.listSequence
	if isNew || e.workers.partition.ownerOf != nil {
		e.updateOwner(worker, isNew)
	}
	e.statuses.update(worker, entryStatus(entry, revision), statusSource{})
	e.policySync.sync(worker)
}

// removeUnlisted removes the workers that are missing from the newest full list.
func (e *endpointHandler) removeUnlisted(revision int64) {
	table := e.workers
	for i := len(table.list) - 1; i >= 0; i-- { // backwards: removal moves the last worker to the free index
		worker := table.list[i]
		if worker.listed && worker.listSequence != table.listSequence {
			e.remove(worker, revision)
		}
	}
}

// remove marks a worker as unlisted, unless a newer status says that it is up or draining.
func (e *endpointHandler) remove(w *worker, revision int64) {
	status := entryStatus(&w.Worker, revision)
	status.State = message.WorkerGone
	if w.hasStatus && w.status.Supersedes(status) && w.status.State != message.WorkerGone {
		return
	}
	w.listed = false
	e.workers.addTombstone(w, e.step.now())
	e.statuses.update(w, status, statusSource{})
	e.policySync.sync(w)
}

// processPartition processes a new assignment of workers to planners.
func (e *endpointHandler) processPartition(ownerOf func(w *dispatch.Worker) string) {
	partition := &e.workers.partition
	partition.ownerOf = ownerOf
	for _, worker := range e.workers.list {
		if worker.listed {
			e.updateOwner(worker, !partition.received)
			e.policySync.sync(worker)
		}
	}
	partition.received = true
	e.locations.resetPlacements()
}

// updateOwner updates whether a worker is assigned to this planner. If it was assigned to another planner before and is
// still warming up, it gets no work for one overload window, because what the other planner sent it recently is unknown.
// isNew states that the worker had no owner before.
func (e *endpointHandler) updateOwner(w *worker, isNew bool) {
	isOurs := e.workers.partition.owner(w) == e.workers.partition.local
	isTakenOver := isOurs && !w.owned && !isNew
	if isTakenOver && e.settings.OverloadWindow > 0 && e.step.now()-w.startedAt() < e.settings.WarmUp {
		w.noWorkUntil = e.step.now() + e.settings.OverloadWindow
		e.takeovers = append(e.takeovers, takeover{w.noWorkUntil, w})
	}
	w.owned = isOurs
}

// expireTakeovers updates the policy's view of the workers whose takeover has expired, so that they get work again.
func (e *endpointHandler) expireTakeovers() {
	for len(e.takeovers) > 0 && e.takeovers[0].expiresAt <= e.step.now() {
		worker := e.takeovers[0].worker
		e.takeovers[0] = takeover{}
		e.takeovers = e.takeovers[1:]
		if e.workers.byID[worker.ID] == worker {
			e.policySync.sync(worker)
		}
	}
}

// entryStatus returns the worker status that corresponds to an entry of the endpoint list.
func entryStatus(entry *dispatch.Worker, revision int64) message.WorkerStatus {
	status := message.WorkerStatus{
		WorkerID:  entry.ID,
		StartedMs: max(entry.BootAt.Milliseconds(), 0),
		Revision:  revision,
	}
	if !entry.Ready {
		status.State = message.WorkerDraining
	}
	return status
}
