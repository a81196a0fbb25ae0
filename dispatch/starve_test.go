package dispatch

import (
	"testing"
	"time"
)

// Jobs that wait or are refused while workers idle, each as a hunt for that came upon it.

// Found: of 351 workers five hung. The jobs out there were more than half of all that ran, which looked like a fleet
// whose queues are full, and for a second nothing was sent to the others. One goes all the same, and once that has
// started the next.
func TestFewFaultyWorkersDoNotStopTheFleet(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(20)
	for id := uint64(1); id <= 4; id++ {
		s.step(s.job(id, 1, 300*ms)) // unsafe: never moved
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

// Found: where starts are not told, an answer later than the aim as its hint had it counted as late, so that with hints
// that were too low all were, and each worker was left alone for longer each time.
func TestLowHintsCauseNoBackoff(t *testing.T) {
	set := scaleSettings()
	set.StartNotifications = false
	f := newFleet(20, set)
	f.run, f.hint = 400*ms, 1.0/20
	served, _ := f.serve(15, 6*time.Second)
	rest := 0
	for _, w := range f.d.workerList {
		if w.backoffUntil > f.now {
			rest++
		}
	}
	if possible := 15 * 5 / f.run.Seconds(); float64(served) < 0.9*possible || rest > 0 {
		t.Errorf("%d served of %.0f, %d refused, %d of 20 workers left alone", served, possible, f.rejected, rest)
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

// Found: a first job of two slots left a worker with a room of two, and nothing more was sent there until it ended.
func TestLimitGrowsBeyondRunningSlots(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	wide := s.job(1, 0, 300*ms)
	wide.Slots = 2
	s.step(wide)
	s.step(Started{Job: 1, Worker: 1}, s.job(2, 0, 300*ms))
	expectJobs(t, taken[Send](s), 1, 2)
}

// Found: a dozen held jobs that no free worker might have took all looks of each release, and those behind them were held
// or refused though there were workers for them. The next release looks at others first.
func TestJobsThatFitNowhereBlockNoOthers(t *testing.T) {
	set := testSettings()
	set.ReportFields = nil
	s := newHarness(t, set)
	s.workers(3)
	s.step(s.job(1, 0, 300*ms), s.job(2, 0, 300*ms)) // and are not known to have started, so that no more go there
	sick := s.d.workers[6-s.d.jobs[1].attempts[0].worker.ID-s.d.jobs[2].attempts[0].worker.ID]
	// It takes short jobs that are safe to repeat, as a trial.
	sick.ejectionTime, sick.ejectedUntil, sick.broken, sick.aliveAt = time.Second, s.now, true, s.now-time.Minute
	s.d.markDirty(sick)
	for id := uint64(10); id < 10+2*maxDeferred; id++ {
		s.step(s.job(id, 1, 10*ms))
	}
	s.step(s.job(50, 0, 40*ms))
	for range 3 {
		s.wait(ms)
		s.step()
	}
	expectJobs(t, taken[Send](s)[2:], 50)
}

// Found: a worker was kept for a large job that waited for a faster one, and idled for seconds while small ones were held.
func TestNoTooSlowWorkerIsReserved(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(2)
	s.step(s.job(1, 1, 300*ms)) // unsafe: never moved
	slow := s.d.workers[3-taken[Send](s)[0].Worker]
	slow.logSpeed, slow.speed, slow.learnedAt = -2, 0.13, s.now+time.Minute
	big := s.job(2, 1, 1500*ms)
	big.Slots = 4
	s.step(big)
	s.wait(1500 * ms) // over tau
	s.step(s.job(3, 0, 20*ms))
	expectJobs(t, taken[Send](s), 3)
}

// Found: one job of four slots that waited at a worker stopped all sends, as if most of what was out did.
func TestLateWideJobCountsOnce(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(10)
	wide := s.job(1, 1, 300*ms) // unsafe: never moved
	wide.Slots = 4
	s.step(wide, s.job(2, 1, 300*ms))
	s.step(Started{Job: 2, Worker: taken[Send](s)[1].Worker})
	s.wait(200 * ms)
	s.step(s.job(3, 1, 20*ms), s.job(4, 1, 20*ms))
	expectJobs(t, taken[Send](s), 3, 4)
}

// Found: copies of keyed jobs were dropped as repeats by the cells that had the first ones, and told no start. Each looked
// like a queue, and its worker was sent nothing more: in a cell with one worker that hung, all others idled.
func TestDeduplicatedAttemptIsNoSignOfAQueue(t *testing.T) {
	set := testSettings()
	set.Classes[1].Idempotency, set.Classes[1].DeduplicationScope, set.Classes[1].DeduplicationWindow = IdempotentWithKey, ScopeAll, 20*time.Second
	s := newHarness(t, set)
	s.workers(2)
	s.d.workers[1].limit, s.d.workers[2].limit = 4, 4
	s.step(s.job(1, 1, 100*ms))
	sick := taken[Send](s)[0].Worker
	s.wait(600 * ms)
	sends := taken[Send](s)
	if len(sends) != 1 || sends[0].Worker == sick {
		t.Fatalf("%v: expected a copy at the other worker", sends)
	}
	s.wait(600 * ms)
	s.step(s.job(2, 0, 20*ms))
	if sends := taken[Send](s); len(sends) != 1 || sends[0].Worker == sick {
		t.Fatalf("%v: expected the other worker to be sent job 2 as well", sends)
	}
}

// Found: the only dispatcher of a fleet left an idle worker alone for seconds after a late start, though nobody else's
// jobs can have been in its way.
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
