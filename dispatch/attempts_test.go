package dispatch

import (
	"testing"
	"time"
)

// Regression test for an incident: jobs were moved to another worker as soon as their start was late, so that one attempt in six
// was cancelled.
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
		t.Fatalf("expected one hedge on the other worker, got %v", moved)
	}
	s.step(Started{Job: 1, Attempt: 1, Worker: moved[0].Worker})
	// In an incident the waiting attempt was cancelled and no longer counted, while the worker went on with it. The next job was
	// queued behind it.
	s.step(s.done(1, 1, moved[0].Worker, OK), s.job(2, 0, 600*ms), s.job(3, 0, 600*ms))
	for _, a := range s.take() {
		if c, ok := a.(Cancel); ok {
			t.Fatalf("cancelled %v, expected no cancellation", c)
		}
		if next, ok := a.(Send); ok && next.Worker == first {
			t.Fatalf("job %d was sent to a worker at which an attempt waits", next.Job)
		}
	}
	s.step(Started{Job: 1, Worker: first}, s.done(1, 0, first, OK))
	s.wait(2 * time.Second)
	if next := taken[Send](s); len(next) == 0 || next[0].Worker != first {
		t.Fatalf("sent %v, expected a send to the worker that is free again", next)
	}
}

func TestNonIdempotentJobIsNeverHedged(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(3)
	s.step(s.job(1, 1, 100*ms))
	s.wait(6 * time.Second)
	var sends, fails, rejections int
	for _, a := range s.take() {
		switch a.(type) {
		case Send:
			sends++
		case Fail:
			fails++
		case Reject:
			rejections++
		}
	}
	if sends != 1 || fails != 1 || rejections != 0 {
		t.Fatalf("%d sends, %d failures, %d rejections; expected 1, 1, 0", sends, fails, rejections)
	}
}

// A job whose last allowed attempt has failed is rejected at once, and does not stay queued until its deadline.
func TestJobIsRejectedAfterLastAttempt(t *testing.T) {
	set := testSettings()
	set.AttemptLimit = 2
	s := newHarness(t, set)
	s.workers(4)
	s.step(s.job(1, 0, 100*ms))
	for n := range 2 {
		send := taken[Send](s)
		if len(send) != 1 {
			t.Fatalf("attempt %d: sent %v, expected one", n, send)
		}
		s.now += ms
		s.step(s.done(1, n, send[0].Worker, ConnectFailed))
	}
	if got := taken[Reject](s); len(got) != 1 {
		t.Fatalf("expected a rejection after two attempts, got %v", got)
	}
}

// Checks all retry rules: whether the job may be sent to a worker of the same cell, of the same zone and of another zone, and
// whether it may be rejected.
func TestRetryRules(t *testing.T) {
	type answer struct{ cell, zone, other, reject bool }
	all, none := answer{true, true, true, true}, answer{}
	cases := []struct {
		name        string
		idempotency Idempotency
		scope       DeduplicationScope
		state       []Result // of the earlier attempts; -1: in flight
		age         time.Duration
		want        answer
	}{
		{"non-idempotent, first", NonIdempotent, 0, nil, 0, all},
		{"non-idempotent, rejected", NonIdempotent, 0, []Result{WorkerFull}, 0, all},
		{"non-idempotent, no connection", NonIdempotent, 0, []Result{ConnectFailed}, 0, all},
		{"non-idempotent, not sent", NonIdempotent, 0, []Result{NotSent}, 0, all},
		{"non-idempotent, in flight", NonIdempotent, 0, []Result{-1}, 0, none},
		{"non-idempotent, error", NonIdempotent, 0, []Result{Failed}, 0, none},
		{"non-idempotent, timeout", NonIdempotent, 0, []Result{TimedOut}, 0, none},
		{"non-idempotent, reset", NonIdempotent, 0, []Result{ConnectionReset}, 0, none},
		{"non-idempotent, cancelled", NonIdempotent, 0, []Result{Cancelled}, 0, none},
		{"non-idempotent, error then rejected", NonIdempotent, 0, []Result{Failed, WorkerFull}, 0, none},
		{"idempotent, in flight", Idempotent, 0, []Result{-1}, 0, all},
		{"idempotent, reset", Idempotent, 0, []Result{ConnectionReset}, 0, all},
		{"with key in cell, rejected", IdempotentWithKey, ScopeCell, []Result{WorkerFull}, 0, all},
		{"with key in cell, reset", IdempotentWithKey, ScopeCell, []Result{ConnectionReset}, 0, answer{cell: true}},
		{"with key in cell, in flight", IdempotentWithKey, ScopeCell, []Result{-1}, 0, answer{cell: true}},
		{"with key in cell, too old", IdempotentWithKey, ScopeCell, []Result{ConnectionReset}, 3 * time.Second, none},
		{"with key in zone, reset", IdempotentWithKey, ScopeZone, []Result{ConnectionReset}, 0, answer{cell: true, zone: true}},
		{"with key everywhere, reset", IdempotentWithKey, ScopeAll, []Result{ConnectionReset}, 0, all},
		{"with key everywhere, too old", IdempotentWithKey, ScopeAll, []Result{ConnectionReset}, 3 * time.Second, answer{reject: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Classes[0] = Class{Idempotency: c.idempotency, DeduplicationScope: c.scope, DeduplicationWindow: 2 * time.Second, ClientTimeout: time.Minute}
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
			got := answer{
				d.mayAttempt(j, &workerInfo{Worker: Worker{Zone: 1, Cell: 1}}),
				d.mayAttempt(j, &workerInfo{Worker: Worker{Zone: 1, Cell: 2}}),
				d.mayAttempt(j, &workerInfo{Worker: Worker{Zone: 2, Cell: 3}}), d.mayReject(j),
			}
			if got != c.want {
				t.Fatalf("got %+v, expected %+v", got, c.want)
			}
			d.settings.Hedging = false
			if j.inFlight > 0 && d.mayAttempt(j, &workerInfo{Worker: Worker{Zone: 1, Cell: 1}}) {
				t.Fatal("may be hedged with hedging off")
			}
		})
	}
}

// A repeated attempt reaches its worker within the deduplication window even if the worker is chosen as late as allowed: opening
// the connection may take its whole timeout, the process may stall, and the request may be written in parts.
func TestRepeatArrivesWithinDeduplicationWindow(t *testing.T) {
	const inParts = 50 * ms
	for _, window := range []time.Duration{500 * ms, time.Second, 2 * time.Second, 20 * time.Second} {
		set := testSettings()
		set.Classes[0] = Class{Idempotency: IdempotentWithKey, DeduplicationScope: ScopeAll, DeduplicationWindow: window, ClientTimeout: time.Minute}
		d := New(set, 1)
		worker := &workerInfo{}
		attempt := &attemptInfo{worker: &workerInfo{}, sentAt: time.Hour, ended: true, result: ConnectionReset}
		latest := time.Duration(-1)
		for age := time.Duration(0); age < window; age += time.Millisecond {
			if d.now = time.Hour + age; d.mayRepeat(&d.settings.Classes[0], attempt, worker) {
				latest = age
			}
		}
		if latest+set.ConnectTimeout+maxProcessStall+inParts >= window {
			t.Errorf("window %v: a repeat is allowed up to %v after the first attempt, which is too late", window, latest)
		}
		if least := window/2 - set.ConnectTimeout; latest < least { // the margin is no greater than it has to be
			t.Errorf("window %v: a repeat is allowed only up to %v after the first attempt", window, latest)
		}
	}
}

// With many dispatchers, a job that is in flight and unstarted when its objective passes is not rejected: the worker would run it
// anyway, and its client would retry at another dispatcher. It is closed at its deadline, or when its attempt has ended.
func TestManyReplicasKeepAttemptsInFlight(t *testing.T) {
	for _, full := range []bool{false, true} {
		set := testSettings()
		set.Replicas = manyReplicas + 1
		s := newHarness(t, set)
		s.workers(1)
		s.step(s.job(1, 2, 300*ms))
		s.wait(1500 * ms)
		if n := len(taken[Reject](s)); n > 0 {
			t.Fatalf("rejected %d times while in flight", n)
		}
		if full {
			s.step(Outcome{Job: 1, Worker: 1, Result: WorkerFull})
			s.wait(100 * ms)
		} else {
			s.wait(4 * time.Second)
		}
		if n := len(taken[Reject](s)); n != 1 {
			t.Fatalf("rejected by its worker: %v; rejected by the dispatcher %d times, expected once", full, n)
		}
	}
}

// With many dispatchers, a short idempotent job is hedged when its start is late even if its worker makes progress with other
// jobs, as no dispatcher sees what the others have queued there. A long job is not hedged then, and a non-idempotent one never.
func TestShortJobsAreHedgedWithManyReplicas(t *testing.T) {
	for _, c := range []struct {
		class  int
		hint   time.Duration
		hedged bool
	}{{0, 50 * ms, true}, {0, 3 * time.Second, false}, {1, 50 * ms, false}} {
		set := testSettings()
		set.Replicas, set.ReportFields = manyReplicas+1, nil
		s := newHarness(t, set)
		s.workers(3)
		s.step(s.job(1, c.class, c.hint))
		w := taken[Send](s)[0].Worker
		s.step(s.job(2, c.class, c.hint))
		other := taken[Send](s)
		for range 8 { // the worker of job 1 makes progress with other jobs
			s.step(Progressed{Job: 2, Worker: other[0].Worker, Share: 0.1})
			s.d.fleet.byID[w].activity.progressAt = s.d.now
			s.wait(50 * ms)
		}
		hedged := false
		for _, a := range taken[Send](s) {
			hedged = hedged || a.Job == 1
		}
		if hedged != c.hedged {
			t.Errorf("class %d, %v of work: hedged %v, expected the opposite", c.class, c.hint, hedged)
		}
	}
}

// A job that waits at a worker which makes progress with other jobs is queued there, not lost: it is not hedged, however late it
// is. It is sent to another worker only if its own has shown no progress since.
func TestAttemptQueuedAtABusyWorkerIsNotHedged(t *testing.T) {
	for _, works := range []bool{true, false} {
		s := newHarness(t, testSettings())
		s.workers(2)
		s.d.backOff(s.d.fleet.byID[2], 200*ms)
		s.startOnWorker1(1)
		s.d.fleet.byID[1].slots.limit = 5
		s.d.fleet.markDirty(s.d.fleet.byID[1])
		s.step(s.job(2, 0, 300*ms))
		expectJobs(t, taken[Send](s), 2)
		s.wait(100 * ms)
		if works {
			s.step(s.done(1, 0, 1, OK))
		}
		s.wait(1500 * ms)
		hedges := 0
		for _, a := range taken[Send](s) {
			if a.Job == 2 && a.Worker == 2 {
				hedges++
			}
		}
		if (hedges == 0) != works {
			t.Errorf("its worker makes progress: %v; %d hedges", works, hedges)
		}
	}
}

// A run that takes longer than expected is not hedged while the worker notifies of its progress; it is once that stops.
func TestLongRunIsNotHedged(t *testing.T) {
	for _, notifies := range []bool{true, false} {
		set := testSettings()
		set.ProgressInterval = 500 * ms
		set.Classes[0].LatencyObjective = 4 * time.Second
		s := newHarness(t, set)
		s.workers(2)
		s.startOnWorker1(1)
		for range 6 {
			s.wait(400 * ms)
			if notifies {
				s.step(Progressed{Job: 1, Worker: 1, Share: 0.1})
			}
		}
		if hedges := len(taken[Send](s)); (hedges == 0) != notifies {
			t.Errorf("progress notifications: %v; %d hedges", notifies, hedges)
		}
	}
}

// The hedge tokens of many dispatchers are bounded in total, as their hedges would otherwise add to an overload.
func TestHedgeTokensOfManyReplicas(t *testing.T) {
	for replicas, want := range map[int]float64{1: 10, 3: 10, 6: 5, 36: 1} {
		set := testSettings()
		set.Replicas = replicas
		if d := New(set, 1); d.hedges.tokens != want || d.maxHedgeTokens() != want {
			t.Errorf("%d dispatchers: %v tokens at first, at most %v, expected %v", replicas, d.hedges.tokens, d.maxHedgeTokens(), want)
		}
	}
}

// Found by randomised search: with hedging off, a job that ran for too long was cancelled in order to be sent to another worker,
// and rejected at the same time, as its objective had passed. It has to run on.
func TestRunningJobPastItsObjectiveIsNotCancelled(t *testing.T) {
	set := testSettings()
	set.Hedging = false
	s := newHarness(t, set)
	s.workers(3)
	s.step(s.job(1, 2, 400*ms))
	at := taken[Send](s)[0].Worker
	s.wait(ms)
	s.step(Started{Job: 1, Worker: at})
	s.wait(4 * time.Second)
	if cancels, rejections := taken[Cancel](s), taken[Reject](s); len(cancels)+len(rejections) > 0 {
		t.Fatalf("cancelled %v, rejected %v, though it was running", cancels, rejections)
	}
}
