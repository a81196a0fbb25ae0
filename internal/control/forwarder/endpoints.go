package forwarder

import (
	"cmp"
	"maps"
	"slices"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const maxInitialStatuses = 1024 // sent at the beginning of a session

// endpointList is the forwarder's own list of workers.
type endpointList struct {
	workers  map[uint64]dispatch.Worker
	revision int64
	synced   bool // there has been a list of discovery's own
}

// apply enters a list, and reports the status of each worker that has changed.
func (l *endpointList) apply(update dispatch.WorkerList, report func(message.WorkerStatus)) {
	l.revision = update.Revision
	before := l.workers
	isDelta := update.Kind == dispatch.ListDelta
	if !isDelta {
		l.workers = make(map[uint64]dispatch.Worker, len(update.Workers))
	}
	for _, worker := range update.Workers {
		previous, known := before[worker.ID]
		if worker.Removed {
			delete(l.workers, worker.ID)
			worker.BootAt = max(worker.BootAt, previous.BootAt)
		} else {
			l.workers[worker.ID] = worker
		}
		changed := l.isNoteworthy(worker, isDelta)
		if known {
			changed = worker.Removed || worker.Ready != previous.Ready || worker.BootAt != previous.BootAt
		}
		if changed {
			report(statusOf(worker, update.Revision))
		}
	}
	if !isDelta {
		l.reportMissing(before, report)
	}
	l.synced = l.synced || update.Kind != dispatch.ListCached
}

// isNoteworthy reports whether the status of a worker that was not listed before is to be reported. A full list names all
// workers: those that are ready are not reported there, and none is of the first list.
func (l *endpointList) isNoteworthy(worker dispatch.Worker, isDelta bool) bool {
	return !worker.Removed && (isDelta || !worker.Ready && l.synced)
}

// reportMissing reports the workers of a former list that are not listed any more as gone.
func (l *endpointList) reportMissing(before map[uint64]dispatch.Worker, report func(message.WorkerStatus)) {
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, listed := l.workers[id]; !listed {
			worker := before[id]
			worker.Removed = true
			report(statusOf(worker, l.revision))
		}
	}
}

// list returns all workers in the order of their IDs.
func (l *endpointList) list() []dispatch.Worker {
	return slices.SortedFunc(maps.Values(l.workers), func(a, b dispatch.Worker) int { return cmp.Compare(a.ID, b.ID) })
}

// statusOf returns the status of a worker by a list.
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

// endpointsChanged processes an update of the endpoint list. Planners are told of what has changed.
func (f *Forwarder) endpointsChanged(update dispatch.WorkerList) {
	f.subscription.observe(f.now, update.Kind, f.rng)
	if update.Kind == dispatch.ListUnavailable {
		f.notifyLocal(update)
		return
	}
	f.validator.Observe(f.now, update)
	f.endpoints.apply(update, func(status message.WorkerStatus) { f.broadcastStatus(status, nil) })
	update.Workers = f.withBlocked(update.Workers)
	f.notifyLocal(update)
}

// withBlocked returns a list as the local policy is told it: workers that planners report as draining are not ready.
func (f *Forwarder) withBlocked(list []dispatch.Worker) []dispatch.Worker {
	if f.local.policy == nil {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		if list[i].Ready && f.validator.Blocked(list[i].ID) {
			list[i].Ready = false
		}
	}
	return list
}

// workerStatusReceived processes the status of a worker as a planner knows it. If it is new, the other planners are told:
// they may not reach each other.
func (f *Forwarder) workerStatusReceived(sender *plannerSession, status message.WorkerStatus) {
	wasBlocked := f.validator.Blocked(status.WorkerID)
	if !f.validator.ObserveStatus(f.now, status) {
		return
	}
	f.broadcastStatus(status, sender)
	isBlocked := f.validator.Blocked(status.WorkerID)
	if isBlocked == wasBlocked {
		return
	}
	worker := f.endpoints.workers[status.WorkerID]
	worker.Ready = worker.Ready && !isBlocked
	f.notifyLocal(dispatch.WorkerList{
		Kind:     dispatch.ListDelta,
		Workers:  []dispatch.Worker{worker},
		Revision: f.endpoints.revision,
	})
}

// broadcastStatus tells all planners but one of the status of a worker.
func (f *Forwarder) broadcastStatus(status message.WorkerStatus, excluded *plannerSession) {
	for _, session := range f.sessions {
		if session != excluded {
			f.send(session, &status)
		}
	}
}

// sendUnavailableWorkers tells a planner that has accepted a session which workers are draining.
func (f *Forwarder) sendUnavailableWorkers(session *plannerSession) {
	sent := 0
	for _, id := range slices.Sorted(maps.Keys(f.endpoints.workers)) {
		worker := f.endpoints.workers[id]
		if worker.Ready {
			continue
		}
		if sent == maxInitialStatuses {
			return
		}
		sent++
		status := statusOf(worker, f.endpoints.revision)
		f.send(session, &status)
	}
}
