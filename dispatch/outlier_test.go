package dispatch

import (
	"math"
	"slices"
	"testing"
	"time"
)

// A worker that fails each job at once has the fewest slots in use, and would attract most jobs if it were not ejected.
func TestWorkerThatFailsImmediatelyGetsFewJobs(t *testing.T) {
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

// A worker is not ejected for one broken connection, nor for a health check that was lost on a stale connection. It is ejected
// for two broken connections in a row, or for one that breaks after a job has started on it.
func TestSingleConnectionFailureEjectsNoWorker(t *testing.T) {
	for _, c := range []struct {
		outcomes func(s *harness)
		ejected  bool
	}{
		{func(s *harness) { s.step(HealthChecked{Worker: 1, Result: NotSent}) }, false},
		{func(s *harness) { s.step(s.done(1, 0, 1, ConnectionReset)) }, false},
		{func(s *harness) { s.step(Started{Job: 1, Worker: 1}); s.step(s.done(1, 0, 1, ConnectionReset)) }, true},
		{func(s *harness) { s.step(s.done(1, 0, 1, ConnectionReset)); s.step(s.done(1, 1, 1, ConnectFailed)) }, true},
	} {
		s := newHarness(t, testSettings())
		s.workers(1)
		s.step(s.job(1, 0, 10*ms))
		if c.outcomes(s); s.d.fleet.byID[1].outlier.ejectionTime > 0 != c.ejected {
			t.Errorf("ejected %v, expected %v", !c.ejected, c.ejected)
		}
	}
}

// Workers may drop a job with very little remaining time without a notification. That does not indicate a queue: the worker's
// limit is unchanged, and other jobs are sent as before. A job with enough time that gets no notification does indicate one.
func TestDroppedJobWithLittleTimeKeepsLimit(t *testing.T) {
	const limit = 8
	for _, remaining := range []time.Duration{ms, 2 * ms, 5 * ms} {
		for class := range testSettings().Classes {
			s := newHarness(t, testSettings())
			s.workers(1)
			s.d.fleet.byID[1].slots.limit = limit
			sent := 0
			for id := uint64(1); id <= 20; id++ {
				job := s.job(id, class, 0)
				job.Remaining = remaining
				s.step(job)
				sent += len(taken[Send](s))
				s.wait(remaining)
				s.step(Outcome{Job: id, Worker: 1, Result: TimedOut, Closed: true})
			}
			if w := s.d.fleet.byID[1]; sent == 0 || w.slots.limit != limit || w.outlier.ejectionTime > 0 || w.backoff.until > s.now {
				t.Errorf("%v remaining, class %d: %d sent, limit %v, ejected for %v, in backoff %v",
					remaining, class, sent, w.slots.limit, w.outlier.ejectionTime, w.backoff.until > s.now)
			}
			s.step(s.job(100, class, 0))
			s.wait(5 * time.Second)
			s.step(Outcome{Job: 100, Worker: 1, Result: TimedOut, Closed: true})
			if s.d.fleet.byID[1].slots.limit >= limit {
				t.Errorf("class %d: limit %v after a job without notifications until its timeout", class, s.d.fleet.byID[1].slots.limit)
			}
		}
	}
}

// Regression test for an incident: most workers were ejected for late starts, so that ejections were disregarded. The failed
// workers then counted as healthy too and attracted all jobs.
func TestFailedWorkerStaysEjectedWhenMostWorkersAre(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(4)
	for id := uint64(1); id <= 4; id++ {
		reason := EjectedForSilence
		if id == 1 {
			reason = EjectedForFailures
		}
		s.d.eject(s.d.fleet.byID[id], reason)
	}
	s.wait(300 * ms)
	if !s.d.outliers.isEjected(s.d.fleet.byID[1]) || s.d.outliers.isEjected(s.d.fleet.byID[2]) {
		t.Fatal("expected only the failed worker to stay ejected")
	}
}

// If connections are dropped without notice while idle, then after two jobs without an answer on idle connections the other idle
// ones are closed before use.
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
	used := map[uint64]bool{}
	for id := uint64(1); len(used) < 3; id++ {
		used[run(id, true)] = true
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
		t.Fatalf("expected idle connections to be closed before the send, got %v", acts)
	}
}

// 30 failures on idle connections set no bound on idle times if more attempts on idle connections have succeeded just before: a
// part of the fleet is silent, and the connections are not the cause.
func TestIdleConnectionsStayUsableWhilePartOfFleetIsSilent(t *testing.T) {
	f := newFleet(100, scaleSettings())
	f.serve(100, time.Second)
	for range 30 {
		a := &attemptInfo{connectionIdle: 8 * ms}
		f.d.idleConnections.observe(a.connectionIdle, false, f.d.now)
	}
	if f.d.idleConnections.maxIdle != 0 {
		t.Fatalf("idle connections are bounded to %v, expected no bound", f.d.idleConnections.maxIdle)
	}
}

// After a stall of this process, measurements from the time of the stall neither change estimates of workers nor eject them.
func TestStallOfProcessChangesNoWorkerEstimates(t *testing.T) {
	f := newFleet(20, scaleSettings())
	f.serve(40, 2*time.Second)
	before := f.d.fleet.workers[3].speed.log
	f.now += 2 * time.Second // stalled: the events of this time are read late, together with the caller's timer
	events := []Event{TimerFired{}}
	for i := range f.events[:2] {
		for q := &f.events[i]; q.first < len(q.events); q.first++ {
			events = append(events, q.events[q.first].event)
		}
	}
	f.step(events...)
	for _, w := range f.d.fleet.workers {
		if math.Abs(w.speed.log-before) > 0.5 || w.outlier.ejectionTime > 0 || w.slots.limit < 2 {
			t.Fatalf("worker %d: speed %.2f (%.2f before), ejected for %v, limit %.0f", w.ID, w.speed.log, before, w.outlier.ejectionTime, w.slots.limit)
		}
	}
}

// The simulator's wire protocol has one line for each ejection. Its text is independent of the reasons' names in the log.
func TestWorkerEjectedText(t *testing.T) {
	for reason, want := range map[EjectionReason]string{
		EjectedForSilence:     "worker 7 silent: set aside for about 500ms",
		EjectedForFailures:    "worker 7 fails: set aside for about 500ms",
		EjectedAsUnreachable:  "worker 7 is unreachable: set aside for about 500ms",
		EjectedForHealthCheck: "worker 7 does not answer a probe: set aside for about 500ms",
	} {
		ejected := WorkerEjected{Worker: 7, Reason: reason, EjectionTime: 500 * time.Millisecond}
		if got := ejected.Text(); got != want {
			t.Errorf("%v: %q, expected %q", reason, got, want)
		}
	}
}
