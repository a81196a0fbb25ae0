package dispatch

import (
	"testing"
	"time"
)

func TestDrainingWorkersGetNoWork(t *testing.T) {
	cases := []struct {
		name string
		list WorkerList
	}{
		{"listed as draining", WorkerList{Kind: ListDelta, Workers: []Worker{{ID: 1}}}},
		{"listed as removed", WorkerList{Kind: ListDelta, Workers: []Worker{{ID: 1, Removed: true}}}},
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
		t.Fatalf("%d subscription requests in 40 s, expected 5 to 60", len(at))
	}
	if a, b := at[1]-at[0], at[4]-at[3]; b <= a {
		t.Fatalf("the backoff does not grow: first %v, fourth %v", a, b)
	}
}

// A list that arrives without a new request comes from a watch that is still open: no second watch is requested.
func TestUnsolicitedList(t *testing.T) {
	set := testSettings()
	set.MustSubscribe = true
	s := newHarness(t, set)
	s.wait(objectiveRecheckInterval)
	s.step(WorkerList{Kind: ListFull, Revision: 1}, WorkerList{Kind: ListUnavailable}, WorkerList{Kind: ListDelta, Revision: 2})
	taken[Subscribe](s)
	if s.wait(10 * time.Second); len(taken[Subscribe](s)) > 0 {
		t.Error("requested a watch though one is open")
	}
}

// An uncordoned worker warms up from that time on, unless it is listed with a start during the cordon. The attempts that were in
// flight there use none of its slots any more: otherwise it would stay unused until they have timed out.
func TestUncordonedWorkerWarmsUpAndIsUsed(t *testing.T) {
	for _, isListed := range []bool{false, true} {
		set := testSettings()
		set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 20*time.Second, 0.2, 3, 2*time.Second
		s := newHarness(t, set)
		s.workers(1)
		s.startOnWorker1(1)
		s.step(Cordoned{Worker: 1}, Cordoned{Worker: 1})
		s.wait(3 * time.Second)
		if isListed {
			s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Ready: true, BootAt: s.now}}})
			s.wait(4 * time.Second)
		}
		s.take()
		s.step(Uncordoned{Worker: 1})
		share := s.d.fleet.byID[1].warmUpShare(&s.d.settings, s.d.now)
		if isListed && (share < 0.35 || share > 0.37) || !isListed && share > 0.21 {
			t.Errorf("its start is listed: %v; assumed to have %v of its capacity", isListed, share)
		}
		s.wait(3 * time.Second) // past the first window, in which earlier work is unknown
		s.step(s.job(7, 0, 10*ms))
		expectJobs(t, taken[Send](s), 7)
	}
}

// With every listed worker cordoned a job is rejected at once, and served again after one is uncordoned.
func TestAllWorkersCordoned(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(2)
	s.step(Cordoned{Worker: 1}, Cordoned{Worker: 2}, s.job(1, 0, 10*ms))
	if got := taken[Reject](s); len(got) != 1 || got[0].Job != 1 {
		t.Fatalf("rejected %v, expected job 1", got)
	}
	s.step(Uncordoned{Worker: 2}, s.job(2, 0, 10*ms))
	expectJobs(t, taken[Send](s), 2)
}

// An uncordoned worker is soon sent a job, even by a dispatcher that is not among the assignees of its warm-up budget. If no
// other job arrives, that may be one that will be late there.
func TestUncordonedWorkerIsNotLeftIdle(t *testing.T) {
	set := testSettings()
	set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 20*time.Second, 0.2, 3, 2*time.Second
	set.Replicas = 2
	for index := range 2 {
		set.ReplicaIndex = index
		s := newHarness(t, set)
		s.workers(1)
		s.wait(3 * time.Second)
		s.step(Cordoned{Worker: 1})
		s.step(Uncordoned{Worker: 1})
		s.wait(uncordonedIdleDelay + 10*ms)
		s.take()
		s.step(s.job(1, 0, 300*ms)) // far too long for its objective on a warming worker
		expectJobs(t, taken[Send](s), 1)
		s.step(s.done(1, 0, 1, OK))
		s.step(s.job(2, 0, 300*ms))
		expectJobs(t, taken[Send](s))
	}
}

// Many dispatchers that start together with a cached list do not all request a new one at once: the service answers them in turn,
// and all of them would wait too long. A few dispatchers do so at once, and so does one without any list.
func TestManyReplicasSubscribeAtDifferentTimes(t *testing.T) {
	for _, c := range []struct {
		of, soon int // dispatchers, and how many of 40 subscribe within half a second at most
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
			t.Errorf("%d dispatchers, %d workers listed: %d of 40 subscribe within half a second", c.of, len(c.list), soon)
		}
	}
}
