package planner

import "time"

// session is a forwarder's connection and the state of its handshake.
type session struct {
	id        SessionID
	state     sessionState
	openedAt  time.Duration
	forwarder *forwarder // nil unless accepting or established
}

// transition moves a session to a state. f is the forwarder in the states sessionAccepting and sessionEstablished, else nil.
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

// sessionState is the state of a forwarder's connection. It changes by session.transition only.
type sessionState uint8

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

const (
	sessionAwaitingHandshake sessionState = iota // the forwarder is not known yet
	sessionAccepting                             // the handshake is valid; the reply is not sent yet
	sessionEstablished
	sessionClosed
)
