package dispatch

import (
	"testing"
	"time"
)

func TestConcurrencyLimit(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	expectLimit := func(want float64) {
		t.Helper()
		if got := s.d.fleet.byID[1].slots.limit; got != want {
			t.Fatalf("limit %v, expected %v", got, want)
		}
	}
	expectLimit(1)
	s.startOnWorker1(1)
	expectLimit(2) // after the prompt start of an attempt that was sent at the limit
	s.startOnWorker1(2)
	expectLimit(3)
	s.startOnWorker1(3)
	expectLimit(4)
	s.now += ms
	s.step(s.done(1, 0, 1, ConnectionReset), s.done(2, 0, 1, ConnectionReset), s.done(3, 0, 1, ConnectionReset))
	expectLimit(2) // one crash with three attempts in flight halves the limit once
}

func TestLateStartDecreasesLimit(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.startOnWorker1(1)
	s.step(s.job(2, 1, 300*ms))
	s.wait(400 * ms)
	s.step(Started{Job: 2, Worker: 1})
	if got := s.d.fleet.byID[1].slots.limit; got != 1 {
		t.Fatalf("limit %v after a late start, expected 1", got)
	}
}

// Regression test for an incident: the bound of a prompt start was based on the mean start delay. The mean rose with the queues,
// so that no start counted as late.
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
	if got := s.d.starts.promptStart(&s.d.settings.Classes[1]); got > 120*ms {
		t.Fatalf("a start within %v counts as prompt", got)
	}
}

// Regression test for an incident: a limit of one at each of many dispatchers still allowed a long queue at the worker.
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

// A worker that does not start an attempt in time has a queue, and is sent nothing more.
func TestWorkerWithLateStartGetsNoFurtherJobs(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.d.fleet.byID[1].slots.limit = 8
	s.step(s.job(1, 1, 100*ms))
	s.wait(300 * ms)
	s.take()
	s.step(s.job(2, 1, 100*ms))
	expectJobs(t, taken[Send](s))
}

// Regression test for an incident: the load report that comes with an outcome is made before the attempt ends, and does not count
// the released slot as free. The dispatcher did not either, and sent the worker nothing.
func TestSlotReleasedByOutcomeIsUsable(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.startOnWorker1(1)
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
	s.wait(2 * time.Second) // the report is not fresh any more
	expectJobs(t, taken[Send](s), 1)
}

// An attempt that is sent just when another one ends starts promptly, although no slot was free when it was sent. The limit
// thereby grew past the slots of the worker, and jobs were queued behind long ones.
func TestLimitIsBoundedByObservedSlots(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	w := s.d.fleet.byID[1]
	w.slots.limit = 9
	for id := uint64(1); id <= 4; id++ {
		s.startOnWorker1(id)
	}
	for late := range uint64(minLateOverflows) {
		if w.backoff.until, w.slots.limit = 0, 9; s.d.maxSlots(w) < 9 {
			t.Fatalf("the limit is bounded by %v before enough starts were late", s.d.maxSlots(w))
		}
		s.step(s.job(10+late, 1, 20*ms))
		expectJobs(t, taken[Send](s), 10+late)
		s.wait(200 * ms)
		s.step(s.done(10+late, 0, 1, TimedOut))
	}
	if got := s.d.maxSlots(w); got != 4 {
		t.Fatalf("the limit is bounded by %v, expected 4, the most seen running", got)
	}
}

// While many jobs of the dispatcher wait at workers, no more are sent. If late answers have no utility, those whose objective
// becomes unreachable are rejected.
func TestJobsDoNotQueueAtWorkers(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(30)
	for id := uint64(1); id <= 10; id++ {
		s.step(s.job(id, 1, 300*ms)) // non-idempotent: never hedged
		s.wait(35 * ms)
	}
	if n := len(taken[Send](s)); n > 6 {
		t.Fatalf("%d jobs were sent though none started", n)
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
		t.Fatalf("expected the unstarted job to be rejected, got %v", ends)
	}
}

// Found by randomised search: five of 351 workers hung. The jobs in flight there were more than half of all that ran. That looked
// like a fleet whose queues are full, and for a second nothing was sent to the other workers. One job has to be sent
// nevertheless, and the next once that has started.
func TestFewHungWorkersDoNotStopDispatch(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(20)
	for id := uint64(1); id <= 4; id++ {
		s.step(s.job(id, 1, 300*ms)) // non-idempotent: never hedged
	}
	s.step(Started{Job: 1, Worker: taken[Send](s)[0].Worker})
	s.wait(200 * ms)
	s.step(s.job(5, 1, 20*ms), s.job(6, 1, 20*ms))
	sends := taken[Send](s)
	expectJobs(t, sends, 5)
	s.wait(ms)
	expectJobs(t, taken[Send](s))
	s.step(Started{Job: 5, Worker: sends[0].Worker})
	expectJobs(t, taken[Send](s), 6)
}

// Found by randomised search: without start notifications, an answer later than the objective computed from the hint counted as
// late. With hints that were too low all did, and the backoff of each worker grew each time.
func TestLowHintsCauseNoBackoff(t *testing.T) {
	set := scaleSettings()
	set.StartNotifications = false
	f := newFleet(20, set)
	f.run, f.hint = 400*ms, 1.0/20
	served, _ := f.serve(15, 6*time.Second)
	backedOff := 0
	for _, w := range f.d.fleet.workers {
		if w.backoff.until > f.now {
			backedOff++
		}
	}
	if possible := 15 * 5 / f.run.Seconds(); float64(served) < 0.9*possible || backedOff > 0 {
		t.Errorf("%d served of %.0f, %d rejected, %d of 20 workers in backoff", served, possible, f.rejected, backedOff)
	}
}

// Found by randomised search: after a first job of two slots a worker had a limit of two, and nothing more was sent there until
// that job ended.
func TestLimitGrowsBeyondRunningSlots(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	wide := s.job(1, 0, 300*ms)
	wide.Slots = 2
	s.step(wide)
	s.step(Started{Job: 1, Worker: 1}, s.job(2, 0, 300*ms))
	expectJobs(t, taken[Send](s), 1, 2)
}

// Found by randomised search: one late job counted once for each of its four slots, so that most attempts in flight seemed to be
// late, and no other job was sent to any worker.
func TestLateJobOfSeveralSlotsDoesNotStopDispatch(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(10)
	wide := s.job(1, 1, 300*ms) // non-idempotent: never hedged
	wide.Slots = 4
	s.step(wide, s.job(2, 1, 300*ms))
	s.step(Started{Job: 2, Worker: taken[Send](s)[1].Worker})
	s.wait(200 * ms)
	s.step(s.job(3, 1, 20*ms), s.job(4, 1, 20*ms))
	expectJobs(t, taken[Send](s), 3, 4)
}

// Found by randomised search: hedges of jobs with a key were dropped as duplicates in the cells that had the first attempts, and
// no start was notified. Each hedge looked like a queue, and its worker was sent nothing more: in a cell with one hung worker,
// all other workers were idle.
func TestDeduplicatedAttemptDoesNotIndicateAQueue(t *testing.T) {
	set := testSettings()
	set.Classes[1].Idempotency, set.Classes[1].DeduplicationScope, set.Classes[1].DeduplicationWindow = IdempotentWithKey, ScopeAll, 20*time.Second
	s := newHarness(t, set)
	s.workers(2)
	s.d.fleet.byID[1].slots.limit, s.d.fleet.byID[2].slots.limit = 4, 4
	s.step(s.job(1, 1, 100*ms))
	hung := taken[Send](s)[0].Worker
	s.wait(600 * ms)
	sends := taken[Send](s)
	if len(sends) != 1 || sends[0].Worker == hung {
		t.Fatalf("sent %v, expected a hedge to the other worker", sends)
	}
	s.wait(600 * ms)
	s.step(s.job(2, 0, 20*ms))
	if sends := taken[Send](s); len(sends) != 1 || sends[0].Worker == hung {
		t.Fatalf("sent %v, expected job 2 to go to the other worker as well", sends)
	}
}

// Found by randomised search: the only dispatcher of a fleet backed off from an idle worker for seconds after a late start,
// though no other dispatcher's jobs can have delayed the start.
func TestSingleDispatcherNeverBacksOff(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.step(s.job(1, 1, 100*ms))
	s.wait(150 * ms)
	s.step(Started{Job: 1, Worker: 1}, s.done(1, 0, 1, OK))
	s.take()
	s.step(s.job(2, 1, 100*ms))
	expectJobs(t, taken[Send](s), 2)
}

// Found by randomised search: a worker that was full for a moment, and rejected a job of two slots while it had no other of this
// dispatcher, was never sent a job of two slots again.
func TestRejectionWhileIdleIsForgotten(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	sendLarge := func(id uint64) []Send {
		large := s.job(id, 1, 100*ms)
		large.Slots = 2
		s.step(large)
		sends := taken[Send](s)
		s.step(ClientDisconnected{Job: id})
		return sends
	}
	rejectLarge := func(id uint64) {
		expectJobs(t, sendLarge(id), id)
		s.step(s.done(id, 0, 1, WorkerFull))
		s.wait(maxBackoff)
	}
	rejectLarge(1)
	expectJobs(t, sendLarge(2))
	s.wait(rejectedDemandExpiry)
	rejectLarge(3)
	expectJobs(t, sendLarge(4))
	s.d.workload.machineKind(0).observeSlots(2)
	expectJobs(t, sendLarge(5), 5)
}

// Found by an ablation: the loss of a start notification lowered a worker's limit, although the job had ended as soon as one that
// starts promptly does. With many notifications lost, the limits stayed at one slot.
func TestEndWithoutStartNotificationRaisesLimit(t *testing.T) {
	for _, run := range []time.Duration{280 * ms, 900 * ms} {
		s := newHarness(t, testSettings())
		s.workers(1)
		worker := s.d.fleet.byID[1]
		worker.slots.limit = 2
		s.startOnWorker1(1)
		s.step(s.job(2, 1, 300*ms)) // sent at the limit; its start is not notified
		s.wait(run)
		if worker.slots.limit != 1 {
			t.Fatalf("the limit is %v after a start that seems late, expected 1", worker.slots.limit)
		}
		s.step(s.done(2, 0, 1, OK))
		if isRaised := worker.slots.limit > 1; isRaised != (run < 300*ms) {
			t.Errorf("the limit is %v after an end within %v without a start notification", worker.slots.limit, run)
		}
	}
}
