package dispatch

import "time"

// timer is an instant at which the dispatcher acts by itself. Each is part of what it is about, and set once at a time.
type timer struct {
	at        time.Duration
	heapIndex int // in the heap, plus one; 0: not set
	purpose   timerPurpose
	job       *jobInfo
	attempt   *attemptInfo
	worker    *workerInfo
	lease     *leaseInfo
}

// timerPurpose is what a timer is for. Snapshots hold the numbers.
type timerPurpose int

const (
	reviewQueue timerPurpose = iota // nothing but the pass over the queue that ends each step
	runMaintenance
	jobDeadline
	jobObjective
	attemptOverdue
	workerAvailable
	leaseOverdue
)

// setTimer has a timer fire at an instant, in place of when it would have, and not within the present step.
func (d *Dispatcher) setTimer(x *timer, at time.Duration) {
	x.at = max(at, d.now+1)
	if x.heapIndex > 0 {
		d.timers.fix(x.heapIndex - 1)
	} else {
		d.timers.push(x)
	}
}

func (d *Dispatcher) cancelTimer(x *timer) {
	if x.heapIndex > 0 {
		d.timers.remove(x.heapIndex - 1)
	}
}

// bindTimers has a job's timers refer to it.
func (j *jobInfo) bindTimers() {
	j.deadlineTimer = timer{purpose: jobDeadline, job: j}
	j.objectiveTimer = timer{purpose: jobObjective, job: j}
	j.checksTimer = timer{purpose: reviewQueue, job: j}
}
