package hotrestart

import (
	"errors"
	"testing"

	"valvecove/internal/modeltest"
)

// With any events in any order, a predecessor owns the state until a successor that it has accepted sends TakenOver during a
// transfer, and never again after that.
func FuzzPredecessor(f *testing.F) {
	modeltest.Fuzz(f, func(choices *modeltest.Steps) {
		model := predecessorModel{Steps: choices}
		for choices.More() {
			switch choices.Pick(6) {
			case 0:
				model.connect()
			case 1:
				model.disconnect()
			case 2:
				model.beginTransfer()
			default:
				kind := [...]FrameKind{KindHandshake, KindTakenOver, KindSetCordon, KindCordonResult}[choices.Pick(4)]
				model.receive(newMessage(kind, 0))
			}
			state := model.predecessor.State()
			choices.Check(model.predecessor.HasRelinquished() == model.relinquished, "state %v, relinquished: %v", state, model.relinquished)
		}
	})
}

// predecessorModel tracks the expected state of a predecessor from the events that it was given.
type predecessorModel struct {
	*modeltest.Steps
	predecessor  Predecessor
	connected    bool
	accepted     bool
	transferring bool
	relinquished bool
}

func (p *predecessorModel) connect() {
	err := p.predecessor.HandleConnect(true)
	p.Check((err == nil) == (!p.connected && !p.relinquished), "HandleConnect returned %v", err)
	p.connected = p.connected || err == nil
	p.Record("connect")
}

func (p *predecessorModel) disconnect() {
	p.predecessor.HandleDisconnect()
	p.connected, p.accepted, p.transferring = false, false, false
	p.Record("disconnect")
}

func (p *predecessorModel) beginTransfer() {
	begun := p.predecessor.BeginTransfer()
	p.Check(begun == (p.accepted && !p.transferring && !p.relinquished), "BeginTransfer returned %v", begun)
	p.transferring = p.transferring || begun
	p.Record("transfer")
}

func (p *predecessorModel) receive(message Message) {
	kind := message.Kind()
	action, err := p.predecessor.HandleMessage(message)
	p.Record(kind.String())
	if err != nil {
		p.Check(action == ActionNone, "action %d with an error", action)
		return
	}
	p.Check(action != ActionAccept || p.connected && !p.accepted && kind == KindHandshake, "accepted a successor after %v", kind)
	p.Check(action != ActionRelinquish || p.transferring && kind == KindTakenOver, "relinquished after %v", kind)
	p.accepted = p.accepted || action == ActionAccept
	p.relinquished = p.relinquished || action == ActionRelinquish
}

// predecessorIn returns a predecessor in the given state.
func predecessorIn(t *testing.T, state PredecessorState) *Predecessor {
	t.Helper()
	var predecessor Predecessor
	for _, step := range []func(){
		func() { _ = predecessor.HandleConnect(true) },
		func() { _, _ = predecessor.HandleMessage(Handshake{Version: ProtocolVersion}) },
		func() { predecessor.BeginTransfer() },
		func() { _, _ = predecessor.HandleMessage(TakenOver{}) },
		predecessor.HandleDisconnect,
	} {
		if predecessor.State() != state {
			step()
		}
	}
	if predecessor.State() != state {
		t.Fatalf("state %v, expected %v", predecessor.State(), state)
	}
	return &predecessor
}

// Each state allows these messages, and no others.
func TestPredecessorTransitions(t *testing.T) {
	type step struct {
		next   PredecessorState
		action Action
	}
	allowed := map[PredecessorState]map[FrameKind]step{
		PredecessorAlone:       {},
		PredecessorHandshaking: {KindHandshake: {PredecessorPaired, ActionAccept}},
		PredecessorPaired:      {KindSetCordon: {PredecessorPaired, ActionApply}},
		PredecessorTransferring: {
			KindSetCordon: {PredecessorTransferring, ActionNone},
			KindTakenOver: {PredecessorRelinquished, ActionRelinquish},
		},
		PredecessorRelinquished: {KindCordonResult: {PredecessorRelinquished, ActionApply}},
		PredecessorReplaced:     {},
	}
	for state, byKind := range allowed {
		for kind := KindHandshake; kind < kindLimit; kind++ {
			predecessor := predecessorIn(t, state)
			action, err := predecessor.HandleMessage(newMessage(kind, 0))
			want, ok := byKind[kind]
			var unexpected *UnexpectedMessageError
			switch {
			case !ok && (!errors.As(err, &unexpected) || unexpected.State != state || predecessor.State() != state):
				t.Errorf("%v in %v: %v, then %v", kind, state, err, predecessor.State())
			case ok && (err != nil || action != want.action || predecessor.State() != want.next):
				t.Errorf("%v in %v: action %d, %v, then %v", kind, state, action, err, predecessor.State())
			}
		}
	}
}

func TestPredecessorConnect(t *testing.T) {
	for state, want := range map[PredecessorState]error{
		PredecessorAlone:        nil,
		PredecessorHandshaking:  ErrSuccessorPresent,
		PredecessorPaired:       ErrSuccessorPresent,
		PredecessorTransferring: ErrSuccessorPresent,
		PredecessorRelinquished: ErrSuccessorPresent,
		PredecessorReplaced:     ErrReplaced,
	} {
		if err := predecessorIn(t, state).HandleConnect(false); !errors.Is(err, ErrOtherUser) {
			t.Errorf("in %v, from another user's process: %v", state, err)
		}
		if err := predecessorIn(t, state).HandleConnect(true); !errors.Is(err, want) {
			t.Errorf("in %v: %v, expected %v", state, err, want)
		}
	}
}

func TestPredecessorDisconnect(t *testing.T) {
	for state, want := range map[PredecessorState]PredecessorState{
		PredecessorAlone:        PredecessorAlone,
		PredecessorHandshaking:  PredecessorAlone,
		PredecessorPaired:       PredecessorAlone,
		PredecessorTransferring: PredecessorAlone,
		PredecessorRelinquished: PredecessorReplaced,
		PredecessorReplaced:     PredecessorReplaced,
	} {
		predecessor := predecessorIn(t, state)
		if predecessor.HandleDisconnect(); predecessor.State() != want {
			t.Errorf("disconnected in %v: then in %v, expected %v", state, predecessor.State(), want)
		}
	}
}

// A successor of another version receives the reason of its rejection, with the text that all builds send.
func TestPredecessorRejectsOtherVersion(t *testing.T) {
	predecessor := predecessorIn(t, PredecessorHandshaking)
	action, err := predecessor.HandleMessage(Handshake{Version: ProtocolVersion + 1})
	var other *VersionError
	if action != ActionReject || !errors.As(err, &other) || err.Error() != "form 2, expected 1" {
		t.Errorf("action %d, error %v, expected a rejection with the text of all builds", action, err)
	}
}
