package forwarder

import (
	"fmt"

	"valvecove/internal/control/message"
)

// sessionValidator is notified when the commands of a session become valid or invalid.
type sessionValidator interface {
	OpenSession(epoch message.Epoch)
	CloseSession(epoch message.Epoch)
}

// initialStatusSender sends the status of unavailable workers at the start of a session.
type initialStatusSender interface {
	sendUnavailable(session *plannerSession)
}

// sessionLifecycle starts and ends the sessions with planners, and recovers the requests of sessions that have ended.
type sessionLifecycle struct {
	step        *step
	stats       *Stats
	validator   sessionValidator
	planners    *plannerSet
	checks      *checkSchedule
	assignments *assignments
	responder   *responder
	heartbeats  *heartbeats
	workers     initialStatusSender

	handshake message.Handshake // sent at the start of each session
	lastEpoch message.Epoch     // of the newest session
}

// connected handles a new connection to a planner.
func (s *sessionLifecycle) connected(planner string) {
	if session := s.planners.add(planner); session != nil {
		s.start(session)
	}
}

// disconnected handles the loss of the connection to a planner.
func (s *sessionLifecycle) disconnected(planner string) {
	if session := s.planners.find(planner); session != nil {
		s.lose(session)
		s.planners.remove(session)
	}
}

// start starts a session on a connection. The previous session, if any, ends.
func (s *sessionLifecycle) start(session *plannerSession) {
	s.lose(session)
	s.lastEpoch++
	session.start(s.step.now(), s.lastEpoch)
	handshake := s.handshake
	s.step.post(session, &handshake)
}

// accept handles a planner's acceptance of a session.
func (s *sessionLifecycle) accept(session *plannerSession, accept *message.HandshakeAccept) {
	if session.state != sessionHandshaking {
		return
	}
	if majorVersion(accept.Version) != majorVersion(s.handshake.Version) {
		s.step.log("planner of another protocol version is not used", "planner", session.planner,
			"planner_version", versionString(accept.Version), "own_version", versionString(s.handshake.Version))
		return
	}
	session.transition(eventHandshakeAccepted)
	session.setCredit(accept.Credit)
	s.validator.OpenSession(session.epoch)
	s.planners.sessionAccepted(s.step.now(), session.planner)
	s.workers.sendUnavailable(session)
	s.step.log("planner accepts requests", "planner", session.planner, "session", session.epoch, "credit", session.credit)
}

func majorVersion(version int) int { return version >> 8 }

func versionString(version int) string {
	return fmt.Sprintf("%d.%d", majorVersion(version), version&0xff)
}

// check resets sessions that have lost a message or whose planner does not reply, and suspects planners whose reply is
// overdue.
func (s *sessionLifecycle) check() {
	for _, session := range s.planners.all() {
		if session.overrun {
			s.reset(session)
		}
		switch s.heartbeats.checkReply(session) {
		case replyInTime:
		case replyOverdue:
			s.checks.expediteCommands(session)
		case replyUnresponsive:
			s.reset(session)
		}
	}
}

// drain handles the shutdown of a planner. Its requests are enqueued for other planners; attempts that it has commanded are not
// cancelled.
func (s *sessionLifecycle) drain(session *plannerSession) {
	if !session.transition(eventGoodbyeReceived) {
		return
	}
	s.planners.sessionLost(s.step.now(), session.planner, true)
	s.step.log("planner shuts down", "planner", session.planner, "requests", len(session.requests))
	for len(session.requests) > 0 {
		request := session.requests[len(session.requests)-1]
		s.assignments.unassign(request)
		s.assignments.enqueue(request)
	}
}

// reset ends the session of a planner that does not reply or whose messages were lost, and keeps the connection. A new session
// starts at once. Until the planner accepts it, all other messages from the planner are ignored.
func (s *sessionLifecycle) reset(session *plannerSession) {
	s.stats.Unresponsive++
	s.end(session, false)
	s.start(session)
}

// lose ends a session whose connection is lost or replaced. Unless the planner was shutting down, requests whose offers it had
// not confirmed may be the cause.
func (s *sessionLifecycle) lose(session *plannerSession) {
	s.end(session, session.state != sessionDraining)
}

// end ends a session and enqueues all its requests, which are offered to other planners in the same step.
func (s *sessionLifecycle) end(session *plannerSession, unexpected bool) {
	before := session.state
	if before == sessionNone {
		return
	}
	s.validator.CloseSession(session.epoch)
	requests := len(session.requests)
	withAttempts := s.countWithAttempts(session.requests)
	for len(session.requests) > 0 {
		s.recoverRequest(session.requests[len(session.requests)-1], session, unexpected)
	}
	session.end()
	s.planners.sessionLost(s.step.now(), session.planner, before == sessionActive)
	if before != sessionHandshaking {
		s.step.log("planner session lost", "planner", session.planner, "requests", requests, "with_attempts", withAttempts)
	}
}

// recoverRequest enqueues a request of a session that ends. If the request may have caused an unexpected end, it counts as a
// failure of the request.
func (s *sessionLifecycle) recoverRequest(request *openRequest, session *plannerSession, unexpected bool) {
	mayBeCause := unexpected && request.mayHaveEndedSession(s.step.now())
	s.assignments.unassign(request)
	if mayBeCause {
		s.responder.recordFailure(request, session)
	} else {
		s.assignments.enqueue(request)
	}
}

// countWithAttempts counts the requests that have attempts in flight.
func (s *sessionLifecycle) countWithAttempts(requests []*openRequest) (count int) {
	for _, request := range requests {
		if s.checks.hasAttempts(request) {
			count++
		}
	}
	return count
}
