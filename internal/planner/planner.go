// Package planner is a planner's book: who follows it, which queries they have open with it, what was sent where, and
// what of all that is certain. One decision module plans for all forwarders at once, so that rooms, cold budgets and
// quotas are counted once. The book is free of I/O and clocks: events in, messages out, and the same events give the
// same messages.
//
// # What may be relied on
//
//   - A head that is open here is with one session of one forwarder. When that ends it is closed, and what its attempts
//     may still be doing at worker nodes is counted until they must be over, or until the forwarder says what became of
//     them. The forwarder's word wins wherever the two differ.
//   - Orders of a query are numbered on from the attempts that its head told. No number is given twice in a session.
//   - A query is ordered to be moved only until two such orders were followed in its life, and for want of room once.
//   - All that forwarders may have open here, by the credits told, is at most Config.Heads. A session that ends gives
//     its part back at once.
//   - What others say is checked and bounded: what makes no sense is counted and has no effect, or ends its session.
//   - A panic of the module costs no session. Heads that bring it about are given back.
//
// # How it is driven
//
// Step takes what has happened and appends what is to be done to dst. Nothing is kept of what In points to, but all
// of it is to hold until Step returns. Messages of one session are to be carried in their order, and a connection is
// closed after what was said on it before.
package planner

import (
	"cmp"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// Module makes the decisions. One that has Lesson, Room or Overlong as logic.Dispatcher has them is asked for these.
type Module interface {
	Step(now time.Duration, events []logic.Event, dst []logic.Action) []logic.Action
}

type (
	teacher interface {
		Lesson(most int, b []byte) []byte
	}
	roomy    interface{ Room() float64 }
	expecter interface {
		Overlong(job uint64, attempt int) (left time.Duration, ok bool)
	}
)

// Config is how a planner works. Zero counts and spans stand for those of Defaults.
type Config struct {
	Name     string
	Process  uint64 // when this process started, Unix time in ns
	Version  int    // told in Welcome and Greet; whose version differs by more than its last eight bits is turned away
	Settings logic.Settings
	Start    func() Module // makes a module that knows nothing, for one dispatcher alone

	Heads       int           // that may be open in all
	Least, Most int           // of these, what each forwarder may have at least, while there is enough, and at most
	Sessions    int           // of forwarders
	LoadEvery   time.Duration // peers are told how this planner stands
	LessonEvery time.Duration // and forwarders what its module has learnt
	LessonBytes int           // that this may come to
	StopWithin  time.Duration // a planner that stops waits so long for forwarders to leave
}

// Defaults are what holds where nothing else is said.
func Defaults() Config {
	return Config{Heads: 20_000, Least: 32, Most: 4096, Sessions: 1024, LoadEvery: 250 * time.Millisecond,
		LessonEvery: 5 * time.Second, LessonBytes: 48 << 10, StopWithin: 2 * time.Second}
}

const (
	tickEvery    = 50 * time.Millisecond
	creditEvery  = 2  // ticks
	tidyEvery    = 20 // ticks
	greetWithin  = 5 * time.Second
	probeWithin  = 5 * time.Second
	rememberFor  = 10 * time.Second // a forwarder without a session, for its epochs
	tombFor      = time.Minute      // a worker node that is gone, for its last word
	mostTombs    = 4096
	mostPeers    = 64
	mostAttempts = 64 // of a query
	mostName     = 255
	longest      = time.Hour // of any span that a forwarder tells
	leastGrace   = time.Second
	lateGrace    = 5 * time.Second // an end that is due by a deadline is awaited for so long beyond it
	resumedFrom  = 10 * time.Millisecond
	mostMoves    = 2
	movePart     = 4 // a head is held for this part of its aim before it goes to where there is room
	moveLeast    = 50 * time.Millisecond
	moveMargin   = 1.0 // slots that must be free there beyond what it needs
	moveScan     = 64  // heads looked at in a tick
	loadFresh    = time.Second
	sayEvery     = time.Second
	rounds       = 8 // of the module in a step
	strikesMost  = 2
	suspectsMost = 8
	culpritsMost = 8
	panicsMost   = 5 // within panicSpan: then all heads are let go
	panicSpan    = 10 * time.Second
	restAfter    = time.Second
	clocksDiffer = time.Minute // a start later than this from now is no start
)

// Session is a connection of a forwarder, by a number of the driver's that is never used twice.
type Session uint64

// InKind is the kind of what has happened.
type InKind uint8

// Kinds.
const (
	SessionUp     InKind = iota + 1 // a forwarder has connected: Session
	SessionDown                     // its connection has ended, whoever ended it: Session
	FromForwarder                   // Session, Msg
	PeerUp                          // there is a connection to another planner: Peer
	PeerDown                        // there is none any more: Peer
	FromPeer                        // Peer, Msg
	Hosts                           // news of the host group: List, with its generation
	NewSource                       // it comes from elsewhere from now on, and generations count anew
	Part                            // which worker nodes are whose: Owner. Until that is told, all are this planner's
	Peers                           // the other planners that are alive: Names
	Timer                           // the time that was asked for is there
	Stop                            // the planner is to stop
)

// In is one thing that has happened. Fields that its kind does not name are of no matter.
type In struct {
	Kind    InKind
	Session Session
	Peer    string
	Msg     *tier.Message
	List    logic.WorkerList
	Owner   func(w *logic.Worker) string // a planner's name; nil: all are this one's. It may change with another Part only
	Names   []string
}

// OutKind is the kind of what is to be done.
type OutKind uint8

// Kinds.
const (
	Say      OutKind = iota + 1 // to a forwarder: Session, Msg
	SayPeer                     // to another planner: Peer, Msg; of no matter where there is no connection
	Close                       // the connection of Session, after what was said there
	SetTimer                    // Timer is wanted after After at the latest; an earlier one that was asked for holds
	Watch                       // follow the host group from Generation on
	Log                         // a line for the operators: Text
	Done                        // the planner has stopped; nothing follows
)

// Out is one thing to be done. Msg.Bytes may be shared by several, and is not to be changed.
type Out struct {
	Kind       OutKind
	Session    Session
	Peer       string
	Msg        tier.Message
	After      time.Duration
	Generation int64
	Text       string
}

// Book is one planner's. It is used by one goroutine.
type Book struct {
	conf   Config
	module Module

	now, armed time.Duration
	dst        []Out
	begun      bool
	stopping   time.Duration // when it waits no longer; 0: it has not been told to stop
	done       bool
	late       time.Duration // for its own timers, of late
	tickAt     time.Duration
	ticks      int

	events   []logic.Event // that the module has not heard of
	told     []logic.Event
	actions  []logic.Action
	moduleAt time.Duration // the module's timer; 0: none
	asked    []question    // to be answered once the module has taken in what came before

	heads
	fleet
	members
	peers
	trouble
	counts
}

type question struct {
	session Session
	epoch   tier.Epoch
	number  uint64
}

// New returns a planner's book that knows nobody.
func New(conf Config) *Book {
	d := Defaults()
	conf.Heads, conf.Sessions = cmp.Or(conf.Heads, d.Heads), cmp.Or(conf.Sessions, d.Sessions)
	conf.Least, conf.Most = cmp.Or(conf.Least, d.Least), cmp.Or(conf.Most, d.Most)
	conf.LoadEvery, conf.LessonEvery = cmp.Or(conf.LoadEvery, d.LoadEvery), cmp.Or(conf.LessonEvery, d.LessonEvery)
	conf.LessonBytes, conf.StopWithin = cmp.Or(conf.LessonBytes, d.LessonBytes), cmp.Or(conf.StopWithin, d.StopWithin)
	b := &Book{conf: conf, module: conf.Start()}
	b.heads = heads{jobs: map[uint64]*head{}}
	b.fleet = fleet{hosts: map[uint64]*host{}, seatOf: map[seatKey]*seat{},
		classes: make([]verdict, len(conf.Settings.Classes))}
	b.members = members{sessions: map[Session]*session{}, names: map[string]*forwarder{}, probes: map[uint64]probe{}}
	b.peerEpoch = tier.Epoch(conf.Process)
	return b
}

// Step takes in what has happened by now, in order, and appends what is to be done.
func (b *Book) Step(now time.Duration, ins []In, dst []Out) []Out {
	b.now, b.dst = max(now, b.now), dst
	if !b.begun {
		b.begun, b.tickAt = true, b.now
	}
	b.beLate()
	for i := range ins {
		b.take(&ins[i])
	}
	b.tick()
	b.decide()
	for _, q := range b.asked {
		if s := b.sessions[q.session]; s != nil && s.f != nil && s.f.epoch == q.epoch {
			b.sayTo(s.f, tier.Message{Kind: tier.Here, Number: q.number, Late: b.late})
		}
	}
	b.asked = b.asked[:0]
	b.arm()
	dst, b.dst = b.dst, nil
	return dst
}

// beLate measures how late this planner is for its own timer.
func (b *Book) beLate() {
	if b.armed > 0 && b.now >= b.armed {
		b.late = max(b.late, b.now-b.armed)
		b.armed = 0
	}
}

func (b *Book) take(in *In) {
	if b.done {
		return
	}
	switch in.Kind {
	case SessionUp:
		b.up(in.Session)
	case SessionDown:
		b.down(in.Session)
	case FromForwarder:
		if in.Msg != nil {
			b.hear(in.Session, in.Msg)
		}
	case PeerUp:
		b.peerUp(in.Peer)
	case PeerDown:
		b.peerDown(in.Peer)
	case FromPeer:
		if in.Msg != nil {
			b.hearPeer(in.Peer, in.Msg)
		}
	case Hosts:
		b.list(in.List)
	case NewSource:
		b.newSource()
	case Part:
		b.part(in.Owner)
	case Peers:
		b.alive(in.Names)
	case Stop:
		b.stop()
	}
}

// decide has the module decide, and gives its orders. What these bring about at once it hears of in another round.
func (b *Book) decide() {
	for n := 0; n < rounds && b.stopping == 0 && b.now >= b.restUntil; n++ {
		b.flushNews()
		if b.moduleAt > 0 && b.moduleAt <= b.now {
			b.moduleAt = 0
			b.event(logic.TimerFired{})
		}
		if len(b.events) == 0 {
			return
		}
		b.events, b.told = b.told[:0], b.events
		if actions, ok := b.moduleStep(b.told); ok {
			b.act(actions)
		} else {
			b.anew()
		}
		clear(b.told)
		b.told = b.told[:0]
	}
}

// event is for the module to hear, unless it decides nothing any more.
func (b *Book) event(e logic.Event) {
	if b.stopping == 0 {
		b.events = append(b.events, e)
	}
}

// arm asks for a timer at the next thing that is due.
func (b *Book) arm() {
	if b.done {
		return
	}
	next := b.tickAt
	if b.moduleAt > 0 {
		next = min(next, b.moduleAt)
	}
	if len(b.events) > 0 {
		next = b.restUntil
	}
	if next = max(next, b.now+1); b.armed == 0 || next < b.armed {
		b.armed = next
		b.dst = append(b.dst, Out{Kind: SetTimer, After: next - b.now})
	}
}

// tick does what is due by time, every so often.
func (b *Book) tick() {
	if b.now < b.tickAt || b.done {
		return
	}
	b.tickAt = b.now + tickEvery
	b.ticks++
	if b.stopping > 0 {
		b.stopTick()
		return
	}
	b.tidy()
	b.thaw()
	b.lapse()
	if b.ticks%creditEvery == 0 {
		b.decayNeeds()
		b.allot(false)
	}
	b.teach()
	b.tellLoad()
	b.moveOut()
	b.summary()
	b.late -= b.late / 8 // half of it lasts for a quarter of a second
}

// stop has every forwarder leave. What was ordered stands; what they ask for from here on is not looked at.
func (b *Book) stop() {
	if b.stopping > 0 {
		return
	}
	b.stopping = b.now + b.conf.StopWithin
	b.log("stopping: %d forwarders are told to offer their %d queries elsewhere", len(b.open), b.live)
	for _, f := range b.open {
		b.sayTo(f, tier.Message{Kind: tier.Bye})
	}
	for _, f := range b.open {
		b.letGo(f)
	}
	b.events, b.moduleAt = b.events[:0], 0
	b.stopTick()
}

func (b *Book) stopTick() {
	if len(b.sessions) == 0 || b.now >= b.stopping {
		for _, id := range b.sessionIDs() {
			b.dst = append(b.dst, Out{Kind: Close, Session: id})
		}
		b.done = true
		b.log("stopped, with %d sessions left", len(b.sessions))
		b.dst = append(b.dst, Out{Kind: Done})
	}
}

func (b *Book) say(s Session, m tier.Message) {
	b.dst = append(b.dst, Out{Kind: Say, Session: s, Msg: m})
}

// sayTo says something to a forwarder that has a session.
func (b *Book) sayTo(f *forwarder, m tier.Message) {
	if f.s != nil {
		m.Epoch = f.epoch
		b.say(f.s.id, m)
	}
}
