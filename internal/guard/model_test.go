package guard

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"valvecove/internal/steps"
	"valvecove/internal/tier"
	"valvecove/logic"
)

// history is all that ever happened, from which the model finds each verdict anew.
type history struct {
	set   logic.Settings
	now   time.Duration
	past  []happening
	nodes []uint64
}

type happening struct {
	at    time.Duration
	event logic.Event   // or
	sent  *tier.Message // a send that was allowed, or
	word  *tier.WordOf  // or
	owner tier.Epoch    // of query
	query uint64
	used  bool // number was used up
	num   int
}

// broken is every reason that there is against an order.
func (h *history) broken(epoch tier.Epoch, open map[tier.Epoch]bool, m *tier.Message) (why []tier.Why) {
	against := func(w tier.Why, ok bool) {
		if ok {
			why = append(why, w)
		}
	}
	against(tier.OldEpoch, epoch != Mine && !open[epoch])
	list, words := h.list(), h.words()
	w, listed := list[m.Worker]
	if m.Kind == tier.Probe || m.Kind == tier.Free {
		against(tier.NoSuchNode, !listed)
		against(tier.NotAllowed, m.Kind == tier.Probe && !h.set.Probes)
		return why
	}
	q := h.query(m.Query)
	if q == nil || q.over {
		return append(why, tier.NoSuchQuery)
	}
	against(tier.NotYours, !q.owned || q.owner != epoch)
	c := h.set.Classes[q.job.Class]
	may := slices.ContainsFunc(q.tries, modelTry.mayHaveRun)
	switch m.Kind {
	case tier.Refuse:
		against(tier.NotHarmless, may && c.Effect != logic.Safe && (c.Effect != logic.Keyed ||
			c.Group != logic.GroupAll))
	case tier.Cancel:
		against(tier.NotAllowed, !h.set.Cancelling)
		against(tier.NoSuchQuery, !slices.ContainsFunc(q.tries, func(t modelTry) bool {
			return t.num == m.Attempt &&
				!t.ended
		}))
	case tier.Send:
		against(tier.Repeated, m.Attempt < 0 || slices.ContainsFunc(q.used, func(n int) bool { return n >= m.Attempt }))
		against(tier.PastDeadline, h.now >= q.came+q.job.Left)
		against(tier.TooManyTries, len(q.tries) >= h.set.TryLimit)
		against(tier.NoSuchNode, !listed)
		against(tier.NotForClass, c.Kinds != nil && !slices.Contains(c.Kinds, w.Kind) || c.Zones != nil &&
			!slices.Contains(c.Zones, w.Zone))
		newest := words[m.Worker]
		own := tier.WordOf{Worker: w.ID, StartedMs: w.BootAt.Milliseconds(), Generation: w.gen}
		against(tier.NodeDrains, !w.Ready || newest != nil && newest.State != tier.Up && !own.Newer(*newest))
		for _, t := range q.tries {
			against(tier.TwiceAtNode, !t.ended && t.worker == m.Worker)
			against(tier.SecondCopy, !t.ended && !h.set.SecondCopies)
			if !t.mayHaveRun() {
				continue
			}
			against(tier.MayHaveRun, c.Effect == logic.Unsafe)
			against(tier.OutsideGroup, c.Effect == logic.Keyed && (c.Group == logic.GroupCell && t.cell != w.Cell ||
				c.Group == logic.GroupZone && t.zone != w.Zone))
			against(tier.PastWindow, c.Effect == logic.Keyed && 20*(h.now-t.at) >= 19*c.Window)
		}
	}
	return why
}

type modelNode struct {
	logic.Worker
	gen int64
}

// list is the own list as of now.
func (h *history) list() map[uint64]modelNode { return h.listAt(len(h.past)) }

func (h *history) listAt(upTo int) map[uint64]modelNode {
	list := map[uint64]modelNode{}
	for _, x := range h.past[:upTo] {
		if l, ok := x.event.(logic.WorkerList); ok && l.Kind != logic.ListLost {
			if l.Kind != logic.ListDelta {
				clear(list)
			}
			for _, w := range l.Workers {
				if delete(list, w.ID); !w.Gone {
					list[w.ID] = modelNode{w, l.Generation}
				}
			}
		}
	}
	return list
}

func (h *history) words() map[uint64]*tier.WordOf {
	words := map[uint64]*tier.WordOf{}
	for _, x := range h.past {
		if x.word != nil && (words[x.word.Worker] == nil || x.word.Newer(*words[x.word.Worker])) {
			words[x.word.Worker] = x.word
		}
	}
	return words
}

type modelQuery struct {
	job   logic.Job
	came  time.Duration
	over  bool
	owner tier.Epoch
	owned bool
	tries []modelTry
	used  []int // numbers of the owner's that are used up
}

type modelTry struct {
	worker     uint64
	cell, zone int
	num        int
	at         time.Duration
	ended      bool
	result     logic.Result
}

func (t modelTry) mayHaveRun() bool {
	return !t.ended || t.result != logic.Full && t.result != logic.NoConnect && t.result != logic.NotSent
}

// query is what has become of one, nil: it never came.
func (h *history) query(id uint64) (q *modelQuery) {
	for i, x := range h.past {
		switch e := x.event.(type) {
		case logic.Job:
			if e.ID == id {
				q = &modelQuery{job: e, came: x.at}
			}
		case logic.ClientGone:
			if e.Job == id {
				q.over = true
			}
		case logic.StreamBegun:
			if e.Job == id {
				q.over = true
			}
		case logic.Outcome:
			if e.Job == id {
				q.tries[e.Attempt].ended, q.tries[e.Attempt].result = true, e.Result
				q.over = q.over || e.Closed
			}
		}
		if x.query != id || x.event != nil || x.word != nil {
			continue
		}
		switch {
		case x.sent != nil && x.sent.Kind == tier.Send:
			at := h.listAt(i)[x.sent.Worker]
			q.tries = append(q.tries, modelTry{worker: x.sent.Worker, cell: at.Cell, zone: at.Zone, num: x.sent.Attempt,
				at: x.at})
		case x.sent != nil:
			q.over = true
		case x.used:
			q.used = append(q.used, x.num)
		default:
			q.owner, q.owned, q.used = x.owner, true, nil
			for n := range q.tries {
				q.tries[n].num = n
				q.used = append(q.used, n)
			}
		}
	}
	return q
}

// What the guard says of an order is what is said by all that ever happened, gone through anew: each reason it gives is
// one, and where there is none it gives none.
func FuzzGuard(f *testing.F) { steps.Fuzz(f, runGuard) }

func runGuard(s *steps.Steps) {
	set := modelSettings(s)
	h, g := &history{set: set, now: time.Hour}, New(set)
	open := map[tier.Epoch]bool{}
	note := func(x happening) {
		x.at = h.now
		h.past = append(h.past, x)
	}
	hear := func(e logic.Event) {
		note(happening{event: e})
		g.Heard(h.now, e)
	}
	queries := uint64(0)
	hear(modelList(s, h, logic.ListFull))
	for s.More() {
		h.now += time.Duration(s.Pick(8)) * 25 * time.Millisecond
		id, epoch := uint64(1), tier.Epoch(s.Pick(4))
		if queries > 0 {
			id += uint64(s.Pick(int(queries)))
		}
		q := h.query(id)
		switch what := s.Pick(16); {
		case what == 0 && queries < 12:
			queries++
			hear(logic.Job{ID: queries, Class: s.Pick(len(set.Classes)),
				Left: time.Duration(s.Pick(40)) * 50 * time.Millisecond})
			note(happening{query: queries, owner: epoch})
			g.Give(queries, epoch)
			s.Did("job")
		case what == 1:
			hear(modelList(s, h, logic.ListKind(s.Pick(4))))
			s.Did("list")
		case what == 2:
			w := tier.WordOf{Worker: uint64(s.Pick(6)), StartedMs: int64(s.Pick(3)) * 1000,
				Generation: int64(s.Pick(6)), State: tier.State(s.Pick(3))}
			before, own := h.words()[w.Worker], h.list()
			x, listed := own[w.Worker]
			news := (before == nil || w.Newer(*before)) && (!listed || w.Newer(modelWord(x)))
			note(happening{word: &w})
			s.Check(g.Word(h.now, w) == news, "news of %+v: expected %v", w, news)
			s.Did("word")
		case what == 3 && q != nil && s.Pick(3) == 0:
			hear(logic.ClientGone{Job: id})
			s.Did("gone")
		case what == 4 && epoch != Mine:
			if open[epoch] = !open[epoch]; open[epoch] {
				g.Open(epoch)
			} else {
				g.Close(epoch)
			}
			s.Did("session")
		case what == 5 && q != nil && !q.over:
			note(happening{query: id, owner: epoch})
			g.Give(id, epoch)
			s.Did("give")
		case what <= 8 && q != nil && len(q.tries) > 0:
			n := s.Pick(len(q.tries))
			if t := q.tries[n]; !t.ended {
				r := logic.Result(s.Pick(8))
				hear(logic.Outcome{Job: id, Attempt: n, Worker: t.worker, Result: r, Closed: r == logic.OK || q.over ||
					s.Pick(9) == 0})
				s.Did("ended")
			}
		default:
			m := &tier.Message{Kind: []tier.Kind{tier.Send, tier.Send, tier.Send, tier.Send, tier.Refuse, tier.Fail,
				tier.Cancel,
				tier.Probe, tier.Free}[s.Pick(9)], Query: id, Worker: uint64(s.Pick(6))}
			if q != nil {
				if epoch = q.owner; s.Pick(8) == 0 {
					epoch = tier.Epoch(s.Pick(4))
				}
				m.Attempt = len(q.used) + s.Pick(2) - s.Pick(2)*s.Pick(2)
			}
			why := h.broken(epoch, open, m)
			got := g.Check(h.now, epoch, m)
			s.Check(got == tier.NotRefused && len(why) == 0 || slices.Contains(why, got),
				"%+v of %d: %q; broken %v", m, epoch, got, why)
			if m.Kind == tier.Send && !slices.Contains(why, tier.OldEpoch) && !slices.Contains(why, tier.NoSuchQuery) &&
				!slices.Contains(why, tier.NotYours) && !slices.Contains(why, tier.Repeated) {
				note(happening{query: id, used: true, num: m.Attempt})
			}
			s.Did(got.String())
			if got != tier.NotRefused {
				continue
			}
			switch m.Kind {
			case tier.Send:
				note(happening{query: id, sent: m})
				g.Did(h.now, logic.Send{Job: id, Worker: m.Worker})
			case tier.Refuse:
				note(happening{query: id, sent: m})
				g.Did(h.now, logic.Refuse{Job: id})
			case tier.Fail:
				note(happening{query: id, sent: m})
				g.Did(h.now, logic.Fail{Job: id})
			}
		}
	}
	for id := uint64(1); id <= queries; id++ { // and in the end nothing is left
		q := h.query(id)
		for n, a := range g.Fates(h.now, id, nil) {
			t := q.tries[n]
			s.Check(a == tier.Past{Worker: t.worker, Ago: h.now - t.at, Ended: t.ended, Result: t.result,
				MayRun: t.mayHaveRun()},
				"fate %+v of %+v", a, t)
		}
		for n, t := range q.tries {
			if !t.ended {
				g.Heard(h.now, logic.Outcome{Job: id, Attempt: n, Worker: t.worker, Result: logic.TimedOut})
			}
		}
		g.Heard(h.now, logic.ClientGone{Job: id})
	}
	s.Check(g.Queries() == 0, "%d queries left", g.Queries())
}

func modelWord(n modelNode) tier.WordOf {
	w := tier.WordOf{Worker: n.ID, StartedMs: n.BootAt.Milliseconds(), Generation: n.gen}
	if !n.Ready {
		w.State = tier.Draining
	}
	return w
}

func modelSettings(s *steps.Steps) logic.Settings {
	set := logic.Settings{TryLimit: 1 + s.Pick(4), SecondCopies: s.Pick(3) > 0, Cancelling: s.Pick(2) == 0,
		Probes: s.Pick(2) == 0}
	for range 1 + s.Pick(3) {
		c := logic.Class{Effect: logic.Effect(s.Pick(3)), Group: logic.Group(s.Pick(3)),
			Window: time.Duration(s.Pick(20)) * 100 * time.Millisecond}
		if s.Pick(4) == 0 {
			c.Kinds = []int{s.Pick(3)}
		}
		if s.Pick(4) == 0 {
			c.Zones = []int{s.Pick(3)}
		}
		set.Classes = append(set.Classes, c)
	}
	return set
}

func modelList(s *steps.Steps, h *history, kind logic.ListKind) logic.WorkerList {
	l := logic.WorkerList{Kind: kind, Generation: int64(s.Pick(6))}
	for id := range uint64(6) {
		if kind != logic.ListLost && s.Pick(4) > 0 {
			l.Workers = append(l.Workers, logic.Worker{ID: id, Kind: s.Pick(2), Zone: s.Pick(2), Cell: s.Pick(2),
				Ready: s.Pick(6) > 0, Gone: kind == logic.ListDelta &&
					s.Pick(6) == 0, BootAt: time.Duration(s.Pick(3)) * time.Second})
		}
	}
	return l
}

// Package logic says the same of histories: a job that comes to a dispatcher with any attempts behind it, and may go to
// one worker node only, is sent there where the guard allows that, and nowhere else; and it is refused only where the
// guard has that for harmless.
func TestSameAsLogic(t *testing.T) {
	sent, held := 0, 0
	for seed := range uint64(6000) {
		rng := rand.New(rand.NewPCG(seed, 11))
		set := logic.Settings{TryLimit: 1 + rng.IntN(4), SecondCopies: rng.IntN(2) == 0, MaxRetryAfter: time.Second}
		set.Classes = []logic.Class{{Aim: time.Hour, GiveUp: 2 * time.Hour, Effect: logic.Effect(rng.IntN(3)), Worth: 1,
			Group: logic.Group(rng.IntN(3)), Window: time.Duration(1+rng.IntN(20)) * 100 * time.Millisecond}}
		d, g := logic.New(set, seed), New(set)
		now := 10 * time.Hour
		list := logic.WorkerList{Kind: logic.ListFull, Workers: []logic.Worker{{ID: 9, Ready: true, Cell: rng.IntN(2),
			Zone: rng.IntN(2)}}}
		job := logic.Job{ID: 1, Left: 2 * time.Hour, Slots: 1}
		var pasts []logic.Past
		n := rng.IntN(4)
		type try struct {
			ago time.Duration
			end logic.Result
		}
		tries := make([]try, n)
		for i := range tries {
			tries[i] = try{time.Duration(rng.IntN(2200)) * time.Millisecond, logic.Result(1 + rng.IntN(7))}
		}
		slices.SortFunc(tries, func(a, b try) int { return int(b.ago - a.ago) })
		for i := range tries {
			list.Workers = append(list.Workers, logic.Worker{ID: uint64(10 + i), Ready: true, Cell: rng.IntN(2),
				Zone: rng.IntN(2)})
		}
		g.Heard(now-4*time.Second, list)
		g.Heard(now-4*time.Second, logic.Job{ID: 1, Left: 2*time.Hour + 4*time.Second})
		for i, x := range tries { // as the guard saw it, whatever was allowed
			g.Did(now-x.ago, logic.Send{Job: 1, Worker: uint64(10 + i)})
			pasts = append(pasts, logic.Past{Worker: uint64(10 + i), Ago: x.ago, Ended: true, Result: x.end})
		}
		for i, x := range tries {
			g.Heard(now, logic.Outcome{Job: 1, Attempt: i, Worker: uint64(10 + i), Result: x.end})
		}
		for i := range list.Workers[1:] { // only the first is left
			list.Workers[1+i].Ready = false
		}
		g.Heard(now, list)
		d.Step(now-time.Millisecond, []logic.Event{list}, nil)
		g.Give(1, Mine)
		may := g.Check(now, Mine, &tier.Message{Kind: tier.Send, Query: 1, Attempt: n, Worker: 9})
		for _, a := range d.Step(now, []logic.Event{logic.Resumed{Job: job, Attempts: pasts}}, nil) {
			switch a.(type) {
			case logic.Send:
				if sent++; may != tier.NotRefused {
					t.Fatalf("seed %d: sent after %+v, the guard says %q", seed, tries, may)
				}
				may = tier.Reasons
			case logic.Refuse:
				if !g.Harmless(1) {
					t.Fatalf("seed %d: refused after %+v", seed, tries)
				}
			case logic.Fail:
				if g.Harmless(1) {
					t.Fatalf("seed %d: failed after %+v, which was harmless", seed, tries)
				}
			}
		}
		if may == tier.NotRefused {
			t.Fatalf("seed %d: not sent after %+v in class %+v, the guard allows it", seed, tries, set.Classes[0])
		}
		if may != tier.Reasons {
			held++
		}
	}
	if sent < 1000 || held < 1000 {
		t.Fatalf("%d sent, %d not: the test sees too little", sent, held)
	}
}

// A dispatcher that is wired to the ledger needs no guard: none of its orders is refused, whatever happens to them.
func TestAllowsWhatLogicDoes(t *testing.T) {
	orders := 0
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 12))
		set := logic.Settings{TryLimit: 1 + rng.IntN(4), SecondCopies: rng.IntN(2) == 0, Cancelling: true,
			Probes: rng.IntN(2) == 0, TellsStart: rng.IntN(2) == 0, ConnectTimeout: 50 * time.Millisecond}
		for range 3 {
			set.Classes = append(set.Classes, logic.Class{Aim: time.Duration(50+rng.IntN(500)) * time.Millisecond,
				Stretch: 1, Worth: 1, GiveUp: time.Second, Effect: logic.Effect(rng.IntN(3)),
				Group: logic.Group(rng.IntN(3)), Window: time.Duration(rng.IntN(900)) * time.Millisecond})
		}
		d, g, now := logic.New(set, seed), New(set), time.Hour
		type out struct {
			job, worker uint64
			attempt     int
		}
		var outs []out
		tries, timer, jobs := map[uint64]int{}, time.Duration(0), uint64(0)
		for range 300 {
			now += time.Duration(rng.IntN(15)) * time.Millisecond
			var events []logic.Event
			if timer > 0 && timer <= now {
				events, timer = append(events, logic.TimerFired{}), 0
			}
			if rng.IntN(12) == 0 || jobs == 0 {
				l := logic.WorkerList{Kind: logic.ListFull}
				for id := range uint64(6) {
					l.Workers = append(l.Workers, logic.Worker{ID: id + 1, Ready: rng.IntN(4) > 0, Cell: int(id % 2),
						Zone: int(id % 3)})
				}
				events = append(events, l)
			}
			for range rng.IntN(3) {
				jobs++
				events = append(events, logic.Job{ID: jobs, Class: rng.IntN(3),
					Left: time.Duration(100+rng.IntN(900)) * time.Millisecond, Slots: 1})
			}
			outs = slices.DeleteFunc(outs, func(o out) bool {
				if rng.IntN(5) > 0 {
					return false
				}
				r := logic.Result(rng.IntN(8))
				events = append(events, logic.Outcome{Job: o.job, Attempt: o.attempt, Worker: o.worker, Result: r,
					Closed: r == logic.OK})
				return true
			})
			for _, e := range events {
				if g.Heard(now, e); true {
					if j, ok := e.(logic.Job); ok {
						g.Give(j.ID, Mine)
					}
				}
			}
			for _, a := range d.Step(now, events, nil) {
				m := tier.Message{}
				switch a := a.(type) {
				case logic.Send:
					m = tier.Message{Kind: tier.Send, Query: a.Job, Attempt: tries[a.Job], Worker: a.Worker}
					outs = append(outs, out{a.Job, a.Worker, tries[a.Job]})
					tries[a.Job]++
				case logic.Refuse:
					m = tier.Message{Kind: tier.Refuse, Query: a.Job}
				case logic.Fail:
					m = tier.Message{Kind: tier.Fail, Query: a.Job}
				case logic.Cancel:
					m = tier.Message{Kind: tier.Cancel, Query: a.Job, Attempt: a.Attempt}
				case logic.Probe:
					m = tier.Message{Kind: tier.Probe, Worker: a.Worker}
				case logic.FreeLinks:
					m = tier.Message{Kind: tier.Free, Worker: a.Worker}
				case logic.SetTimer:
					if at := now + a.After; timer == 0 || at < timer {
						timer = at
					}
					continue
				default:
					continue
				}
				if orders++; g.Check(now, Mine, &m) != tier.NotRefused {
					t.Fatalf("seed %d: %+v: %q", seed, a, g.Check(now, Mine, &m))
				}
				g.Did(now, a)
			}
		}
	}
	if orders < 3000 {
		t.Fatalf("only %d orders: the test sees too little", orders)
	}
}
