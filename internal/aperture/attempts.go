package aperture

import "valvecove/dispatch"

// attemptStarted handles the start of an attempt. A job's wait ends with its first attempt.
func (a *Aperture) attemptStarted(send dispatch.Send) {
	if worker := a.fleet.workers[send.Worker]; worker != nil {
		worker.inFlight++
		if a.startNotifications {
			a.fleet.expectResponse(worker, a.now)
		}
	}
	a.load.jobSent(send.Job, a.now)
}

// jobResumed handles a resumed job, whose attempts may be at workers outside of the subset. The policy must receive the cells and
// zones of all these workers before the job, so those that are not in its list are added to the updates. They are returned, and
// must be reported again after the job.
func (a *Aperture) jobResumed(resumed dispatch.JobResumed) (outside []*worker) {
	for _, attempt := range resumed.Attempts {
		if attempt.Ended && a.fleet.workers[attempt.Worker] == nil {
			continue
		}
		worker := a.fleet.findOrAddWorker(attempt.Worker)
		if !attempt.Ended {
			worker.inFlight++
		}
		if worker.unit != nil && !worker.reported {
			a.updates = append(a.updates, worker.report(false))
			outside = append(outside, worker)
		}
	}
	return outside
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
			a.fleet.markUnreported(worker)
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
