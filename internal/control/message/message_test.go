package message_test

import (
	"reflect"
	"testing"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// allMessages returns a message of each type. No slice in them is empty.
func allMessages() []message.Message {
	return []message.Message{
		&message.Handshake{Name: "f"},
		&message.RequestOffer{Summary: message.RequestSummary{Attempts: []message.PastAttempt{{WorkerID: 1}}}},
		&message.AttemptEnded{Result: dispatch.Failed},
		&message.AttemptStarted{Attempt: 1},
		&message.AttemptProgress{Attempt: 1},
		&message.RequestClosed{RequestID: 1},
		&message.HealthCheckResult{WorkerID: 1},
		&message.Heartbeat{Sequence: 1},
		&message.HandshakeAccept{Name: "p"},
		&message.CreditUpdate{Credit: 1},
		&message.SendCommand{RequestID: 1},
		&message.RejectCommand{RequestID: 1},
		&message.FailCommand{RequestID: 1},
		&message.CancelCommand{RequestID: 1},
		&message.HealthCheckCommand{WorkerID: 1},
		&message.CloseIdleCommand{WorkerID: 1},
		&message.TransferCommand{RequestID: 1},
		&message.HeartbeatReply{Sequence: 1},
		&message.ModelSnapshot{Data: []byte{1}},
		&message.Goodbye{},
		&message.WorkerStatus{WorkerID: 1},
		&message.PeerHandshake{Name: "p"},
		&message.LoadReport{Forwarders: 1},
	}
}

func TestEveryKindHasOneType(t *testing.T) {
	types := map[message.Kind]message.Message{}
	for _, m := range allMessages() {
		if other, taken := types[m.Kind()]; taken {
			t.Errorf("%T and %T both have kind %v", m, other, m.Kind())
		}
		types[m.Kind()] = m
	}
	names := map[string]message.Kind{}
	for kind := range message.Kind(255) {
		name := kind.String()
		if _, exists := types[kind]; exists != (name != "unknown") {
			t.Errorf("kind %d has the name %q and the type %T", kind, name, types[kind])
		}
		if other, taken := names[name]; taken && name != "unknown" {
			t.Errorf("kinds %d and %d have the name %q", kind, other, name)
		}
		names[name] = kind
	}
}

func TestCommandsAreMarked(t *testing.T) {
	for _, m := range allMessages() {
		_, isCommand := m.(message.Command)
		want := m.Kind() >= message.KindSendCommand && m.Kind() <= message.KindTransferCommand
		if isCommand != want {
			t.Errorf("%T is a command: %v, want %v", m, isCommand, want)
		}
	}
}

func TestClonesShareNoMemory(t *testing.T) {
	all := allMessages()
	for _, m := range all {
		envelope := message.Envelope{Epoch: 7, Message: m}
		clone := envelope.Clone()
		if !reflect.DeepEqual(envelope, clone) {
			t.Errorf("%+v is cloned as %+v", envelope, clone)
		}
		if _, isEmpty := m.(*message.Goodbye); !isEmpty && m == clone.Message {
			t.Errorf("Clone of %T returns the same pointer", m)
		}
		switch clone := clone.Message.(type) {
		case *message.RequestOffer:
			clone.Summary.Attempts[0].WorkerID = 2
		case *message.ModelSnapshot:
			clone.Data[0] = 2
		}
	}
	for i, m := range allMessages() {
		if !reflect.DeepEqual(m, all[i]) {
			t.Errorf("a change of a clone changed %+v", all[i])
		}
	}
	if empty := (message.Envelope{Epoch: 7}).Clone(); empty.Message != nil || empty.Epoch != 7 {
		t.Errorf("an empty envelope is cloned as %+v", empty)
	}
}

func TestNewestStatusSupersedes(t *testing.T) {
	ascending := []message.WorkerStatus{
		{StartedMs: 1, Revision: 1, State: message.WorkerUp},
		{StartedMs: 1, Revision: 1, State: message.WorkerDraining},
		{StartedMs: 1, Revision: 1, State: message.WorkerGone},
		{StartedMs: 1, Revision: 2, State: message.WorkerUp},
		{StartedMs: 2, Revision: 0, State: message.WorkerUp},
		{StartedMs: 2, Revision: 0, State: message.WorkerGone},
		{StartedMs: 2, Revision: 1, State: message.WorkerUp},
	}
	for i, status := range ascending {
		for j, other := range ascending {
			if status.Supersedes(other) != (i > j) {
				t.Errorf("%+v supersedes %+v: got %v, want %v", status, other, i <= j, i > j)
			}
		}
	}
}

func TestNamesOfEnumerations(t *testing.T) {
	names := map[string]message.RejectReason{}
	for reason := range message.ReasonCount {
		name := reason.String()
		if other, taken := names[name]; taken || name == "unknown" {
			t.Errorf("reasons %d and %d have the name %q", reason, other, name)
		}
		names[name] = reason
	}
	if name := message.ReasonCount.String(); name != "unknown" {
		t.Errorf("ReasonCount has the name %q, want unknown", name)
	}
	for state, want := range []string{"up", "draining", "gone", "unknown"} {
		if got := message.WorkerState(state).String(); got != want {
			t.Errorf("state %d has the name %q, want %q", state, got, want)
		}
	}
}
