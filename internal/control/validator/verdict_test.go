package validator

import (
	"slices"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// reasonSet is a set of reasons to reject a command.
type reasonSet []message.RejectReason

func (r *reasonSet) add(reason message.RejectReason, applies bool) {
	if applies {
		*r = append(*r, reason)
	}
}

func (r reasonSet) has(reason message.RejectReason) bool { return slices.Contains(r, reason) }

// reasons returns all reasons to reject a command of a session. open contains the open sessions.
func (h *history) reasons(epoch message.Epoch, open map[message.Epoch]bool, command *anyCommand) (reasons reasonSet) {
	reasons.add(message.ReasonStaleEpoch, epoch != LocalEpoch && !open[epoch])
	if command.kind == message.KindHealthCheckCommand || command.kind == message.KindCloseIdleCommand {
		_, listed := h.list()[command.worker]
		reasons.add(message.ReasonUnknownWorker, !listed)
		reasons.add(message.ReasonNotPermitted, command.kind == message.KindHealthCheckCommand && !h.settings.HealthChecks)
		return reasons
	}
	request := h.request(command.request)
	if request == nil || request.closed {
		return append(reasons, message.ReasonUnknownRequest)
	}
	reasons.add(message.ReasonNotOwner, !request.assigned || request.owner != epoch)
	switch command.kind {
	case message.KindRejectCommand:
		reasons.add(message.ReasonUnsafeRejection, !h.canReject(request))
	case message.KindCancelCommand:
		inFlight := func(a modelAttempt) bool { return a.number == command.attempt && !a.ended }
		reasons.add(message.ReasonNotPermitted, !h.settings.Cancellation)
		reasons.add(message.ReasonUnknownRequest, !slices.ContainsFunc(request.attempts, inFlight))
	case message.KindSendCommand:
		h.addSendReasons(&reasons, request, command)
	}
	return reasons
}

func (h *history) canReject(request *modelRequest) bool {
	class := h.settings.Classes[request.job.Class]
	return class.Idempotency == dispatch.Idempotent ||
		class.Idempotency == dispatch.IdempotentWithKey && class.DeduplicationScope == dispatch.ScopeAll ||
		!slices.ContainsFunc(request.attempts, modelAttempt.possiblyExecuted)
}

func (h *history) addSendReasons(reasons *reasonSet, request *modelRequest, command *anyCommand) {
	class := h.settings.Classes[request.job.Class]
	worker, listed := h.list()[command.worker]
	newest := h.newestStatus(command.worker)
	blocked := newest != nil && newest.State != message.WorkerUp && !worker.status().Supersedes(*newest)
	isUsed := func(number int) bool { return number >= command.attempt }
	reasons.add(message.ReasonDuplicateCommand, command.attempt < 0 || slices.ContainsFunc(request.used, isUsed))
	reasons.add(message.ReasonDeadlineExceeded, h.now >= request.arrivedAt+request.job.Remaining)
	reasons.add(message.ReasonAttemptLimit, len(request.attempts) >= h.settings.AttemptLimit)
	reasons.add(message.ReasonUnknownWorker, !listed)
	reasons.add(message.ReasonClassMismatch, class.Kinds != nil && !slices.Contains(class.Kinds, worker.Kind))
	reasons.add(message.ReasonClassMismatch, class.Zones != nil && !slices.Contains(class.Zones, worker.Zone))
	reasons.add(message.ReasonWorkerDraining, !worker.Ready || blocked)
	for _, attempt := range request.attempts {
		reasons.add(message.ReasonDuplicateAtWorker, !attempt.ended && attempt.worker == command.worker)
		reasons.add(message.ReasonHedgingDisabled, !attempt.ended && !h.settings.Hedging)
		if attempt.possiblyExecuted() {
			h.addRepetitionReasons(reasons, &class, attempt, worker)
		}
	}
}

func (h *history) addRepetitionReasons(reasons *reasonSet, class *dispatch.Class, previous modelAttempt, worker modelWorker) {
	withKey := class.Idempotency == dispatch.IdempotentWithKey
	otherCell := class.DeduplicationScope == dispatch.ScopeCell && previous.cell != worker.Cell
	otherZone := class.DeduplicationScope == dispatch.ScopeZone && previous.zone != worker.Zone
	reasons.add(message.ReasonPossiblyExecuted, class.Idempotency == dispatch.NonIdempotent)
	reasons.add(message.ReasonOutsideScope, withKey && (otherCell || otherZone))
	isInMargin := 20*(h.now-previous.sentAt) >= 19*class.DeduplicationWindow ||
		h.now-previous.sentAt+h.settings.ConnectTimeout+repeatMargin >= class.DeduplicationWindow
	reasons.add(message.ReasonWindowExpired, withKey && isInMargin)
}
