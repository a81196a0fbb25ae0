package validator

import "valvecove/dispatch"

func (v *Validator) admit(job dispatch.Job) {
	if v.requests[job.ID] != nil || job.Class < 0 || job.Class >= len(v.settings.Classes) {
		return
	}
	req := &request{}
	if last := len(v.freeRequests) - 1; last >= 0 {
		req = v.freeRequests[last]
		v.freeRequests = v.freeRequests[:last]
	}
	*req = request{
		class:            v.settings.Classes[job.Class],
		deadline:         v.now + max(job.Remaining, 0),
		validatedCommand: -1,
		attempts:         req.attempts[:0],
	}
	v.requests[job.ID] = req
}

func (v *Validator) attemptSent(send dispatch.Send) {
	req := v.requests[send.Job]
	if req == nil {
		return
	}
	worker := v.workers[send.Worker]
	req.attempts = append(req.attempts, attempt{
		workerID:      send.Worker,
		cell:          worker.cell,
		zone:          worker.zone,
		commandNumber: req.validatedCommand,
		sentAt:        v.now,
	})
	req.inFlight++
}

func (v *Validator) attemptStarted(id uint64, index int, workerID uint64) {
	req := v.requests[id]
	if req == nil {
		return
	}
	if a := req.inFlightAttempt(index, workerID); a != nil && a.startedAt == 0 {
		a.startedAt = max(v.now, 1)
	}
}

func (v *Validator) responseStarted(e dispatch.ResponseStarted) {
	v.attemptStarted(e.Job, e.Attempt, e.Worker)
	if req := v.requests[e.Job]; req != nil {
		req.advanceTo(requestStreaming)
	}
}

func (v *Validator) attemptEnded(outcome dispatch.Outcome) (commandNumber int, ended bool) {
	req := v.requests[outcome.Job]
	if req == nil {
		return 0, false
	}
	a := req.inFlightAttempt(outcome.Attempt, outcome.Worker)
	if a == nil && outcome.Closed && outcome.Result == dispatch.NotSent {
		// The request table had released the request by then, and numbers no attempt of it.
		a = req.anyInFlightAt(outcome.Worker)
	}
	if a != nil {
		a.ended = true
		a.result = outcome.Result
		req.inFlight--
		commandNumber = a.commandNumber
		ended = true
	}
	if outcome.Closed || outcome.Result == dispatch.OK || req.state == requestStreaming {
		req.advanceTo(requestClosed)
	}
	v.releaseIfDone(outcome.Job, req)
	return commandNumber, ended
}

func (v *Validator) closeRequest(id uint64) {
	if req := v.requests[id]; req != nil {
		req.advanceTo(requestClosed)
		v.releaseIfDone(id, req)
	}
}

// releaseIfDone forgets a request that is closed and has nothing in flight. Its memory is reused.
func (v *Validator) releaseIfDone(id uint64, req *request) {
	if req.state == requestClosed && req.inFlight == 0 {
		delete(v.requests, id)
		v.freeRequests = append(v.freeRequests, req)
	}
}
