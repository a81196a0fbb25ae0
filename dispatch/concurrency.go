package dispatch

// Concurrency limits. The design says: each worker starts with room for one job; room grows by one when a
// job starts promptly, and halves on a rejection or failure. A halved limit is rounded down, and is at least
// one. Beyond the design, a limit falls by one on a late start.

import (
	"math"
	"slices"
	"time"
)

const (
	minBackoff = 500 * time.Millisecond // after a rejection
	maxBackoff = 8 * time.Second

	rejectedDemandExpiry = 30 * time.Second // after the worker's limit was last lowered
)

// slotLimit counts the slots in use at a worker against a concurrency limit that adapts to the outcomes of
// attempts there. For each worker, a dispatcher has one for its own slots, and a lease coordinator one for
// those of all dispatchers.
type slotLimit struct {
	used        float64 // by attempts in flight
	running     float64 // by attempts that have started
	limit       float64 // at least 1
	decreasedAt time.Duration
}

// newSlotLimit returns the limit of a worker without observations.
func newSlotLimit() slotLimit { return slotLimit{limit: 1} }

// fits reports whether the slots in use plus an additional demand are within both the limit and a bound.
func (s *slotLimit) fits(demand, bound float64) bool { return s.used+demand <= min(s.limit, bound) }

// increase raises the limit after the prompt start of an attempt that was sent at the limit.
func (s *slotLimit) increase(demand float64) {
	s.limit = max(s.limit, s.running+demand) + 1
}

// decrease lowers the limit by one after a late start.
func (s *slotLimit) decrease(now time.Duration) {
	s.decreasedAt = now
	s.limit = max(1, s.limit-1)
}

// halve halves the limit after a rejection or failure.
func (s *slotLimit) halve(now time.Duration) {
	s.decreasedAt = now
	s.limit = max(1, math.Floor(s.limit/2))
}

// predatesDecrease reports whether an attempt was sent before the latest decrease. Its outcome counts as
// part of the same event, and does not lower the limit again.
func (s *slotLimit) predatesDecrease(sentAt time.Duration) bool { return sentAt < s.decreasedAt }

// backoffState is how long a worker is sent nothing after a rejection, or after a late start at a limit of
// one.
type backoffState struct {
	delay time.Duration // doubles each time; 0: the latest attempt started promptly
	until time.Duration
}

// extend begins a backoff of minDelay or twice the latest delay, whichever is longer, up to maxBackoff.
func (b *backoffState) extend(minDelay, now time.Duration) {
	b.delay = min(max(minDelay, 2*b.delay), maxBackoff)
	b.until = now + b.delay
}

// mayHaveCapacity reports whether the worker belongs in the index of available workers: it is ready, not
// in backoff, and either idle or at least one slot below its limit.
func (w *workerInfo) mayHaveCapacity(now time.Duration) bool {
	hasSlot := w.slots.used == 0 || w.slots.used+1 <= w.slots.limit
	return w.Ready && now >= w.backoff.until && hasSlot
}

// hasRejected reports whether the worker may be too small for a demand, as it has rejected this demand, or a
// smaller one, while idle. It was full for another reason, as a fault, if workers of its kind have run as
// much at once. Where many dispatchers share the workers it may be full of their jobs, and stay so for long.
func (d *Dispatcher) hasRejected(worker *workerInfo, demand float64) bool {
	if worker.rejectedDemand <= 0 || demand < worker.rejectedDemand {
		return false
	}
	isExpired := d.now-worker.slots.decreasedAt > rejectedDemandExpiry
	fitsKind := demand <= worker.machine.maxSlots && d.settings.Replicas <= manyReplicas
	return !isExpired && !fitsKind
}

// hasCapacity reports whether a worker can start a job now, as far as this dispatcher knows.
func (d *Dispatcher) hasCapacity(job *jobInfo, worker *workerInfo) bool {
	if d.hasRejected(worker, job.demand) || d.reservation.excludes(job, worker) {
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

// hasLateStart reports whether an attempt at the worker has not started in time, which indicates a queue
// there.
func (w *workerInfo) hasLateStart(promptStart, now time.Duration) bool {
	return slices.ContainsFunc(w.inFlight, func(attempt *attemptInfo) bool {
		return !attempt.started && now-attempt.sentAt > promptStart && !attempt.mayBeDeduplicated()
	})
}

// maxSlots returns the bound on a worker's slots that follows from its machine kind; infinity if none is
// known.
func (d *Dispatcher) maxSlots(worker *workerInfo) float64 {
	return d.workload.machineKind(worker.Kind).slotBound()
}

// adjustLimit updates a worker's limit when an attempt starts, or when its start is overdue. The design does
// not cover late starts. If they did not lower the limit, a limit that has grown too far would stay, and
// short jobs would queue behind long ones at the worker.
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
	// With one slot for each of several dispatchers the worker can still have a queue: back off for as long
	// as this attempt waited.
	if worker.slots.limit <= 1 && d.settings.Replicas > 1 {
		worker.backoff.extend(d.now-attempt.sentAt, d.now)
	}
	worker.slots.decrease(d.now)
}

// inferPromptStart adjusts the limit as after a prompt start if an attempt has succeeded within its expected
// run time and no notification of its start has arrived: it has not waited at the worker, and the
// notification is late or lost.
func (d *Dispatcher) inferPromptStart(attempt *attemptInfo) {
	if !attempt.started && d.now-attempt.sentAt <= attempt.expectedRun {
		d.adjustLimit(attempt, true)
	}
}

// halveLimit halves a worker's limit after a rejection or failure of an attempt there.
func (d *Dispatcher) halveLimit(attempt *attemptInfo) {
	worker := attempt.worker
	if worker.slots.predatesDecrease(attempt.sentAt) {
		return
	}
	worker.slots.halve(d.now)
	d.fleet.markDirty(worker)
}

// backOff stops sending to a worker for at least minDelay. The delay doubles each time, until an attempt
// starts promptly there.
func (d *Dispatcher) backOff(worker *workerInfo, minDelay time.Duration) {
	worker.backoff.extend(minDelay, d.now)
	d.fleet.markDirty(worker)
}

// isBackedUp reports whether no further job may be sent in this cycle; startMonitor.isBackedUp says when a
// single job is sent nevertheless. With many dispatchers, which have little work each, there is no such
// bound. Few late attempts keep jobs from their own workers, but show nothing about the others.
func (d *Dispatcher) isBackedUp() bool {
	late := d.starts.lateCount
	if d.settings.Replicas > manyReplicas || late < minLateAttempts || !d.starts.isBackedUp(d.now) {
		return false
	}
	return late >= minLateAmidProgress || !d.hasRecentProgress()
}

// hasRecentProgress reports whether any worker has made progress in the time for which a late attempt counts.
func (d *Dispatcher) hasRecentProgress() bool {
	since := max(0, d.now-d.starts.lostAfter())
	return slices.ContainsFunc(d.fleet.workers, func(worker *workerInfo) bool {
		return worker.activity.progressAt > since
	})
}
