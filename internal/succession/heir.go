package succession

import "fmt"

// Stand is where an heir stands with its elder.
type Stand int

// The stands of an heir.
const (
	Joining   Stand = iota // it has said hello
	Standing               // it may take over: the elder serves
	Receiving              // all that the elder has is coming
	Serving                // it is the owner
)

// Step is what an heir is to do next.
type Step int

// The steps.
const (
	Go      Step = iota // take the frame in
	Take                // all has come: become the owner, and say so
	Alone               // the elder has gone: what came of its goods is void, serve without them
	GiveUp              // the elder does not want an heir: end
	Nothing             // the talk is over, and nothing hangs on it
)

// Heir decides, by what comes on the channel, who is the owner. Until it has been given all, it owns nothing; what has come
// in part is void if no more comes, as the elder then still has it, or has died with it.
type Heir struct {
	at     Stand
	frames int
	module int
}

// Stand tells where it stands.
func (h *Heir) Stand() Stand { return h.at }

// Frame takes in a frame. An error ends the talk like its end does.
func (h *Heir) Frame(f Frame) (Step, error) {
	switch {
	case h.at == Joining && f.Kind == KindWelcome:
		var w Welcome
		if err := f.Decode(&w); err != nil {
			return Go, err
		}
		if w.Form != Form {
			return Go, fmt.Errorf("the elder speaks form %d, expected %d", w.Form, Form)
		}
		h.at = Standing
		return Go, nil
	case h.at == Joining && f.Kind == KindDenied:
		return GiveUp, nil
	case h.at != Joining && f.Kind == KindBanned, h.at == Standing && f.Kind == KindBans, h.at == Serving && f.Kind == KindBan:
		return Go, nil
	case h.at == Standing && f.Kind == KindBegin:
		h.at, h.frames, h.module = Receiving, 0, 0
		return Go, nil
	case h.at == Receiving && f.Kind >= KindModule && f.Kind <= KindServer:
		h.frames++
		if f.Kind == KindModule {
			if h.module += len(f.Body); h.module > MaxModule {
				return Go, fmt.Errorf("a module of over %d bytes", MaxModule)
			}
		}
		return Go, nil
	case h.at == Receiving && f.Kind == KindEnd:
		var e End
		if err := f.Decode(&e); err != nil {
			return Go, err
		}
		if e.Frames != h.frames {
			return Go, fmt.Errorf("%d frames have come of %d", h.frames, e.Frames)
		}
		h.at = Serving
		return Take, nil
	}
	return Go, fmt.Errorf("%v out of turn", f.Kind)
}

// Ended takes in that the channel has ended.
func (h *Heir) Ended() Step {
	if h.at == Serving {
		return Nothing
	}
	h.at = Serving
	return Alone
}
