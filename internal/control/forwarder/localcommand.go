package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
)

// executeLocal executes what the local policy has decided. Its commands are validated like those of a planner.
func (f *Forwarder) executeLocal(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Send:
		f.sendLocal(action)
	case dispatch.Reject:
		f.respondLocal(action.Job, &message.RejectCommand{RequestID: action.Job}, action)
	case dispatch.Fail:
		f.respondLocal(action.Job, &message.FailCommand{RequestID: action.Job}, action)
	case dispatch.Cancel:
		f.cancelLocal(action)
	case dispatch.HealthCheck:
		f.checkHealthLocal(action)
	case dispatch.SetTimer:
		f.local.setTimer(f.now + max(action.After, time.Nanosecond))
	case dispatch.Subscribe: // the watch is the forwarder's, whoever decides
	default: // dispatch.CloseIdleConnections, dispatch.Log, dispatch.WorkerEjected
		f.emit(action)
	}
}

// validateLocal reports whether a command of the local policy is valid.
func (f *Forwarder) validateLocal(command message.Command) bool {
	return f.validator.Validate(f.now, validator.LocalEpoch, command) == message.ReasonNone
}

// sendLocal sends an attempt, or tells the local policy that it was not sent.
func (f *Forwarder) sendLocal(action dispatch.Send) {
	request := f.requests[action.Job]
	if request == nil || request.state != requestLocal {
		return // the policy is yet to be told that the request is closed, or a planner's
	}
	command := &message.SendCommand{
		RequestID: action.Job,
		Attempt:   f.validator.NextCommandNumber(action.Job),
		WorkerID:  action.Worker,
	}
	if f.validateLocal(command) {
		f.sendAttempt(request, action.Worker, action.AttemptTimeout)
		return
	}
	f.notifyLocal(dispatch.Outcome{
		Job:     action.Job,
		Attempt: command.Attempt,
		Worker:  action.Worker,
		Result:  dispatch.NotSent,
	})
}

// respondLocal gives a response of the local policy. A rejection that is not safe becomes a failure.
func (f *Forwarder) respondLocal(id uint64, command message.Command, action dispatch.Action) {
	reason := f.validator.Validate(f.now, validator.LocalEpoch, command)
	request := f.requests[id]
	if request == nil || request.state != requestLocal {
		return
	}
	switch reason {
	case message.ReasonNone:
		f.respond(action)
	case message.ReasonUnsafeRejection:
		f.respond(dispatch.Fail{Job: id})
	default:
		return
	}
	f.closeRequest(request, ownerKnows)
}

// cancelLocal withdraws an attempt.
func (f *Forwarder) cancelLocal(action dispatch.Cancel) {
	if f.validateLocal(&message.CancelCommand{RequestID: action.Job, Attempt: action.Attempt}) {
		action.Attempt, _ = f.validator.AttemptIndex(action.Job, action.Attempt)
		f.emit(action)
	}
}

// checkHealthLocal has the health of a worker checked, or tells the local policy that it is not.
func (f *Forwarder) checkHealthLocal(action dispatch.HealthCheck) {
	valid := f.validateLocal(&message.HealthCheckCommand{WorkerID: action.Worker})
	if !valid || !f.checkHealth(action.Worker, validator.LocalEpoch) {
		f.notifyLocal(dispatch.HealthChecked{Worker: action.Worker, Result: dispatch.NotSent})
	}
}
