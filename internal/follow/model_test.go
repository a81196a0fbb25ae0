package follow

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/internal/ledger"
	"valvecove/internal/tier"
	"valvecove/logic"
)

const ms = time.Millisecond

// temper is how a planner of a random play behaves.
type temper struct {
	wrong   int  // of a hundred orders, so many are wrong
	stale   bool // frozen, it says all that it had thought of before it reads on
	liar    bool // it says things about worker nodes that are not so
	forgets bool // it loses some heads
}

// world is a forwarder among planners, worker nodes and clients that are drawn at random, with a referee that knows the
// rules from the outside: by what is carried, ended and answered.
type world struct {
	*rig
	t         *testing.T
	rng       *rand.Rand
	set       logic.Settings
	over      bool // no more is to happen
	nodes     []ledger.Host
	gen       int64
	list      map[uint64]ledger.Host // as the forwarder was told
	words     map[uint64]tier.WordOf // the newest that it heard
	wordAt    map[uint64]time.Duration
	byCall    map[string]*judged
	byID      map[uint64]*judged
	ids       uint64
	plans     []*seat
	every     time.Duration       // a query comes, at most
	leastLeft time.Duration       // of a query
	changed   func(h ledger.Host) // at a worker node
	calm      bool                // worker nodes do what they are told, and stay
	heads     []Envelope          // of this step
	sends     int
	stats     map[string]int
	faults    []string
}

// judged is a query as the referee knows it.
type judged struct {
	*asker
	class    *logic.Class
	deadline time.Duration
	gone     bool
	tries    []*judgedTry
	with     tier.Epoch // the session that it was offered in last; 0: none
}

type judgedTry struct {
	a          *ledger.Attempt
	worker     uint64
	cell, zone string
	sent       time.Duration
	ended      bool
	never      bool // it is proven that it did not run
	recalled   bool // its query was over before its last byte was written
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now-rigStart)+fmt.Sprintf(format, args...))
}

// newWorld is one of nodes and clients, without planners.
func newWorld(t *testing.T, seed uint64, choose Chooser) *world {
	rng := rand.New(rand.NewPCG(seed, 21))
	w := &world{t: t, rng: rng, list: map[uint64]ledger.Host{}, words: map[uint64]tier.WordOf{},
		wordAt: map[uint64]time.Duration{}, byCall: map[string]*judged{}, byID: map[uint64]*judged{},
		stats: map[string]int{}, every: 25 * ms}
	w.set = logic.Settings{Replicas: 1, TryLimit: 1 + rng.IntN(4), SecondCopies: rng.IntN(2) == 0,
		Cancelling: rng.IntN(2) == 0, Probes: rng.IntN(2) == 0, TellsStart: true, MaxRetryAfter: time.Second,
		ConnectTimeout: 50 * ms, AskEvery: 4 * time.Second, MustSubscribe: rng.IntN(2) == 0}
	for range 1 + rng.IntN(4) {
		c := logic.Class{Aim: w.ms(50, 500), Stretch: 1, GiveUp: 2 * time.Second, Worth: 1,
			Effect: logic.Effect(rng.IntN(3)), Group: logic.Group(rng.IntN(3)), Window: w.ms(100, 1000)}
		if rng.IntN(4) == 0 {
			c.Kinds = []int{rng.IntN(3)}
		}
		w.set.Classes = append(w.set.Classes, c)
	}
	conf := Config{Seed: seed, MostWaiting: 4 + rng.IntN(40), Alone: w.ms(50, 800)}
	w.rig = newRig(w.set, conf, choose, func() Module { return logic.New(w.set, seed) })
	for n := range 4 + rng.IntN(5) {
		w.nodes = append(w.nodes, ledger.Host{ID: "w" + strconv.Itoa(n), Addr: "a", State: "up", Cell: n % 2,
			Zone: "z" + strconv.Itoa(n%3), Kind: "k" + strconv.Itoa(n%3),
			StartedMs: rigStart.Milliseconds() - 3600000})
	}
	w.carry, w.giveUp, w.answer, w.tell = w.carried, w.gaveUp, w.answered, w.said
	w.probe = func(worker uint64) { w.after(w.ms(0, 20), func() { w.l.Probed(worker, nil) }) }
	w.free, w.stepped = func(uint64) {}, w.check
	w.watched = func(int64) {
		w.after(w.ms(0, 30), func() {
			if w.rng.IntN(4) == 0 && !w.calm {
				w.l.HostsLost()
			} else {
				w.tellList(true)
			}
		})
	}
	return w
}

// open begins a play.
func (w *world) open() {
	w.begin(ledger.HostGroup{})
	w.tellList(true)
	names := []string{}
	for _, p := range w.plans {
		names = append(names, p.name)
	}
	w.f.Planners(w.now, names)
	w.arrivals()
	if !w.calm {
		w.changes()
	}
}

// seat is a planner as the world sees it: a connection, and what the forwarder was told on it. Who sits there reads.
type seat struct {
	w    *world
	name string
	read func(m tier.Message)

	conn       int                     // counts connections; what belongs to another one is lost
	up         bool                    // there is one
	session    tier.Epoch              // as the forwarder has it; 0: none, or it stops
	greeted    tier.Epoch              // the newest on this connection
	welcomed   bool                    // and it was taken in
	mostCredit int                     // that it was told
	ends       map[uint64]map[int]bool // attempts whose end was told, by query, since its head
	frozen     bool
	inbox      []tier.Message // not read, being frozen
}

func (p *seat) connect() {
	p.conn++
	p.up, p.ends, p.inbox = true, map[uint64]map[int]bool{}, nil
	p.w.f.Session(p.w.now, p.name, true)
}

func (p *seat) down() {
	if !p.up {
		return
	}
	p.up, p.welcomed, p.greeted = false, false, 0
	p.conn++
	p.w.ends(p)
	p.w.f.Session(p.w.now, p.name, false)
}

const way = 500 * time.Microsecond

// gets is a message that leaves the forwarder for it.
func (p *seat) gets(m tier.Message) {
	if m.Kind == tier.Hello {
		p.session, p.greeted, p.welcomed, p.mostCredit = m.Epoch, m.Epoch, false, 0
	}
	conn := p.conn
	p.w.after(way, func() {
		switch {
		case p.conn != conn:
		case p.frozen:
			p.inbox = append(p.inbox, m)
		default:
			p.read(m)
		}
	})
}

// send is one of its own.
func (p *seat) send(m tier.Message) {
	conn := p.conn
	p.w.after(way, func() {
		if p.conn == conn {
			p.w.hears(p, m)
		}
	})
}

// ms draws a span.
func (w *world) ms(from, to int) time.Duration {
	return time.Duration(from)*ms + time.Duration(w.rng.Int64N(int64(to-from)*int64(ms)))
}

// ---- Clients ----

func (w *world) arrivals() {
	w.after(w.ms(1, int(w.every/ms)), func() {
		if w.over {
			return
		}
		w.ids++
		class := w.rng.IntN(len(w.set.Classes))
		job := logic.Job{Class: class, Left: w.leastLeft + w.ms(30, 1800), Slots: 1, Hint: w.ms(0, 100), Key: w.ids % 5}
		a := w.take("q"+strconv.FormatUint(w.ids, 10), job)
		j := &judged{asker: a, class: &w.set.Classes[class], deadline: w.now + job.Left}
		w.byCall[a.name], w.byID[a.q.ID] = j, j
		if w.rng.IntN(15) == 0 && !w.calm {
			w.after(w.ms(0, 500), func() {
				if len(a.answers) == 0 {
					j.gone = true
				}
				w.l.Gone(a.q)
			})
		}
		w.arrivals()
	})
}

func (w *world) answered(a *asker, what string, _ time.Duration) {
	j := w.byCall[a.name]
	if j == nil { // at once, within take
		w.after(0, func() { w.answered(a, what, 0) })
		return
	}
	w.stats[what]++
	if len(a.answers) > 1 {
		w.fault("%s has a second answer", a.name)
	}
	if j.gone {
		w.fault("%s is answered, and its client has gone", a.name)
	}
	if w.now > j.deadline {
		w.fault("%s is answered %v late", a.name, w.now-j.deadline)
	}
	harmless := j.class.Effect == logic.Safe || j.class.Effect == logic.Keyed && j.class.Group == logic.GroupAll
	if what == "refused" && !harmless && slices.ContainsFunc(j.tries, func(t *judgedTry) bool { return !t.never }) {
		w.fault("%s is refused, though it may have run", a.name)
	}
}

// ---- Worker nodes ----

func (w *world) carried(a *ledger.Attempt) {
	j, host := w.byID[a.Query.ID], w.list[a.Worker]
	w.sends++
	if len(j.answers) > 0 || j.gone {
		w.fault("%s is sent after its end", j.name)
	}
	if len(j.tries) >= w.set.TryLimit {
		w.fault("%s is sent %d times", j.name, len(j.tries)+1)
	}
	if host.State != "up" {
		w.fault("%s is sent to %s, which is %q by the own list", j.name, host.ID, host.State)
	}
	if x, ok := w.words[a.Worker]; ok && x.State != tier.Up && w.wordAt[a.Worker] < w.now {
		own := tier.WordOf{StartedMs: host.StartedMs, Generation: w.genOf(host)}
		if !own.Newer(x) {
			w.fault("%s is sent to %s, which drains by the newest word", j.name, host.ID)
		}
	}
	if j.class.Kinds != nil && host.Kind != "k"+strconv.Itoa(j.class.Kinds[0]) {
		w.fault("%s is sent to a %s", j.name, host.Kind)
	}
	zone, cell := host.Zone, strconv.Itoa(host.Cell)
	for _, t := range j.tries {
		if !t.ended && t.worker == a.Worker {
			w.fault("%s is sent twice to %s", j.name, host.ID)
		}
		if !t.ended && !w.set.SecondCopies {
			w.fault("%s has a second copy", j.name)
		}
		if t.never || j.class.Effect == logic.Safe {
			continue
		}
		if j.class.Effect == logic.Unsafe || j.class.Group == logic.GroupCell && t.cell != cell ||
			j.class.Group == logic.GroupZone && t.zone != zone || w.now-t.sent >= j.class.Window {
			w.fault("%s of %+v is sent to %s, though it may have run at %x, %v ago", j.name, *j.class, host.ID,
				t.worker, w.now-t.sent)
		}
	}
	t := &judgedTry{a: a, worker: a.Worker, cell: cell, zone: zone, sent: w.now}
	j.tries = append(j.tries, t)
	w.run(t, host.ID)
}

// run is what becomes of an attempt at its worker node.
func (w *world) run(t *judgedTry, host string) {
	a := t.a
	note := func(state string) {
		_, err := w.l.Tell(ledger.Note{ID: a.Query.Call, From: host, State: state, Share: 0.5, Result: new(string)})
		if err != nil {
			panic(err)
		}
	}
	end := func(after time.Duration, never bool, how func()) {
		w.after(after, func() {
			if !t.ended && !a.Ended() {
				t.ended, t.never = true, never
				if how(); !a.Ended() { // by a note that may be of an attempt before it there, so it is out as far as anybody knows
					t.ended, t.never = false, false
				}
			}
		})
	}
	cut := func(stage ledger.Stage) func() {
		return func() { w.l.End(a, nil, &ledger.Fault{Stage: stage, Reason: ledger.Cut}) }
	}
	kind := w.rng.IntN(9)
	if w.calm {
		kind = 8
	}
	if kind > 0 {
		a.Stage = ledger.AllWritten
	}
	switch kind {
	case 0:
		end(w.ms(0, 10), true, cut(ledger.NotConnected))
	case 1:
		end(w.ms(0, 60), false, cut(ledger.AllWritten))
	case 2:
		end(w.ms(0, 10), true, func() {
			w.l.End(a, nil, &ledger.Fault{Stage: ledger.AllWritten,
				Reason: ledger.Rejected})
		})
	case 3: // nothing is heard of it
	case 4:
		if w.rng.IntN(6) == 0 {
			end(w.ms(0, 10), true, func() {
				w.l.End(a, nil, &ledger.Fault{Stage: ledger.AllWritten,
					Reason: ledger.Unusable})
			})
			return
		}
		fallthrough
	default:
		a.Stage = ledger.Accepted
		start, run := w.ms(0, 60), w.ms(1, 250)
		w.after(start, func() { note("started") })
		w.after(start+run/2, func() { note("running") })
		what := w.rng.IntN(6)
		if w.calm {
			what = 5
		}
		end(start+run, what == 1, func() { note([]string{"failed", "returned", "lost", "done", "done", "done"}[what]) })
	}
}

func (w *world) gaveUp(a *ledger.Attempt) {
	for _, t := range w.byID[a.Query.ID].tries {
		if t.a == a {
			t.ended = true // and may be running
			t.recalled = a.Query.Over() && a.Stage < ledger.AllWritten
			t.never = t.never || t.recalled
		}
	}
}

// ---- Discovery ----

// genOf is the generation of the list that told of a host last; it is kept in its weight, which nobody else uses here.
func (w *world) genOf(h ledger.Host) int64 { return int64(h.Weight) }

func (w *world) tellList(whole bool) {
	if w.gen++; whole {
		clear(w.list)
		g := ledger.HostGroup{Reset: true, Generation: w.gen}
		for i := range w.nodes {
			w.nodes[i].Weight = float64(w.gen)
			if w.nodes[i].State != "removed" {
				g.Hosts = append(g.Hosts, w.nodes[i])
				w.list[number(w.nodes[i].ID)] = w.nodes[i]
			}
		}
		w.l.Hosts(g)
		return
	}
	h := &w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(4) {
	case 0:
		h.State = "draining"
	case 1:
		h.State = "removed"
	case 2:
		h.State, h.StartedMs = "up", w.now.Milliseconds()
	default:
		h.State = "up"
	}
	h.Weight = float64(w.gen)
	w.list[number(h.ID)] = *h
	w.l.Hosts(ledger.HostGroup{Generation: w.gen, Hosts: []ledger.Host{*h}})
	if w.changed != nil {
		w.changed(*h)
	}
}

func (w *world) changes() {
	w.after(w.ms(20, 400), func() {
		if w.over {
			return
		}
		switch w.rng.IntN(8) {
		case 0:
			w.l.HostsLost()
		case 1:
			w.tellList(true)
		default:
			w.tellList(false)
		}
		w.changes()
	})
}

// ---- Messages ----

func (w *world) seat(name string) *seat {
	return w.plans[slices.IndexFunc(w.plans, func(p *seat) bool { return p.name == name })]
}

// said is an envelope that the forwarder wants carried.
func (w *world) said(e Envelope) {
	p := w.seat(e.To)
	j := w.byID[e.M.Query]
	switch e.M.Kind {
	case tier.Head:
		if j.with != 0 {
			w.fault("%s is offered to %s while it is with %d", j.name, e.To, j.with)
		}
		j.with = e.M.Epoch
		delete(p.ends, e.M.Query)
		if n := w.openWith(e.M.Epoch); n > p.mostCredit {
			w.fault("%s has %d queries, of a credit of %d", e.To, n, p.mostCredit)
		}
		w.heads = append(w.heads, e)
	case tier.Over:
		if j.with == e.M.Epoch {
			j.with = 0
		}
	case tier.Ended:
		if stray := e.M.Why == tier.NoSuchQuery || e.M.Why == tier.NotYours; e.M.Attempt >= 0 && j != nil && !stray {
			if p.ends[e.M.Query] == nil {
				p.ends[e.M.Query] = map[int]bool{}
			}
			if p.ends[e.M.Query][e.M.Attempt] {
				w.fault("attempt %d of %s ends twice for %s", e.M.Attempt, j.name, p.name)
			}
			p.ends[e.M.Query][e.M.Attempt] = true
		}
		if e.M.Result == logic.OK && j.with == e.M.Epoch {
			j.with = 0
		}
	case tier.Hello:
		w.ends(p) // of its session before, if it has one still
	}
	p.gets(e.M)
}

func (w *world) openWith(e tier.Epoch) (n int) {
	for _, j := range w.byID {
		if j.with == e {
			n++
		}
	}
	return n
}

// ends has nothing be with a planner any more.
func (w *world) ends(p *seat) {
	for _, j := range w.byID {
		if j.with == p.session && p.session != 0 {
			j.with = 0
		}
	}
	p.session = 0
}

// hears has a planner's message reach the forwarder.
func (w *world) hears(p *seat, m tier.Message) {
	j := w.byID[m.Query]
	switch m.Kind {
	case tier.Welcome:
		if m.Epoch == p.session && !p.welcomed {
			p.welcomed, p.mostCredit = true, m.Credit
		}
	case tier.Credit:
		if m.Epoch == p.session {
			p.mostCredit = max(p.mostCredit, m.Credit)
		}
	case tier.Word:
		x := *m.Word
		if m.Epoch != p.greeted || !p.welcomed || x.StartedMs > (w.now+time.Minute).Milliseconds() || x.StartedMs < 0 {
			break
		}
		if was, ok := w.words[x.Worker]; !ok || x.Newer(was) {
			w.words[x.Worker], w.wordAt[x.Worker] = x, w.now
		}
	case tier.Move, tier.Refuse, tier.Fail:
		if j != nil && j.with == m.Epoch && m.Epoch == p.session {
			j.with = 0 // it is the planner's wish at least; the forwarder has its own book
		}
	case tier.Bye:
		if m.Epoch == p.session {
			w.ends(p)
		}
	}
	w.f.Hear(w.now, p.name, &m)
}

// check looks at what was offered in a step, once its actions are carried out.
func (w *world) check() {
	for _, e := range w.heads {
		j, h := w.byID[e.M.Query], e.M.Head
		// What the ledger did not send, as a note from that host had ended one, or has recalled, counts as an attempt that
		// never ran.
		sent := slices.DeleteFunc(slices.Clone(h.Attempts), func(p tier.Past) bool {
			return p.Ended && p.Result == logic.NotSent && !p.MayRun
		})
		tries := slices.DeleteFunc(slices.Clone(j.tries), func(t *judgedTry) bool { return t.recalled })
		if len(sent) != len(tries) {
			w.fault("%s is told of %d attempts of %s, of %d", e.To, len(sent), j.name, len(tries))
			continue
		}
		for i, p := range sent {
			if t := tries[i]; p.Worker != t.worker || p.Ago != w.now-t.sent || p.MayRun == t.never {
				w.fault("%s is told %+v of %s, which is %+v", e.To, p, j.name, t)
			}
		}
	}
	w.heads = w.heads[:0]
}

// play lets time pass, in small steps, and then has all come to its end.
func (w *world) play(span time.Duration) {
	end := w.now + span
	for w.now < end && len(w.faults) == 0 {
		w.until(w.now + ms)
	}
	w.over = true
	for range 40 {
		w.until(w.now + 100*ms)
	}
	for _, id := range slices.Sorted(maps.Keys(w.byID)) {
		j := w.byID[id]
		if n := len(j.answers); n == 0 && !j.gone {
			w.fault("%s has no answer", j.name)
		}
	}
	x := w.f.Figures()
	if w.l.Open() != 0 || x.Open+x.Waiting+x.Mine != 0 || w.f.guard.Queries() != 0 ||
		w.f.alarms.Len()+w.f.back.Len() != 0 {
		w.fault("something is left: %+v, %d in the ledger, %d with the guard", x, w.l.Open(), w.f.guard.Queries())
	}
	for _, p := range w.f.planners {
		if len(p.queries) > 0 || p.suspect != nil {
			w.fault("%s has %d queries still", p.name, len(p.queries))
		}
	}
	if w.f.own != nil && !w.f.on {
		w.fault("the own module is kept with nothing in hand")
	}
	for why := range tier.Reasons {
		w.stats["refused as "+why.String()] += w.f.guard.Refused(why)
	}
	w.stats["alone"] += x.Alone
	w.stats["poisonous"] += x.Poisonous
	w.stats["unheard"] += x.Unheard
	w.stats["frozen"] += x.Frozen
	w.stats["reoffered"] += x.Reoffered
	w.stats["moves"] += x.Moves
	w.stats["expired"] += x.Expired
	w.stats["unplaced"] += x.Unplaced
	w.stats["crowded"] += x.Crowded
	w.stats["sent"] += w.sends
}
