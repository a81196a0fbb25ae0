package aperture

import "valvecove/dispatch"

// applyList applies a list update from discovery, and returns the list update for the policy.
func (a *Aperture) applyList(list dispatch.WorkerList) dispatch.WorkerList {
	if list.Kind == dispatch.ListUnavailable {
		a.awaitingList = true
		return list
	}
	if list.Kind != dispatch.ListCached {
		a.awaitingList = false
	}
	if len(a.fleet.workers) == 0 {
		a.fleet.workers = make(map[uint64]*worker, len(list.Workers))
	}
	a.fleet.listVersion++
	for _, status := range list.Workers {
		a.applyStatus(status)
	}
	visible := list
	if list.Kind == dispatch.ListDelta {
		visible.Workers = a.visibleChanges(list.Workers)
		return visible
	}
	a.unlistMissing()
	a.refresh()
	for _, u := range a.fleet.units {
		a.reportWorkers(u.workers)
	}
	a.updates = a.updates[:0] // the full list contains them
	visible.Workers = a.reportedWorkers()
	return visible
}

// applyStatus applies one entry of a list update.
func (a *Aperture) applyStatus(status dispatch.Worker) {
	if !status.Removed {
		a.fleet.update(status)
		return
	}
	known := a.fleet.workers[status.ID]
	if known == nil || known.unit == nil {
		return
	}
	a.fleet.unlist(known)
	if !known.reported {
		a.fleet.markUnreported(known)
	}
}

// visibleChanges returns the changes that the policy must receive of the changed workers of a list update.
func (a *Aperture) visibleChanges(changed []dispatch.Worker) (visible []dispatch.Worker) {
	for _, status := range changed {
		if w := a.fleet.workers[status.ID]; w != nil {
			visible = a.appendStatus(w, visible)
		}
	}
	return visible
}

// unlistMissing removes the workers that the last full list does not contain.
func (a *Aperture) unlistMissing() {
	for _, u := range a.fleet.units {
		for i := len(u.workers) - 1; i >= 0; i-- { // backwards, as unit.remove moves the last worker
			w := u.workers[i]
			if w.listVersion != a.fleet.listVersion {
				a.fleet.unlist(w)
				a.fleet.markUnreported(w)
			}
		}
	}
}

// reportWorkers adds the status of workers to the updates for the policy, if it has changed.
func (a *Aperture) reportWorkers(workers []*worker) {
	for _, w := range workers {
		a.updates = a.appendStatus(w, a.updates)
	}
}

// appendStatus appends the status of a worker for the policy, if it has changed.
func (a *Aperture) appendStatus(known *worker, dst []dispatch.Worker) []dispatch.Worker {
	var ready bool
	switch {
	case known.unit != nil && known.unit.selected:
		ready = known.Ready
	case known.unit != nil && known.inFlight > 0: // outside of the subset: reported as not ready until its attempts have ended
	case known.reported:
		return append(dst, a.removeFromPolicy(known))
	default:
		return dst
	}
	if !known.reported || known.changed || known.reportedReady != ready || known.reportedRank != known.unit.rank {
		dst = append(dst, known.report(ready))
	}
	return dst
}

// removeFromPolicy removes a worker from the policy's list, and returns the status with which the policy removes it.
func (a *Aperture) removeFromPolicy(w *worker) dispatch.Worker {
	status := w.Worker
	status.Ready = false
	status.Removed = true
	if w.unit != nil {
		a.deselected = append(a.deselected, w.ID)
		a.fleet.clearResponses(w) // no response is expected any more
	}
	a.fleet.markUnreported(w)
	return status
}

// reportedWorkers returns the policy's full list.
func (a *Aperture) reportedWorkers() []dispatch.Worker {
	selected := 0
	for _, u := range a.fleet.units {
		if u.selected {
			selected += len(u.workers)
		}
	}
	list := make([]dispatch.Worker, 0, selected)
	for _, u := range a.fleet.units {
		for _, w := range u.workers {
			if w.reported {
				list = append(list, w.status())
			}
		}
	}
	return list
}

// appendOwnUpdate appends a list update with the changes that the aperture has made, if there are any. While the policy awaits a
// list from discovery, it receives its full list as a cached list instead: it would mistake an update for the awaited list.
func (a *Aperture) appendOwnUpdate(visible []dispatch.Event) []dispatch.Event {
	if len(a.updates) == 0 {
		return visible
	}
	update := dispatch.WorkerList{Kind: dispatch.ListDelta}
	if a.awaitingList {
		update.Kind = dispatch.ListCached
		update.Workers = a.reportedWorkers()
	} else {
		update.Workers = append([]dispatch.Worker(nil), a.updates...)
	}
	a.updates = a.updates[:0]
	return append(visible, update)
}
