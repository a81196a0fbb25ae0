package dispatch

import (
	"math"
	"time"
)

// The list of workers, upkeep of the fleet, and health checks before a choice.
const (
	maintenanceInterval = 250 * time.Millisecond
	minBackoffDivisor   = 20                     // the least backoff of a subscription, of the poll interval
	maxBackoffDivisor   = 4                      // and the greatest
	replicasPerBackoff  = 4                      // so many together wait one least backoff more
	uncordonedWait      = 2 * time.Second        // idle for this, an uncordoned worker gets late jobs too
	healthCheckBudget   = 0.006                  // part of the result that health checks may cost
	checksPerJob        = 3                      // workers checked for a job
	checkSamples        = 8                      // workers drawn to find one of them
	minCheckInterval    = 100 * time.Millisecond // between two checks of a worker
	checkWaitDivisor    = 16                     // a job waits for answers for this part of its objective
)

func (d *Dispatcher) onWorkerList(list WorkerList) {
	switch {
	case list.Kind == ListUnavailable:
		least := d.minSubscribeBackoff()
		if d.subscription == subscribing || d.subscribeBackoff == 0 { // a broken watch prolongs nothing
			most := max(least, d.settings.PollInterval/maxBackoffDivisor)
			d.subscribeBackoff = min(max(least, 2*d.subscribeBackoff), most)
		}
		d.subscription = unsubscribed
		d.subscribeAt = d.now + d.subscribeBackoff/2 + d.jitter(d.subscribeBackoff)
		return
	case list.Kind != ListCached: // also one that was not requested here: whoever watches has called again
		d.subscription, d.subscribeBackoff = subscribed, 0
	case d.subscribeAt == 0 && len(list.Workers) > 0 && d.settings.Replicas > manyReplicas:
		d.subscribeAt = d.now + d.jitter(d.minSubscribeBackoff())
	}
	d.applyList(list)
}

// minSubscribeBackoff spreads the requests of many dispatchers that start at once: one service answers all.
func (d *Dispatcher) minSubscribeBackoff() time.Duration {
	least := d.settings.PollInterval / minBackoffDivisor
	return min(least*time.Duration(max(1, d.settings.Replicas/replicasPerBackoff)), d.settings.PollInterval/2)
}

// maintain renews the subscription and what follows from the fleet as a whole.
func (d *Dispatcher) maintain() {
	d.setTimer(&d.maintenance, d.now+maintenanceInterval)
	if d.settings.MustSubscribe && d.subscription == unsubscribed && d.now >= d.subscribeAt {
		d.subscription = subscribing
		d.emit(Subscribe{})
	}
	d.decayEstimates()
	d.assignLots()
	fleet := d.summarise()
	d.mostEjected, d.allBroken = 2*fleet.ejected > fleet.ready, fleet.broken == fleet.ready
	if fleet.ready > 0 {
		d.topSpeed = fleet.topSpeed
	}
	// Runs show only the quotient of size and speed: the two must not drift off together.
	if mean := fleet.speeds / float64(max(1, fleet.ready)); math.Abs(mean) > maxMeanSpeed {
		d.rescaleSpeeds(clamp(mean-clamp(mean, maxMeanSpeed), maxRescale))
	}
}

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

// mayTryUncordoned lets an idempotent job that would be late try a worker that was uncordoned and left idle.
func (d *Dispatcher) mayTryUncordoned(j *jobInfo, w *workerInfo) bool {
	return w.uncordonedAt > 0 && d.now-w.uncordonedAt > uncordonedWait && j.class.Idempotency == Idempotent
}

// requestChecks has a few workers checked for a job, which waits a moment for their reports.
func (d *Dispatcher) requestChecks(j *jobInfo) {
	for n := 0; n < checksPerJob && d.settings.HealthChecks && d.checkTokens >= 1; n++ {
		w := d.chooseCheck(j)
		if w == nil {
			return
		}
		w.checking, w.checkedAt = true, d.now
		d.checkTokens--
		d.emit(HealthCheck{Worker: w.ID})
		j.checksUntil = d.now + 2*d.minStartDelay + j.class.LatencyObjective/checkWaitDivisor
		d.setTimer(&j.checksTimer, j.checksUntil)
	}
}

// checkCandidates are the workers that one is drawn from to be checked. Where searches go by preference these
// are such as the next one looks at: a check of any other tells nothing of use, and opens a connection.
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
