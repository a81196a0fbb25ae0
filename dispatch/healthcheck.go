package dispatch

// Health checks of workers before a choice, where settings allow them. The design chooses among the
// workers able to start the job now; a check's load report shows whether one is. It does not cover
// checks themselves.

import (
	"math/rand/v2"
	"time"
)

const (
	healthCheckBudget   = 0.006                  // fraction of the result that health checks may cost
	checksPerJob        = 3                      // workers checked for a job, at most
	checkSampleSize     = 8                      // workers drawn to choose one of them
	minCheckInterval    = 100 * time.Millisecond // between two checks of a worker
	checkTimeoutDivisor = 16                     // of the objective: a job waits for this, and a round trip
)

// healthChecker holds the budget of health checks and their fastest answer, and chooses the workers to
// check.
type healthChecker struct {
	settings *Settings
	rng      *rand.Rand
	tokens   tokenBucket   // one for each check that may be sent
	minDelay time.Duration // least delay of any answer
}

// checkState is the latest health check of a worker.
type checkState struct {
	inProgress bool
	startedAt  time.Duration
}

// addTokens adds the tokens that one job brings: as many as their budget allows at the cost of a check. No
// more are saved up than there are workers.
func (h *healthChecker) addTokens(workers int) {
	affordable := healthCheckBudget / max(h.settings.HealthCheckCost, divisionGuard)
	earned := min(checksPerJob, affordable)
	h.tokens.add(earned, float64(workers))
}

// requestChecks checks a few workers for a new job, which then waits for a moment for their reports.
func (d *Dispatcher) requestChecks(job *jobInfo) {
	for n := 0; n < checksPerJob && d.settings.HealthChecks && d.checks.tokens.has(1); n++ {
		worker := d.checks.choose(job, &d.fleet, d.now)
		if worker == nil {
			return
		}
		worker.check = checkState{inProgress: true, startedAt: d.now}
		d.checks.tokens.take(1)
		d.emit(HealthCheck{Worker: worker.ID})
		job.checksUntil = d.now + 2*d.starts.minDelay + job.class.LatencyObjective/checkTimeoutDivisor
		d.setTimer(&job.checksTimer, job.checksUntil)
	}
}

// candidates returns the workers that one to be checked is drawn from, in dst if that is large enough.
// In a large fleet these are preferred workers: a check of any other opens a connection, and its report
// is not used.
func (h *healthChecker) candidates(dst []*workerInfo, fleet *workerFleet) []*workerInfo {
	if !fleet.available.isOrdered() {
		return fleet.workers
	}
	bucket := fleet.workers[h.rng.IntN(len(fleet.workers))].index.bucket
	if bucket == nil || !bucket.isSteady() || len(bucket.levels[0]) == 0 {
		return fleet.workers
	}
	return appendPreferred(dst, bucket.levels[0], fleet.available.preferredCount(bucket))
}

// choose returns the worker whose latest check is the oldest, of some drawn at random, so that not all
// dispatchers check the same ones. Those of other zones are drawn by how much busier this dispatcher's own
// is. It returns nil if none is due.
func (h *healthChecker) choose(job *jobInfo, fleet *workerFleet, now time.Duration) (oldest *workerInfo) {
	zoneBusy, own := fleet.zoneBusy, h.settings.Zone
	var buffer [preferredWorkers]*workerInfo
	candidates := h.candidates(buffer[:0], fleet)
	for range min(len(candidates), checkSampleSize) {
		worker := candidates[h.rng.IntN(len(candidates))]
		isNear := worker.Zone == own || h.rng.Float64() < zoneBusy[own]*(1-zoneBusy[worker.Zone])
		isInReach := isNear || h.settings.CrossZoneCost == 0
		if !worker.isCheckDue(now) || !job.class.allows(worker.Kind, worker.Zone) || !isInReach {
			continue
		}
		if oldest == nil || worker.check.startedAt < oldest.check.startedAt {
			oldest = worker
		}
	}
	return oldest
}

func (w *workerInfo) isCheckDue(now time.Duration) bool {
	return w.Ready && !w.check.inProgress && now-w.check.startedAt >= minCheckInterval
}

// awaitsCheck reports whether a worker is being checked and has given no sign of life since.
func (w *workerInfo) awaitsCheck() bool {
	return w.check.inProgress && w.activity.aliveAt < w.check.startedAt
}

// handleHealthChecked processes the result of a health check.
func (d *Dispatcher) handleHealthChecked(event HealthChecked) {
	worker := d.fleet.byID[event.Worker]
	if worker == nil {
		return
	}
	worker.check.inProgress = false
	switch event.Result {
	case OK:
		d.checks.minDelay = min(d.checks.minDelay, d.now-worker.check.startedAt)
		d.markAlive(worker)
		d.applyReport(worker, event.Report)
	case WorkerFull, NotSent: // says nothing of the worker's health
	default:
		d.eject(worker, EjectedForHealthCheck)
	}
}
