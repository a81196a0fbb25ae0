package dispatch

import (
	"testing"
	"time"
)

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
		t.Fatalf("%d sends, %d failures, %d refusals; expected 1, 1, 0", sends, fails, rejections)
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
	type answer struct{ cell, zone, other, reject bool }
	all, none := answer{true, true, true, true}, answer{}
	cases := []struct {
		name        string
		idempotency Idempotency
		scope       DeduplicationScope
		state       []Result // of the earlier attempts; -1: still out
		age         time.Duration
		want        answer
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
		{"keyed all, too old", IdempotentWithKey, ScopeAll, []Result{ConnectionReset}, 3 * time.Second, answer{reject: true}},
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
				t.Fatal("second copy where none is allowed")
			}
		})
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

// Found: where no copies are allowed, a job that ran for too long was cancelled so that it could move, and refused in the
// same instant, as its aim had passed. It goes on instead.
func TestRunningJobPastItsObjectiveIsNotGivenUp(t *testing.T) {
	set := testSettings()
	set.Hedging = false
	s := newHarness(t, set)
	s.workers(3)
	s.step(s.job(1, 2, 400*ms))
	at := taken[Send](s)[0].Worker
	s.wait(ms)
	s.step(Started{Job: 1, Worker: at})
	s.wait(4 * time.Second)
	if cancels, turned := taken[Cancel](s), taken[Reject](s); len(cancels)+len(turned) > 0 {
		t.Fatalf("%v, %v: it was running", cancels, turned)
	}
}
