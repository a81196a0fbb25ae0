package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const (
	// A request that is transferred more often than maxImmediateTransfers waits before it is offered again, for
	// transferBackoff at first and twice as long each further time: its planners do not agree on whose it is.
	transferBackoff       = 20 * time.Millisecond
	maxImmediateTransfers = 2
	maxTransferDoublings  = 6
	// convertedReject stands for the attempt's number in the AttemptEnded that tells a planner that its reject command was
	// turned into a failure.
	convertedReject = -1
)

// execute executes a planner's command, if it is valid.
func (f *Forwarder) execute(session *plannerSession, command message.Command) {
	f.stats.Commands++
	if reason := f.validator.Validate(f.now, session.epoch, command); reason != message.ReasonNone {
		f.rejectCommand(session, command, reason)
		return
	}
	switch command := command.(type) {
	case *message.HealthCheckCommand:
		if !f.checkHealth(command.WorkerID, session.epoch) {
			f.send(session, &message.HealthCheckResult{WorkerID: command.WorkerID, Result: dispatch.NotSent})
		}
	case *message.CloseIdleCommand:
		f.emit(dispatch.CloseIdleConnections{Worker: command.WorkerID})
	case *message.SendCommand:
		f.sendAttempt(f.commandedRequest(command.RequestID), command.WorkerID, command.Timeout)
	case *message.RejectCommand:
		request := f.commandedRequest(command.RequestID)
		f.respond(dispatch.Reject{Job: command.RequestID, RetryAfter: f.boundRetryAfter(command.RetryAfter)})
		f.closeRequest(request, ownerKnows)
	case *message.FailCommand:
		request := f.commandedRequest(command.RequestID)
		f.respond(dispatch.Fail{Job: command.RequestID})
		f.closeRequest(request, ownerKnows)
	case *message.CancelCommand:
		f.commandedRequest(command.RequestID)
		if index, ok := f.validator.AttemptIndex(command.RequestID, command.Attempt); ok {
			f.emit(dispatch.Cancel{Job: command.RequestID, Attempt: index})
		}
	case *message.TransferCommand:
		f.transfer(f.commandedRequest(command.RequestID), session, command.Planner)
	}
}

// commandedRequest returns the request of a valid command, and notes that its planner has decided on it.
func (f *Forwarder) commandedRequest(id uint64) *openRequest {
	request := f.requests[id]
	request.command.given = true
	request.command.dueAt = 0
	return request
}

// sendAttempt has a request sent to a worker. A timeout that is negative, or beyond the deadline, stands for the deadline:
// what is sent may run, and whether it does is worth knowing.
func (f *Forwarder) sendAttempt(request *openRequest, worker uint64, timeout time.Duration) {
	if timeout < 0 || timeout >= request.deadline-f.now {
		timeout = 0
	}
	f.respond(dispatch.Send{Job: request.job.ID, Worker: worker, AttemptTimeout: timeout})
	f.stats.Sent++
	f.scheduleCheck(request)
}

// transfer offers a request to another planner. Without a name of one, the request has made the sender's policy panic.
func (f *Forwarder) transfer(request *openRequest, session *plannerSession, target string) {
	f.unassign(request)
	f.stats.Transfers++
	if target == "" {
		f.recordFailure(request, session)
		return
	}
	request.transfers++
	request.transferredBy = session
	request.transferTarget = target
	if doublings := request.transfers - maxImmediateTransfers - 1; doublings >= 0 {
		request.notBefore = f.now + transferBackoff<<min(doublings, maxTransferDoublings)
	}
	f.enqueue(request)
}

// rejectCommand tells a planner that its command was not executed.
func (f *Forwarder) rejectCommand(session *plannerSession, command message.Command, reason message.RejectReason) {
	session.rejections.add(reason)
	switch command := command.(type) {
	case *message.SendCommand:
		if reason != message.ReasonDuplicateCommand { // the attempt of that number has its end, or will have it
			f.rejectSend(session, command, reason)
		}
	case *message.RejectCommand:
		if reason == message.ReasonUnsafeRejection {
			f.failInsteadOfReject(session, command.RequestID)
		}
	case *message.HealthCheckCommand:
		f.send(session, &message.HealthCheckResult{WorkerID: command.WorkerID, Result: dispatch.NotSent})
	}
}

// rejectSend tells a planner that an attempt was not sent, and of the status of its worker if that is why.
func (f *Forwarder) rejectSend(session *plannerSession, command *message.SendCommand, reason message.RejectReason) {
	if status, ok := f.validator.BlockingStatus(command.WorkerID); ok && reason == message.ReasonWorkerDraining {
		f.send(session, &status)
	}
	f.send(session, &message.AttemptEnded{
		RequestID: command.RequestID,
		Attempt:   command.Attempt,
		Result:    dispatch.NotSent,
		Reason:    reason,
	})
	request := f.requests[command.RequestID]
	if request.isOfferedTo(session) && f.validator.InFlight(command.RequestID) == 0 {
		f.awaitCommand(request)
	}
}

// failInsteadOfReject responds with a failure in place of a rejection, which would promise that the request was not
// executed. A failure promises nothing. To the planner the request is closed.
func (f *Forwarder) failInsteadOfReject(session *plannerSession, id uint64) {
	f.send(session, &message.AttemptEnded{
		RequestID: id,
		Attempt:   convertedReject,
		Result:    dispatch.NotSent,
		Reason:    message.ReasonUnsafeRejection,
	})
	f.respond(dispatch.Fail{Job: id})
	f.closeRequest(f.requests[id], ownerKnows)
}
