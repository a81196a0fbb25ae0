package forwarder

import (
	"fmt"
	"time"

	"valvecove/internal/control/message"
)

// plannerSession is the connection to one planner and the current session on it. If a session ends while the connection is
// kept, the next session starts at once, with a new epoch.
type plannerSession struct {
	planner         string        // name of the planner
	epoch           message.Epoch // of the session; 0 if there is none
	state           sessionState
	overrun         bool           // a message from the planner was dropped
	credit          int            // maximum number of requests assigned to the planner at a time
	requests        []*openRequest // requests assigned to the planner, in no particular order
	heartbeat       heartbeat
	poisonCandidate *openRequest // a request with failures that the planner may not have read yet
	rejections      rejections
}

// sessionState is the state of a session.
type sessionState uint8

const (
	sessionNone        sessionState = iota // there is no session
	sessionHandshaking                     // the planner has not accepted the session yet
	sessionActive                          // the planner accepts requests
	sessionDraining                        // the planner is shutting down and accepts no requests
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

// sessionEvent is an event that may change the state of a session.
type sessionEvent uint8

const (
	eventHandshakeSent sessionEvent = iota
	eventHandshakeAccepted
	eventGoodbyeReceived
	eventSessionEnded
)

// after returns the state after an event, or false if the event is not valid in this state.
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

// transition applies an event to the state. It returns false and changes nothing if the event is not valid in this state.
func (p *plannerSession) transition(event sessionEvent) bool {
	next, valid := p.state.after(event)
	if valid {
		p.state = next
	}
	return valid
}

// isAccepted reports whether the planner has accepted the session, so that messages are exchanged in it.
func (p *plannerSession) isAccepted() bool {
	return p.state == sessionActive || p.state == sessionDraining
}

// expects reports whether a message with an epoch is valid in the current state of the session.
func (p *plannerSession) expects(epoch message.Epoch, received message.Message) bool {
	if p.state == sessionNone || epoch != p.epoch {
		return false
	}
	_, isAccept := received.(*message.HandshakeAccept)
	return isAccept || p.isAccepted()
}

// isSuspected reports whether the planner's reply to a heartbeat is overdue.
func (p *plannerSession) isSuspected() bool { return p.heartbeat.state == heartbeatOverdue }

// acceptsRequests reports whether the planner accepts requests, even if it has no credit now.
func (p *plannerSession) acceptsRequests() bool { return p.state == sessionActive }

// hasCredit reports whether the planner accepts requests and has credit for one more.
func (p *plannerSession) hasCredit() bool { return p.acceptsRequests() && len(p.requests) < p.credit }

// markOverrun records that a message from the planner was dropped, so that the session must be reset.
func (p *plannerSession) markOverrun() { p.overrun = true }

// setCredit sets how many requests may be assigned to the planner. Requests beyond a smaller credit stay assigned.
func (p *plannerSession) setCredit(credit int) { p.credit = max(0, credit) }

// canBeOffered reports whether a request can be offered in the session. A request that may have ended a session or a policy is
// offered only while no other such request is unconfirmed in this session, so that a further failure can be attributed to it.
func (p *plannerSession) canBeOffered(request *openRequest) bool {
	return p.hasCredit() && (request.failures == 0 || p.poisonCandidate == nil) && !request.isRevokedFrom(p)
}

// addRequest records that a request is offered in the session.
func (p *plannerSession) addRequest(request *openRequest) {
	request.session = p
	request.epoch = p.epoch
	request.sessionIndex = len(p.requests)
	request.offeredSequence = p.heartbeat.sequence + 1
	request.transferredBy = nil
	request.transferTarget = ""
	p.requests = append(p.requests, request)
	p.heartbeat.offersSent = true
	if request.failures > 0 {
		p.poisonCandidate = request
	}
}

// removeRequest removes a request from the session, which frees the credit that it used.
func (p *plannerSession) removeRequest(request *openRequest) {
	last := len(p.requests) - 1
	moved := p.requests[last]
	p.requests[request.sessionIndex] = moved
	moved.sessionIndex = request.sessionIndex
	p.requests[last] = nil
	p.requests = p.requests[:last]
	if p.poisonCandidate == request {
		p.poisonCandidate = nil
	}
	request.command.dueAt = 0
}

// confirmOffers clears the poison candidate if the planner's last heartbeat reply confirms that it has read the offer.
func (p *plannerSession) confirmOffers() {
	if p.poisonCandidate != nil && p.poisonCandidate.offeredSequence <= p.heartbeat.acknowledged {
		p.poisonCandidate = nil
	}
}

// start starts a session with a new epoch.
func (p *plannerSession) start(now time.Duration, epoch message.Epoch) {
	p.transition(eventHandshakeSent)
	p.epoch = epoch
	p.overrun = false
	p.heartbeat.reset(now)
}

// end ends the session. All its requests must have been removed.
func (p *plannerSession) end() {
	p.transition(eventSessionEnded)
	p.epoch = 0
	p.poisonCandidate = nil
}
