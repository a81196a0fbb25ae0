package dispatch

import (
	"math"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives one dispatcher: time, events due later, and the actions not looked at yet.
type harness struct {
	t     *testing.T
	d     *Dispatcher
	now   time.Duration
	due   []dueEvent
	acts  []Action
	jobs  map[uint64]*harnessJob
	timer time.Duration
}

type harnessJob struct {
	Job
	tries int
}

type dueEvent struct {
	at time.Duration
	e  Event
}

func testSettings() Settings {
	return Settings{Replicas: 1, AttemptLimit: 5, Hedging: true, Cancellation: true, StartNotifications: true,
		ConnectTimeout: 40 * ms, PollInterval: 10 * time.Second, ReportFields: []ReportField{ReportFieldFreeSlots},
		Classes: []Class{
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 5 * time.Second, Idempotency: Idempotent, LateValue: 0.3},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 5 * time.Second, Idempotency: NonIdempotent, LateValue: 0.3},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 5 * time.Second, Idempotency: Idempotent},
		}}
}

func newHarness(t *testing.T, set Settings) *harness {
	return &harness{t: t, d: New(set, 1), now: time.Hour, jobs: map[uint64]*harnessJob{}}
}

// workers tells of n warm ready workers, 1 to n.
func (s *harness) workers(n int) {
	list := WorkerList{Kind: ListFull}
	for id := range n {
		list.Workers = append(list.Workers, Worker{ID: uint64(id + 1), Ready: true})
	}
	s.step(list)
}

func (s *harness) step(events ...Event) {
	for _, e := range events {
		if j, ok := e.(Job); ok {
			s.jobs[j.ID] = &harnessJob{Job: j}
		}
	}
	n := len(s.acts)
	s.acts = s.d.Step(s.now, events, s.acts)
	for _, a := range s.acts[n:] {
		switch a := a.(type) {
		case SetTimer:
			s.timer = s.now + a.After
		case Send:
			s.jobs[a.Job].tries++
		}
	}
}

func (s *harness) after(d time.Duration, e Event) { s.due = append(s.due, dueEvent{s.now + d, e}) }

// wait lets time pass, with timers and what is due.
func (s *harness) wait(d time.Duration) {
	for end := s.now + d; ; {
		slices.SortStableFunc(s.due, func(a, b dueEvent) int { return int(a.at - b.at) })
		next := end
		if s.timer > s.now {
			next = min(next, s.timer)
		}
		if len(s.due) > 0 {
			next = min(next, max(s.now, s.due[0].at))
		}
		s.now = next
		var events []Event
		for len(s.due) > 0 && s.due[0].at <= s.now {
			events = append(events, s.due[0].e)
			s.due = s.due[1:]
		}
		if s.timer <= s.now {
			s.timer = 0
			events = append(events, TimerFired{})
		}
		if len(events) > 0 {
			s.step(events...)
		}
		if s.now >= end {
			return
		}
	}
}

func (s *harness) take() []Action {
	a := s.acts
	s.acts = nil
	return a
}

func taken[T Action](s *harness) (found []T) {
	for _, a := range s.take() {
		if x, ok := a.(T); ok {
			found = append(found, x)
		}
	}
	return found
}

func (s *harness) job(id uint64, class int, hint time.Duration) Job {
	return Job{ID: id, Class: class, Remaining: s.d.settings.Classes[class].ClientTimeout, Hint: hint, Slots: 1}
}

func (s *harness) done(id uint64, attempt int, worker uint64, r Result) Outcome {
	return Outcome{Job: id, Attempt: attempt, Worker: worker, Result: r, Closed: r == OK}
}

// busy fills worker 1 with job id and tells its prompt start.
func (s *harness) busy(id uint64) {
	s.step(s.job(id, 0, 300*ms))
	if got := taken[Send](s); len(got) != 1 || got[0].Worker != 1 {
		s.t.Fatalf("expected job %d to go to worker 1, got %v", id, got)
	}
	s.now += ms
	s.step(Started{Job: id, Worker: 1})
}

func sentJobs(sends []Send) (ids []uint64) {
	for _, a := range sends {
		ids = append(ids, a.Job)
	}
	return ids
}

func expectJobs(t *testing.T, sends []Send, want ...uint64) {
	t.Helper()
	if got := sentJobs(sends); !slices.Equal(got, want) {
		t.Fatalf("jobs sent: %v, expected %v", got, want)
	}
}

func TestDispatchOrder(t *testing.T) {
	cases := []struct {
		name  string
		hints []time.Duration // jobs 10, 11, ... arrive a millisecond apart
		wait  time.Duration
		mu    float64
		first uint64
	}{
		{"shortest first", []time.Duration{300 * ms, 50 * ms, 200 * ms}, 0, 1, 11},
		{"ties to the oldest", []time.Duration{100 * ms, 100 * ms}, 0, 1, 10},
		{"over tau the oldest first", []time.Duration{3000 * ms, 2900 * ms}, 250 * ms, 0.05, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, testSettings())
			s.workers(1)
			s.busy(1)
			s.d.workers[1].limit = 1
			s.d.muShort = c.mu
			for n, h := range c.hints {
				s.now += ms
				s.step(s.job(uint64(10+n), 1, h))
			}
			s.wait(c.wait)
			expectJobs(t, taken[Send](s))
			s.step(s.done(1, 0, 1, OK))
			if got := taken[Send](s); len(got) == 0 || got[0].Job != c.first {
				t.Fatalf("sent %v, expected job %d first", got, c.first)
			}
		})
	}
}

// Under overload all would wait past tau and leave in order of arrival; what cannot earn in full gives way.
func TestJobPastItsObjectiveIsDemoted(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.busy(1)
	s.d.workers[1].limit = 1
	s.step(s.job(10, 1, 100*ms))
	s.wait(2 * time.Second)
	s.step(s.job(11, 1, 200*ms))
	s.step(s.done(1, 0, 1, OK))
	if got := taken[Send](s); len(got) == 0 || got[0].Job != 11 {
		t.Fatalf("sent %v, expected job 11, which can still earn in full", got)
	}
}

// Under overload jobs worth more than most are held over tau sooner.
// A job that runs when its aim is looked at has its look when that run fails: past reach of its aim it is refused then,
// and not at its deadline, seconds later.
func TestJobWhoseRunFailsPastItsObjectiveIsAnsweredAtOnce(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.step(s.job(1, 2, 300*ms)) // an answer past its aim of 1 s earns nothing
	s.now += ms
	s.step(Started{Job: 1, Worker: 1})
	s.take()
	s.wait(1500 * ms)
	if got := taken[Reject](s); len(got) > 0 {
		t.Fatal("it was refused as it ran")
	}
	s.step(s.done(1, 0, 1, Failed))
	s.wait(2 * ms)
	if got := taken[Reject](s); len(got) != 1 || got[0].Job != 1 {
		t.Fatalf("its run has failed past its aim: %v, expected a refusal", got)
	}
}

func TestHigherPriorityWeightIsPromotedSooner(t *testing.T) {
	set := testSettings()
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight, set.Classes[2].PriorityWeight = 1, 8, 1
	s := newHarness(t, set)
	s.workers(1)
	s.busy(1)
	s.d.workers[1].limit, s.d.muShort = 1, 0.1 // tau 0.3 s, less than half that where worth is 8
	s.step(s.job(10, 0, 400*ms), s.job(11, 1, 800*ms))
	s.wait(200 * ms)
	s.step(s.done(1, 0, 1, OK))
	if got := taken[Send](s); len(got) == 0 || got[0].Job != 11 {
		t.Fatalf("sent %v, expected job 11 first", got)
	}
}

func TestWorkerWithFewestSlotsInUseIsChosen(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(3)
	used := map[uint64]bool{}
	for id := uint64(1); id <= 3; id++ {
		s.step(s.job(id, 0, 100*ms))
	}
	for _, a := range taken[Send](s) {
		used[a.Worker] = true
	}
	if len(used) != 3 {
		t.Fatalf("three jobs went to %d workers", len(used))
	}
}

func TestConcurrencyLimit(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	room := func(want float64) {
		t.Helper()
		if got := s.d.workers[1].limit; got != want {
			t.Fatalf("room %v, expected %v", got, want)
		}
	}
	room(1)
	s.busy(1)
	room(2) // a prompt start, and room was what limited us
	s.busy(2)
	room(3)
	s.busy(3)
	room(4)
	s.now += ms
	s.step(s.done(1, 0, 1, ConnectionReset), s.done(2, 0, 1, ConnectionReset), s.done(3, 0, 1, ConnectionReset))
	room(2) // one crash with three attempts out is one piece of news
}

func TestLateStartDecreasesLimit(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.busy(1)
	s.step(s.job(2, 1, 300*ms))
	s.wait(400 * ms)
	s.step(Started{Job: 2, Worker: 1})
	if got := s.d.workers[1].limit; got != 1 {
		t.Fatalf("room %v after a late start, expected 1", got)
	}
}

// Incident: a mean of start delays rose with the queues it was to show, so that no start ever counted as late.
func TestPromptStartBoundDoesNotRiseWithDelays(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	delay := 5 * ms
	for id := uint64(1); id < 40; id++ {
		s.wait(10 * time.Second)
		s.step(s.job(id, 1, 100*ms))
		s.wait(delay)
		s.step(Started{Job: id, Worker: 1}, s.done(id, 0, 1, OK))
		delay += delay / 5
	}
	if got := s.d.promptStart(&s.d.settings.Classes[1]); got > 120*ms {
		t.Fatalf("a start within %v counts as prompt", got)
	}
}

// Incident: with many dispatchers a room of one each is still a long queue at the worker.
func TestBackoffAfterLateStartAtLimitOfOne(t *testing.T) {
	set := testSettings()
	set.Replicas = 2
	s := newHarness(t, set)
	s.workers(1)
	s.step(s.job(1, 1, 100*ms))
	s.wait(150 * ms)
	s.step(Started{Job: 1, Worker: 1}, s.done(1, 0, 1, OK))
	s.take()
	s.step(s.job(2, 1, 100*ms))
	s.wait(100 * ms)
	expectJobs(t, taken[Send](s))
	s.wait(100 * ms)
	expectJobs(t, taken[Send](s), 2)
}

// A worker that leaves one of ours unstarted has a queue.
func TestNoSendBehindAnUnstartedAttempt(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.d.workers[1].limit = 8
	s.step(s.job(1, 1, 100*ms))
	s.wait(300 * ms)
	s.take()
	s.step(s.job(2, 1, 100*ms))
	expectJobs(t, taken[Send](s))
}

// Incident: a report that rides on an outcome predates it, and the freed slot read as taken blocked the worker.
func TestLoadReportPredatesTheOutcomeItComesWith(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.busy(1)
	s.wait(300 * ms)
	o := s.done(1, 0, 1, OK)
	o.Report = []float64{0}
	s.step(o, s.job(2, 0, 100*ms))
	expectJobs(t, taken[Send](s), 2)
}

func TestFreshLoadReportWithoutFreeSlotsBlocks(t *testing.T) {
	set := testSettings()
	set.HealthChecks = true
	s := newHarness(t, set)
	s.workers(1)
	s.step(HealthChecked{Worker: 1, Result: OK, Report: []float64{0}}, s.job(1, 0, 100*ms))
	expectJobs(t, taken[Send](s))
	s.wait(2 * time.Second) // the report has grown old
	expectJobs(t, taken[Send](s), 1)
}

// Incident: moving a job at the first sign of a late start withdrew one attempt in six.
func TestUnstartedJobIsHedgedOnlyWhenItsObjectiveIsAtRisk(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(2)
	s.step(s.job(1, 0, 600*ms))
	first := taken[Send](s)[0].Worker
	s.wait(250 * ms)
	expectJobs(t, taken[Send](s))
	s.wait(400 * ms)
	moved := taken[Send](s)
	if len(moved) != 1 || moved[0].Worker == first {
		t.Fatalf("expected one copy on the other worker, got %v", moved)
	}
	s.step(Started{Job: 1, Attempt: 1, Worker: moved[0].Worker})
	// Incident: the waiting copy was cancelled and forgotten, while the worker kept it. The next job went behind it.
	s.step(s.done(1, 1, moved[0].Worker, OK), s.job(2, 0, 600*ms), s.job(3, 0, 600*ms))
	for _, a := range s.take() {
		if c, ok := a.(Cancel); ok {
			t.Fatalf("cancelled %v", c)
		}
		if next, ok := a.(Send); ok && next.Worker == first {
			t.Fatalf("job %d was sent behind a copy that waits", next.Job)
		}
	}
	s.step(Started{Job: 1, Worker: first}, s.done(1, 0, first, OK))
	s.wait(2 * time.Second)
	if next := taken[Send](s); len(next) == 0 || next[0].Worker != first {
		t.Fatalf("nothing was sent to a worker that is free again: %v", next)
	}
}

func TestNonIdempotentJobIsNeverHedged(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(3)
	s.step(s.job(1, 1, 100*ms))
	s.wait(6 * time.Second)
	var sends, fails, refusals int
	for _, a := range s.take() {
		switch a.(type) {
		case Send:
			sends++
		case Fail:
			fails++
		case Reject:
			refusals++
		}
	}
	if sends != 1 || fails != 1 || refusals != 0 {
		t.Fatalf("%d sends, %d failures, %d refusals; expected 1, 1, 0", sends, fails, refusals)
	}
}

func TestFinalAnswers(t *testing.T) {
	cases := []struct {
		name    string
		workers int
		left    time.Duration
		wait    time.Duration
	}{
		{"no worker is known", 0, 2 * time.Second, 2 * time.Second},
		{"the deadline was short at arrival", 1, ms, ms},
		{"the deadline had passed at arrival", 1, 0, ms},
		{"no outcome ever comes", 1, time.Second, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, testSettings())
			s.workers(c.workers)
			j := s.job(1, 0, 100*ms)
			j.Remaining = c.left
			s.step(j)
			s.wait(c.wait)
			if got := taken[Reject](s); len(got) != 1 {
				t.Fatalf("%d final answers by the deadline", len(got))
			}
			s.wait(10 * time.Second)
			for _, a := range s.take() {
				switch a.(type) {
				case Send, Reject, Fail:
					t.Fatalf("%T after the final answer", a)
				}
			}
		})
	}
}

func TestAttemptLimitEndsInAnAnswer(t *testing.T) {
	set := testSettings()
	set.AttemptLimit = 2
	s := newHarness(t, set)
	s.workers(4)
	s.step(s.job(1, 0, 100*ms))
	for n := range 2 {
		send := taken[Send](s)
		if len(send) != 1 {
			t.Fatalf("attempt %d: %v", n, send)
		}
		s.now += ms
		s.step(s.done(1, n, send[0].Worker, ConnectFailed))
	}
	if got := taken[Reject](s); len(got) != 1 {
		t.Fatalf("expected a refusal after two tries, got %v", got)
	}
}

// Rule 2, whole: may the job be sent to a worker of the same cell, of the same zone, of another; be refused?
func TestRetryRules(t *testing.T) {
	type answer struct{ cell, zone, other, refuse bool }
	all, none := answer{true, true, true, true}, answer{}
	cases := []struct {
		name   string
		effect Idempotency
		group  DeduplicationScope
		state  []Result // of the earlier attempts; -1: still out
		age    time.Duration
		want   answer
	}{
		{"unsafe, first", NonIdempotent, 0, nil, 0, all},
		{"unsafe, turned away", NonIdempotent, 0, []Result{WorkerFull}, 0, all},
		{"unsafe, no connection", NonIdempotent, 0, []Result{ConnectFailed}, 0, all},
		{"unsafe, not sent", NonIdempotent, 0, []Result{NotSent}, 0, all},
		{"unsafe, out", NonIdempotent, 0, []Result{-1}, 0, none},
		{"unsafe, error", NonIdempotent, 0, []Result{Failed}, 0, none},
		{"unsafe, time-out", NonIdempotent, 0, []Result{TimedOut}, 0, none},
		{"unsafe, reset", NonIdempotent, 0, []Result{ConnectionReset}, 0, none},
		{"unsafe, cancelled", NonIdempotent, 0, []Result{Cancelled}, 0, none},
		{"unsafe, error then turned away", NonIdempotent, 0, []Result{Failed, WorkerFull}, 0, none},
		{"safe, out", Idempotent, 0, []Result{-1}, 0, all},
		{"safe, reset", Idempotent, 0, []Result{ConnectionReset}, 0, all},
		{"keyed cell, turned away", IdempotentWithKey, ScopeCell, []Result{WorkerFull}, 0, all},
		{"keyed cell, reset", IdempotentWithKey, ScopeCell, []Result{ConnectionReset}, 0, answer{cell: true}},
		{"keyed cell, out", IdempotentWithKey, ScopeCell, []Result{-1}, 0, answer{cell: true}},
		{"keyed cell, too old", IdempotentWithKey, ScopeCell, []Result{ConnectionReset}, 3 * time.Second, none},
		{"keyed zone, reset", IdempotentWithKey, ScopeZone, []Result{ConnectionReset}, 0, answer{cell: true, zone: true}},
		{"keyed all, reset", IdempotentWithKey, ScopeAll, []Result{ConnectionReset}, 0, all},
		{"keyed all, too old", IdempotentWithKey, ScopeAll, []Result{ConnectionReset}, 3 * time.Second, answer{refuse: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Classes[0] = Class{Idempotency: c.effect, DeduplicationScope: c.group, DeduplicationWindow: 2 * time.Second, ClientTimeout: time.Minute}
			d := New(set, 1)
			d.now = time.Hour
			j := &jobInfo{class: &d.settings.Classes[0], deadline: d.now + time.Minute, heapIndex: -1}
			for _, r := range c.state {
				a := &attemptInfo{worker: &workerInfo{}, zone: 1, cell: 1, sentAt: d.now - c.age, ended: r >= 0, result: r}
				if r < 0 {
					j.inFlight++
				}
				j.attempts = append(j.attempts, a)
			}
			got := answer{d.mayAttempt(j, &workerInfo{Worker: Worker{Zone: 1, Cell: 1}}),
				d.mayAttempt(j, &workerInfo{Worker: Worker{Zone: 1, Cell: 2}}),
				d.mayAttempt(j, &workerInfo{Worker: Worker{Zone: 2, Cell: 3}}), d.mayReject(j)}
			if got != c.want {
				t.Fatalf("got %+v, expected %+v", got, c.want)
			}
			d.settings.Hedging = false
			if j.inFlight > 0 && d.mayAttempt(j, &workerInfo{Worker: Worker{Zone: 1, Cell: 1}}) {
				t.Fatal("second copy where none is allowed")
			}
		})
	}
}

func TestDrainingWorkersGetNoWork(t *testing.T) {
	cases := []struct {
		name string
		list WorkerList
	}{
		{"told that it drains", WorkerList{Kind: ListDelta, Workers: []Worker{{ID: 1}}}},
		{"told that it is gone", WorkerList{Kind: ListDelta, Workers: []Worker{{ID: 1, Removed: true}}}},
		{"missing from a full list", WorkerList{Kind: ListFull}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, testSettings())
			s.workers(1)
			s.step(c.list, s.job(1, 0, 100*ms))
			s.wait(time.Second)
			expectJobs(t, taken[Send](s))
		})
	}
}

// Incident: jobs far heavier than their hint pushed a cold worker over; their class is budgeted by what they did.
func TestHeavyClassAvoidsWarmingWorkers(t *testing.T) {
	set := testSettings()
	set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 20*time.Second, 0.2, 3, 2*time.Second
	s := newHarness(t, set)
	boot := s.now
	cold := func(id uint64) bool {
		s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 2, Ready: true, BootAt: boot}}}, s.job(id, 1, 100*ms))
		return len(taken[Send](s)) == 1
	}
	s.step() // a dispatcher spends no cold budget in its first span
	s.now += 10 * time.Second
	if !cold(1) {
		t.Fatal("a short job was kept from a worker half warm")
	}
	s.step(Started{Job: 1, Worker: 2})
	s.wait(4500 * ms)
	s.step(s.done(1, 0, 2, OK))
	if cold(2) {
		t.Fatal("a class that ran forty times its hint was sent to a cold worker")
	}
}

// Incident: jobs worth most were refused unsent on a hint known to be rough while a worker stood idle.
func TestJobJustOutOfReachIsOfferedAFreeWorker(t *testing.T) {
	cases := []struct {
		name string
		left time.Duration
		sent int
	}{
		{"within the noise of hints", 1800 * ms, 1},
		{"far beyond it", 500 * ms, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, testSettings())
			s.workers(1)
			j := s.job(1, 2, 2*time.Second)
			j.Remaining = c.left
			s.step(j)
			s.wait(100 * ms)
			if got := len(taken[Send](s)); got != c.sent {
				t.Fatalf("%d attempts, expected %d", got, c.sent)
			}
		})
	}
}

// A worker whose connections broke and that answers again is treated as cold before any list says that it restarted.
func TestWorkerBackUnannouncedWarmsUp(t *testing.T) {
	set := testSettings()
	set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 20*time.Second, 0.2, 3, 2*time.Second
	s := newHarness(t, set)
	s.workers(1)
	s.busy(1)
	s.step(s.done(1, 0, 1, ConnectionReset))
	s.wait(6 * time.Second)
	s.step(HealthChecked{Worker: 1, Result: OK})
	if got := s.d.warmUpShare(s.d.workers[1]); got > 0.21 {
		t.Fatalf("a worker that came back is taken to have %v of its capacity", got)
	}
	s.wait(21 * time.Second)
	if got := s.d.warmUpShare(s.d.workers[1]); got != 1 {
		t.Fatalf("it is taken to have %v of its capacity after the cold time", got)
	}
}

func TestFastFailuresAttractNoWork(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(3)
	sent := map[uint64]int{}
	for id := uint64(1); id <= 100; id++ {
		s.step(s.job(id, 2, 50*ms))
		for n := 0; ; n++ {
			sends := taken[Send](s)
			if len(sends) == 0 {
				break
			}
			w := sends[0].Worker
			sent[w]++
			s.now += ms
			r := OK
			if w == 1 {
				r = Failed
			}
			s.step(Started{Job: id, Attempt: n, Worker: w}, s.done(id, n, w, r))
		}
		s.wait(10 * ms)
	}
	if sent[1] > 10 {
		t.Fatalf("the failing worker got %d attempts of %v", sent[1], sent)
	}
}

// Where links break now and then, a worker is not set aside for one of them, nor for a probe that a stale link
// swallowed; two in a row, or one under a job that had started, are its own.
func TestSingleConnectionFailureEjectsNoWorker(t *testing.T) {
	for _, c := range []struct {
		news  func(s *harness)
		aside bool
	}{
		{func(s *harness) { s.step(HealthChecked{Worker: 1, Result: NotSent}) }, false},
		{func(s *harness) { s.step(s.done(1, 0, 1, ConnectionReset)) }, false},
		{func(s *harness) { s.step(Started{Job: 1, Worker: 1}); s.step(s.done(1, 0, 1, ConnectionReset)) }, true},
		{func(s *harness) { s.step(s.done(1, 0, 1, ConnectionReset)); s.step(s.done(1, 1, 1, ConnectFailed)) }, true},
	} {
		s := newHarness(t, testSettings())
		s.workers(1)
		s.step(s.job(1, 0, 10*ms))
		if c.news(s); s.d.workers[1].ejectionTime > 0 != c.aside {
			t.Errorf("set aside %v, expected %v", !c.aside, c.aside)
		}
	}
}

// Incident: late starts made most workers suspects, so the dead ones lost their mark too and drew all work.
func TestBrokenWorkerStaysEjectedWhenMostAreSuspect(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(4)
	for id := uint64(1); id <= 4; id++ {
		s.d.eject(s.d.workers[id], id == 1, "test")
	}
	s.wait(300 * ms)
	if !s.d.isEjected(s.d.workers[1]) || s.d.isEjected(s.d.workers[2]) {
		t.Fatal("expected only the broken worker to stay suspect")
	}
}

// A slow worker is passed over while its runs would miss their aims, and tried again once its news is old.
func TestSlowWorkerIsAvoided(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(4)
	s.step(s.job(1, 0, 500*ms))
	slow := taken[Send](s)[0].Worker
	s.now += ms
	s.step(Started{Job: 1, Worker: slow})
	s.wait(5 * time.Second)
	before := s.d.workers[slow].logSpeed
	for range 4 {
		s.d.learnFromRun(&attemptInfo{job: s.d.jobs[1], worker: s.d.workers[slow], expectedRun: 500 * ms}, 2500*ms)
	}
	if before >= 0 {
		t.Fatal("a run far too long did not show before it ended")
	}
	tried := map[uint64]int{}
	for id := uint64(10); id < 40; id++ {
		s.step(s.job(id, 1, 500*ms))
		for _, a := range taken[Send](s) {
			tried[a.Worker]++
			s.after(ms, Started{Job: id, Worker: a.Worker})
			s.after(100*ms, s.done(id, 0, a.Worker, OK))
		}
		s.wait(100 * ms)
	}
	if tried[slow] > 0 {
		t.Fatalf("the slow worker got %d of 30 jobs that would miss their aim on it", tried[slow])
	}
	s.wait(time.Minute)
	if math.Abs(s.d.workers[slow].logSpeed-s.d.machineKind(0).logSpeed) > 0.1 {
		t.Fatal("a minute without news has not brought the slow worker back")
	}
}

func TestPredictor(t *testing.T) {
	d := New(testSettings(), 1)
	mk := func(class int, hint time.Duration) *jobInfo {
		j := &jobInfo{Job: Job{Class: class, Hint: hint, Slots: 1}, class: &d.settings.Classes[class]}
		j.work = d.expectedWork(j)
		return j
	}
	if d.longScore(mk(0, 100*ms)) >= d.longScore(mk(0, 200*ms)) {
		t.Fatal("untrained, a longer hint does not raise the chance of running long")
	}
	for _, hint := range []time.Duration{0, 1, math.MaxInt64} {
		if p := d.longScore(mk(0, hint)); math.IsNaN(p) || p < 0 || p > 1 {
			t.Fatalf("hint %v gives chance %v", hint, p)
		}
	}
	d.now = time.Hour
	w := &workerInfo{}
	keyed := mk(0, 0)
	keyed.Key = 5
	d.learnFromRun(&attemptInfo{job: keyed, worker: w}, 5*time.Second)
	other := mk(0, 0)
	if keyed.work = d.expectedWork(keyed); d.longScore(keyed) <= d.longScore(other) {
		t.Fatal("a key that ran long does not raise the chance of running long")
	}
	for range 300 {
		for class, run := range []time.Duration{100 * ms, 2 * time.Second} {
			a := &attemptInfo{job: mk(class, 0), worker: w}
			d.learnFromRun(a, run)
		}
	}
	if d.longScore(mk(0, 0)) >= d.longScore(mk(1, 0)) {
		t.Fatal("without hints the class that runs long is not ranked as long")
	}
}

// Jobs looked past at each release once left an entry each time in the pile by arrival.
func TestQueuedJobsLeaveNoTrace(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.busy(1)
	s.d.workers[1].limit = 1
	for id := uint64(10); id < 20; id++ {
		s.step(s.job(id, 0, 100*ms))
	}
	for range 100 {
		s.wait(ms)
	}
	n := 0
	for _, sh := range s.d.queue.shapes {
		n += len(sh.byPromotion.items)
	}
	if n > 10 {
		t.Fatalf("%d entries for 10 held jobs", n)
	}
	s.wait(10 * time.Second)
	if len(s.d.jobs) != 1 || s.d.queue.length != 0 { // job 1 has its answer but is still out
		t.Fatalf("%d jobs and %d held ones remembered after all deadlines", len(s.d.jobs), s.d.queue.length)
	}
}

// A job of many slots over tau must not be starved by small ones that slip past it.
func TestLargeJobIsNotStarved(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.d.workers[1].limit = 4
	big := s.job(1, 1, 2*time.Second)
	big.Slots = 4
	next := uint64(100)
	s.busy(99)
	s.step(big)
	for s.now < time.Hour+4*time.Second {
		s.step(s.job(next, 0, 100*ms))
		for _, a := range taken[Send](s) {
			if a.Job == 1 {
				return
			}
			s.after(ms, Started{Job: a.Job, Worker: 1})
			s.after(100*ms, s.done(a.Job, 0, 1, OK))
		}
		if next == 110 {
			s.step(s.done(99, 0, 1, OK))
		}
		next++
		s.wait(30 * ms)
	}
	t.Fatal("the large job was never sent")
}

// Incident: a job of four slots, over tau, was sent to a worker with room for one. It waited at the head of that
// worker's queue and held up all behind it. Now a worker is kept free for it, and others go elsewhere meanwhile.
func TestLargeJobWaitsForCapacity(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(2)
	for id := uint64(1); id <= 2; id++ {
		s.d.workers[id].limit = 4
		s.step(s.job(id, 1, 300*ms))
		at := taken[Send](s)[0].Worker
		s.step(Started{Job: id, Worker: at})
	}
	big := s.job(3, 1, 2*time.Second)
	big.Slots = 4
	s.step(big)
	s.wait(4 * time.Second) // far over tau
	expectJobs(t, taken[Send](s))
	for id := uint64(10); id < 14; id++ {
		s.step(s.job(id, 0, 20*ms))
	}
	for _, a := range taken[Send](s) {
		if s.d.workers[a.Worker] == s.d.reserved {
			t.Fatalf("job %d went to the worker kept for the large one", a.Job)
		}
	}
	for _, a := range slices.Clone(s.d.reserved.inFlight) {
		s.step(s.done(a.job.ID, a.number, a.worker.ID, OK))
	}
	if sends := taken[Send](s); len(sends) == 0 || sends[0].Job != 3 {
		t.Fatalf("expected the large job to be sent first, got %v", sends)
	}
}

// Where one job ends as the next comes, the next starts promptly though no slot was free when it was sent: room
// drifted past what a worker can run, and jobs waited behind long ones.
func TestLimitIsBoundedByObservedSlots(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	w := s.d.workers[1]
	w.limit = 9
	for id := uint64(1); id <= 4; id++ {
		s.busy(id)
	}
	for late := uint64(0); late < minLateOverflows; late++ {
		if w.backoffUntil, w.limit = 0, 9; s.d.maxSlots(w) < 9 {
			t.Fatalf("room ends at %v before anything was late", s.d.maxSlots(w))
		}
		s.step(s.job(10+late, 1, 20*ms))
		expectJobs(t, taken[Send](s), 10+late)
		s.wait(200 * ms)
		s.step(s.done(10+late, 0, 1, TimedOut))
	}
	if got := s.d.maxSlots(w); got != 4 {
		t.Fatalf("room ends at %v, with four seen running", got)
	}
}

func TestSubscriptionIsRetriedWithBackoff(t *testing.T) {
	set := testSettings()
	set.MustSubscribe = true
	s := newHarness(t, set)
	var at []time.Duration
	for range 4000 {
		s.wait(10 * ms)
		if len(taken[Subscribe](s)) > 0 {
			at = append(at, s.now)
			s.step(WorkerList{Kind: ListUnavailable})
		}
	}
	if len(at) < 5 || len(at) > 60 {
		t.Fatalf("%d calls in 40 s", len(at))
	}
	if a, b := at[1]-at[0], at[4]-at[3]; b <= a {
		t.Fatalf("waits do not grow: first %v, fourth %v", a, b)
	}
}

// A list that comes though it was not asked for anew is from a watch that goes on: none is asked for beside it.
func TestUnsolicitedList(t *testing.T) {
	set := testSettings()
	set.MustSubscribe = true
	s := newHarness(t, set)
	s.wait(objectiveRecheck)
	s.step(WorkerList{Kind: ListFull, Revision: 1}, WorkerList{Kind: ListUnavailable}, WorkerList{Kind: ListDelta, Revision: 2})
	taken[Subscribe](s)
	if s.wait(10 * time.Second); len(taken[Subscribe](s)) > 0 {
		t.Error("asked for beside the watch that goes on")
	}
}

func TestBadInputIsHarmless(t *testing.T) {
	nan := math.NaN()
	s := newHarness(t, testSettings())
	s.workers(2)
	s.step(s.job(1, 0, 100*ms))
	s.step(s.job(1, 0, 100*ms)) // the id is open
	s.step(Job{ID: 2, Class: 99}, Job{ID: 3, Class: -1}, Job{ID: 4, Class: 0, Tenant: -5, Remaining: -time.Hour, Hint: -1,
		Slots: nan, Memory: math.Inf(1)})
	s.step(TimerFired{}, TimerFired{}, ClientDisconnected{Job: 77}, HealthChecked{Worker: 77, Report: []float64{nan}},
		Started{Job: 1, Attempt: 5, Worker: 1}, Started{Job: 77}, Progressed{Job: 1, Attempt: -1, Share: nan},
		Outcome{Job: 77}, Outcome{Job: 1, Attempt: 9}, Outcome{Job: 1, Worker: 555})
	s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Ready: true, Kind: -3, Size: nan, BootAt: -5},
		{ID: 1, Ready: true}, {ID: 2, Ready: true}, {ID: 9, Removed: true}}})
	if len(s.d.workerList) != 2 {
		t.Fatalf("%d workers known, expected 2", len(s.d.workerList))
	}
	s.now -= time.Minute // the clock steps back
	s.step()
	s.now += time.Minute
	s.wait(6 * time.Second)
	sends := 0
	for _, a := range s.take() {
		if a, ok := a.(Send); ok && a.Job == 1 {
			sends++
		} else if ok {
			t.Fatalf("job %d was sent", a.Job)
		}
	}
	if sends == 0 || s.d.queue.length != 0 {
		t.Fatalf("%d sends of job 1, %d jobs held at the end", sends, s.d.queue.length)
	}
}

func TestOverQuotaJobsAreDemoted(t *testing.T) {
	set := testSettings()
	set.TenantQuota = []float64{2, 0}
	s := newHarness(t, set)
	s.workers(1)
	s.busy(1)
	s.d.workers[1].limit = 1
	for id := uint64(10); id < 20; id++ {
		j := s.job(id, 1, 100*ms)
		s.step(j)
	}
	j := s.job(50, 1, 200*ms)
	j.Tenant = 1
	s.step(j)
	over := 0
	for _, sh := range s.d.queue.shapes {
		for _, h := range sh.byScore.items {
			if h.demoted() {
				over++
			}
		}
	}
	if over == 0 || s.d.jobs[50].demoted() {
		t.Fatalf("%d jobs over their tenant's share, tenant without a quota over share: %v", over, s.d.jobs[50].demoted())
	}
}

// Links dropped unseen while idle: two jobs that got no answer on idle links are enough, and others are closed first.
func TestIdleConnectionsThatLoseRequestsAreClosed(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(3)
	run := func(id uint64, answered bool) uint64 {
		s.step(s.job(id, 1, 50*ms))
		w := taken[Send](s)[0].Worker
		if answered {
			s.now += ms
			s.step(Started{Job: id, Worker: w})
			s.now += 50 * ms
			s.step(s.done(id, 0, w, OK))
		}
		return w
	}
	links := map[uint64]bool{}
	for id := uint64(1); len(links) < 3; id++ {
		links[run(id, true)] = true
	}
	s.take()
	s.wait(3 * time.Second)
	silent := map[uint64]bool{run(101, false): true}
	s.wait(3 * time.Second)
	silent[run(102, false)] = true
	if len(silent) != 2 {
		t.Fatalf("expected two workers to be silent, got %v", silent)
	}
	s.wait(3 * time.Second)
	s.take()
	s.step(s.job(103, 1, 50*ms))
	acts := s.take()
	at := slices.IndexFunc(acts, func(a Action) bool { _, ok := a.(CloseIdleConnections); return ok })
	if at < 0 || at+1 >= len(acts) || acts[at+1] != (Send{Job: 103, Worker: acts[at].(CloseIdleConnections).Worker}) {
		t.Fatalf("expected idle links to be closed before the send, got %v", acts)
	}
}

// A zone with more traffic than its workers can start is left for another, though crossing has a price.
func TestBusyZoneIsAvoided(t *testing.T) {
	set := testSettings()
	set.CrossZoneCost = 0.05
	s := newHarness(t, set)
	list := WorkerList{Kind: ListFull}
	for id := range uint64(30) {
		list.Workers = append(list.Workers, Worker{ID: id + 1, Ready: true, Zone: int(id % 2)})
	}
	s.step(list)
	s.step(s.job(1, 0, 100*ms))
	if w := taken[Send](s)[0].Worker; w%2 != 1 {
		t.Fatalf("an untroubled zone was left for worker %d", w)
	}
	crossed := 0
	for id := uint64(2); id < 30; id++ {
		s.step(s.job(id, 0, 100*ms))
		for _, a := range taken[Send](s) {
			if a.Worker%2 == 0 {
				crossed++
				s.after(ms, Started{Job: a.Job, Attempt: s.jobs[a.Job].tries - 1, Worker: a.Worker})
				s.after(50*ms, s.done(a.Job, s.jobs[a.Job].tries-1, a.Worker, OK))
			} else {
				s.after(ms, s.done(a.Job, s.jobs[a.Job].tries-1, a.Worker, WorkerFull))
			}
		}
		s.wait(100 * ms)
	}
	if crossed < 10 {
		t.Fatalf("%d jobs left a zone that turned all work away", crossed)
	}
}

// Our part of a tenant's quota may be less than one job among hundreds of dispatchers: a few jobs are within it.
func TestSmallQuotaShareAdmitsWholeJobs(t *testing.T) {
	set := testSettings()
	set.Replicas, set.TenantQuota = 400, []float64{100}
	s := newHarness(t, set)
	for id := uint64(1); id <= 20; id++ {
		s.step(s.job(id, 0, 200*ms))
	}
	within := 0
	for _, j := range s.d.jobs {
		if !j.demoted() {
			within++
		}
	}
	if within < 2 || within > 15 {
		t.Fatalf("%d of 20 jobs at once are within a quarter of a job a second", within)
	}
}

// While many of our jobs wait at workers no more leave; hopeless ones are refused where late earns nothing.
func TestJobsDoNotQueueAtWorkers(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(30)
	for id := uint64(1); id <= 10; id++ {
		s.step(s.job(id, 1, 300*ms)) // unsafe: never moved
		s.wait(35 * ms)
	}
	if n := len(taken[Send](s)); n > 6 {
		t.Fatalf("%d jobs left though none started", n)
	}
	s = newHarness(t, testSettings())
	s.workers(1)
	s.step(s.job(1, 2, 300*ms))
	s.wait(1500 * ms)
	var ends []Action
	for _, a := range s.take() {
		switch a.(type) {
		case Cancel, Reject:
			ends = append(ends, a)
		}
	}
	if len(ends) != 1 || ends[0] != (Reject{Job: 1}) {
		t.Fatalf("expected the unstarted job to be refused, got %v", ends)
	}
}

// Of many dispatchers none refuses what is out and unstarted past its aim: it runs all the same, and its client would
// come again at another. It ends by its deadline, or once its attempt has ended.
func TestManyReplicasKeepAttemptsInFlight(t *testing.T) {
	for _, full := range []bool{false, true} {
		set := testSettings()
		set.Replicas = manyReplicas + 1
		s := newHarness(t, set)
		s.workers(1)
		s.step(s.job(1, 2, 300*ms))
		s.wait(1500 * ms)
		if n := len(taken[Reject](s)); n > 0 {
			t.Fatalf("refused %d times while it waits", n)
		}
		if full {
			s.step(Outcome{Job: 1, Worker: 1, Result: WorkerFull})
			s.wait(100 * ms)
		} else {
			s.wait(4 * time.Second)
		}
		if n := len(taken[Reject](s)); n != 1 {
			t.Fatalf("turned away by its worker %v: refused %d times", full, n)
		}
	}
}

// Where each dispatcher has a few workers dealt to it, and a job of ours waits late at one, short jobs go to the others and
// long ones are kept back: room is scarce. Where all share all workers, both go.
func TestLongJobsWaitWhileAttemptsAreLate(t *testing.T) {
	for _, of := range []int{0, 2} {
		set := testSettings()
		set.Replicas = manyReplicas + 1
		s := newHarness(t, set)
		list := WorkerList{Kind: ListFull}
		for id := uint64(1); id <= 6; id++ {
			list.Workers = append(list.Workers, Worker{ID: id, Ready: true, Assignees: of})
		}
		s.step(list)
		for id := uint64(1); id <= 3; id++ { // three run
			s.step(s.job(id, 1, 100*ms))
			s.after(ms, Started{Job: id, Worker: taken[Send](s)[0].Worker})
		}
		s.step(s.job(4, 1, 100*ms)) // and this one's worker has a queue
		s.wait(250 * ms)
		taken[Send](s)
		s.step(s.job(5, 1, 2*time.Second), s.job(6, 1, 50*ms))
		sent := map[uint64]bool{}
		for _, a := range taken[Send](s) {
			sent[a.Job] = true
		}
		if !sent[6] || sent[5] != (of == 0) {
			t.Errorf("dealt to %d: sent %v", of, sent)
		}
	}
}

// Of many dispatchers, a short job that may run twice is copied when its start is late, also where its worker gets on with
// others: nobody knows what others have queued there. A long one is not, and one that may not run twice never is.
func TestShortJobsAreHedgedWithManyReplicas(t *testing.T) {
	for _, c := range []struct {
		class  int
		hint   time.Duration
		copied bool
	}{{0, 50 * ms, true}, {0, 3 * time.Second, false}, {1, 50 * ms, false}} {
		set := testSettings()
		set.Replicas, set.ReportFields = manyReplicas+1, nil
		s := newHarness(t, set)
		s.workers(3)
		s.step(s.job(1, c.class, c.hint))
		w := taken[Send](s)[0].Worker
		s.step(s.job(2, c.class, c.hint))
		other := taken[Send](s)
		for range 8 { // whoever has the first gets on with others
			s.step(Progressed{Job: 2, Worker: other[0].Worker, Share: 0.1})
			s.d.workers[w].progressAt = s.d.now
			s.wait(50 * ms)
		}
		copied := false
		for _, a := range taken[Send](s) {
			copied = copied || a.Job == 1
		}
		if copied != c.copied {
			t.Errorf("class %d, %v of work: copied %v", c.class, c.hint, copied)
		}
	}
}

// A job that waits at a worker which gets on with others is queued there, not lost: it is not copied, however late.
// Only where the worker has given no sign of work since is it sent elsewhere.
func TestAttemptQueuedAtABusyWorkerIsNotHedged(t *testing.T) {
	for _, works := range []bool{true, false} {
		s := newHarness(t, testSettings())
		s.workers(2)
		s.d.backOff(s.d.workers[2], 200*ms)
		s.busy(1)
		s.d.workers[1].limit = 5
		s.d.markDirty(s.d.workers[1])
		s.step(s.job(2, 0, 300*ms))
		expectJobs(t, taken[Send](s), 2)
		s.wait(100 * ms)
		if works {
			s.step(s.done(1, 0, 1, OK))
		}
		s.wait(1500 * ms)
		copies := 0
		for _, a := range taken[Send](s) {
			if a.Job == 2 && a.Worker == 2 {
				copies++
			}
		}
		if (copies == 0) != works {
			t.Errorf("its worker gets on %v: %d copies", works, copies)
		}
	}
}

// A run that takes longer than expected and tells of its progress is but long; one that falls silent is copied.
func TestLongRunIsNotHedged(t *testing.T) {
	for _, tells := range []bool{true, false} {
		set := testSettings()
		set.ProgressInterval = 500 * ms
		set.Classes[0].LatencyObjective = 4 * time.Second
		s := newHarness(t, set)
		s.workers(2)
		s.busy(1)
		for range 6 {
			s.wait(400 * ms)
			if tells {
				s.step(Progressed{Job: 1, Worker: 1, Share: 0.1})
			}
		}
		if copies := len(taken[Send](s)); (copies == 0) != tells {
			t.Errorf("it tells of its progress %v: %d copies", tells, copies)
		}
	}
}

// A dispatcher that had no worker when it last looked, as at its start, knows the fleet's best speed as soon as a list
// brings one: thought to be fifty times too slow, jobs would be refused with all workers idle until it looks again.
func TestFirstListIsKnownAtOnce(t *testing.T) {
	set := testSettings()
	set.Classes[2].LatencyObjective = 80 * ms
	s := newHarness(t, set)
	s.step() // no worker yet
	s.wait(time.Second)
	s.workers(5)
	for id := uint64(1); id <= 3; id++ {
		s.step(s.job(id, 2, 20*ms))
	}
	s.wait(5 * ms)
	for _, a := range s.take() {
		if r, ok := a.(Reject); ok {
			t.Fatalf("job %d was refused with workers idle", r.Job)
		}
	}
}

// A part of the fleet that falls silent at once says nothing of idle links, as those to the others do well.
func TestSilentRackIsNotBlamedOnConnections(t *testing.T) {
	f := newFleet(100, scaleSettings())
	f.serve(100, time.Second)
	for range 30 {
		a := &attemptInfo{connIdle: 8 * ms}
		f.d.observeIdleConnection(a, false)
	}
	if f.d.maxIdle != 0 {
		t.Fatalf("links are trusted for %v", f.d.maxIdle)
	}
}

// A worker that comes back by hand is cold from then on, if the list tells of no later start, and what was out there takes
// up none of its room: else it would stay unused until that has timed out.
func TestUncordonedWorkerWarmsUpAndIsUsed(t *testing.T) {
	for _, told := range []bool{false, true} {
		set := testSettings()
		set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 20*time.Second, 0.2, 3, 2*time.Second
		s := newHarness(t, set)
		s.workers(1)
		s.busy(1)
		s.step(Cordoned{Worker: 1}, Cordoned{Worker: 1})
		s.wait(3 * time.Second)
		if told {
			s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Ready: true, BootAt: s.now}}})
			s.wait(4 * time.Second)
		}
		s.take()
		s.step(Uncordoned{Worker: 1})
		share := s.d.warmUpShare(s.d.workers[1])
		if told && (share < 0.35 || share > 0.37) || !told && share > 0.21 {
			t.Errorf("told of the start: %v; taken to have %v of its capacity", told, share)
		}
		s.wait(3 * time.Second) // past the span in which none of ours is known to have been sent
		s.step(s.job(7, 0, 10*ms))
		expectJobs(t, taken[Send](s), 7)
	}
}

// With every listed worker out nobody is left to wait for: a query is refused at once, and served again after a call back.
func TestAllWorkersCordoned(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(2)
	s.step(Cordoned{Worker: 1}, Cordoned{Worker: 2}, s.job(1, 0, 10*ms))
	if got := taken[Reject](s); len(got) != 1 || got[0].Job != 1 {
		t.Fatalf("refused %v", got)
	}
	s.step(Uncordoned{Worker: 2}, s.job(2, 0, 10*ms))
	expectJobs(t, taken[Send](s), 2)
}

// A worker that was brought back is used soon, also by a dispatcher that is not among the owners of its cold budget, and by
// a job that would be late there if no other comes.
func TestUncordonedWorkerIsNotLeftIdle(t *testing.T) {
	set := testSettings()
	set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 20*time.Second, 0.2, 3, 2*time.Second
	set.Replicas = 2
	for me := range 2 {
		set.ReplicaIndex = me
		s := newHarness(t, set)
		s.workers(1)
		s.wait(3 * time.Second)
		s.step(Cordoned{Worker: 1})
		s.step(Uncordoned{Worker: 1})
		s.wait(uncordonedWait + 10*ms)
		s.take()
		s.step(s.job(1, 0, 300*ms)) // far too long for its aim on a cold worker
		expectJobs(t, taken[Send](s), 1)
		s.step(s.done(1, 0, 1, OK))
		s.step(s.job(2, 0, 300*ms))
		expectJobs(t, taken[Send](s))
	}
}

// Many dispatchers that start together with a list as it was once known, or lose it together, do not all ask for it at once:
// the service that answers in turn would have all of them wait too long. Few ask at once, and so does one without any list.
func TestManyReplicasSubscribeAtDifferentTimes(t *testing.T) {
	for _, c := range []struct {
		of, soon int // of 40 dispatchers so many ask within half a second, at most
		list     []Worker
	}{{40, 12, []Worker{{ID: 1, Ready: true}}}, {2, 40, []Worker{{ID: 1, Ready: true}}}, {40, 40, nil}} {
		set := testSettings()
		set.Replicas, set.MustSubscribe, set.PollInterval = c.of, true, 6*time.Second
		soon := 0
		for seed := range uint64(40) {
			s := newHarness(t, set)
			s.d = New(set, seed)
			s.step(WorkerList{Kind: ListCached, Workers: c.list})
			s.wait(500 * ms)
			soon += len(taken[Subscribe](s))
		}
		if soon > c.soon || c.soon == 40 && soon < 40 {
			t.Errorf("of %d, %d listed: %d of 40 ask within half a second", c.of, len(c.list), soon)
		}
	}
}

// The copies saved up by many dispatchers together are no more than those of a few: each would else feed an overload.
func TestHedgeTokensOfManyReplicas(t *testing.T) {
	for of, want := range map[int]float64{1: 10, 3: 10, 6: 5, 36: 1} {
		set := testSettings()
		set.Replicas = of
		if d := New(set, 1); d.hedgeTokens != want || d.maxHedgeTokens() != want {
			t.Errorf("of %d: %v copies at first, %v saved up, expected %v", of, d.hedgeTokens, d.maxHedgeTokens(), want)
		}
	}
}
