package dispatch

// Overdue attempts: those that have not started or ended when they should have. The design does not
// cover them beyond a timeout; the limit of the worker falls, its speed is corrected, and the job is
// tried elsewhere.

import "math"

// handleOverdue acts on an attempt that has not started or ended when it should have, also if its job
// has ended.
func (d *Dispatcher) handleOverdue(attempt *attemptInfo) {
	if attempt.ended || attempt.orphaned || !attempt.started && attempt.mayBeDeduplicated() {
		return
	}
	if d.stalls.justEnded(d.now) { // its notification may have arrived meanwhile, and not have been read yet
		d.setTimer(&attempt.timer, d.now+min(d.stalls.length, maintenanceInterval))
		return
	}
	switch run := d.now - attempt.startedAt; {
	case !attempt.started:
		d.handleLateStart(attempt)
	case run < d.workload.maxPlausibleRun(attempt): // it started, or the error of runs grew, since
		return
	default:
		d.workload.observeOverrun(attempt.job.Class, run.Seconds(), attempt.expectedRun.Seconds())
		logSpeed := math.Log(d.workload.expectedWork(attempt.job) / run.Seconds())
		d.learnSpeed(attempt.worker, min(attempt.worker.speed.log, logSpeed))
	}
	if d.isStuck(attempt) || d.isHedgedEarly(attempt) {
		d.retryElsewhere(attempt.job)
	} else if attempt.started {
		d.setTimer(&attempt.timer, attempt.silentAt(&d.settings))
	}
}

// handleLateStart acts on an attempt that has not started in time. Once it counts as
// lost, the fault is attributed to its connection or, if the worker has been silent since, to the worker.
func (d *Dispatcher) handleLateStart(attempt *attemptInfo) {
	worker := attempt.worker
	if lostAt := attempt.sentAt + d.starts.lostAfter(); d.now < lostAt {
		d.setTimer(&attempt.timer, lostAt)
	} else {
		d.idleConnections.observe(attempt.connectionIdle, false, d.now)
		if worker.activity.aliveAt < attempt.sentAt {
			d.eject(worker, EjectedForSilence)
		}
	}
	d.leases.client.reportStart(attempt, false)
	d.adjustLimit(attempt, false)
}
