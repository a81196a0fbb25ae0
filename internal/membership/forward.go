package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Follower is a forwarder's part: which planner it follows. It is what package follow asks for as its Chooser. It is
// used by one goroutine.
type Follower struct {
	book
	fresh  time.Duration // until then it goes wherever it ought to at once
	home   string        // the planner that it follows; empty: none
	want   string        // the one that it ought to
	wantAt time.Duration // since when
	whole  string        // what was dealt to it of all planners
	well   string        // and of those that are not slow; empty: all are
	order  []string      // all planners, the best one first
	names  []string      // that it was told to have a session with
	said   Member
	number int
	of     int
	moves  int

	pieces []piece
	takers []taker
	by     []*member // by taker
	spare  []string
}

// NewFollower returns the part of a forwarder that knows nobody. Role, Home and Addr of me are of no matter.
func NewFollower(me Member, conf Config) *Follower {
	me.Role, me.Home, me.Addr = Forwarder, "", ""
	return &Follower{book: newBook(me, conf)}
}

// Step takes in what has happened by now, in order, and appends what is to be done.
func (f *Follower) Step(now time.Duration, events []Event, dst []Action) []Action {
	f.begin(now)
	for _, e := range events {
		f.hear(e)
	}
	f.settle()
	return f.done(dst)
}

func (f *Follower) hear(e Event) {
	if a, ok := e.(Answered); ok {
		f.answered(a)
	} else {
		f.take(e)
	}
}

// note is a step for one event, whose actions wait for the next Step.
func (f *Follower) note(now time.Duration, e Event) {
	f.begin(now)
	f.hear(e)
	f.settle()
}

// ---- What package follow asks for ----

// Known is of no matter: it is this package that says who there is.
func (f *Follower) Known(time.Duration, []string) {}

// Session tells that a planner has taken the forwarder in, or is lost to it.
func (f *Follower) Session(now time.Duration, planner string, up bool) {
	if up {
		f.note(now, Linked{planner})
	} else {
		f.note(now, Unlinked{Name: planner})
	}
}

// Answered tells how long a planner took to answer, and how late it says that it is itself.
func (f *Follower) Answered(now time.Duration, planner string, took, late time.Duration) {
	f.note(now, Answered{planner, took, late})
}

// Order appends the planners to dst, the one to follow first.
func (f *Follower) Order(now time.Duration, dst []string) []string {
	f.begin(now)
	f.settle()
	return append(dst, f.order...)
}

// Next is when something is due by itself; 0: nothing is.
func (f *Follower) Next() time.Duration { return f.next }

// Home is the planner that is followed; empty: there is none.
func (f *Follower) Home() string { return f.home }

// Moves counts changes of planners but for those that were lost.
func (f *Follower) Moves() int { return f.moves }

// ---- Which planner to follow ----

// counts tells whether a planner is one to be dealt forwarders. One without a session is, for a moment, when it is
// new.
func (f *Follower) counts(m *member) bool {
	switch {
	case m.goneAt > 0 || m.lost:
		return false
	case m.linked:
		return true
	}
	until := m.came + f.patience(f.conf.Expect)
	f.due(until)
	return m.told && f.now < until
}

// settle decides anew what may have changed.
func (f *Follower) settle() {
	if f.fresh == 0 {
		f.fresh = max(f.now+f.conf.Fresh, 1)
	}
	changed := f.look() || f.stale
	for _, m := range f.plans {
		if c := f.counts(m); c != m.counted { // which may change by time alone
			m.counted, f.stale, changed = c, true, true
		}
	}
	if f.mayDeal() {
		f.deal()
	}
	was := f.home
	if f.follow(); changed || f.home != was {
		f.rank()
		f.tell()
	}
}

// deal finds which planner this forwarder ought to follow, and its number.
func (f *Follower) deal() {
	f.pieces = append(f.pieces[:0], piece{keyOf(f.me.Name), 1})
	number := 0
	for _, m := range f.all {
		if m.Role == Forwarder {
			if m.Name < f.me.Name {
				number++
			}
			f.pieces = append(f.pieces, piece{keyOf(m.Name), 1})
		}
	}
	if of := len(f.pieces); number != f.number || of != f.of {
		f.number, f.of = number, of
		f.do(Number{number, of})
	}
	nodes := 0
	for _, m := range f.plans {
		if m.counted {
			nodes = max(nodes, m.Nodes)
		}
	}
	most := mostPlanners
	if nodes > 0 {
		most = max(1, nodes/f.conf.Least)
	}
	f.whole = f.dealt(most, func(m *member) bool { return m.counted })
	f.well = f.dealt(most, func(m *member) bool { return m.counted && !m.slow })
}

// dealt is what is dealt to this forwarder of some planners, of which so many are followed at most, those that their
// hashes put first; empty: there are none.
func (f *Follower) dealt(most int, which func(m *member) bool) string {
	f.by, f.takers = f.by[:0], f.takers[:0]
	for _, m := range f.plans {
		if which(m) {
			f.by = append(f.by, m)
		}
	}
	if len(f.by) == 0 {
		return ""
	}
	slices.SortFunc(f.by, func(a, b *member) int { return cmp.Compare(keyOf(b.Name), keyOf(a.Name)) })
	f.by = f.by[:min(len(f.by), most)]
	for _, m := range f.by {
		f.takers = append(f.takers, taker{keyOf(m.Name), 1})
	}
	return f.by[deal(f.pieces, f.takers)[0]].Name
}

// follow goes to another planner, if it is time to. A forwarder whose own is well stays with it, whatever is dealt to
// those whose are not.
func (f *Follower) follow() {
	want := f.whole
	if m := f.find(want); m != nil && m.slow && f.well != "" {
		want = f.well
	}
	if want != f.want {
		f.want, f.wantAt = want, f.now
	}
	have, next := f.find(f.home), f.find(want)
	switch {
	case have == nil || !have.counted:
		f.flee(next)
	case next == nil || next == have || !next.linked && f.now >= f.fresh || next.slow && !have.slow:
	case f.now < f.fresh:
		f.home = want
	case have.slow:
		if lot := f.lot(have, f.conf.LeaveOver); have.leaving >= lot && !next.slow {
			f.move(fmt.Sprintf("%s is slow", f.home))
		}
	default:
		at := f.wantAt + f.conf.Settle + f.lot(next, f.conf.Ramp)
		if f.due(at); f.now >= at {
			f.move("it is its turn to")
		}
	}
}

// lot is when it is this forwarder's turn of all that go to or leave a planner over a span.
func (f *Follower) lot(m *member, over time.Duration) time.Duration {
	const parts = 1 << 16
	return over / parts * time.Duration(mix(keyOf(f.me.Name)+keyOf(m.Name))%parts)
}

// flee goes to another planner at once: the one that was followed is lost. Where the one that is dealt is not there
// yet, as nothing is at the beginning, another that is does for now.
func (f *Follower) flee(next *member) {
	was := f.home
	if f.home = ""; next != nil && next.counted {
		f.home = next.Name
	}
	for _, m := range f.plans {
		if f.home == "" && m.counted {
			f.home = m.Name
		}
	}
	if was != "" {
		f.do(Log{fmt.Sprintf("follows %s: %s is lost", cmp.Or(f.home, "no planner"), was)})
	}
}

func (f *Follower) move(why string) {
	f.moves++
	f.home = f.want
	f.do(Log{fmt.Sprintf("follows planner %s: %s", f.home, why)})
}

// rank puts the planners in order: the one that is followed, then those that are well, as this forwarder's hash has
// them.
func (f *Follower) rank() {
	f.by = f.by[:0]
	for _, m := range f.plans {
		if m.goneAt == 0 {
			f.by = append(f.by, m)
		}
	}
	mine := keyOf(f.me.Name)
	class := func(m *member) int {
		switch {
		case m.Name == f.home:
			return 0
		case m.linked && !m.slow:
			return 1
		}
		return 2
	}
	slices.SortFunc(f.by, func(a, b *member) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(mix(mine^keyOf(b.Name)), mix(mine^keyOf(a.Name))))
	})
	f.order = f.order[:0]
	for _, m := range f.by {
		f.order = append(f.order, m.Name)
	}
}

// tell says what is new to the others and to whoever keeps the sessions.
func (f *Follower) tell() {
	if f.spare = f.planners(f.spare[:0]); !slices.Equal(f.spare, f.names) {
		f.names = slices.Clone(f.spare)
		f.do(Planners{slices.Clone(f.spare)})
	}
	me := f.me
	if m := f.find(f.home); m != nil && m.linked {
		me.Home = f.home
	}
	if me != f.said {
		f.said = me
		f.do(Say{me})
	}
}

// ---- Which planners are slow ----

// judged is what a forwarder makes of a planner's answers.
type judged struct {
	counted  bool
	took     [samples]time.Duration
	heard    int // answers so far
	at       time.Duration
	over     time.Duration // for so long they have been too slow, before that makes it slow
	leaving  time.Duration // and since
	better   time.Duration // for so long they have been well
	slow     bool
	slowAt   time.Duration
	relapses int
}

const (
	samples    = 5 // of which the median counts: one pause makes nobody slow
	longestGap = 250 * time.Millisecond
	freshFor   = time.Second
	relapseIn  = time.Minute
	relapseMax = 5
)

func (j *judged) median() time.Duration {
	all := j.took
	some := all[:min(j.heard, samples)]
	slices.Sort(some)
	if len(some) == 0 {
		return 0
	}
	return some[len(some)/2]
}

// answered takes in how long a planner took. What counts is the time for which answers were slow, not how many were.
func (f *Follower) answered(e Answered) {
	m := f.find(e.Name)
	if m == nil || !m.linked {
		return
	}
	since := min(f.now-m.at, longestGap)
	if m.heard == 0 {
		since = 0
	}
	m.took[m.heard%samples], m.at = max(e.Took, e.Late, 0), f.now
	m.heard++
	took, bound := m.median(), f.bound(m)
	over, well := took >= bound, took < bound/2
	switch {
	case !m.slow && over:
		if m.over += since; m.over >= f.patience(f.conf.Confirm) {
			if m.relapses = min(m.relapses+1, relapseMax); m.slowAt == 0 || f.now-m.slowAt > relapseIn {
				m.relapses = 0
			}
			m.slow, m.slowAt, m.leaving, m.better, f.stale = true, f.now, 0, 0, true
			f.do(Log{fmt.Sprintf("planner %s is slow: its answers take %v", m.Name, took)})
		}
	case !m.slow && well:
		m.over = 0
	case !m.slow:
		m.over = max(0, m.over-since)
	case over:
		m.leaving += since
		m.better = 0
	case well:
		if m.better += since; m.better >= f.conf.Well<<m.relapses {
			m.slow, m.over, m.slowAt, f.stale = false, 0, f.now, true
			f.do(Log{fmt.Sprintf("planner %s is well again: its answers take %v", m.Name, took)})
		}
	}
}

// bound is what a planner's answers may take: so many times as long as those of the best of the others.
func (f *Follower) bound(m *member) time.Duration {
	best := never
	for _, o := range f.plans {
		if o != m && o.linked && o.heard >= samples/2 && f.now-o.at <= freshFor {
			best = min(best, o.median())
		}
	}
	if best == never {
		return never
	}
	return f.patience(max(f.conf.Slow, time.Duration(f.conf.Times)*best))
}
