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
	attemptCancelling                     // cancellation requested; it may be executed until its worker confirms
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

// canTransitionTo reports whether the transition from this state to the next one is valid.
func (a attemptState) canTransitionTo(next attemptState) bool {
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

// Attempt is one attempt to execute a request at a worker. Outside of the table all fields but Stage are read-only.
type Attempt struct {
	// Item.At is when the attempt expires.
	deadline.Item
	Request    *Request
	Number     int    // index among the attempts of its request
	Worker     uint64 // the policy's number for the endpoint
	EndpointID string // discovery's ID of the endpoint
	Stage      Stage  // set by the transport; it never decreases

	state              attemptState
	result             dispatch.Result // once it has ended
	cancelReason       Reason          // while it is being cancelled
	ambiguousCallbacks bool            // a callback of its endpoint may be about an earlier attempt there; see Callback
}

// HasEnded reports whether the attempt has an outcome. A late callback about an earlier attempt at the same endpoint can end this
// one before the transport has written all of it. The transport must not write the rest then: the request may be closed, or in
// flight at another endpoint.
func (a *Attempt) HasEnded() bool {
	return a.state == attemptNotStarted || a.state == attemptEnded
}

// EndedByWorker reports whether the attempt has ended other than by a timeout or a cancellation, so that its worker has nothing
// to cancel.
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

// transitionTo changes the state, and reports whether the transition is valid. An invalid transition changes nothing.
func (a *Attempt) transitionTo(next attemptState) bool {
	if !a.state.canTransitionTo(next) {
		return false
	}
	a.state = next
	return true
}

// end makes the transition to a final state, and reports whether the attempt had not ended before.
func (a *Attempt) end() bool {
	if a.state == attemptCreated {
		return a.transitionTo(attemptNotStarted)
	}
	return a.transitionTo(attemptEnded)
}
