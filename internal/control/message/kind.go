package message

// Kind identifies the type of a message. Package codec writes it as one byte, so the values are part of the protocol and must
// not change.
type Kind uint8

// Kinds of messages from a forwarder to a planner.
const (
	KindHandshake Kind = iota + 1
	KindRequestOffer
	KindAttemptEnded
	KindAttemptStarted
	KindAttemptProgress
	KindRequestClosed
	KindHealthCheckResult
	KindHeartbeat
)

// Kinds of messages from a planner to a forwarder.
const (
	KindHandshakeAccept Kind = iota + 32
	KindCreditUpdate
	KindSendCommand
	KindRejectCommand
	KindFailCommand
	KindCancelCommand
	KindHealthCheckCommand
	KindCloseIdleCommand
	KindTransferCommand
	KindHeartbeatReply
	KindModelSnapshot
	KindGoodbye
)

// Kinds of messages in both directions, and between planners.
const (
	KindWorkerStatus Kind = iota + 64
	KindPeerHandshake
	KindLoadReport
)

var kindNames = [...]string{
	KindHandshake:          "handshake",
	KindRequestOffer:       "request-offer",
	KindAttemptEnded:       "attempt-ended",
	KindAttemptStarted:     "attempt-started",
	KindAttemptProgress:    "attempt-progress",
	KindRequestClosed:      "request-closed",
	KindHealthCheckResult:  "health-check-result",
	KindHeartbeat:          "heartbeat",
	KindHandshakeAccept:    "handshake-accept",
	KindCreditUpdate:       "credit-update",
	KindSendCommand:        "send",
	KindRejectCommand:      "reject",
	KindFailCommand:        "fail",
	KindCancelCommand:      "cancel",
	KindHealthCheckCommand: "health-check",
	KindCloseIdleCommand:   "close-idle",
	KindTransferCommand:    "transfer",
	KindHeartbeatReply:     "heartbeat-reply",
	KindModelSnapshot:      "model-snapshot",
	KindGoodbye:            "goodbye",
	KindWorkerStatus:       "worker-status",
	KindPeerHandshake:      "peer-handshake",
	KindLoadReport:         "load-report",
}

// String returns the name of the kind in lower case with hyphens, or "unknown".
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}
