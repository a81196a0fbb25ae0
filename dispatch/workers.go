package dispatch

// applyList applies the entries of a list. The state of a worker that is removed from the list is kept until
// no attempt of this dispatcher is in flight there.
func (d *Dispatcher) applyList(list WorkerList) {
	isDelta := list.Kind == ListDelta
	if !isDelta {
		for _, w := range d.fleet.workers {
			w.listed = false
		}
	}
	for _, entry := range list.Workers {
		worker := d.applyEntry(entry)
		if worker != nil && isDelta {
			d.forgetWorker(worker)
		}
	}
	if !isDelta {
		d.removeUnlisted()
	}
	d.cordons.updateCoverage(d.fleet.workers)
	d.updatePreferences()
	d.leases.handleWorkerList(d.fleet.workers)
}

// removeUnlisted removes the workers that are not on a full list.
func (d *Dispatcher) removeUnlisted() {
	for i := len(d.fleet.workers) - 1; i >= 0; i-- { // backwards, as the last worker replaces a removed one
		worker := d.fleet.workers[i]
		if worker.listed {
			continue
		}
		worker.Ready = false
		worker.listedReady = false
		d.fleet.rings.update(worker)
		d.fleet.markDirty(worker)
		d.forgetWorker(worker)
	}
}

// applyEntry applies one entry of a list, and returns its worker. It returns nil if the entry removes a
// worker that is not known.
func (d *Dispatcher) applyEntry(entry Worker) *workerInfo {
	worker := d.fleet.byID[entry.ID]
	switch {
	case worker == nil && entry.Removed:
		return nil
	case worker == nil:
		worker = newWorkerInfo(d.workload.machineKind(entry.Kind))
		d.addWorker(entry.ID, worker)
	case entry.BootAt > worker.BootAt && worker.ID != 0: // a new process: reset the state of the old one
		worker.resetProcess()
		worker.slowStart.restartedAt = 0
	}
	hasMoved := worker.index.onRing && (worker.Zone != entry.Zone || worker.Kind != entry.Kind)
	worker.Worker = entry
	worker.listed = !entry.Removed
	worker.listedReady = entry.Ready && !entry.Removed
	worker.Ready = worker.listedReady && !d.cordons.contains(worker.ID)
	worker.machine = d.workload.machineKind(entry.Kind)
	if hasMoved {
		d.fleet.rings.reset()
	}
	d.fleet.rings.update(worker)
	d.fleet.markDirty(worker)
	if worker.Ready {
		// Not left to the next maintenance: with too low a speed, objectives would seem unreachable, and jobs
		// would be rejected.
		d.workload.maxLogSpeed = max(d.workload.maxLogSpeed, worker.speed.log)
	}
	return worker
}

// addWorker adds a worker under an ID that is not in use.
func (d *Dispatcher) addWorker(id uint64, worker *workerInfo) {
	d.fleet.add(id, worker)
	d.leases.coordinator.forgetMembers()
}

// forgetWorker removes a worker that is not listed any more, unless an attempt of this dispatcher is in
// flight there.
func (d *Dispatcher) forgetWorker(worker *workerInfo) {
	if worker.listed || len(worker.inFlight)+worker.orphans > 0 || !d.fleet.contains(worker) {
		return
	}
	d.fleet.remove(worker)
	d.leases.coordinator.forgetMembers()
	d.cancelTimer(&worker.timer)
}

// reindex updates the position of a worker in the index of available workers, and sets its timer if it will
// become available without any event.
func (d *Dispatcher) reindex(worker *workerInfo) {
	worker.index.dirty = false
	warmingUp := worker.warmUpShare(&d.settings, d.now) < 1
	if d.fleet.contains(worker) && worker.mayHaveCapacity(d.now) {
		key := bucketKey{
			zone:      worker.Zone,
			kind:      worker.Kind,
			warmingUp: warmingUp,
			ejected:   worker.outlier.ejectionTime > 0,
		}
		d.fleet.available.insert(worker, key)
	} else {
		d.fleet.available.remove(worker)
	}
	wakeAt := worker.backoff.until
	warmAt := worker.warmUpStart() + d.settings.WarmUp
	if warmingUp && (wakeAt <= d.now || warmAt < wakeAt) {
		wakeAt = warmAt
	}
	if wakeAt > d.now && worker.Ready {
		d.setTimer(&worker.timer, wakeAt)
	}
}

// orphanAttempts releases the slots of the attempts at a worker whose process has ended, and returns the
// attempts. They stay in flight until their outcomes arrive.
func (d *Dispatcher) orphanAttempts(worker *workerInfo) []*attemptInfo {
	orphans := worker.inFlight
	for _, attempt := range orphans {
		attempt.orphaned = true
		d.leases.client.endAttempt(attempt, Cancelled)
		d.starts.releaseSlots(attempt.job.demand)
	}
	worker.inFlight = nil
	worker.slots.used = 0
	worker.slots.running = 0
	worker.connections.open = 0
	worker.orphans += len(orphans)
	return orphans
}

// AvoidedWorkers returns the number of listed workers that this dispatcher avoids now because they are
// cordoned or ejected.
func (d *Dispatcher) AvoidedWorkers() int {
	avoided := 0
	for _, w := range d.fleet.workers {
		isAvoided := d.cordons.contains(w.ID) || w.Ready && d.outliers.isEjected(w)
		if w.listed && isAvoided {
			avoided++
		}
	}
	return avoided
}

// AvailableSlots returns how many slots the workers have free for jobs of this dispatcher, as far as it
// knows.
func (d *Dispatcher) AvailableSlots() float64 {
	slots := 0.0
	for _, w := range d.fleet.workers {
		if w.Ready && d.now >= w.backoff.until && !d.outliers.isEjected(w) {
			slots += max(0, min(w.slots.limit, d.maxSlots(w))*w.warmUpShare(&d.settings, d.now)-w.slots.used)
		}
	}
	return slots
}
