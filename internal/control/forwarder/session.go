package forwarder

import (
	"fmt"

	"valvecove/internal/control/message"
)

// plannerSession is the connection to one planner, and the session on it. When the session ends while the connection goes
// on, the next session begins on it at once, with a new epoch.
type plannerSession struct {
	planner         string        // its name
	epoch           message.Epoch // of the session; 0: there is none
	state           sessionState
	overrun         bool           // a message of the planner was dropped
	credit          int            // requests that the planner may have
	requests        []*openRequest // that are assigned to it
	heartbeat       heartbeat
	poisonCandidate *openRequest // one that it has perhaps not read yet
	rejections      rejections
}

// sessionState is how far a session has come.
type sessionState uint8

const (
	sessionNone        sessionState = iota // there is no session
	sessionHandshaking                     // the planner has not accepted it
	sessionActive                          // the planner takes requests
	sessionDraining                        // the planner has said goodbye: it takes no requests
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

// isAccepted reports whether messages pass in the session.
func (s *plannerSession) isAccepted() bool {
	return s.state == sessionActive || s.state == sessionDraining
}

// takesRequests reports whether the planner takes requests, if it has credit.
func (s *plannerSession) takesRequests() bool { return s.state == sessionActive }

// hasCredit reports whether the planner takes a request now.
func (s *plannerSession) hasCredit() bool { return s.takesRequests() && len(s.requests) < s.credit }

// startSession begins a session on a connection. A session that there was ends.
func (f *Forwarder) startSession(session *plannerSession) {
	f.loseSession(session)
	session.transition(eventHandshakeSent)
	f.lastEpoch++
	session.epoch = f.lastEpoch
	session.overrun = false
	session.heartbeat.reset(f.now)
	f.post(session, &message.Handshake{Name: f.config.Name, Incarnation: f.config.Incarnation, Version: f.config.Version})
}

// acceptSession processes a planner's acceptance of a session.
func (f *Forwarder) acceptSession(session *plannerSession, accept *message.HandshakeAccept) {
	if session.state != sessionHandshaking {
		return
	}
	if majorVersion(accept.Version) != majorVersion(f.config.Version) {
		f.log("planner of another protocol version is not used", "planner", session.planner,
			"planner_version", versionString(accept.Version), "own_version", versionString(f.config.Version))
		return
	}
	session.transition(eventHandshakeAccepted)
	session.credit = max(0, accept.Credit)
	f.validator.OpenSession(session.epoch)
	f.hadPlanner = true
	f.orderStale = true
	f.selector.SessionChanged(f.now, session.planner, true)
	f.sendUnavailableWorkers(session)
	f.log("planner accepts requests", "planner", session.planner, "session", session.epoch, "credit", session.credit)
}

func majorVersion(version int) int { return version >> 8 }

func versionString(version int) string {
	return fmt.Sprintf("%d.%d", majorVersion(version), version&0xff)
}

// loseSession ends a session. Requests that the planner had not read when it ended may be the cause of the end, unless the
// planner had said goodbye.
func (f *Forwarder) loseSession(session *plannerSession) {
	f.endSession(session, session.state != sessionDraining)
}

// resetSession gives up the session of a planner that does not reply, or whose messages were lost, though the connection
// goes on. A new session begins at once: the planner accepts it when it has read of it, and all that it sends before is
// void.
func (f *Forwarder) resetSession(session *plannerSession) {
	f.stats.Unresponsive++
	f.endSession(session, false)
	f.startSession(session)
}

// endSession ends a session. All its requests are to be offered elsewhere in the same step.
func (f *Forwarder) endSession(session *plannerSession, unexpected bool) {
	before := session.state
	if before == sessionNone {
		return
	}
	f.validator.CloseSession(session.epoch)
	requests, withAttempts := len(session.requests), f.countWithAttempts(session.requests)
	for len(session.requests) > 0 {
		request := session.requests[len(session.requests)-1]
		mayBeCause := unexpected && f.mayHaveEndedSession(request)
		f.unassign(request)
		if mayBeCause {
			f.recordFailure(request, session)
		} else {
			f.enqueue(request)
		}
	}
	session.transition(eventSessionEnded)
	session.epoch = 0
	session.poisonCandidate = nil
	f.orderStale = true
	if before == sessionActive {
		f.selector.SessionChanged(f.now, session.planner, false)
	}
	if before != sessionHandshaking {
		f.log("planner session lost", "planner", session.planner, "requests", requests, "with_attempts", withAttempts)
	}
}

// countWithAttempts counts the requests that have attempts in flight.
func (f *Forwarder) countWithAttempts(requests []*openRequest) (count int) {
	for _, request := range requests {
		if f.validator.InFlight(request.job.ID) > 0 {
			count++
		}
	}
	return count
}

// mayHaveEndedSession reports whether a request may be why its planner's session has ended: the planner has not shown that
// it survived reading the offer, and has had the time to read it. What came of reading can't be here sooner than a reply.
func (f *Forwarder) mayHaveEndedSession(request *openRequest) bool {
	heartbeat := &request.session.heartbeat
	return request.offeredSequence > heartbeat.acknowledged && !request.command.given &&
		f.now-request.command.awaitedSince >= heartbeat.minLatency/2
}

// drainSession processes a planner's goodbye. It decides on nothing any more; what it has commanded stands.
func (f *Forwarder) drainSession(session *plannerSession) {
	if !session.transition(eventGoodbyeReceived) {
		return
	}
	f.orderStale = true
	f.selector.SessionChanged(f.now, session.planner, false)
	f.log("planner shuts down", "planner", session.planner, "requests", len(session.requests))
	for len(session.requests) > 0 {
		request := session.requests[len(session.requests)-1]
		f.unassign(request)
		f.enqueue(request)
	}
}

// DrainingPlanners returns the names of the planners that shut down. They have no request of this forwarder; the
// connections to them are to be closed.
func (f *Forwarder) DrainingPlanners() (names []string) {
	for _, session := range f.sessions {
		if session.state == sessionDraining {
			names = append(names, session.planner)
		}
	}
	return names
}

// checkSessions gives up sessions that can't go on, and suspects planners that do not reply.
func (f *Forwarder) checkSessions() {
	for _, session := range f.sessions {
		if session.overrun {
			f.resetSession(session)
		}
		heartbeat := &session.heartbeat
		if !session.isAccepted() || heartbeat.state == heartbeatIdle {
			continue
		}
		switch waited := f.now - heartbeat.awaitedSince; {
		case waited >= f.unresponsiveTimeout(heartbeat):
			f.resetSession(session)
		case waited >= f.suspicionTimeout(heartbeat) && heartbeat.transition(eventReplyOverdue):
			f.expediteCommands(session)
		}
	}
}

// expediteCommands shortens the wait for commands of a planner that has come under suspicion.
func (f *Forwarder) expediteCommands(session *plannerSession) {
	for _, request := range session.requests {
		if !request.command.given && f.validator.InFlight(request.job.ID) == 0 {
			request.command.dueAt = f.objectiveAtRisk(request)
			f.scheduleCheck(request)
		}
	}
}
