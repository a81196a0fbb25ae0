package message

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// Handshake opens a session; its envelope's epoch is the new session's.
type Handshake struct {
	Name        string // of the forwarder
	Incarnation uint64 // when its process started, Unix time in ns
	Version     int    // of the protocol: major version << 8 | minor version
}

// Kind returns KindHandshake.
func (*Handshake) Kind() Kind { return KindHandshake }

// Clone copies the message.
func (m *Handshake) Clone() Message { return shallowClone(m) }

// RequestOffer offers a request to a planner, which then decides on it until it responds, transfers it, or hears that it
// is closed.
type RequestOffer struct {
	RequestID uint64
	Summary   RequestSummary
}

// Kind returns KindRequestOffer.
func (*RequestOffer) Kind() Kind { return KindRequestOffer }

// Clone copies the message with its attempts.
func (m *RequestOffer) Clone() Message {
	clone := shallowClone(m)
	clone.Summary.Attempts = slices.Clone(m.Summary.Attempts)
	return clone
}

// RequestSummary is what a planner knows of a request.
type RequestSummary struct {
	Class     int           // index into the settings' classes
	Tenant    int           // index into the settings' tenants
	Key       uint64        // hash of the idempotency key; 0: none
	Remaining time.Duration // until the request's deadline
	Waited    time.Duration // since it reached the forwarder
	Hint      time.Duration // expected work on a standard core; 0: unknown
	Slots     float64       // of a worker's concurrency limit that it occupies
	Memory    float64       // that it occupies, in units of one slot's memory
	Retry     bool          // the client marked it as a retry
	Transfers int           // transfer commands executed so far
	Attempts  []PastAttempt // made so far, by whichever planner, in order
}

// PastAttempt is an attempt that was made before the request was offered.
type PastAttempt struct {
	WorkerID         uint64
	SentAgo          time.Duration   // since it was sent
	StartedAgo       time.Duration   // since the worker reported the start; 0: it has not
	Ended            bool            // Result is valid
	Result           dispatch.Result // of an attempt that has ended
	PossiblyExecuted bool            // the worker may have executed it, or may yet, by the forwarder's request table
}

// AttemptEnded reports the end of an attempt, or that a send command was rejected.
type AttemptEnded struct {
	RequestID uint64
	Attempt   int // number of the attempt; -1: a reject command was turned into a failure
	Result    dispatch.Result
	Reason    RejectReason // why the validator rejected the command; ReasonNone: it was executed
}

// Kind returns KindAttemptEnded.
func (*AttemptEnded) Kind() Kind { return KindAttemptEnded }

// Clone copies the message.
func (m *AttemptEnded) Clone() Message { return shallowClone(m) }

// AttemptStarted reports that a worker has begun to execute an attempt.
type AttemptStarted struct {
	RequestID uint64
	Attempt   int
}

// Kind returns KindAttemptStarted.
func (*AttemptStarted) Kind() Kind { return KindAttemptStarted }

// Clone copies the message.
func (m *AttemptStarted) Clone() Message { return shallowClone(m) }

// AttemptProgress reports how far a worker has come with an attempt.
type AttemptProgress struct {
	RequestID uint64
	Attempt   int
	Fraction  float64 // done, from 0 to 1
}

// Kind returns KindAttemptProgress.
func (*AttemptProgress) Kind() Kind { return KindAttemptProgress }

// Clone copies the message.
func (m *AttemptProgress) Clone() Message { return shallowClone(m) }

// RequestClosed tells that a request is no longer the planner's to decide on: it has its response, its client has
// disconnected, or it was taken back.
type RequestClosed struct {
	RequestID uint64
}

// Kind returns KindRequestClosed.
func (*RequestClosed) Kind() Kind { return KindRequestClosed }

// Clone copies the message.
func (m *RequestClosed) Clone() Message { return shallowClone(m) }

// HealthCheckResult reports the result of a health check that the planner has commanded.
type HealthCheckResult struct {
	WorkerID uint64
	Result   dispatch.Result
}

// Kind returns KindHealthCheckResult.
func (*HealthCheckResult) Kind() Kind { return KindHealthCheckResult }

// Clone copies the message.
func (m *HealthCheckResult) Clone() Message { return shallowClone(m) }

// Heartbeat asks the planner for a HeartbeatReply, which shows that it has read everything sent before.
type Heartbeat struct {
	Sequence uint64
}

// Kind returns KindHeartbeat.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Clone copies the message.
func (m *Heartbeat) Clone() Message { return shallowClone(m) }
