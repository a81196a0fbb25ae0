package validator

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// requestState is how far a request has come. States follow each other in this order.
type requestState uint8

const (
	requestOpen      requestState = iota // commands may decide on it
	requestStreaming                     // its response has begun to reach the client
	requestClosed                        // it has its response, or its client has disconnected
)

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

// request is one that is not closed, or has attempts in flight.
type request struct {
	state            requestState
	class            dispatch.Class
	deadline         time.Duration
	assigned         bool // owner is valid
	owner            message.Epoch
	nextCommand      int // least number of the owner's next send command
	validatedCommand int // number of the last send command that was validated
	inFlight         int
	attempts         []attempt // by the request table's number
}

// attempt is an attempt that was sent.
type attempt struct {
	workerID      uint64
	cell          int // of the worker when it was sent
	zone          int
	commandNumber int // as the owner counts
	sentAt        time.Duration
	startedAt     time.Duration // 0: the worker reported no start
	ended         bool
	result        dispatch.Result // of an attempt that has ended
}

// advanceTo moves the request to a state, if that is later than its present one.
func (r *request) advanceTo(state requestState) { r.state = max(r.state, state) }

// inFlightAttempt returns the attempt of a number, if it is in flight at the worker; else nil.
func (r *request) inFlightAttempt(index int, workerID uint64) *attempt {
	if index < 0 || index >= len(r.attempts) {
		return nil
	}
	a := &r.attempts[index]
	if a.ended || a.workerID != workerID {
		return nil
	}
	return a
}

// anyInFlightAt returns the first attempt that is in flight at the worker, or nil.
func (r *request) anyInFlightAt(workerID uint64) *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended && a.workerID == workerID {
			return a
		}
	}
	return nil
}

// possiblyExecuted reports whether the worker may have executed the attempt, or may yet. Only three results prove that it
// has not; a result that this build does not know proves nothing.
func (a *attempt) possiblyExecuted() bool {
	if !a.ended {
		return true
	}
	switch a.result {
	case dispatch.WorkerFull, dispatch.ConnectFailed, dispatch.NotSent:
		return false
	}
	return true
}

// canReject reports whether a rejection, which has the client try again, is safe: the request was not executed, or may be
// executed by any worker once more.
func (r *request) canReject() bool {
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
