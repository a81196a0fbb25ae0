package requests

import (
	"fmt"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
)

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptCreated    attemptState = iota // numbered, and not passed to the transport
	attemptInFlight                       // passed to the transport
	attemptCancelling                     // a cancellation is requested; it may still run until its worker confirms
	attemptNotStarted                     // ended without being passed to the transport
	attemptEnded                          // ended after it was passed to the transport
)

// String returns the name of the state.
func (a attemptState) String() string {
	switch a {
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
	return fmt.Sprintf("attemptState(%d)", uint8(a))
}

// canBecome reports whether the transition from this state to the next one is valid.
func (a attemptState) canBecome(next attemptState) bool {
	switch a {
	case attemptCreated:
		return next == attemptInFlight || next == attemptNotStarted
	case attemptInFlight:
		return next == attemptCancelling || next == attemptEnded
	case attemptCancelling:
		return next == attemptInFlight || next == attemptEnded
	}
	return false
}

// Attempt is one attempt to have a request executed by a worker. All fields but Stage are read only outside of the table.
type Attempt struct {
	// Item.At is when the attempt expires.
	deadline.Item
	Request    *Request
	Number     int    // among the attempts of its request, from 0
	Worker     uint64 // the policy's number for the endpoint
	EndpointID string // discovery's ID of the endpoint
	Stage      Stage  // set by the transport; it never decreases

	state              attemptState
	result             dispatch.Result // once it has ended
	cancelReason       Reason          // while it is being cancelled
	ambiguousCallbacks bool            // a callback of its endpoint may be about an earlier attempt there; callbacks have no number
}

// HasEnded reports whether the attempt has an outcome. A late callback about an earlier attempt at the same endpoint can end this
// one before the transport has written all of it. The transport must not write the rest then: the request may be closed, or in
// flight at another endpoint.
func (a *Attempt) HasEnded() bool {
	return a.state == attemptNotStarted || a.state == attemptEnded
}

// EndedByWorker reports whether the attempt has ended other than by a timeout or a cancellation, so that its worker has nothing to
// cancel.
func (a *Attempt) EndedByWorker() bool {
	return a.HasEnded() && a.result != dispatch.TimedOut && a.result != dispatch.Cancelled
}

// mayStillCallBack reports whether the worker may still execute the attempt although it has ended here.
func (a *Attempt) mayStillCallBack() bool {
	if !a.HasEnded() || a.Stage < StageWritten {
		return false
	}
	return a.result == dispatch.ConnectionReset || a.result == dispatch.TimedOut || a.result == dispatch.Cancelled
}

// become makes the transition to a state, and reports whether it is valid. If it is not, nothing changes.
func (a *Attempt) become(next attemptState) bool {
	if !a.state.canBecome(next) {
		return false
	}
	a.state = next
	return true
}

// end makes the transition to a final state, and reports whether the attempt had not ended before.
func (a *Attempt) end() bool {
	if a.state == attemptCreated {
		return a.become(attemptNotStarted)
	}
	return a.become(attemptEnded)
}
