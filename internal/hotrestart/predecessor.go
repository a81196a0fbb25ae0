package hotrestart

import (
	"errors"
	"fmt"
)

// PredecessorState is the state of the process that serves, towards its successor.
type PredecessorState int

// States of a predecessor.
const (
	PredecessorAlone        PredecessorState = iota // no successor is connected
	PredecessorHandshaking                          // one is connected, and has not sent its handshake
	PredecessorPaired                               // one is in standby
	PredecessorTransferring                         // the state is being sent
	PredecessorRelinquished                         // the successor owns everything, and is connected
	PredecessorReplaced                             // the successor owns everything, and its connection has ended
)

// String returns the name of the state, for logs and errors.
func (s PredecessorState) String() string {
	switch s {
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
		return fmt.Sprintf("predecessor state %d", int(s))
	}
}

// Why a successor is rejected. The texts are sent to it.
var (
	ErrOtherUser        = errors.New("another user's process")
	ErrSuccessorPresent = errors.New("another process is to be the successor")
	ErrReplaced         = errors.New("this process has a successor")
)

// Predecessor is the state machine of the process that serves. It starts in PredecessorAlone. There is one successor at a
// time: of two, both would expect to take over.
type Predecessor struct {
	state PredecessorState
}

// State returns the present state.
func (p *Predecessor) State() PredecessorState { return p.state }

// HasRelinquished reports whether a successor owns all that this process had.
func (p *Predecessor) HasRelinquished() bool {
	return p.state == PredecessorRelinquished || p.state == PredecessorReplaced
}

// HandleConnect handles a new connection. sameUser reports whether the peer runs as the user of this process. An error is the reason
// for rejecting the connection, and changes nothing.
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

// HandleMessage handles a message of the successor. After an error the caller closes the connection and calls HandleDisconnect.
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

// BeginTransfer begins the transfer of the state. It returns false, and changes nothing, if no successor is in standby.
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

// transition is the only place where the state changes. ok is false, and the state stays, if the event is not allowed in it.
func (p *Predecessor) transition(event predecessorEvent) (action Action, ok bool) {
	next, action, ok := p.next(event)
	p.state = next
	return action, ok
}

// next is the table of transitions.
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
		case predecessorEvent(KindSetCordon): // the new owner carries it out
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

func (p *Predecessor) afterDisconnect() PredecessorState {
	if p.HasRelinquished() {
		return PredecessorReplaced
	}
	return PredecessorAlone
}
