package dispatch

import (
	"math"
	"slices"
	"time"
)

// Concurrency limits, the design's room rule: each worker starts with room for one job; the limit grows
// by one when a job that it bounded starts promptly, and halves on a rejection or failure. Halves are
// rounded down, and one is the least.

const (
	promptDivisor    = 4                      // a start within the objective divided by this is prompt
	minLateOverflows = 2                      // late starts with as many slots running as a kind ever had
	silenceFactor    = 3                      // unstarted for so many mean late starts: lost, not queued
	lateStartDivisor = 10                     // the mean of late starts follows the last ten or so
	minBackoff       = 500 * time.Millisecond // after a rejection
	maxBackoff       = 8 * time.Second
	maxLateShare     = 0.5 // late attempts in the fleet, as a part of our other slots in use
	manyReplicas     = 8   // more dispatchers than these are many: most have little work each
)

// slotLimit counts the slots that this dispatcher uses at a worker, against its own concurrency limit.
type slotLimit struct {
	used           float64 // by attempts in flight
	running        float64 // by attempts that have started
	limit          float64
	decreasedAt    time.Duration // the latest decrease of the limit
	rejectedDemand float64       // the worker has rejected a job of this demand while idle; 0: none
}

// backoffState is how long a worker is sent nothing after a rejection.
type backoffState struct {
	delay time.Duration // doubles with each rejection; 0: the latest attempt started promptly
	until time.Duration
}

// hasCapacity tells whether a worker can start a job now, as far as is known.
func (d *Dispatcher) hasCapacity(job *jobInfo, worker *workerInfo) bool {
	if worker.rejects(job) || worker == d.reservation.worker && job != d.reservation.job ||
		worker.slots.used > 0 && worker.slots.used+job.demand > min(worker.slots.limit, d.maxSlots(worker)) {
		return false
	}
	if d.showsQueue(worker, d.promptStart(job.class)) {
		return false
	}
	free, fresh := d.reportedFreeSlots(worker)
	return !fresh || free >= min(job.demand, 1)
}

// showsQueue tells whether an attempt that has not started in time shows a queue at a worker.
func (d *Dispatcher) showsQueue(worker *workerInfo, promptStart time.Duration) bool {
	return slices.ContainsFunc(worker.inFlight, func(attempt *attemptInfo) bool {
		return !attempt.started && d.now-attempt.sentAt > promptStart && !attempt.mayBeDropped()
	})
}

// rejects tells whether a worker has rejected a job as large as this while idle.
func (w *workerInfo) rejects(j *jobInfo) bool {
	return w.slots.rejectedDemand > 0 && j.demand >= w.slots.rejectedDemand
}

// promptStart is how soon a start comes where there is capacity, by the least delay: a mean follows queues.
func (d *Dispatcher) promptStart(c *Class) time.Duration {
	return 2*d.starts.minDelay + c.LatencyObjective/promptDivisor
}

// maxSlots is the most of our slots seen running on a worker of the kind, once a few sent beyond have started
// late. The limit alone drifts past it: where one job ends as the next comes, the next starts promptly.
func (d *Dispatcher) maxSlots(w *workerInfo) float64 {
	if k := d.machineKind(w.Kind); k.lateOverflows >= minLateOverflows {
		return k.maxSlots
	}
	return math.Inf(1)
}

// adjustLimit answers a start. The paper's design says nothing of a late one; without an answer a limit that
// has grown too far stays so, and the worker's own queue brings back head-of-line blocking.
func (d *Dispatcher) adjustLimit(attempt *attemptInfo, prompt bool) {
	worker := attempt.worker
	d.observeBusy(worker, !prompt)
	d.markDirty(worker)
	if prompt {
		worker.backoff.delay = 0
		if attempt.limitBound {
			worker.slots.limit = max(worker.slots.limit, worker.slots.running+attempt.job.demand) + 1
		}
		return
	}
	if attempt.sentAt < worker.slots.decreasedAt { // an older attempt tells nothing new
		return
	}
	if k := d.machineKind(worker.Kind); worker.slots.running >= k.maxSlots {
		k.lateOverflows++
	}
	// One slot for each of several dispatchers is still a queue: back off for as long as this attempt waited.
	if worker.slots.limit <= 1 && d.settings.Replicas > 1 {
		d.backOff(worker, d.now-attempt.sentAt)
	}
	worker.slots.decreasedAt, worker.slots.limit = d.now, max(1, worker.slots.limit-1)
}

// halveLimit answers a rejection or failure. What was sent before the last decrease tells of the same event.
func (d *Dispatcher) halveLimit(a *attemptInfo) {
	if w := a.worker; a.sentAt >= w.slots.decreasedAt {
		w.slots.decreasedAt, w.slots.limit = d.now, max(1, math.Floor(w.slots.limit/2))
		d.markDirty(w)
	}
}

// backOff leaves a worker alone, longer each time until an attempt starts promptly there.
func (d *Dispatcher) backOff(w *workerInfo, least time.Duration) {
	w.backoff.delay = min(max(least, 2*w.backoff.delay), maxBackoff)
	w.backoff.until = d.now + w.backoff.delay
	d.markDirty(w)
}

// isBackedUp is the limit of the fleet: several dispatchers with few jobs each fill all queues though every
// limit is one. A pilot goes all the same, and the next when that has started or is as late as others are.
func (d *Dispatcher) isBackedUp() bool {
	return d.settings.Replicas <= manyReplicas && d.starts.lateCount > maxLateShare*(d.starts.usedSlots-d.starts.lateCount) &&
		d.now-d.starts.lastSentAt < d.starts.meanLateDelay
}

// mayHaveCapacity tells whether searches need to see a worker.
func (d *Dispatcher) mayHaveCapacity(w *workerInfo) bool {
	return w.Ready && d.now >= w.backoff.until && (w.slots.used == 0 || w.slots.used+1 <= w.slots.limit)
}

// countLateAttempts counts the attempts that start late, one for each job: a wide job waits more often than
// others.
func (d *Dispatcher) countLateAttempts() {
	isLate := func(class int, a *attemptInfo) bool {
		return d.now-a.sentAt > d.promptStart(&d.settings.Classes[class])
	}
	isOver := func(a *attemptInfo) bool {
		return a.started || a.ended || d.now-a.sentAt >= silenceFactor*d.starts.meanLateDelay
	}
	d.starts.unstarted.update(isLate, isOver)
	d.starts.lateCount = 0
	for _, a := range d.starts.unstarted.late {
		isLatest := a.number == len(a.job.attempts)-1
		if a.job.heapIndex < 0 && !a.job.closed && isLatest && !a.mayBeDropped() {
			d.starts.lateCount++
		}
	}
}
