package aperture

import "valvecove/dispatch"

// attemptStarted handles the start of an attempt. The first attempt ends the wait of its job.
func (a *Aperture) attemptStarted(send dispatch.Send) {
	if worker := a.fleet.workers[send.Worker]; worker != nil {
		worker.inFlight++
		if a.notifies {
			a.fleet.expectResponse(worker, a.now)
		}
	}
	a.load.jobSent(send.Job, a.now)
}

// jobResumed handles a job with attempts at workers that may be outside of the subset. The policy must have received the cells
// and zones of all of them before the job. Those outside of the subset are returned, and must be reported again after the job.
func (a *Aperture) jobResumed(resumed dispatch.JobResumed) (hidden []*worker) {
	for _, attempt := range resumed.Attempts {
		if attempt.Ended && a.fleet.workers[attempt.Worker] == nil {
			continue
		}
		worker := a.fleet.worker(attempt.Worker)
		if !attempt.Ended {
			worker.inFlight++
		}
		if worker.unit != nil && !worker.reported {
			a.updates = append(a.updates, worker.report(false))
			hidden = append(hidden, worker)
		}
	}
	return hidden
}

// attemptEnded handles the end of an attempt.
func (a *Aperture) attemptEnded(outcome dispatch.Outcome) {
	worker := a.fleet.workers[outcome.Worker]
	if worker != nil && worker.inFlight > 0 {
		worker.inFlight--
		switch {
		case worker.inFlight > 0:
		case worker.reported:
			a.updates = a.appendStatus(worker, a.updates)
		default:
			a.fleet.forget(worker)
		}
	}
	switch outcome.Result {
	case dispatch.OK, dispatch.Failed:
		a.fleet.responseReceived(outcome.Worker)
	case dispatch.WorkerFull:
		a.load.addSample(true)
		a.fleet.responseReceived(outcome.Worker)
	case dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionReset:
		a.fleet.failureObserved(outcome.Worker)
	}
}

// healthChecked handles the end of a health check.
func (a *Aperture) healthChecked(check dispatch.HealthChecked) {
	switch check.Result {
	case dispatch.NotSent, dispatch.Cancelled:
	case dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionReset:
		a.fleet.failureObserved(check.Worker)
	default:
		a.fleet.responseReceived(check.Worker)
	}
}
