package dispatch

import (
	"testing"
	"time"
)

// A job that runs when its objective passes is checked again when that run fails: out of reach of its objective it is rejected
// then, and not at its deadline, seconds later.
func TestJobWhoseRunFailsPastItsObjectiveIsAnsweredAtOnce(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.step(s.job(1, 2, 300*ms)) // an answer past its objective of 1 s has no utility
	s.now += ms
	s.step(Started{Job: 1, Worker: 1})
	s.take()
	s.wait(1500 * ms)
	if got := taken[Reject](s); len(got) > 0 {
		t.Fatal("it was rejected while it ran")
	}
	s.step(s.done(1, 0, 1, Failed))
	s.wait(2 * ms)
	if got := taken[Reject](s); len(got) != 1 || got[0].Job != 1 {
		t.Fatalf("its run has failed past its objective: %v, expected a rejection", got)
	}
}

func TestFinalAnswers(t *testing.T) {
	cases := []struct {
		name      string
		workers   int
		remaining time.Duration
		wait      time.Duration
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
			j.Remaining = c.remaining
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

// Incident: the most valuable jobs were rejected unsent on a hint known to be rough while a worker was idle.
func TestJobLikelyToBeLateIsSentToIdleWorker(t *testing.T) {
	cases := []struct {
		name      string
		remaining time.Duration
		sent      int
	}{
		{"within the noise of hints", 1800 * ms, 1},
		{"far beyond it", 500 * ms, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, testSettings())
			s.workers(1)
			j := s.job(1, 2, 2*time.Second)
			j.Remaining = c.remaining
			s.step(j)
			s.wait(100 * ms)
			if got := len(taken[Send](s)); got != c.sent {
				t.Fatalf("%d attempts, expected %d", got, c.sent)
			}
		})
	}
}

func TestOverQuotaJobsAreDemoted(t *testing.T) {
	set := testSettings()
	set.TenantQuota = []float64{2, 0}
	s := newHarness(t, set)
	s.workers(1)
	s.startOnWorker1(1)
	s.d.fleet.byID[1].slots.limit = 1
	for id := uint64(10); id < 20; id++ {
		j := s.job(id, 1, 100*ms)
		s.step(j)
	}
	j := s.job(50, 1, 200*ms)
	j.Tenant = 1
	s.step(j)
	demoted := 0
	for _, sh := range s.d.queue.demandClasses {
		for _, h := range sh.byScore.items {
			if h.isDeprioritized() {
				demoted++
			}
		}
	}
	if demoted == 0 || s.d.jobs[50].isDeprioritized() {
		t.Fatalf("%d jobs over their tenant's quota, one of a tenant without a quota demoted: %v", demoted, s.d.jobs[50].isDeprioritized())
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
		if !j.isDeprioritized() {
			within++
		}
	}
	if within < 2 || within > 15 {
		t.Fatalf("%d of 20 jobs at once are within a quarter of a job a second", within)
	}
}

// A dispatcher that had no worker when it last looked, as at its start, knows the fleet's best speed as soon as a list
// brings one. Else it would expect workers to be fifty times too slow, and reject jobs with all workers idle until its next
// round of maintenance.
func TestFirstListUpdatesMaxSpeedAtOnce(t *testing.T) {
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
			t.Fatalf("job %d was rejected with workers idle", r.Job)
		}
	}
}

// However many workers there are, however good hints are, and whether starts are notified or not: a fleet that is under half
// full rejects nothing, serves each client as fast as it works, and spreads what it does.
func TestLightlyLoadedFleetRejectsNothing(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{10, 90, 600} {
		for _, hint := range []float64{1, 1.0 / 30, 30} {
			for _, notice := range []bool{true, false} {
				set := scaleSettings()
				set.StartNotifications = notice
				f := newFleet(nodes, set)
				f.hint = hint
				clients := min(nodes*2, 400)
				served, by := f.serve(clients, 1600*ms)
				possible := float64(clients) * 0.6 / (f.run + 2*f.delay).Seconds()
				most := 0
				for _, n := range by {
					most = max(most, n)
				}
				even := float64(served) / float64(nodes)
				if float64(served) < 0.98*possible || f.rejected > 0 || float64(most) > 1.6*even+4 {
					t.Errorf("%d nodes, hints x %.2f, notices %v: %.3f of what is possible, %d rejected, the busiest has %.2f times "+
						"its even part", nodes, hint, notice, float64(served)/possible, f.rejected, float64(most)/even)
				}
			}
		}
	}
}
