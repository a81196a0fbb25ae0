package validator

import "valvecove/dispatch"

// admit creates the record of a request that has arrived.
func (v *Validator) admit(job dispatch.Job) {
	if v.requests[job.ID] != nil || job.Class < 0 || job.Class >= len(v.settings.Classes) {
		return
	}
	request := &requestRecord{}
	if last := len(v.freeRequests) - 1; last >= 0 {
		request = v.freeRequests[last]
		v.freeRequests = v.freeRequests[:last]
	}
	*request = requestRecord{
		class:            v.settings.Classes[job.Class],
		deadline:         v.now + max(job.Remaining, 0),
		validatedCommand: -1,
		attempts:         request.attempts[:0],
	}
	v.requests[job.ID] = request
}

// attemptSent records an attempt that was sent.
func (v *Validator) attemptSent(send dispatch.Send) {
	request := v.requests[send.Job]
	if request == nil {
		return
	}
	worker := v.workers[send.Worker]
	request.attempts = append(request.attempts, attemptRecord{
		workerID:      send.Worker,
		cell:          worker.cell,
		zone:          worker.zone,
		commandNumber: request.validatedCommand,
		sentAt:        v.now,
	})
	request.inFlight++
}

// attemptStarted records that a worker has started an attempt. Any event of an attempt that implies its start counts.
func (v *Validator) attemptStarted(id uint64, index int, workerID uint64) {
	request := v.requests[id]
	if request == nil {
		return
	}
	if attempt := request.inFlightAttempt(index, workerID); attempt != nil && attempt.startedAt == 0 {
		attempt.startedAt = max(v.now, 1)
	}
}

// responseStarted records that the client is receiving a response. No further commands for the request are valid.
func (v *Validator) responseStarted(event dispatch.ResponseStarted) {
	v.attemptStarted(event.Job, event.Attempt, event.Worker)
	if request := v.requests[event.Job]; request != nil {
		request.advanceTo(requestStreaming)
	}
}

// attemptEnded records the end of an attempt, and returns the number by which the request's owner knows the attempt. It returns
// false if the attempt is not known.
func (v *Validator) attemptEnded(outcome dispatch.Outcome) (commandNumber int, ended bool) {
	request := v.requests[outcome.Job]
	if request == nil {
		return 0, false
	}
	attempt := request.inFlightAttempt(outcome.Attempt, outcome.Worker)
	if attempt == nil && outcome.Closed && outcome.Result == dispatch.NotSent {
		// The request table has already released the request, so the event does not carry the attempt's number.
		attempt = request.anyInFlightAt(outcome.Worker)
	}
	if attempt != nil {
		attempt.ended = true
		attempt.result = outcome.Result
		request.inFlight--
		commandNumber = attempt.commandNumber
		ended = true
	}
	if outcome.Closed || outcome.Result == dispatch.OK || request.state == requestStreaming {
		request.advanceTo(requestClosed)
	}
	v.releaseIfDone(outcome.Job, request)
	return commandNumber, ended
}

// closeRequest closes a request whose response is given or whose client has disconnected.
func (v *Validator) closeRequest(id uint64) {
	if request := v.requests[id]; request != nil {
		request.advanceTo(requestClosed)
		v.releaseIfDone(id, request)
	}
}

// releaseIfDone removes a request that is closed and has no attempt in flight, and keeps its memory for reuse.
func (v *Validator) releaseIfDone(id uint64, request *requestRecord) {
	if request.state == requestClosed && request.inFlight == 0 {
		delete(v.requests, id)
		v.freeRequests = append(v.freeRequests, request)
	}
}
