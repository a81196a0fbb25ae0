package dispatch

// The queue, by the paper's and the design's sentence: at each release jobs held for over tau = 3 x
// mu_short leave first, the oldest of them first; otherwise the lowest score leaves, ties to the oldest.

import "cmp"

const (
	tauFactor          = 3.0 // tau is so many mean sojourns of short jobs, as in the paper
	maxSkippedPerCycle = 12  // jobs that fit nowhere and are set aside in one pass
)

// leavesBefore is the order of queued jobs: first those that can earn in full, by their chance to run long.
func leavesBefore(a, b *jobInfo) bool {
	if a.skipCount == b.skipCount && a.isDeprioritized() != b.isDeprioritized() {
		return b.isDeprioritized()
	}
	return cmp.Or(cmp.Compare(a.skipCount, b.skipCount), cmp.Compare(a.longChance, b.longChance),
		cmp.Compare(a.arrivedAt, b.arrivedAt)) < 0
}

// promotedBefore is the order of jobs queued for longer than tau.
func promotedBefore(a, b *jobInfo) bool {
	return cmp.Or(cmp.Compare(a.skipCount, b.skipCount), cmp.Compare(a.promoteAt, b.promoteAt)) < 0
}

func (d *Dispatcher) enqueue(job *jobInfo) {
	if job.heapIndex >= 0 || job.closed || job.streaming {
		return
	}
	isRestricted := len(job.attempts) > 0 || job.withoutLease
	job.demandClass = demandClassOf(d.placementGroups[job.Class], slotBucket(job), isRestricted)
	d.queue.push(job)
	defer d.requestFirstLease(job) // once it is known when the job is promoted
	if job.inPromotions {          // its entry has stayed
		return
	}
	// Valuable jobs are promoted sooner: under overload capacity goes to what earns most.
	urgency := min(1, (d.meanWeight+1e-9)/(max(job.class.PriorityWeight, 0)+1e-9))
	job.promoteAt = job.arrivedAt + seconds(tauFactor*d.muShort*urgency)
	d.queue.pushPromotion(job)
}

// dispatchQueued sends queued jobs, in order, while some worker can start them now.
func (d *Dispatcher) dispatchQueued() {
	d.prepareDispatch()
	for len(d.skipped) < maxSkippedPerCycle && !d.isBackedUp() {
		j := d.nextJob()
		if j == nil {
			break
		}
		d.dispatchJob(j)
	}
	for i, j := range d.skipped {
		if len(d.skipped) == maxSkippedPerCycle { // the next pass tries other jobs first: they may fit
			j.skipCount++
		}
		d.enqueue(j)
		d.skipped[i] = nil
	}
	d.skipped = d.skipped[:0]
}

// nextJob is the job to leave next: the oldest over tau, else the first by score. Blocked shapes wait.
func (d *Dispatcher) nextJob() *jobInfo {
	var first, oldest *jobInfo
	for i := range d.queue.demandClasses {
		s := &d.queue.demandClasses[i]
		if s.blocked || s.byScore.empty() {
			continue
		}
		if j := s.byScore.first(); first == nil || leavesBefore(j, first) {
			first = j
		}
		if j := s.firstByPromotion(); j != nil && (oldest == nil || promotedBefore(j, oldest)) {
			oldest = j
		}
	}
	if oldest != nil && d.now > oldest.promoteAt && !d.queue.demandClasses[oldest.demandClass].blocked {
		return oldest
	}
	return first
}

// losesPromotion tells whether a job's place by promotion is void: it has left, or cannot earn in full.
func (j *jobInfo) losesPromotion() bool { return j.heapIndex < 0 || j.isDeprioritized() }

// dispatchJob sends a job to the worker chosen for it. One that fits nowhere is deferred; where only capacity is
// missing, no other job of its shape is tried in this pass.
func (d *Dispatcher) dispatchJob(job *jobInfo) {
	if d.starts.lateCount > 0 && d.isSharded() && !d.isShort(job) { // our few workers have little capacity
		d.skipJob(job)
		return
	}
	if job.awaitsLease() {
		d.skipAwaitingLease(job)
		return
	}
	worker, lacksCapacity := d.chooseWorker(job)
	if worker == nil && job.demand > 1 && d.now > job.promoteAt {
		d.reserveWorker(job)
	}
	switch {
	case worker != nil:
		d.dequeue(job)
		d.takeSlots(d.send(job, worker))
		d.reindex(worker)
	case lacksCapacity:
		d.queue.demandClasses[job.demandClass].blocked = true
	default:
		d.skipJob(job)
	}
}

// skipAwaitingLease passes over a job that awaits a lease, and the jobs of its shape, which do so too. Among jobs
// that were sent before there are also such as leave without one.
func (d *Dispatcher) skipAwaitingLease(job *jobInfo) {
	if isRestrictedDemandClass(job.demandClass) {
		d.skipJob(job)
	} else {
		d.queue.demandClasses[job.demandClass].blocked = true
	}
}

// isSharded tells whether each worker is assigned to a few dispatchers, so that how our own jobs fare there
// tells of their capacity.
func (d *Dispatcher) isSharded() bool {
	return len(d.fleet.workers) > 0 && d.fleet.workers[0].Assignees > 1
}
