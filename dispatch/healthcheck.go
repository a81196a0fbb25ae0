package dispatch

import "time"

// Health checks of workers before a choice, where settings allow them and at a bounded price. The design
// is silent on them.

const (
	healthCheckBudget = 0.006                  // part of the result that health checks may cost
	checksPerJob      = 3                      // workers checked for a job
	checkSamples      = 8                      // workers drawn to find one of them
	minCheckInterval  = 100 * time.Millisecond // between two checks of a worker
	checkWaitDivisor  = 16                     // a job waits for answers for this part of its objective
)

// earnCheckTokens adds what one job pays for health checks: as many as their budget allows at their price.
func (d *Dispatcher) earnCheckTokens() {
	affordable := healthCheckBudget / max(d.settings.HealthCheckCost, 1e-9)
	earned := min(checksPerJob, affordable)
	d.checks.add(earned, float64(len(d.workerList)))
}

// requestChecks has a few workers checked for a job, which waits a moment for their reports.
func (d *Dispatcher) requestChecks(j *jobInfo) {
	for n := 0; n < checksPerJob && d.settings.HealthChecks && d.checks.has(1); n++ {
		w := d.chooseCheck(j)
		if w == nil {
			return
		}
		w.checking, w.checkedAt = true, d.now
		d.checks.take(1)
		d.emit(HealthCheck{Worker: w.ID})
		j.checksUntil = d.now + 2*d.minStartDelay + j.class.LatencyObjective/checkWaitDivisor
		d.setTimer(&j.checksTimer, j.checksUntil)
	}
}

// checkCandidates are the workers that one is drawn from to be checked. Where searches go by preference
// these are such as the next one looks at: a check of any other tells nothing of use, and opens a
// connection.
func (d *Dispatcher) checkCandidates(dst []*workerInfo) []*workerInfo {
	if !d.available.isOrdered() {
		return d.workerList
	}
	bucket := d.workerList[d.rng.IntN(len(d.workerList))].bucket
	if bucket == nil || !bucket.isSteady() || len(bucket.levels[0]) == 0 {
		return d.workerList
	}
	return appendPreferred(dst, bucket.levels[0], d.available.preferredCount(bucket))
}

// chooseCheck is the worker not checked for longest, of some drawn at random, so that not all dispatchers
// check the same ones. Those of other zones are checked as far as our own is the busier.
func (d *Dispatcher) chooseCheck(j *jobInfo) (oldest *workerInfo) {
	own := d.settings.Zone
	var buffer [preferredWorkers]*workerInfo
	candidates := d.checkCandidates(buffer[:0])
	for range min(len(candidates), checkSamples) {
		w := candidates[d.rng.IntN(len(candidates))]
		isNear := w.Zone == own || d.rng.Float64() < d.zoneBusy[own]*(1-d.zoneBusy[w.Zone])
		isDue := w.Ready && !w.checking && d.now-w.checkedAt >= minCheckInterval
		if isDue && j.class.allows(w.Kind, w.Zone) && (isNear || d.settings.CrossZoneCost == 0) &&
			(oldest == nil || w.checkedAt < oldest.checkedAt) {
			oldest = w
		}
	}
	return oldest
}

// awaitsCheck tells whether a worker is being checked and has given no sign of life since.
func (w *workerInfo) awaitsCheck() bool { return w.checking && w.aliveAt < w.checkedAt }

// onHealthChecked takes in the end of a health check.
func (d *Dispatcher) onHealthChecked(e HealthChecked) {
	worker := d.workers[e.Worker]
	if worker == nil {
		return
	}
	worker.checking = false
	switch e.Result {
	case OK:
		d.minCheckDelay = min(d.minCheckDelay, d.now-worker.checkedAt)
		d.markAlive(worker)
		d.applyReport(worker, e.Report)
	case WorkerFull, NotSent: // it tells nothing of the worker's health
	default:
		d.eject(worker, true, "does not answer a probe")
	}
}
