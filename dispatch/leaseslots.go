package dispatch

import "time"

// The slots of a worker as its coordinator counts them, over all dispatchers. This implements the
// concurrency limit of the design ("Each worker starts with room for one job. Room grows by one when a job
// starts promptly and halves on 'full' or failure"): a limit starts at 1 slot, grows by one with each
// prompt start of a lease that was granted at the limit, and halves on a rejection or failure.
const (
	// maxCoordinators is how many coordinators a shard may have at once: three after two network partitions.
	maxCoordinators = 3
	// warmUpLeaseFraction is the fraction that one coordinator may lease of the work that would overload a
	// warming worker. Other coordinators may lease as much, and jobs without a lease may use
	// warmUpBudgetFraction in addition.
	warmUpLeaseFraction = (1 - warmUpBudgetFraction) / maxCoordinators

	minSuspension     = 500 * time.Millisecond // doubles with each further failure
	maxSuspension     = 8 * time.Second
	toleratedFailures = 1 // consecutive failures; one more suspends the worker
)

// workerSlots are the slots of one worker, with what its coordinator has observed of its starts and
// failures.
type workerSlots struct {
	slotLimit      // of the slots that are leased
	leases         int
	failures       int // consecutive ones, each reported by a different dispatcher than the one before
	lastFailedPeer int // dispatcher that reported the last failure
	suspension     time.Duration
	suspendedUntil time.Duration
	leasedWork     workWindow // while the worker is warming up
}

// isSuspended reports whether consecutive failures keep leases from the worker.
func (w *workerSlots) isSuspended(now time.Duration) bool { return now < w.suspendedUntil }

// hasRoom reports whether the worker has room for a lease of a demand, within both the limit and maxSlots. An
// idle worker has room for any demand.
func (w *workerSlots) hasRoom(demand, maxSlots float64) bool {
	return w.used == 0 || w.fits(demand, maxSlots)
}

// reachesLimit reports whether a lease of a demand would leave less than one slot free below the limit.
func (w *workerSlots) reachesLimit(demand float64) bool { return w.used+demand+1 > w.limit }

// free returns the slots that can be leased, within both the limit and maxSlots.
func (w *workerSlots) free(maxSlots float64) float64 { return max(0, min(w.limit, maxSlots)-w.used) }

// start counts a lease's attempt as running.
func (w *workerSlots) start(lease *grantedLease) {
	lease.isStarted = true
	w.running += lease.demand
}

// observePromptStart counts a lease's attempt as running, and raises the limit if the lease was granted at
// the limit. It reports whether the limit may have grown.
func (w *workerSlots) observePromptStart(lease *grantedLease) (raised bool) {
	w.start(lease)
	if !lease.grantedAtLimit {
		return false
	}
	w.increase(lease.demand)
	return true
}

// observeLateStart lowers the limit by one: an attempt that has not started promptly is queued at the
// worker.
func (w *workerSlots) observeLateStart(now time.Duration) {
	w.decrease(now)
}

// observeEnd adjusts the limit by the result of a lease's attempt. Consecutive failures suspend the worker
// if several dispatchers report them.
func (w *workerSlots) observeEnd(now time.Duration, lease *grantedLease, result Result) {
	switch result {
	case OK:
		w.failures = 0
		w.suspension = 0
	case WorkerFull, Failed, TimedOut, ConnectFailed, ConnectionReset:
		if !w.predatesDecrease(lease.grantedAt) {
			w.halve(now)
		}
		w.recordFailure(now, lease.key.peer)
	case Cancelled, NotSent:
	}
}

// recordFailure counts a failure reported by a dispatcher. Consecutive reports by the same one count once,
// as the fault may be its own.
func (w *workerSlots) recordFailure(now time.Duration, dispatcher int) {
	if w.failures > 0 && w.lastFailedPeer == dispatcher {
		return
	}
	w.failures++
	w.lastFailedPeer = dispatcher
	if w.failures > toleratedFailures && now >= w.suspendedUntil {
		w.suspension = min(max(minSuspension, 2*w.suspension), maxSuspension)
		w.suspendedUntil = now + w.suspension
	}
}

// add counts a lease.
func (w *workerSlots) add(lease *grantedLease) {
	w.leases++
	w.used += lease.demand
}

// remove removes a lease from the counts.
func (w *workerSlots) remove(lease *grantedLease) {
	w.leases--
	w.used = max(0, w.used-lease.demand)
	if lease.isStarted {
		w.running = max(0, w.running-lease.demand)
	}
	if w.leases == 0 { // clears rounding errors of the sums
		w.used = 0
		w.running = 0
	}
}

// warmUpWork returns the given work plus that of the leases granted at a warming worker within the window
// that ends now, in seconds on a standard core, times slots.
func (w *workerSlots) warmUpWork(now, window time.Duration, work float64) float64 {
	w.leasedWork.expire(window, now)
	return w.leasedWork.sumWith(work, window, now)
}
