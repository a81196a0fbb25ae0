package validator

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/steps"
)

// history is all that ever happened, from which the model finds each verdict anew.
type history struct {
	set   dispatch.Settings
	now   time.Duration
	past  []happening
	nodes []uint64
}

type happening struct {
	at    time.Duration
	event dispatch.Event        // or
	sent  *anyCommand         // that was allowed, or
	word  *message.WorkerStatus // or
	owner message.Epoch         // of query
	query uint64
	used  bool // number was used up
	num   int
}

// broken is every reason that there is against an order.
func (h *history) broken(epoch message.Epoch, open map[message.Epoch]bool, m *anyCommand) (why []message.RejectReason) {
	against := func(w message.RejectReason, ok bool) {
		if ok {
			why = append(why, w)
		}
	}
	against(message.ReasonStaleEpoch, epoch != LocalEpoch && !open[epoch])
	list, words := h.list(), h.words()
	w, listed := list[m.worker]
	if m.kind == message.KindHealthCheckCommand || m.kind == message.KindCloseIdleCommand {
		against(message.ReasonUnknownWorker, !listed)
		against(message.ReasonNotPermitted, m.kind == message.KindHealthCheckCommand && !h.set.HealthChecks)
		return why
	}
	q := h.query(m.request)
	if q == nil || q.over {
		return append(why, message.ReasonUnknownRequest)
	}
	against(message.ReasonNotOwner, !q.owned || q.owner != epoch)
	c := h.set.Classes[q.job.Class]
	may := slices.ContainsFunc(q.tries, modelTry.mayHaveRun)
	switch m.kind {
	case message.KindRejectCommand:
		against(message.ReasonUnsafeRejection, may && c.Idempotency != dispatch.Idempotent && (c.Idempotency != dispatch.IdempotentWithKey ||
			c.DeduplicationScope != dispatch.ScopeAll))
	case message.KindCancelCommand:
		against(message.ReasonNotPermitted, !h.set.Cancellation)
		against(message.ReasonUnknownRequest, !slices.ContainsFunc(q.tries, func(t modelTry) bool {
			return t.num == m.attempt &&
				!t.ended
		}))
	case message.KindSendCommand:
		against(message.ReasonDuplicateCommand, m.attempt < 0 || slices.ContainsFunc(q.used, func(n int) bool { return n >= m.attempt }))
		against(message.ReasonDeadlineExceeded, h.now >= q.came+q.job.Remaining)
		against(message.ReasonAttemptLimit, len(q.tries) >= h.set.AttemptLimit)
		against(message.ReasonUnknownWorker, !listed)
		against(message.ReasonClassMismatch, c.Kinds != nil && !slices.Contains(c.Kinds, w.Kind) || c.Zones != nil &&
			!slices.Contains(c.Zones, w.Zone))
		newest := words[m.worker]
		own := message.WorkerStatus{WorkerID: w.ID, StartedMs: w.BootAt.Milliseconds(), Revision: w.gen}
		against(message.ReasonWorkerDraining, !w.Ready || newest != nil && newest.State != message.WorkerUp && !own.Supersedes(*newest))
		for _, t := range q.tries {
			against(message.ReasonDuplicateAtWorker, !t.ended && t.worker == m.worker)
			against(message.ReasonHedgingDisabled, !t.ended && !h.set.Hedging)
			if !t.mayHaveRun() {
				continue
			}
			against(message.ReasonPossiblyExecuted, c.Idempotency == dispatch.NonIdempotent)
			against(message.ReasonOutsideScope, c.Idempotency == dispatch.IdempotentWithKey && (c.DeduplicationScope == dispatch.ScopeCell && t.cell != w.Cell ||
				c.DeduplicationScope == dispatch.ScopeZone && t.zone != w.Zone))
			against(message.ReasonWindowExpired, c.Idempotency == dispatch.IdempotentWithKey && 20*(h.now-t.at) >= 19*c.DeduplicationWindow)
		}
	}
	return why
}

type modelNode struct {
	dispatch.Worker
	gen int64
}

// list is the own list as of now.
func (h *history) list() map[uint64]modelNode { return h.listAt(len(h.past)) }

func (h *history) listAt(upTo int) map[uint64]modelNode {
	list := map[uint64]modelNode{}
	for _, x := range h.past[:upTo] {
		if l, ok := x.event.(dispatch.WorkerList); ok && l.Kind != dispatch.ListUnavailable {
			if l.Kind != dispatch.ListDelta {
				clear(list)
			}
			for _, w := range l.Workers {
				if delete(list, w.ID); !w.Removed {
					list[w.ID] = modelNode{w, l.Revision}
				}
			}
		}
	}
	return list
}

func (h *history) words() map[uint64]*message.WorkerStatus {
	words := map[uint64]*message.WorkerStatus{}
	for _, x := range h.past {
		if x.word != nil && (words[x.word.WorkerID] == nil || x.word.Supersedes(*words[x.word.WorkerID])) {
			words[x.word.WorkerID] = x.word
		}
	}
	return words
}

type modelQuery struct {
	job   dispatch.Job
	came  time.Duration
	over  bool
	owner message.Epoch
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
	result     dispatch.Result
}

func (t modelTry) mayHaveRun() bool {
	return !t.ended || t.result != dispatch.WorkerFull && t.result != dispatch.ConnectFailed && t.result != dispatch.NotSent
}

// query is what has become of one, nil: it never came.
func (h *history) query(id uint64) (q *modelQuery) {
	for i, x := range h.past {
		switch e := x.event.(type) {
		case dispatch.Job:
			if e.ID == id {
				q = &modelQuery{job: e, came: x.at}
			}
		case dispatch.ClientDisconnected:
			if e.Job == id {
				q.over = true
			}
		case dispatch.ResponseStarted:
			if e.Job == id {
				q.over = true
			}
		case dispatch.Outcome:
			if e.Job == id {
				q.tries[e.Attempt].ended, q.tries[e.Attempt].result = true, e.Result
				q.over = q.over || e.Closed
			}
		}
		if x.query != id || x.event != nil || x.word != nil {
			continue
		}
		switch {
		case x.sent != nil && x.sent.kind == message.KindSendCommand:
			at := h.listAt(i)[x.sent.worker]
			q.tries = append(q.tries, modelTry{worker: x.sent.worker, cell: at.Cell, zone: at.Zone, num: x.sent.attempt,
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
	open := map[message.Epoch]bool{}
	note := func(x happening) {
		x.at = h.now
		h.past = append(h.past, x)
	}
	hear := func(e dispatch.Event) {
		note(happening{event: e})
		g.Observe(h.now, e)
	}
	queries := uint64(0)
	hear(modelList(s, h, dispatch.ListFull))
	for s.More() {
		h.now += time.Duration(s.Pick(8)) * 25 * time.Millisecond
		id, epoch := uint64(1), message.Epoch(s.Pick(4))
		if queries > 0 {
			id += uint64(s.Pick(int(queries)))
		}
		q := h.query(id)
		switch what := s.Pick(16); {
		case what == 0 && queries < 12:
			queries++
			hear(dispatch.Job{ID: queries, Class: s.Pick(len(set.Classes)),
				Remaining: time.Duration(s.Pick(40)) * 50 * time.Millisecond})
			note(happening{query: queries, owner: epoch})
			g.Assign(queries, epoch)
			s.Did("job")
		case what == 1:
			hear(modelList(s, h, dispatch.ListKind(s.Pick(4))))
			s.Did("list")
		case what == 2:
			w := message.WorkerStatus{WorkerID: uint64(s.Pick(6)), StartedMs: int64(s.Pick(3)) * 1000,
				Revision: int64(s.Pick(6)), State: message.WorkerState(s.Pick(3))}
			before, own := h.words()[w.WorkerID], h.list()
			x, listed := own[w.WorkerID]
			news := (before == nil || w.Supersedes(*before)) && (!listed || w.Supersedes(modelWord(x)))
			note(happening{word: &w})
			s.Check(g.ObserveStatus(h.now, w) == news, "news of %+v: expected %v", w, news)
			s.Did("word")
		case what == 3 && q != nil && s.Pick(3) == 0:
			hear(dispatch.ClientDisconnected{Job: id})
			s.Did("gone")
		case what == 4 && epoch != LocalEpoch:
			if open[epoch] = !open[epoch]; open[epoch] {
				g.OpenSession(epoch)
			} else {
				g.CloseSession(epoch)
			}
			s.Did("session")
		case what == 5 && q != nil && !q.over:
			note(happening{query: id, owner: epoch})
			g.Assign(id, epoch)
			s.Did("give")
		case what <= 8 && q != nil && len(q.tries) > 0:
			n := s.Pick(len(q.tries))
			if t := q.tries[n]; !t.ended {
				r := dispatch.Result(s.Pick(8))
				hear(dispatch.Outcome{Job: id, Attempt: n, Worker: t.worker, Result: r, Closed: r == dispatch.OK || q.over ||
					s.Pick(9) == 0})
				s.Did("ended")
			}
		default:
			m := &anyCommand{kind: []message.Kind{message.KindSendCommand, message.KindSendCommand, message.KindSendCommand, message.KindSendCommand, message.KindRejectCommand, message.KindFailCommand,
				message.KindCancelCommand,
				message.KindHealthCheckCommand, message.KindCloseIdleCommand}[s.Pick(9)], request: id, worker: uint64(s.Pick(6))}
			if q != nil {
				if epoch = q.owner; s.Pick(8) == 0 {
					epoch = message.Epoch(s.Pick(4))
				}
				m.attempt = len(q.used) + s.Pick(2) - s.Pick(2)*s.Pick(2)
			}
			why := h.broken(epoch, open, m)
			got := g.Validate(h.now, epoch, m.message())
			s.Check(got == message.ReasonNone && len(why) == 0 || slices.Contains(why, got),
				"%+v of %d: %q; broken %v", m, epoch, got, why)
			if m.kind == message.KindSendCommand && !slices.Contains(why, message.ReasonStaleEpoch) && !slices.Contains(why, message.ReasonUnknownRequest) &&
				!slices.Contains(why, message.ReasonNotOwner) && !slices.Contains(why, message.ReasonDuplicateCommand) {
				note(happening{query: id, used: true, num: m.attempt})
			}
			s.Did(got.String())
			if got != message.ReasonNone {
				continue
			}
			switch m.kind {
			case message.KindSendCommand:
				note(happening{query: id, sent: m})
				g.Apply(h.now, dispatch.Send{Job: id, Worker: m.worker})
			case message.KindRejectCommand:
				note(happening{query: id, sent: m})
				g.Apply(h.now, dispatch.Reject{Job: id})
			case message.KindFailCommand:
				note(happening{query: id, sent: m})
				g.Apply(h.now, dispatch.Fail{Job: id})
			}
		}
	}
	for id := uint64(1); id <= queries; id++ { // and in the end nothing is left
		q := h.query(id)
		for n, a := range g.AppendAttempts(h.now, id, nil) {
			t := q.tries[n]
			s.Check(a == message.PastAttempt{WorkerID: t.worker, SentAgo: h.now - t.at, Ended: t.ended, Result: t.result,
				PossiblyExecuted: t.mayHaveRun()},
				"fate %+v of %+v", a, t)
		}
		for n, t := range q.tries {
			if !t.ended {
				g.Observe(h.now, dispatch.Outcome{Job: id, Attempt: n, Worker: t.worker, Result: dispatch.TimedOut})
			}
		}
		g.Observe(h.now, dispatch.ClientDisconnected{Job: id})
	}
	s.Check(g.RequestCount() == 0, "%d queries left", g.RequestCount())
}

func modelWord(n modelNode) message.WorkerStatus {
	w := message.WorkerStatus{WorkerID: n.ID, StartedMs: n.BootAt.Milliseconds(), Revision: n.gen}
	if !n.Ready {
		w.State = message.WorkerDraining
	}
	return w
}

func modelSettings(s *steps.Steps) dispatch.Settings {
	set := dispatch.Settings{AttemptLimit: 1 + s.Pick(4), Hedging: s.Pick(3) > 0, Cancellation: s.Pick(2) == 0,
		HealthChecks: s.Pick(2) == 0}
	for range 1 + s.Pick(3) {
		c := dispatch.Class{Idempotency: dispatch.Idempotency(s.Pick(3)), DeduplicationScope: dispatch.DeduplicationScope(s.Pick(3)),
			DeduplicationWindow: time.Duration(s.Pick(20)) * 100 * time.Millisecond}
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

func modelList(s *steps.Steps, h *history, kind dispatch.ListKind) dispatch.WorkerList {
	l := dispatch.WorkerList{Kind: kind, Revision: int64(s.Pick(6))}
	for id := range uint64(6) {
		if kind != dispatch.ListUnavailable && s.Pick(4) > 0 {
			l.Workers = append(l.Workers, dispatch.Worker{ID: id, Kind: s.Pick(2), Zone: s.Pick(2), Cell: s.Pick(2),
				Ready: s.Pick(6) > 0, Removed: kind == dispatch.ListDelta &&
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
		set := dispatch.Settings{AttemptLimit: 1 + rng.IntN(4), Hedging: rng.IntN(2) == 0, MaxRetryAfter: time.Second}
		set.Classes = []dispatch.Class{{LatencyObjective: time.Hour, ClientTimeout: 2 * time.Hour, Idempotency: dispatch.Idempotency(rng.IntN(3)), PriorityWeight: 1,
			DeduplicationScope: dispatch.DeduplicationScope(rng.IntN(3)), DeduplicationWindow: time.Duration(1+rng.IntN(20)) * 100 * time.Millisecond}}
		d, g := dispatch.New(set, seed), New(set)
		now := 10 * time.Hour
		list := dispatch.WorkerList{Kind: dispatch.ListFull, Workers: []dispatch.Worker{{ID: 9, Ready: true, Cell: rng.IntN(2),
			Zone: rng.IntN(2)}}}
		job := dispatch.Job{ID: 1, Remaining: 2 * time.Hour, Slots: 1}
		var pasts []dispatch.PastAttempt
		n := rng.IntN(4)
		type try struct {
			ago time.Duration
			end dispatch.Result
		}
		tries := make([]try, n)
		for i := range tries {
			tries[i] = try{time.Duration(rng.IntN(2200)) * time.Millisecond, dispatch.Result(1 + rng.IntN(7))}
		}
		slices.SortFunc(tries, func(a, b try) int { return int(b.ago - a.ago) })
		for i := range tries {
			list.Workers = append(list.Workers, dispatch.Worker{ID: uint64(10 + i), Ready: true, Cell: rng.IntN(2),
				Zone: rng.IntN(2)})
		}
		g.Observe(now-4*time.Second, list)
		g.Observe(now-4*time.Second, dispatch.Job{ID: 1, Remaining: 2*time.Hour + 4*time.Second})
		for i, x := range tries { // as the guard saw it, whatever was allowed
			g.Apply(now-x.ago, dispatch.Send{Job: 1, Worker: uint64(10 + i)})
			pasts = append(pasts, dispatch.PastAttempt{Worker: uint64(10 + i), SentAgo: x.ago, Ended: true, Result: x.end})
		}
		for i, x := range tries {
			g.Observe(now, dispatch.Outcome{Job: 1, Attempt: i, Worker: uint64(10 + i), Result: x.end})
		}
		for i := range list.Workers[1:] { // only the first is left
			list.Workers[1+i].Ready = false
		}
		g.Observe(now, list)
		d.Step(now-time.Millisecond, []dispatch.Event{list}, nil)
		g.Assign(1, LocalEpoch)
		may := g.Validate(now, LocalEpoch, &message.SendCommand{RequestID: 1, Attempt: n, WorkerID: 9})
		for _, a := range d.Step(now, []dispatch.Event{dispatch.JobResumed{Job: job, Attempts: pasts}}, nil) {
			switch a.(type) {
			case dispatch.Send:
				if sent++; may != message.ReasonNone {
					t.Fatalf("seed %d: sent after %+v, the guard says %q", seed, tries, may)
				}
				may = message.ReasonCount
			case dispatch.Reject:
				if !g.CanReject(1) {
					t.Fatalf("seed %d: refused after %+v", seed, tries)
				}
			case dispatch.Fail:
				if g.CanReject(1) {
					t.Fatalf("seed %d: failed after %+v, which was harmless", seed, tries)
				}
			}
		}
		if may == message.ReasonNone {
			t.Fatalf("seed %d: not sent after %+v in class %+v, the guard allows it", seed, tries, set.Classes[0])
		}
		if may != message.ReasonCount {
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
		set := dispatch.Settings{AttemptLimit: 1 + rng.IntN(4), Hedging: rng.IntN(2) == 0, Cancellation: true,
			HealthChecks: rng.IntN(2) == 0, StartNotifications: rng.IntN(2) == 0, ConnectTimeout: 50 * time.Millisecond}
		for range 3 {
			set.Classes = append(set.Classes, dispatch.Class{LatencyObjective: time.Duration(50+rng.IntN(500)) * time.Millisecond,
				ObjectiveStretch: 1, PriorityWeight: 1, ClientTimeout: time.Second, Idempotency: dispatch.Idempotency(rng.IntN(3)),
				DeduplicationScope: dispatch.DeduplicationScope(rng.IntN(3)), DeduplicationWindow: time.Duration(rng.IntN(900)) * time.Millisecond})
		}
		d, g, now := dispatch.New(set, seed), New(set), time.Hour
		type out struct {
			job, worker uint64
			attempt     int
		}
		var outs []out
		tries, timer, jobs := map[uint64]int{}, time.Duration(0), uint64(0)
		for range 300 {
			now += time.Duration(rng.IntN(15)) * time.Millisecond
			var events []dispatch.Event
			if timer > 0 && timer <= now {
				events, timer = append(events, dispatch.TimerFired{}), 0
			}
			if rng.IntN(12) == 0 || jobs == 0 {
				l := dispatch.WorkerList{Kind: dispatch.ListFull}
				for id := range uint64(6) {
					l.Workers = append(l.Workers, dispatch.Worker{ID: id + 1, Ready: rng.IntN(4) > 0, Cell: int(id % 2),
						Zone: int(id % 3)})
				}
				events = append(events, l)
			}
			for range rng.IntN(3) {
				jobs++
				events = append(events, dispatch.Job{ID: jobs, Class: rng.IntN(3),
					Remaining: time.Duration(100+rng.IntN(900)) * time.Millisecond, Slots: 1})
			}
			outs = slices.DeleteFunc(outs, func(o out) bool {
				if rng.IntN(5) > 0 {
					return false
				}
				r := dispatch.Result(rng.IntN(8))
				events = append(events, dispatch.Outcome{Job: o.job, Attempt: o.attempt, Worker: o.worker, Result: r,
					Closed: r == dispatch.OK})
				return true
			})
			for _, e := range events {
				if g.Observe(now, e); true {
					if j, ok := e.(dispatch.Job); ok {
						g.Assign(j.ID, LocalEpoch)
					}
				}
			}
			for _, a := range d.Step(now, events, nil) {
				var m message.Message
				switch a := a.(type) {
				case dispatch.Send:
					m = &message.SendCommand{RequestID: a.Job, Attempt: tries[a.Job], WorkerID: a.Worker}
					outs = append(outs, out{a.Job, a.Worker, tries[a.Job]})
					tries[a.Job]++
				case dispatch.Reject:
					m = &message.RejectCommand{RequestID: a.Job}
				case dispatch.Fail:
					m = &message.FailCommand{RequestID: a.Job}
				case dispatch.Cancel:
					m = &message.CancelCommand{RequestID: a.Job, Attempt: a.Attempt}
				case dispatch.HealthCheck:
					m = &message.HealthCheckCommand{WorkerID: a.Worker}
				case dispatch.CloseIdleConnections:
					m = &message.CloseIdleCommand{WorkerID: a.Worker}
				case dispatch.SetTimer:
					if at := now + a.After; timer == 0 || at < timer {
						timer = at
					}
					continue
				default:
					continue
				}
				if orders++; g.Validate(now, LocalEpoch, m) != message.ReasonNone {
					t.Fatalf("seed %d: %+v: %q", seed, a, g.Validate(now, LocalEpoch, m))
				}
				g.Apply(now, a)
			}
		}
	}
	if orders < 3000 {
		t.Fatalf("only %d orders: the test sees too little", orders)
	}
}
