package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// members is who follows this planner.
type members struct {
	sessions map[Session]*session
	names    map[string]*forwarder
	open     []*forwarder     // that have a session, by name
	away     []*forwarder     // that have lost theirs, in the order in which they did; may hold some that are back
	probes   map[uint64]probe // by worker: the one that is out
	turn     int              // whose is the next probe
	lesson   []byte           // what the module had learnt
	lessonAt time.Duration
	spread   int // sessions so far, to spread lessons over time
}

// probe is one that a forwarder was told to make.
type probe struct {
	f  *forwarder
	at time.Duration
}

// session is a connection.
type session struct {
	id Session
	at time.Duration
	f  *forwarder // nil: it has not said who it is
}

// forwarder is one by name. Its process may change.
type forwarder struct {
	name    string
	process uint64
	epoch   tier.Epoch // of its newest session
	s       *session   // nil: that has ended
	queries map[uint64]*head
	all     ring // these, as they came

	live      int  // open heads
	welcomed  bool // into its session
	credit    int  // told
	before    int  // the larger one until cutAt, as what was told may not have been read
	cutAt     time.Duration
	peak      float64 // of live, fading
	lessonDue time.Duration
	lostAt    time.Duration
}

func (b *Book) up(id Session) {
	if len(b.sessions) >= b.conf.Sessions || b.stopping > 0 || b.now < b.restUntil {
		b.counts.Crowded++
		b.dst = append(b.dst, Out{Kind: Close, Session: id})
		return
	}
	if b.sessions[id] == nil {
		b.sessions[id] = &session{id: id, at: b.now}
	}
}

func (b *Book) down(id Session) {
	if s := b.sessions[id]; s != nil {
		delete(b.sessions, id)
		if s.f != nil {
			b.log("forwarder %s is lost: session %d, %d queries open, %d attempts out", s.f.name, s.f.epoch, s.f.live, s.f.out())
			b.lose(s.f)
		}
	}
}

// shut ends a session from here.
func (b *Book) shut(s *session) {
	delete(b.sessions, s.id)
	b.dst = append(b.dst, Out{Kind: Close, Session: s.id})
	if s.f != nil {
		b.lose(s.f)
	}
}

func (b *Book) sessionIDs() []Session { return slices.Sorted(maps.Keys(b.sessions)) }

// lose takes in that a forwarder has no session.
func (b *Book) lose(f *forwarder) {
	b.letGo(f)
	f.s.f, f.s = nil, nil
	f.welcomed, f.credit, f.before, f.peak, f.lostAt = false, 0, 0, 0, b.now
	if i, ok := slices.BinarySearchFunc(b.open, f.name, byName); ok {
		b.open = slices.Delete(b.open, i, i+1)
	}
	b.away = append(b.away, f)
	b.dropProbes(func(p probe) bool { return p.f == f })
}

// dropProbes ends probes of which nothing will be heard any more.
func (b *Book) dropProbes(which func(p probe) bool) {
	for _, worker := range slices.Sorted(maps.Keys(b.probes)) {
		if which(b.probes[worker]) {
			delete(b.probes, worker)
			b.event(logic.Probed{Worker: worker, Result: logic.NotSent})
		}
	}
}

func byName(f *forwarder, name string) int { return cmp.Compare(f.name, name) }

// letGo closes what a forwarder has open. Who has it next is not known; what is out there may go on.
func (b *Book) letGo(f *forwarder) {
	for h := f.all.first; h != nil; {
		next := h.in[ofForwarder].next
		if h.live {
			b.event(logic.ClientGone{Job: h.id})
			b.close(h)
		}
		if h.out > 0 {
			b.expect(h)
		}
		h = next
	}
}

// out counts a forwarder's attempts that are out.
func (f *forwarder) out() (n int) {
	for h := f.all.first; h != nil; h = h.in[ofForwarder].next {
		n += h.out
	}
	return n
}

// hear takes what a forwarder says.
func (b *Book) hear(id Session, m *tier.Message) {
	s := b.sessions[id]
	if s == nil {
		b.counts.Strays++ // said before it read that it is closed
		return
	}
	if m.Kind == tier.Hello {
		b.hello(s, m)
		return
	}
	f := s.f
	if f == nil || m.Epoch != f.epoch {
		b.counts.Strays++
		return
	}
	switch m.Kind {
	case tier.Head:
		b.offered(f, m)
	case tier.Ended:
		b.ended(f, m)
	case tier.Started:
		b.started(f, m)
	case tier.Progress:
		b.progressed(f, m)
	case tier.Over:
		b.over(f, m)
	case tier.Probed:
		if b.probes[m.Worker].f == f {
			delete(b.probes, m.Worker)
			b.event(logic.Probed{Worker: m.Worker, Result: known(m.Result)})
		}
	case tier.Asked:
		b.asked = append(b.asked, question{s.id, f.epoch, m.Number})
	case tier.Word:
		if m.Word != nil {
			b.word(*m.Word, f, nil)
		}
	default:
		b.counts.Bad++
	}
}

// hello opens a session. A newer one of the same forwarder ends the one before; one that is not newer is of a
// connection that was overtaken on its way, or of another forwarder by the same name, and is turned away.
func (b *Book) hello(s *session, m *tier.Message) {
	switch {
	case m.Version>>8 != b.conf.Version>>8:
		b.log("forwarder %q is turned away: it speaks version %d.%d, this is %d.%d", m.Name, m.Version>>8, m.Version&0xff,
			b.conf.Version>>8, b.conf.Version&0xff)
		b.say(s.id, b.welcome(m.Epoch, 0))
		b.shut(s)
		return
	case m.Name == "" || len(m.Name) > mostName || m.Epoch == 0:
		b.counts.Bad++
		b.shut(s)
		return
	case b.stopping > 0:
		b.say(s.id, tier.Message{Kind: tier.Bye, Epoch: m.Epoch})
		b.shut(s)
		return
	}
	f := b.names[m.Name]
	if f != nil && m.Epoch <= f.epoch || s.f != nil && s.f.name != m.Name {
		b.log("forwarder %q is turned away: session %d is not its newest", m.Name, m.Epoch)
		b.counts.Stale++
		b.shut(s)
		return
	}
	if f == nil {
		f = &forwarder{name: m.Name, process: m.Process, queries: map[uint64]*head{}}
		b.names[m.Name] = f
	}
	if old := f.s; old != nil {
		b.log("forwarder %s has a newer session: %d queries open in the one before, %d attempts out", f.name, f.live, f.out())
		b.lose(f)
		if old != s {
			b.shut(old)
		}
	}
	if f.process != m.Process {
		b.orphan(f)
		f.process = m.Process
	}
	f.epoch, f.s, s.f = m.Epoch, s, f
	at, _ := slices.BinarySearchFunc(b.open, f.name, byName)
	b.open = slices.Insert(b.open, at, f)
	b.allot(true)
	f.lessonDue = b.now + b.conf.LessonEvery*time.Duration(b.spread%16)/16
	b.spread++
	b.sayTo(f, b.welcome(f.epoch, f.credit))
	f.welcomed = true
	b.tellShut(f)
	b.log("forwarder %s: session %d, credit %d", f.name, f.epoch, f.credit)
}

func (b *Book) welcome(epoch tier.Epoch, credit int) tier.Message {
	return tier.Message{Kind: tier.Welcome, Epoch: epoch, Name: b.conf.Name, Process: b.conf.Process,
		Version: b.conf.Version, Credit: credit}
}

// orphan takes in that a forwarder's process is another one: the queries of the one before have no numbers any more,
// and nobody will say what becomes of their attempts.
func (b *Book) orphan(f *forwarder) {
	for h := f.all.first; h != nil; {
		next := h.in[ofForwarder].next
		f.all.remove(h, ofForwarder)
		h.f = nil
		h = next
	}
	clear(f.queries)
}

// tidy forgets sessions that do not say who they are, and forwarders that stay away.
func (b *Book) tidy() {
	if b.ticks%tidyEvery == 0 {
		for _, id := range b.sessionIDs() {
			if s := b.sessions[id]; s.f == nil && b.now-s.at >= greetWithin {
				b.counts.Bad++
				b.shut(s)
			}
		}
		b.dropProbes(func(p probe) bool { return b.now-p.at >= probeWithin })
	}
	d := &b.away
	for len(*d) > 0 && (len(*d) > b.conf.Sessions || b.now-(*d)[0].lostAt >= rememberFor || (*d)[0].s != nil) {
		f := (*d)[0]
		if (*d)[0] = nil; f.s == nil && b.names[f.name] == f && (b.now-f.lostAt >= rememberFor || len(*d) > b.conf.Sessions) {
			b.orphan(f)
			delete(b.names, f.name)
		}
		*d = (*d)[1:]
	}
}

// ---- Credit ----

// allowed tells whether a forwarder may have one more head open. A credit that was cut holds in full a moment later, as
// heads may have been on their way.
func (b *Book) allowed(f *forwarder) bool {
	if b.now < f.cutAt {
		return f.live < max(f.credit, f.before)
	}
	return f.live < f.credit
}

func (b *Book) decayNeeds() {
	for _, f := range b.open {
		f.peak = max(float64(f.live), f.peak*0.95)
	}
}

// allot shares the credits by what forwarders have had open of late. All the credits told come to Config.Heads at most:
// what is taken from some is told before it is given to others. Small changes are left alone, unless whole.
func (b *Book) allot(whole bool) {
	n := len(b.open)
	if n == 0 {
		return
	}
	all, least := b.conf.Heads, min(b.conf.Least, b.conf.Heads/n)
	want := func(f *forwarder) int { return min(max(int(2*f.peak)+b.conf.Least, least), max(b.conf.Most, least)) }
	sum := 0
	for _, f := range b.open {
		sum += want(f)
	}
	share := func(f *forwarder) int {
		if sum <= all {
			return min(want(f)+(all-sum)/n, max(b.conf.Most, least))
		}
		return least + int(float64(want(f)-least)*float64(all-n*least)/float64(sum-n*least))
	}
	left := all
	for _, f := range b.open {
		if s := share(f); s < f.credit && (whole || s < f.credit*3/4) {
			if b.now >= f.cutAt {
				f.before = 0
			}
			f.before, f.cutAt = max(f.before, f.credit), b.now+time.Second
			b.credit(f, s)
		}
		left -= f.credit
	}
	for _, f := range b.open {
		s := share(f)
		if more := min(s-f.credit, left); more > 0 && (whole || s*4 >= f.credit*5 || f.live*4 >= f.credit*3) {
			left -= more
			b.credit(f, f.credit+more)
		}
	}
}

// credit tells a forwarder's credit, unless its Welcome will.
func (b *Book) credit(f *forwarder, credit int) {
	if f.credit = credit; f.welcomed {
		b.sayTo(f, tier.Message{Kind: tier.Credit, Credit: credit})
	}
}

// ---- Lessons ----

// teach tells forwarders what the module has learnt, each at its turn.
func (b *Book) teach() {
	m, ok := b.module.(teacher)
	if !ok {
		return
	}
	for _, f := range b.open {
		if b.now < f.lessonDue {
			continue
		}
		if b.lesson == nil || b.now-b.lessonAt >= b.conf.LessonEvery/2 {
			b.lesson, b.lessonAt = m.Lesson(b.conf.LessonBytes, nil), b.now
		}
		f.lessonDue = b.now + b.conf.LessonEvery
		b.sayTo(f, tier.Message{Kind: tier.Snapshot, Age: b.now - b.lessonAt, Bytes: b.lesson})
	}
}

// ---- Probes ----

// probe has a forwarder ask a worker node for a sign of life, each in its turn.
func (b *Book) probe(worker uint64) {
	if len(b.open) == 0 || b.probes[worker].f != nil {
		b.event(logic.Probed{Worker: worker, Result: logic.NotSent})
		return
	}
	b.turn++
	f := b.open[b.turn%len(b.open)]
	b.probes[worker] = probe{f, b.now}
	b.sayTo(f, tier.Message{Kind: tier.Probe, Worker: worker})
}
