package validator

import (
	"math"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Validate returns the reason why a command of a session, or of the local policy (LocalEpoch), may not be executed, or
// ReasonNone. It counts rejected commands by reason. A valid command must be executed at once and reported by Apply. The number
// of a SendCommand of the request's owner can't be used again afterwards, even if the command is rejected.
func (v *Validator) Validate(now time.Duration, epoch message.Epoch, command message.Message) message.RejectReason {
	v.advance(now)
	reason := v.validate(epoch, command)
	if reason != message.ReasonNone {
		v.rejected[reason]++
	}
	return reason
}

// RejectedCount returns the number of commands that were rejected for a reason.
func (v *Validator) RejectedCount(reason message.RejectReason) int {
	if reason < message.ReasonCount {
		return v.rejected[reason]
	}
	return 0
}

// validate returns the reason why a command may not be executed, or ReasonNone.
func (v *Validator) validate(epoch message.Epoch, command message.Message) message.RejectReason {
	if epoch != LocalEpoch && !v.openSessions[epoch] {
		return message.ReasonStaleEpoch
	}
	switch command := command.(type) {
	case *message.HealthCheckCommand:
		return v.validateHealthCheck(command)
	case *message.CloseIdleCommand:
		return v.validateListed(command.WorkerID)
	case *message.SendCommand:
		return v.validateSend(epoch, command)
	case *message.RejectCommand:
		return v.validateReject(epoch, command)
	case *message.FailCommand:
		_, reason := v.ownedRequest(epoch, command.RequestID)
		return reason
	case *message.CancelCommand:
		return v.validateCancel(epoch, command)
	case *message.TransferCommand:
		_, reason := v.ownedRequest(epoch, command.RequestID)
		return reason
	}
	return message.ReasonNotPermitted
}

// ownedRequest returns an open request that is owned by the session, or the reason why there is none.
func (v *Validator) ownedRequest(epoch message.Epoch, id uint64) (*requestRecord, message.RejectReason) {
	request := v.requests[id]
	switch {
	case request == nil || request.state != requestOpen:
		return nil, message.ReasonUnknownRequest
	case !request.assigned || request.owner != epoch:
		return nil, message.ReasonNotOwner
	}
	return request, message.ReasonNone
}

// validateSend checks a send command, and marks its number as used.
func (v *Validator) validateSend(epoch message.Epoch, command *message.SendCommand) message.RejectReason {
	request, reason := v.ownedRequest(epoch, command.RequestID)
	if reason != message.ReasonNone {
		return reason
	}
	if command.Attempt < request.nextCommand || command.Attempt >= math.MaxInt32 {
		return message.ReasonDuplicateCommand
	}
	request.nextCommand = command.Attempt + 1
	request.validatedCommand = command.Attempt
	return v.validateAttempt(request, command.WorkerID)
}

// validateReject checks a reject command.
func (v *Validator) validateReject(epoch message.Epoch, command *message.RejectCommand) message.RejectReason {
	request, reason := v.ownedRequest(epoch, command.RequestID)
	if reason != message.ReasonNone {
		return reason
	}
	if !request.canReject() {
		return message.ReasonUnsafeRejection
	}
	return message.ReasonNone
}

// validateCancel checks a cancel command.
func (v *Validator) validateCancel(epoch message.Epoch, command *message.CancelCommand) message.RejectReason {
	request, reason := v.ownedRequest(epoch, command.RequestID)
	if reason != message.ReasonNone {
		return reason
	}
	if !v.settings.Cancellation {
		return message.ReasonNotPermitted
	}
	index, ok := v.AttemptIndex(command.RequestID, command.Attempt)
	if !ok || request.attempts[index].ended {
		return message.ReasonUnknownRequest
	}
	return message.ReasonNone
}

// validateHealthCheck checks a health check command.
func (v *Validator) validateHealthCheck(command *message.HealthCheckCommand) message.RejectReason {
	if reason := v.validateListed(command.WorkerID); reason != message.ReasonNone {
		return reason
	}
	if !v.settings.HealthChecks {
		return message.ReasonNotPermitted
	}
	return message.ReasonNone
}

// validateListed checks that a worker is on the endpoint list.
func (v *Validator) validateListed(workerID uint64) message.RejectReason {
	if !v.isListed(workerID) {
		return message.ReasonUnknownWorker
	}
	return message.ReasonNone
}

// validateAttempt checks another attempt of a request at a worker.
func (v *Validator) validateAttempt(request *requestRecord, workerID uint64) message.RejectReason {
	worker, listed := v.workers[workerID]
	switch {
	case v.now >= request.deadline:
		return message.ReasonDeadlineExceeded
	case len(request.attempts) >= max(1, v.settings.AttemptLimit):
		return message.ReasonAttemptLimit
	case !listed:
		return message.ReasonUnknownWorker
	case !permits(request.class.Kinds, worker.kind) || !permits(request.class.Zones, worker.zone):
		return message.ReasonClassMismatch
	case worker.status.State != message.WorkerUp || v.Blocked(workerID):
		return message.ReasonWorkerDraining
	}
	for i := range request.attempts {
		if reason := v.validateAfter(request, &request.attempts[i], workerID); reason != message.ReasonNone {
			return reason
		}
	}
	return message.ReasonNone
}

// permits reports whether a class's list of worker kinds or zones contains an index. A nil list permits all.
func permits(permitted []int, index int) bool {
	return permitted == nil || slices.Contains(permitted, index)
}

// validateAfter checks whether a previous attempt of a request rules out another attempt at a worker.
func (v *Validator) validateAfter(request *requestRecord, previous *attemptRecord, workerID uint64) message.RejectReason {
	if previous.possiblyExecuted() {
		if reason := v.validateRepetition(&request.class, previous, v.workers[workerID]); reason != message.ReasonNone {
			return reason
		}
	}
	switch {
	case previous.ended:
		return message.ReasonNone
	case previous.workerID == workerID:
		return message.ReasonDuplicateAtWorker
	case !v.settings.Hedging:
		return message.ReasonHedgingDisabled
	}
	return message.ReasonNone
}

// validateRepetition checks whether a worker may execute a request that a previous attempt has possibly executed.
func (v *Validator) validateRepetition(class *dispatch.Class, previous *attemptRecord, worker listedWorker) message.RejectReason {
	switch class.Idempotency {
	case dispatch.Idempotent:
		return message.ReasonNone
	case dispatch.IdempotentWithKey:
		return v.validateDeduplication(class, previous, worker)
	}
	return message.ReasonPossiblyExecuted
}

// validateDeduplication checks whether the worker would still recognize the idempotency key of the previous attempt.
func (v *Validator) validateDeduplication(class *dispatch.Class, previous *attemptRecord, worker listedWorker) message.RejectReason {
	switch {
	case class.DeduplicationScope == dispatch.ScopeCell && worker.cell != previous.cell:
		return message.ReasonOutsideScope
	case class.DeduplicationScope == dispatch.ScopeZone && worker.zone != previous.zone:
		return message.ReasonOutsideScope
	case v.now-previous.sentAt >= v.usableWindow(class.DeduplicationWindow):
		return message.ReasonWindowExpired
	}
	return message.ReasonNone
}

const (
	// The margin at the end of a deduplication window, for clock skew and network delay, is at least the window divided by
	// windowMarginDivisor.
	windowMarginDivisor = 20

	// The margin is also at least repeatMargin plus the connect timeout. repeatMargin covers a paused process, a request that is
	// written in parts, and network delay. It equals the margin of mayRepeat in package dispatch.
	repeatMargin = 210 * time.Millisecond
)

// usableWindow returns the part of a deduplication window in which another attempt may be sent.
func (v *Validator) usableWindow(window time.Duration) time.Duration {
	return window - max(window/windowMarginDivisor, v.settings.ConnectTimeout+repeatMargin)
}
