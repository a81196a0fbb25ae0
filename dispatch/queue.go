package dispatch

// The order in which queued jobs are dispatched. The paper and the design say: at each release jobs held over
// tau = 3 x mu_short leave first, oldest first; otherwise the lowest score leaves, ties to the oldest.

import (
	"cmp"
	"time"
)

const (
	tauFactor          = 3.0 // tau is this many mean sojourns of short jobs, as in the paper
	maxSkippedPerCycle = 12  // a dispatch cycle ends after this many jobs that fit no worker
)

// lessByScore orders queued jobs by skip count, then those first that may still have their full utility, then
// by probability of running long, then by arrival.
func lessByScore(a, b *jobInfo) bool {
	if a.skipCount == b.skipCount && a.isDeprioritized() != b.isDeprioritized() {
		return b.isDeprioritized()
	}
	return cmp.Or(cmp.Compare(a.skipCount, b.skipCount), cmp.Compare(a.longProbability, b.longProbability),
		cmp.Compare(a.arrivedAt, b.arrivedAt)) < 0
}

// lessByPromotion orders jobs by skip count, then by when they will have been queued for longer than tau.
func lessByPromotion(a, b *jobInfo) bool {
	return cmp.Or(cmp.Compare(a.skipCount, b.skipCount), cmp.Compare(a.promoteAt, b.promoteAt)) < 0
}

// next returns the job to dispatch next, nil if there is none: the first by promotion if it has been queued
// for longer than tau, else the first by score. Jobs of blocked demand classes are left out.
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

// hasStalePromotion reports whether a job's entry in the order of promotion is stale: the job is not queued
// any more, or its priority is lowered.
func (j *jobInfo) hasStalePromotion() bool { return j.heapIndex < 0 || j.isDeprioritized() }

// enqueue queues a job, unless it is queued already, is closed, or its response has begun.
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
	d.leases.client.requestIfNone(d.now, job)
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

// dispatchReserved dispatches the job for which a worker is reserved as soon as it can start there, ahead of
// the jobs queued before it. Other jobs of its demand class cannot be sent to that worker and, if they fit no
// other, would block the class.
func (d *Dispatcher) dispatchReserved() {
	job, worker := d.reservation.job, d.reservation.worker
	if !d.reservation.isActive() || job.heapIndex < 0 {
		return
	}
	if worker.mayHaveCapacity(d.now) && d.hasCapacity(job, worker) {
		d.dispatchJob(job)
	}
}

// requeueSkipped queues the jobs that fitted no worker again. If there were so many that they ended the
// cycle, the next cycle tries other jobs first, as these may fit.
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
	// The few workers assigned to this dispatcher have little capacity for long jobs while attempts are late.
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
		d.leases.client.recordUnleased(d.now, d.send(job, worker))
		d.reindex(worker)
	case lacksCapacity:
		d.queue.demandClasses[job.demandClass].blocked = true
	default:
		d.queue.skip(job)
	}
}

// skipAwaitingLease skips a job that awaits a lease. The other jobs of an unrestricted demand class await one
// too, so the class is blocked. A restricted class may hold jobs that are sent without a lease.
func (d *Dispatcher) skipAwaitingLease(job *jobInfo) {
	if isRestrictedDemandClass(job.demandClass) {
		d.queue.skip(job)
	} else {
		d.queue.demandClasses[job.demandClass].blocked = true
	}
}

// isSharded reports whether each worker is assigned to a few dispatchers. Then the start delays of this
// dispatcher's jobs show how much capacity its workers have.
func (d *Dispatcher) isSharded() bool {
	return len(d.fleet.workers) > 0 && d.fleet.workers[0].Assignees > 1
}
