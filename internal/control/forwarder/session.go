package forwarder

import (
	"fmt"
	"time"

	"valvecove/internal/control/message"
)

// plannerSession is the connection to one planner, and the session on it. When the session ends while the connection is
// kept, the next session starts on it at once, with a new epoch.
type plannerSession struct {
	planner         string        // name of the planner
	epoch           message.Epoch // of the session; 0: there is none
	state           sessionState
	overrun         bool           // a message of the planner was dropped
	credit          int            // requests that may be assigned to the planner at a time
	requests        []*openRequest // that are assigned to the planner, in no particular order
	heartbeat       heartbeat
	poisonCandidate *openRequest // a request with failures that the planner may not have read yet
	rejections      rejections
}

// sessionState is the state of a session.
type sessionState uint8

const (
	sessionNone        sessionState = iota // there is no session
	sessionHandshaking                     // the planner has not accepted it
	sessionActive                          // the planner accepts requests
	sessionDraining                        // the planner shuts down: it accepts no requests
)

// String returns the state's name.
func (s sessionState) String() string {
	switch s {
	case sessionNone:
		return "none"
	case sessionHandshaking:
		return "handshaking"
	case sessionActive:
		return "active"
	case sessionDraining:
		return "draining"
	default:
		return fmt.Sprintf("sessionState(%d)", uint8(s))
	}
}

// sessionEvent is what changes the state of a session.
type sessionEvent uint8

const (
	eventHandshakeSent sessionEvent = iota
	eventHandshakeAccepted
	eventGoodbyeReceived
	eventSessionEnded
)

// after returns the state that follows s on an event, or false where the event has no meaning.
func (s sessionState) after(event sessionEvent) (next sessionState, valid bool) {
	switch event {
	case eventHandshakeSent:
		return sessionHandshaking, s == sessionNone
	case eventHandshakeAccepted:
		return sessionActive, s == sessionHandshaking
	case eventGoodbyeReceived:
		return sessionDraining, s == sessionActive
	case eventSessionEnded:
		return sessionNone, s != sessionNone
	default:
		return s, false
	}
}

// transition changes the state for an event. It reports false, and changes nothing, where the event has no meaning.
func (s *plannerSession) transition(event sessionEvent) bool {
	next, valid := s.state.after(event)
	if valid {
		s.state = next
	}
	return valid
}

// isAccepted reports whether the planner has accepted the session, so that messages are exchanged in it.
func (s *plannerSession) isAccepted() bool {
	return s.state == sessionActive || s.state == sessionDraining
}

// expects reports whether a message of an epoch is valid in the state of the session.
func (s *plannerSession) expects(epoch message.Epoch, received message.Message) bool {
	if s.state == sessionNone || epoch != s.epoch {
		return false
	}
	_, isAccept := received.(*message.HandshakeAccept)
	return isAccept || s.isAccepted()
}

// isSuspected reports whether the planner's reply to a heartbeat is overdue.
func (s *plannerSession) isSuspected() bool { return s.heartbeat.state == heartbeatOverdue }

// acceptsRequests reports whether the planner accepts requests when it has credit.
func (s *plannerSession) acceptsRequests() bool { return s.state == sessionActive }

// hasCredit reports whether the planner accepts a request now.
func (s *plannerSession) hasCredit() bool { return s.acceptsRequests() && len(s.requests) < s.credit }

// markOverrun records that a message of the planner was dropped: the session is to be reset.
func (s *plannerSession) markOverrun() { s.overrun = true }

// setCredit sets how many requests may be assigned to the planner. Requests beyond a smaller credit stay assigned.
func (s *plannerSession) setCredit(credit int) { s.credit = max(0, credit) }

// canBeOffered reports whether a request can be offered in the session. A request that may have ended a session is offered
// only while no other such request is unconfirmed here, so that the cause of a further failure is known.
func (s *plannerSession) canBeOffered(request *openRequest) bool {
	return s.hasCredit() && (request.failures == 0 || s.poisonCandidate == nil) && !request.isRevokedFrom(s)
}

// addRequest enters a request that is offered in the session.
func (s *plannerSession) addRequest(request *openRequest) {
	request.session = s
	request.epoch = s.epoch
	request.sessionIndex = len(s.requests)
	request.offeredSequence = s.heartbeat.sequence + 1
	request.transferredBy = nil
	request.transferTarget = ""
	s.requests = append(s.requests, request)
	s.heartbeat.offersSent = true
	if request.failures > 0 {
		s.poisonCandidate = request
	}
}

// removeRequest removes a request of the session, which releases its credit.
func (s *plannerSession) removeRequest(request *openRequest) {
	last := len(s.requests) - 1
	moved := s.requests[last]
	s.requests[request.sessionIndex] = moved
	moved.sessionIndex = request.sessionIndex
	s.requests[last] = nil
	s.requests = s.requests[:last]
	if s.poisonCandidate == request {
		s.poisonCandidate = nil
	}
	request.command.dueAt = 0
}

// confirmOffers processes that the planner has read the offers before the last heartbeat that it has replied to.
func (s *plannerSession) confirmOffers() {
	if s.poisonCandidate != nil && s.poisonCandidate.offeredSequence <= s.heartbeat.acknowledged {
		s.poisonCandidate = nil
	}
}

// start starts a session of an epoch at an instant.
func (s *plannerSession) start(now time.Duration, epoch message.Epoch) {
	s.transition(eventHandshakeSent)
	s.epoch = epoch
	s.overrun = false
	s.heartbeat.reset(now)
}

// end ends the session. All its requests must have been removed.
func (s *plannerSession) end() {
	s.transition(eventSessionEnded)
	s.epoch = 0
	s.poisonCandidate = nil
}
