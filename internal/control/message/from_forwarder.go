package message

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// Handshake opens a session; its envelope's epoch is the new session's.
type Handshake struct {
	Name        string // of the forwarder
	Incarnation uint64 // start of its process, Unix time in ns
	Version     int    // of the protocol: major version << 8 | minor version
}

// Kind returns KindHandshake.
func (*Handshake) Kind() Kind { return KindHandshake }

// Clone copies the message.
func (h *Handshake) Clone() Message { return shallowClone(h) }

// RequestOffer assigns a request to a planner, which decides on it until it responds, transfers it, or receives its
// RequestClosed.
type RequestOffer struct {
	RequestID uint64
	Summary   RequestSummary
}

// Kind returns KindRequestOffer.
func (*RequestOffer) Kind() Kind { return KindRequestOffer }

// Clone copies the message with its attempts.
func (r *RequestOffer) Clone() Message {
	clone := shallowClone(r)
	clone.Summary.Attempts = slices.Clone(r.Summary.Attempts)
	return clone
}

// RequestSummary describes a request to a planner.
type RequestSummary struct {
	Class     int           // index into the settings' classes
	Tenant    int           // index into the settings' tenants
	Key       uint64        // hash of the idempotency key; 0: none
	Remaining time.Duration // until the request's deadline
	Waited    time.Duration // since its arrival at the forwarder
	Hint      time.Duration // expected work on a standard core; 0: unknown
	Slots     float64       // slots of a worker's concurrency limit that an attempt occupies
	Memory    float64       // memory that an attempt occupies, in units of one slot's memory
	Retry     bool          // the client marked it as a retry
	Transfers int           // transfer commands executed so far
	Attempts  []PastAttempt // all attempts so far, of any planner, in order
}

// PastAttempt is an attempt that was made before the request was offered.
type PastAttempt struct {
	WorkerID         uint64
	SentAgo          time.Duration   // since it was sent
	StartedAgo       time.Duration   // since the worker reported the start; 0: no start was reported
	Ended            bool            // Result is valid
	Result           dispatch.Result // of an attempt that has ended
	PossiblyExecuted bool            // the worker may have executed it, or may execute it in future, by the forwarder's records
}

// AttemptEnded reports the end of an attempt, or that a send command was rejected.
type AttemptEnded struct {
	RequestID uint64
	Attempt   int // number of the attempt; -1: a reject command was converted to a failure
	Result    dispatch.Result
	Reason    RejectReason // why the validator rejected the command; ReasonNone: it was executed
}

// Kind returns KindAttemptEnded.
func (*AttemptEnded) Kind() Kind { return KindAttemptEnded }

// Clone copies the message.
func (a *AttemptEnded) Clone() Message { return shallowClone(a) }

// AttemptStarted reports that a worker has started to execute an attempt.
type AttemptStarted struct {
	RequestID uint64
	Attempt   int
}

// Kind returns KindAttemptStarted.
func (*AttemptStarted) Kind() Kind { return KindAttemptStarted }

// Clone copies the message.
func (a *AttemptStarted) Clone() Message { return shallowClone(a) }

// AttemptProgress reports the progress of an attempt at its worker.
type AttemptProgress struct {
	RequestID uint64
	Attempt   int
	Fraction  float64 // of the work that is done, from 0 to 1
}

// Kind returns KindAttemptProgress.
func (*AttemptProgress) Kind() Kind { return KindAttemptProgress }

// Clone copies the message.
func (a *AttemptProgress) Clone() Message { return shallowClone(a) }

// RequestClosed ends the assignment of a request to the planner: the request has its response, its client has disconnected,
// or it was revoked.
type RequestClosed struct {
	RequestID uint64
}

// Kind returns KindRequestClosed.
func (*RequestClosed) Kind() Kind { return KindRequestClosed }

// Clone copies the message.
func (r *RequestClosed) Clone() Message { return shallowClone(r) }

// HealthCheckResult reports the result of a health check that the planner has commanded.
type HealthCheckResult struct {
	WorkerID uint64
	Result   dispatch.Result
}

// Kind returns KindHealthCheckResult.
func (*HealthCheckResult) Kind() Kind { return KindHealthCheckResult }

// Clone copies the message.
func (h *HealthCheckResult) Clone() Message { return shallowClone(h) }

// Heartbeat requests a HeartbeatReply, which shows that the planner has read every message before the heartbeat.
type Heartbeat struct {
	Sequence uint64
}

// Kind returns KindHeartbeat.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Clone copies the message.
func (h *Heartbeat) Clone() Message { return shallowClone(h) }
