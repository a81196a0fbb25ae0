package forwarder

import (
	"fmt"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/deadline"
)

// openRequest is a request that has no response yet, or has attempts in flight.
type openRequest struct {
	deadline.Item        // when checkRequest is due
	scheduled       bool // it is among the checks
	queued          queueEntry
	job             dispatch.Job
	arrivedAt       time.Duration
	deadline        time.Duration
	objective       time.Duration // until then it should have been sent
	state           requestState
	objectiveWaived bool // the objective has passed while there was no planner, so it waits until the deadline

	// The planner that has the request, or had it when it was closed, for as long as attempts are in flight; else nil.
	session         *plannerSession
	epoch           message.Epoch // of the session in which it was offered
	sessionIndex    int           // in the session's list of requests
	offeredSequence uint64        // a reply to the heartbeat of this number shows that the planner has read the offer
	command         awaitedCommand

	knownLocally   bool            // the local policy was told of it
	revokedEpochs  []message.Epoch // sessions from which it was revoked
	transferredBy  *plannerSession // the planner that transferred it last, or whose session failed on it
	transferTarget string          // the planner that it was transferred to
	transfers      int             // transfer commands executed
	notBefore      time.Duration   // when it may be offered again after a transfer
	failures       int             // sessions that ended, or policies that panicked, perhaps because of it
}

// awaitedCommand is the wait for a planner's command for a request.
type awaitedCommand struct {
	given        bool          // the planner has given one since the wait began
	awaitedSince time.Duration // when the wait began
	dueAt        time.Duration // when the planner has been silent for too long; 0: it may be silent
}

// requestState is who has a request.
type requestState uint8

const (
	requestWaiting requestState = iota // nobody
	requestOffered                     // a planner
	requestLocal                       // the local policy
	requestClosed                      // it has its response, or its client has disconnected
)

// String returns the state's name.
func (s requestState) String() string {
	switch s {
	case requestWaiting:
		return "waiting"
	case requestOffered:
		return "offered"
	case requestLocal:
		return "local"
	case requestClosed:
		return "closed"
	default:
		return fmt.Sprintf("requestState(%d)", uint8(s))
	}
}

// requestEvent is what changes the state of a request.
type requestEvent uint8

const (
	eventOffered       requestEvent = iota // to a planner
	eventAssignedLocal                     // to the local policy
	eventUnassigned                        // from whoever had it
	eventClosed
)

// after returns the state that follows s on an event, or false where the event has no meaning.
func (s requestState) after(event requestEvent) (next requestState, valid bool) {
	switch event {
	case eventOffered:
		return requestOffered, s == requestWaiting
	case eventAssignedLocal:
		return requestLocal, s == requestWaiting
	case eventUnassigned:
		return requestWaiting, s == requestOffered || s == requestLocal
	case eventClosed:
		return requestClosed, s != requestClosed
	default:
		return s, false
	}
}

// transition changes the state for an event. It reports false, and changes nothing, where the event has no meaning.
func (r *openRequest) transition(event requestEvent) bool {
	next, valid := r.state.after(event)
	if valid {
		r.state = next
	}
	return valid
}

// isOfferedTo reports whether a planner has the request. It may be nil: nobody has it then.
func (r *openRequest) isOfferedTo(session *plannerSession) bool {
	return r != nil && r.state == requestOffered && r.session == session
}

// isRevokedFrom reports whether the request may not be offered in a planner's session.
func (r *openRequest) isRevokedFrom(session *plannerSession) bool {
	for _, epoch := range r.revokedEpochs {
		if epoch == session.epoch {
			return true
		}
	}
	return false
}
