package dispatch

import (
	"testing"
	"time"
)

// A job that is running when its objective passes is rechecked when the run fails. As it can no longer meet its objective, it is
// rejected then, and not seconds later at its deadline.
func TestJobThatFailsPastItsObjectiveIsRejectedAtOnce(t *testing.T) {
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
		t.Fatalf("its run failed after its objective had passed: rejections %v, expected one", got)
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
		{"no outcome arrives", 1, time.Second, time.Second},
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
				t.Fatalf("%d rejections by the deadline, expected 1", len(got))
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

// Regression test for an incident: jobs of the highest priority were rejected without an attempt while a worker was idle, as they
// would have been late by their hints, which are only rough.
func TestJobLikelyToBeLateIsSentToIdleWorker(t *testing.T) {
	cases := []struct {
		name      string
		remaining time.Duration
		sent      int
	}{
		{"late within the error of hints", 1800 * ms, 1},
		{"late beyond the error of hints", 500 * ms, 0},
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
	for _, demandClass := range s.d.queue.demandClasses {
		for _, h := range demandClass.byScore.items {
			if h.isDeprioritized() {
				demoted++
			}
		}
	}
	if demoted == 0 || s.d.jobs[50].isDeprioritized() {
		t.Fatalf("%d jobs over quota demoted, expected some; job of a tenant without a quota demoted: %v", demoted, s.d.jobs[50].isDeprioritized())
	}
}

// With hundreds of dispatchers, one dispatcher's share of a tenant's quota may be less than one job a second. A few jobs at once
// are within it nevertheless.
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
		t.Fatalf("%d of 20 jobs at once are within a share of a quarter of a job a second, expected 2 to 15", within)
	}
}

// A dispatcher without workers, as at its start, updates the fleet's greatest speed as soon as a list has one. Otherwise it would
// expect workers to be fifty times too slow, and reject jobs with all workers idle until its next maintenance.
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
			t.Fatalf("job %d was rejected while workers were idle", r.Job)
		}
	}
}

// A fleet that is less than half full rejects nothing, serves each client without delay, and distributes jobs evenly. This holds
// for any number of workers, for wrong hints, and with or without start notifications.
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
					t.Errorf("%d workers, hints x %.2f, start notifications %v: served %.3f of the possible, %d rejected, busiest has %.2f "+
						"times the mean", nodes, hint, notice, float64(served)/possible, f.rejected, float64(most)/even)
				}
			}
		}
	}
}
