package message

import (
	"slices"
	"time"
)

// HandshakeAccept accepts a session.
type HandshakeAccept struct {
	Name        string // of the planner
	Incarnation uint64 // start of its process, Unix time in ns
	Version     int    // of the protocol: major version << 8 | minor version
	Credit      int    // maximum number of the forwarder's requests assigned to the planner at a time
}

// Kind returns KindHandshakeAccept.
func (*HandshakeAccept) Kind() Kind { return KindHandshakeAccept }

// Clone copies the message.
func (h *HandshakeAccept) Clone() Message { return shallowClone(h) }

// CreditUpdate changes the maximum number of the forwarder's requests assigned to the planner at a time.
type CreditUpdate struct {
	Credit int
}

// Kind returns KindCreditUpdate.
func (*CreditUpdate) Kind() Kind { return KindCreditUpdate }

// Clone copies the message.
func (c *CreditUpdate) Clone() Message { return shallowClone(c) }

// SendCommand instructs the forwarder to send a request to a worker.
type SendCommand struct {
	RequestID uint64
	Attempt   int // number of the new attempt
	WorkerID  uint64
	Timeout   time.Duration // of the attempt; 0 for the request's deadline
}

// Kind returns KindSendCommand.
func (*SendCommand) Kind() Kind { return KindSendCommand }

// Clone copies the message.
func (s *SendCommand) Clone() Message { return shallowClone(s) }

func (*SendCommand) command() {}

// RejectCommand instructs the forwarder to respond to a request with a rejection.
type RejectCommand struct {
	RequestID  uint64
	RetryAfter time.Duration // delay after which the client may retry
}

// Kind returns KindRejectCommand.
func (*RejectCommand) Kind() Kind { return KindRejectCommand }

// Clone copies the message.
func (r *RejectCommand) Clone() Message { return shallowClone(r) }

func (*RejectCommand) command() {}

// FailCommand instructs the forwarder to respond to a request with a failure.
type FailCommand struct {
	RequestID uint64
}

// Kind returns KindFailCommand.
func (*FailCommand) Kind() Kind { return KindFailCommand }

// Clone copies the message.
func (f *FailCommand) Clone() Message { return shallowClone(f) }

func (*FailCommand) command() {}

// CancelCommand instructs the forwarder to cancel an attempt.
type CancelCommand struct {
	RequestID uint64
	Attempt   int
}

// Kind returns KindCancelCommand.
func (*CancelCommand) Kind() Kind { return KindCancelCommand }

// Clone copies the message.
func (c *CancelCommand) Clone() Message { return shallowClone(c) }

func (*CancelCommand) command() {}

// HealthCheckCommand instructs the forwarder to check the health of a worker.
type HealthCheckCommand struct {
	WorkerID uint64
}

// Kind returns KindHealthCheckCommand.
func (*HealthCheckCommand) Kind() Kind { return KindHealthCheckCommand }

// Clone copies the message.
func (h *HealthCheckCommand) Clone() Message { return shallowClone(h) }

func (*HealthCheckCommand) command() {}

// CloseIdleCommand instructs the forwarder to close its idle connections to a worker.
type CloseIdleCommand struct {
	WorkerID uint64
}

// Kind returns KindCloseIdleCommand.
func (*CloseIdleCommand) Kind() Kind { return KindCloseIdleCommand }

// Clone copies the message.
func (c *CloseIdleCommand) Clone() Message { return shallowClone(c) }

func (*CloseIdleCommand) command() {}

// TransferCommand instructs the forwarder to offer a request to another planner. It ends the assignment to the sender.
type TransferCommand struct {
	RequestID uint64
	Planner   string // name of the other planner, or empty if the sender's policy panicked on the request
}

// Kind returns KindTransferCommand.
func (*TransferCommand) Kind() Kind { return KindTransferCommand }

// Clone copies the message.
func (t *TransferCommand) Clone() Message { return shallowClone(t) }

func (*TransferCommand) command() {}

// HeartbeatReply replies to a Heartbeat.
type HeartbeatReply struct {
	Sequence uint64
	TimerLag time.Duration // delay with which the planner's own timers fire
}

// Kind returns KindHeartbeatReply.
func (*HeartbeatReply) Kind() Kind { return KindHeartbeatReply }

// Clone copies the message.
func (h *HeartbeatReply) Clone() Message { return shallowClone(h) }

// ModelSnapshot is the model of a planner's policy, for a forwarder's policy in standalone mode.
type ModelSnapshot struct {
	Age  time.Duration // time since the snapshot was taken
	Data []byte        // the model in the policy's own encoding
}

// Kind returns KindModelSnapshot.
func (*ModelSnapshot) Kind() Kind { return KindModelSnapshot }

// Clone copies the message with its data.
func (m *ModelSnapshot) Clone() Message {
	clone := shallowClone(m)
	clone.Data = slices.Clone(m.Data)
	return clone
}

// Goodbye announces that the planner is shutting down. The forwarder then offers the planner's requests to other planners.
// Commands that the planner has sent before remain valid.
type Goodbye struct{}

// Kind returns KindGoodbye.
func (*Goodbye) Kind() Kind { return KindGoodbye }

// Clone copies the message.
func (g *Goodbye) Clone() Message { return shallowClone(g) }
