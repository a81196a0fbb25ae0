package dispatch

// Reservations. In the paper and the design, jobs held for over tau leave first, the oldest first. A large
// job that fits nowhere would never leave while smaller jobs take each slot that becomes free, so a worker is
// reserved for it. The design does not cover this.

// reservation keeps a worker free for one large job. At most one is held at a time.
type reservation struct {
	worker *workerInfo // nil: none is reserved
	job    *jobInfo
}

// isActive reports whether a worker is reserved and still ready.
func (r *reservation) isActive() bool { return r.worker != nil && r.worker.Ready }

// excludes reports whether a worker is reserved for another job.
func (r *reservation) excludes(job *jobInfo, worker *workerInfo) bool {
	return worker == r.worker && job != r.job
}

// propose reserves a worker if it has less remaining load than the one reserved so far.
func (r *reservation) propose(worker *workerInfo) {
	if r.worker == nil || worker.remainingLoad() < r.worker.remainingLoad() {
		r.worker = worker
	}
}

// expire ends the reservation if its job is not queued any more.
func (r *reservation) expire() {
	if r.worker != nil && r.job.heapIndex < 0 {
		*r = reservation{}
	}
}

// reserveWorker reserves the worker with the least remaining load, of all or of a sample, for a large job
// that has been queued for over tau and fits nowhere. The job is not sent before it fits, as it would block
// the worker's own queue.
func (d *Dispatcher) reserveWorker(job *jobInfo) {
	if d.reservation.isActive() {
		return
	}
	d.reservation = reservation{job: job}
	workers := d.fleet.workers
	from, count := d.sample(len(workers), maxScanned, maxScanned)
	for i := range count {
		worker := workers[(from+i)%len(workers)]
		if d.mayReserve(job, worker) {
			d.reservation.propose(worker)
		}
	}
}

// mayReserve reports whether a worker could run a job in time once enough slots are free.
func (d *Dispatcher) mayReserve(job *jobInfo, worker *workerInfo) bool {
	isUsable := worker.Ready && !d.hasRejected(worker, job.demand) && !d.outliers.isEjected(worker)
	if !isUsable || !job.class.allows(worker.Kind, worker.Zone) || !d.mayAttempt(job, worker) {
		return false
	}
	return job.isDeprioritized() || d.now+d.expectedRun(job, worker) <= job.objectiveAt
}

// remainingLoad returns this dispatcher's slots in use at a worker, divided by the worker's speed.
func (w *workerInfo) remainingLoad() float64 { return w.slots.used / w.speed.factor }
