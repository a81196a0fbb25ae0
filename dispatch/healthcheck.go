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

// healthChecker holds the budget of health checks and their fastest answer.
type healthChecker struct {
	tokens   float64       // checks that may be sent
	minDelay time.Duration // least delay of any answer
}

// checkState is the latest health check of a worker.
type checkState struct {
	inProgress bool
	startedAt  time.Duration
}

// earnCheckTokens adds what one job pays for health checks: as many as their budget allows at their price.
func (d *Dispatcher) earnCheckTokens() {
	affordable := healthCheckBudget / max(d.settings.HealthCheckCost, 1e-9)
	earned := min(checksPerJob, affordable)
	d.checks.tokens = min(d.checks.tokens+earned, float64(len(d.fleet.workers)))
}

// requestChecks has a few workers checked for a job, which waits a moment for their reports.
func (d *Dispatcher) requestChecks(j *jobInfo) {
	for n := 0; n < checksPerJob && d.settings.HealthChecks && d.checks.tokens >= 1; n++ {
		w := d.chooseCheck(j)
		if w == nil {
			return
		}
		w.check.inProgress, w.check.startedAt = true, d.now
		d.checks.tokens--
		d.emit(HealthCheck{Worker: w.ID})
		j.checksUntil = d.now + 2*d.starts.minDelay + j.class.LatencyObjective/checkWaitDivisor
		d.setTimer(&j.checksTimer, j.checksUntil)
	}
}

// checkCandidates are the workers that one is drawn from to be checked. Where searches go by preference these
// are such as the next one looks at: a check of any other tells nothing of use, and opens a connection.
func (d *Dispatcher) checkCandidates(dst []*workerInfo) []*workerInfo {
	if !d.fleet.available.isOrdered() {
		return d.fleet.workers
	}
	bucket := d.fleet.workers[d.rng.IntN(len(d.fleet.workers))].index.bucket
	if bucket == nil || !bucket.isSteady() || len(bucket.levels[0]) == 0 {
		return d.fleet.workers
	}
	return appendPreferred(dst, bucket.levels[0], d.fleet.available.preferredCount(bucket))
}

// chooseCheck is the worker not checked for longest, of some drawn at random, so that not all dispatchers
// check the same ones. Those of other zones are checked as far as our own is the busier.
func (d *Dispatcher) chooseCheck(j *jobInfo) (oldest *workerInfo) {
	own := d.settings.Zone
	var buffer [preferredWorkers]*workerInfo
	candidates := d.checkCandidates(buffer[:0])
	for range min(len(candidates), checkSamples) {
		w := candidates[d.rng.IntN(len(candidates))]
		isNear := w.Zone == own || d.rng.Float64() < d.fleet.zoneBusy[own]*(1-d.fleet.zoneBusy[w.Zone])
		isDue := w.Ready && !w.check.inProgress && d.now-w.check.startedAt >= minCheckInterval
		if isDue && j.class.allows(w.Kind, w.Zone) && (isNear || d.settings.CrossZoneCost == 0) &&
			(oldest == nil || w.check.startedAt < oldest.check.startedAt) {
			oldest = w
		}
	}
	return oldest
}

// awaitsCheck tells whether a worker is being checked and has given no sign of life since.
func (w *workerInfo) awaitsCheck() bool {
	return w.check.inProgress && w.activity.aliveAt < w.check.startedAt
}

// onHealthChecked takes in the end of a health check.
func (d *Dispatcher) onHealthChecked(e HealthChecked) {
	worker := d.fleet.byID[e.Worker]
	if worker == nil {
		return
	}
	worker.check.inProgress = false
	switch e.Result {
	case OK:
		d.checks.minDelay = min(d.checks.minDelay, d.now-worker.check.startedAt)
		d.markAlive(worker)
		d.applyReport(worker, e.Report)
	case WorkerFull, NotSent: // it tells nothing of the worker's health
	default:
		d.eject(worker, true, "does not answer a probe")
	}
}
