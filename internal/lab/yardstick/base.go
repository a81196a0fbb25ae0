package yardstick

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
)

const (
	comeBack = 500 * time.Millisecond // with a refusal, where clients follow such advice
	keepsOff = 20                     // a keyed repeat stays clear of its window's end by this part of it
)

// policy is what yardsticks differ in.
type policy interface {
	offer(j *job)        // it wants a worker
	drop(j *job)         // and wants none any more
	track(w *worker)     // its readiness has changed, or how many attempts are out at it
	over(a *attempt)     // it has started or ended
	settle()             // ends each step
	wake() time.Duration // when a step is wanted at the latest; 0: never
}

// base is what all yardsticks have in common.
type base struct {
	policy
	set       dispatch.Settings
	rng       *rand.Rand
	now       time.Duration
	dst       []dispatch.Action
	jobs      map[uint64]*job
	workers   map[uint64]*worker
	ready     []*worker // to which something new may go
	deadlines deadline.Queue[*job]
	out       []*attempt      // that have not ended
	fullLeft  []time.Duration // by class: the time that a first try leaves
	timer     time.Duration   // the caller's; 0: none
	listed    bool            // in this step there was news of workers
	asked     bool
	follows   bool
	askAt     time.Duration
	askWait   time.Duration
}

// job is owed an answer, or has attempts that are still out. Its due.Item is its deadline.
type job struct {
	deadline.Item
	dispatch.Job
	class    *dispatch.Class
	came     time.Duration // its client's first try
	aim      time.Duration // an answer later than that earns nothing
	attempts []*attempt
	out      int
	closed   bool
	held     int     // place among the held, from 1; 0: in none
	work     float64 // true, where it is seen
	beyond   bool    // its tenant's share
}

type attempt struct {
	job     *job
	worker  *worker
	number  int
	zone    int // of the worker when sent
	cell    int
	sent    time.Duration
	place   int // among those out
	started bool
	ended   bool
	result  dispatch.Result
}

type worker struct {
	dispatch.Worker
	place int // among the ready, from 1; 0: it is not
	out   int // attempts
	level int // of leastOutstanding: attempts out, from 1; 0: it is in none
	spot  int // and its place there
	view      // of seeing
}

func newBase(set dispatch.Settings, seed uint64) *base {
	return &base{
		set: set, rng: rand.New(rand.NewPCG(seed, 1)), jobs: map[uint64]*job{}, workers: map[uint64]*worker{},
		fullLeft: make([]time.Duration, len(set.Classes)),
	}
}

// Step is a ledger.Module's.
func (b *base) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	b.now, b.dst = max(now, b.now), dst
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.WorkerList:
			b.list(e)
		case dispatch.Job:
			b.arrive(e)
		case dispatch.Outcome:
			b.outcome(e)
		case dispatch.Started:
			b.start(e.Job, e.Attempt)
		case dispatch.Progressed:
			b.start(e.Job, e.Attempt) // the note of its start may have been lost
		case dispatch.ClientDisconnected:
			b.close(b.jobs[e.Job])
		}
	}
	for b.deadlines.Len() > 0 && b.deadlines.First().At <= b.now {
		b.end(b.deadlines.First())
	}
	b.subscribe()
	b.settle()
	b.listed = false
	b.arm()
	dst, b.dst = b.dst, nil
	return dst
}

func (b *base) do(a dispatch.Action) { b.dst = append(b.dst, a) }

// arm asks for a step at the next thing that is due.
func (b *base) arm() {
	if b.timer <= b.now {
		b.timer = 0
	}
	next := b.wake()
	if b.deadlines.Len() > 0 && (next == 0 || b.deadlines.First().At < next) {
		next = b.deadlines.First().At
	}
	if b.mustAsk() && (next == 0 || b.askAt < next) {
		next = b.askAt
	}
	if next > 0 && (b.timer == 0 || next < b.timer) {
		b.timer = max(next, b.now+1)
		b.do(dispatch.SetTimer{After: b.timer - b.now})
	}
}

// ---- Jobs ----

func (b *base) arrive(e dispatch.Job) {
	if b.jobs[e.ID] != nil || e.Class < 0 || e.Class >= len(b.set.Classes) {
		return
	}
	j := &job{Job: e, class: &b.set.Classes[e.Class]}
	j.At = b.now + max(e.Remaining, 0)
	j.Slots = max(1, e.Slots)
	// A further try of a client leaves less time than a first one does, and its aim is that of the first.
	full := &b.fullLeft[e.Class]
	*full = max(*full, min(e.Remaining, j.class.ClientTimeout))
	j.came = b.now - max(0, *full-max(e.Remaining, 0))
	j.aim = min(j.came+j.class.LatencyObjective+seconds(j.class.ObjectiveStretch*b.guess(j)), j.At)
	b.jobs[e.ID] = j
	b.deadlines.Add(j)
	b.offer(j)
}

// guess is the work that a job is taken for where its true work is not seen: its hint, or else as much as leaves it
// half of its client's patience.
func (b *base) guess(j *job) float64 {
	if j.Hint > 0 {
		return j.Hint.Seconds()
	}
	return j.class.ClientTimeout.Seconds() / 2 / max(j.class.ObjectiveStretch, 1)
}

// follow sees to a job of which an attempt has ended.
func (b *base) follow(j *job) {
	switch {
	case j.out > 0 || j.held > 0:
	case !b.open(j) || j.class.Idempotency == dispatch.NonIdempotent && j.risked():
		b.end(j)
	default:
		b.offer(j)
	}
}

// end gives the final answer.
func (b *base) end(j *job) {
	if j.closed {
		return
	}
	if j.class.Idempotency == dispatch.Idempotent || j.class.Idempotency == dispatch.IdempotentWithKey && j.class.DeduplicationScope == dispatch.ScopeAll || !j.risked() {
		b.do(dispatch.Reject{Job: j.ID, RetryAfter: min(comeBack, b.set.MaxRetryAfter)})
	} else {
		b.do(dispatch.Fail{Job: j.ID})
	}
	b.close(j)
}

func (b *base) close(j *job) {
	if j == nil {
		return
	}
	if !j.closed {
		j.closed = true
		b.deadlines.Remove(j)
		b.drop(j)
	}
	if j.out == 0 {
		delete(b.jobs, j.ID)
	}
}

// ---- Attempts ----

// risked tells whether any attempt may have run.
func (j *job) risked() bool { return slices.ContainsFunc(j.attempts, (*attempt).mayHaveRun) }

func (a *attempt) mayHaveRun() bool {
	return !a.ended || a.result != dispatch.WorkerFull && a.result != dispatch.ConnectFailed && a.result != dispatch.NotSent
}

// had tells whether a job has been sent to a worker before.
func (j *job) had(w *worker) bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool { return a.worker == w })
}

// may tells whether the rules let a job go to a ready worker now.
func (b *base) may(j *job, w *worker) bool {
	c := j.class
	if c.Kinds != nil && !slices.Contains(c.Kinds, w.Kind) || c.Zones != nil && !slices.Contains(c.Zones, w.Zone) {
		return false
	}
	if len(j.attempts) == 0 {
		return true
	}
	if j.out > 0 && !b.set.Hedging {
		return false
	}
	for _, a := range j.attempts {
		if !a.ended && a.worker == w {
			return false
		}
		if !a.mayHaveRun() || c.Idempotency == dispatch.Idempotent {
			continue
		}
		if c.Idempotency == dispatch.NonIdempotent || b.now-a.sent >= c.DeduplicationWindow-c.DeduplicationWindow/keepsOff ||
			c.DeduplicationScope == dispatch.ScopeZone && a.zone != w.Zone || c.DeduplicationScope == dispatch.ScopeCell && a.cell != w.Cell {
			return false
		}
	}
	return true
}

// open tells whether a job may have a further attempt, and one could still earn.
func (b *base) open(j *job) bool {
	return !j.closed && b.now < j.aim && len(j.attempts) < b.set.AttemptLimit
}

func (b *base) send(j *job, w *worker) {
	a := &attempt{job: j, worker: w, number: len(j.attempts), zone: w.Zone, cell: w.Cell, sent: b.now, place: len(b.out)}
	j.attempts = append(j.attempts, a)
	j.out++
	w.out++
	b.out = append(b.out, a)
	b.do(dispatch.Send{Job: j.ID, Worker: w.ID})
	b.track(w)
}

func (b *base) start(id uint64, number int) {
	if j := b.jobs[id]; j != nil && number >= 0 && number < len(j.attempts) {
		if a := j.attempts[number]; !a.started && !a.ended {
			a.started = true
			b.over(a)
		}
	}
}

func (b *base) outcome(e dispatch.Outcome) {
	j := b.jobs[e.Job]
	if j == nil || e.Attempt < 0 || e.Attempt >= len(j.attempts) || j.attempts[e.Attempt].ended {
		return
	}
	a := j.attempts[e.Attempt]
	a.ended, a.result = true, e.Result
	j.out--
	last := b.out[len(b.out)-1]
	b.out[a.place], last.place = last, a.place
	b.out[len(b.out)-1] = nil
	b.out = b.out[:len(b.out)-1]
	a.worker.out--
	b.track(a.worker)
	b.over(a)
	if e.Closed || j.closed || e.Result == dispatch.OK {
		b.close(j)
		return
	}
	b.follow(j)
}

// ---- Workers ----

// warm is the share of its capacity that a worker has at least, by when it started.
func (b *base) warm(w *worker) float64 {
	age := b.now - w.BootAt
	if w.BootAt <= 0 || b.set.WarmUp <= 0 || age >= b.set.WarmUp {
		return 1
	}
	return b.set.WarmUpCapacity + (1-b.set.WarmUpCapacity)*max(0, age.Seconds())/b.set.WarmUp.Seconds()
}

// passes draws whether a worker is passed over this time, as it is cold. That has no more out than the others have on
// the mean, less what it lacks in capacity.
func (b *base) passes(w *worker) bool {
	share := b.warm(w)
	return share < 1 && (b.rng.Float64() >= share || float64(w.out) > share*float64(len(b.out))/float64(len(b.ready)))
}

func (b *base) list(e dispatch.WorkerList) {
	if e.Kind == dispatch.ListUnavailable {
		if b.follows = false; b.asked || b.askWait == 0 {
			b.askWait = min(max(b.set.PollInterval/20, 2*b.askWait), b.set.PollInterval/4)
		}
		b.asked = false
		b.askAt = b.now + b.askWait/2 + time.Duration(b.rng.Int64N(int64(b.askWait)+1))
		return
	}
	b.listed = true
	if e.Kind != dispatch.ListCached && b.asked {
		b.asked, b.follows, b.askWait = false, true, 0
	}
	if e.Kind != dispatch.ListDelta {
		listed := make(map[uint64]bool, len(e.Workers))
		for _, x := range e.Workers {
			listed[x.ID] = true
		}
		for i := len(b.ready) - 1; i >= 0; i-- { // backwards, as the last takes the place of one that leaves
			if w := b.ready[i]; !listed[w.ID] {
				b.setReady(w, false)
			}
		}
	}
	for _, x := range e.Workers {
		w := b.workers[x.ID]
		if w == nil {
			w = &worker{}
			b.workers[x.ID] = w
		}
		w.Worker = x
		b.setReady(w, x.Ready && !x.Removed)
	}
}

func (b *base) setReady(w *worker, ready bool) {
	if ready == (w.place > 0) {
		return
	}
	if ready {
		b.ready = append(b.ready, w)
		w.place = len(b.ready)
	} else {
		last := b.ready[len(b.ready)-1]
		b.ready[w.place-1], last.place = last, w.place
		b.ready[len(b.ready)-1] = nil
		b.ready = b.ready[:len(b.ready)-1]
		w.place = 0
	}
	b.track(w)
}

func (b *base) mustAsk() bool { return b.set.MustSubscribe && !b.follows && !b.asked }

func (b *base) subscribe() {
	if b.mustAsk() && b.now >= b.askAt {
		b.asked = true
		b.do(dispatch.Subscribe{})
	}
}

// seconds is a span of s seconds.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e6) * float64(time.Second))
}
