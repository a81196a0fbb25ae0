package dispatch

// Outlier ejection: silence, failure and slowness of workers, told apart by symptom. The design is silent
// on it: it is for what is not the ordinary path.

import (
	"fmt"
	"math"
	"time"
)

const (
	minEjection   = 500 * time.Millisecond // doubles with each failed trial
	maxEjection   = 8 * time.Second
	trialInterval = 500 * time.Millisecond // between trials of ejected workers, over the fleet
	maxFailures   = 1                      // in a row, of jobs or connections, that eject no worker
)

// isEjected tells whether a worker is to be avoided. Where most are suspect, the load or this process is at
// fault, and silence proves nothing; a broken connection still does, unless it is so everywhere.
func (d *Dispatcher) isEjected(w *workerInfo) bool {
	return w.ejectionTime > 0 && (w.broken && !d.allBroken || !w.broken && !d.mostEjected)
}

// healthAllows lets an ejected worker have one short idempotent job once its time is over, one such trial
// at once: where a whole zone is gone, its empty workers would draw all that is sent.
func (d *Dispatcher) healthAllows(j *jobInfo, w *workerInfo) bool {
	if !d.isEjected(w) {
		return true
	}
	return j.class.Idempotency == Idempotent && d.workload.isShort(j) &&
		d.now >= max(w.ejectedUntil, d.nextTrialAt) &&
		len(w.inFlight) == 0
}

// eject avoids a worker for about twice as long as last time. broken: it is suspected on more than silence.
func (d *Dispatcher) eject(w *workerInfo, broken bool, reason string) {
	w.broken = w.broken || broken
	if d.now < w.ejectedUntil {
		return
	}
	w.ejectionTime = min(max(minEjection, 2*w.ejectionTime), maxEjection)
	w.ejectedUntil = d.now + w.ejectionTime/2 + time.Duration(d.rng.Int64N(int64(w.ejectionTime)))
	d.setTimer(&w.timer, w.ejectedUntil)
	d.markDirty(w)
	d.emit(Log{fmt.Sprintf("worker %d %s: set aside for about %v", w.ID, reason, w.ejectionTime)})
}

// onResult judges a worker by the end of an attempt there.
func (d *Dispatcher) onResult(attempt *attemptInfo) {
	job, worker := attempt.job, attempt.worker
	switch attempt.result {
	case OK:
		worker.failures, worker.progressAt = 0, d.now
		d.markAlive(worker)
		d.learnFromRun(attempt, d.now-attempt.startedAt)
		if !d.settings.StartNotifications { // by sizes as known now: with low hints all would look late
			stretch := seconds(job.class.ObjectiveStretch * d.workload.expectedWork(job) / worker.speed)
			d.adjustLimit(attempt, d.now-attempt.sentAt <= job.class.LatencyObjective+stretch)
		}
	case WorkerFull:
		worker.aliveAt = d.now
		d.observeBusy(worker, true)
		d.halveLimit(attempt)
		d.backOff(worker, minBackoff)
		if worker.usedSlots == 0 && job.demand > 1 {
			worker.rejectedDemand = job.demand // it may never be able to run this
		}
	case Failed:
		worker.aliveAt = d.now
		d.halveLimit(attempt)
		// A worker that fails fast looks empty and would attract all jobs.
		worker.failures++
		if worker.failures > maxFailures {
			d.eject(worker, true, "fails")
		}
	case ConnectFailed, ConnectionReset:
		d.onConnectionFailure(attempt)
	case TimedOut:
		hadTime := job.deadline-attempt.sentAt >= d.promptStart(job.class)
		if hadTime { // else it tells nothing of a queue
			d.halveLimit(attempt)
		}
	}
}

// onConnectionFailure first blames the connection, if it was idle, and then the network, for one failure.
func (d *Dispatcher) onConnectionFailure(attempt *attemptInfo) {
	worker := attempt.worker
	worker.connections = len(worker.inFlight)
	if attempt.connIdle > 0 && !attempt.started {
		d.observeIdleConnection(attempt, false)
		return
	}
	worker.connFailures++
	if worker.connFailures <= maxFailures && !attempt.started {
		return
	}
	worker.connLost = worker.connLost || attempt.result == ConnectionReset
	d.halveLimit(attempt)
	d.eject(worker, true, "is unreachable")
}

// onOverdue looks at an attempt that has not started or ended when it should, also where its job has ended.
func (d *Dispatcher) onOverdue(attempt *attemptInfo) {
	if attempt.ended || attempt.orphaned || !attempt.started && attempt.mayBeDropped() {
		return
	}
	if d.stalledAt == d.now { // its notification may have come meanwhile, and be read in a moment
		d.setTimer(&attempt.timer, d.now+min(d.stallLength, maintenanceInterval))
		return
	}
	switch run := d.now - attempt.startedAt; {
	case !attempt.started:
		d.onLateStart(attempt)
	case run < d.workload.maxPlausibleRun(attempt): // it started, or the spread grew, since the timer was set
		return
	default:
		d.workload.observeOverrun(attempt.job.Class, run.Seconds(), attempt.expectedRun.Seconds())
		shown := math.Log(d.workload.expectedWork(attempt.job) / run.Seconds())
		d.learnSpeed(attempt.worker, min(attempt.worker.logSpeed, shown))
	}
	if d.isStuck(attempt) || d.isHedgedEarly(attempt) {
		d.retryElsewhere(attempt.job)
	} else if attempt.started {
		d.setTimer(&attempt.timer, attempt.silentAt(&d.settings))
	}
}

func (d *Dispatcher) onLateStart(a *attemptInfo) {
	if silentAt := a.sentAt + silenceFactor*d.meanLateStart; d.now < silentAt {
		d.setTimer(&a.timer, silentAt)
	} else {
		d.observeIdleConnection(a, false)
		if a.worker.aliveAt < a.sentAt {
			d.eject(a.worker, false, "silent")
		}
	}
	d.leases.client.reportStart(a, false)
	d.adjustLimit(a, false)
}

// markAlive takes in a sign of life.
func (d *Dispatcher) markAlive(w *workerInfo) {
	w.aliveAt, w.connFailures = d.now, 0
	// A worker that was lost and answers again has most likely restarted, though no list has said so yet.
	if w.connLost {
		w.connLost, w.returnedAt = false, d.now
	}
	if w.failures == 0 && w.ejectionTime > 0 {
		w.ejectionTime, w.ejectedUntil, w.broken = 0, 0, false
	}
	d.markDirty(w)
}
