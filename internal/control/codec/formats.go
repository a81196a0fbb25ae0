package codec

import "valvecove/internal/control/message"

// format is how a kind of message is encoded.
type format struct {
	// newMessage allocates a message of the kind.
	newMessage func() message.Message
	// reset sets a message of the kind to its zero value.
	reset func(m message.Message)
	// visit visits the message's fields in their order. It reports whether m is of the kind's type and not nil.
	visit func(c *fieldCodec, m message.Message) bool
}

// formatOf returns the format of the message type T with a function that visits its fields.
func formatOf[T any, M interface {
	*T
	message.Message
}](fields func(c *fieldCodec, m M),
) *format {
	return &format{
		newMessage: func() message.Message { return M(new(T)) },
		reset: func(m message.Message) {
			if typed, ok := m.(M); ok {
				*typed = *new(T)
			}
		},
		visit: func(c *fieldCodec, m message.Message) bool {
			typed, ok := m.(M)
			if !ok || typed == nil {
				return false
			}
			fields(c, typed)
			return true
		},
	}
}

// formatOfKind returns the format of a kind; nil: this version does not know it.
func formatOfKind(kind message.Kind) *format {
	if int(kind) < len(formats) {
		return formats[kind]
	}
	return nil
}

// formats are the fields of all messages, by kind. Their order is part of the protocol; new fields are appended.
var formats = [...]*format{
	message.KindHandshake: formatOf(func(c *fieldCodec, m *message.Handshake) {
		c.identity(&m.Name, &m.Incarnation, &m.Version)
	}),
	message.KindPeerHandshake: formatOf(func(c *fieldCodec, m *message.PeerHandshake) {
		c.identity(&m.Name, &m.Incarnation, &m.Version)
	}),
	message.KindHandshakeAccept: formatOf(func(c *fieldCodec, m *message.HandshakeAccept) {
		c.identity(&m.Name, &m.Incarnation, &m.Version)
		c.int(&m.Credit)
	}),
	message.KindRequestOffer: formatOf(func(c *fieldCodec, m *message.RequestOffer) {
		c.unsigned(&m.RequestID)
		c.requestSummary(&m.Summary)
	}),
	message.KindAttemptEnded: formatOf(func(c *fieldCodec, m *message.AttemptEnded) {
		c.unsigned(&m.RequestID)
		c.int(&m.Attempt)
		c.result(&m.Result)
		c.byte((*uint8)(&m.Reason))
	}),
	message.KindAttemptStarted: formatOf(func(c *fieldCodec, m *message.AttemptStarted) {
		c.unsigned(&m.RequestID)
		c.int(&m.Attempt)
	}),
	message.KindAttemptProgress: formatOf(func(c *fieldCodec, m *message.AttemptProgress) {
		c.unsigned(&m.RequestID)
		c.int(&m.Attempt)
		c.float(&m.Fraction)
	}),
	message.KindRequestClosed: formatOf(func(c *fieldCodec, m *message.RequestClosed) {
		c.unsigned(&m.RequestID)
	}),
	message.KindHealthCheckResult: formatOf(func(c *fieldCodec, m *message.HealthCheckResult) {
		c.fixed(&m.WorkerID)
		c.result(&m.Result)
	}),
	message.KindHeartbeat: formatOf(func(c *fieldCodec, m *message.Heartbeat) {
		c.unsigned(&m.Sequence)
	}),
	message.KindCreditUpdate: formatOf(func(c *fieldCodec, m *message.CreditUpdate) {
		c.int(&m.Credit)
	}),
	message.KindSendCommand: formatOf(func(c *fieldCodec, m *message.SendCommand) {
		c.unsigned(&m.RequestID)
		c.int(&m.Attempt)
		c.fixed(&m.WorkerID)
		c.duration(&m.Timeout)
	}),
	message.KindRejectCommand: formatOf(func(c *fieldCodec, m *message.RejectCommand) {
		c.unsigned(&m.RequestID)
		c.duration(&m.RetryAfter)
	}),
	message.KindFailCommand: formatOf(func(c *fieldCodec, m *message.FailCommand) {
		c.unsigned(&m.RequestID)
	}),
	message.KindCancelCommand: formatOf(func(c *fieldCodec, m *message.CancelCommand) {
		c.unsigned(&m.RequestID)
		c.int(&m.Attempt)
	}),
	message.KindHealthCheckCommand: formatOf(func(c *fieldCodec, m *message.HealthCheckCommand) {
		c.fixed(&m.WorkerID)
	}),
	message.KindCloseIdleCommand: formatOf(func(c *fieldCodec, m *message.CloseIdleCommand) {
		c.fixed(&m.WorkerID)
	}),
	message.KindTransferCommand: formatOf(func(c *fieldCodec, m *message.TransferCommand) {
		c.unsigned(&m.RequestID)
		c.text(&m.Planner)
	}),
	message.KindHeartbeatReply: formatOf(func(c *fieldCodec, m *message.HeartbeatReply) {
		c.unsigned(&m.Sequence)
		c.duration(&m.TimerLag)
	}),
	message.KindModelSnapshot: formatOf(func(c *fieldCodec, m *message.ModelSnapshot) {
		c.duration(&m.Age)
		c.bytes(&m.Data)
	}),
	message.KindGoodbye: formatOf(func(*fieldCodec, *message.Goodbye) {}),
	message.KindWorkerStatus: formatOf(func(c *fieldCodec, m *message.WorkerStatus) {
		c.fixed(&m.WorkerID)
		c.byte((*uint8)(&m.State))
		c.signed(&m.StartedMs)
		c.signed(&m.Revision)
	}),
	message.KindLoadReport: formatOf(func(c *fieldCodec, m *message.LoadReport) {
		c.int(&m.OpenRequests)
		c.int(&m.QueuedRequests)
		c.int(&m.Forwarders)
		c.duration(&m.TimerLag)
		c.float(&m.UsedSlots)
		c.float(&m.FreeSlots)
	}),
}

// isHandshake reports whether every version encodes a kind alike, up to the version field.
func isHandshake(kind message.Kind) bool {
	return kind == message.KindHandshake || kind == message.KindHandshakeAccept || kind == message.KindPeerHandshake
}

// identity visits the fields of handshake messages that every version encodes alike.
func (c *fieldCodec) identity(name *string, incarnation *uint64, version *int) {
	c.text(name)
	c.fixed(incarnation)
	c.int(version)
}

func (c *fieldCodec) requestSummary(summary *message.RequestSummary) {
	hasKey := summary.Key != 0
	c.int(&summary.Class)
	c.duration(&summary.Remaining)
	c.float(&summary.Slots)
	c.duration(&summary.Hint)
	c.flags(&summary.Retry, &hasKey)
	if hasKey {
		c.fixed(&summary.Key)
	}
	c.int(&summary.Tenant)
	c.float(&summary.Memory)
	c.duration(&summary.Waited)
	c.int(&summary.Transfers)
	c.pastAttempts(&summary.Attempts)
}

func (c *fieldCodec) pastAttempt(a *message.PastAttempt) {
	c.fixed(&a.WorkerID)
	c.duration(&a.SentAgo)
	c.flags(&a.Ended, &a.PossiblyExecuted)
	c.result(&a.Result)
	c.duration(&a.StartedAgo)
}
