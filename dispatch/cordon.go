package dispatch

import "time"

// Cordons: workers that operators keep from new jobs. The design is silent on them.

const uncordonedWait = 2 * time.Second // idle for this, an uncordoned worker gets late jobs too

// cordon keeps all new jobs from a worker; what is in flight goes on.
func (d *Dispatcher) cordon(id uint64) {
	if _, isCordoned := d.cordoned[id]; !isCordoned {
		d.cordoned[id] = d.now
	}
	if w := d.workers[id]; w != nil {
		w.Ready = false
		d.markDirty(w)
	}
	d.updateAllCordoned()
}

// uncordon ends that. The worker counts as restarted: it warms up, and what was in flight there is lost.
func (d *Dispatcher) uncordon(id uint64) {
	since, wasCordoned := d.cordoned[id]
	delete(d.cordoned, id)
	d.updateAllCordoned()
	worker := d.workers[id]
	if worker == nil || !wasCordoned {
		return
	}
	worker.forgetFaults()
	if worker.BootAt <= since {
		worker.returnedAt = d.now
	}
	worker.Ready, worker.uncordonedAt = worker.listedReady, d.now
	for _, a := range d.orphanAttempts(worker) {
		d.retryElsewhere(a.job)
	}
	d.markDirty(worker)
}

// mayTryUncordoned lets an idempotent job that would be late try a worker that was uncordoned and left
// idle.
func (d *Dispatcher) mayTryUncordoned(j *jobInfo, w *workerInfo) bool {
	return w.uncordonedAt > 0 && d.now-w.uncordonedAt > uncordonedWait && j.class.Idempotency == Idempotent
}

// isCordoned tells whether a worker is kept from jobs by the operators.
func (d *Dispatcher) isCordoned(w *workerInfo) bool {
	_, is := d.cordoned[w.ID]
	return is
}

// updateAllCordoned notes whether all listed workers are cordoned.
func (d *Dispatcher) updateAllCordoned() {
	d.allCordoned = len(d.cordoned) > 0 && len(d.workerList) > 0
	for _, w := range d.workerList {
		d.allCordoned = d.allCordoned && (!w.listed || d.isCordoned(w))
	}
}
