package follow

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// planner is one to whom there is a connection.
type planner struct {
	name    string
	epoch   tier.Epoch // of the session; 0: there is none
	open    bool       // it has taken us in
	leaving bool       // it has said that it stops
	doubted bool       // it has not answered for some time
	flooded bool       // it has said more than can be taken in
	credit  int
	queries []*query // that are with it
	number  uint64   // of the last question whether it is there
	read    uint64   // the last one that it answered: it has read all that was told before
	askedAt time.Duration
	lastAsk time.Duration
	excused bool          // we were late ourselves since we asked
	unasked bool          // it was offered queries since we asked
	took    time.Duration // to answer, of late
	least   time.Duration // and the least in this session; 0: it has not answered
	suspect *query        // of which it has perhaps not read yet
	refused [tier.Reasons]int
	orders  int // of these, since they were last told
}

// never is the epoch of no session.
const never = tier.Epoch(math.MaxUint64)

// usable tells whether new queries may go to a planner.
func (p *planner) usable() bool { return p.open && !p.leaving }

func (f *Follower) find(name string) *planner {
	if i, ok := f.search(name); ok {
		return f.planners[i]
	}
	return nil
}

func (f *Follower) search(name string) (int, bool) {
	return slices.BinarySearchFunc(f.planners, name, func(p *planner, name string) int {
		return cmp.Compare(p.name,
			name)
	})
}

func (f *Follower) ofEpoch(e tier.Epoch) *planner {
	for _, p := range f.planners {
		if p.open && p.epoch == e {
			return p
		}
	}
	return nil
}

// meet takes in that there is a connection to a planner; nil: to too many.
func (f *Follower) meet(name string) *planner {
	i, ok := f.search(name)
	if !ok {
		if len(f.planners) >= mostPlanners {
			return nil
		}
		f.planners = slices.Insert(f.planners, i, &planner{name: name})
		f.stale = true
	}
	return f.planners[i]
}

// part takes in that there is none any more.
func (f *Follower) part(p *planner) {
	if i, ok := f.search(p.name); ok {
		f.planners = slices.Delete(f.planners, i, i+1)
		f.stale = true
	}
}

func (f *Follower) know(in *input) {
	f.known = len(in.names)
	f.choose.Known(f.now, in.names)
	f.stale = true
}

// sort finds the order of planners anew, if it may have changed.
func (f *Follower) sort() {
	if at := f.choose.Next(); !f.stale && (at == 0 || at > f.now) {
		return
	}
	f.stale = false
	f.names = f.choose.Order(f.now, f.names[:0])
	f.order = f.order[:0]
	for _, name := range f.names {
		if p := f.find(name); p != nil && !slices.Contains(f.order, p) {
			f.order = append(f.order, p)
		}
	}
	for _, p := range f.planners {
		if !slices.Contains(f.order, p) {
			f.order = append(f.order, p)
		}
	}
}

// ---- Sessions ----

// greet begins a session on a connection that is there.
func (f *Follower) greet(p *planner) {
	if p == nil {
		return
	}
	f.lose(p)
	f.epoch++
	p.epoch, p.leaving, p.flooded, p.doubted, p.excused = f.epoch, false, false, false, false
	p.number, p.read, p.askedAt, p.lastAsk, p.unasked, p.least = 0, 0, 0, f.now, false, 0
	f.out = append(f.out, Envelope{p.name, tier.Message{Kind: tier.Hello, Epoch: p.epoch, Name: f.conf.Name,
		Process: f.conf.Process, Version: f.conf.Version}})
}

func (f *Follower) welcome(p *planner, m *tier.Message) {
	if p.open {
		return
	}
	if m.Version>>8 != f.conf.Version>>8 {
		f.line(fmt.Sprintf("planner %s is not used: it speaks version %d.%d, this is %d.%d", p.name,
			m.Version>>8, m.Version&0xff, f.conf.Version>>8, f.conf.Version&0xff))
		return
	}
	p.open, p.credit = true, max(0, m.Credit)
	f.guard.Open(p.epoch)
	f.had, f.stale = true, true
	f.choose.Session(f.now, p.name, true)
	f.tellWords(p)
	f.line(fmt.Sprintf("planner %s takes queries: session %d, credit %d", p.name, p.epoch, p.credit))
}

// lose ends a session. All that it had is offered elsewhere in this step. What it had not read of when it ended may
// have been what ended it.
func (f *Follower) lose(p *planner) {
	f.drop(p, !p.leaving)
}

func (f *Follower) drop(p *planner, suddenly bool) {
	if p.epoch == 0 {
		return
	}
	f.guard.Close(p.epoch)
	out := 0
	open, had := p.open, len(p.queries)
	for len(p.queries) > 0 {
		q := p.queries[len(p.queries)-1]
		if f.guard.Out(q.job.ID) > 0 {
			out++
		}
		// What came of it can't be here sooner than any answer.
		may := q.mark > p.read && !q.said && f.now-q.since >= p.least/2
		if f.release(q); suddenly && may {
			f.strike(q, p)
		} else {
			f.wait(q)
		}
	}
	p.epoch, p.open, p.suspect, f.stale = 0, false, nil, true
	if open {
		if !p.leaving {
			f.choose.Session(f.now, p.name, false)
		}
		f.line(fmt.Sprintf("planner %s is lost: %d queries go elsewhere, %d of them with attempts out", p.name, had,
			out))
	}
}

// strike takes in that a planner's session has ended on a query, or that it has given it back as one that makes its
// module panic. A query that has done so twice is offered to nobody any more.
func (f *Follower) strike(q *query, p *planner) {
	if q.strikes++; q.strikes < strikesMost {
		q.avoid = p
		f.wait(q)
		return
	}
	f.figures.Poisonous++
	f.line(fmt.Sprintf("query %d of class %d is given up: it has ended %d planners' sessions or modules", q.job.ID,
		q.job.Class,
		q.strikes))
	f.answer(q)
}

// freeze gives a planner up that does not answer, or can't be followed, though its connection is there. It may have a
// new session at once: it takes that up when it has read of it, and all that it says before is void.
func (f *Follower) freeze(p *planner) {
	f.figures.Frozen++
	f.drop(p, false)
	f.greet(p)
}

// bye takes in that a planner stops. It decides nothing any more, and what it has ordered stands.
func (f *Follower) bye(p *planner) {
	if p.leaving {
		return
	}
	p.leaving, f.stale = true, true
	f.choose.Session(f.now, p.name, false)
	f.line(fmt.Sprintf("planner %s stops: %d queries go elsewhere", p.name, len(p.queries)))
	for len(p.queries) > 0 {
		q := p.queries[len(p.queries)-1]
		f.release(q)
		f.wait(q)
	}
}

// Leaves names the planners that stop and have nothing of this forwarder's. Their connections are to be closed.
func (f *Follower) Leaves() (names []string) {
	for _, p := range f.planners {
		if p.leaving {
			names = append(names, p.name)
		}
	}
	return names
}

// tend looks after sessions, and finds out whether there is a planner at all.
func (f *Follower) tend() {
	for _, p := range f.planners {
		if p.flooded {
			f.freeze(p)
		}
		if !p.open || p.askedAt == 0 {
			continue
		}
		switch since := f.now - p.askedAt; {
		case since >= f.frozenAfter(p):
			f.freeze(p)
		case since >= f.doubtAfter(p) && !p.doubted:
			p.doubted = true
			for _, q := range p.queries {
				if !q.said && f.guard.Out(q.job.ID) == 0 {
					q.silent = f.inDanger(q)
					f.alarm(q)
				}
			}
		}
	}
	f.there = slices.ContainsFunc(f.planners, (*planner).usable)
	f.beAlone()
}

func (f *Follower) doubtAfter(p *planner) time.Duration  { return max(f.conf.Doubt, 4*p.took) }
func (f *Follower) frozenAfter(p *planner) time.Duration { return max(f.conf.Frozen, 8*p.took) }

// askAt is when a planner is to be asked next.
func (f *Follower) askAt(p *planner) time.Duration {
	switch {
	case p.suspect != nil && p.suspect.mark > p.number:
		return f.now
	case p.unasked:
		return p.lastAsk + min(askSoon, f.conf.AskEvery)
	}
	return p.lastAsk + f.conf.AskEvery
}

// ask asks planners whether they are there, and by that whether they have read what was told.
func (f *Follower) ask() {
	for _, p := range f.planners {
		if p.open && p.askedAt == 0 && f.now >= f.askAt(p) {
			p.number++
			p.askedAt, p.lastAsk, p.unasked, p.excused = max(f.now, 1), f.now, false, false
			f.tell(p, tier.Message{Kind: tier.Asked, Number: p.number})
		}
	}
}

// nextOf is when something is due by a planner; 0: nothing.
func (f *Follower) nextOf(p *planner) time.Duration {
	switch {
	case !p.open:
		return 0
	case p.askedAt == 0:
		return max(f.askAt(p), 1)
	case p.doubted:
		return p.askedAt + f.frozenAfter(p)
	}
	return p.askedAt + f.doubtAfter(p)
}

func (f *Follower) here(p *planner, in *input) {
	if p.askedAt == 0 || in.m.Number != p.number {
		return
	}
	p.read, p.doubted = p.number, false
	if took := max(0, in.at-p.askedAt); !p.excused {
		p.took += (took - p.took) / 4
		if p.least == 0 || took < p.least {
			p.least = took
		}
		f.choose.Answered(f.now, p.name, took, max(0, in.m.Late))
		f.stale = true
	}
	if p.askedAt = 0; p.suspect != nil && p.suspect.mark <= p.read {
		p.suspect = nil
	}
}

// ---- What planners say ----

func (f *Follower) hear(in *input) {
	p, m := f.find(in.planner), &in.m
	switch {
	case p == nil || p.epoch == 0 || m.Epoch != p.epoch || !p.open && m.Kind != tier.Welcome:
		if m.Kind >= tier.Send && m.Kind <= tier.Move {
			f.guard.Check(f.now, never, m) // which counts it
		} else {
			f.figures.Strays++
		}
		return
	case p.flooded: // what comes after a gap may mean something else
		return
	}
	switch m.Kind {
	case tier.Welcome:
		f.welcome(p, m)
	case tier.Credit:
		p.credit = max(0, m.Credit)
	case tier.Here:
		f.here(p, in)
	case tier.Bye:
		f.bye(p)
	case tier.Word:
		f.word(p, in.word)
	case tier.Send, tier.Refuse, tier.Fail, tier.Cancel, tier.Move, tier.Probe, tier.Free:
		f.obey(p, m)
	default:
		f.figures.Strays++
	}
}

// tell says something to a planner that has a session.
func (f *Follower) tell(p *planner, m tier.Message) {
	if p.open {
		m.Epoch = p.epoch
		f.out = append(f.out, Envelope{p.name, m})
	}
}

// tellOf says something of a query to the planner that has it, or had it last, while that session lives.
func (f *Follower) tellOf(q *query, m tier.Message) {
	if q.session == q.with.epoch {
		f.tell(q.with, m)
	}
}

// obey carries out what a planner wants, if it may be.
func (f *Follower) obey(p *planner, m *tier.Message) {
	f.figures.Orders++
	if why := f.guard.Check(f.now, p.epoch, m); why != tier.NotRefused {
		f.refuse(p, m, why)
		return
	}
	q := f.queries[m.Query]
	switch m.Kind {
	case tier.Probe:
		if !f.probe(m.Worker, p.epoch) {
			f.tell(p, tier.Message{Kind: tier.Probed, Worker: m.Worker, Result: logic.NotSent})
		}
		return
	case tier.Free:
		f.do(logic.FreeLinks{Worker: m.Worker})
		return
	}
	q.said, q.silent = true, 0
	switch m.Kind {
	case tier.Send:
		f.send(q, m.Worker, m.Patience)
	case tier.Refuse:
		f.finish(logic.Refuse{Job: m.Query, After: min(max(0, m.After), f.set.MaxRetryAfter)})
		f.close(q, false)
	case tier.Fail:
		f.finish(logic.Fail{Job: m.Query})
		f.close(q, false)
	case tier.Cancel:
		if n, ok := f.guard.Attempt(m.Query, m.Attempt); ok {
			f.do(logic.Cancel{Job: m.Query, Attempt: n})
		}
	case tier.Move:
		f.moved(q, p, m.Name)
	}
}

// send has the ledger send a query. An order to wait for a time that is over, or over the deadline, is one to wait
// until that: what is sent may run, and whether it does is worth knowing.
func (f *Follower) send(q *query, worker uint64, patience time.Duration) {
	if patience < 0 || patience >= q.deadline-f.now {
		patience = 0
	}
	f.finish(logic.Send{Job: q.job.ID, Worker: worker, Patience: patience})
	f.figures.Sent++
	f.alarm(q)
}

// moved hands a query on. One that is handed on and on waits in between: planners do not agree on whose it is.
func (f *Follower) moved(q *query, p *planner, to string) {
	f.release(q)
	f.figures.Moves++
	if to == "" {
		f.strike(q, p)
		return
	}
	q.moves++
	q.avoid, q.target = p, to
	if extra := q.moves - mostMoves; extra > 0 {
		q.notBefore = f.now + paceMoves<<min(extra-1, 6)
	}
	f.wait(q)
}

// refuse tells a planner that its order was not followed.
func (f *Follower) refuse(p *planner, m *tier.Message, why tier.Why) {
	p.refused[why]++
	p.orders++
	switch {
	case m.Kind == tier.Send && why != tier.Repeated: // that number has its end, or will have
		if w, ok := f.guard.Against(m.Worker); ok && why == tier.NodeDrains {
			f.tell(p, tier.Message{Kind: tier.Word, Word: &w})
		}
		f.tell(p, tier.Message{Kind: tier.Ended, Query: m.Query, Attempt: m.Attempt, Result: logic.NotSent, Why: why})
		if q := f.queries[m.Query]; q != nil && q.state == offered && q.with == p && f.guard.Out(m.Query) == 0 {
			f.listen(q)
		}
	case m.Kind == tier.Refuse && why == tier.NotHarmless:
		// To the planner the query is over. A failure promises nothing, and is always harmless.
		f.tell(p, tier.Message{Kind: tier.Ended, Query: m.Query, Attempt: -1, Result: logic.NotSent, Why: why})
		f.finish(logic.Fail{Job: m.Query})
		f.close(f.queries[m.Query], false)
	case m.Kind == tier.Probe:
		f.tell(p, tier.Message{Kind: tier.Probed, Worker: m.Worker, Result: logic.NotSent})
	}
}
