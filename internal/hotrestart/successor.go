package hotrestart

import (
	"errors"
	"fmt"
)

// SuccessorState is the state of a successor towards its predecessor.
type SuccessorState int

// States of a successor.
const (
	SuccessorJoining   SuccessorState = iota // it has sent its handshake
	SuccessorStandby                         // it was accepted, and the predecessor serves
	SuccessorReceiving                       // the predecessor's state is being received
	SuccessorServing                         // it is the owner
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

// Actions of both sides, of a successor, and of a predecessor.
const (
	ActionNone  Action = iota // nothing
	ActionApply               // apply the message

	ActionTakeOver   // all state was received: send TakenOver, call TookOver, and serve with it
	ActionServeAlone // the predecessor is lost: discard what was received of its state, and serve without it
	ActionGiveUp     // the predecessor rejects this process: end it
	ActionReconnect  // the connection is lost: discard what was received, and connect again; if that fails, call HandleDisconnect

	ActionAccept     // send Accept
	ActionReject     // send Reject with the error's text, and close the connection
	ActionRelinquish // the successor owns all state: release it
)

// maxSessions is the largest number of connections to one predecessor. A predecessor that is not lost keeps its state; if both
// processes served, each would receive callbacks for requests of the other.
const maxSessions = 3

// MaxSnapshotSize is the largest snapshot of a dispatch policy that a successor accepts, in bytes.
const MaxSnapshotSize = 64 << 20

// ErrSnapshotTooLarge means that the chunks of the policy's snapshot add up to more than MaxSnapshotSize.
var ErrSnapshotTooLarge = errors.New("the policy's snapshot is too large")

// UnexpectedMessageError reports a message that is not allowed in the state of the process that received it.
type UnexpectedMessageError struct {
	Kind  FrameKind
	State fmt.Stringer // a SuccessorState or a PredecessorState
}

// Error names the message and the state.
func (e *UnexpectedMessageError) Error() string {
	return fmt.Sprintf("unexpected message %q in state %q", e.Kind, e.State)
}

// VersionError reports that the other process speaks another version of the protocol.
type VersionError struct {
	Version int // of the other process
}

// Error is also the reason that a Reject gives, which processes of all builds send in this form.
func (e *VersionError) Error() string {
	return fmt.Sprintf("form %d, expected %d", e.Version, ProtocolVersion)
}

// MissingFramesError reports that frames are lost, or too many, between TransferBegin and TransferEnd.
type MissingFramesError struct {
	Received, Announced int
}

// Error gives both numbers.
func (e *MissingFramesError) Error() string {
	return fmt.Sprintf("%d frames received, %d announced", e.Received, e.Announced)
}

// Successor is the state machine of the process that takes over. It starts in SuccessorJoining, once the handshake is sent.
//
// It decides who owns the state. Until all of it was received, the successor owns nothing: a part is discarded if the rest does not
// arrive, as the predecessor then still owns the state, or has died with it.
type Successor struct {
	state          SuccessorState
	sessionsLost   int
	framesReceived int // since TransferBegin
	snapshotSize   int // bytes received since TransferBegin
}

// State returns the present state.
func (s *Successor) State() SuccessorState { return s.state }

// HandleMessage handles a message of the predecessor. After an error the caller closes the connection and calls HandleDisconnect.
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

// TookOver makes this process the owner: it has answered ActionTakeOver by sending TakenOver.
func (s *Successor) TookOver() { s.transition(successorTookOver) }

// HandleDisconnect handles the end of the connection, or a failed attempt to connect again.
func (s *Successor) HandleDisconnect() Action {
	s.sessionsLost++
	action, _ := s.transition(successorDisconnected)
	return action
}

// check compares a message with those before it.
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

// count adds up what has come of a transfer.
func (s *Successor) count(message Message) {
	if message.Kind() == KindTransferBegin {
		s.framesReceived, s.snapshotSize = 0, 0
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
)

// transition is the only place where the state changes. ok is false, and the state stays, if the event is not allowed in it.
func (s *Successor) transition(event successorEvent) (action Action, ok bool) {
	next, action, ok := s.next(event)
	s.state = next
	return action, ok
}

// next is the table of transitions.
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
		if event == successorEvent(KindSetCordon) { // the predecessor was called after it had handed over
			return s.state, ActionApply, true
		}
	}
	// A result may come at any time after the first handshake: calls stay open across sessions.
	return s.state, ActionApply, event == successorEvent(KindCordonResult)
}

func (s *Successor) afterDisconnect() (SuccessorState, Action) {
	switch s.state {
	case SuccessorServing, SuccessorRejected:
		return s.state, ActionNone
	case SuccessorStandby, SuccessorReceiving:
		if s.sessionsLost < maxSessions {
			return SuccessorJoining, ActionReconnect
		}
	}
	return SuccessorServing, ActionServeAlone
}
