package dispatch

import (
	"slices"
)

// workerFleet holds the workers, listed or with attempts in flight, and the indexes over them.
type workerFleet struct {
	byID       map[uint64]*workerInfo
	workers    []*workerInfo // all workers, in an order that is the same in each run
	available  workerIndex   // those that may have capacity
	rings      preferenceRings
	dirty      []*workerInfo   // to be reindexed before the next choice
	readyZones []int           // that have ready workers, ascending
	zoneBusy   map[int]float64 // by zone: the estimated probability that a worker has no free slot
}

func newWorkerFleet() workerFleet {
	return workerFleet{byID: map[uint64]*workerInfo{}, zoneBusy: map[int]float64{}}
}

// applyList takes in the entries of a list. A worker that is removed is forgotten once nothing of ours is in flight there.
func (d *Dispatcher) applyList(e WorkerList) {
	isDelta := e.Kind == ListDelta
	if !isDelta {
		for _, w := range d.fleet.workers {
			w.listed = false
		}
	}
	for _, entry := range e.Workers {
		w := d.applyEntry(entry)
		if w != nil && isDelta {
			d.forgetWorker(w)
		}
	}
	for i := len(d.fleet.workers) - 1; i >= 0 && !isDelta; i-- { // each that goes leaves its place to the last
		if w := d.fleet.workers[i]; !w.listed {
			w.Ready, w.listedReady = false, false
			d.fleet.rings.update(w)
			d.markDirty(w)
			d.forgetWorker(w)
		}
	}
	d.updateAllCordoned()
	d.updateReadyZones()
	d.updatePreferences()
	d.coordinator.members = nil
	d.coordinator.unchanged = false
}

// updateReadyZones notes which zones have ready workers.
func (d *Dispatcher) updateReadyZones() {
	d.fleet.readyZones = d.fleet.readyZones[:0]
	for _, w := range d.fleet.workers {
		if w.Ready && !slices.Contains(d.fleet.readyZones, w.Zone) {
			d.fleet.readyZones = append(d.fleet.readyZones, w.Zone)
		}
	}
	slices.Sort(d.fleet.readyZones)
}

// applyEntry takes in one entry of a list, and returns its worker; nil: it is removed and was not known.
func (d *Dispatcher) applyEntry(entry Worker) *workerInfo {
	worker := d.fleet.byID[entry.ID]
	switch {
	case worker == nil && entry.Removed:
		return nil
	case worker == nil:
		logSpeed := d.machineKind(entry.Kind).logSpeed
		worker = &workerInfo{slots: slotLimit{limit: 1}, speed: newRelativeSpeed(logSpeed)}
		d.addWorker(entry.ID, worker)
	case entry.BootAt > worker.BootAt && worker.ID != 0: // a new process: what was known of the old one is void
		worker.resetProcess()
		worker.slowStart.restartedAt = 0
	}
	hasMoved := worker.index.onRing && (worker.Zone != entry.Zone || worker.Kind != entry.Kind)
	worker.Worker, worker.listed, worker.listedReady = entry, !entry.Removed, entry.Ready && !entry.Removed
	worker.Ready = worker.listedReady && !d.isCordoned(worker)
	worker.machine = d.machineKind(entry.Kind)
	if hasMoved {
		d.fleet.rings.reset()
	}
	d.fleet.rings.update(worker)
	d.markDirty(worker)
	if worker.Ready {
		d.topSpeed = max(d.topSpeed, worker.speed.log) // known at once: a job thought out of reach is rejected
	}
	return worker
}

// addWorker has a worker known by an id.
func (d *Dispatcher) addWorker(id uint64, w *workerInfo) {
	w.position = len(d.fleet.workers)
	w.timer = timer{purpose: workerAvailable, worker: w}
	d.fleet.byID[id] = w
	d.fleet.workers = append(d.fleet.workers, w)
	d.coordinator.members = nil
}

// forgetWorker drops a worker that is not listed any more, once nothing of ours is in flight there.
func (d *Dispatcher) forgetWorker(w *workerInfo) {
	if w.listed || len(w.inFlight)+w.orphans > 0 || d.fleet.byID[w.ID] != w {
		return
	}
	delete(d.fleet.byID, w.ID)
	d.coordinator.members = nil
	d.fleet.available.drop(w)
	d.cancelTimer(&w.timer)
	last := d.fleet.workers[len(d.fleet.workers)-1]
	d.fleet.workers[w.position], last.position = last, w.position
	d.fleet.workers[len(d.fleet.workers)-1] = nil
	d.fleet.workers = d.fleet.workers[:len(d.fleet.workers)-1]
}

// resetProcess forgets what was known of a worker's process.
func (w *workerInfo) resetProcess() {
	w.slots.limit, w.slots.rejectedDemand = 1, 0
	w.outlier.ejectionTime, w.outlier.ejectedUntil = 0, 0
	w.outlier.failures, w.outlier.connectionLost = 0, false
	w.report.receivedAt, w.speed.observedAt = 0, 0
}

// forgetFaults forgets what was known of a worker's process, and whatever kept jobs from it.
func (w *workerInfo) forgetFaults() {
	w.resetProcess()
	w.outlier.failing = false
	w.backoff.delay, w.backoff.until = 0, 0
	w.slowStart.restartedAt = 0
}

// orphanAttempts frees the slots of what is in flight at a worker whose process is gone, and returns it. The attempts are
// still in flight: their outcomes are yet to come.
func (d *Dispatcher) orphanAttempts(w *workerInfo) []*attemptInfo {
	orphans := w.inFlight
	for _, a := range orphans {
		a.orphaned = true
		d.releaseLease(a, Cancelled)
		d.starts.usedSlots = max(0, d.starts.usedSlots-a.job.demand)
	}
	w.inFlight, w.slots.used, w.slots.running, w.connections.open = nil, 0, 0, 0
	w.orphans += len(orphans)
	return orphans
}

// countReady counts the workers that may be sent jobs.
func (d *Dispatcher) countReady() int {
	ready := 0
	for _, w := range d.fleet.workers {
		if w.Ready {
			ready++
		}
	}
	return ready
}

// AvoidedWorkers counts the listed workers that this dispatcher avoids now, as cordoned or as ejected.
func (d *Dispatcher) AvoidedWorkers() int {
	avoided := 0
	for _, w := range d.fleet.workers {
		if w.listed && (d.isCordoned(w) || w.Ready && d.isEjected(w)) {
			avoided++
		}
	}
	return avoided
}

// AvailableSlots is how many slots of ours workers could start now, as far as is known.
func (d *Dispatcher) AvailableSlots() float64 {
	slots := 0.0
	for _, w := range d.fleet.workers {
		if w.Ready && d.now >= w.backoff.until && !d.isEjected(w) {
			slots += max(0, min(w.slots.limit, d.maxSlots(w))*d.warmUpShare(w)-w.slots.used)
		}
	}
	return slots
}
