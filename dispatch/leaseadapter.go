package dispatch

// leaseAdapter gives the lease client and the coordinator what they need of their dispatcher's queue, rules
// and fleet: it implements leasedJobs and coordinatedFleet. It holds no state and decides nothing;
// usableWorker is in leasegrants.go.
type leaseAdapter struct{ dispatcher *Dispatcher }

// sendWithLease implements leasedJobs.
func (l *leaseAdapter) sendWithLease(job *jobInfo, worker *workerInfo) *attemptInfo {
	l.dispatcher.queue.remove(job)
	attempt := l.dispatcher.send(job, worker)
	l.dispatcher.reindex(worker)
	return attempt
}

// requeue implements leasedJobs. The job also gets a new entry in the order of promotion.
func (l *leaseAdapter) requeue(job *jobInfo) {
	if !job.isQueued() {
		return
	}
	l.dispatcher.queue.remove(job)
	job.inPromotions = false
	l.dispatcher.enqueue(job)
}

// warmUpWork implements leasedJobs.
func (l *leaseAdapter) warmUpWork(job *jobInfo) float64 { return l.dispatcher.workload.warmUpCost(job) }

// allWorkers implements workerLookup.
func (l *leaseAdapter) allWorkers() []*workerInfo { return l.dispatcher.fleet.workers }

// findWorker implements workerLookup.
func (l *leaseAdapter) findWorker(id uint64) *workerInfo { return l.dispatcher.fleet.byID[id] }

// isEjected implements workerCapacity.
func (l *leaseAdapter) isEjected(worker *workerInfo) bool {
	return l.dispatcher.outliers.isEjected(worker)
}

// maxSlots implements workerCapacity.
func (l *leaseAdapter) maxSlots(worker *workerInfo) float64 { return l.dispatcher.maxSlots(worker) }

// isWarmingUp implements workerCapacity.
func (l *leaseAdapter) isWarmingUp(worker *workerInfo) bool {
	return worker.warmUpShare(&l.dispatcher.settings, l.dispatcher.now) < 1
}

// warmUpLeaseBudget implements workerCapacity.
func (l *leaseAdapter) warmUpLeaseBudget(worker *workerInfo) float64 {
	budget := l.dispatcher.slowStart.budget(worker, l.dispatcher.now)
	return budget * warmUpLeaseFraction / warmUpBudgetFraction
}

// observePromptSlots implements slotObserver.
func (l *leaseAdapter) observePromptSlots(worker *workerInfo, running float64) {
	l.dispatcher.observeSlots(worker, running)
}

// observeLateSlots implements slotObserver.
func (l *leaseAdapter) observeLateSlots(worker *workerInfo, running float64) {
	l.dispatcher.workload.machineKind(worker.Kind).observeLateStart(running)
}
