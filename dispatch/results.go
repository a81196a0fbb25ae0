package dispatch

// Results of attempts, and what they show about the worker. In the design room halves on "full" (not
// accepted) or failure (error, timeout or reset), and without start notifications it grows when a job ends
// within its class's objective.

import "math"

// handleResult updates the state of a worker from the result of an attempt there.
func (d *Dispatcher) handleResult(attempt *attemptInfo) {
	worker := attempt.worker
	switch attempt.result {
	case OK:
		d.handleSuccess(attempt)
	case WorkerFull:
		d.handleWorkerFull(attempt)
	case Failed:
		worker.activity.aliveAt = d.now
		d.halveLimit(attempt)
		// A worker that fails fast looks idle, and would attract all jobs.
		worker.outlier.failures++
		if worker.outlier.failures > maxConsecutiveFailures {
			d.eject(worker, EjectedForFailures)
		}
	case ConnectFailed, ConnectionReset:
		d.handleConnectionFailure(attempt)
	case TimedOut:
		hadTime := attempt.job.deadline-attempt.sentAt >= d.starts.promptStart(attempt.job.class)
		if hadTime { // a timeout after less time does not indicate a queue
			d.halveLimit(attempt)
		}
	}
}

func (d *Dispatcher) handleSuccess(attempt *attemptInfo) {
	job, worker := attempt.job, attempt.worker
	worker.outlier.failures = 0
	worker.activity.progressAt = d.now
	d.markAlive(worker)
	d.learnFromRun(attempt, d.now-attempt.startedAt)
	if d.settings.StartNotifications {
		d.inferPromptStart(attempt)
		return
	}
	// Without start notifications, an end within the objective counts as a prompt start. The objective uses
	// the present estimates of the work and of the fastest worker: with hints that are too low, all attempts
	// would look late. The speed of this worker would not do, as it falls with the queue there.
	fastest := math.Exp(d.workload.maxLogSpeed)
	stretch := seconds(job.class.ObjectiveStretch * d.workload.expectedWork(job) / fastest)
	d.adjustLimit(attempt, d.now-attempt.sentAt <= job.class.LatencyObjective+stretch)
}

func (d *Dispatcher) handleWorkerFull(attempt *attemptInfo) {
	demand, worker := attempt.job.demand, attempt.worker
	worker.activity.aliveAt = d.now
	d.fleet.observeBusy(worker.Zone, true)
	d.halveLimit(attempt)
	d.backOff(worker, minBackoff)
	if worker.slots.used == 0 && demand > 1 {
		worker.rejectedDemand = demand // it may never be able to run this
	}
}

// handleConnectionFailure attributes a failure before the start of the attempt to the connection, if that had
// been idle, and otherwise the first time to the network. All other failures are attributed to the worker.
func (d *Dispatcher) handleConnectionFailure(attempt *attemptInfo) {
	worker := attempt.worker
	worker.connections.open = len(worker.inFlight)
	if attempt.connectionIdle > 0 && !attempt.started {
		d.idleConnections.observe(attempt.connectionIdle, false, d.now)
		return
	}
	worker.outlier.connectionFailures++
	if worker.outlier.connectionFailures <= maxConsecutiveFailures && !attempt.started {
		return
	}
	worker.outlier.connectionLost = worker.outlier.connectionLost || attempt.result == ConnectionReset
	d.halveLimit(attempt)
	d.eject(worker, EjectedAsUnreachable)
}
