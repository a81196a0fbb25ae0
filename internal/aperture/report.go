package aperture

import "valvecove/dispatch"

// applyList takes in an update of the list, and returns what the policy sees of it.
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
	a.updates = a.updates[:0] // all of them are in the list
	visible.Workers = a.reportedWorkers()
	return visible
}

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
		a.fleet.forget(known)
	}
}

// visibleChanges is what the policy sees of the workers that have changed.
func (a *Aperture) visibleChanges(changed []dispatch.Worker) (visible []dispatch.Worker) {
	for _, status := range changed {
		if w := a.fleet.workers[status.ID]; w != nil {
			visible = a.appendStatus(w, visible)
		}
	}
	return visible
}

// unlistMissing takes out the workers that are not in a complete list.
func (a *Aperture) unlistMissing() {
	for _, u := range a.fleet.units {
		for i := len(u.workers) - 1; i >= 0; i-- { // backwards, as the last takes the place of one that leaves
			w := u.workers[i]
			if w.listVersion != a.fleet.listVersion {
				a.fleet.unlist(w)
				a.fleet.forget(w)
			}
		}
	}
}

// reportWorkers adds to the updates what has changed of workers for the policy.
func (a *Aperture) reportWorkers(workers []*worker) {
	for _, w := range workers {
		a.updates = a.appendStatus(w, a.updates)
	}
}

// appendStatus appends the status of a worker if that has changed for the policy.
func (a *Aperture) appendStatus(known *worker, dst []dispatch.Worker) []dispatch.Worker {
	var ready bool
	switch {
	case known.unit != nil && known.unit.selected:
		ready = known.Ready
	case known.unit != nil && known.inFlight > 0: // it is outside of the subset, and stays visible for its attempts
	case known.reported:
		return append(dst, a.hide(known))
	default:
		return dst
	}
	if !known.reported || known.changed || known.reportedReady != ready || known.reportedRank != known.unit.rank {
		dst = append(dst, known.report(ready))
	}
	return dst
}

// hide removes a worker from the policy's list, and returns the status that says so.
func (a *Aperture) hide(w *worker) dispatch.Worker {
	status := w.Worker
	status.Ready = false
	status.Removed = true
	if w.unit != nil {
		a.deselected = append(a.deselected, w.ID)
		a.fleet.clearResponses(w) // it will not respond, and is as good as another
	}
	a.fleet.forget(w)
	return status
}

// reportedWorkers is the policy's list.
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

// appendOwnUpdate appends a list update with what the aperture itself has changed, if anything. While the policy awaits a
// list it would take changes for it, so it gets the whole list as it was known.
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
