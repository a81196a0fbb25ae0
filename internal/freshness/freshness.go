// Package freshness owns how fresh what is known of the host group is: when discovery is called, how long a call or a
// watch is waited for, and by when a change that has not been heard counts as told all the same. It knows no sockets
// and no clock: what happened, and when, is told to it.
package freshness

import "time"

// What discovery's protocol sets.
const (
	toldWithin = 6 * time.Second // a change counts as told so long after discovery had it and could be reached
	toldMoved  = 4 * time.Second // and so long after a new configuration that names another discovery
	nextLine   = 3 * time.Second // a line, empty or not, is due every 2 s
)

// How long a call is waited for, and others are kept from coming with it.
const (
	upWithin  = 500 * time.Millisecond // a connection that does not come up must not use up the time of another one
	firstLine = 4 * time.Second        // the call may wait its turn at discovery for a while
	reserve   = time.Second            // what a call that finds discovery well needs at most, with another one before it
	few       = 8                      // callers who may call together
	firstMost = 750 * time.Millisecond // by which many callers spread the first calls of their processes, whose jobs wait
	movedMost = time.Second            // by which many callers spread the first call at another discovery
	askParts  = 20                     // the first wait of a few callers, as a part of the time for asking
)

// Rules are what the settings say about the list.
type Rules struct {
	AskEvery time.Duration // a list that is neither watched nor asked for so long counts as heard; 0: not told
	Pushed   bool          // what there is at discovery's end counts as told, watched or not
	Callers  int           // schedulers that call the same discovery
}

// Action is what is to be done now.
type Action uint8

const (
	None   Action = iota
	Call          // open the watch anew
	GiveUp        // leave the call, or the watch, and then tell that it is over
)

type phase uint8

const (
	off     phase = iota
	resting       // until the next call
	calling       // the connection is not up
	asking        // it is, and nothing has come
	following
)

// State is how fresh the list is.
type State struct {
	rules    Rules
	draw     func(n int64) int64 // a random number under n
	phase    phase
	due      time.Duration // of the next call, or of giving up this one
	began    time.Duration // the call that is out
	failures int           // calls in a row that brought nothing
	shut     time.Duration // a call was turned away then, at once: discovery could not be reached; 0: not since anything was heard
	unheard  time.Duration // a change that has not been heard was made then at the earliest
	moved    time.Duration // when another discovery was named of which nothing has been heard; 0: none was
	left     time.Duration // when the last watch ended
	missed   bool          // a watch fell silent: what it missed counts as told, whatever comes after
}

// New returns the state of one that does not follow the list yet, but has it as it was at now.
func New(rules Rules, draw func(n int64) int64, now time.Duration) *State {
	return &State{rules: rules, draw: draw, unheard: now, left: now}
}

// Begin plans the first call of a process: at once, unless many may begin together and this one has a list to go by.
func (s *State) Begin(now time.Duration, listed bool) {
	if s.phase == off {
		s.phase, s.due = resting, now
		if listed && !s.rules.Pushed && s.rules.Callers > few {
			s.due += s.upTo(min(firstMost, s.most()))
		}
	}
}

// FirstWait is how long a process that knows a list had better wait for a newer one before it goes by what it knows. Few
// callers, and those whose lists are pushed, call at once.
func (s *State) FirstWait() time.Duration {
	if s.rules.Pushed || s.rules.Callers <= few {
		return 0
	}
	return min(firstMost, s.most()) + 3*reserve/2 // the call's turn comes after those of others
}

// Follow plans a call for now if none is planned or out and there is no watch.
func (s *State) Follow(now time.Duration) {
	if s.phase == off {
		s.phase, s.due = resting, now
	}
}

// Stop ends it: nothing is planned any more.
func (s *State) Stop() { s.phase = off }

// Move is told when discovery is elsewhere from now on; whatever is open has been left.
func (s *State) Move(now time.Duration) {
	if s.phase == following {
		s.left = now
	}
	s.phase, s.due, s.failures, s.shut = resting, now, 0, 0
	if s.moved == 0 {
		s.moved = now
	}
	if s.rules.Callers > few && !s.rules.Pushed {
		s.due += s.upTo(movedMost)
	}
}

// Called is told when a call has begun.
func (s *State) Called(now time.Duration) {
	s.phase, s.due, s.began = calling, now+upWithin, now
}

// Connected is told when the call's connection is up.
func (s *State) Connected(now time.Duration) {
	if s.phase == calling {
		s.phase, s.due = asking, now+firstLine
	}
}

// Heard is told of every line that is whole, be it empty or news: all changes until then have come.
func (s *State) Heard(now time.Duration) {
	if s.phase == asking || s.phase == following {
		s.phase, s.due, s.failures = following, now+nextLine, 0
		s.unheard, s.moved, s.missed, s.shut = now, 0, false, 0
	}
}

// Over is told when a call or a watch has ended, and plans the next call. silent tells that it was given up.
func (s *State) Over(now time.Duration, silent bool) {
	switch s.phase {
	case off, resting:
		return
	case following:
		s.missed, s.left = silent, now
	default:
		if s.failures++; !silent && now-s.began < reserve {
			s.shut = now
		}
	}
	s.phase = resting
	s.due = now + s.wait(now)
}

// wait draws how long the next call is put off. It grows with failures, so that a discovery that has too many callers
// gets fewer, and is bounded by what is still told in time: of a discovery that was down at the last call, that is what it
// comes to know from then on. A quarter of it is kept even where all that is past.
func (s *State) wait(now time.Duration) time.Duration {
	want := s.most()
	if s.rules.Pushed { // what there is at its return counts at once, and each calls one of its own
		want = s.within() / askParts
	} else if first := 3 * s.ask() / (2 * askParts); s.rules.Callers <= few {
		want = min(want, first<<min(max(0, s.failures-1), 8))
	}
	told := s.ToldBy()
	if !s.missed && s.shut > 0 {
		told = max(told, s.shut+s.within())
	}
	most := max(want/4, min(want, told-reserve-now))
	return most/3 + s.upTo(most-most/3)
}

// most is the longest wait: a call put off so long, and waited for as long as any, still brings a change in time.
func (s *State) most() time.Duration { return max(s.within()-firstLine, s.within()/askParts) }

// within is how long after discovery had it a change counts as told.
func (s *State) within() time.Duration { return min(toldWithin, s.ask()) }

func (s *State) ask() time.Duration {
	if s.rules.AskEvery > 0 {
		return s.rules.AskEvery
	}
	return toldWithin
}

func (s *State) upTo(span time.Duration) time.Duration {
	return time.Duration(s.draw(int64(max(span, 0)) + 1))
}

// ToldBy is the instant by which any change that has not been heard may count as told; none does earlier. While a
// watch lives it moves on with every line.
func (s *State) ToldBy() time.Duration {
	by := s.unheard + s.within()
	if s.rules.Pushed && s.phase != following { // at once, watched or not; what a silent watch missed, as elsewhere
		by = min(by, s.left)
	}
	if s.moved > 0 {
		by = min(by, s.moved+toldMoved)
	}
	return by
}

// Follows tells whether there is a watch that has said something.
func (s *State) Follows() bool { return s.phase == following }

// On tells whether the list is followed, be it that a call is only planned.
func (s *State) On() bool { return s.phase != off }

// Next is when Due has something to say.
func (s *State) Next() (at time.Duration, ok bool) { return s.due, s.phase != off }

// Due tells what is to be done now.
func (s *State) Due(now time.Duration) Action {
	switch {
	case s.phase == off || now < s.due:
		return None
	case s.phase == resting:
		return Call
	default:
		return GiveUp
	}
}
