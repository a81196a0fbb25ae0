package hotrestart

import (
	"errors"
	"fmt"
)

// PredecessorState is the state of a predecessor in the protocol.
type PredecessorState int

// States of a predecessor.
const (
	PredecessorAlone        PredecessorState = iota // no successor is connected
	PredecessorHandshaking                          // a successor is connected, but has not sent its handshake yet
	PredecessorPaired                               // a successor is in standby
	PredecessorTransferring                         // the state is being sent
	PredecessorRelinquished                         // the successor owns everything, and is connected
	PredecessorReplaced                             // the successor owns everything, and its connection has ended
)

// String returns the name of the state, for logs and errors.
func (p PredecessorState) String() string {
	switch p {
	case PredecessorAlone:
		return "alone"
	case PredecessorHandshaking:
		return "handshaking"
	case PredecessorPaired:
		return "paired"
	case PredecessorTransferring:
		return "transferring"
	case PredecessorRelinquished:
		return "relinquished"
	case PredecessorReplaced:
		return "replaced"
	default:
		return fmt.Sprintf("predecessor state %d", int(p))
	}
}

// Reasons for rejecting a successor. Their texts are sent to it.
var (
	ErrOtherUser        = errors.New("another user's process")
	ErrSuccessorPresent = errors.New("another process is to be the successor")
	ErrReplaced         = errors.New("this process has a successor")
)

// Predecessor is the state machine of the serving process. The zero value is in PredecessorAlone. At most one successor is
// connected at a time.
type Predecessor struct {
	state PredecessorState
}

// State returns the current state.
func (p *Predecessor) State() PredecessorState { return p.state }

// HasRelinquished reports whether a successor owns the state of this process.
func (p *Predecessor) HasRelinquished() bool {
	return p.state == PredecessorRelinquished || p.state == PredecessorReplaced
}

// HandleConnect handles a new connection. sameUser reports whether the peer runs as the same user as this process. An error is
// the reason for rejecting the connection; the state is unchanged then.
func (p *Predecessor) HandleConnect(sameUser bool) error {
	if !sameUser {
		return ErrOtherUser
	}
	if _, ok := p.transition(predecessorConnected); ok {
		return nil
	}
	if p.state == PredecessorReplaced {
		return ErrReplaced
	}
	return ErrSuccessorPresent
}

// HandleMessage handles a message of the successor, and returns what the caller must do. After an error the caller must close the
// connection and call HandleDisconnect.
func (p *Predecessor) HandleMessage(message Message) (Action, error) {
	handshake, ok := message.(Handshake)
	if ok && p.state == PredecessorHandshaking && handshake.Version != ProtocolVersion {
		return ActionReject, &VersionError{handshake.Version}
	}
	action, ok := p.transition(predecessorEvent(message.Kind()))
	if !ok {
		return ActionNone, &UnexpectedMessageError{message.Kind(), p.state}
	}
	return action, nil
}

// BeginTransfer is called before the state is sent. It returns false and changes nothing if no successor is in standby.
func (p *Predecessor) BeginTransfer() bool {
	_, ok := p.transition(predecessorTransferBegun)
	return ok
}

// HandleDisconnect handles the end of the connection.
func (p *Predecessor) HandleDisconnect() { p.transition(predecessorDisconnected) }

// predecessorEvent is the kind of a received message, or one of the events below.
type predecessorEvent int

const (
	predecessorConnected predecessorEvent = predecessorEvent(kindLimit) + iota
	predecessorTransferBegun
	predecessorDisconnected
)

// transition applies an event to the state. ok is false, and the state unchanged, if the event is not allowed in it.
func (p *Predecessor) transition(event predecessorEvent) (action Action, ok bool) {
	next, action, ok := p.next(event)
	p.state = next
	return action, ok
}

// next returns the state after an event, and the action to execute.
func (p *Predecessor) next(event predecessorEvent) (next PredecessorState, action Action, ok bool) {
	if event == predecessorDisconnected {
		return p.afterDisconnect(), ActionNone, true
	}
	switch p.state {
	case PredecessorAlone:
		if event == predecessorConnected {
			return PredecessorHandshaking, ActionNone, true
		}
	case PredecessorHandshaking:
		if event == predecessorEvent(KindHandshake) {
			return PredecessorPaired, ActionAccept, true
		}
	case PredecessorPaired:
		switch event {
		case predecessorEvent(KindSetCordon):
			return p.state, ActionApply, true
		case predecessorTransferBegun:
			return PredecessorTransferring, ActionNone, true
		}
	case PredecessorTransferring:
		switch event {
		case predecessorEvent(KindSetCordon): // executed by the successor after the transfer
			return p.state, ActionNone, true
		case predecessorEvent(KindTakenOver):
			return PredecessorRelinquished, ActionRelinquish, true
		}
	case PredecessorRelinquished:
		if event == predecessorEvent(KindCordonResult) {
			return p.state, ActionApply, true
		}
	}
	return p.state, ActionNone, false
}

// afterDisconnect returns the state after the end of the connection.
func (p *Predecessor) afterDisconnect() PredecessorState {
	if p.HasRelinquished() {
		return PredecessorReplaced
	}
	return PredecessorAlone
}
