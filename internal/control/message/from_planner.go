package message

import (
	"slices"
	"time"
)

// HandshakeAccept accepts a session.
type HandshakeAccept struct {
	Name        string // of the planner
	Incarnation uint64 // when its process started, Unix time in ns
	Version     int    // of the protocol: major version << 8 | minor version
	Credit      int    // requests that the forwarder may have open with the planner
}

// Kind returns KindHandshakeAccept.
func (*HandshakeAccept) Kind() Kind { return KindHandshakeAccept }

// Clone copies the message.
func (m *HandshakeAccept) Clone() Message { return shallowClone(m) }

// CreditUpdate changes how many requests the forwarder may have open with the planner in all.
type CreditUpdate struct {
	Credit int
}

// Kind returns KindCreditUpdate.
func (*CreditUpdate) Kind() Kind { return KindCreditUpdate }

// Clone copies the message.
func (m *CreditUpdate) Clone() Message { return shallowClone(m) }

// SendCommand has a request sent to a worker.
type SendCommand struct {
	RequestID uint64
	Attempt   int // number of the new attempt
	WorkerID  uint64
	Timeout   time.Duration // of the attempt; 0: the request's deadline
}

// Kind returns KindSendCommand.
func (*SendCommand) Kind() Kind { return KindSendCommand }

// Clone copies the message.
func (m *SendCommand) Clone() Message { return shallowClone(m) }

func (*SendCommand) command() {}

// RejectCommand has a request rejected.
type RejectCommand struct {
	RequestID  uint64
	RetryAfter time.Duration // when the client should try again
}

// Kind returns KindRejectCommand.
func (*RejectCommand) Kind() Kind { return KindRejectCommand }

// Clone copies the message.
func (m *RejectCommand) Clone() Message { return shallowClone(m) }

func (*RejectCommand) command() {}

// FailCommand has a request answered with a failure.
type FailCommand struct {
	RequestID uint64
}

// Kind returns KindFailCommand.
func (*FailCommand) Kind() Kind { return KindFailCommand }

// Clone copies the message.
func (m *FailCommand) Clone() Message { return shallowClone(m) }

func (*FailCommand) command() {}

// CancelCommand has an attempt withdrawn.
type CancelCommand struct {
	RequestID uint64
	Attempt   int
}

// Kind returns KindCancelCommand.
func (*CancelCommand) Kind() Kind { return KindCancelCommand }

// Clone copies the message.
func (m *CancelCommand) Clone() Message { return shallowClone(m) }

func (*CancelCommand) command() {}

// HealthCheckCommand has a worker's health checked.
type HealthCheckCommand struct {
	WorkerID uint64
}

// Kind returns KindHealthCheckCommand.
func (*HealthCheckCommand) Kind() Kind { return KindHealthCheckCommand }

// Clone copies the message.
func (m *HealthCheckCommand) Clone() Message { return shallowClone(m) }

func (*HealthCheckCommand) command() {}

// CloseIdleCommand has idle connections to a worker closed.
type CloseIdleCommand struct {
	WorkerID uint64
}

// Kind returns KindCloseIdleCommand.
func (*CloseIdleCommand) Kind() Kind { return KindCloseIdleCommand }

// Clone copies the message.
func (m *CloseIdleCommand) Clone() Message { return shallowClone(m) }

func (*CloseIdleCommand) command() {}

// TransferCommand has a request offered to another planner. The sender has dropped it.
type TransferCommand struct {
	RequestID uint64
	Planner   string // name of the other planner; empty: the sender's policy panicked on the request
}

// Kind returns KindTransferCommand.
func (*TransferCommand) Kind() Kind { return KindTransferCommand }

// Clone copies the message.
func (m *TransferCommand) Clone() Message { return shallowClone(m) }

func (*TransferCommand) command() {}

// HeartbeatReply replies to a Heartbeat.
type HeartbeatReply struct {
	Sequence uint64
	TimerLag time.Duration // how late the planner is for its own timers
}

// Kind returns KindHeartbeatReply.
func (*HeartbeatReply) Kind() Kind { return KindHeartbeatReply }

// Clone copies the message.
func (m *HeartbeatReply) Clone() Message { return shallowClone(m) }

// ModelSnapshot is the state of the planner's predictors, for a forwarder's policy in standalone mode.
type ModelSnapshot struct {
	Age  time.Duration // since it was taken
	Data []byte        // as the policy encodes it
}

// Kind returns KindModelSnapshot.
func (*ModelSnapshot) Kind() Kind { return KindModelSnapshot }

// Clone copies the message with its data.
func (m *ModelSnapshot) Clone() Message {
	clone := shallowClone(m)
	clone.Data = slices.Clone(m.Data)
	return clone
}

// Goodbye tells that the planner shuts down: the forwarder is to offer its requests elsewhere. Commands that it has sent
// remain valid.
type Goodbye struct{}

// Kind returns KindGoodbye.
func (*Goodbye) Kind() Kind { return KindGoodbye }

// Clone copies the message.
func (m *Goodbye) Clone() Message { return shallowClone(m) }
