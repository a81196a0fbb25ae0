package dispatch

import (
	"math"
)

// applyList takes in the entries of a list. A worker that is removed is forgotten once nothing of ours is in flight there.
func (d *Dispatcher) applyList(e WorkerList) {
	isDelta := e.Kind == ListDelta
	if !isDelta {
		for _, w := range d.workerList {
			w.listed = false
		}
	}
	for _, entry := range e.Workers {
		w := d.applyEntry(entry)
		if w != nil && isDelta {
			d.forgetWorker(w)
		}
	}
	for i := len(d.workerList) - 1; i >= 0 && !isDelta; i-- { // each that goes leaves its place to the last
		if w := d.workerList[i]; !w.listed {
			w.Ready, w.listedReady = false, false
			d.rings.update(w)
			d.markDirty(w)
			d.forgetWorker(w)
		}
	}
	d.updateAllCordoned()
	d.updatePreferences()
	d.leases.handleWorkerList(d.workerList)
}

// applyEntry takes in one entry of a list, and returns its worker; nil: it is removed and was not known.
func (d *Dispatcher) applyEntry(entry Worker) *workerInfo {
	worker := d.workers[entry.ID]
	switch {
	case worker == nil && entry.Removed:
		return nil
	case worker == nil:
		logSpeed := d.workload.machineKind(entry.Kind).logSpeed
		worker = &workerInfo{limit: 1, logSpeed: logSpeed, speed: math.Exp(logSpeed)}
		d.addWorker(entry.ID, worker)
	case entry.BootAt > worker.BootAt && worker.ID != 0: // a new process: what was known of the old one is void
		worker.resetProcess()
		worker.returnedAt = 0
	}
	hasMoved := worker.onRing && (worker.Zone != entry.Zone || worker.Kind != entry.Kind)
	worker.Worker, worker.listed, worker.listedReady = entry, !entry.Removed, entry.Ready && !entry.Removed
	worker.Ready = worker.listedReady && !d.isCordoned(worker)
	worker.machine = d.workload.machineKind(entry.Kind)
	if hasMoved {
		d.rings.reset()
	}
	d.rings.update(worker)
	d.markDirty(worker)
	if worker.Ready {
		d.workload.maxLogSpeed = max(d.workload.maxLogSpeed, worker.logSpeed) // known at once: a job thought out of reach is rejected
	}
	return worker
}

// addWorker has a worker known by an id.
func (d *Dispatcher) addWorker(id uint64, w *workerInfo) {
	w.position = len(d.workerList)
	w.timer = timer{purpose: workerAvailable, worker: w}
	d.workers[id] = w
	d.workerList = append(d.workerList, w)
	d.leases.coordinator.forgetMembers()
}

// forgetWorker drops a worker that is not listed any more, once nothing of ours is in flight there.
func (d *Dispatcher) forgetWorker(w *workerInfo) {
	if w.listed || len(w.inFlight)+w.orphans > 0 || d.workers[w.ID] != w {
		return
	}
	delete(d.workers, w.ID)
	d.leases.coordinator.forgetMembers()
	d.available.drop(w)
	d.cancelTimer(&w.timer)
	last := d.workerList[len(d.workerList)-1]
	d.workerList[w.position], last.position = last, w.position
	d.workerList[len(d.workerList)-1] = nil
	d.workerList = d.workerList[:len(d.workerList)-1]
}

// resetProcess forgets what was known of a worker's process.
func (w *workerInfo) resetProcess() {
	w.limit, w.rejectedDemand = 1, 0
	w.ejectionTime, w.ejectedUntil = 0, 0
	w.failures, w.connLost = 0, false
	w.reportedAt, w.learnedAt = 0, 0
}

// forgetFaults forgets what was known of a worker's process, and whatever kept jobs from it.
func (w *workerInfo) forgetFaults() {
	w.resetProcess()
	w.broken = false
	w.backoff, w.backoffUntil = 0, 0
	w.returnedAt = 0
}

// orphanAttempts frees the slots of what is in flight at a worker whose process is gone, and returns it. The attempts are
// still in flight: their outcomes are yet to come.
func (d *Dispatcher) orphanAttempts(w *workerInfo) []*attemptInfo {
	orphans := w.inFlight
	for _, a := range orphans {
		a.orphaned = true
		d.leases.client.endAttempt(a, Cancelled)
		d.usedSlots = max(0, d.usedSlots-a.job.demand)
	}
	w.inFlight, w.usedSlots, w.runningSlots, w.connections = nil, 0, 0, 0
	w.orphans += len(orphans)
	return orphans
}

// countReady counts the workers that may be sent jobs.
func (d *Dispatcher) countReady() int {
	ready := 0
	for _, w := range d.workerList {
		if w.Ready {
			ready++
		}
	}
	return ready
}

// AvoidedWorkers counts the listed workers that this dispatcher avoids now, as cordoned or as ejected.
func (d *Dispatcher) AvoidedWorkers() int {
	avoided := 0
	for _, w := range d.workerList {
		if w.listed && (d.isCordoned(w) || w.Ready && d.isEjected(w)) {
			avoided++
		}
	}
	return avoided
}

// AvailableSlots is how many slots of ours workers could start now, as far as is known.
func (d *Dispatcher) AvailableSlots() float64 {
	slots := 0.0
	for _, w := range d.workerList {
		if w.Ready && d.now >= w.backoffUntil && !d.isEjected(w) {
			slots += max(0, min(w.limit, d.maxSlots(w))*d.warmUpShare(w)-w.usedSlots)
		}
	}
	return slots
}
