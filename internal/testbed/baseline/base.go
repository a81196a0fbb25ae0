package baseline

import (
	"math"
	"math/rand/v2"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
)

const (
	retryAfter          = 500 * time.Millisecond // of a rejection, at most
	windowMarginDivisor = 20                     // part of a deduplication window, at its end, in which no retry is sent
)

// policy is the part in which baseline policies differ: the choice of a worker for a job.
type policy interface {
	offer(j *job)            // the job needs a worker
	drop(j *job)             // the job needs no worker any more
	track(w *worker)         // its readiness has changed, or its number of attempts in flight
	attemptEnded(a *attempt) // the attempt has started or ended
	settle()                 // ends each step
	wake() time.Duration     // the time of the next step needed; 0: none
}

// base is the common part of all baseline policies: the state of jobs, attempts and workers, and the rules for schedulers.
type base struct {
	policy
	settings       dispatch.Settings
	rng            *rand.Rand
	now            time.Duration
	actions        []dispatch.Action
	jobs           map[uint64]*job
	workers        map[uint64]*worker
	ready          []*worker // to which new attempts may be sent
	deadlines      deadline.Queue[*job]
	inFlight       []*attempt
	fullUntil      []time.Duration // by class: the remaining time of a job's first request
	timer          time.Duration   // the caller's timer; 0: none
	listed         bool            // this step had an update of the worker list
	watchRequested bool
	watching       bool
	pollAt         time.Duration // when to subscribe again
	pollDelay      time.Duration
}

// job is a job without a response, or with attempts in flight. Its deadline.Item has its deadline.
type job struct {
	deadline.Item
	dispatch.Job
	class      *dispatch.Class
	arrivedAt  time.Duration // of its client's first request, as estimated
	objective  time.Duration // a response after it has no utility
	attempts   []*attempt
	inFlight   int
	closed     bool
	queueIndex int     // index in the policy's queue, plus one; 0: not queued
	work       float64 // its true work in seconds, for omniscient; 0: unknown
	overQuota  bool    // its tenant exceeded its quota
}

// attempt is an attempt at a worker.
type attempt struct {
	job     *job
	worker  *worker
	number  int
	zone    int // of the worker, when sent
	cell    int // of the worker, when sent
	sentAt  time.Duration
	index   int // in base.inFlight
	started bool
	ended   bool
	result  dispatch.Result
}

// worker is a worker of the list, or one that was removed from it.
type worker struct {
	dispatch.Worker
	readyIndex int // index in base.ready, plus one; 0: not ready
	inFlight   int // attempts in flight
	level      int // index in leastOutstanding.levels, plus one; 0: in none
	levelIndex int // index in that level
	workerView     // of omniscient
}

// newBase returns the common part of a policy, without the policy itself. The seed determines its random draws.
func newBase(settings dispatch.Settings, seed uint64) *base {
	return &base{
		settings: settings, rng: rand.New(rand.NewPCG(seed, 1)), jobs: map[uint64]*job{}, workers: map[uint64]*worker{},
		fullUntil: make([]time.Duration, len(settings.Classes)),
	}
}

// Step implements requests.Policy.
func (b *base) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	b.now = max(now, b.now)
	b.actions = dst
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
	actions := b.actions
	b.actions = nil
	return actions
}

// emit adds an action to those of the present step.
func (b *base) emit(action dispatch.Action) { b.actions = append(b.actions, action) }

// setTimer sets the caller's timer to the next deadline, poll or time that the policy needs.
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

// seconds converts seconds, a million at most, to a duration.
func seconds(count float64) time.Duration {
	return time.Duration(math.Min(count, 1e6) * float64(time.Second))
}
