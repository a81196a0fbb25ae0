package planner

import (
	"time"

	"valvecove/internal/control/message"
)

const handshakeTimeout = 5 * time.Second

// sessionState is the state of a forwarder's connection. It changes by session.transition only.
type sessionState uint8

const (
	sessionAwaitingHandshake sessionState = iota // whose it is, is not known
	sessionAccepting                             // its handshake is valid; the reply with its credit follows
	sessionEstablished
	sessionClosed
)

func (s sessionState) String() string {
	switch s {
	case sessionAwaitingHandshake:
		return "awaiting handshake"
	case sessionAccepting:
		return "accepting"
	case sessionEstablished:
		return "established"
	case sessionClosed:
		return "closed"
	}
	return "unknown"
}

// session is a connection of a forwarder.
type session struct {
	id        SessionID
	state     sessionState
	openedAt  time.Duration
	forwarder *forwarder // of one that is accepting or established, else nil
}

// transition moves a session to a state, as the session of a forwarder. States without a forwarder have nil.
func (s *session) transition(to sessionState, f *forwarder) {
	if s.forwarder != nil {
		s.forwarder.session = nil
	}
	s.state = to
	s.forwarder = f
	if f != nil {
		f.session = s
	}
}

// open enters a session, or closes it where there is no place for it.
func (s *sessionLifecycle) open(id SessionID) {
	if len(s.forwarders.sessions) >= s.config.MaxSessions || !s.phase.decides() || s.step.now() < s.policy.backoffUntil {
		s.stats.ConnectionsRejected++
		s.step.emit(CloseSession{Session: id})
		return
	}
	if s.forwarders.sessions[id] == nil {
		s.forwarders.sessions[id] = &session{id: id, openedAt: s.step.now()}
	}
}

// processClosed takes in that a session has ended.
func (s *sessionLifecycle) processClosed(id SessionID) {
	session := s.forwarders.sessions[id]
	if session == nil {
		return
	}
	delete(s.forwarders.sessions, id)
	if f := session.forwarder; f != nil {
		s.logForwarder("forwarder disconnected", f)
		s.disconnect(f)
	}
	session.transition(sessionClosed, nil)
}

// close ends a session.
func (s *sessionLifecycle) close(session *session) {
	delete(s.forwarders.sessions, session.id)
	s.step.emit(CloseSession{Session: session.id})
	if session.forwarder != nil {
		s.disconnect(session.forwarder)
	}
	session.transition(sessionClosed, nil)
}

// receive takes in a message of a forwarder. Other messages than a handshake are to bear the epoch of its newest session.
func (p *Planner) receive(id SessionID, envelope message.Envelope) {
	if envelope.Message == nil {
		return
	}
	session := p.forwarders.sessions[id]
	if session == nil {
		p.stats.StrayMessages++ // the forwarder had not read yet that the session is closed
		return
	}
	if handshake, ok := envelope.Message.(*message.Handshake); ok {
		p.sessions.receiveHandshake(session, envelope.Epoch, handshake)
		return
	}
	if session.forwarder == nil || envelope.Epoch != session.forwarder.epoch {
		p.stats.StrayMessages++
		return
	}
	p.receiveInSession(session, envelope.Message)
}

func (p *Planner) receiveInSession(session *session, received message.Message) {
	f := session.forwarder
	switch received := received.(type) {
	case *message.RequestOffer:
		p.offers.handle(f, received)
	case *message.AttemptEnded:
		p.reports.attemptEnded(f, received)
	case *message.AttemptStarted:
		p.reports.attemptStarted(f, received)
	case *message.AttemptProgress:
		p.reports.attemptProgressed(f, received)
	case *message.RequestClosed:
		p.reports.requestClosed(f, received)
	case *message.HealthCheckResult:
		p.healthChecks.finish(f, received)
	case *message.Heartbeat:
		p.heartbeats.add(session.id, f.epoch, received.Sequence)
	case *message.WorkerStatus:
		p.statuses.receive(*received, statusSource{forwarder: f})
	default:
		p.stats.InvalidMessages++
	}
}

// expireHandshakes closes the sessions in which no valid handshake has come in time.
func (s *sessionLifecycle) expireHandshakes() {
	for _, id := range s.forwarders.sessionIDs() {
		session := s.forwarders.sessions[id]
		if session.state == sessionAwaitingHandshake && s.step.now()-session.openedAt >= handshakeTimeout {
			s.stats.InvalidMessages++
			s.close(session)
		}
	}
}
