package follow

import (
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"valvecove/internal/guard"
	"valvecove/internal/tier"
	"valvecove/logic"
)

// alone is the forwarder's own module, and when it decides. While it does, all queries are its own. Back with planners,
// new queries go there at once, then those that it has without an attempt out; those with one stay until it has ended.
type alone struct {
	make     func() Module
	own      Module // nil: there is none now
	on       bool
	there    bool // a planner is
	lostAt   time.Duration
	foundAt  time.Duration
	holds    int // queries that the own module knows
	ownAt    time.Duration
	events   []logic.Event // that it has not heard of
	told     []logic.Event
	actions  []logic.Action
	adopted  []*query // with those events
	doubtful bool     // it is one that may have brought a planner down, and comes alone
	panics   int      // of late
	panicked time.Duration
	lesson   []byte // what planners' modules have learnt
	lessonAt time.Duration
	me, of   int
}

const (
	panicsMost = 3 // in a second: then it is given nothing again
	tellStack  = 600
)

// Members tells that this forwarder is number me, from 0, of so many. Alone, they share the fleet without a word.
func (f *Follower) Members(me, of int) {
	if f.me == me && f.of == of {
		return
	}
	f.me, f.of = me, of
	f.share()
}

// share tells the own module how many share the worker nodes.
func (f *Follower) share() {
	if f.own == nil || f.of <= 0 {
		return
	}
	f.ownHears(logic.Shared{Of: f.of, Me: f.me})
	if m, ok := f.own.(interface{ Members(me, of int) }); ok {
		m.Members(f.me, f.of)
	}
}

// learn keeps what planners' modules know, the newest of it.
func (f *Follower) learn(now time.Duration, planner string, m *tier.Message) {
	p, at := f.find(planner), now-max(0, m.Age)
	if p == nil || !p.open || p.epoch != m.Epoch || len(m.Bytes) > f.conf.MostSnapshot || len(f.lesson) > 0 &&
		at < f.lessonAt {
		f.figures.Strays++
		return
	}
	f.lesson, f.lessonAt = append(f.lesson[:0], m.Bytes...), at
}

// beAlone decides who decides.
func (f *Follower) beAlone() {
	switch {
	case f.there:
		if f.lostAt = 0; f.foundAt == 0 {
			f.foundAt = f.now
		}
		if f.on && (f.holds == 0 || f.now-f.foundAt >= f.conf.Settle) {
			f.comeBack()
		}
	default:
		if f.foundAt = 0; f.lostAt == 0 {
			f.lostAt = f.now
		}
		// Where the own module is there still, it takes all back at once.
		if !f.on && (!f.had && f.known == 0 || f.own != nil || f.now-f.lostAt >= f.conf.Alone) {
			f.goAlone()
		}
	}
	if f.own != nil && !f.on && f.holds == 0 && len(f.events) == 0 {
		f.own, f.ownAt = nil, 0
	}
}

// aloneNext is when that is to be looked at again; 0: not by time.
func (f *Follower) aloneNext() time.Duration {
	switch {
	case len(f.events) > 0 || f.on && f.waiting.Len()+f.suspects.Len() > 0:
		return f.now + time.Millisecond
	case f.there && f.on:
		return f.soonest(f.foundAt + f.conf.Settle)
	case !f.there && !f.on:
		return f.soonest(f.lostAt + f.conf.Alone)
	case f.own != nil && !f.on && f.holds == 0:
		return f.now + time.Millisecond // it goes
	}
	return f.ownAt
}

func (f *Follower) soonest(at time.Duration) time.Duration {
	if f.ownAt > 0 {
		return min(at, f.ownAt)
	}
	return at
}

func (f *Follower) goAlone() {
	f.on = true
	f.figures.Alone++
	for f.back.Len() > 0 {
		f.unqueue(f.back.First().query)
	}
	f.line(fmt.Sprintf("alone: no planner is there, %d queries wait", f.waiting.Len()+f.suspects.Len()))
	f.makeOwn()
}

// makeOwn makes the own module, if there is none, and tells it what there is.
func (f *Follower) makeOwn() {
	if f.own != nil {
		return
	}
	f.own, f.ownAt = f.alone.make(), 0
	f.ownHears(logic.WorkerList{Kind: logic.ListCached, Workers: f.fleet(), Generation: f.generation})
	f.share()
	if len(f.lesson) > 0 {
		f.ownHears(logic.Taught{Lesson: f.lesson, Age: f.now - f.lessonAt, Part: 1 / float64(max(1, f.of))})
	}
}

func (f *Follower) comeBack() {
	f.on = false
	stay := 0
	for _, q := range f.queries { // the queue puts them in order
		switch {
		case q.state != mine:
		case f.guard.Out(q.job.ID) > 0:
			stay++
		default:
			f.queue(q, &f.back)
		}
	}
	f.line(fmt.Sprintf("planners are there again: %d queries go back, %d stay until their attempts have ended",
		f.back.Len(), stay))
}

// adopt gives a query to the own module. fresh: it has just come.
func (f *Follower) adopt(q *query, fresh bool) {
	f.unqueue(q)
	f.makeOwn()
	id := q.job.ID
	f.guard.Give(id, guard.Mine)
	q.state, q.with = mine, nil
	if !q.own {
		q.own = true
		f.holds++
	}
	f.adopted = append(f.adopted, q)
	f.alarm(q)
	if fresh {
		f.ownHears(q.job)
		return
	}
	job := q.job
	job.Left = q.deadline - f.now
	f.fates = f.guard.Fates(f.now, id, f.fates[:0])
	var past []logic.Past
	for _, p := range f.fates {
		past = append(past, logic.Past{Worker: p.Worker, Ago: p.Ago, Began: p.Began, Ended: p.Ended, Result: p.Result})
	}
	f.ownHears(logic.Resumed{Job: job, Waited: f.now - q.came, Attempts: past})
}

// giveBack takes a query from the own module that has no attempt out.
func (f *Follower) giveBack(q *query) {
	f.ownHears(logic.ClientGone{Job: q.job.ID})
	f.guard.Take(q.job.ID)
	q.own, q.state = false, waits
	f.holds--
}

// ownHears keeps an event for the own module.
func (f *Follower) ownHears(e logic.Event) {
	if f.own != nil {
		f.events = append(f.events, e)
	}
}

// runOwn has the own module decide. What is refused of its orders it hears of, and may order something else.
func (f *Follower) runOwn() {
	for range ownRounds {
		due := f.ownAt > 0 && f.ownAt <= f.now
		if f.own == nil || len(f.events) == 0 && !due {
			return
		}
		if due {
			f.ownAt = 0
			f.events = append(f.events, logic.TimerFired{})
		}
		f.events, f.told = f.told[:0], f.events
		adopted := len(f.adopted)
		actions, ok := f.ownStep()
		clear(f.told)
		if !ok {
			return
		}
		f.adopted = append(f.adopted[:0], f.adopted[adopted:]...)
		f.doubtful = false
		for _, a := range actions {
			f.ownDid(a)
		}
		clear(actions)
		f.actions = actions[:0]
		if f.on {
			f.place()
		}
	}
}

// ownStep steps the own module. Should it panic, a new one goes on with what it had, but for queries that came in this
// step: one of them may be why, as with a planner.
func (f *Follower) ownStep() (actions []logic.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			stack, _, _ := strings.Cut(string(debug.Stack()), "created by")
			f.line(fmt.Sprintf("own module panic, it is started anew: %v; %s", p,
				strings.Join(strings.Fields(stack[:min(len(stack), tellStack)]), " ")))
			f.ownAnew()
		}
	}()
	return f.own.Step(f.now, f.told, f.actions[:0]), true
}

func (f *Follower) ownAnew() {
	if f.figures.Panics++; f.now-f.panicked > time.Second {
		f.panics = 0
	}
	f.panics++
	f.panicked = f.now
	adopted := slices.Clone(f.adopted)
	f.adopted, f.doubtful = f.adopted[:0], false
	f.own, f.ownAt, f.events, f.actions = nil, 0, f.events[:0], nil
	for _, id := range slices.Sorted(maps.Keys(f.queries)) {
		q := f.queries[id]
		if !q.own {
			continue
		}
		q.own = false
		f.holds--
		if q.state != mine {
			continue
		}
		f.unqueue(q)
		f.guard.Take(id)
		q.state = waits
		switch {
		case f.panics >= panicsMost:
			f.answer(q)
		case slices.Contains(adopted, q):
			f.strike(q, nil)
		default:
			f.wait(q)
		}
	}
}

// ownDid carries out what the own module wants. Its orders are held against the rules like any others.
func (f *Follower) ownDid(action logic.Action) {
	switch a := action.(type) {
	case logic.Send:
		f.ownSends(a)
	case logic.Refuse:
		f.ownEnds(tier.Message{Kind: tier.Refuse, Query: a.Job}, action)
	case logic.Fail:
		f.ownEnds(tier.Message{Kind: tier.Fail, Query: a.Job}, action)
	case logic.Cancel:
		m := tier.Message{Kind: tier.Cancel, Query: a.Job, Attempt: a.Attempt}
		if f.guard.Check(f.now, guard.Mine, &m) == tier.NotRefused {
			a.Attempt, _ = f.guard.Attempt(a.Job, a.Attempt)
			f.do(a)
		}
	case logic.Probe:
		m := tier.Message{Kind: tier.Probe, Worker: a.Worker}
		if f.guard.Check(f.now, guard.Mine, &m) != tier.NotRefused || !f.probe(a.Worker, guard.Mine) {
			f.ownHears(logic.Probed{Worker: a.Worker, Result: logic.NotSent})
		}
	case logic.SetTimer:
		if at := f.now + max(a.After, 1); f.ownAt == 0 || at < f.ownAt {
			f.ownAt = at
		}
	case logic.Subscribe: // the watch is the forwarder's, whoever decides
	default: // FreeLinks, Log
		f.do(action)
	}
}

func (f *Follower) ownSends(a logic.Send) {
	q := f.queries[a.Job]
	if q == nil || q.state != mine {
		return // its end, or that it is a planner's, is on the way to the module
	}
	m := tier.Message{Kind: tier.Send, Query: a.Job, Attempt: f.guard.Next(a.Job), Worker: a.Worker}
	if f.guard.Check(f.now, guard.Mine, &m) == tier.NotRefused {
		f.send(q, a.Worker, a.Patience)
		return
	}
	f.ownHears(logic.Outcome{Job: a.Job, Attempt: m.Attempt, Worker: a.Worker, Result: logic.NotSent})
}

func (f *Follower) ownEnds(m tier.Message, action logic.Action) {
	q := f.queries[m.Query]
	switch why := f.guard.Check(f.now, guard.Mine, &m); {
	case q == nil || q.state != mine:
		return
	case why == tier.NotHarmless:
		action = logic.Fail{Job: m.Query}
	case why != tier.NotRefused:
		return
	}
	f.finish(action)
	f.close(q, false)
}
