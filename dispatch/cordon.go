package dispatch

import "time"

// Cordons: workers that operators keep from new jobs. The design is silent on them.

// cordons are the workers that operators have cordoned, listed or not.
type cordons struct {
	since      map[uint64]time.Duration // by worker: when it was cordoned
	coverFleet bool                     // all listed workers are cordoned
}

func newCordons() cordons { return cordons{since: map[uint64]time.Duration{}} }

const uncordonedWait = 2 * time.Second // idle for this, an uncordoned worker gets late jobs too

// cordon keeps all new jobs from a worker; what is in flight goes on.
func (d *Dispatcher) cordon(id uint64) {
	if _, isCordoned := d.cordons.since[id]; !isCordoned {
		d.cordons.since[id] = d.now
	}
	if w := d.fleet.byID[id]; w != nil {
		w.Ready = false
		d.markDirty(w)
	}
	d.updateAllCordoned()
}

// uncordon ends that. The worker counts as restarted: it warms up, and what was in flight there is lost.
func (d *Dispatcher) uncordon(id uint64) {
	since, wasCordoned := d.cordons.since[id]
	delete(d.cordons.since, id)
	d.updateAllCordoned()
	worker := d.fleet.byID[id]
	if worker == nil || !wasCordoned {
		return
	}
	worker.forgetFaults()
	if worker.BootAt <= since {
		worker.slowStart.restartedAt = d.now
	}
	worker.Ready, worker.uncordonedAt = worker.listedReady, d.now
	for _, a := range d.orphanAttempts(worker) {
		d.retryElsewhere(a.job)
	}
	d.markDirty(worker)
}

// mayTryUncordoned lets an idempotent job that would be late try a worker that was uncordoned and left idle.
func (d *Dispatcher) mayTryUncordoned(j *jobInfo, w *workerInfo) bool {
	return w.uncordonedAt > 0 && d.now-w.uncordonedAt > uncordonedWait && j.class.Idempotency == Idempotent
}

// isCordoned tells whether a worker is kept from jobs by the operators.
func (d *Dispatcher) isCordoned(w *workerInfo) bool {
	_, is := d.cordons.since[w.ID]
	return is
}

// updateAllCordoned notes whether all listed workers are cordoned.
func (d *Dispatcher) updateAllCordoned() {
	d.cordons.coverFleet = len(d.cordons.since) > 0 && len(d.fleet.workers) > 0
	for _, w := range d.fleet.workers {
		d.cordons.coverFleet = d.cordons.coverFleet && (!w.listed || d.isCordoned(w))
	}
}
