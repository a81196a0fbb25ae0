package planner

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// endpointsChanged takes in a watch event and tells the policy of it.
func (p *Planner) endpointsChanged(list dispatch.WorkerList) {
	if list.Kind == dispatch.ListUnavailable {
		p.policy.subscribing = false
		p.notifyPolicy(list)
		return
	}
	p.flushWorkerUpdates() // the policy is told of earlier changes before
	table := &p.workers
	table.revision = list.Revision
	p.policy.subscribing = p.policy.subscribing && list.Kind == dispatch.ListCached
	isFull := list.Kind != dispatch.ListDelta
	if isFull {
		table.listSequence++
	}
	for i := range list.Workers {
		p.endpointChanged(&list.Workers[i], list.Revision)
	}
	if isFull {
		p.removeUnlisted(list.Revision)
		list.Workers = p.policyWorkers()
	} else {
		list.Workers = table.updates
	}
	table.synced = true
	table.updates = nil // the list has them
	p.notifyPolicy(list)
}

// endpointSourceChanged takes in that revisions begin anew.
func (p *Planner) endpointSourceChanged() {
	for _, worker := range p.workers.list {
		worker.status.Revision = 0
	}
	p.workers.revision = 0
}

// endpointChanged takes in an entry of the list.
func (p *Planner) endpointChanged(entry *dispatch.Worker, revision int64) {
	if entry.Removed {
		if known := p.workers.byID[entry.ID]; known != nil && known.listed {
			known.BootAt = max(known.BootAt, entry.BootAt)
			p.endpointRemoved(known, revision)
		}
		return
	}
	worker := p.ensureWorker(entry.ID)
	isNew := !worker.listed
	worker.Worker = *entry
	worker.listed = true
	worker.listSequence = p.workers.listSequence
	if isNew || p.workers.partition.ownerOf != nil {
		p.updateOwner(worker, isNew)
	}
	p.updateStatus(worker, entryStatus(entry, revision), statusSource{})
	p.syncWorker(worker)
}

// removeUnlisted takes in that workers are not on the newest full list.
func (p *Planner) removeUnlisted(revision int64) {
	table := &p.workers
	for i := len(table.list) - 1; i >= 0; i-- { // backwards, as the last worker takes the place of one that is removed
		worker := table.list[i]
		if worker.listed && worker.listSequence != table.listSequence {
			p.endpointRemoved(worker, revision)
		}
	}
}

// endpointRemoved takes in that a worker is not on the list any more, unless a newer status says that it is there.
func (p *Planner) endpointRemoved(w *worker, revision int64) {
	status := entryStatus(&w.Worker, revision)
	status.State = message.WorkerGone
	if w.hasStatus && w.status.Supersedes(status) && w.status.State != message.WorkerGone {
		return
	}
	w.listed = false
	p.workers.addTombstone(w, p.now)
	p.updateStatus(w, status, statusSource{})
	p.syncWorker(w)
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
