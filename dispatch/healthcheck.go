package dispatch

// Health checks of workers before one is chosen, if the settings allow them. The design chooses among the
// workers able to start the job now; the load report that answers a health check shows whether a worker is.
// The design does not cover the checks themselves.

import (
	"math/rand/v2"
	"time"
)

const (
	healthCheckBudget   = 0.006                  // fraction of the total utility that checks may cost
	checksPerJob        = 3                      // at most
	checkSampleSize     = 8                      // workers sampled to choose one of them
	minCheckInterval    = 100 * time.Millisecond // between two checks of a worker
	checkTimeoutDivisor = 16                     // a job waits for its objective / this, plus a round trip
)

// healthChecker holds the token budget of health checks and their shortest response time, and chooses the
// workers to check.
type healthChecker struct {
	settings *Settings
	rng      *rand.Rand
	tokens   tokenBucket   // one for each check that may be sent
	minDelay time.Duration // shortest response time
}

// checkState is the latest health check of a worker.
type checkState struct {
	inProgress bool
	startedAt  time.Duration
}

// addTokens adds the tokens for one arriving job: as many checks as the budget pays for, up to checksPerJob.
// The bucket holds at most one token for each worker.
func (h *healthChecker) addTokens(workers int) {
	affordable := healthCheckBudget / max(h.settings.HealthCheckCost, divisionGuard)
	earned := min(checksPerJob, affordable)
	h.tokens.add(earned, float64(workers))
}

// requestChecks sends health checks to a few workers for a new job, which then waits briefly for their load
// reports.
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

// candidates returns the workers to sample from, in dst if that is large enough. In a large fleet these are
// preferred workers: a check of any other would open a connection, and its load report would not be used.
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

// choose samples workers at random, so that not all dispatchers check the same ones, and returns the one
// whose latest check is the oldest. Workers of another zone are considered with a probability that rises with
// the load of the dispatcher's own zone and falls with that of the other. It returns nil if no check is due.
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

// awaitsCheck reports whether a worker is being checked and has sent no response or notification since.
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
	case WorkerFull, NotSent: // no evidence about the worker's health
	default:
		d.eject(worker, EjectedForHealthCheck)
	}
}
