package validator

import (
	"math"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Validate reports why a command of a session, or of the local policy (LocalEpoch), may not be executed, and counts it;
// ReasonNone: it may. A valid command is to be executed at once, and reported by Apply. A SendCommand of the request's owner
// uses up its number, valid or not.
func (v *Validator) Validate(now time.Duration, epoch message.Epoch, m message.Message) message.RejectReason {
	v.advance(now)
	reason := v.validate(epoch, m)
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

func (v *Validator) validate(epoch message.Epoch, m message.Message) message.RejectReason {
	if epoch != LocalEpoch && !v.openSessions[epoch] {
		return message.ReasonStaleEpoch
	}
	switch command := m.(type) {
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

// ownedRequest returns an open request whose owner is the session, or the reason why there is none.
func (v *Validator) ownedRequest(epoch message.Epoch, id uint64) (*request, message.RejectReason) {
	req := v.requests[id]
	switch {
	case req == nil || req.state != requestOpen:
		return nil, message.ReasonUnknownRequest
	case !req.assigned || req.owner != epoch:
		return nil, message.ReasonNotOwner
	}
	return req, message.ReasonNone
}

func (v *Validator) validateSend(epoch message.Epoch, command *message.SendCommand) message.RejectReason {
	req, reason := v.ownedRequest(epoch, command.RequestID)
	if reason != message.ReasonNone {
		return reason
	}
	if command.Attempt < req.nextCommand || command.Attempt >= math.MaxInt32 {
		return message.ReasonDuplicateCommand
	}
	req.nextCommand = command.Attempt + 1
	req.validatedCommand = command.Attempt
	return v.validateAttempt(req, command.WorkerID)
}

func (v *Validator) validateReject(epoch message.Epoch, command *message.RejectCommand) message.RejectReason {
	req, reason := v.ownedRequest(epoch, command.RequestID)
	if reason != message.ReasonNone {
		return reason
	}
	if !req.canReject() {
		return message.ReasonUnsafeRejection
	}
	return message.ReasonNone
}

func (v *Validator) validateCancel(epoch message.Epoch, command *message.CancelCommand) message.RejectReason {
	req, reason := v.ownedRequest(epoch, command.RequestID)
	if reason != message.ReasonNone {
		return reason
	}
	if !v.settings.Cancellation {
		return message.ReasonNotPermitted
	}
	index, ok := v.AttemptIndex(command.RequestID, command.Attempt)
	if !ok || req.attempts[index].ended {
		return message.ReasonUnknownRequest
	}
	return message.ReasonNone
}

func (v *Validator) validateHealthCheck(command *message.HealthCheckCommand) message.RejectReason {
	if reason := v.validateListed(command.WorkerID); reason != message.ReasonNone {
		return reason
	}
	if !v.settings.HealthChecks {
		return message.ReasonNotPermitted
	}
	return message.ReasonNone
}

func (v *Validator) validateListed(workerID uint64) message.RejectReason {
	if !v.isListed(workerID) {
		return message.ReasonUnknownWorker
	}
	return message.ReasonNone
}

// validateAttempt checks a further attempt of a request at a worker against all rules.
func (v *Validator) validateAttempt(req *request, workerID uint64) message.RejectReason {
	worker, listed := v.workers[workerID]
	switch {
	case v.now >= req.deadline:
		return message.ReasonDeadlineExceeded
	case len(req.attempts) >= max(1, v.settings.AttemptLimit):
		return message.ReasonAttemptLimit
	case !listed:
		return message.ReasonUnknownWorker
	case !permits(req.class.Kinds, worker.kind) || !permits(req.class.Zones, worker.zone):
		return message.ReasonClassMismatch
	case worker.status.State != message.WorkerUp || v.Blocked(workerID):
		return message.ReasonWorkerDraining
	}
	for i := range req.attempts {
		if reason := v.validateAfter(req, &req.attempts[i], workerID); reason != message.ReasonNone {
			return reason
		}
	}
	return message.ReasonNone
}

// permits reports whether a class may go to a kind or zone of workers. A class without a list of them may go to any.
func permits(permitted []int, index int) bool {
	return permitted == nil || slices.Contains(permitted, index)
}

// validateAfter checks a further attempt at a worker against a previous attempt.
func (v *Validator) validateAfter(req *request, previous *attempt, workerID uint64) message.RejectReason {
	if previous.possiblyExecuted() {
		if reason := v.validateRepetition(&req.class, previous, v.workers[workerID]); reason != message.ReasonNone {
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

// validateRepetition checks whether a worker may execute a request again that a previous attempt has possibly executed.
func (v *Validator) validateRepetition(class *dispatch.Class, previous *attempt, worker listedWorker) message.RejectReason {
	switch class.Idempotency {
	case dispatch.Idempotent:
		return message.ReasonNone
	case dispatch.IdempotentWithKey:
		return v.validateDeduplication(class, previous, worker)
	}
	return message.ReasonPossiblyExecuted
}

// validateDeduplication checks whether the worker recognises the key of the previous attempt.
func (v *Validator) validateDeduplication(class *dispatch.Class, previous *attempt, worker listedWorker) message.RejectReason {
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
	// windowMarginDivisor leaves this part of a deduplication window for differing clocks and for the time in transit.
	windowMarginDivisor = 20

	// repeatMargin is left of a window at least, besides the time for a connection: what the dispatcher leaves for a process
	// that is held up, for a request that goes in parts, and for the way (mayRepeat in package dispatch).
	repeatMargin = 210 * time.Millisecond
)

// usableWindow is the part of a deduplication window in which a request is repeated.
func (v *Validator) usableWindow(window time.Duration) time.Duration {
	return window - max(window/windowMarginDivisor, v.settings.ConnectTimeout+repeatMargin)
}
