package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ruleChecker checks the rules from events and actions alone. It shares no code and no state with the code under test.
type ruleChecker struct {
	set          Settings
	now          time.Duration
	jobs         map[uint64]*observedJob
	ready        map[uint64]Worker
	listed       map[uint64]Worker // as it was last listed
	everListed   map[uint64]bool
	checking     map[uint64]bool
	cordoned     map[uint64]bool // by the operators
	disconnected map[uint64]bool // jobs whose clients disconnect in this step: decisions made before that are ignored
	timers       []time.Duration
	violations   []string
}

type observedJob struct {
	Job
	deadline          time.Duration
	closed, streaming bool
	attempts          []observedAttempt
}

type observedAttempt struct {
	worker    Worker
	sentAt    time.Duration
	ended     bool
	started   bool
	result    Result
	cancelled bool
}

func newRuleChecker(set Settings) *ruleChecker {
	return &ruleChecker{
		set: set, jobs: map[uint64]*observedJob{}, ready: map[uint64]Worker{}, listed: map[uint64]Worker{}, everListed: map[uint64]bool{},
		checking: map[uint64]bool{}, cordoned: map[uint64]bool{}, disconnected: map[uint64]bool{},
	}
}

func (r *ruleChecker) violation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf("%v: ", r.now)+fmt.Sprintf(format, args...))
}

// observe updates the checker with the events that the dispatcher gets.
func (r *ruleChecker) observe(events []Event) {
	clear(r.disconnected)
	for _, e := range events {
		switch e := e.(type) {
		case Job:
			r.jobs[e.ID] = &observedJob{Job: e, deadline: r.now + e.Remaining}
		case JobResumed:
			r.observeResumed(e)
		case Outcome:
			j := r.jobs[e.Job]
			t := &j.attempts[e.Attempt]
			t.ended, t.result = true, e.Result
			j.closed = j.closed || e.Closed
		case ResponseStarted:
			r.jobs[e.Job].streaming = true
		case ClientDisconnected:
			r.jobs[e.Job].closed = true
			r.disconnected[e.Job] = true
		case HealthChecked:
			r.checking[e.Worker] = false
		case Cordoned:
			r.cordoned[e.Worker] = true
		case Uncordoned:
			delete(r.cordoned, e.Worker)
		case WorkerList:
			r.observeList(e)
		}
	}
}

func (r *ruleChecker) observeResumed(e JobResumed) {
	j := &observedJob{Job: e.Job, deadline: r.now + e.Job.Remaining}
	for _, past := range e.Attempts {
		w, known := r.listed[past.Worker]
		if !known {
			w = Worker{ID: past.Worker, Zone: -1, Cell: -1}
		}
		j.attempts = append(j.attempts, observedAttempt{
			worker: w, sentAt: r.now - past.SentAgo, started: past.StartedAgo > 0, ended: past.Ended, result: past.Result,
		})
	}
	r.jobs[e.Job.ID] = j
}

func (r *ruleChecker) observeList(list WorkerList) {
	if list.Kind == ListUnavailable {
		return
	}
	if list.Kind != ListDelta {
		clear(r.ready)
	}
	for _, w := range list.Workers {
		delete(r.ready, w.ID)
		if w.Ready && !w.Removed {
			r.ready[w.ID] = w
		}
		r.everListed[w.ID], r.listed[w.ID] = true, w
	}
}

// possiblyExecuted follows the protocol's table of completion codes: only these three prove that nothing was executed.
func (t observedAttempt) possiblyExecuted() bool {
	return !t.ended || t.result != WorkerFull && t.result != ConnectFailed && t.result != NotSent
}

func (r *ruleChecker) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			r.checkSend(a)
		case Reject:
			r.checkReject(a)
		case Fail:
			r.final("fail", a.Job)
		case Cancel:
			r.checkCancel(a)
		case HealthCheck:
			if !r.set.HealthChecks || !r.everListed[a.Worker] {
				r.violation("health check of worker %d", a.Worker)
			}
			r.checking[a.Worker] = true
		case SetTimer:
			if a.After <= 0 {
				r.violation("timer of %v", a.After)
			}
			r.timers = append(r.timers, r.now+a.After)
		}
	}
	for id, j := range r.jobs {
		if !j.closed && !j.streaming && r.now > j.deadline {
			r.violation("job %d is open past its deadline", id)
		}
	}
}

func (r *ruleChecker) checkReject(a Reject) {
	j := r.final("rejection", a.Job)
	if j == nil {
		return
	}
	c := r.set.Classes[j.Class]
	harmless := c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DeduplicationScope == ScopeAll
	if !harmless && slices.ContainsFunc(j.attempts, observedAttempt.possiblyExecuted) {
		r.violation("job %d rejected though possibly executed", a.Job)
	}
}

func (r *ruleChecker) checkCancel(a Cancel) {
	j := r.jobs[a.Job]
	if !r.set.Cancellation || j == nil || a.Attempt < 0 || a.Attempt >= len(j.attempts) {
		r.violation("cancel of job %d attempt %d", a.Job, a.Attempt)
		return
	}
	j.attempts[a.Attempt].cancelled = true
}

func (r *ruleChecker) final(what string, id uint64) *observedJob {
	j := r.jobs[id]
	if r.disconnected[id] {
		return nil
	}
	if j == nil || j.closed {
		r.violation("%s of job %d, unknown or answered already", what, id)
		return nil
	}
	j.closed = true
	return j
}

func (r *ruleChecker) checkSend(a Send) {
	j := r.jobs[a.Job]
	w, ready := r.ready[a.Worker]
	if j == nil || j.closed && !r.disconnected[a.Job] {
		r.violation("send of job %d, unknown or closed", a.Job)
		return
	}
	if !ready {
		r.violation("send to worker %d, which is draining or removed", a.Worker)
	}
	if r.cordoned[a.Worker] {
		r.violation("send to worker %d, which is cordoned", a.Worker)
	}
	c := &r.set.Classes[j.Class]
	if c.Kinds != nil && !slices.Contains(c.Kinds, w.Kind) || c.Zones != nil && !slices.Contains(c.Zones, w.Zone) {
		r.violation("job %d of class %d sent to kind %d in zone %d", a.Job, j.Class, w.Kind, w.Zone)
	}
	r.checkRepeat(c, j, a, w)
	j.attempts = append(j.attempts, observedAttempt{worker: w, sentAt: r.now})
	if len(j.attempts) > r.set.AttemptLimit {
		r.violation("job %d has %d attempts", a.Job, len(j.attempts))
	}
}

// checkRepeat checks a send of a job against its earlier attempts.
func (r *ruleChecker) checkRepeat(c *Class, j *observedJob, a Send, w Worker) {
	for _, earlier := range j.attempts {
		if !earlier.ended && !r.set.Hedging {
			r.violation("job %d hedged with hedging off", a.Job)
		}
		if !earlier.ended && earlier.worker.ID == a.Worker {
			r.violation("job %d sent to worker %d, where it is in flight already", a.Job, a.Worker)
		}
		if !r.mayFollow(c, earlier, w) {
			r.violation("job %d sent again though possibly executed", a.Job)
		}
	}
}

// maxProcessStall is how long a process may be held up between reading its clock and writing.
const maxProcessStall = 150 * ms

// mayFollow reports whether a worker may be sent a job after an earlier attempt. The new attempt may be delayed by its connection
// and by a stall of this process.
func (r *ruleChecker) mayFollow(c *Class, earlier observedAttempt, w Worker) bool {
	if !earlier.possiblyExecuted() || c.Idempotency == Idempotent {
		return true
	}
	same := c.DeduplicationScope == ScopeAll || c.DeduplicationScope == ScopeZone && earlier.worker.Zone == w.Zone ||
		c.DeduplicationScope == ScopeCell && earlier.worker.Cell == w.Cell
	return c.Idempotency != NonIdempotent && same && r.now-earlier.sentAt+r.set.ConnectTimeout+maxProcessStall <= c.DeduplicationWindow
}

// randomSettings draws settings from ranges wider than in any known deployment.
func randomSettings(rng *rand.Rand) Settings {
	flip := func() bool { return rng.IntN(2) == 0 }
	ms := func(n int) time.Duration { return time.Duration(rng.IntN(n)) * time.Millisecond }
	set := Settings{
		Replicas: rng.IntN(6), ReplicaIndex: rng.IntN(5), Zone: rng.IntN(3), MustSubscribe: flip(), AttemptLimit: 1 + rng.IntN(5),
		Hedging: flip(), Cancellation: flip(), HealthChecks: flip(), StartNotifications: flip(), MaxRetryAfter: ms(2000),
		ReportFields: []ReportField{ReportFieldOther, ReportFieldFreeSlots}[:rng.IntN(3)], HealthCheckCost: rng.Float64() * 0.01,
		CrossZoneCost: rng.Float64() * 0.1, ConnectTimeout: ms(300), PollInterval: ms(10000), WarmUp: ms(20000),
		WarmUpCapacity: rng.Float64(), OverloadFactor: 1 + 3*rng.Float64(), OverloadWindow: ms(3000),
	}
	for range 1 + rng.IntN(4) {
		set.Classes = append(set.Classes, Class{
			LatencyObjective: ms(1000), ObjectiveStretch: 3 * rng.Float64(), ClientTimeout: ms(8000),
			Idempotency: Idempotency(rng.IntN(3)), DeduplicationScope: DeduplicationScope(rng.IntN(3)), DeduplicationWindow: ms(3000),
			LateValue: max(0, rng.Float64()-0.5), PriorityWeight: 5 * rng.Float64(), Kinds: randomPlacement(rng), Zones: randomPlacement(rng),
		})
	}
	for range rng.IntN(3) {
		set.TenantQuota = append(set.TenantQuota, 20*rng.Float64())
	}
	return set
}

// randomPlacement draws the kinds or zones that a class is restricted to: mostly none, sometimes an empty list or only ones
// without workers.
func randomPlacement(rng *rand.Rand) []int {
	if rng.IntN(3) > 0 {
		return nil
	}
	names := []int{}
	for n := range 5 {
		if rng.IntN(3) == 0 {
			names = append(names, n)
		}
	}
	return names
}

// randomRun feeds a dispatcher a random valid sequence of events that follows no model of a worker.
func randomRun(seed uint64, steps int) (*ruleChecker, *Dispatcher, []Action) {
	return observedRandomRun(seed, steps, func(*Dispatcher, time.Duration, []Event, []Action) {})
}

// observedRandomRun is randomRun with an observer, which is called before each step with the events and nil, and after it with
// the events and actions.
func observedRandomRun(seed uint64, steps int, observe func(*Dispatcher, time.Duration, []Event, []Action)) (*ruleChecker, *Dispatcher, []Action) {
	return observedRandomRunFrom(0, seed, steps, observe)
}

// observedRandomRunFrom is observedRandomRun on a clock that begins at start.
func observedRandomRunFrom(
	start time.Duration, seed uint64, steps int, observe func(*Dispatcher, time.Duration, []Event, []Action),
) (*ruleChecker, *Dispatcher, []Action) {
	return randomRunWith(start, seed, steps, observe, func(*Settings) {}, func() []Event { return nil })
}

// changedRandomRun is randomRun under settings that are changed, with more events in each step.
func changedRandomRun(seed uint64, steps int, change func(*Settings), more func() []Event) (*ruleChecker, *Dispatcher, []Action) {
	return randomRunWith(0, seed, steps, func(*Dispatcher, time.Duration, []Event, []Action) {}, change, more)
}

func randomRunWith(
	start time.Duration, seed uint64, steps int, observe func(*Dispatcher, time.Duration, []Event, []Action),
	change func(*Settings), more func() []Event,
) (*ruleChecker, *Dispatcher, []Action) {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := randomSettings(rng)
	change(&set)
	d, r := New(set, seed), newRuleChecker(set)
	r.now = start + time.Duration(rng.IntN(1e9))
	var log []Action
	id := uint64(0)
	for range steps {
		r.now += time.Duration(rng.IntN(40)) * time.Millisecond
		var events []Event
		firing := slices.IndexFunc(r.timers, func(at time.Duration) bool { return at <= r.now })
		for firing >= 0 {
			// A timer is delivered at its time, before anything later happens.
			r.now = slices.Min(r.timers)
			r.timers = slices.DeleteFunc(r.timers, func(at time.Duration) bool { return at <= r.now })
			firing = -1
			events = append(events, TimerFired{})
		}
		events = append(events, randomList(rng, r)...)
		for range rng.IntN(3) {
			id++
			j := Job{
				ID: id, Class: rng.IntN(len(set.Classes)), Tenant: rng.IntN(3),
				Remaining: time.Duration(rng.IntN(8000)) * time.Millisecond, Slots: float64(rng.IntN(5)),
				Memory: 3 * rng.Float64(), Hint: time.Duration(rng.IntN(3)) * time.Duration(rng.IntN(2e9)), Key: id % 7,
			}
			if rng.IntN(4) == 0 {
				events = append(events, JobResumed{Job: j, Age: time.Duration(rng.IntN(3000)) * time.Millisecond, QuotaCharged: id%2 == 0, Attempts: randomPastAttempts(rng)})
			} else {
				events = append(events, j)
			}
		}
		if rng.IntN(20) == 0 {
			events = append(events, Cordoned{Worker: uint64(rng.IntN(10) + 1)}) // may be cordoned already, or not listed yet
		}
		for n := range rng.IntN(3) / 2 * 3 {
			events = append(events, Uncordoned{Worker: uint64(rng.IntN(10) + n + 1)})
		}
		if rng.IntN(60) == 0 {
			events = append(events, ReplicasChanged{Replicas: rng.IntN(4), ReplicaIndex: rng.IntN(4), QuotaShare: rng.Float64() * float64(rng.IntN(2))})
		}
		if rng.IntN(100) == 0 {
			events = append(events, ModelUpdate{Snapshot: d.ModelSnapshot(rng.IntN(600), nil), Age: time.Duration(rng.IntN(1e10)), LoadShare: rng.Float64()})
		}
		events = append(events, randomOutcomes(rng, r)...)
		events = append(events, more()...)
		r.observe(events)
		observe(d, r.now, events, nil)
		actions := d.Step(r.now, events, []Action{})
		observe(d, r.now, events, actions)
		r.check(actions)
		log = append(log, actions...)
	}
	return r, d, log
}

// randomPastAttempts draws the past attempts of a job. Some of the workers are not listed, or have never been.
func randomPastAttempts(rng *rand.Rand) (attempts []PastAttempt) {
	for range rng.IntN(4) {
		p := PastAttempt{
			Worker: uint64(rng.IntN(10) + 1), SentAgo: time.Duration(rng.IntN(3000)) * time.Millisecond, Ended: rng.IntN(2) == 0,
			Result: Result(rng.IntN(9)),
		}
		if slices.ContainsFunc(attempts, func(o PastAttempt) bool { return o.Worker == p.Worker }) {
			p.Ended = true // at most one attempt is in flight at a worker
		}
		if rng.IntN(2) == 0 {
			p.StartedAgo = time.Duration(rng.Int64N(int64(p.SentAgo + 1)))
		}
		attempts = append(attempts, p)
	}
	return attempts
}

func randomList(rng *rand.Rand, r *ruleChecker) []Event {
	if len(r.everListed) > 0 && rng.IntN(15) > 0 {
		return nil
	}
	list := WorkerList{Kind: ListKind(rng.IntN(4))}
	if list.Kind == ListUnavailable {
		return []Event{list}
	}
	for n := range rng.IntN(8) {
		w := Worker{ID: uint64(n + 1), Kind: n % 3, Zone: n % 2, Cell: n % 4, Ready: rng.IntN(4) > 0}
		if rng.IntN(6) == 0 {
			w.AssigneeRank, w.Assignees = rng.IntN(3), rng.IntN(3)
		}
		if rng.IntN(4) == 0 {
			w.BootAt = r.now - time.Duration(rng.IntN(1e9))
		}
		w.Removed = list.Kind == ListDelta && rng.IntN(5) == 0
		list.Workers = append(list.Workers, w)
	}
	return []Event{list}
}

// randomOutcomes ends or starts attempts in flight, has clients disconnect and answers health checks.
func randomOutcomes(rng *rand.Rand, r *ruleChecker) (events []Event) {
	ids := make([]uint64, 0, len(r.jobs))
	for id := range r.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := r.jobs[id]
		for n := range j.attempts {
			if e := randomProgress(rng, r, j, n); e != nil {
				events = append(events, e)
			}
		}
		if !j.closed && rng.IntN(200) == 0 {
			events = append(events, ClientDisconnected{Job: id})
			j.closed = true
		}
		if j.closed && !slices.ContainsFunc(j.attempts, func(t observedAttempt) bool { return !t.ended }) && rng.IntN(20) == 0 &&
			!slices.ContainsFunc(events, func(e Event) bool { return concerns(e, id) }) {
			delete(r.jobs, id)
		}
	}
	for id := uint64(1); id < 9; id++ {
		if r.checking[id] && rng.IntN(3) == 0 {
			events = append(events, HealthChecked{Worker: id, Result: Result(rng.IntN(8)), Report: []float64{1, rng.Float64()}})
		}
	}
	return events
}

// randomProgress draws what happens to an attempt; nil: nothing.
func randomProgress(rng *rand.Rand, r *ruleChecker, j *observedJob, number int) Event {
	a := &j.attempts[number]
	if a.ended {
		return nil
	}
	overdue := !j.streaming && r.now >= j.deadline
	if !overdue && !a.cancelled && rng.IntN(8) > 0 {
		return nil
	}
	if !a.started && r.set.StartNotifications && rng.IntN(2) == 0 && !overdue {
		a.started = true
		return Started{Job: j.ID, Attempt: number, Worker: a.worker.ID}
	}
	if rng.IntN(3) == 0 && !overdue {
		return Progressed{Job: j.ID, Attempt: number, Worker: a.worker.ID, Share: rng.Float64()}
	}
	result := Result(rng.IntN(8))
	if overdue {
		result = TimedOut
	} else if a.cancelled {
		result = Cancelled
	}
	j.closed = j.closed || result == OK
	return Outcome{
		Job: j.ID, Attempt: number, Worker: a.worker.ID, Result: result, Closed: j.closed,
		Report: []float64{rng.Float64(), 5*rng.Float64() - 1}[:rng.IntN(3)],
	}
}

func concerns(e Event, id uint64) bool {
	switch e := e.(type) {
	case Outcome:
		return e.Job == id
	case ClientDisconnected:
		return e.Job == id
	}
	return false
}

func checkRandomRun(t *testing.T, seed uint64, steps int) (sends int) {
	t.Helper()
	r, _, log := randomRun(seed, steps)
	if len(r.violations) > 0 {
		t.Fatalf("seed %d: %d violations, the first: %s", seed, len(r.violations), r.violations[0])
	}
	for _, a := range log {
		if _, ok := a.(Send); ok {
			sends++
		}
	}
	return sends
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	t.Parallel()
	sends := 0
	for seed := range uint64(300) {
		sends += checkRandomRun(t, seed, 300)
	}
	if sends < 5000 {
		t.Fatalf("only %d attempts, too few for the test to be meaningful", sends)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		_, _, a := randomRun(seed, 200)
		_, _, b := randomRun(seed, 200)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint16(100))
	f.Add(uint64(77), uint16(400))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { checkRandomRun(t, seed, int(steps%1000)) })
}
