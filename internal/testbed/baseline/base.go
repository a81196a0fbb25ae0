package baseline

import (
	"math"
	"math/rand/v2"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
)

const (
	retryAfter          = 500 * time.Millisecond // of a rejection; Settings.MaxRetryAfter may lower it
	windowMarginDivisor = 20                     // no retry is sent in this last fraction of a deduplication window
)

// policy is the part in which baseline policies differ: when a job is sent, and to which worker.
type policy interface {
	offer(j *job)            // the job needs a worker
	drop(j *job)             // the job needs no worker any more
	track(w *worker)         // its readiness has changed, or its number of attempts in flight
	attemptEnded(a *attempt) // the attempt has started, or ended
	settle()                 // is called at the end of each step
	wake() time.Duration     // the time of the next step needed; 0: none
}

// base is the common part of all baseline policies: the state of jobs, attempts and workers, and the rules that schedulers
// follow.
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
	maxRemaining   []time.Duration // by class: the longest Remaining of any job so far, taken as that of a client's first request
	timer          time.Duration   // the caller's timer; 0: none
	listUpdated    bool            // the worker list was updated in this step
	watchRequested bool
	watching       bool
	pollAt         time.Duration // when to subscribe to the worker list again
	pollDelay      time.Duration
}

// job is a job that is not closed or has attempts in flight. Its deadline.Item holds its deadline.
type job struct {
	deadline.Item
	dispatch.Job
	class      *dispatch.Class
	arrivedAt  time.Duration // estimated arrival of its client's first request
	objective  time.Duration // a response after this time has no value
	attempts   []*attempt
	inFlight   int
	closed     bool
	queueIndex int     // index in the policy's queue, plus one; 0: not queued
	work       float64 // its true work in seconds, which only omniscient knows; 0: unknown
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

// worker is a worker that is in the worker list or was removed from it.
type worker struct {
	dispatch.Worker
	readyIndex int // index in base.ready, plus one; 0: not ready
	inFlight   int // attempts in flight
	level      int // index in leastOutstanding.levels, plus one; 0: in none
	levelIndex int // index in that level
	workerView     // used by omniscient
}

// newBase returns the common part of a policy, without the policy itself. The seed determines its random draws.
func newBase(settings dispatch.Settings, seed uint64) *base {
	return &base{
		settings: settings, rng: rand.New(rand.NewPCG(seed, 1)), jobs: map[uint64]*job{}, workers: map[uint64]*worker{},
		maxRemaining: make([]time.Duration, len(settings.Classes)),
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
			b.start(event.Job, event.Attempt) // the start callback may have been lost
		case dispatch.ClientDisconnected:
			b.closeJob(b.jobs[event.Job])
		}
	}
	for b.deadlines.Len() > 0 && b.deadlines.First().At <= b.now {
		b.failJob(b.deadlines.First())
	}
	b.requestWatch()
	b.settle()
	b.listUpdated = false
	b.setTimer()
	actions := b.actions
	b.actions = nil
	return actions
}

// emit adds an action to those of the current step.
func (b *base) emit(action dispatch.Action) { b.actions = append(b.actions, action) }

// setTimer sets the caller's timer to the next deadline, the next subscription or the policy's next wake, whichever is
// first.
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

// seconds converts a number of seconds to a duration of at most a million seconds.
func seconds(count float64) time.Duration {
	return time.Duration(math.Min(count, 1e6) * float64(time.Second))
}
