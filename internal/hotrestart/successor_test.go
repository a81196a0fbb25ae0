package hotrestart

import (
	"errors"
	"testing"

	"valvecove/internal/modeltest"
)

// With any events in any order, a successor owns the state only after it has received all announced frames, or once the
// predecessor has ended, in which case it discards an incomplete transfer. However many sessions it loses, it reconnects until then.
func FuzzSuccessor(f *testing.F) {
	modeltest.Fuzz(f, func(choices *modeltest.Steps) {
		model := successorModel{Steps: choices}
		for continues := true; continues && choices.More(); {
			if choices.Pick(20) == 0 {
				continues = model.disconnect() && (choices.Pick(4) > 0 || model.continuesAlone())
			}
			if continues {
				continues = model.receive(pickMessage(choices, model.framesReceived))
			}
		}
	})
}

// successorModel tracks the expected state of a successor from the events that it was given.
type successorModel struct {
	*modeltest.Steps
	successor       Successor
	accepted, begun bool
	owner           bool
	framesReceived  int // received since TransferBegin
}

// disconnect ends the connection. It returns false if the successor does not reconnect, as it owns the state.
func (s *successorModel) disconnect() bool {
	action := s.successor.HandleDisconnect()
	s.Record("disconnect")
	if s.owner {
		s.Check(action == ActionNone, "disconnected as the owner: action %d", action)
		return false
	}
	s.Check(action == ActionReconnect, "disconnected before it was the owner: action %d", action)
	s.Check(s.successor.State() == SuccessorJoining, "state %v without a session", s.successor.State())
	s.accepted, s.begun, s.framesReceived = false, false, 0 // an incomplete transfer is discarded
	return true
}

// continuesAlone ends the predecessor after the connection has ended. It returns false: no session follows.
func (s *successorModel) continuesAlone() bool {
	action := s.successor.HandlePredecessorEnded()
	s.Check(action == ActionServeAlone && s.successor.State() == SuccessorServing, "without a predecessor: action %d", action)
	return false
}

// receive passes a message to the successor. It returns false if the successor ends the session.
func (s *successorModel) receive(message Message) bool {
	action, err := s.successor.HandleMessage(message)
	s.Record(message.Kind().String())
	if err != nil { // the caller must close the connection
		s.Check(action == ActionNone, "action %d with an error", action)
		return false
	}
	if action == ActionGiveUp {
		rejected := !s.accepted && message.Kind() == KindReject
		s.Check(rejected && s.successor.HandleDisconnect() == ActionNone, "gave up after %v", message.Kind())
		return false
	}
	if action == ActionTakeOver {
		end, ok := message.(TransferEnd)
		s.Check(ok && s.begun && end.FrameCount == s.framesReceived, "took over after %d frames: %v", s.framesReceived, message)
		s.owner = true
		s.successor.TookOver()
	}
	s.apply(message.Kind())
	s.Check((s.successor.State() == SuccessorServing) == s.owner, "state %v, owner: %v", s.successor.State(), s.owner)
	return true
}

func (s *successorModel) apply(kind FrameKind) {
	switch {
	case kind == KindAccept:
		s.Check(!s.accepted, "accepted twice")
		s.accepted = true
	case kind == KindTransferBegin:
		s.Check(s.accepted && !s.begun, "an unexpected transfer")
		s.begun = true
	case kind.isState():
		s.Check(s.begun && !s.owner, "%v outside a transfer", kind)
		s.framesReceived++
	}
}

// successorIn returns a successor in the given state.
func successorIn(t *testing.T, state SuccessorState) *Successor {
	t.Helper()
	var successor Successor
	path := map[SuccessorState][]Message{
		SuccessorJoining:   {},
		SuccessorStandby:   {Accept{Version: ProtocolVersion}},
		SuccessorReceiving: {Accept{Version: ProtocolVersion}, TransferBegin{}},
		SuccessorServing:   {Accept{Version: ProtocolVersion}, TransferBegin{}, TransferEnd{0}},
		SuccessorRejected:  {Reject{}},
	}
	for _, message := range path[state] {
		action, err := successor.HandleMessage(message)
		if err != nil {
			t.Fatal(err)
		}
		if action == ActionTakeOver {
			successor.TookOver()
		}
	}
	if successor.State() != state {
		t.Fatalf("state %v, expected %v", successor.State(), state)
	}
	return &successor
}

// Each state allows these messages, and no others.
func TestSuccessorTransitions(t *testing.T) {
	type step struct {
		next   SuccessorState
		action Action
	}
	allowed := map[SuccessorState]map[FrameKind]step{
		SuccessorJoining: {
			KindAccept: {SuccessorStandby, ActionApply},
			KindReject: {SuccessorRejected, ActionGiveUp},
		},
		SuccessorStandby: {
			KindCordonResult:    {SuccessorStandby, ActionApply},
			KindCordonedWorkers: {SuccessorStandby, ActionApply},
			KindTransferBegin:   {SuccessorReceiving, ActionNone},
		},
		SuccessorReceiving: {
			KindCordonResult:     {SuccessorReceiving, ActionApply},
			KindSnapshotChunk:    {SuccessorReceiving, ActionApply},
			KindRequestTable:     {SuccessorReceiving, ActionApply},
			KindOpenRequest:      {SuccessorReceiving, ActionApply},
			KindClientConnection: {SuccessorReceiving, ActionApply},
			KindWorkerConnection: {SuccessorReceiving, ActionApply},
			KindTransferEnd:      {SuccessorReceiving, ActionTakeOver},
		},
		SuccessorServing: {
			KindCordonResult: {SuccessorServing, ActionApply},
			KindSetCordon:    {SuccessorServing, ActionApply},
		},
		SuccessorRejected: {
			KindCordonResult: {SuccessorRejected, ActionApply},
		},
	}
	for state, byKind := range allowed {
		for kind := KindHandshake; kind < kindLimit; kind++ {
			successor := successorIn(t, state)
			action, err := successor.HandleMessage(newMessage(kind, 0))
			want, ok := byKind[kind]
			var unexpected *UnexpectedMessageError
			switch {
			case !ok && (!errors.As(err, &unexpected) || unexpected.State != state || successor.State() != state):
				t.Errorf("%v in %v: %v, then %v", kind, state, err, successor.State())
			case ok && (err != nil || action != want.action || successor.State() != want.next):
				t.Errorf("%v in %v: action %d, %v, then %v", kind, state, action, err, successor.State())
			}
		}
	}
}

func TestSuccessorDisconnect(t *testing.T) {
	for _, test := range []struct {
		state, next SuccessorState
		action      Action
	}{
		{SuccessorJoining, SuccessorJoining, ActionReconnect},
		{SuccessorStandby, SuccessorJoining, ActionReconnect},
		{SuccessorReceiving, SuccessorJoining, ActionReconnect},
		{SuccessorServing, SuccessorServing, ActionNone},
		{SuccessorRejected, SuccessorRejected, ActionNone},
	} {
		successor := successorIn(t, test.state)
		for range 10 {
			if action := successor.HandleDisconnect(); action != test.action || successor.State() != test.next {
				t.Errorf("disconnected in %v: action %d, then in %v", test.state, action, successor.State())
			}
		}
	}
}

// A successor serves alone if its predecessor has ended, unless it is connected to one, owns the state or was rejected.
func TestSuccessorServesAloneWithoutPredecessor(t *testing.T) {
	for state, want := range map[SuccessorState]Action{
		SuccessorJoining:   ActionServeAlone,
		SuccessorStandby:   ActionNone,
		SuccessorReceiving: ActionNone,
		SuccessorServing:   ActionNone,
		SuccessorRejected:  ActionNone,
	} {
		successor := successorIn(t, state)
		if action := successor.HandlePredecessorEnded(); action != want || (successor.State() != state) != (want == ActionServeAlone) {
			t.Errorf("without a predecessor in %v: action %d, then in %v", state, action, successor.State())
		}
	}
}

// A successor returns an error if it is accepted by a predecessor of another version.
func TestSuccessorRejectsOtherVersion(t *testing.T) {
	var successor Successor
	var other *VersionError
	if _, err := successor.HandleMessage(Accept{Version: ProtocolVersion + 1}); !errors.As(err, &other) || other.Version != ProtocolVersion+1 {
		t.Errorf("accepted by another version: %v", err)
	}
}

// A transfer with too few or too many frames fails.
func TestSuccessorCountsFrames(t *testing.T) {
	for _, announced := range []int{0, 2} {
		successor := successorIn(t, SuccessorReceiving)
		if _, err := successor.HandleMessage(SnapshotChunk{1}); err != nil {
			t.Fatal(err)
		}
		var missing *MissingFramesError
		if _, err := successor.HandleMessage(TransferEnd{announced}); !errors.As(err, &missing) || *missing != (MissingFramesError{1, announced}) {
			t.Errorf("%d frames announced: %v, expected an error with both numbers", announced, err)
		}
	}
}

func TestSuccessorLimitsSnapshot(t *testing.T) {
	successor := successorIn(t, SuccessorReceiving)
	chunk := make(SnapshotChunk, SnapshotChunkSize)
	for range MaxSnapshotSize / SnapshotChunkSize {
		if _, err := successor.HandleMessage(chunk); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := successor.HandleMessage(SnapshotChunk{1}); !errors.Is(err, ErrSnapshotTooLarge) {
		t.Errorf("a snapshot one byte over the limit: %v, expected ErrSnapshotTooLarge", err)
	}
}
