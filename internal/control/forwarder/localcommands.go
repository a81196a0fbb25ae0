package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
)

// localCommands executes the decisions of the local policy. Its commands are validated like those of a planner.
type localCommands struct {
	step         *step
	validator    *validator.Validator
	requests     *openRequests
	responder    *responder
	healthChecks *healthChecker
	local        *localPolicy
}

// execute executes a decision of the local policy.
func (l *localCommands) execute(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Send:
		l.send(action)
	case dispatch.Reject:
		l.respond(action.Job, &message.RejectCommand{RequestID: action.Job}, action)
	case dispatch.Fail:
		l.respond(action.Job, &message.FailCommand{RequestID: action.Job}, action)
	case dispatch.Cancel:
		l.cancel(action)
	case dispatch.HealthCheck:
		l.checkHealth(action)
	case dispatch.SetTimer:
		l.local.setTimer(l.step.now() + max(action.After, time.Nanosecond))
	case dispatch.Subscribe: // ignored: the forwarder subscribes by itself
	default: // dispatch.CloseIdleConnections, dispatch.Log, dispatch.WorkerEjected
		l.step.emit(action)
	}
}

// validate returns the reason why a command of the local policy may not be executed, or message.ReasonNone.
func (l *localCommands) validate(command message.Command) message.RejectReason {
	return l.validator.Validate(l.step.now(), validator.LocalEpoch, command)
}

// send sends an attempt, or notifies the local policy that it was not sent. It does nothing for a request that is closed or
// assigned to a planner, as the policy learns of that in its next step.
func (l *localCommands) send(action dispatch.Send) {
	request := l.requests.find(action.Job)
	if request == nil || request.state != requestLocal {
		return
	}
	command := &message.SendCommand{
		RequestID: action.Job,
		Attempt:   l.validator.NextCommandNumber(action.Job),
		WorkerID:  action.Worker,
	}
	if l.validate(command) == message.ReasonNone {
		l.responder.sendAttempt(request, action.Worker, action.AttemptTimeout)
		return
	}
	l.local.notify(dispatch.Outcome{
		Job:     action.Job,
		Attempt: command.Attempt,
		Worker:  action.Worker,
		Result:  dispatch.NotSent,
	})
}

// respond executes a response that the local policy decided on. A rejection that is not safe is converted to a failure.
func (l *localCommands) respond(id uint64, command message.Command, action dispatch.Action) {
	reason := l.validate(command)
	request := l.requests.find(id)
	if request == nil || request.state != requestLocal {
		return
	}
	switch reason {
	case message.ReasonNone:
		l.responder.execute(action)
	case message.ReasonUnsafeRejection:
		l.responder.fail(request)
	default:
		return
	}
	l.responder.closeRequest(request, ownerKnows)
}

// cancel cancels an attempt.
func (l *localCommands) cancel(action dispatch.Cancel) {
	command := &message.CancelCommand{RequestID: action.Job, Attempt: action.Attempt}
	if l.validate(command) == message.ReasonNone {
		action.Attempt, _ = l.validator.AttemptIndex(action.Job, action.Attempt)
		l.step.emit(action)
	}
}

// checkHealth starts a health check, or notifies the local policy that it was not started.
func (l *localCommands) checkHealth(action dispatch.HealthCheck) {
	isValid := l.validate(&message.HealthCheckCommand{WorkerID: action.Worker}) == message.ReasonNone
	if !isValid || !l.healthChecks.start(action.Worker, validator.LocalEpoch) {
		l.local.notify(dispatch.HealthChecked{Worker: action.Worker, Result: dispatch.NotSent})
	}
}
