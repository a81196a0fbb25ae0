package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// step is the instant of the present step and its resulting actions, in order.
type step struct {
	instant time.Duration
	actions []Action
}

// begin starts a step, whose actions are appended to dst. The clock never runs backwards: an earlier instant than that of
// the last step is replaced by the latter.
func (s *step) begin(now time.Duration, dst []Action) {
	s.instant = max(now, s.instant)
	s.actions = dst
}

// finish returns the actions of the step, and keeps no reference to them.
func (s *step) finish() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// now returns the instant of the present step.
func (s *step) now() time.Duration { return s.instant }

// emit appends an action.
func (s *step) emit(action Action) { s.actions = append(s.actions, action) }

// log writes a line for the operators: a constant message, and attributes as alternating keys and values.
func (s *step) log(text string, attributes ...any) {
	s.emit(LogLine{Message: text, Attributes: attributes})
}

// send sends a message to a forwarder, if it has a session.
func (s *step) send(f *forwarder, body message.Message) {
	if f.session != nil {
		s.sendInSession(f.session.id, f.epoch, body)
	}
}

// sendInSession sends a message in a session, whether or not its handshake was accepted.
func (s *step) sendInSession(id SessionID, epoch message.Epoch, body message.Message) {
	s.emit(SendToForwarder{Session: id, Envelope: message.Envelope{Epoch: epoch, Message: body}})
}

// sendToPeer sends a message to a peer, if there is a connection.
func (s *step) sendToPeer(to *peer, body message.Message) {
	if to.state != peerDisconnected {
		s.emit(SendToPeer{Peer: to.name, Envelope: message.Envelope{Epoch: to.epoch, Message: body}})
	}
}

// sendToPeers sends a message to each of the peers to which there is a connection.
func (s *step) sendToPeers(peers []*peer, body message.Message) {
	for _, peer := range peers {
		s.sendToPeer(peer, body)
	}
}
