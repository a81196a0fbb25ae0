package dispatch

// Concurrency limits, by the design's sentence: each worker starts with room for one job; room grows by
// one when a job starts promptly, and halves on a rejection or failure. Halves are rounded down, and
// one is the least. In addition a limit falls by one on a late start.

import (
	"math"
	"slices"
	"time"
)

const (
	minBackoff = 500 * time.Millisecond // after a rejection
	maxBackoff = 8 * time.Second
)

// slotLimit counts the slots in use at a worker against a concurrency limit, which follows the outcomes of
// attempts there. A dispatcher has one for its own slots, and a coordinator of leases one for those of all
// dispatchers.
type slotLimit struct {
	used        float64 // by attempts in flight
	running     float64 // by attempts that have started
	limit       float64 // at least 1
	decreasedAt time.Duration
}

// newSlotLimit returns the limit of a worker without observations.
func newSlotLimit() slotLimit { return slotLimit{limit: 1} }

// fits reports whether a further demand is within the limit and a bound.
func (s *slotLimit) fits(demand, bound float64) bool { return s.used+demand <= min(s.limit, bound) }

// increase answers the prompt start of an attempt that the limit had bound.
func (s *slotLimit) increase(demand float64) {
	s.limit = max(s.limit, s.running+demand) + 1
}

// decrease answers a late start.
func (s *slotLimit) decrease(now time.Duration) {
	s.decreasedAt = now
	s.limit = max(1, s.limit-1)
}

// halve answers a rejection or failure.
func (s *slotLimit) halve(now time.Duration) {
	s.decreasedAt = now
	s.limit = max(1, math.Floor(s.limit/2))
}

// predatesDecrease reports whether an attempt was sent before the latest decrease: its outcome is due to
// the same event, and changes nothing.
func (s *slotLimit) predatesDecrease(sentAt time.Duration) bool { return sentAt < s.decreasedAt }

// backoffState is how long a worker is sent nothing after a rejection.
type backoffState struct {
	delay time.Duration // doubles with each rejection; 0: the latest attempt started promptly
	until time.Duration
}

// extend begins a backoff of at least the given delay, and of twice the latest one.
func (b *backoffState) extend(minDelay, now time.Duration) {
	b.delay = min(max(minDelay, 2*b.delay), maxBackoff)
	b.until = now + b.delay
}

// mayHaveCapacity reports whether a selection needs to see the worker.
func (w *workerInfo) mayHaveCapacity(now time.Duration) bool {
	hasSlot := w.slots.used == 0 || w.slots.used+1 <= w.slots.limit
	return w.Ready && now >= w.backoff.until && hasSlot
}

// hasRejected reports whether the worker has rejected this demand, or a smaller one, while idle.
func (w *workerInfo) hasRejected(demand float64) bool {
	return w.rejectedDemand > 0 && demand >= w.rejectedDemand
}

// hasCapacity reports whether a worker can start a job now, as far as is known.
func (d *Dispatcher) hasCapacity(job *jobInfo, worker *workerInfo) bool {
	if worker.hasRejected(job.demand) || d.reservation.excludes(job, worker) {
		return false
	}
	isIdle := worker.slots.used <= 0 // an idle worker may be sent a job of any demand
	if !isIdle && !worker.slots.fits(job.demand, d.maxSlots(worker)) {
		return false
	}
	if worker.hasLateStart(d.starts.promptStart(job.class), d.now) {
		return false
	}
	free, fresh := worker.reportedFreeSlots(d.now)
	return !fresh || free >= min(job.demand, 1)
}

// hasLateStart reports whether an attempt that has not started in time shows a queue at the worker.
func (w *workerInfo) hasLateStart(promptStart, now time.Duration) bool {
	return slices.ContainsFunc(w.inFlight, func(attempt *attemptInfo) bool {
		return !attempt.started && now-attempt.sentAt > promptStart && !attempt.mayBeDeduplicated()
	})
}

// maxSlots returns the bound on the slots of a worker that its kind of machine sets; infinity if none
// is known.
func (d *Dispatcher) maxSlots(worker *workerInfo) float64 {
	return d.workload.machineKind(worker.Kind).slotBound()
}

// adjustLimit answers the start of an attempt, or that it is late. The design names no answer to a late
// start; without one a limit that has grown too far would stay, and the worker's own queue would block
// short jobs behind long ones.
func (d *Dispatcher) adjustLimit(attempt *attemptInfo, isPrompt bool) {
	worker := attempt.worker
	d.fleet.observeBusy(worker.Zone, !isPrompt)
	d.fleet.markDirty(worker)
	if isPrompt {
		worker.backoff.delay = 0
		if attempt.sentAtLimit {
			worker.slots.increase(attempt.job.demand)
		}
		return
	}
	if worker.slots.predatesDecrease(attempt.sentAt) {
		return
	}
	d.workload.machineKind(worker.Kind).observeLateStart(worker.slots.running)
	// One slot for each of several dispatchers is still a queue: back off for as long as this attempt
	// waited.
	if worker.slots.limit <= 1 && d.settings.Replicas > 1 {
		worker.backoff.extend(d.now-attempt.sentAt, d.now)
	}
	worker.slots.decrease(d.now)
}

// halveLimit answers a rejection or failure.
func (d *Dispatcher) halveLimit(attempt *attemptInfo) {
	worker := attempt.worker
	if worker.slots.predatesDecrease(attempt.sentAt) {
		return
	}
	worker.slots.halve(d.now)
	d.fleet.markDirty(worker)
}

// backOff sends nothing to a worker for a while, longer each time until an attempt starts promptly there.
func (d *Dispatcher) backOff(worker *workerInfo, minDelay time.Duration) {
	worker.backoff.extend(minDelay, d.now)
	d.fleet.markDirty(worker)
}

// isBackedUp reports whether no more jobs may be sent in this cycle but one now and then; see
// startMonitor. Many dispatchers with little work each do not bound themselves.
func (d *Dispatcher) isBackedUp() bool {
	return d.settings.Replicas <= manyReplicas && d.starts.isBackedUp(d.now)
}
