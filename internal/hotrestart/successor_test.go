package hotrestart

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"valvecove/internal/steps"
)

// A frame cut anywhere is short until it is whole; no bytes make the reader panic or take more than there is.
func FuzzReadFrame(f *testing.F) {
	var all []byte
	for _, x := range []struct {
		kind FrameKind
		body any
	}{{KindHandshake, Handshake{ProtocolVersion}}, {KindAccept, Accept{ProtocolVersion, []string{"s-0"}}}, {KindSetCordon, SetCordon{1, "s-0", true}}, {KindTransferBegin, nil},
		{KindSnapshotChunk, []byte{0, 1, 2}}, {KindClientConnection, ClientConnection{Input: []byte("GET"), ResponseSlots: []ResponseSlot{{RequestID: 3, KeepAlive: true}}, LastActivity: time.Second}},
		{KindTransferEnd, TransferEnd{7}}} {
		b, err := AppendFrame(nil, x.kind, x.body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		all = append(all, b...)
	}
	f.Add(all)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 0})
	f.Add([]byte{0, 0, 0, 0, byte(KindHandshake), 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, n, err := ReadFrame(b)
		if err == nil && (n > len(b) || n < headerSize || (whole.DescriptorCount == 1) != whole.Kind.carriesDescriptor()) {
			t.Fatalf("took %d of %d, %v", n, len(b), whole)
		}
		for i := range min(len(b), n) {
			if _, _, short := ReadFrame(b[:i]); err == nil && !errors.Is(short, ErrIncomplete) {
				t.Fatalf("%d of %d bytes: %v", i, n, short)
			}
		}
		if err == nil && n < len(b) {
			if again, k, err := ReadFrame(b[:n]); err != nil || k != n || !bytes.Equal(again.Body, whole.Body) {
				t.Fatalf("more bytes changed the frame")
			}
		}
	})
}

// Whatever comes in whatever order, an heir is the owner only after all that was announced has come, or once the elder has
// gone; then it owns nothing of what had come in part.
func FuzzSuccessor(f *testing.F) {
	steps.Fuzz(f, func(s *steps.Steps) {
		var h Successor
		welcome, begun, frames, owner, ended := false, false, 0, false, 0
		for s.More() {
			kind := FrameKind(1 + s.Pick(int(kindLimit)-1))
			if s.Pick(3) > 0 { // mostly what comes next in a hand-over
				kind = [...]FrameKind{KindAccept, KindTransferBegin, KindSnapshotChunk, KindOpenRequest, KindTransferEnd}[s.Pick(5)]
			}
			if s.Pick(20) == 0 {
				step := h.HandleDisconnect()
				s.Check((step == ActionNone) == owner, "ended as the owner %v: step %d", owner, step)
				if ended++; step != ActionReconnect {
					s.Check(owner || !welcome || ended == maxSessions, "the elder is not asked anew")
					return
				}
				s.Check(welcome && ended < maxSessions, "asked anew for ever")
				welcome, begun, frames = false, false, 0 // what has come in part is void
			}
			told := frames
			if s.Pick(4) == 0 {
				told++
			}
			bodies := map[FrameKind]any{KindAccept: Accept{Version: ProtocolVersion}, KindTransferEnd: TransferEnd{told}, KindSnapshotChunk: []byte{1}}
			b, _ := AppendFrame(nil, kind, bodies[kind])
			frame, _, err := ReadFrame(b)
			if err != nil {
				s.T.Fatal(err)
			}
			step, err := h.HandleFrame(frame)
			s.Did(kind.String())
			if err != nil { // like an end
				s.Check(step != ActionTakeOver, "takes what it can't read")
				return
			}
			switch {
			case step == ActionGiveUp:
				s.Check(!welcome && kind == KindReject && h.HandleDisconnect() == ActionNone, "gives up at %v", kind)
				return
			case step == ActionTakeOver:
				s.Check(begun && kind == KindTransferEnd && told == frames, "owner after %d of %d frames", frames, told)
				owner = true
				h.TookOver()
			case kind == KindAccept:
				s.Check(!welcome, "welcome twice")
				welcome = true
			case kind == KindTransferBegin:
				s.Check(welcome && !begun, "a hand-over that is not due")
				begun = true
			case kind >= KindSnapshotChunk && kind <= KindWorkerConnection:
				s.Check(begun && !owner, "%v out of a hand-over", kind)
				frames++
			}
			s.Check((h.State() == SuccessorServing) == owner, "serves: %v, owner: %v", h.State() == SuccessorServing, owner)
		}
	})
}

// Another form is no elder of ours.
func TestOtherProtocolVersionIsRefused(t *testing.T) {
	b, _ := AppendFrame(nil, KindAccept, Accept{Version: ProtocolVersion + 1})
	f, _, _ := ReadFrame(b)
	var h Successor
	if _, err := h.HandleFrame(f); err == nil {
		t.Error("welcomed by another form")
	}
}
