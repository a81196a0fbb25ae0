package validator

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// requestState is the state of a request. It only advances in the order of the constants.
type requestState uint8

const (
	requestOpen      requestState = iota // its owner's commands are valid
	requestStreaming                     // its client is receiving the response
	requestClosed                        // the response is given, or the client has disconnected
)

// String returns the state's name.
func (s requestState) String() string {
	switch s {
	case requestOpen:
		return "open"
	case requestStreaming:
		return "streaming"
	case requestClosed:
		return "closed"
	}
	return "unknown"
}

// requestRecord is a request that is not closed or still has attempts in flight.
type requestRecord struct {
	state            requestState
	class            dispatch.Class
	deadline         time.Duration
	assigned         bool // whether owner is set
	owner            message.Epoch
	nextCommand      int             // lowest valid number of the owner's next send command
	validatedCommand int             // number of the last send command that passed the owner and number checks
	inFlight         int             // number of attempts in flight
	attempts         []attemptRecord // by the request table's index
}

// attemptRecord is an attempt that was sent.
type attemptRecord struct {
	workerID      uint64
	cell          int // cell of the worker when the attempt was sent
	zone          int // zone of the worker when the attempt was sent
	commandNumber int // the owner's number of the attempt
	sentAt        time.Duration
	startedAt     time.Duration // 0 if no start was reported
	ended         bool
	result        dispatch.Result // valid if the attempt has ended
}

// advanceTo advances the state. It does nothing if the current state is later.
func (r *requestRecord) advanceTo(state requestState) { r.state = max(r.state, state) }

// inFlightAttempt returns the attempt with an index if it is in flight at the worker, or nil.
func (r *requestRecord) inFlightAttempt(index int, workerID uint64) *attemptRecord {
	if index < 0 || index >= len(r.attempts) {
		return nil
	}
	attempt := &r.attempts[index]
	if attempt.ended || attempt.workerID != workerID {
		return nil
	}
	return attempt
}

// anyInFlightAt returns the first attempt that is in flight at the worker, or nil.
func (r *requestRecord) anyInFlightAt(workerID uint64) *attemptRecord {
	for i := range r.attempts {
		if attempt := &r.attempts[i]; !attempt.ended && attempt.workerID == workerID {
			return attempt
		}
	}
	return nil
}

// possiblyExecuted reports whether the worker may have executed the attempt, or may still execute it. Only three results rule
// that out; an unknown result does not.
func (a *attemptRecord) possiblyExecuted() bool {
	if !a.ended {
		return true
	}
	switch a.result {
	case dispatch.WorkerFull, dispatch.ConnectFailed, dispatch.NotSent:
		return false
	}
	return true
}

// canReject reports whether a rejection is safe. As the client may retry a rejected request, it is safe only if the request was
// not executed, or if any worker may execute it again.
func (r *requestRecord) canReject() bool {
	class := &r.class
	if class.Idempotency == dispatch.Idempotent ||
		class.Idempotency == dispatch.IdempotentWithKey && class.DeduplicationScope == dispatch.ScopeAll {
		return true
	}
	for i := range r.attempts {
		if r.attempts[i].possiblyExecuted() {
			return false
		}
	}
	return true
}
