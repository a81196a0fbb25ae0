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

// sessionOpened enters a session, or closes it where there is no place for it.
func (p *Planner) sessionOpened(id SessionID) {
	if len(p.forwarders.sessions) >= p.config.MaxSessions || !p.decides() || p.now < p.policy.backoffUntil {
		p.stats.ConnectionsRejected++
		p.emit(CloseSession{Session: id})
		return
	}
	if p.forwarders.sessions[id] == nil {
		p.forwarders.sessions[id] = &session{id: id, openedAt: p.now}
	}
}

// sessionClosed takes in that a session has ended.
func (p *Planner) sessionClosed(id SessionID) {
	session := p.forwarders.sessions[id]
	if session == nil {
		return
	}
	delete(p.forwarders.sessions, id)
	if f := session.forwarder; f != nil {
		p.logForwarder("forwarder disconnected", f)
		p.disconnect(f)
	}
	session.transition(sessionClosed, nil)
}

// closeSession ends a session.
func (p *Planner) closeSession(s *session) {
	delete(p.forwarders.sessions, s.id)
	p.emit(CloseSession{Session: s.id})
	if s.forwarder != nil {
		p.disconnect(s.forwarder)
	}
	s.transition(sessionClosed, nil)
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
		p.handshakeReceived(session, envelope.Epoch, handshake)
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
		p.requestOffered(f, received)
	case *message.AttemptEnded:
		p.attemptEnded(f, received)
	case *message.AttemptStarted:
		p.attemptStarted(f, received)
	case *message.AttemptProgress:
		p.attemptProgressed(f, received)
	case *message.RequestClosed:
		p.requestClosed(f, received)
	case *message.HealthCheckResult:
		p.healthChecked(f, received)
	case *message.Heartbeat:
		p.heartbeats = append(p.heartbeats, receivedHeartbeat{session.id, f.epoch, received.Sequence})
	case *message.WorkerStatus:
		p.statusReceived(*received, statusSource{forwarder: f})
	default:
		p.stats.InvalidMessages++
	}
}

// expireHandshakes closes the sessions in which no valid handshake has come in time.
func (p *Planner) expireHandshakes() {
	for _, id := range p.forwarders.sessionIDs() {
		session := p.forwarders.sessions[id]
		if session.state == sessionAwaitingHandshake && p.now-session.openedAt >= handshakeTimeout {
			p.stats.InvalidMessages++
			p.closeSession(session)
		}
	}
}
