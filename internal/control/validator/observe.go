package validator

import "valvecove/dispatch"

func (v *Validator) admit(job dispatch.Job) {
	if v.requests[job.ID] != nil || job.Class < 0 || job.Class >= len(v.settings.Classes) {
		return
	}
	r := &request{}
	if last := len(v.freeRequests) - 1; last >= 0 {
		r = v.freeRequests[last]
		v.freeRequests = v.freeRequests[:last]
	}
	*r = request{
		class:            v.settings.Classes[job.Class],
		deadline:         v.now + max(job.Remaining, 0),
		validatedCommand: -1,
		attempts:         r.attempts[:0],
	}
	v.requests[job.ID] = r
}

func (v *Validator) attemptSent(send dispatch.Send) {
	r := v.requests[send.Job]
	if r == nil {
		return
	}
	worker := v.workers[send.Worker]
	r.attempts = append(r.attempts, attempt{
		workerID:      send.Worker,
		cell:          worker.cell,
		zone:          worker.zone,
		commandNumber: r.validatedCommand,
		sentAt:        v.now,
	})
	r.inFlight++
}

func (v *Validator) attemptStarted(id uint64, index int, workerID uint64) {
	r := v.requests[id]
	if r == nil {
		return
	}
	if a := r.inFlightAttempt(index, workerID); a != nil && a.startedAt == 0 {
		a.startedAt = max(v.now, 1)
	}
}

func (v *Validator) responseStarted(e dispatch.ResponseStarted) {
	v.attemptStarted(e.Job, e.Attempt, e.Worker)
	if r := v.requests[e.Job]; r != nil {
		r.advanceTo(requestStreaming)
	}
}

func (v *Validator) attemptEnded(outcome dispatch.Outcome) (commandNumber int, ended bool) {
	r := v.requests[outcome.Job]
	if r == nil {
		return 0, false
	}
	a := r.inFlightAttempt(outcome.Attempt, outcome.Worker)
	if a == nil && outcome.Closed && outcome.Result == dispatch.NotSent {
		// The request table had released the request by then, and numbers no attempt of it.
		a = r.anyInFlightAt(outcome.Worker)
	}
	if a != nil {
		a.ended = true
		a.result = outcome.Result
		r.inFlight--
		commandNumber = a.commandNumber
		ended = true
	}
	if outcome.Closed || outcome.Result == dispatch.OK || r.state == requestStreaming {
		r.advanceTo(requestClosed)
	}
	v.releaseIfDone(outcome.Job, r)
	return commandNumber, ended
}

func (v *Validator) closeRequest(id uint64) {
	if r := v.requests[id]; r != nil {
		r.advanceTo(requestClosed)
		v.releaseIfDone(id, r)
	}
}

// releaseIfDone forgets a request that is closed and has nothing in flight. Its memory is reused.
func (v *Validator) releaseIfDone(id uint64, r *request) {
	if r.state == requestClosed && r.inFlight == 0 {
		delete(v.requests, id)
		v.freeRequests = append(v.freeRequests, r)
	}
}
