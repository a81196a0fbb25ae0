package message

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// Handshake opens a session. The epoch of its envelope is that of the new session.
type Handshake struct {
	Name        string // of the forwarder
	Incarnation uint64 // start of its process, Unix time in ns
	Version     int    // of the protocol: major version << 8 | minor version
}

// Kind returns KindHandshake.
func (*Handshake) Kind() Kind { return KindHandshake }

// Clone copies the message.
func (h *Handshake) Clone() Message { return shallowClone(h) }

// RequestOffer assigns a request to a planner. The assignment lasts until the planner responds to the request, transfers it, or
// receives a RequestClosed for it.
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
	Key       uint64        // hash of the idempotency key; 0 if there is none
	Remaining time.Duration // time until the request's deadline
	Waited    time.Duration // time since the request's arrival at the forwarder
	Hint      time.Duration // expected work on a standard core; 0 if unknown
	Slots     float64       // slots of a worker's concurrency limit that an attempt occupies
	Memory    float64       // memory that an attempt occupies, in units of one slot's memory
	Retry     bool          // the client marked it as a retry
	Transfers int           // number of transfer commands executed so far
	Attempts  []PastAttempt // all attempts so far, of any planner or the local policy, in order
}

// PastAttempt is an attempt that was made before the request was offered.
type PastAttempt struct {
	WorkerID         uint64
	SentAgo          time.Duration   // time since the attempt was sent
	StartedAgo       time.Duration   // time since the worker reported the start; 0 if it did not
	Ended            bool            // whether the attempt has ended and Result is valid
	Result           dispatch.Result // valid if Ended is set
	PossiblyExecuted bool            // the forwarder can't rule out that the worker has executed it or still will
}

// AttemptEnded reports the end of an attempt, or that a send command was rejected.
type AttemptEnded struct {
	RequestID uint64
	Attempt   int // number of the attempt, or -1 if a reject command was converted to a failure
	Result    dispatch.Result
	Reason    RejectReason // why the validator rejected the command, or ReasonNone if the command was executed
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
	Fraction  float64 // completed fraction of the work, from 0 to 1
}

// Kind returns KindAttemptProgress.
func (*AttemptProgress) Kind() Kind { return KindAttemptProgress }

// Clone copies the message.
func (a *AttemptProgress) Clone() Message { return shallowClone(a) }

// RequestClosed ends the assignment of a request to the planner, because the request got its response, its client has
// disconnected, or the assignment was revoked.
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

// Heartbeat requests a HeartbeatReply, which confirms that the planner has read every message sent before the heartbeat.
type Heartbeat struct {
	Sequence uint64
}

// Kind returns KindHeartbeat.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Clone copies the message.
func (h *Heartbeat) Clone() Message { return shallowClone(h) }
