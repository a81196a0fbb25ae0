package dispatch

// Cordons: operators can exclude workers from new jobs. The design does not cover cordons. What it calls a
// "ready worker" is one that is listed as ready and not cordoned.

import "time"

// uncordonedIdleDelay is how long after its cordon has ended a worker that has been sent nothing may also be
// sent jobs that will be late there.
const uncordonedIdleDelay = 2 * time.Second

// cordons are the workers that operators have cordoned, listed or not.
type cordons struct {
	since      map[uint64]time.Duration // by worker: when it was cordoned
	coverFleet bool                     // all listed workers are cordoned
}

func newCordons() cordons { return cordons{since: map[uint64]time.Duration{}} }

// add cordons a worker. One that is cordoned already keeps its earlier time.
func (c *cordons) add(worker uint64, now time.Duration) {
	if !c.contains(worker) {
		c.since[worker] = now
	}
}

// remove uncordons a worker, and returns the time since which it was cordoned. ok is false if it was not.
func (c *cordons) remove(worker uint64) (since time.Duration, ok bool) {
	since, ok = c.since[worker]
	delete(c.since, worker)
	return since, ok
}

func (c *cordons) contains(worker uint64) bool {
	_, ok := c.since[worker]
	return ok
}

// updateCoverage recomputes coverFleet. Call it after a change of the cordons or of the list.
func (c *cordons) updateCoverage(workers []*workerInfo) {
	c.coverFleet = len(c.since) > 0 && len(workers) > 0
	for _, w := range workers {
		c.coverFleet = c.coverFleet && (!w.listed || c.contains(w.ID))
	}
}

// handleCordoned keeps all new jobs from a worker. Attempts in flight there are not cancelled.
func (d *Dispatcher) handleCordoned(id uint64) {
	d.cordons.add(id, d.now)
	if w := d.fleet.byID[id]; w != nil {
		w.Ready = false
		d.fleet.markDirty(w)
	}
	d.cordons.updateCoverage(d.fleet.workers)
}

// handleUncordoned ends a cordon. The worker counts as restarted: its attempts in flight use no slots any
// more, and their jobs are retried elsewhere. It warms up from now on, or from its listed start if that is
// after the cordon began.
func (d *Dispatcher) handleUncordoned(id uint64) {
	since, wasCordoned := d.cordons.remove(id)
	d.cordons.updateCoverage(d.fleet.workers)
	worker := d.fleet.byID[id]
	if worker == nil || !wasCordoned {
		return
	}
	worker.clearFaults()
	if worker.BootAt <= since {
		worker.slowStart.restartedAt = d.now
	}
	worker.Ready = worker.listedReady
	worker.uncordonedAt = d.now
	for _, a := range d.orphanAttempts(worker) {
		d.retryElsewhere(a.job)
	}
	d.fleet.markDirty(worker)
}

// acceptsLate reports whether a worker may be sent a job although the job would be late there. That holds
// only if the job is idempotent, and the worker has been sent nothing for uncordonedIdleDelay after its
// cordon ended.
func (w *workerInfo) acceptsLate(job *jobInfo, now time.Duration) bool {
	isIdle := w.uncordonedAt > 0 && now-w.uncordonedAt > uncordonedIdleDelay
	return isIdle && job.class.Idempotency == Idempotent
}
