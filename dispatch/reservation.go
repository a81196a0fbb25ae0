package dispatch

// Reservations: a worker that is kept free for a large job past tau. The design has jobs past tau leave
// first, and one that fits nowhere would never leave while smaller ones take each slot.

// reservation keeps a worker free for one large job.
type reservation struct {
	worker *workerInfo // nil: none is reserved
	job    *jobInfo
}

// reserveWorker keeps the worker with least to finish free for a large job that is over tau and fits nowhere:
// smaller jobs would backfill it for ever. Sent before it fits, the job would block the worker's own queue.
func (d *Dispatcher) reserveWorker(job *jobInfo) {
	if d.reservation.worker != nil && d.reservation.worker.Ready {
		return
	}
	d.reservation.worker, d.reservation.job = nil, job
	from, count := d.sample(len(d.fleet.workers), maxScanned, maxScanned)
	for i := range count {
		worker := d.fleet.workers[(from+i)%len(d.fleet.workers)]
		if !d.mayReserve(job, worker) {
			continue
		}
		if d.reservation.worker == nil || worker.remainingLoad() < d.reservation.worker.remainingLoad() {
			d.reservation.worker = worker
		}
	}
}

// mayReserve tells whether a worker could run a job in time, once it has room.
func (d *Dispatcher) mayReserve(job *jobInfo, worker *workerInfo) bool {
	isUsable := worker.Ready && !worker.rejects(job) && !d.isEjected(worker)
	if !isUsable || !job.class.allows(worker.Kind, worker.Zone) || !d.mayAttempt(job, worker) {
		return false
	}
	return job.isDeprioritized() || d.now+d.expectedRun(job, worker) <= job.objectiveAt
}

// remainingLoad is what a worker has to finish of ours, in slots at speed 1.
func (w *workerInfo) remainingLoad() float64 { return w.slots.used / w.speed.factor }
