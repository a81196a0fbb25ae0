package follow

import (
	"time"

	"valvecove/internal/due"
	"valvecove/internal/guard"
	"valvecove/internal/tier"
	"valvecove/logic"
)

// query is one that is owed an answer, or has attempts out.
type query struct {
	due.Item      // when it is looked at next
	alarmed  bool // it is among the alarms
	turn     turn // in the queue that it is in
	job      logic.Job
	came     time.Duration
	deadline time.Duration
	aim      time.Duration
	state    state
	late     bool // its aim was past while no planner was there

	// While it is a planner's, and after its answer for as long as attempts are out.
	with    *planner
	session tier.Epoch
	slot    int           // among the planner's
	mark    uint64        // the planner has read of it once it has answered this number
	said    bool          // it has ordered something for it since
	since   time.Duration // it is for the planner to say something
	silent  time.Duration // when it has not said anything for too long; 0: nothing is expected

	own       bool         // the own module knows it
	taken     []tier.Epoch // sessions in which it was taken back
	avoid     *planner     // who has handed it on
	target    string       // to whom
	moves     int
	notBefore time.Duration
	strikes   int // sessions that have ended on it, or planners that have given it back
}

type state uint8

const (
	waits   state = iota // here
	offered              // with a planner
	mine                 // with the own module
	over                 // answered, or left by its client
)

// turn is a query's place in a queue, by when it came.
type turn struct {
	due.Item
	query *query
	in    *due.Queue[*turn]
}

// arrive takes in a query.
func (f *Follower) arrive(e logic.Job) {
	if f.queries[e.ID] != nil || e.Class < 0 || e.Class >= len(f.set.Classes) {
		return
	}
	q := &query{}
	if last := len(f.spare) - 1; last >= 0 {
		q, f.spare = f.spare[last], f.spare[:last]
	}
	c := &f.set.Classes[e.Class]
	*q = query{job: e, came: f.now, deadline: f.now + max(e.Left, 0), state: waits, taken: q.taken[:0]}
	q.turn.query = q
	work := e.Hint
	if work <= 0 {
		work = c.Aim
	}
	if q.aim = q.deadline; c.Aim > 0 {
		q.aim = min(q.deadline, f.now+c.Aim+time.Duration(min(max(c.Stretch, 0), 1e3)*float64(min(work, time.Hour))))
	}
	f.queries[e.ID] = q
	f.figures.Queries++
	if f.alone.on {
		f.adopt(q, true)
		return
	}
	if f.waiting.Len() == 0 && !f.upset { // nobody comes before it
		f.sort()
		if p := f.pick(q, nil); p != nil {
			f.offer(q, p)
			return
		}
	}
	if f.waiting.Len() >= f.conf.MostWaiting {
		if f.place(); f.waiting.Len() >= f.conf.MostWaiting {
			f.figures.Crowded++
			f.answer(q)
			return
		}
	}
	f.wait(q)
}

// wait puts a query that nobody has among those that wait for a planner.
func (f *Follower) wait(q *query) {
	q.state = waits
	if q.strikes > 0 {
		f.queue(q, &f.suspects)
	} else {
		f.queue(q, &f.waiting)
	}
	f.alarm(q)
}

func (f *Follower) queue(q *query, in *due.Queue[*turn]) {
	f.unqueue(q)
	q.turn.At, q.turn.in = time.Duration(q.job.ID), in
	in.Add(&q.turn)
}

func (f *Follower) unqueue(q *query) {
	if q.turn.in != nil {
		q.turn.in.Remove(&q.turn)
		q.turn.in = nil
	}
}

// alarm sets when a query is looked at next. One that is set for sooner is let be: most end before it.
func (f *Follower) alarm(q *query) {
	at := q.deadline
	switch q.state {
	case waits:
		if !q.late && f.guard.Out(q.job.ID) == 0 {
			at = min(at, q.aim)
		}
	case offered:
		if q.silent > 0 {
			at = min(at, q.silent)
		}
	case over:
		at = 0
	}
	if q.alarmed {
		if at > 0 && q.At <= at {
			return
		}
		f.alarms.Remove(q)
		q.alarmed = false
	}
	if at > 0 {
		q.At, q.alarmed = at, true
		f.alarms.Add(q)
	}
}

// look is a query's alarm.
func (f *Follower) look(q *query) {
	f.alarms.Remove(q)
	q.alarmed = false
	switch {
	case f.now >= q.deadline:
		f.figures.Expired++
		f.answer(q)
		return
	case q.state == waits && f.now >= q.aim && f.guard.Out(q.job.ID) == 0:
		if f.there { // and they have no room: whoever waits behind it has a chance yet
			f.figures.Unplaced++
			f.answer(q)
			return
		}
		q.late = true
	case q.state == offered && q.silent > 0 && f.now >= q.silent:
		f.unheard(q)
	}
	if q.state != over {
		f.alarm(q)
	}
}

// unheard decides on a query about which its planner has said nothing for long. One that does not answer at all has it
// no longer; from one that does only a few are taken, as it may hold them with reason, and others would have that load
// too.
func (f *Follower) unheard(q *query) {
	p := q.with
	q.silent = 0
	switch {
	case q.said || f.guard.Out(q.job.ID) > 0:
		return
	case !p.doubted && f.now < q.since+f.conf.Silence:
		q.silent = q.since + f.conf.Silence
		return
	case f.lateAt == f.now: // it may have said something that is yet to be read
		q.silent = f.now + f.conf.Doubt
		return
	case !p.doubted && f.moveSaved < 1:
		return
	}
	next := f.pick(q, p)
	if next == nil {
		if p.doubted { // until it is frozen, or another comes
			q.silent = f.now + f.conf.Doubt
		}
		return
	}
	if !p.doubted {
		f.moveSaved--
	}
	f.figures.Unheard++
	f.takeFrom(q)
	f.offer(q, next)
}

// ---- Answers ----

// answer gives a query up: it is refused where that is harmless, and failed elsewhere.
func (f *Follower) answer(q *query) {
	id := q.job.ID
	if f.guard.Harmless(id) {
		f.figures.Refused++
		f.finish(logic.Refuse{Job: id, After: min(max(0, q.deadline-f.now), f.set.MaxRetryAfter)})
	} else {
		f.figures.Failed++
		f.finish(logic.Fail{Job: id})
	}
	f.close(q, true)
}

// finish has the ledger answer.
func (f *Follower) finish(a logic.Action) {
	f.do(a)
	f.guard.Did(f.now, a)
}

// close takes in that nothing is owed for a query any more. tell: whoever has it does not know that.
func (f *Follower) close(q *query, tell bool) {
	if q.state == over {
		return
	}
	f.unqueue(q)
	switch q.state {
	case offered:
		f.unhold(q)
		if tell {
			f.tell(q.with, tier.Message{Kind: tier.Over, Query: q.job.ID})
		}
	case mine:
		if tell {
			f.ownHears(logic.ClientGone{Job: q.job.ID})
		}
	case waits:
		q.with = nil
	}
	q.state = over
	f.alarm(q)
	f.forget(q)
}

// forget lets go of a query that is over, once nothing of it is out.
func (f *Follower) forget(q *query) {
	if q.state != over || f.guard.Out(q.job.ID) > 0 || f.queries[q.job.ID] != q {
		return
	}
	delete(f.queries, q.job.ID)
	if q.own {
		q.own = false
		f.alone.holds--
	}
	q.with = nil
	f.spare = append(f.spare, q)
}

// ---- Who has it ----

// offer gives a query to a planner.
func (f *Follower) offer(q *query, p *planner) {
	id := q.job.ID
	f.unqueue(q)
	f.guard.Give(id, p.epoch)
	q.state, q.with, q.session, q.slot = offered, p, p.epoch, len(p.queries)
	q.mark, q.avoid, q.target = p.number+1, nil, ""
	p.queries = append(p.queries, q)
	p.unasked = true
	if q.strikes > 0 {
		p.suspect = q
	}
	h := f.heads.take()
	j := &q.job
	h.Class, h.Tenant, h.Key, h.Hint = j.Class, j.Tenant, j.Key, j.Hint
	h.Slots, h.Memory, h.Retry = j.Slots, j.Memory, j.Retry
	h.Left, h.Waited, h.Moves = q.deadline-f.now, f.now-q.came, q.moves
	h.Attempts = f.guard.Fates(f.now, id, h.Attempts)
	if f.tell(p, tier.Message{Kind: tier.Head, Query: id, Head: h}); f.now > q.came {
		f.figures.Reoffered++
	}
	f.moveSaved = min(f.moveSaved+moveShare, moveBurst)
	f.listen(q)
}

// listen begins to wait for a planner's word about a query.
func (f *Follower) listen(q *query) {
	q.said, q.since = false, f.now
	if q.silent = f.now + f.conf.Silence; q.with.doubted {
		q.silent = f.inDanger(q)
	}
	f.alarm(q)
}

// inDanger is when a query that is not placed begins to endanger its aim.
func (f *Follower) inDanger(q *query) time.Duration { return max(f.now, q.aim-(q.aim-q.came)/2) }

// unhold takes a query out of its planner's list, which is what credit counts.
func (f *Follower) unhold(q *query) {
	p := q.with
	last := len(p.queries) - 1
	p.queries[q.slot] = p.queries[last]
	p.queries[q.slot].slot = q.slot
	p.queries[last] = nil
	p.queries = p.queries[:last]
	if p.suspect == q {
		p.suspect = nil
	}
	q.silent = 0
}

// takeFrom takes an open query back from a planner whose session lives, for good.
func (f *Follower) takeFrom(q *query) {
	p := q.with
	f.tell(p, tier.Message{Kind: tier.Over, Query: q.job.ID})
	if len(q.taken) == mostTaken {
		q.taken = append(q.taken[:0], q.taken[1:]...)
	}
	q.taken = append(q.taken, p.epoch)
	f.release(q)
}

// release leaves a query with nobody.
func (f *Follower) release(q *query) {
	f.unhold(q)
	q.with, q.state = nil, waits
	f.guard.Take(q.job.ID)
}

// barred tells whether a query may not be offered in a planner's session.
func (q *query) barred(p *planner) bool {
	for _, e := range q.taken {
		if e == p.epoch {
			return true
		}
	}
	return false
}

// pick finds the planner for a query, other than one; nil: there is none now. One that is in doubt, or has just handed
// the query on, is taken where there is no other.
func (f *Follower) pick(q *query, but *planner) (second *planner) {
	if q.target != "" {
		if p := f.find(q.target); p != nil && p != but && !p.doubted && f.takes(p, q) {
			return p
		}
	}
	for _, p := range f.order {
		switch {
		case p == but || !f.takes(p, q):
		case !p.doubted && p != q.avoid:
			return p
		case second == nil && but == nil:
			second = p
		}
	}
	return second
}

func (f *Follower) takes(p *planner, q *query) bool {
	return p.usable() && len(p.queries) < p.credit && (q.strikes == 0 || p.suspect == nil) && !q.barred(p)
}

// room tells whether any planner takes a query now.
func (f *Follower) room() bool {
	for _, p := range f.order {
		if p.usable() && len(p.queries) < p.credit {
			return true
		}
	}
	return false
}

// place offers what waits: those that came first, first. One that may have brought a planner down is offered alone,
// until the planner has read of it and still answers: so no other is taken for it.
func (f *Follower) place() {
	if f.wakeAt <= f.now {
		f.wakeAt = 0
	}
	f.sort()
	if f.alone.on {
		for f.waiting.Len() > 0 && !f.doubtful {
			f.adopt(f.waiting.First().query, false)
		}
		if f.suspects.Len() > 0 && len(f.adopted) == 0 {
			f.doubtful = true
			f.adopt(f.suspects.First().query, false)
		}
		return
	}
	f.placeFrom(&f.suspects)
	f.placeFrom(&f.waiting)
	if f.waiting.Len() > 0 {
		return
	}
	for n := 0; f.back.Len() > 0 && n < backLot && f.room(); n++ {
		q := f.back.First().query
		f.unqueue(q)
		f.giveBack(q)
		f.wait(q)
		if f.placeFrom(q.turn.in); q.state == waits {
			break
		}
	}
	if f.back.Len() > 0 && f.room() {
		f.wake(f.now + paceBack)
	}
}

func (f *Follower) wake(at time.Duration) {
	if f.wakeAt == 0 || at < f.wakeAt {
		f.wakeAt = at
	}
}

func (f *Follower) placeFrom(queue *due.Queue[*turn]) {
	for queue.Len() > 0 && len(f.aside) < skipMost && f.room() {
		q := queue.First().query
		if q.notBefore > f.now {
			f.wake(q.notBefore)
		} else if p := f.pick(q, nil); p != nil {
			f.offer(q, p)
			continue
		}
		f.unqueue(q)
		f.aside = append(f.aside, q)
	}
	for i, q := range f.aside {
		f.queue(q, queue)
		f.aside[i] = nil
	}
	f.aside = f.aside[:0]
}

// headStore holds the heads of a step's envelopes, and their attempts.
type headStore struct {
	lots [][]tier.HeadOf
	used int
}

const headLot = 64

func (s *headStore) reset() { s.used = 0 }

func (s *headStore) take() *tier.HeadOf {
	lot := s.used / headLot
	if lot == len(s.lots) {
		s.lots = append(s.lots, make([]tier.HeadOf, headLot))
	}
	h := &s.lots[lot][s.used%headLot]
	s.used++
	*h = tier.HeadOf{Attempts: h.Attempts[:0]}
	return h
}

// ---- What the ledger tells ----

func (f *Follower) happened(e logic.Event) {
	switch e := e.(type) {
	case logic.Job:
		f.guard.Heard(f.now, e)
		f.arrive(e)
	case logic.Outcome:
		f.ended(e)
	case logic.Started:
		f.guard.Heard(f.now, e)
		if q, n := f.ofAttempt(e.Job, e.Attempt); q != nil && q.with != nil {
			f.tellOf(q, tier.Message{Kind: tier.Started, Query: e.Job, Attempt: n})
		} else if q != nil && q.own {
			e.Attempt = n
			f.ownHears(e)
		}
	case logic.Progressed:
		f.guard.Heard(f.now, e)
		if q, n := f.ofAttempt(e.Job, e.Attempt); q != nil && q.with != nil {
			f.tellOf(q, tier.Message{Kind: tier.Progress, Query: e.Job, Attempt: n, Share: e.Share})
		} else if q != nil && q.own {
			e.Attempt = n
			f.ownHears(e)
		}
	case logic.StreamBegun:
		f.streams(e)
	case logic.ClientGone:
		f.guard.Heard(f.now, e)
		if q := f.queries[e.Job]; q != nil {
			f.close(q, true)
		}
	case logic.Probed:
		f.probeEnded(e)
	case logic.TimerFired: // what is due is found by the time
	case logic.WorkerList:
		f.listed(e)
	}
}

// ofAttempt is a query, and how whoever has it counts an attempt.
func (f *Follower) ofAttempt(id uint64, attempt int) (*query, int) {
	n, ok := f.guard.Number(id, attempt)
	if !ok {
		return nil, 0
	}
	return f.queries[id], n
}

func (f *Follower) ended(e logic.Outcome) {
	n, ended := f.guard.Heard(f.now, e)
	q := f.queries[e.Job]
	if q == nil {
		return
	}
	if ended && q.with != nil {
		f.tellOf(q, tier.Message{Kind: tier.Ended, Query: e.Job, Attempt: n, Result: e.Result})
	} else if ended && q.own {
		e.Attempt = n
		f.ownHears(e)
	}
	switch {
	case e.Closed || e.Result == logic.OK:
		f.close(q, !ended || q.state == offered && e.Result != logic.OK)
		f.forget(q)
	case q.state == over:
		f.forget(q)
	case f.guard.Out(e.Job) > 0:
	case q.state == mine && !f.alone.on:
		f.queue(q, &f.back)
	case q.state == offered: // it is for the planner to say something again
		f.listen(q)
	default:
		f.alarm(q)
	}
}

// streams takes in that an answer has begun to reach the client: it has no deadline any more, and nothing is decided
// about it.
func (f *Follower) streams(e logic.StreamBegun) {
	f.guard.Heard(f.now, e)
	q, n := f.ofAttempt(e.Job, e.Attempt)
	if q == nil {
		return
	}
	if q.own {
		e.Attempt = n
		f.ownHears(e)
	}
	f.close(q, q.state == offered)
}

func (f *Follower) probeEnded(e logic.Probed) {
	who := f.probes[e.Worker]
	if len(who) == 0 {
		return
	}
	asker := who[0]
	if copy(who, who[1:]); len(who) == 1 {
		delete(f.probes, e.Worker)
	} else {
		f.probes[e.Worker] = who[:len(who)-1]
	}
	f.probed--
	if asker == guard.Mine {
		f.ownHears(e)
	} else if p := f.ofEpoch(asker); p != nil {
		f.tell(p, tier.Message{Kind: tier.Probed, Worker: e.Worker, Result: e.Result})
	}
}

// probe has the ledger probe a worker node for somebody.
func (f *Follower) probe(worker uint64, asker tier.Epoch) (ok bool) {
	if f.probed >= mostProbes {
		return false
	}
	f.probed++
	f.probes[worker] = append(f.probes[worker], asker)
	f.do(logic.Probe{Worker: worker})
	return true
}
