package succession

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"valvecove/internal/steps"
)

// A frame cut anywhere is short until it is whole; no bytes make the reader panic or take more than there is.
func FuzzFrames(f *testing.F) {
	var all []byte
	for _, x := range []struct {
		kind Kind
		body any
	}{{KindHello, Hello{Form}}, {KindWelcome, Welcome{Form, []string{"s-0"}}}, {KindBan, Ban{1, "s-0", true}}, {KindBegin, nil},
		{KindModule, []byte{0, 1, 2}}, {KindClient, ClientLink{In: []byte("GET"), Turns: []Turn{{Query: 3, Keep: true}}, Since: time.Second}},
		{KindEnd, End{7}}} {
		b, err := Append(nil, x.kind, x.body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		all = append(all, b...)
	}
	f.Add(all)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 0})
	f.Add([]byte{0, 0, 0, 0, byte(KindHello), 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, n, err := Read(b)
		if err == nil && (n > len(b) || n < headLen || (whole.FDs == 1) != whole.Kind.carries()) {
			t.Fatalf("took %d of %d, %v", n, len(b), whole)
		}
		for i := range min(len(b), n) {
			if _, _, short := Read(b[:i]); err == nil && !errors.Is(short, ErrShort) {
				t.Fatalf("%d of %d bytes: %v", i, n, short)
			}
		}
		if err == nil && n < len(b) {
			if again, k, err := Read(b[:n]); err != nil || k != n || !bytes.Equal(again.Body, whole.Body) {
				t.Fatalf("more bytes changed the frame")
			}
		}
	})
}

// Whatever comes in whatever order, an heir is the owner only after all that was announced has come, or once the elder has
// gone; then it owns nothing of what had come in part.
func FuzzHeir(f *testing.F) {
	steps.Fuzz(f, func(s *steps.Steps) {
		var h Heir
		welcome, begun, frames, owner, ended := false, false, 0, false, 0
		for s.More() {
			kind := Kind(1 + s.Pick(int(kinds)-1))
			if s.Pick(3) > 0 { // mostly what comes next in a hand-over
				kind = [...]Kind{KindWelcome, KindBegin, KindModule, KindQuery, KindEnd}[s.Pick(5)]
			}
			if s.Pick(20) == 0 {
				step := h.Ended()
				s.Check((step == Nothing) == owner, "ended as the owner %v: step %d", owner, step)
				if ended++; step != Again {
					s.Check(owner || !welcome || ended == mostTalks, "the elder is not asked anew")
					return
				}
				s.Check(welcome && ended < mostTalks, "asked anew for ever")
				welcome, begun, frames = false, false, 0 // what has come in part is void
			}
			told := frames
			if s.Pick(4) == 0 {
				told++
			}
			bodies := map[Kind]any{KindWelcome: Welcome{Form: Form}, KindEnd: End{told}, KindModule: []byte{1}}
			b, _ := Append(nil, kind, bodies[kind])
			frame, _, err := Read(b)
			if err != nil {
				s.T.Fatal(err)
			}
			step, err := h.Frame(frame)
			s.Did(kind.String())
			if err != nil { // like an end
				s.Check(step != Take, "takes what it can't read")
				return
			}
			switch {
			case step == GiveUp:
				s.Check(!welcome && kind == KindDenied && h.Ended() == Nothing, "gives up at %v", kind)
				return
			case step == Take:
				s.Check(begun && kind == KindEnd && told == frames, "owner after %d of %d frames", frames, told)
				owner = true
				h.Took()
			case kind == KindWelcome:
				s.Check(!welcome, "welcome twice")
				welcome = true
			case kind == KindBegin:
				s.Check(welcome && !begun, "a hand-over that is not due")
				begun = true
			case kind >= KindModule && kind <= KindServer:
				s.Check(begun && !owner, "%v out of a hand-over", kind)
				frames++
			}
			s.Check((h.Stand() == Serving) == owner, "serves: %v, owner: %v", h.Stand() == Serving, owner)
		}
	})
}

// Another form is no elder of ours.
func TestOtherForm(t *testing.T) {
	b, _ := Append(nil, KindWelcome, Welcome{Form: Form + 1})
	f, _, _ := Read(b)
	var h Heir
	if _, err := h.Frame(f); err == nil {
		t.Error("welcomed by another form")
	}
}
