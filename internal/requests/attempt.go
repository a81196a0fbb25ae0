package requests

import (
	"fmt"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
)

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptCreated    attemptState = iota // numbered, and not handed to the transport
	attemptInFlight                       // the transport has it
	attemptCancelling                     // accepted, and its worker is asked to stop; it may run until the worker confirms
	attemptNotStarted                     // it has ended, and was never handed to the transport
	attemptEnded                          // it has ended
)

// String names the state.
func (s attemptState) String() string {
	switch s {
	case attemptCreated:
		return "created"
	case attemptInFlight:
		return "in flight"
	case attemptCancelling:
		return "cancelling"
	case attemptNotStarted:
		return "not started"
	case attemptEnded:
		return "ended"
	}
	return fmt.Sprintf("attemptState(%d)", uint8(s))
}

// canBecome reports whether an attempt may go from this state to the next one.
func (s attemptState) canBecome(next attemptState) bool {
	switch s {
	case attemptCreated:
		return next == attemptInFlight || next == attemptNotStarted
	case attemptInFlight:
		return next == attemptCancelling || next == attemptEnded
	case attemptCancelling:
		return next == attemptInFlight || next == attemptEnded
	}
	return false
}

// Attempt is one attempt to have a request executed by a worker.
type Attempt struct {
	// Item.At is when the table stops waiting for the attempt. It is changed by the table alone.
	deadline.Item
	Request    *Request
	Number     int    // among the attempts of its request, from 0
	Worker     uint64 // the policy's number for the endpoint
	EndpointID string // discovery's id for the endpoint
	Stage      Stage  // set by the transport; it only grows

	state              attemptState
	result             dispatch.Result // once it has ended
	cancelReason       Reason          // while it is being cancelled
	ambiguousCallbacks bool            // a callback from its endpoint may be about an earlier attempt there: callbacks name none
}

// HasEnded reports whether the attempt has its outcome. A late callback about an earlier attempt at the same endpoint
// can end this one before the transport has written all of it. The transport must then write no more: the request may
// be closed, or in flight at another endpoint.
func (a *Attempt) HasEnded() bool {
	return a.state == attemptNotStarted || a.state == attemptEnded
}

// EndedByWorker reports whether the attempt has ended other than by a timeout or a cancellation: there is nothing at
// its worker that could be cancelled.
func (a *Attempt) EndedByWorker() bool {
	return a.HasEnded() && a.result != dispatch.TimedOut && a.result != dispatch.Cancelled
}

// mayStillCallBack reports whether the attempt has ended here without its worker having ended it, and may still run
// there.
func (a *Attempt) mayStillCallBack() bool {
	if !a.HasEnded() || a.Stage < StageWritten {
		return false
	}
	return a.result == dispatch.ConnectionReset || a.result == dispatch.TimedOut || a.result == dispatch.Cancelled
}

// become makes the transition to a state, and reports whether it is one that may follow. If not, nothing changes.
func (a *Attempt) become(next attemptState) bool {
	if !a.state.canBecome(next) {
		return false
	}
	a.state = next
	return true
}

// end makes the transition to the end, and reports whether the attempt had not ended before.
func (a *Attempt) end() bool {
	if a.state == attemptCreated {
		return a.become(attemptNotStarted)
	}
	return a.become(attemptEnded)
}

// attemptKey identifies an attempt in flight by what a callback says about it.
type attemptKey struct{ callID, endpointID string }

// key returns the key of the attempt.
func (a *Attempt) key() attemptKey { return attemptKey{a.Request.CallID, a.EndpointID} }
