package dispatch

import (
	"slices"
	"time"
)

// priorityLevel says whether a job's answer may still have its full utility. Jobs of the other levels are
// dispatched after those of priorityFull.
type priorityLevel int

const (
	priorityFull        priorityLevel = iota
	priorityOverQuota                 // its tenant is over quota
	priorityUnreachable               // no worker could meet its objective any more
)

// jobInfo is the state of a job that has had no final answer yet, or whose attempts are still in flight.
type jobInfo struct {
	Job
	class           *Class
	demand          float64 // slots, or memory where that is more
	work            float64 // expected seconds on a worker of speed 1
	longProbability float64 // of running long: the paper's score
	arrivedAt       time.Duration
	deadline        time.Duration
	objectiveAt     time.Duration // an answer by then has its full utility
	priority        priorityLevel

	closed       bool // it has had its final answer, or needs none
	streaming    bool // its response has begun
	recheckOnEnd bool // it was in flight when its objective passed, and is rechecked when an attempt ends
	inPromotions bool // it has an entry in byPromotion of its demand class
	attempts     []*attemptInfo
	inFlight     int // attempts

	demandClass int           // index in the queue
	heapIndex   int           // in byScore of its demand class; -1: it is not queued
	promoteAt   time.Duration // when it will have been queued for its fraction of tau
	skipCount   int           // dispatch cycles that ended because it and others fitted no worker

	leases jobLeases

	lotteryDraw    float64       // above 0 and up to 1, for the lottery of warming workers; 0: not drawn yet
	checksUntil    time.Duration // workers checked for it should have answered by then
	deadlineTimer  timer
	objectiveTimer timer
	checksTimer    timer
}

// isDeprioritized reports whether a job is dispatched after those that may have their full utility.
func (j *jobInfo) isDeprioritized() bool { return j.priority != priorityFull }

// isQueued reports whether a job is in the queue.
func (j *jobInfo) isQueued() bool { return j.heapIndex >= 0 }

// isRunning reports whether an attempt of a job has started and not ended.
func (j *jobInfo) isRunning() bool {
	return slices.ContainsFunc(j.attempts, func(a *attemptInfo) bool { return !a.ended && a.started })
}

// wasSentTo reports whether a worker has been sent the job.
func (j *jobInfo) wasSentTo(worker *workerInfo) bool {
	for _, attempt := range j.attempts {
		if attempt.worker == worker {
			return true
		}
	}
	return false
}

// closeJob closes a job that has had its final answer, or needs none. The job is removed once none of its
// attempts is in flight. A nil job is ignored.
func (d *Dispatcher) closeJob(job *jobInfo) {
	if job == nil {
		return
	}
	d.queue.remove(job)
	d.leases.client.withdraw(job)
	d.cancelTimer(&job.deadlineTimer)
	d.cancelTimer(&job.objectiveTimer)
	d.cancelTimer(&job.checksTimer)
	job.closed = true
	if job.inFlight == 0 {
		delete(d.jobs, job.ID)
	}
}

// prepareDispatch updates the state that a dispatch cycle depends on.
func (d *Dispatcher) prepareDispatch() {
	for _, worker := range d.fleet.dirty {
		d.reindex(worker)
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

// finishQueued empties the queue, as there is no worker to send jobs to, and answers those of its jobs that
// have nothing in flight.
func (d *Dispatcher) finishQueued() {
	for i := range d.queue.demandClasses {
		for queued := &d.queue.demandClasses[i].byScore; !queued.empty(); {
			job := queued.first()
			d.queue.remove(job)
			d.leases.client.withdraw(job)
			if job.inFlight == 0 {
				d.finish(job)
			}
		}
	}
}

// handleResponseStarted records that the response to a job has begun: no other answer can be sent to its
// client. A nil attempt is ignored.
func (d *Dispatcher) handleResponseStarted(attempt *attemptInfo) {
	if attempt != nil {
		attempt.job.streaming = true
		d.queue.remove(attempt.job)
		d.leases.client.withdraw(attempt.job)
	}
}
