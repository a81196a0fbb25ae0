// Package guard holds every order of a planner against the rules, by the forwarder's own book, before a byte leaves. A
// planner may be slow, wrong, stale, or one of two that disagree: that may cost time, and breaks no rule.
//
// The book follows from what passes between the forwarder's ledger and whoever decides for it: events by Heard, what
// is done by Did. It shares no code with the rules of package logic, which decide elsewhere what is worth doing; this
// says only what may be done. Everything takes constant time but a whole list of worker nodes, and what is held is
// bounded by what the ledger holds, the list, and mostStrangers words.
//
// A word about a worker node can forbid, never allow: a node that the forwarder's own list has as draining, or not at
// all, gets nothing whatever others say, and one that it has as up gets nothing if the newest word of anybody is that
// it drains or is gone. So a wrong word shuts a node at worst.
package guard

import (
	"math"
	"slices"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// Mine is the epoch that the forwarder's own module orders by. No session has it.
const Mine tier.Epoch = 0

const (
	mostStrangers = 4096        // words kept of worker nodes that are not on the own list
	clocksDiffer  = time.Minute // a start later than this from now is no start
	marginPart    = 20          // of a window, which is not used: clocks and ways take some
)

// Guard is one forwarder's. It is used by one goroutine.
type Guard struct {
	set     logic.Settings
	now     time.Duration
	queries map[uint64]*query
	spare   []*query
	open    map[tier.Epoch]bool
	nodes   map[uint64]node
	words   words
	refused [tier.Reasons]int
}

// query is one that is owed an answer, or has attempts out.
type query struct {
	class    logic.Class
	deadline time.Duration
	owner    tier.Epoch
	owned    bool
	closed   bool // it has its answer, or its client has left
	stream   bool
	next     int // the number of its owner's next order
	checked  int // the number of the one that was checked last
	out      int
	attempts []attempt
}

// attempt is one sending, by its place in the query the ledger's number of it.
type attempt struct {
	worker     uint64
	cell, zone int
	number     int // by its owner's count, that of the time; else where it stands in the head
	sent       time.Duration
	began      time.Duration // 0: nothing was heard of a start
	ended      bool
	result     logic.Result
}

// node is an entry of the own list.
type node struct {
	kind, cell, zone int
	word             tier.WordOf
}

// New returns a guard that knows nothing but the platform's settings.
func New(set logic.Settings) *Guard {
	return &Guard{set: set, queries: map[uint64]*query{}, open: map[tier.Epoch]bool{}, nodes: map[uint64]node{},
		words: words{of: map[uint64]tier.WordOf{}}}
}

// ---- What has happened ----

// Heard takes in what the ledger tells. If it is the end of an attempt, number is that attempt's by the count of the
// query's owner. The ledger itself may not number it, where the query ended between two sendings of one step.
func (g *Guard) Heard(now time.Duration, e logic.Event) (number int, ended bool) {
	g.at(now)
	switch e := e.(type) {
	case logic.Job:
		g.arrive(e)
	case logic.Outcome:
		return g.end(e)
	case logic.Started:
		g.began(e.Job, e.Attempt, e.Worker)
	case logic.Progressed:
		g.began(e.Job, e.Attempt, e.Worker)
	case logic.StreamBegun:
		g.began(e.Job, e.Attempt, e.Worker)
		if q := g.queries[e.Job]; q != nil {
			q.stream = true
		}
	case logic.ClientGone:
		g.close(e.Job)
	case logic.WorkerList:
		g.enter(e)
	}
	return 0, false
}

func (g *Guard) at(now time.Duration) { g.now = max(g.now, now) }

func (g *Guard) arrive(e logic.Job) {
	if g.queries[e.ID] != nil || e.Class < 0 || e.Class >= len(g.set.Classes) {
		return
	}
	q := &query{}
	if last := len(g.spare) - 1; last >= 0 {
		q, g.spare = g.spare[last], g.spare[:last]
	}
	*q = query{class: g.set.Classes[e.Class], deadline: g.now + max(e.Left, 0), checked: -1, attempts: q.attempts[:0]}
	g.queries[e.ID] = q
}

func (g *Guard) find(id uint64, number int, worker uint64) *attempt {
	if q := g.queries[id]; q != nil && number >= 0 && number < len(q.attempts) {
		if a := &q.attempts[number]; !a.ended && a.worker == worker {
			return a
		}
	}
	return nil
}

func (g *Guard) began(id uint64, number int, worker uint64) {
	if a := g.find(id, number, worker); a != nil && a.began == 0 {
		a.began = max(g.now, 1)
	}
}

func (g *Guard) end(e logic.Outcome) (number int, ended bool) {
	q := g.queries[e.Job]
	if q == nil {
		return 0, false
	}
	a := g.find(e.Job, e.Attempt, e.Worker)
	if a == nil && e.Closed && e.Result == logic.NotSent {
		// The ledger had let go of the query by then, and numbers no attempt of it.
		if i := slices.IndexFunc(q.attempts, func(a attempt) bool { return !a.ended && a.worker == e.Worker }); i >= 0 {
			a = &q.attempts[i]
		}
	}
	if a != nil {
		a.ended, a.result = true, e.Result
		number, ended = a.number, true
		q.out--
	}
	if e.Closed || e.Result == logic.OK || q.stream {
		q.closed = true
	}
	g.drop(e.Job, q)
	return number, ended
}

func (g *Guard) close(id uint64) {
	if q := g.queries[id]; q != nil {
		q.closed = true
		g.drop(id, q)
	}
}

// drop forgets a query that is over. Its memory is used again.
func (g *Guard) drop(id uint64, q *query) {
	if q.closed && q.out == 0 {
		delete(g.queries, id)
		g.spare = append(g.spare, q)
	}
}

// Did takes in what is done for a query: a Send that Check has allowed, or a final answer, whoever's. All else is of no
// matter here.
func (g *Guard) Did(now time.Duration, action logic.Action) {
	g.at(now)
	switch a := action.(type) {
	case logic.Send:
		q := g.queries[a.Job]
		if q == nil {
			return
		}
		n := g.nodes[a.Worker]
		q.attempts = append(q.attempts, attempt{worker: a.Worker, cell: n.cell, zone: n.zone, number: q.checked,
			sent: g.now})
		q.out++
	case logic.Refuse:
		g.close(a.Job)
	case logic.Fail:
		g.close(a.Job)
	}
}

// enter takes in a list.
func (g *Guard) enter(e logic.WorkerList) {
	if e.Kind == logic.ListLost {
		return
	}
	if e.Kind != logic.ListDelta {
		clear(g.nodes)
	}
	for _, w := range e.Workers {
		if w.Gone {
			delete(g.nodes, w.ID)
			g.words.strange(w.ID)
			continue
		}
		n := node{w.Kind, w.Cell, w.Zone, tier.WordOf{Worker: w.ID, StartedMs: w.BootAt.Milliseconds(),
			Generation: e.Generation}}
		if !w.Ready {
			n.word.State = tier.Draining
		}
		g.nodes[w.ID] = n
		g.words.met(w.ID)
	}
	if e.Kind != logic.ListDelta {
		g.words.relist(func(worker uint64) bool {
			_, listed := g.nodes[worker]
			return listed
		})
	}
}

// ---- Whose a query is ----

// Open tells that a session has begun.
func (g *Guard) Open(epoch tier.Epoch) { g.open[epoch] = true }

// Close tells that it is over: what comes of it is void.
func (g *Guard) Close(epoch tier.Epoch) { delete(g.open, epoch) }

// Give says who may order for a query from now on. Its orders are numbered after the attempts that there have been.
func (g *Guard) Give(id uint64, epoch tier.Epoch) {
	if q := g.queries[id]; q != nil {
		q.owner, q.owned = epoch, true
		q.next = len(q.attempts)
		for i := range q.attempts {
			q.attempts[i].number = i
		}
	}
}

// Take says that nobody may.
func (g *Guard) Take(id uint64) {
	if q := g.queries[id]; q != nil {
		q.owned = false
	}
}

// Number is how the owner of a query counts an attempt.
func (g *Guard) Number(id uint64, attempt int) (number int, ok bool) {
	if q := g.queries[id]; q != nil && attempt >= 0 && attempt < len(q.attempts) {
		return q.attempts[attempt].number, true
	}
	return 0, false
}

// Next is the number that the next order of a query's owner has at least.
func (g *Guard) Next(id uint64) int {
	if q := g.queries[id]; q != nil {
		return q.next
	}
	return 0
}

// Attempt is the ledger's number of what its owner counts as number; not ok: it was never sent.
func (g *Guard) Attempt(id uint64, number int) (attempt int, ok bool) {
	q := g.queries[id]
	if q == nil {
		return 0, false
	}
	for i := range q.attempts {
		if q.attempts[i].number == number {
			return i, true
		}
	}
	return 0, false
}

// ---- What may be done ----

// Check says why an order that came by a session, or Mine, may not be followed, and counts it. Each Send uses up its
// number, if the query is its sender's. What is allowed is to be done at once, and told by Did.
func (g *Guard) Check(now time.Duration, epoch tier.Epoch, m *tier.Message) tier.Why {
	g.at(now)
	why := g.check(epoch, m)
	if why != tier.NotRefused {
		g.refused[why]++
	}
	return why
}

// Refused counts the orders that were refused for a reason.
func (g *Guard) Refused(why tier.Why) int {
	if why < tier.Reasons {
		return g.refused[why]
	}
	return 0
}

func (g *Guard) check(epoch tier.Epoch, m *tier.Message) tier.Why {
	if epoch != Mine && !g.open[epoch] {
		return tier.OldEpoch
	}
	switch m.Kind {
	case tier.Probe, tier.Free:
		return g.checkNode(m)
	case tier.Send, tier.Refuse, tier.Fail, tier.Cancel, tier.Move:
	default:
		return tier.NotAllowed
	}
	q := g.queries[m.Query]
	switch {
	case q == nil || q.closed || q.stream:
		return tier.NoSuchQuery
	case !q.owned || q.owner != epoch:
		return tier.NotYours
	}
	switch m.Kind {
	case tier.Send:
		if m.Attempt < q.next || m.Attempt >= math.MaxInt32 {
			return tier.Repeated
		}
		q.next, q.checked = m.Attempt+1, m.Attempt
		return g.maySend(q, m.Worker)
	case tier.Refuse:
		if !q.harmless() {
			return tier.NotHarmless
		}
	case tier.Cancel:
		if !g.set.Cancelling {
			return tier.NotAllowed
		}
		i, ok := g.Attempt(m.Query, m.Attempt)
		if !ok || q.attempts[i].ended {
			return tier.NoSuchQuery
		}
	}
	return tier.NotRefused
}

func (g *Guard) checkNode(m *tier.Message) tier.Why {
	if _, listed := g.nodes[m.Worker]; !listed {
		return tier.NoSuchNode
	}
	if m.Kind == tier.Probe && !g.set.Probes {
		return tier.NotAllowed
	}
	return tier.NotRefused
}

// maySend holds a further attempt against all rules.
func (g *Guard) maySend(q *query, worker uint64) tier.Why {
	switch n, listed := g.nodes[worker]; {
	case g.now >= q.deadline:
		return tier.PastDeadline
	case len(q.attempts) >= max(1, g.set.TryLimit):
		return tier.TooManyTries
	case !listed:
		return tier.NoSuchNode
	case !allowed(q.class.Kinds, n.kind) || !allowed(q.class.Zones, n.zone):
		return tier.NotForClass
	case n.word.State != tier.Up || g.words.forbid(n.word):
		return tier.NodeDrains
	default:
		for i := range q.attempts {
			if why := g.besides(q, &q.attempts[i], worker, n); why != tier.NotRefused {
				return why
			}
		}
	}
	return tier.NotRefused
}

// besides holds an attempt against one that there has been.
func (g *Guard) besides(q *query, a *attempt, worker uint64, n node) tier.Why {
	if a.mayHaveRun() {
		switch c := &q.class; {
		case c.Effect == logic.Safe:
		case c.Effect != logic.Keyed:
			return tier.MayHaveRun
		case c.Group == logic.GroupCell && n.cell != a.cell, c.Group == logic.GroupZone && n.zone != a.zone:
			return tier.OutsideGroup
		case g.now-a.sent >= c.Window-c.Window/marginPart:
			return tier.PastWindow
		}
	}
	switch {
	case a.ended:
	case a.worker == worker:
		return tier.TwiceAtNode
	case !g.set.SecondCopies:
		return tier.SecondCopy
	}
	return tier.NotRefused
}

// mayHaveRun tells whether a worker node may have begun it, or may yet. Only three ends prove that it has not; one that
// this build doesn't know proves nothing.
func (a *attempt) mayHaveRun() bool {
	if !a.ended {
		return true
	}
	switch a.result {
	case logic.Full, logic.NoConnect, logic.NotSent:
		return false
	}
	return true
}

// harmless tells whether the client may be told to come back.
func (q *query) harmless() bool {
	switch c := &q.class; {
	case c.Effect == logic.Safe, c.Effect == logic.Keyed && c.Group == logic.GroupAll:
		return true
	}
	for i := range q.attempts {
		if q.attempts[i].mayHaveRun() {
			return false
		}
	}
	return true
}

// allowed tells whether a class may go to a kind or a zone; nil: to any.
func allowed(names []int, name int) bool { return names == nil || slices.Contains(names, name) }

// ---- What others want to know ----

// Harmless tells whether a refusal of a query is: whoever gives it up refuses it then, and else fails it.
func (g *Guard) Harmless(id uint64) bool {
	q := g.queries[id]
	return q != nil && q.harmless()
}

// Out counts the attempts of a query that are out.
func (g *Guard) Out(id uint64) int {
	if q := g.queries[id]; q != nil {
		return q.out
	}
	return 0
}

// Sent counts the attempts that there have been.
func (g *Guard) Sent(id uint64) int {
	if q := g.queries[id]; q != nil {
		return len(q.attempts)
	}
	return 0
}

// Spent tells that no attempt of a query may be sent any more, to no worker node: its tries or its time are used up, or
// it has run, for all that is known, and may not run again.
func (g *Guard) Spent(now time.Duration, id uint64) bool {
	g.at(now)
	q := g.queries[id]
	if q == nil || q.closed || q.stream || g.now >= q.deadline || len(q.attempts) >= max(1, g.set.TryLimit) {
		return true
	}
	for i := range q.attempts {
		c := &q.class
		if a := &q.attempts[i]; a.mayHaveRun() && c.Effect != logic.Safe &&
			(c.Effect != logic.Keyed || g.now-a.sent >= c.Window-c.Window/marginPart) {
			return true
		}
	}
	return false
}

// Fates appends what became of each attempt of a query, as a head tells it.
func (g *Guard) Fates(now time.Duration, id uint64, dst []tier.Past) []tier.Past {
	g.at(now)
	q := g.queries[id]
	if q == nil {
		return dst
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		p := tier.Past{Worker: a.worker, Ago: g.now - a.sent, Ended: a.ended, Result: a.result, MayRun: a.mayHaveRun()}
		if a.began > 0 {
			p.Began = max(g.now-a.began, 1)
		}
		dst = append(dst, p)
	}
	return dst
}

// Word takes in what somebody says of a worker node. news: it is newer than all that was known of it.
func (g *Guard) Word(now time.Duration, w tier.WordOf) (news bool) {
	g.at(now)
	if time.Duration(w.StartedMs) > (g.now+clocksDiffer)/time.Millisecond || w.StartedMs < 0 {
		return false
	}
	n, listed := g.nodes[w.Worker]
	return g.words.take(w, listed) && (!listed || w.Newer(n.word))
}

// Against is the newest word by which a worker node gets nothing.
func (g *Guard) Against(worker uint64) (w tier.WordOf, ok bool) {
	switch n, listed := g.nodes[worker]; {
	case !listed:
		return w, false
	case g.words.forbid(n.word):
		return g.words.of[worker], true
	default:
		return n.word, n.word.State != tier.Up
	}
}

// Shut tells whether a worker node that the own list has as up gets nothing all the same, by the word of others.
func (g *Guard) Shut(worker uint64) bool {
	n, listed := g.nodes[worker]
	return listed && n.word.State == tier.Up && g.words.forbid(n.word)
}

// Queries counts those that are known, closed ones with attempts out too.
func (g *Guard) Queries() int { return len(g.queries) }
