// Package follow decides for a forwarder: with which planner each query is, what of a planner's orders is carried out,
// and what is done when no planner is there. It stands where the decision module stands in a scheduler that is alone
// (ledger.Module): events in, actions out, no I/O, no clock, its chance from one seed.
//
// # What may be relied on
//
//   - An order is carried out if package guard allows it, and only then. What is refused is told to the planner.
//   - A query is with one planner at a time, or with the forwarder's own module, or waits here. Who has it answers for
//     it; the forwarder itself does so at the query's deadline, and before that where nobody could take it in time.
//   - A query that is taken from a planner while their session lives is not offered in that session again: what the
//     planner ordered before it read that is void, and stays so.
//   - Each attempt that a planner has ordered ends in one Ended, in the session in which it was ordered, while the
//     query is that planner's.
//   - All tables are bounded by what the ledger holds, the host group, and Config.
//
// # How it is driven
//
// Hear, Session, Planners and Members only take note. The next Step takes in the ledger's events, then what was noted,
// in order; Pending tells that there is something to step for. Out has what is to be told to planners after a Step.
package follow

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"valvecove/internal/due"
	"valvecove/internal/guard"
	"valvecove/internal/tier"
	"valvecove/logic"
)

// Module makes the decisions while no planner is there.
type Module interface {
	Step(now time.Duration, events []logic.Event, dst []logic.Action) []logic.Action
}

// Chooser says which planners are the better ones. It hears what the forwarder sees of them. *membership.Follower is
// one.
type Chooser interface {
	// Known tells of all planners that the forwarder knows, in order.
	Known(now time.Duration, planners []string)
	// Session tells that a planner has taken the forwarder in, or is lost to it: gone, frozen or about to stop.
	Session(now time.Duration, planner string, up bool)
	// Answered tells how long a planner took to answer, and how late it says that it is itself.
	Answered(now time.Duration, planner string, took, late time.Duration)
	// Order appends planners to dst, the best one first: new queries go there.
	Order(now time.Duration, dst []string) []string
	// Next is when Order may change by itself; 0: it does not.
	Next() time.Duration
}

// Config is how a forwarder works. Zero spans and counts stand for those of Defaults.
type Config struct {
	Name    string
	Process uint64 // when this process started, Unix time in ns
	Version int    // told in Hello; a planner whose version differs by more than its last eight bits is not used
	Seed    uint64
	After   tier.Epoch // sessions are numbered on from here, and from Process; see Last

	Alone        time.Duration // without a planner for so long, it decides by itself
	Settle       time.Duration // and with one for so long, no more
	AskEvery     time.Duration // planners are asked whether they are there
	Doubt        time.Duration // one that has not answered for so long gets no new queries while there are others
	Frozen       time.Duration // and after so long all that it has is taken from it
	Silence      time.Duration // without a word about a query for so long, a planner may have lost it
	MostWaiting  int           // queries for which no planner has credit
	MostSnapshot int           // bytes
}

// Defaults are what holds where nothing else is said.
func Defaults() Config {
	return Config{Alone: time.Second, Settle: 250 * time.Millisecond, AskEvery: 100 * time.Millisecond,
		Doubt: 150 * time.Millisecond, Frozen: 500 * time.Millisecond, Silence: time.Second, MostWaiting: 1024,
		MostSnapshot: 1 << 20}
}

const (
	lateSelf     = 20 * time.Millisecond // so late for its own timer a forwarder says nothing of planners
	askSoon      = 10 * time.Millisecond // after heads that no planner has confirmed
	paceMoves    = 20 * time.Millisecond // a query that is handed on and on waits so long, and longer each time
	mostMoves    = 2                     // that need no such wait
	paceBack     = 5 * time.Millisecond  // between two lots that go back to planners
	backLot      = 32
	skipMost     = 12 // waiting queries that find nobody which are looked past
	strikesMost  = 2  // planners that a query may bring down
	moveShare    = 0.05
	moveBurst    = 10.0
	mostTaken    = 4
	mostPlanners = 64
	mostInputs   = 1 << 16
	mostProbes   = 4096
	mostWords    = 1024 // told at the beginning of a session
	ownRounds    = 4    // of one step
	sayEvery     = time.Second
)

// Envelope is a message to a planner.
type Envelope struct {
	To string
	M  tier.Message
}

// Follower is one forwarder's. It is used by one goroutine.
type Follower struct {
	conf   Config
	set    logic.Settings
	choose Chooser
	guard  *guard.Guard
	rng    *rand.Rand

	now    time.Duration
	begun  bool
	dst    []logic.Action
	armed  time.Duration // when the ledger's timer is due; 0: it is not set
	lateAt time.Duration // when this forwarder was last late itself

	ins   []input
	upset bool // among them are some by which planners come and go
	out   []Envelope
	heads headStore
	fates []tier.Past

	planners []*planner // by name
	order    []*planner // those that have a session, the best one first
	names    []string
	stale    bool // order is to be found anew
	epoch    tier.Epoch
	known    int  // planners that the forwarder was told of
	had      bool // there has been one

	queries   map[uint64]*query
	spare     []*query
	alarms    due.Queue[*query]
	waiting   due.Queue[*turn] // for credit, or for a planner at all
	suspects  due.Queue[*turn] // the same, of those that may have brought a planner down
	back      due.Queue[*turn] // to go back from the own module to planners
	aside     []*query
	wakeAt    time.Duration // when those are looked at again for reasons of their own; 0: not
	moveSaved float64       // queries that may be taken from planners that answer

	probes map[uint64][]tier.Epoch // by worker: who has asked for those that are out
	probed int

	watch
	alone
	list
	says
	figures Figures
}

// input is what was noted for the next step.
type input struct {
	what    noted
	at      time.Duration
	planner string
	up      bool
	m       tier.Message
	word    tier.WordOf
	names   []string
}

type noted uint8

const (
	heard noted = iota
	session
	known
)

// New returns a forwarder that knows nobody. own makes a module that knows nothing, for when no planner is there.
func New(set logic.Settings, conf Config, choose Chooser, own func() Module) *Follower {
	d := Defaults()
	conf.Alone, conf.Settle = cmp.Or(conf.Alone, d.Alone), cmp.Or(conf.Settle, d.Settle)
	conf.AskEvery, conf.Doubt = cmp.Or(conf.AskEvery, d.AskEvery), cmp.Or(conf.Doubt, d.Doubt)
	conf.Frozen, conf.Silence = cmp.Or(conf.Frozen, d.Frozen), cmp.Or(conf.Silence, d.Silence)
	conf.MostWaiting, conf.MostSnapshot = cmp.Or(conf.MostWaiting, d.MostWaiting), cmp.Or(conf.MostSnapshot,
		d.MostSnapshot)
	f := &Follower{conf: conf, set: set, choose: choose, guard: guard.New(set),
		rng: rand.New(rand.NewPCG(conf.Seed, 0)),
		epoch: max(tier.Epoch(conf.Process),
			conf.After), queries: map[uint64]*query{}, probes: map[uint64][]tier.Epoch{}, moveSaved: moveBurst}
	f.alone.make, f.list.workers = own, map[uint64]logic.Worker{}
	return f
}

// Last is the epoch of the newest session. A follower that takes the place of one that has panicked goes on from there,
// and is told of all connections anew.
func (f *Follower) Last() tier.Epoch { return f.epoch }

// ---- What is noted ----

// Hear takes a message of a planner, and keeps nothing that it points to.
func (f *Follower) Hear(now time.Duration, planner string, m *tier.Message) {
	if len(f.ins) >= mostInputs {
		// Nobody says so much between two turns. The session has missed something now, and is worth nothing.
		f.figures.Floods++
		if p := f.find(planner); p != nil {
			p.flooded = true
		}
		return
	}
	in := input{what: heard, at: now, planner: planner, m: *m}
	in.m.Head, in.m.Load, in.m.Word, in.m.Bytes = nil, nil, nil, nil
	switch m.Kind {
	case tier.Word:
		if m.Word == nil {
			return
		}
		in.word = *m.Word
	case tier.Bye:
		f.upset = true
	case tier.Snapshot:
		f.learn(now, planner, m)
		return
	}
	f.ins = append(f.ins, in)
}

// Session tells that a connection to a planner is there, or was lost.
func (f *Follower) Session(now time.Duration, planner string, up bool) {
	f.ins = append(f.ins, input{what: session, at: now, planner: planner, up: up})
	f.upset = true
}

// Planners tells who is a planner, as far as the forwarder knows. It is to have a connection to each of them.
func (f *Follower) Planners(now time.Duration, names []string) {
	names = slices.Clone(names[:min(len(names), mostPlanners)])
	slices.Sort(names)
	f.ins = append(f.ins, input{what: known, at: now, names: slices.Compact(names)})
}

// Pending tells that the next Step has something to take in, whatever the ledger has.
func (f *Follower) Pending() bool { return len(f.ins) > 0 }

// Out is what the last Step wants told, in order. It holds until the next one.
func (f *Follower) Out() []Envelope { return f.out }

// ---- A step ----

// Step takes in what has happened, and returns dst with the actions that it calls for appended.
func (f *Follower) Step(now time.Duration, events []logic.Event, dst []logic.Action) []logic.Action {
	f.now, f.dst = max(now, f.now), dst
	clear(f.out)
	f.out = f.out[:0]
	f.heads.reset()
	if !f.begun {
		f.begun, f.lostAt = true, f.now
	}
	f.beLate()
	for _, e := range events {
		f.happened(e)
	}
	f.takeIn()
	f.tend()
	f.place() // before those are given up that nobody takes in time
	for f.alarms.Len() > 0 && f.alarms.First().At <= f.now {
		f.look(f.alarms.First())
	}
	f.keepWatch()
	f.place()
	f.runOwn()
	f.ask()
	f.say()
	f.arm()
	dst, f.dst = f.dst, nil
	return dst
}

func (f *Follower) do(a logic.Action) { f.dst = append(f.dst, a) }

// beLate finds out whether this forwarder was late itself. What planners have said meanwhile is yet to be read: they
// have their time from now on.
func (f *Follower) beLate() {
	if f.armed == 0 || f.now < f.armed {
		return
	}
	if f.now-f.armed > lateSelf {
		f.lateAt = f.now
		for _, p := range f.planners {
			if p.askedAt > 0 {
				p.askedAt, p.excused = f.now, true
			}
		}
	}
	f.armed = 0
}

// arm asks for a timer for what is due next.
func (f *Follower) arm() {
	next := time.Duration(1<<63 - 1)
	at := func(t time.Duration) {
		if t > 0 && t < next {
			next = t
		}
	}
	if f.alarms.Len() > 0 {
		at(f.alarms.First().At)
	}
	for _, p := range f.planners {
		at(f.nextOf(p))
	}
	at(f.wakeAt)
	if t := f.choose.Next(); t > f.now {
		at(t)
	}
	at(f.aloneNext())
	at(f.watchNext())
	if next = max(next, f.now+1); next < 1<<63-1 && (f.armed == 0 || next < f.armed) {
		f.armed = next
		f.do(logic.SetTimer{After: next - f.now})
	}
}

// takeIn goes through what was noted.
func (f *Follower) takeIn() {
	for i := range f.ins {
		in := &f.ins[i]
		switch in.what {
		case heard:
			f.hear(in)
		case session:
			if in.up {
				f.greet(f.meet(in.planner))
			} else if p := f.find(in.planner); p != nil {
				f.lose(p)
				f.part(p)
			}
		case known:
			f.know(in)
		}
	}
	clear(f.ins)
	f.ins, f.upset = f.ins[:0], false
}
