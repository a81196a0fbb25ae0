package planner

import (
	"time"

	"valvecove/internal/due"
	"valvecove/internal/tier"
	"valvecove/logic"
)

// heads are the queries that forwarders have open here, and those that are over while attempts of theirs may be out.
type heads struct {
	jobs   map[uint64]*head // by the module's number, which is the book's own
	lastID uint64
	live   int
	slots  float64 // of attempts that are out
	held   ring    // open ones without an attempt out, as they came to be that
	lapses due.Queue[*head]
	spare  []*head
}

// head is one.
type head struct {
	due.Item // when the attempts of one that is closed are taken to be over
	lapses   bool
	id       uint64
	query    uint64     // by its forwarder's count
	f        *forwarder // nil: its process is gone
	epoch    tier.Epoch // of the session in which it was offered
	in       [2]links
	live     bool // it is open
	known    bool // to the module, or the one before it
	job      logic.Job
	came     time.Duration // to its forwarder
	deadline time.Duration
	since    time.Duration // it has no attempt out
	slots    float64
	moves    int
	strikes  int
	attempts []attempt
	out      int
}

// attempt is one sending of a query.
type attempt struct {
	host   *host
	sent   time.Duration
	began  time.Duration // 0: it was not told to have
	ended  bool
	ours   bool // ordered here; else the head told of it
	heard  bool // and something was heard of it since: the order has come there
	result logic.Result
}

// links is a head's place in a ring.
type links struct {
	next, prev *head
	on         bool
}

// Rings.
const (
	ofForwarder = iota
	ofHeld
)

// ring is a list of heads, the oldest first.
type ring struct{ first, last *head }

func (r *ring) push(h *head, which int) {
	l := &h.in[which]
	if l.on {
		return
	}
	*l = links{prev: r.last, on: true}
	if r.last == nil {
		r.first = h
	} else {
		r.last.in[which].next = h
	}
	r.last = h
}

func (r *ring) remove(h *head, which int) {
	l := h.in[which]
	if !l.on {
		return
	}
	if l.prev == nil {
		r.first = l.next
	} else {
		l.prev.in[which].next = l.next
	}
	if l.next == nil {
		r.last = l.prev
	} else {
		l.next.in[which].prev = l.prev
	}
	h.in[which] = links{}
}

// within holds a span that somebody tells to what can be meant.
func within(d time.Duration) time.Duration { return min(max(d, 0), longest) }

// known reads a result that this build doesn't know as one that says nothing of whether it ran.
func known(r logic.Result) logic.Result {
	if r < logic.OK || r > logic.NotSent {
		return logic.Reset
	}
	return r
}

// provesNothingRan tells which results do.
func provesNothingRan(r logic.Result) bool {
	return r == logic.Full || r == logic.NoConnect || r == logic.NotSent
}

// ---- What a forwarder says of queries ----

// offered takes in a head. One that is known comes again: its forwarder has reason to think that the two know
// different things, and its word wins.
func (b *Book) offered(f *forwarder, m *tier.Message) {
	if b.stopping > 0 {
		return // it offers all of them elsewhere once it reads that
	}
	x := m.Head
	if x == nil {
		b.counts.Bad++
		return
	}
	b.counts.Heads++
	var onTheWay []attempt
	if old := f.queries[m.Query]; old != nil {
		if old.epoch == f.epoch { // what was ordered in this session and was not read yet will be
			for i := len(x.Attempts); i < len(old.attempts); i++ {
				if a := old.attempts[i]; a.ours && !a.heard && !a.ended {
					onTheWay = append(onTheWay, a)
				}
			}
		}
		b.forgetAll(old)
	}
	if !b.allowed(f) || x.Class < 0 || x.Class >= len(b.conf.Settings.Classes) || len(x.Attempts) > mostAttempts {
		b.turnAway(f, m)
		return
	}
	h := b.enter(f, m)
	for i := range onTheWay {
		b.attach(h, onTheWay[i])
	}
	if to := b.misplaced(h); to != "" {
		b.move(h, to, false)
		return
	}
	b.hold(h)
	if len(h.attempts) == 0 && x.Moves == 0 && x.Waited < resumedFrom {
		b.event(h.job)
		h.known = true
		return
	}
	b.flushNews() // it may name worker nodes that the module was not told of
	b.event(b.resumed(h))
	h.known = true
}

// enter makes a head of what was told.
func (b *Book) enter(f *forwarder, m *tier.Message) *head {
	x := m.Head
	h := &head{}
	if last := len(b.spare) - 1; last >= 0 {
		h, b.spare = b.spare[last], b.spare[:last]
	}
	b.lastID++
	*h = head{id: b.lastID, query: m.Query, f: f, epoch: f.epoch, live: true, came: b.now - within(x.Waited),
		deadline: b.now + within(x.Left), moves: max(0, x.Moves), attempts: h.attempts[:0]}
	h.job = logic.Job{ID: h.id, Class: x.Class, Tenant: x.Tenant, Key: x.Key, Left: within(x.Left), Hint: within(x.Hint),
		Slots: x.Slots, Memory: x.Memory, Retry: x.Retry}
	h.slots = 1
	for _, s := range []float64{x.Slots, x.Memory} {
		if s > h.slots && s < 1e9 {
			h.slots = s
		}
	}
	b.jobs[h.id], f.queries[h.query] = h, h
	f.all.push(h, ofForwarder)
	f.live++
	b.live++
	for i := range x.Attempts {
		p := &x.Attempts[i]
		a := attempt{host: b.hostOf(p.Worker), sent: b.now - within(p.Ago), ended: p.Ended, result: known(p.Result)}
		if p.Began > 0 {
			a.began = max(b.now-within(p.Began), a.sent)
		}
		if a.ended && p.MayRun == provesNothingRan(a.result) { // the forwarder's book knows better than a word
			if a.result = logic.NotSent; p.MayRun {
				a.result = logic.Reset
			}
		}
		b.attach(h, a)
	}
	return h
}

// attach adds an attempt to a head.
func (b *Book) attach(h *head, a attempt) {
	if b.refer(a.host, 1); !a.ended {
		h.out++
		b.slots += h.slots
	}
	h.attempts = append(h.attempts, a)
}

// resumed is a head with its attempts as the module is told it.
func (b *Book) resumed(h *head) logic.Resumed {
	e := logic.Resumed{Job: h.job, Waited: b.now - h.came, Counted: h.known || h.moves > 0}
	e.Job.Left = max(0, h.deadline-b.now)
	for i := range h.attempts {
		a := &h.attempts[i]
		p := logic.Past{Worker: a.host.ID, Ago: b.now - a.sent, Ended: a.ended, Result: a.result}
		if a.began != 0 {
			p.Began = max(1, b.now-a.began)
		}
		e.Attempts = append(e.Attempts, p)
	}
	return e
}

// hold has an open head without an attempt out among those that wait.
func (b *Book) hold(h *head) {
	if h.live && h.out == 0 {
		h.since = b.now
		b.held.push(h, ofHeld)
	}
}

// close takes in that a head is not open any more. What is out of it is still counted.
func (b *Book) close(h *head) {
	if !h.live {
		return
	}
	h.live = false
	b.live--
	if h.f != nil {
		h.f.live--
	}
	b.held.remove(h, ofHeld)
	if h.out == 0 {
		b.drop(h)
		return
	}
	b.lapseAt(h, max(h.deadline, b.now)+lateGrace) // its forwarder tells of each end by then
}

// drop forgets a head that is closed.
func (b *Book) drop(h *head) {
	if h.lapses {
		b.lapses.Remove(h)
		h.lapses = false
	}
	for i := range h.attempts {
		a := &h.attempts[i]
		if !a.ended {
			b.slots -= h.slots
		}
		b.refer(a.host, -1)
		a.host = nil
	}
	if f := h.f; f != nil {
		f.all.remove(h, ofForwarder)
		if f.queries[h.query] == h {
			delete(f.queries, h.query)
		}
		h.f = nil
	}
	delete(b.jobs, h.id)
	if len(b.jobs) == 0 {
		b.slots = 0 // what sums of fractions leave
	}
	if len(b.spare) < b.conf.Heads {
		b.spare = append(b.spare, h)
	}
}

// forgetAll ends a head with all that is out of it: the module is told anew.
func (b *Book) forgetAll(h *head) {
	if h.live {
		b.event(logic.ClientGone{Job: h.id})
	}
	b.endAll(h)
	b.close(h)
	if b.jobs[h.id] == h {
		b.drop(h)
	}
}

// endAll has the module take all attempts for over that are out, without a word on how they did.
func (b *Book) endAll(h *head) {
	for i := range h.attempts {
		if a := &h.attempts[i]; !a.ended {
			b.endOne(h, i, logic.Cancelled)
			b.event(logic.Outcome{Job: h.id, Attempt: i, Worker: a.host.ID, Result: logic.Cancelled, Closed: true})
		}
	}
}

func (b *Book) endOne(h *head, i int, r logic.Result) {
	a := &h.attempts[i]
	a.ended, a.heard, a.result = true, true, r
	h.out--
	b.slots -= h.slots
}

// attemptOf is an attempt that is out, by what a forwarder says; nil: there is none.
func (b *Book) attemptOf(f *forwarder, m *tier.Message) (*head, *attempt) {
	h := f.queries[m.Query]
	if h == nil || m.Attempt < 0 || m.Attempt >= len(h.attempts) || h.attempts[m.Attempt].ended {
		return h, nil
	}
	return h, &h.attempts[m.Attempt]
}

// ended takes in how an attempt has ended, or why its guard did not let it go.
func (b *Book) ended(f *forwarder, m *tier.Message) {
	if m.Why != tier.NotRefused {
		b.refused(f, m.Why)
		if m.Word != nil {
			b.word(*m.Word, f, nil)
		}
	}
	h, a := b.attemptOf(f, m)
	if a == nil || m.Why != tier.NotRefused && (!a.ours || a.heard) {
		b.counts.Strays++
		return
	}
	result := known(m.Result)
	if m.Why != tier.NotRefused {
		result = logic.NotSent
	}
	b.endOne(h, m.Attempt, result)
	lost := m.Why == tier.NoSuchQuery || m.Why == tier.NotYours
	b.event(logic.Outcome{Job: h.id, Attempt: m.Attempt, Worker: a.host.ID, Result: result,
		Closed: !h.live || result == logic.OK})
	switch {
	case h.live && lost:
		b.event(logic.ClientGone{Job: h.id})
		b.close(h)
	case h.live && result == logic.OK:
		b.counts.Served++
		b.close(h)
	case !h.live && h.out == 0:
		b.drop(h)
	default:
		b.hold(h)
	}
}

func (b *Book) started(f *forwarder, m *tier.Message) {
	h, a := b.attemptOf(f, m)
	if a == nil {
		b.counts.Strays++
		return
	}
	if a.heard = true; a.began == 0 {
		a.began = b.now
	}
	b.event(logic.Started{Job: h.id, Attempt: m.Attempt, Worker: a.host.ID})
}

func (b *Book) progressed(f *forwarder, m *tier.Message) {
	h, a := b.attemptOf(f, m)
	if a == nil {
		b.counts.Strays++
		return
	}
	if a.heard = true; a.began == 0 {
		a.began = b.now
	}
	if share := m.Share; share >= 0 && share <= 1 { // else it says nothing
		b.event(logic.Progressed{Job: h.id, Attempt: m.Attempt, Worker: a.host.ID, Share: share})
	}
}

// over takes in that nothing is owed for a query any more, or that it is not this planner's.
func (b *Book) over(f *forwarder, m *tier.Message) {
	if h := f.queries[m.Query]; h != nil && h.live {
		b.event(logic.ClientGone{Job: h.id})
		if b.close(h); h.out > 0 { // where it is another's now, nothing more is told of it
			b.expect(h)
		}
	}
}

// ---- What nobody will tell of ----

// lapseAt is when what is out of a closed head is taken to be over, unless it is heard of before. The earlier holds.
func (b *Book) lapseAt(h *head, at time.Duration) {
	if h.lapses {
		if h.At <= at {
			return
		}
		b.lapses.Remove(h)
	}
	h.At, h.lapses = at, true
	b.lapses.Add(h)
}

// expect is lapseAt for a head of whose attempts nobody may tell: they are over by the query's deadline, and before
// that once they have taken longer than can be explained.
func (b *Book) expect(h *head) {
	left := max(h.deadline-b.now, 0)
	if m, ok := b.module.(expecter); ok {
		most := time.Duration(0)
		for i := range h.attempts {
			if long, ok := m.Overlong(h.id, i); ok && !h.attempts[i].ended {
				most = max(most, long)
			}
		}
		if most > 0 {
			left = min(left, most)
		}
	}
	b.lapseAt(h, b.now+max(left, leastGrace))
}

// lapse ends what was to be over by now.
func (b *Book) lapse() {
	for b.lapses.Len() > 0 && (b.lapses.First().At <= b.now || len(b.jobs) > 4*b.conf.Heads) {
		h := b.lapses.First()
		b.counts.Lapsed += h.out
		b.endAll(h)
		b.drop(h)
	}
}

// ---- What the module wants ----

// act gives the module's orders.
func (b *Book) act(actions []logic.Action) {
	for i, action := range actions {
		switch a := action.(type) {
		case logic.Send:
			b.send(a)
		case logic.Refuse:
			if h := b.jobs[a.Job]; h != nil && h.live {
				b.sayTo(h.f, tier.Message{Kind: tier.Refuse, Query: h.query, After: a.After})
				b.counts.Refused++
				b.close(h)
			}
		case logic.Fail:
			if h := b.jobs[a.Job]; h != nil && h.live {
				b.sayTo(h.f, tier.Message{Kind: tier.Fail, Query: h.query})
				b.counts.Failed++
				b.close(h)
			}
		case logic.Cancel:
			if h := b.jobs[a.Job]; h != nil && h.f != nil && a.Attempt >= 0 && a.Attempt < len(h.attempts) &&
				!h.attempts[a.Attempt].ended {
				b.sayTo(h.f, tier.Message{Kind: tier.Cancel, Query: h.query, Attempt: a.Attempt})
			}
		case logic.Probe:
			b.probe(a.Worker)
		case logic.FreeLinks:
			b.free(a.Worker, actions[i+1:])
		case logic.SetTimer:
			if at := b.now + max(a.After, 1); b.moduleAt == 0 || at < b.moduleAt {
				b.moduleAt = at
			}
		case logic.Subscribe:
			b.asking = true
			b.dst = append(b.dst, Out{Kind: Watch, Generation: b.generation})
		case logic.Log:
			b.dst = append(b.dst, Out{Kind: Log, Text: a.Text})
		}
	}
	clear(actions)
	b.actions = actions[:0]
}

// send orders an attempt. Each order that a module gives has its outcome, be it at once.
func (b *Book) send(a logic.Send) {
	h := b.jobs[a.Job]
	if h == nil {
		b.event(logic.Outcome{Job: a.Job, Worker: a.Worker, Result: logic.NotSent, Closed: true})
		return
	}
	n := len(h.attempts)
	if !h.live || n >= 2*mostAttempts {
		b.attach(h, attempt{host: b.hostOf(a.Worker), sent: b.now, ended: true, heard: true, result: logic.NotSent})
		b.event(logic.Outcome{Job: a.Job, Attempt: n, Worker: a.Worker, Result: logic.NotSent, Closed: !h.live})
		return
	}
	b.attach(h, attempt{host: b.hostOf(a.Worker), sent: b.now, ours: true})
	b.held.remove(h, ofHeld)
	b.counts.Orders++
	b.sayTo(h.f, tier.Message{Kind: tier.Send, Query: h.query, Attempt: n, Worker: a.Worker, Patience: a.Patience})
}

// free closes idle links to a worker node: those of the forwarder that is to send there next, if that is why; else all.
func (b *Book) free(worker uint64, then []logic.Action) {
	if len(then) > 0 {
		if s, ok := then[0].(logic.Send); ok && s.Worker == worker {
			if h := b.jobs[s.Job]; h != nil && h.live {
				b.sayTo(h.f, tier.Message{Kind: tier.Free, Worker: worker})
				return
			}
		}
	}
	for _, f := range b.open {
		b.sayTo(f, tier.Message{Kind: tier.Free, Worker: worker})
	}
}

// turnAway ends a query that can't be taken in: there is no room for it, or its class is not known here.
func (b *Book) turnAway(f *forwarder, m *tier.Message) {
	b.counts.TurnedAway++
	x := m.Head
	if to := b.roomiest(1); to != "" && x.Moves < mostMoves {
		b.counts.Moved++
		b.sayTo(f, tier.Message{Kind: tier.Move, Query: m.Query, Name: to})
		return
	}
	for i := range x.Attempts {
		if x.Attempts[i].MayRun {
			b.sayTo(f, tier.Message{Kind: tier.Fail, Query: m.Query})
			return
		}
	}
	b.sayTo(f, tier.Message{Kind: tier.Refuse, Query: m.Query})
}
