package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// convertedReject is the attempt number in the AttemptEnded message that is sent when a reject command was converted to a
// failure.
const convertedReject = -1

// commandValidator decides which commands may be executed.
type commandValidator interface {
	Validate(now time.Duration, epoch message.Epoch, command message.Message) message.RejectReason
	BlockingStatus(workerID uint64) (status message.WorkerStatus, ok bool)
	AttemptIndex(id uint64, commandNumber int) (index int, ok bool)
}

// commandExecutor executes the commands of planners.
type commandExecutor struct {
	step         *step
	stats        *Stats
	validator    commandValidator
	requests     *openRequests
	checks       *checkSchedule
	assignments  *assignments
	responder    *responder
	healthChecks *healthChecker
}

// execute executes a planner's command if it is valid; otherwise it notifies the planner of the rejection.
func (c *commandExecutor) execute(session *plannerSession, command message.Command) {
	c.stats.Commands++
	if reason := c.validator.Validate(c.step.now(), session.epoch, command); reason != message.ReasonNone {
		c.rejectCommand(session, command, reason)
		return
	}
	switch command := command.(type) {
	case *message.HealthCheckCommand:
		c.checkHealth(session, command)
	case *message.CloseIdleCommand:
		c.step.emit(dispatch.CloseIdleConnections{Worker: command.WorkerID})
	case *message.SendCommand:
		c.responder.sendAttempt(c.commandedRequest(command.RequestID), command.WorkerID, command.Timeout)
	case *message.RejectCommand:
		request := c.commandedRequest(command.RequestID)
		c.responder.reject(request, command.RetryAfter)
		c.responder.closeRequest(request, ownerKnows)
	case *message.FailCommand:
		request := c.commandedRequest(command.RequestID)
		c.responder.fail(request)
		c.responder.closeRequest(request, ownerKnows)
	case *message.CancelCommand:
		c.cancel(command)
	case *message.TransferCommand:
		c.transfer(c.commandedRequest(command.RequestID), session, command.Planner)
	}
}

// commandedRequest returns the request that a valid command is for, and records that a command was given.
func (c *commandExecutor) commandedRequest(id uint64) *openRequest {
	request := c.requests.find(id)
	request.recordCommand()
	return request
}

// checkHealth starts a health check. If too many are in flight, it notifies the planner that the check was not sent.
func (c *commandExecutor) checkHealth(session *plannerSession, command *message.HealthCheckCommand) {
	if !c.healthChecks.start(command.WorkerID, session.epoch) {
		c.reportUncheckedHealth(session, command)
	}
}

func (c *commandExecutor) reportUncheckedHealth(session *plannerSession, command *message.HealthCheckCommand) {
	c.step.send(session, &message.HealthCheckResult{WorkerID: command.WorkerID, Result: dispatch.NotSent})
}

// cancel cancels an attempt.
func (c *commandExecutor) cancel(command *message.CancelCommand) {
	c.commandedRequest(command.RequestID)
	if index, ok := c.validator.AttemptIndex(command.RequestID, command.Attempt); ok {
		c.step.emit(dispatch.Cancel{Job: command.RequestID, Attempt: index})
	}
}

// transfer enqueues a request for another planner. An empty target means that the sender's policy panicked on the request.
func (c *commandExecutor) transfer(request *openRequest, sender *plannerSession, target string) {
	c.assignments.unassign(request)
	c.stats.Transfers++
	if target == "" {
		c.responder.recordFailure(request, sender)
		return
	}
	request.recordTransfer(c.step.now(), sender, target)
	c.assignments.enqueue(request)
}

// rejectCommand notifies a planner that its command was not executed.
func (c *commandExecutor) rejectCommand(session *plannerSession, command message.Command, reason message.RejectReason) {
	session.rejections.add(reason)
	switch command := command.(type) {
	case *message.SendCommand:
		if reason != message.ReasonDuplicateCommand { // the attempt that used this number gets its own AttemptEnded
			c.rejectSend(session, command, reason)
		}
	case *message.RejectCommand:
		if reason == message.ReasonUnsafeRejection {
			c.failInsteadOfReject(session, command.RequestID)
		}
	case *message.HealthCheckCommand:
		c.reportUncheckedHealth(session, command)
	}
}

// rejectSend notifies a planner that an attempt was not sent. If the reason is that the worker is draining, it also sends the
// worker's status.
func (c *commandExecutor) rejectSend(session *plannerSession, command *message.SendCommand, reason message.RejectReason) {
	if status, ok := c.validator.BlockingStatus(command.WorkerID); ok && reason == message.ReasonWorkerDraining {
		c.step.send(session, &status)
	}
	c.step.send(session, &message.AttemptEnded{
		RequestID: command.RequestID,
		Attempt:   command.Attempt,
		Result:    dispatch.NotSent,
		Reason:    reason,
	})
	request := c.requests.find(command.RequestID)
	if request.isOfferedTo(session) && !c.checks.hasAttempts(request) {
		c.checks.awaitCommand(request)
	}
}

// failInsteadOfReject responds to a request with a failure, because a rejection would wrongly promise that the request was
// not executed. The planner's assignment ends with it.
func (c *commandExecutor) failInsteadOfReject(session *plannerSession, id uint64) {
	c.step.send(session, &message.AttemptEnded{
		RequestID: id,
		Attempt:   convertedReject,
		Result:    dispatch.NotSent,
		Reason:    message.ReasonUnsafeRejection,
	})
	request := c.requests.find(id)
	c.responder.fail(request)
	c.responder.closeRequest(request, ownerKnows)
}
