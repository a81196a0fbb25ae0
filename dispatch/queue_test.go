package dispatch

import (
	"testing"
	"time"
)

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
			s.startOnWorker1(1)
			s.d.fleet.byID[1].slots.limit = 1
			s.d.workload.meanShortSojourn = c.mu
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

// Under overload all jobs would be queued for longer than tau and be sent in order of arrival. Those that can no longer have
// their full utility therefore get a lower priority.
func TestJobPastItsObjectiveIsDemoted(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.startOnWorker1(1)
	s.d.fleet.byID[1].slots.limit = 1
	s.step(s.job(10, 1, 100*ms))
	s.wait(2 * time.Second)
	s.step(s.job(11, 1, 200*ms))
	s.step(s.done(1, 0, 1, OK))
	if got := taken[Send](s); len(got) == 0 || got[0].Job != 11 {
		t.Fatalf("sent %v, expected job 11, which can still have its full utility", got)
	}
}

// Under overload, jobs with a priority weight above the mean are promoted sooner.
func TestHigherPriorityWeightIsPromotedSooner(t *testing.T) {
	set := testSettings()
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight, set.Classes[2].PriorityWeight = 1, 8, 1
	s := newHarness(t, set)
	s.workers(1)
	s.startOnWorker1(1)
	s.d.fleet.byID[1].slots.limit, s.d.workload.meanShortSojourn = 1, 0.1 // tau is 0.3 s, less than half for a weight of 8
	s.step(s.job(10, 0, 400*ms), s.job(11, 1, 800*ms))
	s.wait(200 * ms)
	s.step(s.done(1, 0, 1, OK))
	if got := taken[Send](s); len(got) == 0 || got[0].Job != 11 {
		t.Fatalf("sent %v, expected job 11 first", got)
	}
}

// Regression test: jobs that were skipped in each dispatch cycle left an entry each time in the heap by promotion.
func TestQueuedJobsLeaveNoStaleEntries(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.startOnWorker1(1)
	s.d.fleet.byID[1].slots.limit = 1
	for id := uint64(10); id < 20; id++ {
		s.step(s.job(id, 0, 100*ms))
	}
	for range 100 {
		s.wait(ms)
	}
	n := 0
	for _, class := range s.d.queue.demandClasses {
		n += len(class.byPromotion.items)
	}
	if n > 10 {
		t.Fatalf("%d entries for 10 queued jobs", n)
	}
	s.wait(10 * time.Second)
	if len(s.d.jobs) != 1 || s.d.queue.length != 0 { // job 1 has its answer but is still in flight
		t.Fatalf("%d jobs and %d queued ones left after all deadlines, expected 1 and 0", len(s.d.jobs), s.d.queue.length)
	}
}

// If each dispatcher is assigned a few workers, and a job of this dispatcher is late at one of them, capacity is scarce: short
// jobs are sent to the others and long ones wait. If all dispatchers share all workers, both are sent.
func TestLongJobsWaitWhileAttemptsAreLate(t *testing.T) {
	for _, assignees := range []int{0, 2} {
		set := testSettings()
		set.Replicas = manyReplicas + 1
		s := newHarness(t, set)
		list := WorkerList{Kind: ListFull}
		for id := uint64(1); id <= 6; id++ {
			list.Workers = append(list.Workers, Worker{ID: id, Ready: true, Assignees: assignees})
		}
		s.step(list)
		for id := uint64(1); id <= 3; id++ { // three run
			s.step(s.job(id, 1, 100*ms))
			s.after(ms, Started{Job: id, Worker: taken[Send](s)[0].Worker})
		}
		s.step(s.job(4, 1, 100*ms)) // and one does not start: its worker has a queue
		s.wait(250 * ms)
		taken[Send](s)
		s.step(s.job(5, 1, 2*time.Second), s.job(6, 1, 50*ms))
		sent := map[uint64]bool{}
		for _, a := range taken[Send](s) {
			sent[a.Job] = true
		}
		if !sent[6] || sent[5] != (assignees == 0) {
			t.Errorf("%d assignees for each worker: sent %v", assignees, sent)
		}
	}
}

// A class whose jobs may go to only one worker in a hundred, with more jobs than those can start, does not block other classes.
func TestRestrictedClassBlocksNoOtherClass(t *testing.T) {
	set := scaleSettings()
	set.HealthChecks = false
	bound := set.Classes[0]
	bound.Kinds, bound.LatencyObjective, bound.ClientTimeout = []int{7}, time.Hour, 2*time.Hour
	set.Classes = append(set.Classes, bound)
	s := newHarness(t, set)
	list := WorkerList{Kind: ListFull}
	for id := range 200 {
		w := Worker{ID: uint64(id + 1), Ready: true}
		if id%100 == 0 {
			w.Kind = 7
		}
		list.Workers = append(list.Workers, w)
	}
	s.step(list)
	for id := range uint64(100) {
		s.step(s.job(id+1, 1, ms))
	}
	s.take()
	s.now += ms // the queued jobs are older, and are tried first
	for id := range uint64(50) {
		s.step(s.job(id+1000, 0, 20*ms))
	}
	if got := sentJobs(taken[Send](s)); len(got) != 50 {
		t.Fatalf("%d of 50 jobs were sent while jobs of a class without capacity were queued", len(got))
	}
}

// Found by randomised search: a dozen queued jobs that no free worker was allowed to run took up each dispatch cycle. The jobs
// behind them waited or were rejected, although there were workers for them. The next cycle has to try those jobs first.
func TestUnplaceableJobsBlockNoOtherJobs(t *testing.T) {
	set := testSettings()
	set.ReportFields = nil
	s := newHarness(t, set)
	s.workers(3)
	s.step(s.job(1, 0, 300*ms), s.job(2, 0, 300*ms)) // no start is notified, so that no more jobs are sent to their workers
	ejected := s.d.fleet.byID[6-s.d.jobs[1].attempts[0].worker.ID-s.d.jobs[2].attempts[0].worker.ID]
	// It is sent only short idempotent jobs, as recovery probes.
	ejected.outlier.ejectionTime, ejected.outlier.ejectedUntil, ejected.outlier.failing, ejected.activity.aliveAt = time.Second, s.now, true, s.now-time.Minute
	s.d.fleet.markDirty(ejected)
	for id := uint64(10); id < 10+2*maxSkippedPerCycle; id++ {
		s.step(s.job(id, 1, 10*ms))
	}
	s.step(s.job(50, 0, 40*ms))
	for range 3 {
		s.wait(ms)
		s.step()
	}
	expectJobs(t, taken[Send](s)[2:], 50)
}
