package planner

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// play is a book with forwarders, peers and a fleet round it, in virtual time, and all of it by chance.
type play struct {
	t     *rapid.T
	rng   *rand.Rand // all but how much there is of everything: rapid would have nearly all of it happen at once
	b     *Planner
	conf  Config
	now   time.Duration
	timer time.Duration // 0: none
	ins   []Event
	steps []step
	fwds  []*mForwarder
	conns map[SessionID]*mConn
	last  SessionID
	shut  map[SessionID]bool // by the book
	nodes []dispatch.Worker
	lists int64                           // generations
	words map[uint64]message.WorkerStatus // the newest that the book was told
	list  map[uint64]dispatch.Worker      // and discovery's word
	peers map[string]bool
	owner []string
	stops bool
	done  bool
	quiet bool // nothing new is begun
	calm  int  // steps between two things that happen to them all
	sends int
	moves int
}

type step struct {
	now  time.Duration
	ins  []Event
	outs []Action
}

// mConn is a connection: what was said arrives in order, and what is on its way when it ends is lost.
type mConn struct {
	id     SessionID
	who    *mForwarder
	f      *mForwarder // the same; nil: it has another by now
	toBook []said
	toFwd  []said
	epoch  message.Epoch // the newest that the book was told, or will be in its next step
	credit int
}

type said struct {
	at time.Duration
	e  message.Envelope
}

type mForwarder struct {
	p       *play
	name    string
	process uint64
	epoch   message.Epoch
	conn    *mConn
	open    bool // welcomed
	leaving bool
	credit  int
	lastID  uint64
	queries map[uint64]*mQuery
	due     []mDue
}

type mQuery struct {
	id       uint64
	head     message.RequestSummary
	came     time.Duration
	deadline time.Duration
	with     message.Epoch // the session that has it; 0: none
	next     int           // number of the next order
	over     bool
	answered message.Epoch // by an order of this session
	attempts []mAttempt
	barred   message.Epoch
}

type mAttempt struct {
	worker uint64
	sent   time.Duration
	began  time.Duration
	ended  bool
	result dispatch.Result
	number int // in the count of who has the query now, or had it last
}

type mDue struct {
	at      time.Duration
	process uint64
	query   uint64
	attempt int
	starts  bool
	result  dispatch.Result
}

func (p *play) pick(n int) int { return p.rng.IntN(n) }

func (p *play) one(in int) bool { return p.pick(in) == 0 }

func (p *play) span(most time.Duration) time.Duration {
	return time.Duration(p.pick(1000)) * most / 1000
}

func newPlay(t *rapid.T) *play {
	draw := func(what string, n int) int { return rapid.IntRange(0, n-1).Draw(t, what) }
	p := &play{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Hour, conns: map[SessionID]*mConn{}, words: map[uint64]message.WorkerStatus{},
		list: map[uint64]dispatch.Worker{}, peers: map[string]bool{}, shut: map[SessionID]bool{}, owner: []string{me},
	}
	p.conf = Config{MaxOpenRequests: 6 + draw("heads", 60), MinCredit: 1 + draw("least", 4), MaxCredit: 4 + draw("most", 40), MaxSessions: 8}
	p.calm = draw("calm", 30) + 1
	p.b = newBook(p.conf)
	for n := range 1 + draw("forwarders", 4) {
		p.fwds = append(p.fwds, &mForwarder{p: p, name: fmt.Sprintf("fwd-%d", n), process: 1, queries: map[uint64]*mQuery{}})
	}
	for n := range 1 + draw("nodes", 8) {
		p.nodes = append(p.nodes, dispatch.Worker{ID: uint64(n + 1), Kind: n % 2, Zone: n % 2, Cell: n / 2, Ready: true})
	}
	p.lists = 1
	p.tellList(dispatch.ListFull)
	return p
}

// tellList has discovery speak.
func (p *play) tellList(kind dispatch.ListKind, which ...dispatch.Worker) {
	l := dispatch.WorkerList{Kind: kind, Revision: p.lists, Workers: which}
	if kind != dispatch.ListDelta {
		l.Workers = nil
		for _, w := range p.nodes {
			if !w.Removed {
				l.Workers = append(l.Workers, w)
			}
		}
		for _, id := range slices.Sorted(maps.Keys(p.list)) {
			if !slices.ContainsFunc(l.Workers, func(w dispatch.Worker) bool { return w.ID == id }) {
				p.gone(p.list[id])
			}
		}
	}
	for _, w := range l.Workers {
		if w.Removed {
			p.gone(w)
			continue
		}
		p.list[w.ID] = w
		p.newest(entryStatus(&w, p.lists))
	}
	p.ins = append(p.ins, EndpointsChanged{Endpoints: l})
}

func (p *play) gone(w dispatch.Worker) {
	if known, ok := p.list[w.ID]; ok {
		x := entryStatus(&w, p.lists)
		x.StartedMs = max(x.StartedMs, known.BootAt.Milliseconds())
		x.State = message.WorkerGone
		if was := p.words[w.ID]; was.Supersedes(x) && was.State != message.WorkerGone {
			return
		}
		delete(p.list, w.ID)
		p.newest(x)
	}
}

func (p *play) newest(w message.WorkerStatus) {
	if was, ok := p.words[w.WorkerID]; !ok || w.Supersedes(was) {
		p.words[w.WorkerID] = w
	}
}

// step lets time pass, delivers what is due, and has the book step.
func (p *play) step(most time.Duration) {
	next := p.now + p.span(most)
	if p.timer > 0 && p.timer < next {
		next = p.timer
	}
	p.now = next
	if p.timer > 0 && p.timer <= p.now {
		p.timer = 0
		p.ins = append(p.ins, TimerFired{})
	}
	for _, id := range slices.Sorted(maps.Keys(p.conns)) {
		c := p.conns[id]
		for len(c.toFwd) > 0 && c.toFwd[0].at <= p.now && p.conns[id] == c {
			e := c.toFwd[0].e
			c.toFwd = c.toFwd[1:]
			if c.f != nil {
				c.f.hear(c, e)
			}
		}
	}
	for _, f := range p.fwds {
		f.work()
	}
	for _, id := range slices.Sorted(maps.Keys(p.conns)) {
		c := p.conns[id]
		for len(c.toBook) > 0 && c.toBook[0].at <= p.now {
			e := c.toBook[0].e
			c.toBook = c.toBook[1:]
			switch m := e.Message.(type) {
			case *message.Handshake:
				c.epoch, c.credit = e.Epoch, 0 // what was told in the session before is void
			case *message.WorkerStatus:
				_, listed := p.list[m.WorkerID]
				if c.who.welcomedAs(id, e.Epoch) && (listed || m.State != message.WorkerUp || p.words[m.WorkerID].WorkerID != 0) {
					p.newest(*m)
				}
			}
			p.ins = append(p.ins, ForwarderMessage{Session: id, Envelope: e})
		}
	}
	ins := p.ins
	p.ins = nil
	outs := p.b.Step(p.now, ins, nil)
	if p.steps = append(p.steps, step{p.now, ins, outs}); len(p.steps) > 20_000 {
		p.t.Fatalf("%v: it steps on and on, and gave %v", p.now, outs)
	}
	p.carry(outs)
	if err := checkBook(p.b); err != nil {
		p.t.Fatalf("%v: %v", p.now, err)
	}
}

// welcomedAs tells whether the book has this forwarder's session under an epoch.
func (f *mForwarder) welcomedAs(id SessionID, epoch message.Epoch) bool {
	known := f.p.b.forwarders.byName[f.name]
	return known != nil && known.session != nil && known.session.id == id && known.epoch == epoch
}

// carry takes in what the book wants done.
func (p *play) carry(outs []Action) {
	for i := range outs {
		if p.done {
			p.t.Fatalf("%T after it was done", outs[i])
		}
		switch o := outs[i].(type) {
		case SendToForwarder:
			c := p.conns[o.Session]
			if c == nil {
				p.t.Fatalf("%v said to session %d, which is over", o.Envelope.Message.Kind(), o.Session)
			}
			p.heed(c, o.Envelope)
			c.toFwd = append(c.toFwd, said{p.later(c.toFwd), o.Envelope})
		case SendToPeer:
			if !p.peers[o.Peer] {
				p.t.Fatalf("said to peer %q, to which there is no connection", o.Peer)
			}
		case CloseSession:
			if p.shut[o.Session] {
				p.t.Fatalf("session %d closed twice", o.Session)
			}
			if p.shut[o.Session] = true; p.conns[o.Session] != nil { // else it has ended by itself just then
				p.cut(p.conns[o.Session], false)
			}
		case SetTimer:
			if at := p.now + o.After; p.timer == 0 || at < p.timer {
				p.timer = at
			}
		case Stopped:
			p.done = true
		}
	}
}

// heed checks what the book says, as it says it.
func (p *play) heed(c *mConn, e message.Envelope) {
	switch m := e.Message.(type) {
	case *message.HandshakeAccept:
		p.heedCredit(c, e.Epoch, m.Credit)
	case *message.CreditUpdate:
		p.heedCredit(c, e.Epoch, m.Credit)
	case *message.SendCommand:
		p.sends++
		w, listed := p.list[m.WorkerID]
		if !listed || p.words[m.WorkerID].State != message.WorkerUp {
			p.t.Fatalf("order to worker %d, of which the newest word is %+v", m.WorkerID, p.words[m.WorkerID])
		}
		if who := p.owner[w.Cell%len(p.owner)]; who != me {
			p.t.Fatalf("order to worker %d, which is %s's", m.WorkerID, who)
		}
	case *message.TransferCommand:
		if p.moves++; m.Planner != "" && !p.peers[m.Planner] {
			p.t.Fatalf("moved to %q, which is not alive", m.Planner)
		}
	}
}

func (p *play) heedCredit(c *mConn, epoch message.Epoch, credit int) {
	if epoch == c.epoch {
		c.credit = credit
	}
	sum := 0
	for _, c := range p.conns {
		sum += c.credit
	}
	if sum > p.conf.MaxOpenRequests {
		p.t.Fatalf("credits told come to %d of %d", sum, p.conf.MaxOpenRequests)
	}
}

// later is when something arrives that is said now, behind what was said before.
func (p *play) later(queue []said) time.Duration {
	at := p.now + p.span(20*ms)
	if n := len(queue); n > 0 {
		at = max(at, queue[n-1].at)
	}
	return at
}

// cut ends a connection, with what is on its way.
func (p *play) cut(c *mConn, heard bool) {
	delete(p.conns, c.id)
	if heard {
		p.ins = append(p.ins, SessionClosed{Session: c.id})
	}
	if f := c.f; f != nil && f.conn == c {
		f.conn = nil
		f.lose()
	}
}

func (f *mForwarder) lose() {
	f.open, f.credit, f.leaving = false, 0, false
	for _, q := range f.queries {
		q.with = 0
	}
}

// tell says something to the book.
func (f *mForwarder) tell(m message.Message) {
	_, opens := m.(*message.Handshake)
	if f.conn != nil && (f.open || opens) {
		e := message.Envelope{Epoch: f.epoch, Message: m}
		f.conn.toBook = append(f.conn.toBook, said{f.p.later(f.conn.toBook), e})
	}
}

// connect opens a session; again: on the connection that is there.
func (f *mForwarder) connect(again bool) {
	p := f.p
	if !again || f.conn == nil {
		p.last++
		c := &mConn{id: p.last, who: f, f: f}
		p.conns[c.id] = c
		p.ins = append(p.ins, SessionOpened{Session: c.id})
		if f.conn != nil { // the old one is not known to have ended yet
			f.conn.f = nil
		}
		f.conn = c
	}
	f.lose()
	f.epoch++
	f.tell(&message.Handshake{Name: f.name, Incarnation: f.process, Version: 0x101})
}

// hear takes what the planner says.
func (f *mForwarder) hear(c *mConn, e message.Envelope) {
	p := f.p
	if c != f.conn || e.Epoch != f.epoch {
		return
	}
	switch m := e.Message.(type) {
	case *message.HandshakeAccept:
		f.open, f.credit = true, m.Credit
	case *message.CreditUpdate:
		f.credit = m.Credit
	case *message.Goodbye:
		f.leaving = true
		for _, q := range f.inOrder() {
			if q.with == f.epoch {
				f.tell(&message.RequestClosed{RequestID: q.id})
				q.with = 0
			}
		}
	case *message.SendCommand:
		f.obey(f.queries[m.RequestID], m)
	case *message.RejectCommand:
		f.answer(f.queries[m.RequestID], m)
	case *message.FailCommand:
		f.answer(f.queries[m.RequestID], m)
	case *message.TransferCommand:
		f.handOn(f.queries[m.RequestID], m)
	case *message.CancelCommand:
		q := f.queries[m.RequestID]
		for i := range q.attemptsOf() {
			if a := &q.attempts[i]; a.number == m.Attempt && !a.ended && q.with == f.epoch {
				f.end(q, i, dispatch.Cancelled)
			}
		}
	case *message.HealthCheckCommand:
		f.tell(&message.HealthCheckResult{WorkerID: m.WorkerID, Result: dispatch.Result(p.pick(9))})
	}
}

// mayDecide tells whether the planner may give a final order for a query. It is none if it was given before the book read
// of what has become of the query.
func (f *mForwarder) mayDecide(q *mQuery, m message.Command) bool {
	if q == nil || q.over && q.answered != f.epoch || q.barred == f.epoch || f.leaving {
		return false
	}
	if q.with != f.epoch {
		f.p.t.Fatalf("%v of query %d, which is not with the planner", m.Kind(), q.id)
	}
	return true
}

// answer carries out an order to reject or fail a query.
func (f *mForwarder) answer(q *mQuery, m message.Command) {
	if f.mayDecide(q, m) {
		q.answered = f.epoch
		f.close(q)
	}
}

// handOn carries out an order to move a query to another planner.
func (f *mForwarder) handOn(q *mQuery, m *message.TransferCommand) {
	p := f.p
	if !f.mayDecide(q, m) {
		return
	}
	q.with, q.barred = 0, f.epoch
	if m.Planner != "" && q.head.Transfers >= 2 {
		p.t.Fatalf("query %d moved %d times", q.id, q.head.Transfers)
	}
	if q.head.Transfers++; m.Planner == "" || p.one(2) {
		f.close(q)
	}
}

func (q *mQuery) attemptsOf() []mAttempt {
	if q == nil {
		return nil
	}
	return q.attempts
}

// obey carries out an order to send, or refuses it as a guard may.
func (f *mForwarder) obey(q *mQuery, m *message.SendCommand) {
	p := f.p
	refuse := func(why message.RejectReason) {
		f.tell(&message.AttemptEnded{RequestID: m.RequestID, Attempt: m.Attempt, Result: dispatch.NotSent, Reason: why})
	}
	switch {
	case q == nil || q.over:
		refuse(message.ReasonUnknownRequest)
		return
	case q.with != f.epoch:
		refuse(message.ReasonNotOwner)
		return
	case m.Attempt != q.next:
		p.t.Fatalf("query %d: order of number %d, expected %d", q.id, m.Attempt, q.next)
	}
	q.next++
	for _, a := range q.attempts {
		if !a.ended && a.worker == m.WorkerID {
			p.t.Fatalf("query %d goes twice to worker %d", q.id, m.WorkerID)
		}
		c := &p.b.config.Settings.Classes[q.head.Class]
		if c.Idempotency == dispatch.NonIdempotent && (!a.ended || !provesNotExecuted(a.result)) {
			p.t.Fatalf("query %d is sent again though it may have run", q.id)
		}
	}
	if p.one(12) {
		refuse([]message.RejectReason{message.ReasonWorkerDraining, message.ReasonUnknownWorker, message.ReasonDeadlineExceeded}[p.pick(3)])
		return
	}
	q.attempts = append(q.attempts, mAttempt{worker: m.WorkerID, sent: p.now, number: m.Attempt})
	n := len(q.attempts) - 1
	at := p.now + p.span(40*ms)
	if p.one(8) { // nothing is heard of it
		f.later(q.deadline, q, n, false, dispatch.TimedOut)
		return
	}
	result := dispatch.OK
	if p.one(4) {
		result = dispatch.Result(1 + p.pick(6))
	}
	if result == dispatch.OK || result == dispatch.Failed || p.one(2) {
		f.later(at, q, n, true, 0)
		at += p.span(300 * ms)
	}
	f.later(min(at, q.deadline), q, n, false, result)
}

func (f *mForwarder) later(at time.Duration, q *mQuery, attempt int, starts bool, r dispatch.Result) {
	f.due = append(f.due, mDue{max(at, f.p.now+1), f.process, q.id, attempt, starts, r})
	slices.SortStableFunc(f.due, func(a, b mDue) int { return cmp.Compare(a.at, b.at) })
}

// end is an attempt's end, which the session that has the query hears of, or had it until its answer.
func (f *mForwarder) end(q *mQuery, i int, r dispatch.Result) {
	a := &q.attempts[i]
	if a.ended {
		return
	}
	a.ended, a.result = true, r
	if q.with == f.epoch {
		f.tell(&message.AttemptEnded{RequestID: q.id, Attempt: a.number, Result: r})
	}
	if r == dispatch.OK && !q.over {
		f.close(q)
	}
}

func (f *mForwarder) close(q *mQuery) { q.over = true }

func (f *mForwarder) inOrder() []*mQuery {
	return slices.SortedFunc(maps.Values(f.queries), func(a, b *mQuery) int { return cmp.Compare(a.id, b.id) })
}

// work is what a forwarder does by itself.
func (f *mForwarder) work() {
	p := f.p
	for len(f.due) > 0 && f.due[0].at <= p.now {
		d := f.due[0]
		f.due = f.due[1:]
		q := f.queries[d.query]
		if d.process != f.process || q == nil || q.attempts[d.attempt].ended {
			continue
		}
		if a := &q.attempts[d.attempt]; !d.starts {
			f.end(q, d.attempt, d.result)
		} else if a.began = p.now; q.with == f.epoch {
			f.tell(&message.AttemptStarted{RequestID: q.id, Attempt: a.number})
		}
	}
	open := 0
	for _, q := range f.inOrder() {
		out := slices.ContainsFunc(q.attempts, func(a mAttempt) bool { return !a.ended })
		if !q.over && (p.now >= q.deadline || p.one(400)) {
			if q.with == f.epoch {
				f.tell(&message.RequestClosed{RequestID: q.id})
			}
			f.close(q)
		}
		if q.over && !out && q.with != f.epoch || q.over && p.now > q.deadline+time.Second {
			delete(f.queries, q.id)
		}
		if !q.over && q.with == f.epoch && f.open {
			open++
		}
	}
	if !f.open || f.leaving {
		return
	}
	for _, q := range f.inOrder() {
		if open < f.credit && !q.over && q.with != f.epoch && q.barred != f.epoch && !p.one(4) {
			f.offer(q)
			open++
		}
	}
	for !p.quiet && open < f.credit && p.one(2) {
		f.lastID++
		c := p.pick(len(p.b.config.Settings.Classes))
		q := &mQuery{id: f.lastID, came: p.now, deadline: p.now + 3*time.Second, head: message.RequestSummary{
			Class: c, Tenant: p.pick(3),
			Hint: time.Duration(p.pick(4)) * 50 * ms, Slots: float64(p.pick(4)), Key: uint64(p.pick(5)),
		}}
		if p.one(60) {
			q.head.Tenant = poison
		}
		f.queries[q.id] = q
		f.offer(q)
		open++
	}
}

func (f *mForwarder) offer(q *mQuery) {
	h := q.head
	h.Remaining, h.Waited = q.deadline-f.p.now, f.p.now-q.came
	for i := range q.attempts {
		a := &q.attempts[i]
		a.number = i
		past := message.PastAttempt{
			WorkerID: a.worker, SentAgo: f.p.now - a.sent, Ended: a.ended, Result: a.result,
			PossiblyExecuted: !a.ended || !provesNotExecuted(a.result),
		}
		if a.began > 0 {
			past.StartedAgo = f.p.now - a.began + 1
		}
		h.Attempts = append(h.Attempts, past)
	}
	q.next, q.with = len(q.attempts), f.epoch
	f.tell(&message.RequestOffer{RequestID: q.id, Summary: h})
}

// mischief is what happens to them all.
func (p *play) mischief() {
	f := p.fwds[p.pick(len(p.fwds))]
	switch p.pick(13) {
	case 0:
		p.step(3 * time.Second) // it is frozen
	case 1: // a cut that both notice
		if f.conn != nil {
			p.cut(f.conn, true)
		}
	case 4: // a newer session, by another connection or on the same
		f.connect(p.one(2))
	case 5: // it dies, and comes back under its name
		if f.conn != nil {
			p.cut(f.conn, true)
		}
		f.process++
		f.epoch += 1000
		clear(f.queries)
		f.due = nil
	case 6, 7: // discovery
		p.lists++
		w := &p.nodes[p.pick(len(p.nodes))]
		switch p.pick(4) {
		case 0:
			w.Ready = false
		case 1:
			w.Removed, w.Ready = true, false
		default:
			w.Removed, w.Ready = false, true
			if p.one(2) {
				w.BootAt = (p.now - p.span(time.Second)).Truncate(ms)
			}
		}
		if p.one(4) {
			p.tellList(dispatch.ListFull)
		} else {
			p.tellList(dispatch.ListDelta, *w)
		}
	case 8, 9: // a word, of the list that is or one to come, or of one before
		w := p.nodes[p.pick(len(p.nodes))]
		x := message.WorkerStatus{
			WorkerID: w.ID, StartedMs: w.BootAt.Milliseconds(), Revision: p.lists + int64(p.pick(3)) - 1,
			State: message.WorkerState(p.pick(3)),
		}
		if p.one(2) {
			f.tell(&x)
		}
	case 10: // planners come and go
		name := []string{"plan-b", "plan-c"}[p.pick(2)]
		event := Event(PeerConnected{name})
		if p.peers[name] {
			event = PeerDisconnected{name}
			delete(p.peers, name)
		} else {
			p.peers[name] = true
		}
		names := slices.Sorted(maps.Keys(p.peers))
		p.ins = append(p.ins, event, PeersChanged{Names: names})
		p.owner = append([]string{me}, names...)
		p.ins = append(p.ins, PartitionChanged{Owner: ownerByCell(p.owner...)})
		if p.peers[name] {
			p.ins = append(p.ins, PeerMessage{Peer: name, Envelope: message.Envelope{Epoch: 1, Message: &message.PeerHandshake{Name: name, Version: 0x100}}})
		}
	case 11:
		for _, name := range slices.Sorted(maps.Keys(p.peers)) {
			p.ins = append(p.ins, PeerMessage{Peer: name, Envelope: message.Envelope{
				Epoch:   1,
				Message: &message.LoadReport{OpenRequests: p.pick(20), QueuedRequests: p.pick(3), FreeSlots: float64(p.pick(20))},
			}})
		}
	case 12:
		p.ins = append(p.ins, EndpointsChanged{Endpoints: dispatch.WorkerList{Kind: dispatch.ListUnavailable}})
	}
}

// Any order of messages, sessions that end and come again, processes that die, planners that come and go, poisonous heads:
// orders are numbered without a gap, none goes to a worker node that the newest word shuts or that is another's, a query
// gets one final order at a time and at most two moves, credits told never exceed what there is, the module is told
// nothing that makes no sense, and in the end nothing of it all is left. The same once more gives the same.
func TestRandomPlays(t *testing.T) {
	sends, moves, panics, plays := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		p := randomPlay(t)
		sends, moves, panics, plays = sends+p.sends, moves+p.moves, panics+p.b.Stats().Panics, plays+1
	})
	if t.Logf("%d plays: %d orders to send, %d moves, %d panics", plays, sends, moves, panics); sends < 10*plays || moves < plays || panics < plays/10 {
		t.Error("the plays see too little")
	}
}

// FuzzPlays is the same for the fuzzer.
func FuzzPlays(f *testing.F) { f.Fuzz(rapid.MakeFuzz(func(t *rapid.T) { randomPlay(t) })) }

func randomPlay(t *rapid.T) *play {
	p := newPlay(t)
	for range rapid.IntRange(100, 600).Draw(t, "steps") {
		for _, f := range p.fwds {
			if f.conn == nil && p.one(8) {
				f.connect(false)
			}
		}
		if p.one(p.calm) {
			p.mischief()
		}
		p.step(30 * ms)
	}
	p.quiet = true
	if p.stops = p.one(3); p.stops {
		p.ins = append(p.ins, StopRequested{})
	}
	for range 50 {
		p.step(50 * ms)
	}
	for _, f := range p.fwds {
		if f.conn != nil {
			p.cut(f.conn, true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.conns)) {
		p.cut(p.conns[id], true)
	}
	for range 80 {
		p.now, p.timer = p.now+time.Second, 0
		p.step(0)
	}
	p.empty()
	p.again()
	return p
}

// empty checks that nothing is left.
func (p *play) empty() {
	b := p.b
	if p.stops {
		if !p.done {
			p.t.Fatalf("it was told to stop, and has not")
		}
		return
	}
	if s := b.Status(); s.Open+s.Closing+s.Sessions+s.Credit > 0 || s.Slots != 0 || len(b.forwarders.byName)+len(b.healthChecks.pending)+len(b.workers.takeovers)+len(b.workers.tombstones) > 0 {
		p.t.Fatalf("left in the end: %+v, %d names, %d probes", s, len(b.forwarders.byName), len(b.healthChecks.pending))
	}
	for _, h := range b.workers.list {
		if !h.listed {
			p.t.Fatalf("worker %d is still known", h.ID)
		}
	}
	if c := b.policy.policy.(*contract); len(c.jobs) > 0 {
		p.t.Fatalf("the module still has %d jobs", len(c.jobs))
	}
}

// again plays the same once more.
func (p *play) again() {
	b := newBook(p.conf)
	for _, s := range p.steps {
		if outs := b.Step(s.now, s.ins, nil); !reflect.DeepEqual(outs, s.outs) {
			p.t.Fatalf("%v: the same again gives %v, not %v", s.now, outs, s.outs)
		}
	}
}
