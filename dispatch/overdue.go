package dispatch

// Overdue attempts: those that have not started or ended when they should have. The design covers them only
// by a timeout. Here the worker's limit or its estimated speed is lowered, and the job may be retried
// elsewhere.

import "math"

// handleOverdue acts on an attempt that has not started or ended when it should have, even if its job is
// closed already.
func (d *Dispatcher) handleOverdue(attempt *attemptInfo) {
	if attempt.ended || attempt.orphaned || !attempt.started && attempt.mayBeDeduplicated() {
		return
	}
	if d.stalls.justEnded(d.now) { // its notification may have arrived during the stall and be still unread
		d.setTimer(&attempt.timer, d.now+min(d.stalls.length, maintenanceInterval))
		return
	}
	switch run := d.now - attempt.startedAt; {
	case !attempt.started:
		d.handleLateStart(attempt)
	case run < d.workload.maxPlausibleRun(attempt): // it has started since, or the error has grown
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

// handleLateStart acts on an attempt that has not started in time. Once the attempt counts as lost, that
// counts as a failure of its connection, if the connection had been idle, and the worker is ejected if it has
// been silent since.
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
