package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// step holds the time of the current step and collects its actions in order.
type step struct {
	currentTime time.Duration
	actions     []Action
}

// begin starts a step, whose actions are appended to dst. The time never decreases: if now is earlier than the last step, the
// time of the last step is kept.
func (s *step) begin(now time.Duration, dst []Action) {
	s.currentTime = max(now, s.currentTime)
	s.actions = dst
}

// finish returns the actions of the step and retains no reference to them.
func (s *step) finish() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// now returns the time of the current step.
func (s *step) now() time.Duration { return s.currentTime }

// emit appends an action.
func (s *step) emit(action Action) { s.actions = append(s.actions, action) }

// log emits a LogLine. The text must be constant; attributes alternates keys and values.
func (s *step) log(text string, attributes ...any) {
	s.emit(LogLine{Message: text, Attributes: attributes})
}

// send sends a message to a forwarder, if it has a session.
func (s *step) send(f *forwarder, body message.Message) {
	if f.session != nil {
		s.sendInSession(f.session.id, f.epoch, body)
	}
}

// sendInSession sends a message in a session, even if the session has no accepted handshake.
func (s *step) sendInSession(id SessionID, epoch message.Epoch, body message.Message) {
	s.emit(SendToForwarder{Session: id, Envelope: message.Envelope{Epoch: epoch, Message: body}})
}

// sendToPeer sends a message to a peer, if there is a connection.
func (s *step) sendToPeer(to *peer, body message.Message) {
	if to.state != peerDisconnected {
		s.emit(SendToPeer{Peer: to.name, Envelope: message.Envelope{Epoch: to.epoch, Message: body}})
	}
}

// sendToPeers sends a message to each of the peers that is connected.
func (s *step) sendToPeers(peers []*peer, body message.Message) {
	for _, peer := range peers {
		s.sendToPeer(peer, body)
	}
}
