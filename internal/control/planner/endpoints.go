package planner

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// statusUpdater keeps a worker's status if that is newer than the one before.
type statusUpdater interface {
	update(w *worker, status message.WorkerStatus, source statusSource)
}

// listReceiver is the policy: it is notified of events, and a list ends its subscription.
type listReceiver interface {
	notifier
	endpointListReceived(kind dispatch.ListKind)
}

// endpointHandler processes changes of the endpoint list and of the assignment of workers to planners.
type endpointHandler struct {
	settings   *dispatch.Settings
	step       *step
	locations  *locationIndex
	policy     listReceiver
	policySync *policySync
	statuses   statusUpdater
	workers    *workerTable

	takeovers []takeover // by time
}

// processList processes a watch event and notifies the policy of it.
func (e *endpointHandler) processList(list dispatch.WorkerList) {
	if list.Kind == dispatch.ListUnavailable {
		e.policy.endpointListReceived(list.Kind)
		e.policy.notify(list)
		return
	}
	e.policySync.flush() // the policy is notified of earlier changes first
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
		e.policySync.takeUpdates() // the full list has them
		list.Workers = e.policySync.workersOfPolicy()
	} else {
		list.Workers = e.policySync.takeUpdates()
	}
	table.synced = true
	e.policy.notify(list)
}

// processSourceChange discards the revisions, which restart with a new source.
func (e *endpointHandler) processSourceChange() {
	for _, worker := range e.workers.list {
		worker.status.Revision = 0
	}
	e.workers.revision = 0
}

// update processes an entry of the list.
func (e *endpointHandler) update(entry *dispatch.Worker, revision int64) {
	if entry.Removed {
		if known := e.workers.byID[entry.ID]; known != nil && known.listed {
			known.BootAt = max(known.BootAt, entry.BootAt)
			e.remove(known, revision)
		}
		return
	}
	worker := e.workers.ensure(entry.ID)
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

// removeUnlisted removes the workers that are not on the newest full list.
func (e *endpointHandler) removeUnlisted(revision int64) {
	table := e.workers
	for i := len(table.list) - 1; i >= 0; i-- { // backwards, as the last worker takes the place of one that is removed
		worker := table.list[i]
		if worker.listed && worker.listSequence != table.listSequence {
			e.remove(worker, revision)
		}
	}
}

// remove marks a worker as not listed, unless a newer status reports that it is not gone.
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
			e.updateOwner(worker, !partition.known)
			e.policySync.sync(worker)
		}
	}
	partition.known = true
	e.locations.resetPlacements()
}

// updateOwner determines whether a worker is assigned to this planner. One that was another planner's gets no work for one
// overload window while it is warming up: what that planner has sent it recently is unknown. isNew: it had no owner before.
func (e *endpointHandler) updateOwner(w *worker, isNew bool) {
	isOurs := e.workers.partition.owner(w) == e.workers.partition.local
	isTakenOver := isOurs && !w.owned && !isNew
	if isTakenOver && e.settings.OverloadWindow > 0 && e.step.now()-w.startedAt() < e.settings.WarmUp {
		w.warmUntil = e.step.now() + e.settings.OverloadWindow
		e.takeovers = append(e.takeovers, takeover{w.warmUntil, w})
	}
	w.owned = isOurs
}

// expireTakeovers makes the workers available whose takeover has expired.
func (e *endpointHandler) expireTakeovers() {
	for len(e.takeovers) > 0 && e.takeovers[0].until <= e.step.now() {
		worker := e.takeovers[0].worker
		e.takeovers[0] = takeover{}
		e.takeovers = e.takeovers[1:]
		if e.workers.byID[worker.ID] == worker {
			e.policySync.sync(worker)
		}
	}
}

// entryStatus returns a worker's status by its entry in the list.
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
