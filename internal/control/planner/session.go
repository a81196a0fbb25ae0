package planner

import "time"

// session is a connection of a forwarder.
type session struct {
	id        SessionID
	state     sessionState
	openedAt  time.Duration
	forwarder *forwarder // set while accepting or established, otherwise nil
}

// transition moves a session to a state. f is its forwarder, nil in states without one.
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
	sessionAwaitingHandshake sessionState = iota // its forwarder is unknown
	sessionAccepting                             // its handshake is valid; the reply with its credit follows
	sessionEstablished
	sessionClosed
)
