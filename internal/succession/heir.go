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
	Turned                 // the elder does not want it
)

// Step is what an heir is to do next.
type Step int

// The steps.
const (
	Go      Step = iota // take the frame in
	Take                // all has come: say that it is taken, and then own it
	Alone               // the elder has gone: what came of its goods is void, serve without them
	GiveUp              // the elder does not want an heir: end
	Again               // the talk has broken off: what came is void, and the elder, if it can be reached, is asked anew
	Nothing             // the talk is over, and nothing hangs on it
)

// mostTalks is how often an heir asks at most. An elder that goes on living keeps what it has, and two that serve side by
// side would get each other's call-backs.
const mostTalks = 3

// Heir decides, by what comes on the channel, who is the owner. Until it has been given all, it owns nothing; what has come
// in part is void if no more comes, as the elder then still has it, or has died with it.
type Heir struct {
	at     Stand
	talks  int // that have broken off
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
		h.at = Turned
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
		return Take, nil
	}
	return Go, fmt.Errorf("%v out of turn", f.Kind)
}

// Took makes it the owner: it has said so to the elder.
func (h *Heir) Took() { h.at = Serving }

// Ended takes in that the channel has ended, or that the elder can't be reached.
func (h *Heir) Ended() Step {
	switch h.talks++; {
	case h.at == Serving || h.at == Turned:
		return Nothing
	case h.at != Joining && h.talks < mostTalks:
		h.at = Joining
		return Again
	}
	h.at = Serving
	return Alone
}
