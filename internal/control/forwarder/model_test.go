package forwarder

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/requests"
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
	set       dispatch.Settings
	over      bool // no more is to happen
	nodes     []requests.Endpoint
	gen       int64
	list      map[uint64]requests.Endpoint    // as the forwarder was told
	words     map[uint64]message.WorkerStatus // the newest that it heard
	wordAt    map[uint64]time.Duration
	byCall    map[string]*judged
	byID      map[uint64]*judged
	ids       uint64
	plans     []*seat
	every     time.Duration             // a query comes, at most
	leastLeft time.Duration             // of a query
	changed   func(h requests.Endpoint) // at a worker node
	calm      bool                      // worker nodes do what they are told, and stay
	heads     []Outgoing                // of this step
	sends     int
	stats     map[string]int
	faults    []string
}

// judged is a query as the referee knows it.
type judged struct {
	*asker
	class    *dispatch.Class
	deadline time.Duration
	gone     bool
	tries    []*judgedTry
	with     message.Epoch // the session that it was offered in last; 0: none
}

type judgedTry struct {
	a          *requests.Attempt
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
func newWorld(t *testing.T, seed uint64, choose PlannerSelector) *world {
	rng := rand.New(rand.NewPCG(seed, 21))
	w := &world{t: t, rng: rng, list: map[uint64]requests.Endpoint{}, words: map[uint64]message.WorkerStatus{},
		wordAt: map[uint64]time.Duration{}, byCall: map[string]*judged{}, byID: map[uint64]*judged{},
		stats: map[string]int{}, every: 25 * ms}
	w.set = dispatch.Settings{Replicas: 1, AttemptLimit: 1 + rng.IntN(4), Hedging: rng.IntN(2) == 0,
		Cancellation: rng.IntN(2) == 0, HealthChecks: rng.IntN(2) == 0, StartNotifications: true, MaxRetryAfter: time.Second,
		ConnectTimeout: 50 * ms, PollInterval: 4 * time.Second, MustSubscribe: rng.IntN(2) == 0}
	for range 1 + rng.IntN(4) {
		c := dispatch.Class{LatencyObjective: w.ms(50, 500), ObjectiveStretch: 1, ClientTimeout: 2 * time.Second, PriorityWeight: 1,
			Idempotency: dispatch.Idempotency(rng.IntN(3)), DeduplicationScope: dispatch.DeduplicationScope(rng.IntN(3)), DeduplicationWindow: w.ms(100, 1000)}
		if rng.IntN(4) == 0 {
			c.Kinds = []int{rng.IntN(3)}
		}
		w.set.Classes = append(w.set.Classes, c)
	}
	conf := Config{Seed: seed, MaxWaiting: 4 + rng.IntN(40), StandaloneAfter: w.ms(50, 800)}
	w.rig = newRig(w.set, conf, choose, func() Policy { return dispatch.New(w.set, seed) })
	for n := range 4 + rng.IntN(5) {
		w.nodes = append(w.nodes, requests.Endpoint{ID: "w" + strconv.Itoa(n), Addr: "a", Lifecycle: "up", Cell: n % 2,
			Zone: "z" + strconv.Itoa(n%3), MachineType: "k" + strconv.Itoa(n%3),
			StartedAtMs: rigStart.Milliseconds() - 3600000})
	}
	w.carry, w.giveUp, w.answer, w.tell = w.carried, w.gaveUp, w.answered, w.said
	w.probe = func(worker uint64) { w.after(w.ms(0, 20), func() { w.l.HealthChecked(worker, nil) }) }
	w.free, w.stepped = func(uint64) {}, w.check
	w.watched = func(int64) {
		w.after(w.ms(0, 30), func() {
			if w.rng.IntN(4) == 0 && !w.calm {
				w.l.DiscoveryFailed()
			} else {
				w.tellList(true)
			}
		})
	}
	return w
}

// open begins a play.
func (w *world) open() {
	w.begin(requests.EndpointList{})
	w.tellList(true)
	names := []string{}
	for _, p := range w.plans {
		names = append(names, p.name)
	}
	w.f.SetPlanners(names)
	w.arrivals()
	if !w.calm {
		w.changes()
	}
}

// seat is a planner as the world sees it: a connection, and what the forwarder was told on it. Who sits there reads.
type seat struct {
	w    *world
	name string
	read func(e message.Envelope)

	conn       int                     // counts connections; what belongs to another one is lost
	up         bool                    // there is one
	session    message.Epoch           // as the forwarder has it; 0: none, or it stops
	greeted    message.Epoch           // the newest on this connection
	welcomed   bool                    // and it was taken in
	mostCredit int                     // that it was told
	ends       map[uint64]map[int]bool // attempts whose end was told, by query, since its head
	frozen     bool
	inbox      []message.Envelope // not read, being frozen
}

func (p *seat) connect() {
	p.conn++
	p.up, p.ends, p.inbox = true, map[uint64]map[int]bool{}, nil
	p.w.f.SessionChanged(p.name, true)
}

func (p *seat) down() {
	if !p.up {
		return
	}
	p.up, p.welcomed, p.greeted = false, false, 0
	p.conn++
	p.w.ends(p)
	p.w.f.SessionChanged(p.name, false)
}

const way = 500 * time.Microsecond

// gets is a message that leaves the forwarder for it.
func (p *seat) gets(e message.Envelope) {
	if _, ok := e.Message.(*message.Handshake); ok {
		p.session, p.greeted, p.welcomed, p.mostCredit = e.Epoch, e.Epoch, false, 0
	}
	conn := p.conn
	p.w.after(way, func() {
		switch {
		case p.conn != conn:
		case p.frozen:
			p.inbox = append(p.inbox, e)
		default:
			p.read(e)
		}
	})
}

// send is one of its own.
func (p *seat) send(e message.Envelope) {
	conn := p.conn
	p.w.after(way, func() {
		if p.conn == conn {
			p.w.hears(p, e)
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
		job := dispatch.Job{Class: class, Remaining: w.leastLeft + w.ms(30, 1800), Slots: 1, Hint: w.ms(0, 100), Key: w.ids % 5}
		a := w.take("q"+strconv.FormatUint(w.ids, 10), job)
		j := &judged{asker: a, class: &w.set.Classes[class], deadline: w.now + job.Remaining}
		w.byCall[a.name], w.byID[a.q.ID] = j, j
		if w.rng.IntN(15) == 0 && !w.calm {
			w.after(w.ms(0, 500), func() {
				if len(a.answers) == 0 {
					j.gone = true
				}
				w.l.ClientDisconnected(a.q)
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
	harmless := j.class.Idempotency == dispatch.Idempotent || j.class.Idempotency == dispatch.IdempotentWithKey && j.class.DeduplicationScope == dispatch.ScopeAll
	if what == "refused" && !harmless && slices.ContainsFunc(j.tries, func(t *judgedTry) bool { return !t.never }) {
		w.fault("%s is refused, though it may have run", a.name)
	}
}

// ---- Worker nodes ----

func (w *world) carried(a *requests.Attempt) {
	j, host := w.byID[a.Request.ID], w.list[a.Worker]
	w.sends++
	if len(j.answers) > 0 || j.gone {
		w.fault("%s is sent after its end", j.name)
	}
	if len(j.tries) >= w.set.AttemptLimit {
		w.fault("%s is sent %d times", j.name, len(j.tries)+1)
	}
	if host.Lifecycle != "up" {
		w.fault("%s is sent to %s, which is %q by the own list", j.name, host.ID, host.Lifecycle)
	}
	if x, ok := w.words[a.Worker]; ok && x.State != message.WorkerUp && w.wordAt[a.Worker] < w.now {
		own := message.WorkerStatus{StartedMs: host.StartedAtMs, Revision: w.genOf(host)}
		if !own.Supersedes(x) {
			w.fault("%s is sent to %s, which drains by the newest word", j.name, host.ID)
		}
	}
	if j.class.Kinds != nil && host.MachineType != "k"+strconv.Itoa(j.class.Kinds[0]) {
		w.fault("%s is sent to a %s", j.name, host.MachineType)
	}
	zone, cell := host.Zone, strconv.Itoa(host.Cell)
	for _, t := range j.tries {
		if !t.ended && t.worker == a.Worker {
			w.fault("%s is sent twice to %s", j.name, host.ID)
		}
		if !t.ended && !w.set.Hedging {
			w.fault("%s has a second copy", j.name)
		}
		if t.never || j.class.Idempotency == dispatch.Idempotent {
			continue
		}
		if j.class.Idempotency == dispatch.NonIdempotent || j.class.DeduplicationScope == dispatch.ScopeCell && t.cell != cell ||
			j.class.DeduplicationScope == dispatch.ScopeZone && t.zone != zone || w.now-t.sent >= j.class.DeduplicationWindow {
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
		_, err := w.l.HandleCallback(requests.Callback{CallID: a.Request.CallID, EndpointID: host, State: state, Progress: 0.5, Result: new(string)})
		if err != nil {
			panic(err)
		}
	}
	end := func(after time.Duration, never bool, how func()) {
		w.after(after, func() {
			if !t.ended && !a.HasEnded() {
				t.ended, t.never = true, never
				if how(); !a.HasEnded() { // by a note that may be of an attempt before it there, so it is out as far as anybody knows
					t.ended, t.never = false, false
				}
			}
		})
	}
	cut := func(stage requests.Stage) func() {
		return func() {
			w.l.EndAttempt(a, nil, &requests.AttemptError{Stage: stage, Reason: requests.ReasonConnectionLost})
		}
	}
	kind := w.rng.IntN(9)
	if w.calm {
		kind = 8
	}
	if kind > 0 {
		a.Stage = requests.StageWritten
	}
	switch kind {
	case 0:
		end(w.ms(0, 10), true, cut(requests.StageNotConnected))
	case 1:
		end(w.ms(0, 60), false, cut(requests.StageWritten))
	case 2:
		end(w.ms(0, 10), true, func() {
			w.l.EndAttempt(a, nil, &requests.AttemptError{Stage: requests.StageWritten,
				Reason: requests.ReasonRejected})
		})
	case 3: // nothing is heard of it
	case 4:
		if w.rng.IntN(6) == 0 {
			end(w.ms(0, 10), true, func() {
				w.l.EndAttempt(a, nil, &requests.AttemptError{Stage: requests.StageWritten,
					Reason: requests.ReasonInvalidRequest})
			})
			return
		}
		fallthrough
	default:
		a.Stage = requests.StageAccepted
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

func (w *world) gaveUp(a *requests.Attempt) {
	for _, t := range w.byID[a.Request.ID].tries {
		if t.a == a {
			t.ended = true // and may be running
			t.recalled = a.Request.IsClosed() && a.Stage < requests.StageWritten
			t.never = t.never || t.recalled
		}
	}
}

// ---- Discovery ----

// genOf is the generation of the list that told of a host last; it is kept in its weight, which nobody else uses here.
func (w *world) genOf(h requests.Endpoint) int64 { return int64(h.Weight) }

func (w *world) tellList(whole bool) {
	if w.gen++; whole {
		clear(w.list)
		g := requests.EndpointList{Reset: true, Revision: w.gen}
		for i := range w.nodes {
			w.nodes[i].Weight = float64(w.gen)
			if w.nodes[i].Lifecycle != "removed" {
				g.Endpoints = append(g.Endpoints, w.nodes[i])
				w.list[number(w.nodes[i].ID)] = w.nodes[i]
			}
		}
		w.l.UpdateEndpoints(g)
		return
	}
	h := &w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(4) {
	case 0:
		h.Lifecycle = "draining"
	case 1:
		h.Lifecycle = "removed"
	case 2:
		h.Lifecycle, h.StartedAtMs = "up", w.now.Milliseconds()
	default:
		h.Lifecycle = "up"
	}
	h.Weight = float64(w.gen)
	w.list[number(h.ID)] = *h
	w.l.UpdateEndpoints(requests.EndpointList{Revision: w.gen, Endpoints: []requests.Endpoint{*h}})
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
			w.l.DiscoveryFailed()
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

// said is a message that the forwarder wants carried.
func (w *world) said(e Outgoing) {
	p := w.seat(e.Planner)
	switch m := e.Message.(type) {
	case *message.RequestOffer:
		j := w.byID[m.RequestID]
		if j.with != 0 {
			w.fault("%s is offered to %s while it is with %d", j.name, e.Planner, j.with)
		}
		j.with = e.Epoch
		delete(p.ends, m.RequestID)
		if n := w.openWith(e.Epoch); n > p.mostCredit {
			w.fault("%s has %d queries, of a credit of %d", e.Planner, n, p.mostCredit)
		}
		w.heads = append(w.heads, e)
	case *message.RequestClosed:
		if j := w.byID[m.RequestID]; j.with == e.Epoch {
			j.with = 0
		}
	case *message.AttemptEnded:
		w.saidEnd(p, e.Epoch, m)
	case *message.Handshake:
		w.ends(p) // of its session before, if it has one still
	}
	p.gets(e.Envelope)
}

// saidEnd is an attempt's end that the forwarder tells a planner of.
func (w *world) saidEnd(p *seat, epoch message.Epoch, m *message.AttemptEnded) {
	j := w.byID[m.RequestID]
	stray := m.Reason == message.ReasonUnknownRequest || m.Reason == message.ReasonNotOwner
	if m.Attempt >= 0 && j != nil && !stray {
		if p.ends[m.RequestID] == nil {
			p.ends[m.RequestID] = map[int]bool{}
		}
		if p.ends[m.RequestID][m.Attempt] {
			w.fault("attempt %d of %s ends twice for %s", m.Attempt, j.name, p.name)
		}
		p.ends[m.RequestID][m.Attempt] = true
	}
	if m.Result == dispatch.OK && j.with == epoch {
		j.with = 0
	}
}

func (w *world) openWith(e message.Epoch) (n int) {
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
func (w *world) hears(p *seat, e message.Envelope) {
	switch m := e.Message.(type) {
	case *message.HandshakeAccept:
		if e.Epoch == p.session && !p.welcomed {
			p.welcomed, p.mostCredit = true, m.Credit
		}
	case *message.CreditUpdate:
		if e.Epoch == p.session {
			p.mostCredit = max(p.mostCredit, m.Credit)
		}
	case *message.WorkerStatus:
		x := *m
		if e.Epoch != p.greeted || !p.welcomed || x.StartedMs > (w.now+time.Minute).Milliseconds() || x.StartedMs < 0 {
			break
		}
		if was, ok := w.words[x.WorkerID]; !ok || x.Supersedes(was) {
			w.words[x.WorkerID], w.wordAt[x.WorkerID] = x, w.now
		}
	case *message.TransferCommand:
		w.letsGo(p, e.Epoch, m.RequestID)
	case *message.RejectCommand:
		w.letsGo(p, e.Epoch, m.RequestID)
	case *message.FailCommand:
		w.letsGo(p, e.Epoch, m.RequestID)
	case *message.Goodbye:
		if e.Epoch == p.session {
			w.ends(p)
		}
	}
	w.f.Receive(w.now, p.name, e)
}

// letsGo has a query be with a planner no more: it is the planner's wish at least; the forwarder has its own book.
func (w *world) letsGo(p *seat, epoch message.Epoch, id uint64) {
	if j := w.byID[id]; j != nil && j.with == epoch && epoch == p.session {
		j.with = 0
	}
}

// check looks at what was offered in a step, once its actions are carried out.
func (w *world) check() {
	for _, e := range w.heads {
		offer := e.Message.(*message.RequestOffer)
		j, h := w.byID[offer.RequestID], &offer.Summary
		// What the ledger did not send, as a note from that host had ended one, or has recalled, counts as an attempt that
		// never ran.
		sent := slices.DeleteFunc(slices.Clone(h.Attempts), func(p message.PastAttempt) bool {
			return p.Ended && p.Result == dispatch.NotSent && !p.PossiblyExecuted
		})
		tries := slices.DeleteFunc(slices.Clone(j.tries), func(t *judgedTry) bool { return t.recalled })
		if len(sent) != len(tries) {
			w.fault("%s is told of %d attempts of %s, of %d", e.Planner, len(sent), j.name, len(tries))
			continue
		}
		for i, p := range sent {
			if t := tries[i]; p.WorkerID != t.worker || p.SentAgo != w.now-t.sent || p.PossiblyExecuted == t.never {
				w.fault("%s is told %+v of %s, which is %+v", e.Planner, p, j.name, t)
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
	x := w.f.Stats()
	if w.l.OpenCount() != 0 || x.Open+x.Waiting+x.Local != 0 || w.f.validator.RequestCount() != 0 ||
		w.f.checks.Len()+w.f.returning.Len() != 0 {
		w.fault("something is left: %+v, %d in the ledger, %d with the guard", x, w.l.OpenCount(), w.f.validator.RequestCount())
	}
	for _, p := range w.f.sessions {
		if len(p.requests) > 0 || p.poisonCandidate != nil {
			w.fault("%s has %d queries still", p.planner, len(p.requests))
		}
	}
	if w.f.local.policy != nil && w.f.mode != modeStandalone {
		w.fault("the own module is kept with nothing in hand")
	}
	for why := range message.ReasonCount {
		w.stats["refused as "+why.String()] += w.f.validator.RejectedCount(why)
	}
	w.stats["alone"] += x.Standalone
	w.stats["poisonous"] += x.Poison
	w.stats["unheard"] += x.Revoked
	w.stats["frozen"] += x.Unresponsive
	w.stats["reoffered"] += x.Reoffered
	w.stats["moves"] += x.Transfers
	w.stats["expired"] += x.Expired
	w.stats["unplaced"] += x.Unplaced
	w.stats["crowded"] += x.QueueFull
	w.stats["sent"] += w.sends
}
