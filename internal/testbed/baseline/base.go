package baseline

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
)

const (
	retryAfter     = 500 * time.Millisecond // with a rejection, where clients follow such advice
	ejectionFactor = 20                     // a keyed repeat stays clear of its window's end by this part of it
)

// policy is what baseline policies differ in.
type policy interface {
	offer(j *job)            // it wants a worker
	drop(j *job)             // and wants none any more
	track(w *worker)         // its readiness has changed, or how many attempts are out at it
	attemptEnded(a *attempt) // it has started or ended
	settle()                 // ends each step
	wake() time.Duration     // when a step is wanted at the latest; 0: never
}

// base is what all baseline policies have in common.
type base struct {
	policy
	settings       dispatch.Settings
	rng            *rand.Rand
	now            time.Duration
	dst            []dispatch.Action
	jobs           map[uint64]*job
	workers        map[uint64]*worker
	ready          []*worker // to which something new may go
	deadlines      deadline.Queue[*job]
	inFlight       []*attempt      // that have not ended
	fullUntil      []time.Duration // by class: the time that a first try leaves
	timer          time.Duration   // the caller's; 0: none
	listed         bool            // in this step there was news of workers
	watchRequested bool
	watching       bool
	pollAt         time.Duration
	pollDelay      time.Duration
}

// job is owed an answer, or has attempts that are still out. Its due.Item is its deadline.
type job struct {
	deadline.Item
	dispatch.Job
	class     *dispatch.Class
	arrivedAt time.Duration // its client's first try
	objective time.Duration // an answer later than that earns nothing
	attempts  []*attempt
	inFlight  int
	closed    bool
	heldIndex int     // place among the held, from 1; 0: in none
	work      float64 // true, where it is seen
	overQuota bool    // its tenant's share
}

type attempt struct {
	job     *job
	worker  *worker
	number  int
	zone    int // of the worker when sent
	cell    int
	sentAt  time.Duration
	index   int // among those out
	started bool
	ended   bool
	result  dispatch.Result
}

type worker struct {
	dispatch.Worker
	readyIndex int // among the ready, from 1; 0: it is not
	inFlight   int // attempts
	level      int // of leastOutstanding: attempts out, from 1; 0: it is in none
	levelIndex int // and its place there
	workerView     // of seeing
}

func newBase(set dispatch.Settings, seed uint64) *base {
	return &base{
		settings: set, rng: rand.New(rand.NewPCG(seed, 1)), jobs: map[uint64]*job{}, workers: map[uint64]*worker{},
		fullUntil: make([]time.Duration, len(set.Classes)),
	}
}

// Step implements requests.Policy.
func (b *base) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	b.now, b.dst = max(now, b.now), dst
	for _, event := range events {
		switch event := event.(type) {
		case dispatch.WorkerList:
			b.applyList(event)
		case dispatch.Job:
			b.addJob(event)
		case dispatch.Outcome:
			b.attemptOutcome(event)
		case dispatch.Started:
			b.start(event.Job, event.Attempt)
		case dispatch.Progressed:
			b.start(event.Job, event.Attempt) // the callback of its start may have been lost
		case dispatch.ClientDisconnected:
			b.closeJob(b.jobs[event.Job])
		}
	}
	for b.deadlines.Len() > 0 && b.deadlines.First().At <= b.now {
		b.failJob(b.deadlines.First())
	}
	b.requestWatch()
	b.settle()
	b.listed = false
	b.setTimer()
	dst, b.dst = b.dst, nil
	return dst
}

func (b *base) emit(a dispatch.Action) { b.dst = append(b.dst, a) }

// setTimer asks for a step at the next thing that is due.
func (b *base) setTimer() {
	if b.timer <= b.now {
		b.timer = 0
	}
	next := b.wake()
	if b.deadlines.Len() > 0 && (next == 0 || b.deadlines.First().At < next) {
		next = b.deadlines.First().At
	}
	if b.mustPoll() && (next == 0 || b.pollAt < next) {
		next = b.pollAt
	}
	if next > 0 && (b.timer == 0 || next < b.timer) {
		b.timer = max(next, b.now+1)
		b.emit(dispatch.SetTimer{After: b.timer - b.now})
	}
}

// ---- Jobs ----

func (b *base) addJob(arrival dispatch.Job) {
	if b.jobs[arrival.ID] != nil || arrival.Class < 0 || arrival.Class >= len(b.settings.Classes) {
		return
	}
	j := &job{Job: arrival, class: &b.settings.Classes[arrival.Class]}
	j.At = b.now + max(arrival.Remaining, 0)
	j.Slots = max(1, arrival.Slots)
	// A further try of a client leaves less time than a first one does, and its objective is that of the first.
	full := &b.fullUntil[arrival.Class]
	*full = max(*full, min(arrival.Remaining, j.class.ClientTimeout))
	j.arrivedAt = b.now - max(0, *full-max(arrival.Remaining, 0))
	j.objective = min(j.arrivedAt+j.class.LatencyObjective+seconds(j.class.ObjectiveStretch*b.estimateWork(j)), j.At)
	b.jobs[arrival.ID] = j
	b.deadlines.Add(j)
	b.offer(j)
}

// estimateWork is the work that a job is taken for where its true work is not seen: its hint, or else as much as leaves it
// half of its client's timeout.
func (b *base) estimateWork(j *job) float64 {
	if j.Hint > 0 {
		return j.Hint.Seconds()
	}
	return j.class.ClientTimeout.Seconds() / 2 / max(j.class.ObjectiveStretch, 1)
}

// scheduleDeadline sees to a job of which an attempt has ended.
func (b *base) scheduleDeadline(j *job) {
	switch {
	case j.inFlight > 0 || j.heldIndex > 0:
	case !b.hasRoom(j) || j.class.Idempotency == dispatch.NonIdempotent && j.hasRisk():
		b.failJob(j)
	default:
		b.offer(j)
	}
}

// failJob gives the final answer.
func (b *base) failJob(j *job) {
	if j.closed {
		return
	}
	if j.class.Idempotency == dispatch.Idempotent || j.class.Idempotency == dispatch.IdempotentWithKey && j.class.DeduplicationScope == dispatch.ScopeAll || !j.hasRisk() {
		b.emit(dispatch.Reject{Job: j.ID, RetryAfter: min(retryAfter, b.settings.MaxRetryAfter)})
	} else {
		b.emit(dispatch.Fail{Job: j.ID})
	}
	b.closeJob(j)
}

func (b *base) closeJob(j *job) {
	if j == nil {
		return
	}
	if !j.closed {
		j.closed = true
		b.deadlines.Remove(j)
		b.drop(j)
	}
	if j.inFlight == 0 {
		delete(b.jobs, j.ID)
	}
}

// ---- Attempts ----

// hasRisk tells whether any attempt may have run.
func (j *job) hasRisk() bool { return slices.ContainsFunc(j.attempts, (*attempt).possiblyExecuted) }

func (a *attempt) possiblyExecuted() bool {
	return !a.ended || a.result != dispatch.WorkerFull && a.result != dispatch.ConnectFailed && a.result != dispatch.NotSent
}

// wasSentTo tells whether a job has been sent to a worker before.
func (j *job) wasSentTo(w *worker) bool {
	return slices.ContainsFunc(j.attempts, func(a *attempt) bool { return a.worker == w })
}

// isAllowed reports whether the rules let a job go to a ready worker now.
func (b *base) isAllowed(j *job, worker *worker) bool {
	class := j.class
	if class.Kinds != nil && !slices.Contains(class.Kinds, worker.Kind) || class.Zones != nil && !slices.Contains(class.Zones, worker.Zone) {
		return false
	}
	if len(j.attempts) > 0 && j.inFlight > 0 && !b.settings.Hedging {
		return false
	}
	for _, a := range j.attempts {
		if !a.ended && a.worker == worker {
			return false
		}
		if a.possiblyExecuted() && !b.mayRepeat(class, a, worker) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a job may go to a worker after an attempt that was possibly executed.
func (b *base) mayRepeat(class *dispatch.Class, a *attempt, w *worker) bool {
	switch class.Idempotency {
	case dispatch.Idempotent:
		return true
	case dispatch.NonIdempotent:
		return false
	}
	window := class.DeduplicationWindow - class.DeduplicationWindow/ejectionFactor
	return b.now-a.sentAt < window &&
		(class.DeduplicationScope != dispatch.ScopeZone || a.zone == w.Zone) &&
		(class.DeduplicationScope != dispatch.ScopeCell || a.cell == w.Cell)
}

// hasRoom tells whether a job may have a further attempt, and one could still earn.
func (b *base) hasRoom(j *job) bool {
	return !j.closed && b.now < j.objective && len(j.attempts) < b.settings.AttemptLimit
}

func (b *base) send(j *job, w *worker) {
	a := &attempt{job: j, worker: w, number: len(j.attempts), zone: w.Zone, cell: w.Cell, sentAt: b.now, index: len(b.inFlight)}
	j.attempts = append(j.attempts, a)
	j.inFlight++
	w.inFlight++
	b.inFlight = append(b.inFlight, a)
	b.emit(dispatch.Send{Job: j.ID, Worker: w.ID})
	b.track(w)
}

func (b *base) start(id uint64, number int) {
	if j := b.jobs[id]; j != nil && number >= 0 && number < len(j.attempts) {
		if a := j.attempts[number]; !a.started && !a.ended {
			a.started = true
			b.attemptEnded(a)
		}
	}
}

func (b *base) attemptOutcome(outcome dispatch.Outcome) {
	job := b.jobs[outcome.Job]
	if job == nil || outcome.Attempt < 0 || outcome.Attempt >= len(job.attempts) || job.attempts[outcome.Attempt].ended {
		return
	}
	a := job.attempts[outcome.Attempt]
	a.ended, a.result = true, outcome.Result
	job.inFlight--
	last := b.inFlight[len(b.inFlight)-1]
	b.inFlight[a.index], last.index = last, a.index
	b.inFlight[len(b.inFlight)-1] = nil
	b.inFlight = b.inFlight[:len(b.inFlight)-1]
	a.worker.inFlight--
	b.track(a.worker)
	b.attemptEnded(a)
	if outcome.Closed || job.closed || outcome.Result == dispatch.OK {
		b.closeJob(job)
		return
	}
	b.scheduleDeadline(job)
}

// ---- Workers ----

// warmUpShare is the share of its capacity that a worker has at least, by when it started.
func (b *base) warmUpShare(w *worker) float64 {
	age := b.now - w.BootAt
	if w.BootAt <= 0 || b.settings.WarmUp <= 0 || age >= b.settings.WarmUp {
		return 1
	}
	return b.settings.WarmUpCapacity + (1-b.settings.WarmUpCapacity)*max(0, age.Seconds())/b.settings.WarmUp.Seconds()
}

// isUsable draws whether a worker is passed over this time, as it is cold. That has no more out than the others have on
// the mean, less what it lacks in capacity.
func (b *base) isUsable(w *worker) bool {
	share := b.warmUpShare(w)
	return share < 1 && (b.rng.Float64() >= share || float64(w.inFlight) > share*float64(len(b.inFlight))/float64(len(b.ready)))
}

func (b *base) applyList(workerList dispatch.WorkerList) {
	if workerList.Kind == dispatch.ListUnavailable {
		if b.watching = false; b.watchRequested || b.pollDelay == 0 {
			b.pollDelay = min(max(b.settings.PollInterval/20, 2*b.pollDelay), b.settings.PollInterval/4)
		}
		b.watchRequested = false
		b.pollAt = b.now + b.pollDelay/2 + time.Duration(b.rng.Int64N(int64(b.pollDelay)+1))
		return
	}
	b.listed = true
	if workerList.Kind != dispatch.ListCached && b.watchRequested {
		b.watchRequested, b.watching, b.pollDelay = false, true, 0
	}
	if workerList.Kind != dispatch.ListDelta {
		listed := make(map[uint64]bool, len(workerList.Workers))
		for _, x := range workerList.Workers {
			listed[x.ID] = true
		}
		for i := len(b.ready) - 1; i >= 0; i-- { // backwards, as the last takes the place of one that leaves
			if w := b.ready[i]; !listed[w.ID] {
				b.setReady(w, false)
			}
		}
	}
	for _, x := range workerList.Workers {
		w := b.workers[x.ID]
		if w == nil {
			w = &worker{}
			b.workers[x.ID] = w
		}
		w.Worker = x
		b.setReady(w, x.Ready && !x.Removed)
	}
}

func (b *base) setReady(worker *worker, ready bool) {
	if ready == (worker.readyIndex > 0) {
		return
	}
	if ready {
		b.ready = append(b.ready, worker)
		worker.readyIndex = len(b.ready)
	} else {
		last := b.ready[len(b.ready)-1]
		b.ready[worker.readyIndex-1], last.readyIndex = last, worker.readyIndex
		b.ready[len(b.ready)-1] = nil
		b.ready = b.ready[:len(b.ready)-1]
		worker.readyIndex = 0
	}
	b.track(worker)
}

func (b *base) mustPoll() bool { return b.settings.MustSubscribe && !b.watching && !b.watchRequested }

func (b *base) requestWatch() {
	if b.mustPoll() && b.now >= b.pollAt {
		b.watchRequested = true
		b.emit(dispatch.Subscribe{})
	}
}

// seconds is a span of s seconds.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e6) * float64(time.Second))
}
