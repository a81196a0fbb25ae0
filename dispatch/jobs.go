package dispatch

import "slices"

// isRunning tells whether an attempt of a job has started and not ended.
func (j *jobInfo) isRunning() bool {
	return slices.ContainsFunc(j.attempts, func(a *attemptInfo) bool { return !a.ended && a.started })
}

// wasSentTo tells whether a worker was sent the job before.
func (j *jobInfo) wasSentTo(w *workerInfo) bool {
	for _, a := range j.attempts {
		if a.worker == w {
			return true
		}
	}
	return false
}

// dequeue takes a job out of the queue, if it is there.
func (d *Dispatcher) dequeue(j *jobInfo) {
	if j.heapIndex >= 0 {
		d.queue.remove(j)
	}
}

// skipJob sets a job aside for the rest of this pass over the queue.
func (d *Dispatcher) skipJob(j *jobInfo) {
	d.dequeue(j)
	d.skipped = append(d.skipped, j)
}

// closeJob ends a job that has had its final answer, or needs none. It is forgotten once nothing is in flight.
func (d *Dispatcher) closeJob(job *jobInfo) {
	if job == nil {
		return
	}
	d.dequeue(job)
	d.withdrawLeases(job)
	d.cancelTimer(&job.deadlineTimer)
	d.cancelTimer(&job.objectiveTimer)
	d.cancelTimer(&job.checksTimer)
	job.closed = true
	if job.inFlight == 0 {
		delete(d.jobs, job.ID)
	}
}

// prepareDispatch brings up to date what a pass over the queue goes by.
func (d *Dispatcher) prepareDispatch() {
	for _, w := range d.fleet.dirty {
		d.reindex(w)
	}
	d.fleet.dirty = d.fleet.dirty[:0]
	if d.cordons.coverFleet {
		d.finishQueued()
	}
	if d.queue.length == 0 {
		return
	}
	d.starts.updateLateCount(d.settings.Classes, d.now)
	d.reservation.expire()
	d.queue.unblock()
}

// finishQueued answers all queued jobs that have nothing in flight: there is nobody to send them to.
func (d *Dispatcher) finishQueued() {
	for i := range d.queue.demandClasses {
		for queued := &d.queue.demandClasses[i].byScore; !queued.empty(); {
			j := queued.first()
			d.dequeue(j)
			d.withdrawLeases(j)
			if j.inFlight == 0 {
				d.finish(j)
			}
		}
	}
}

// handleResponseStarted takes in that a response has begun: nothing else can be sent to the client any more.
func (d *Dispatcher) handleResponseStarted(a *attemptInfo) {
	if a != nil {
		a.job.streaming = true
		d.dequeue(a.job)
		d.withdrawLeases(a.job)
	}
}
