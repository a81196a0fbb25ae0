package forwarder

import (
	"fmt"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/deadline"
)

const (
	// A request that is transferred more than maxImmediateTransfers times waits before it is offered again, because its planners
	// disagree on its assignment. The wait starts at transferBackoff and doubles with each further transfer, at most
	// maxTransferDoublings times.
	transferBackoff       = 20 * time.Millisecond
	maxImmediateTransfers = 2
	maxTransferDoublings  = 6
)

// openRequest is a request that has no response yet or still has attempts in flight.
type openRequest struct {
	deadline.Item        // At is when its next check in checkSchedule is due
	scheduled       bool // whether it is in checkSchedule
	queued          queueEntry
	job             dispatch.Job
	arrivedAt       time.Duration
	deadline        time.Duration
	objective       time.Duration // the time by which it should have been sent
	state           requestState
	objectiveWaived bool // the objective was missed while no planner was available, so it may wait until its deadline

	// The session with the planner that the request is assigned to. It is kept after the request is closed, while attempts are
	// in flight. Nil otherwise.
	session         *plannerSession
	epoch           message.Epoch // of the session in which it was offered
	sessionIndex    int           // in the session's list of requests
	offeredSequence uint64        // a reply to the heartbeat with this sequence number confirms that the offer was read
	command         awaitedCommand

	knownLocally   bool            // the local policy knows the request and is notified of its events
	revokedEpochs  []message.Epoch // sessions from which it was revoked
	transferredBy  *plannerSession // the planner that transferred it last, or whose session failed on it
	transferTarget string          // the planner that it was transferred to
	transfers      int             // executed transfer commands
	notBefore      time.Duration   // earliest time to offer it again after a transfer
	sentInStep     uint64          // number of the last step in which an attempt was sent, or 0
	failures       int             // sessions that ended and policies that panicked, possibly because of this request
}

// awaitedCommand is the wait for a planner's command for a request.
type awaitedCommand struct {
	given        bool          // whether the planner has given a command since the wait started
	awaitedSince time.Duration // when the wait started
	dueAt        time.Duration // when the wait times out; 0 if it does not
}

// requestState states what a request is assigned to, or that it is closed.
type requestState uint8

const (
	requestWaiting requestState = iota // unassigned
	requestOffered                     // assigned to a planner
	requestLocal                       // assigned to the local policy
	requestClosed                      // the response is given, or the client has disconnected
)

// String returns the state's name.
func (r requestState) String() string {
	switch r {
	case requestWaiting:
		return "waiting"
	case requestOffered:
		return "offered"
	case requestLocal:
		return "local"
	case requestClosed:
		return "closed"
	default:
		return fmt.Sprintf("requestState(%d)", uint8(r))
	}
}

// requestEvent is an event that may change the state of a request.
type requestEvent uint8

const (
	eventOffered       requestEvent = iota // to a planner
	eventAssignedLocal                     // to the local policy
	eventUnassigned                        // from a planner or the local policy
	eventClosed
)

// after returns the state after an event, or false if the event is not valid in this state.
func (r requestState) after(event requestEvent) (next requestState, valid bool) {
	switch event {
	case eventOffered:
		return requestOffered, r == requestWaiting
	case eventAssignedLocal:
		return requestLocal, r == requestWaiting
	case eventUnassigned:
		return requestWaiting, r == requestOffered || r == requestLocal
	case eventClosed:
		return requestClosed, r != requestClosed
	default:
		return r, false
	}
}

// transition applies an event to the state. It returns false and changes nothing if the event is not valid in this state.
func (o *openRequest) transition(event requestEvent) bool {
	next, valid := o.state.after(event)
	if valid {
		o.state = next
	}
	return valid
}

// isOfferedTo reports whether the request is assigned to the planner of a session. A nil request is not.
func (o *openRequest) isOfferedTo(session *plannerSession) bool {
	return o != nil && o.state == requestOffered && o.session == session
}

// isRevokedFrom reports whether the request was revoked from a session, so that it may not be offered in it again.
func (o *openRequest) isRevokedFrom(session *plannerSession) bool {
	for _, epoch := range o.revokedEpochs {
		if epoch == session.epoch {
			return true
		}
	}
	return false
}

// recordCommand records that the request's planner has given a command for it.
func (o *openRequest) recordCommand() {
	o.command.given = true
	o.command.dueAt = 0
}

// recordTransfer records that a planner has transferred the request to another one.
func (o *openRequest) recordTransfer(now time.Duration, sender *plannerSession, target string) {
	o.transfers++
	o.transferredBy = sender
	o.transferTarget = target
	if doublings := o.transfers - maxImmediateTransfers - 1; doublings >= 0 {
		o.notBefore = now + transferBackoff<<min(doublings, maxTransferDoublings)
	}
}

// nextObjectiveCheck returns when a waiting request is next checked for its objective: first when the objective is at risk, then
// when it is missed.
func (o *openRequest) nextObjectiveCheck(now time.Duration) time.Duration {
	if atRisk := o.objectiveAtRisk(0); now < atRisk {
		return atRisk
	}
	return min(o.deadline, o.objective)
}

// objectiveAtRisk returns when the objective of a request that is not sent is at risk: halfway between the request's arrival and
// the objective, but not before now.
func (o *openRequest) objectiveAtRisk(now time.Duration) time.Duration {
	return max(now, o.objective-(o.objective-o.arrivedAt)/2)
}

// mayHaveEndedSession reports whether the request may have caused the end of its planner's session. That requires that the
// planner has not confirmed that it read the offer, and that at least half the planner's shortest reply time has passed since
// the offer, as the forwarder can't see an end that the offer caused any earlier.
func (o *openRequest) mayHaveEndedSession(now time.Duration) bool {
	heartbeat := &o.session.heartbeat
	return o.offeredSequence > heartbeat.acknowledged && !o.command.given &&
		now-o.command.awaitedSince >= heartbeat.minLatency/2
}
