// Package ledger is what a scheduler keeps in memory: queries, their attempts and deadlines, and the tables of
// ids. It feeds the decision module and hands on what the module wants done. It knows neither sockets nor any
// protocol: whatever speaks to clients enters queries by Take and is answered through Asker, and whatever
// speaks to worker nodes stands behind Carrier. A second protocol gets the same decisions and rules that way.
package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"valvecove/internal/due"
	"valvecove/logic"
)

// Asker is the side that a query came from. Of the three answers it gets exactly one, unless it is gone.
type Asker interface {
	Serve(result []byte)
	Throttle(after time.Duration) // refused: trying again is harmless
	Fail()
}

// Carrier is the side that reaches the worker nodes.
type Carrier interface {
	Carry(a *Attempt)    // starts it; its end is told by End or by a Note
	GiveUp(a *Attempt)   // it has ended here, and the worker node should know
	Withdraw(a *Attempt) // it was accepted, and ends once its worker node is told; Withdrawn says so
	Probe(worker uint64)
	FreeLinks(worker uint64)
	Watch(after int64) // follow the host group from this generation on
}

// Module makes the decisions; *logic.Dispatcher is the one that there is.
type Module interface {
	Step(now time.Duration, events []logic.Event, dst []logic.Action) []logic.Action
}

// Parcel is what the worker node is handed for a query, as it came.
type Parcel struct {
	Verb string `json:"Verb"`
	Path string `json:"Path"`
	Key  string `json:"Key"`
	Body []byte `json:"Body"`
}

// Arrival is a query as it comes in.
type Arrival struct {
	Call   string // the client's id for it
	Job    logic.Job
	Parcel Parcel
	Asker  Asker
}

// Query is owed exactly one final answer, or has attempts that are still out.
type Query struct {
	ID       uint64
	Call     string
	Parcel   Parcel
	Job      logic.Job
	Deadline time.Duration
	Came     time.Duration
	Sent     time.Duration // first; 0: not yet
	asker    Asker
	attempts []*Attempt
	out      int
	noted    []string // hosts whose note ended an attempt of it
	closed   bool
	left     bool    // closed by its client
	over     bool    // and the observers have been told
	answer   Answer  // which of the three it got
	outcome  Outcome // what its attempts have come to so far
}

// Attempt is one sending of a query.
type Attempt struct {
	due.Item // it is waited for until then
	Query    *Query
	Number   int
	Worker   uint64
	Stage    Stage  // kept by the carrier
	From     string // the host's own id
	sent     bool   // the carrier has it, or had it
	ended    bool
	result   logic.Result // once it has
	// withdrawing is set from the withdrawal of an accepted attempt until its worker node is told: it may run until then.
	withdrawing bool
	why         Reason // of that
	clouded     bool   // an attempt before it at the same host may still tell notes, and these name no attempt
}

// Ended tells whether it has its outcome. A note may bring that about before a carrier has written all of it: one that
// is told late, of an attempt before at the same host. A carrier then writes no more, as the query may be over, or out
// at another host by now.
func (a *Attempt) Ended() bool { return a.ended }

// Told tells whether its own worker node has said how it ended: nothing is left there that could be withdrawn.
func (a *Attempt) Told() bool {
	return a.ended && a.result != logic.TimedOut && a.result != logic.Cancelled
}

// mayTell holds of an attempt that has ended here without a word of its worker node, and may run there.
func (a *Attempt) mayTell() bool {
	return a.ended && a.Stage >= AllWritten &&
		(a.result == logic.Reset || a.result == logic.TimedOut || a.result == logic.Cancelled)
}

// Over tells whether a query has its answer, or has lost its client.
func (q *Query) Over() bool { return q.closed }

type attemptKey struct{ call, from string }

// Ledger is one scheduler's memory. It is used by one goroutine.
type Ledger struct {
	tries   int // at most so many attempts a query
	names   Names
	start   func() Module
	module  Module
	carrier Carrier
	log     *slog.Logger
	changes hostChanges

	observers []Observer

	events  []logic.Event // not told yet
	spare   []logic.Event
	actions []logic.Action
	timer   time.Duration // the module's; 0: none

	lastID     uint64
	bytes      int // of the bodies of queries
	queries    map[uint64]*Query
	calls      map[string]*Query // the open ones
	live       map[attemptKey]*Attempt
	expiries   due.Queue[*Attempt]
	table      hostTable
	generation int64
	await      time.Duration           // queries wait for news of the host group until then; 0: they don't
	ready      map[uint64]logic.Worker // the list as the module holds it
	bans       map[uint64]bool         // hosts taken out by hand
}

// New returns a ledger that knows the host group as it was once seen. start makes a module that knows nothing. What
// the module says, and what becomes of the host group, goes to the log.
func New(tries int, names Names, start func() Module, known HostGroup, carrier Carrier, log *slog.Logger) *Ledger {
	l := &Ledger{tries: tries, names: names, start: start, module: start(), carrier: carrier, log: log,
		queries: map[uint64]*Query{}, calls: map[string]*Query{}, live: map[attemptKey]*Attempt{},
		table: hostTable{map[string]uint64{}, map[uint64]Host{}}, ready: map[uint64]logic.Worker{}, bans: map[uint64]bool{}}
	known.Reset = true
	l.hosts(known, logic.ListCached)
	return l
}

// Await has queries wait for the first news of the host group, until then at most, or until it can't be had: what has
// changed since it was last known counts as told, also for a process that has not asked yet. 0 ends that.
func (l *Ledger) Await(until time.Duration) { l.await = until }

// answerIn is what a query that waits must be left with to be answered in time.
const answerIn = 100 * time.Millisecond

// ---- What comes in ----

// ErrRepeated refuses a query whose id belongs to one that is still open.
var ErrRepeated = errors.New("the id belongs to a query that is still open")

// Take enters a query. Arrival.Job.Left counts from now.
func (l *Ledger) Take(now time.Duration, in Arrival) (*Query, error) {
	if l.calls[in.Call] != nil {
		return nil, ErrRepeated
	}
	l.lastID++
	q := &Query{ID: l.lastID, Call: in.Call, Parcel: in.Parcel, Deadline: now + in.Job.Left, Came: now, asker: in.Asker}
	in.Job.ID = q.ID
	q.Job = in.Job
	l.queries[q.ID], l.calls[q.Call] = q, q
	l.bytes += len(q.Parcel.Body)
	l.events = append(l.events, in.Job)
	if l.await > 0 {
		l.await = max(1, min(l.await, q.Deadline-answerIn))
	}
	l.tell(News{What: NewsTaken, Query: q})
	return q, nil
}

// Gone closes a query whose client has left.
func (l *Ledger) Gone(q *Query) {
	if q.closed {
		return
	}
	l.events = append(l.events, logic.ClientGone{Job: q.ID})
	q.left = true
	l.close(q)
}

// conclude closes a query that gets this answer now.
func (l *Ledger) conclude(q *Query, a Answer) {
	q.answer = a
	l.close(q)
}

// close is the end of what is owed. The query itself stays for as long as attempts are out.
func (l *Ledger) close(q *Query) {
	if q.closed = true; l.calls[q.Call] == q {
		delete(l.calls, q.Call)
	}
	l.recall(q)
	if !q.left {
		l.tellOver(q)
	}
	l.drop(q)
}

// recall ends the attempts of a closed query that are not wholly written: nothing is sent on for which nobody waits, and
// what is on its way would be, once a connection that comes up late is there or takes in more.
func (l *Ledger) recall(q *Query) {
	for _, a := range q.attempts {
		if !a.ended && a.Stage < AllWritten {
			l.giveUp(a, Unsent)
		}
	}
}

func (l *Ledger) drop(q *Query) {
	if q.closed && q.out == 0 && l.queries[q.ID] == q {
		delete(l.queries, q.ID)
		l.bytes -= len(q.Parcel.Body)
		l.tellOver(q)
		l.tell(News{What: NewsDropped, Query: q})
	}
}

// End ends an attempt: fault nil means served, and the first such result answers the client. Each attempt ends
// once, and whatever comes later is void.
func (l *Ledger) End(a *Attempt, got []byte, fault *Fault) {
	if a.ended {
		return
	}
	q := a.Query
	a.ended, a.result, a.withdrawing = true, result(fault), false
	q.out--
	l.expiries.Remove(a)
	if k := (attemptKey{q.Call, a.From}); l.live[k] == a {
		delete(l.live, k)
	}
	if a.sent {
		q.came(fault.Outcome())
		l.tell(News{What: NewsEnded, Query: q, Attempt: a, Fault: fault})
	}
	if fault == nil && !q.closed {
		l.conclude(q, AnsweredServed)
		q.asker.Serve(got)
	}
	// What one worker node can't use none can: sent on, it would cost each of them, and each would look as if it
	// failed. The query ends here, and the module hears of an attempt that says nothing of the worker node.
	if fault != nil && fault.Reason == Unusable && !q.closed && q.out == 0 {
		l.conclude(q, AnsweredFailed)
		q.asker.Fail()
	}
	l.events = append(l.events, logic.Outcome{Job: q.ID, Attempt: a.Number, Worker: a.Worker,
		Result: a.result, Closed: q.closed})
	l.drop(q)
}

// Note is what a worker node tells of an attempt of its own accord.
type Note struct {
	ID     string  `json:"id"`
	From   string  `json:"from"`
	State  string  `json:"state"`
	Share  float64 `json:"share"`
	Result *string `json:"result"`
}

// States of a note.
var noteStates = map[string]bool{"started": true, "running": true, "done": true, "failed": true,
	"returned": true, "lost": true}

// ErrNote is a note that makes no sense.
var ErrNote = errors.New("a note needs id, from, a known state and, once done, a result")

// Tell takes a note. One about an attempt that is unknown or has ended is right and means nothing any more: it
// came twice, or belongs to a process that ran here before; known is false then. Notes may overtake the word that a job was accepted.
func (l *Ledger) Tell(n Note) (known bool, err error) {
	// What is served must be a worker node's own word, so one that is done without a result says nothing.
	if n.ID == "" || n.From == "" || !noteStates[n.State] || n.State == "done" && n.Result == nil {
		return false, ErrNote
	}
	a := l.live[attemptKey{n.ID, n.From}]
	l.tell(News{What: NewsNote, Attempt: a, Note: &n})
	if a == nil {
		return false, nil
	}
	if a.clouded && (n.State == "failed" || n.State == "returned" || n.State == "lost") {
		// It may be told of the attempt before it at this host: taken for this one's, that would send another copy while
		// this one runs. What is done is done, whichever it is.
		return true, nil
	}
	switch n.State {
	case "started":
		l.events = append(l.events, logic.Started{Job: a.Query.ID, Attempt: a.Number, Worker: a.Worker})
	case "running":
		l.events = append(l.events, logic.Progressed{Job: a.Query.ID, Attempt: a.Number, Worker: a.Worker, Share: n.Share})
	case "done":
		l.End(a, []byte(*n.Result), nil)
	case "failed", "returned", "lost":
		a.Query.noted = append(a.Query.noted, a.From)
	}
	switch n.State {
	case "failed":
		l.End(a, nil, &Fault{Stage: Accepted, Reason: Errored})
	case "returned":
		l.End(a, nil, &Fault{Stage: Accepted, Reason: Rejected})
	case "lost":
		l.End(a, nil, &Fault{Stage: Accepted, Reason: Cut})
	}
	return true, nil
}

// Hosts takes news of the host group.
func (l *Ledger) Hosts(g HostGroup) {
	l.await = 0
	kind := logic.ListDelta
	if g.Reset {
		kind = logic.ListFull
	}
	l.hosts(g, kind)
}

func (l *Ledger) hosts(g HostGroup, kind logic.ListKind) {
	l.generation = g.Generation
	list := l.table.take(g, l.names)
	l.note(list, kind != logic.ListDelta)
	if kind != logic.ListDelta {
		clear(l.ready)
	}
	for _, w := range list {
		if delete(l.ready, w.ID); !w.Gone {
			l.ready[w.ID] = w
		}
	}
	l.events = append(l.events, logic.WorkerList{Kind: kind, Workers: list, Generation: g.Generation})
	l.table.prune(l.ready, func(n uint64) bool {
		if l.bans[n] {
			return true
		}
		for k := range l.live {
			if k.from == l.table.hosts[n].ID {
				return true
			}
		}
		return false
	})
}

// NewSource tells that the host group comes from elsewhere from now on. The list at hand holds until that speaks,
// but its generation is of no use there.
func (l *Ledger) NewSource() { l.generation = 0 }

// Follow has the host group followed from the list at hand on, whatever the module has asked for.
func (l *Ledger) Follow() { l.carrier.Watch(l.generation) }

// Generation is the version of the list at hand; 0: none that discovery could tell the changes since.
func (l *Ledger) Generation() int64 { return l.generation }

// HostsLost tells that a call to discovery failed or the watch ended.
func (l *Ledger) HostsLost() {
	l.await = 0
	l.events = append(l.events, logic.WorkerList{Kind: logic.ListLost})
}

// Host gives a worker's entry in the host group as it was last seen.
func (l *Ledger) Host(worker uint64) Host { return l.table.hosts[worker] }

// Probed ends a probe.
func (l *Ledger) Probed(worker uint64, fault *Fault) {
	l.events = append(l.events, logic.Probed{Worker: worker, Result: result(fault)})
}

// CanServe tells whether a query that came now could be sent anywhere.
func (l *Ledger) CanServe() bool {
	for _, w := range l.ready {
		if w.Ready && !l.bans[w.ID] {
			return true
		}
	}
	return false
}

// Listed counts the worker nodes in the list.
func (l *Ledger) Listed() int { return len(l.ready) }

// Bytes counts what the bodies of queries take up, of those too that are answered and have attempts out.
func (l *Ledger) Bytes() int { return l.bytes }

// Open counts the queries that are owed an answer.
func (l *Ledger) Open() int { return len(l.calls) }

// ---- What goes out ----

// Next tells when Step wants to run at the latest; not ok: only when something has come in.
func (l *Ledger) Next() (at time.Duration, ok bool) {
	if l.await > 0 {
		return l.await, true
	}
	if len(l.events) > 0 {
		return 0, true
	}
	at = l.timer
	if l.expiries.Len() > 0 && (at == 0 || l.expiries.First().At < at) {
		at = l.expiries.First().At
	}
	return at, at > 0
}

// Wake has the next Step run the module though nothing has come in: it was told something by another way.
func (l *Ledger) Wake() { l.events = append(l.events, logic.TimerFired{}) }

// Step hands the module all that was gathered and carries out what it wants, in order. What the actions bring
// about at once (a refused connection, say) waits for the next Step.
func (l *Ledger) Step(now time.Duration) {
	if l.await > now {
		return
	}
	if l.await = 0; len(l.events) > 0 {
		l.catchUp(now)
	}
	if l.changes.any() {
		l.tellChanges(now)
	}
	for l.expiries.Len() > 0 && l.expiries.First().At <= now {
		a := l.expiries.First()
		if now >= a.Query.Deadline {
			l.giveUp(a, Expired)
			continue
		}
		l.expiries.Remove(a) // the patience is over, and the query is not: another copy may be sent
		a.At = a.Query.Deadline
		l.expiries.Add(a)
		l.withdraw(a, Expired)
	}
	if l.timer > 0 && l.timer <= now {
		l.timer = 0
		l.events = append(l.events, logic.TimerFired{})
	}
	if len(l.events) == 0 {
		return
	}
	events := l.events
	l.events = l.spare[:0]
	actions, ok := l.decide(now, events)
	clear(events)
	l.spare = events[:0]
	if !ok {
		return
	}
	for _, a := range actions {
		l.act(now, a)
	}
	clear(actions)
	l.actions = actions[:0]
}

// catchUp takes off the time that queries have waited for this step.
func (l *Ledger) catchUp(now time.Duration) {
	for i, e := range l.events {
		if j, ok := e.(logic.Job); ok {
			if q := l.queries[j.ID]; q != nil && q.Came < now {
				j.Left = q.Deadline - now
				l.events[i] = j
			}
		}
	}
}

// decide runs the module. Should it panic, what it knew can't be trusted any more: each open query gets its
// final answer here, each attempt is given up, and a new module starts from the host group held.
func (l *Ledger) decide(now time.Duration, events []logic.Event) (actions []logic.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("module panic: it is started anew", "panic", fmt.Sprint(p), "failed", len(l.calls),
				"stack", string(debug.Stack()))
			l.startAnew()
		}
	}()
	return l.module.Step(now, events, l.actions[:0]), true
}

// Finish gives each query that came since then and is still open its final answer now: time is up for this process.
func (l *Ledger) Finish(since time.Duration) {
	l.finish(func(q *Query) bool { return q.Came >= since })
}

// RefuseHeld refuses each open query of which nothing was ever sent: it would not run in the time that this process has.
func (l *Ledger) RefuseHeld() {
	l.finish(func(q *Query) bool { return len(q.attempts) == 0 })
}

func (l *Ledger) finish(is func(*Query) bool) {
	for _, q := range l.inOrder() {
		if !q.closed && is(q) {
			l.events = append(l.events, logic.ClientGone{Job: q.ID}) // as far as the module is concerned
			l.dismiss(q)
		}
	}
}

// dismiss answers an open query without the module.
func (l *Ledger) dismiss(q *Query) {
	switch {
	case q.closed:
		return
	case len(q.attempts) == 0:
		l.conclude(q, AnsweredBusy)
		q.asker.Throttle(0) // nothing was sent, so trying again is harmless
	default:
		l.conclude(q, AnsweredFailed)
		q.asker.Fail()
	}
}

// inOrder is all queries as they came: map order decides nothing.
func (l *Ledger) inOrder() []*Query {
	return slices.SortedFunc(maps.Values(l.queries), func(a, b *Query) int { return cmp.Compare(a.ID, b.ID) })
}

func (l *Ledger) startAnew() {
	for _, q := range l.inOrder() {
		for _, a := range q.attempts {
			if !a.ended {
				l.giveUp(a, Withdrawn)
			}
		}
		l.dismiss(q)
	}
	l.module, l.timer, l.events, l.actions = l.start(), 0, l.events[:0], nil
	l.events = append(l.events, l.asKnown()...)
}

func (l *Ledger) act(now time.Duration, action logic.Action) {
	switch a := action.(type) {
	case logic.Send:
		l.send(now, a)
	case logic.Refuse:
		if q := l.queries[a.Job]; q != nil && !q.closed {
			l.conclude(q, AnsweredBusy)
			q.asker.Throttle(a.After)
		}
	case logic.Fail:
		if q := l.queries[a.Job]; q != nil && !q.closed {
			l.conclude(q, AnsweredFailed)
			q.asker.Fail()
		}
	case logic.Cancel:
		if q := l.queries[a.Job]; q != nil && a.Attempt >= 0 && a.Attempt < len(q.attempts) {
			if t := q.attempts[a.Attempt]; !t.ended {
				l.withdraw(t, Withdrawn)
			}
		}
	case logic.Probe:
		l.carrier.Probe(a.Worker)
	case logic.FreeLinks:
		l.carrier.FreeLinks(a.Worker)
	case logic.SetTimer:
		if at := now + max(a.After, 1); l.timer == 0 || at < l.timer {
			l.timer = at
		}
	case logic.Subscribe:
		l.carrier.Watch(l.generation)
	case logic.Log:
		l.tellLog(a.Text)
	}
}

func (l *Ledger) send(now time.Duration, s logic.Send) {
	q := l.queries[s.Job]
	if q == nil { // it has ended with nothing out; still, each Send gets its outcome
		l.events = append(l.events, logic.Outcome{Job: s.Job, Worker: s.Worker, Result: logic.NotSent, Closed: true})
		return
	}
	a := &Attempt{Query: q, Number: len(q.attempts), Worker: s.Worker, From: l.table.hosts[s.Worker].ID}
	q.attempts = append(q.attempts, a)
	q.out++
	// Patience is trimmed to the deadline.
	if a.At = q.Deadline; s.Patience > 0 {
		a.At = min(a.At, now+s.Patience)
	}
	key := attemptKey{q.Call, a.From}
	switch {
	case q.closed || now >= q.Deadline || a.Number >= l.tries || l.live[key] != nil || l.bans[s.Worker] ||
		slices.Contains(q.noted, a.From):
		// Over, out of time or of tries; or the worker node has one of this query, and gets no second. Nor does one
		// whose note ended an earlier one: notes are told until they are answered and name no attempt, so that note
		// told again would end this one, and what never ran by it would be sent elsewhere while it runs.
		l.End(a, nil, &Fault{Reason: Unsent})
	case s.Patience < 0:
		l.End(a, nil, &Fault{Reason: Expired})
	default:
		l.live[key] = a
		l.expiries.Add(a)
		if q.Sent == 0 {
			q.Sent = now
		}
		a.sent = true
		a.clouded = q.mayHear(a)
		l.tell(News{What: NewsSent, Query: q, Attempt: a})
		l.carrier.Carry(a)
	}
}

// giveUp ends an attempt from this side and lets the worker node know.
func (l *Ledger) giveUp(a *Attempt, why Reason) {
	l.End(a, nil, &Fault{Stage: a.Stage, Reason: why})
	l.carrier.GiveUp(a)
}

// withdraw ends an attempt from this side of a query that may be sent on. An accepted one ends only once its worker node is
// told: a copy sent before would be a second one. It stays out until then, and its notes count.
func (l *Ledger) withdraw(a *Attempt, why Reason) {
	switch {
	case a.withdrawing:
	case a.Stage < Accepted || a.Query.closed:
		l.giveUp(a, why)
	default:
		a.withdrawing, a.why = true, why
		l.carrier.Withdraw(a)
	}
}

// Withdrawn tells what came of a withdrawal. With told, the attempt has been given up. Without, its worker node could not
// be reached: it is out as before, to its query's deadline at most, and may be withdrawn again.
func (l *Ledger) Withdrawn(a *Attempt, told bool) {
	if !a.withdrawing {
		return
	}
	if a.withdrawing = false; told {
		l.End(a, nil, &Fault{Stage: a.Stage, Reason: a.why})
	}
}

// mayHear tells whether what its host tells of an attempt may be meant for one before it.
func (q *Query) mayHear(a *Attempt) bool {
	return slices.ContainsFunc(q.attempts[:a.Number], func(o *Attempt) bool { return o.From == a.From && o.mayTell() })
}
