package forwarder

import (
	"fmt"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/deadline"
)

const (
	// A request that is transferred more than maxImmediateTransfers times waits before it is offered again, for
	// transferBackoff at first and twice as long each further time: its planners do not agree on its assignment.
	transferBackoff       = 20 * time.Millisecond
	maxImmediateTransfers = 2
	maxTransferDoublings  = 6
)

// openRequest is a request that has no response yet, or has attempts in flight.
type openRequest struct {
	deadline.Item        // when the next check of checkSchedule is due
	scheduled       bool // checkSchedule has a check of it
	queued          queueEntry
	job             dispatch.Job
	arrivedAt       time.Duration
	deadline        time.Duration
	objective       time.Duration // the instant by which it should have been sent
	state           requestState
	objectiveWaived bool // the objective was missed while there was no planner, so it waits until the deadline

	// The planner that has the request, or had it when it was closed, for as long as attempts are in flight; else nil.
	session         *plannerSession
	epoch           message.Epoch // of the session in which it was offered
	sessionIndex    int           // in the session's list of requests
	offeredSequence uint64        // a reply to the heartbeat of this number shows that the planner has read the offer
	command         awaitedCommand

	knownLocally   bool            // the local policy was notified of it
	revokedEpochs  []message.Epoch // sessions from which it was revoked
	transferredBy  *plannerSession // the planner that transferred it last, or whose session failed on it
	transferTarget string          // the planner that it was transferred to
	transfers      int             // transfer commands executed
	notBefore      time.Duration   // when it may be offered again after a transfer
	sentInStep     uint64          // number of the last step in which an attempt was sent; 0: none was
	failures       int             // sessions that ended, or policies that panicked, perhaps because of it
}

// awaitedCommand is the wait for a planner's command for a request.
type awaitedCommand struct {
	given        bool          // the planner has given one since the start of the wait
	awaitedSince time.Duration // when the wait was started
	dueAt        time.Duration // when the wait times out; 0: never
}

// requestState is to whom a request is assigned.
type requestState uint8

const (
	requestWaiting requestState = iota // nobody
	requestOffered                     // a planner
	requestLocal                       // the local policy
	requestClosed                      // it has its response, or its client has disconnected
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

// requestEvent is what changes the state of a request.
type requestEvent uint8

const (
	eventOffered       requestEvent = iota // to a planner
	eventAssignedLocal                     // to the local policy
	eventUnassigned                        // from whoever had it
	eventClosed
)

// after returns the state after an event, or false if the event has no meaning in this state.
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

// transition changes the state for an event. It reports false, and changes nothing, where the event has no meaning.
func (o *openRequest) transition(event requestEvent) bool {
	next, valid := o.state.after(event)
	if valid {
		o.state = next
	}
	return valid
}

// isOfferedTo reports whether the request is assigned to a planner. A nil request is assigned to nobody.
func (o *openRequest) isOfferedTo(session *plannerSession) bool {
	return o != nil && o.state == requestOffered && o.session == session
}

// isRevokedFrom reports whether the request may not be offered in a planner's session.
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

// nextObjectiveCheck returns when a waiting request is next checked for its objective: when it starts to risk it, and when it
// misses it.
func (o *openRequest) nextObjectiveCheck(now time.Duration) time.Duration {
	if atRisk := o.objectiveAtRisk(0); now < atRisk {
		return atRisk
	}
	return min(o.deadline, o.objective)
}

// objectiveAtRisk returns when the request, if it is not sent, starts to risk its objective: halfway to it.
func (o *openRequest) objectiveAtRisk(now time.Duration) time.Duration {
	return max(now, o.objective-(o.objective-o.arrivedAt)/2)
}

// mayHaveEndedSession reports whether the request may be the cause of the end of its planner's session: the planner has not
// confirmed that it read the offer, and has had half its shortest reply time to read it, which is the earliest that an end
// caused by the offer can be seen.
func (o *openRequest) mayHaveEndedSession(now time.Duration) bool {
	heartbeat := &o.session.heartbeat
	return o.offeredSequence > heartbeat.acknowledged && !o.command.given &&
		now-o.command.awaitedSince >= heartbeat.minLatency/2
}
