package dispatch

// The queue, by the paper's and the design's sentence: at each release jobs held over tau = 3 x mu_short
// leave first, oldest first; otherwise the lowest score leaves, ties to the oldest.

import (
	"cmp"
	"time"
)

const (
	tauFactor          = 3.0 // tau is so many mean sojourns of short jobs, as in the paper
	maxSkippedPerCycle = 12  // jobs that fit no worker; a dispatch cycle ends with the last of them
)

// lessByScore is the order of queued jobs: first those that may have their full utility, by their chance
// of running long.
func lessByScore(a, b *jobInfo) bool {
	if a.skipCount == b.skipCount && a.isDeprioritized() != b.isDeprioritized() {
		return b.isDeprioritized()
	}
	return cmp.Or(cmp.Compare(a.skipCount, b.skipCount), cmp.Compare(a.longProbability, b.longProbability),
		cmp.Compare(a.arrivedAt, b.arrivedAt)) < 0
}

// lessByPromotion is the order of jobs queued for longer than tau.
func lessByPromotion(a, b *jobInfo) bool {
	return cmp.Or(cmp.Compare(a.skipCount, b.skipCount), cmp.Compare(a.promoteAt, b.promoteAt)) < 0
}

// next returns the job to leave next, nil if there is none: the oldest queued for longer than tau, else the
// first by score. Jobs of blocked demand classes stay.
func (q *jobQueue) next(now time.Duration) *jobInfo {
	var first, oldest *jobInfo
	for i := range q.demandClasses {
		class := &q.demandClasses[i]
		if class.blocked || class.byScore.empty() {
			continue
		}
		if job := class.byScore.first(); first == nil || lessByScore(job, first) {
			first = job
		}
		if job := class.firstByPromotion(); job != nil && (oldest == nil || lessByPromotion(job, oldest)) {
			oldest = job
		}
	}
	if oldest != nil && now > oldest.promoteAt && !q.demandClasses[oldest.demandClass].blocked {
		return oldest
	}
	return first
}

// hasStalePromotion reports whether a job's place by promotion is void: it has left, or its priority is
// lowered.
func (j *jobInfo) hasStalePromotion() bool { return j.heapIndex < 0 || j.isDeprioritized() }

// enqueue queues a job that is owed an answer and whose response has not begun, if it is not queued.
func (d *Dispatcher) enqueue(job *jobInfo) {
	if job.heapIndex >= 0 || job.closed || job.streaming {
		return
	}
	isRestricted := len(job.attempts) > 0 || job.leases.isDisabled
	job.demandClass = demandClassOf(d.queue.placementGroups[job.Class], slotBucket(job), isRestricted)
	d.queue.push(job)
	if !job.inPromotions {
		tauFraction := d.arrivals.tauFraction(job.class.PriorityWeight)
		job.promoteAt = job.arrivedAt + seconds(tauFactor*d.workload.meanShortSojourn*tauFraction)
		d.queue.pushPromotion(job)
	}
	d.leases.client.requestFirst(d.now, job)
}

// dispatchQueued is a dispatch cycle: it sends queued jobs, in order, while some worker can start them now.
func (d *Dispatcher) dispatchQueued() {
	d.prepareDispatch()
	if !d.isBackedUp() {
		d.dispatchReserved()
	}
	for len(d.queue.skipped) < maxSkippedPerCycle && !d.isBackedUp() {
		job := d.queue.next(d.now)
		if job == nil {
			break
		}
		d.dispatchJob(job)
	}
	d.requeueSkipped()
}

// dispatchReserved dispatches the job for which a worker is reserved once it can start there, whatever
// leaves before it: other jobs of its demand class can't be sent there and, if they fit no other worker,
// would block the class.
func (d *Dispatcher) dispatchReserved() {
	job, worker := d.reservation.job, d.reservation.worker
	if !d.reservation.isActive() || job.heapIndex < 0 {
		return
	}
	if worker.mayHaveCapacity(d.now) && d.hasCapacity(job, worker) {
		d.dispatchJob(job)
	}
}

// requeueSkipped queues the jobs that fitted no worker again. If they ended the cycle, the next one tries
// other jobs first, as these may fit.
func (d *Dispatcher) requeueSkipped() {
	haveEndedCycle := len(d.queue.skipped) == maxSkippedPerCycle
	for i, job := range d.queue.skipped {
		if haveEndedCycle {
			job.skipCount++
		}
		d.enqueue(job)
		d.queue.skipped[i] = nil
	}
	d.queue.skipped = d.queue.skipped[:0]
}

// dispatchJob sends a job to the worker chosen for it. One that fits no worker is skipped; where only
// capacity is missing, no other job of its demand class is tried in this cycle.
func (d *Dispatcher) dispatchJob(job *jobInfo) {
	// The few workers assigned to this dispatcher have little capacity for long jobs while some are late.
	if d.starts.lateCount > 0 && d.isSharded() && !d.workload.isShort(job) {
		d.queue.skip(job)
		return
	}
	if job.leases.isAwaited() {
		d.skipAwaitingLease(job)
		return
	}
	worker, lacksCapacity := d.chooseWorker(job)
	if worker == nil && job.demand > 1 && d.now > job.promoteAt {
		d.reserveWorker(job)
	}
	switch {
	case worker != nil:
		d.queue.remove(job)
		d.leases.client.takeSlots(d.now, d.send(job, worker))
		d.reindex(worker)
	case lacksCapacity:
		d.queue.demandClasses[job.demandClass].blocked = true
	default:
		d.queue.skip(job)
	}
}

// skipAwaitingLease skips a job that awaits a lease, and the other jobs of its demand class, which do so
// too. Only among jobs that were sent before there are such as leave without one.
func (d *Dispatcher) skipAwaitingLease(job *jobInfo) {
	if isRestrictedDemandClass(job.demandClass) {
		d.queue.skip(job)
	} else {
		d.queue.demandClasses[job.demandClass].blocked = true
	}
}

// isSharded reports whether each worker is assigned to a few dispatchers, so that the delays of this one's
// jobs show how much capacity a worker has.
func (d *Dispatcher) isSharded() bool {
	return len(d.fleet.workers) > 0 && d.fleet.workers[0].Assignees > 1
}
