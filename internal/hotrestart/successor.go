package hotrestart

import (
	"errors"
	"fmt"
)

// SuccessorState is the state of a successor in the protocol.
type SuccessorState int

// States of a successor.
const (
	SuccessorJoining   SuccessorState = iota // it has sent its handshake
	SuccessorStandby                         // the predecessor has accepted it, and serves
	SuccessorReceiving                       // the predecessor's state is being received
	SuccessorServing                         // it owns the state, and serves
	SuccessorRejected                        // the predecessor has rejected it
)

// String returns the name of the state, for logs and errors.
func (s SuccessorState) String() string {
	switch s {
	case SuccessorJoining:
		return "joining"
	case SuccessorStandby:
		return "standby"
	case SuccessorReceiving:
		return "receiving"
	case SuccessorServing:
		return "serving"
	case SuccessorRejected:
		return "rejected"
	default:
		return fmt.Sprintf("successor state %d", int(s))
	}
}

// Action is what the caller of a state machine must do next.
type Action int

// Actions of both sides, then those of a successor, then those of a predecessor.
const (
	ActionNone  Action = iota // nothing
	ActionApply               // execute the message

	ActionTakeOver   // the state is complete: send TakenOver, call TookOver, and serve with the state
	ActionServeAlone // the predecessor has ended: serve without its state
	ActionGiveUp     // the predecessor has rejected this process: exit
	ActionReconnect  // the session is lost: discard the received state, and reconnect; if none listens, call HandlePredecessorEnded

	ActionAccept     // send Accept
	ActionReject     // send Reject with the error's text, and close the connection
	ActionRelinquish // the successor owns everything: release the requests and the connections
)

// MaxSnapshotSize is the maximum size in bytes of a dispatch policy's snapshot that a successor accepts.
const MaxSnapshotSize = 64 << 20

// ErrSnapshotTooLarge is returned if the total size of the chunks of the policy's snapshot exceeds MaxSnapshotSize.
var ErrSnapshotTooLarge = errors.New("the policy's snapshot is too large")

// UnexpectedMessageError is the error of a message that is not allowed in the state of its receiver.
type UnexpectedMessageError struct {
	Kind  FrameKind
	State fmt.Stringer // a SuccessorState or a PredecessorState
}

// Error returns the message's kind and the state.
func (u *UnexpectedMessageError) Error() string {
	return fmt.Sprintf("unexpected message %q in state %q", u.Kind, u.State)
}

// VersionError is the error of a process with another ProtocolVersion.
type VersionError struct {
	Version int // of the other process
}

// Error returns the text that is also sent as the reason in a Reject. All builds send the same text.
func (v *VersionError) Error() string {
	return fmt.Sprintf("form %d, expected %d", v.Version, ProtocolVersion)
}

// MissingFramesError is the error of a transfer with too few or too many frames between TransferBegin and TransferEnd.
type MissingFramesError struct {
	Received, Announced int
}

// Error returns both numbers.
func (m *MissingFramesError) Error() string {
	return fmt.Sprintf("%d frames received, %d announced", m.Received, m.Announced)
}

// Successor is the state machine of the process that takes over. The zero value is in SuccessorJoining, the state after the
// handshake was sent.
//
// It decides whether this process owns the state. Until the transfer is complete, the successor owns nothing: an incomplete
// transfer is discarded, as the predecessor still owns the state, or has ended. However many sessions are lost, a successor serves
// without the state only once its predecessor has ended: if both processes served, one would receive callbacks for attempts of the
// other.
type Successor struct {
	state          SuccessorState
	framesReceived int // since TransferBegin
	snapshotSize   int // bytes received since TransferBegin
}

// State returns the current state.
func (s *Successor) State() SuccessorState { return s.state }

// HandleMessage handles a message of the predecessor, and returns what the caller must do. After an error the caller must close
// the connection and call HandleDisconnect.
func (s *Successor) HandleMessage(message Message) (Action, error) {
	if err := s.check(message); err != nil {
		return ActionNone, err
	}
	action, ok := s.transition(successorEvent(message.Kind()))
	if !ok {
		return ActionNone, &UnexpectedMessageError{message.Kind(), s.state}
	}
	s.count(message)
	return action, nil
}

// TookOver makes this process the owner. It is called after TakenOver was sent because of ActionTakeOver.
func (s *Successor) TookOver() { s.transition(successorTookOver) }

// HandleDisconnect handles the end of the connection. The predecessor may still run, and own the state.
func (s *Successor) HandleDisconnect() Action {
	action, _ := s.transition(successorDisconnected)
	return action
}

// HandlePredecessorEnded is called when no process listens at the predecessor's address any more. It does nothing unless the
// connection has ended.
func (s *Successor) HandlePredecessorEnded() Action {
	action, ok := s.transition(successorPredecessorEnded)
	if !ok {
		return ActionNone
	}
	return action
}

// check returns an error if the content of a message contradicts the protocol or the previous messages.
func (s *Successor) check(message Message) error {
	switch message := message.(type) {
	case Accept:
		if message.Version != ProtocolVersion {
			return fmt.Errorf("the predecessor's protocol: %w", &VersionError{message.Version})
		}
	case SnapshotChunk:
		if s.snapshotSize+len(message) > MaxSnapshotSize {
			return ErrSnapshotTooLarge
		}
	case TransferEnd:
		if s.state == SuccessorReceiving && message.FrameCount != s.framesReceived {
			return &MissingFramesError{s.framesReceived, message.FrameCount}
		}
	}
	return nil
}

// count counts the frames and the snapshot bytes of a transfer.
func (s *Successor) count(message Message) {
	if message.Kind() == KindTransferBegin {
		s.framesReceived = 0
		s.snapshotSize = 0
	}
	if message.Kind().isState() {
		s.framesReceived++
	}
	if chunk, ok := message.(SnapshotChunk); ok {
		s.snapshotSize += len(chunk)
	}
}

// successorEvent is the kind of a received message, or one of the events below.
type successorEvent int

const (
	successorTookOver successorEvent = successorEvent(kindLimit) + iota
	successorDisconnected
	successorPredecessorEnded
)

// transition applies an event to the state. ok is false, and the state unchanged, if the event is not allowed in it.
func (s *Successor) transition(event successorEvent) (action Action, ok bool) {
	next, action, ok := s.next(event)
	s.state = next
	return action, ok
}

// next returns the state after an event, and the action to execute.
func (s *Successor) next(event successorEvent) (next SuccessorState, action Action, ok bool) {
	if event == successorDisconnected {
		next, action = s.afterDisconnect()
		return next, action, true
	}
	switch s.state {
	case SuccessorJoining:
		switch event {
		case successorEvent(KindAccept):
			return SuccessorStandby, ActionApply, true
		case successorEvent(KindReject):
			return SuccessorRejected, ActionGiveUp, true
		case successorPredecessorEnded:
			return SuccessorServing, ActionServeAlone, true
		}
		return s.state, ActionNone, false
	case SuccessorStandby:
		switch event {
		case successorEvent(KindCordonedWorkers):
			return s.state, ActionApply, true
		case successorEvent(KindTransferBegin):
			return SuccessorReceiving, ActionNone, true
		}
	case SuccessorReceiving:
		switch {
		case event == successorTookOver:
			return SuccessorServing, ActionNone, true
		case event == successorEvent(KindTransferEnd):
			return s.state, ActionTakeOver, true
		case FrameKind(event).isState():
			return s.state, ActionApply, true
		}
	case SuccessorServing:
		if event == successorEvent(KindSetCordon) { // forwarded by the predecessor after the transfer
			return s.state, ActionApply, true
		}
	}
	// A CordonResult may be received in any state after SuccessorJoining: calls stay pending across sessions.
	return s.state, ActionApply, event == successorEvent(KindCordonResult)
}

// afterDisconnect returns the state after the end of the connection, and the action to execute.
func (s *Successor) afterDisconnect() (SuccessorState, Action) {
	switch s.state {
	case SuccessorServing, SuccessorRejected:
		return s.state, ActionNone
	default:
		return SuccessorJoining, ActionReconnect
	}
}
