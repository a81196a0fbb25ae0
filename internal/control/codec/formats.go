package codec

import "valvecove/internal/control/message"

// format encodes and decodes a kind of message.
type format struct {
	// newMessage allocates a message of the kind.
	newMessage func() message.Message
	// reset sets a message of the kind to its zero value.
	reset func(body message.Message)
	// visit visits the message's fields in order. It returns false if body is nil or not of the kind's type.
	visit func(fields *fieldCodec, body message.Message) bool
}

// formatOf returns the format of the message type T, whose fields visitFields visits.
func formatOf[T any, M interface {
	*T
	message.Message
}](visitFields func(fields *fieldCodec, body M),
) *format {
	return &format{
		newMessage: func() message.Message { return M(new(T)) },
		reset: func(body message.Message) {
			if typed, ok := body.(M); ok {
				*typed = *new(T)
			}
		},
		visit: func(fields *fieldCodec, body message.Message) bool {
			typed, ok := body.(M)
			if !ok || typed == nil {
				return false
			}
			visitFields(fields, typed)
			return true
		},
	}
}

// formatOfKind returns the format of a kind, or nil if this version does not know the kind.
func formatOfKind(kind message.Kind) *format {
	if int(kind) < len(formats) {
		return formats[kind]
	}
	return nil
}

// formats holds the format of each kind of message. The order of the fields is part of the protocol; new fields must be appended.
var formats = [...]*format{
	message.KindHandshake: formatOf(func(fields *fieldCodec, body *message.Handshake) {
		fields.identity(&body.Name, &body.Incarnation, &body.Version)
	}),
	message.KindPeerHandshake: formatOf(func(fields *fieldCodec, body *message.PeerHandshake) {
		fields.identity(&body.Name, &body.Incarnation, &body.Version)
	}),
	message.KindHandshakeAccept: formatOf(func(fields *fieldCodec, body *message.HandshakeAccept) {
		fields.identity(&body.Name, &body.Incarnation, &body.Version)
		fields.int(&body.Credit)
	}),
	message.KindRequestOffer: formatOf(func(fields *fieldCodec, body *message.RequestOffer) {
		fields.unsigned(&body.RequestID)
		fields.requestSummary(&body.Summary)
	}),
	message.KindAttemptEnded: formatOf(func(fields *fieldCodec, body *message.AttemptEnded) {
		fields.unsigned(&body.RequestID)
		fields.int(&body.Attempt)
		fields.result(&body.Result)
		fields.byte((*uint8)(&body.Reason))
	}),
	message.KindAttemptStarted: formatOf(func(fields *fieldCodec, body *message.AttemptStarted) {
		fields.unsigned(&body.RequestID)
		fields.int(&body.Attempt)
	}),
	message.KindAttemptProgress: formatOf(func(fields *fieldCodec, body *message.AttemptProgress) {
		fields.unsigned(&body.RequestID)
		fields.int(&body.Attempt)
		fields.float(&body.Fraction)
	}),
	message.KindRequestClosed: formatOf(func(fields *fieldCodec, body *message.RequestClosed) {
		fields.unsigned(&body.RequestID)
	}),
	message.KindHealthCheckResult: formatOf(func(fields *fieldCodec, body *message.HealthCheckResult) {
		fields.fixed(&body.WorkerID)
		fields.result(&body.Result)
	}),
	message.KindHeartbeat: formatOf(func(fields *fieldCodec, body *message.Heartbeat) {
		fields.unsigned(&body.Sequence)
	}),
	message.KindCreditUpdate: formatOf(func(fields *fieldCodec, body *message.CreditUpdate) {
		fields.int(&body.Credit)
	}),
	message.KindSendCommand: formatOf(func(fields *fieldCodec, body *message.SendCommand) {
		fields.unsigned(&body.RequestID)
		fields.int(&body.Attempt)
		fields.fixed(&body.WorkerID)
		fields.duration(&body.Timeout)
	}),
	message.KindRejectCommand: formatOf(func(fields *fieldCodec, body *message.RejectCommand) {
		fields.unsigned(&body.RequestID)
		fields.duration(&body.RetryAfter)
	}),
	message.KindFailCommand: formatOf(func(fields *fieldCodec, body *message.FailCommand) {
		fields.unsigned(&body.RequestID)
	}),
	message.KindCancelCommand: formatOf(func(fields *fieldCodec, body *message.CancelCommand) {
		fields.unsigned(&body.RequestID)
		fields.int(&body.Attempt)
	}),
	message.KindHealthCheckCommand: formatOf(func(fields *fieldCodec, body *message.HealthCheckCommand) {
		fields.fixed(&body.WorkerID)
	}),
	message.KindCloseIdleCommand: formatOf(func(fields *fieldCodec, body *message.CloseIdleCommand) {
		fields.fixed(&body.WorkerID)
	}),
	message.KindTransferCommand: formatOf(func(fields *fieldCodec, body *message.TransferCommand) {
		fields.unsigned(&body.RequestID)
		fields.text(&body.Planner)
	}),
	message.KindHeartbeatReply: formatOf(func(fields *fieldCodec, body *message.HeartbeatReply) {
		fields.unsigned(&body.Sequence)
		fields.duration(&body.TimerLag)
	}),
	message.KindModelSnapshot: formatOf(func(fields *fieldCodec, body *message.ModelSnapshot) {
		fields.duration(&body.Age)
		fields.bytes(&body.Data)
	}),
	message.KindGoodbye: formatOf(func(*fieldCodec, *message.Goodbye) {}),
	message.KindWorkerStatus: formatOf(func(fields *fieldCodec, body *message.WorkerStatus) {
		fields.fixed(&body.WorkerID)
		fields.byte((*uint8)(&body.State))
		fields.signed(&body.StartedMs)
		fields.signed(&body.Revision)
	}),
	message.KindLoadReport: formatOf(func(fields *fieldCodec, body *message.LoadReport) {
		fields.int(&body.OpenRequests)
		fields.int(&body.QueuedRequests)
		fields.int(&body.Forwarders)
		fields.duration(&body.TimerLag)
		fields.float(&body.UsedSlots)
		fields.float(&body.FreeSlots)
	}),
}

// isHandshake reports whether a kind is a handshake. All versions encode handshakes identically up to the version field.
func isHandshake(kind message.Kind) bool {
	return kind == message.KindHandshake || kind == message.KindHandshakeAccept || kind == message.KindPeerHandshake
}

// identity visits the fields of handshake messages that all versions encode identically.
func (f *fieldCodec) identity(name *string, incarnation *uint64, version *int) {
	f.text(name)
	f.fixed(incarnation)
	f.int(version)
}

// requestSummary visits the fields of a request's summary.
func (f *fieldCodec) requestSummary(summary *message.RequestSummary) {
	hasKey := summary.Key != 0
	f.int(&summary.Class)
	f.duration(&summary.Remaining)
	f.float(&summary.Slots)
	f.duration(&summary.Hint)
	f.flags(&summary.Retry, &hasKey)
	if hasKey {
		f.fixed(&summary.Key)
	}
	f.int(&summary.Tenant)
	f.float(&summary.Memory)
	f.duration(&summary.Waited)
	f.int(&summary.Transfers)
	f.pastAttempts(&summary.Attempts)
}

// pastAttempt visits the fields of a past attempt.
func (f *fieldCodec) pastAttempt(attempt *message.PastAttempt) {
	f.fixed(&attempt.WorkerID)
	f.duration(&attempt.SentAgo)
	f.flags(&attempt.Ended, &attempt.PossiblyExecuted)
	f.result(&attempt.Result)
	f.duration(&attempt.StartedAgo)
}
