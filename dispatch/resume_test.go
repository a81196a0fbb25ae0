package dispatch

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// A resumed job is treated as at its first dispatcher: if an attempt is in flight, the job is not sent again and the outcome is
// matched by the attempt's number; if it was possibly executed, it is sent only if the retry rules allow it.
func TestJobResumed(t *testing.T) {
	inFlight := PastAttempt{Worker: 1, SentAgo: 100 * ms}
	running := PastAttempt{Worker: 1, SentAgo: 100 * ms, StartedAgo: 90 * ms}
	ended := func(worker uint64, r Result) PastAttempt {
		return PastAttempt{Worker: worker, SentAgo: 100 * ms, Ended: true, Result: r}
	}
	cases := []struct {
		name     string
		class    int
		attempts []PastAttempt
		want     string // of the step that resumes it
		used     float64
	}{
		{"nothing was sent", 0, nil, "sent to 2", 1},
		{"rejected before", 0, []PastAttempt{ended(1, WorkerFull)}, "sent to 2", 1},
		{"in flight", 0, []PastAttempt{inFlight}, "", 1},
		{"running", 0, []PastAttempt{ended(2, WorkerFull), running}, "", 1},
		{"in flight at a worker not listed", 0, []PastAttempt{{Worker: 77}}, "", 1},
		{"non-idempotent, in flight", 1, []PastAttempt{inFlight}, "", 1},
		{"non-idempotent, possibly executed", 1, []PastAttempt{ended(1, ConnectionReset)}, "failed", 0},
		{"non-idempotent, not executed", 1, []PastAttempt{ended(1, ConnectFailed)}, "sent to 2", 1},
		{"at the attempt limit", 0, slices.Repeat([]PastAttempt{ended(1, WorkerFull)}, 5), "rejected", 0},
		{"with key, at a worker not listed", 2, []PastAttempt{ended(77, ConnectionReset)}, "", 0},
		{"with key, at one listed", 2, []PastAttempt{ended(2, ConnectionReset)}, "sent to 2", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Classes[2] = Class{LatencyObjective: 400 * ms, ClientTimeout: 5 * time.Second, Idempotency: IdempotentWithKey, DeduplicationScope: ScopeCell, DeduplicationWindow: time.Minute, LateValue: 0.3}
			s := newHarness(t, set)
			s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Cell: 1}, {ID: 2, Cell: 2, Ready: true}}})
			s.take()
			job := s.job(9, c.class, 300*ms)
			s.jobs[9] = &harnessJob{Job: job}
			s.step(JobResumed{Job: job, Age: 200 * ms, Attempts: c.attempts})
			got := decisionAbout(s)
			if got != c.want || s.d.starts.usedSlots != c.used {
				t.Fatalf("%q with %v slots in use, expected %q with %v", got, s.d.starts.usedSlots, c.want, c.used)
			}
			n := len(c.attempts)
			switch {
			case strings.HasPrefix(got, "sent"):
				s.step(s.done(9, n, 2, OK))
			case n > 0 && !c.attempts[n-1].Ended:
				s.step(Started{Job: 9, Attempt: n - 1, Worker: c.attempts[n-1].Worker}, s.done(9, n-1, c.attempts[n-1].Worker, OK))
			default:
				s.step(ClientDisconnected{Job: 9})
			}
			if s.d.starts.usedSlots != 0 || len(s.d.jobs) != 0 || len(s.d.fleet.byID) != 2 {
				t.Errorf("at the end %v slots in use, %d jobs, %d workers; expected 0, 0, 2", s.d.starts.usedSlots, len(s.d.jobs), len(s.d.fleet.byID))
			}
		})
	}
}

// decisionAbout returns the last decision about the only job.
func decisionAbout(s *harness) (decision string) {
	for _, a := range s.take() {
		switch a := a.(type) {
		case Send:
			decision = fmt.Sprintf("sent to %d", a.Worker)
		case Reject:
			decision = "rejected"
		case Fail:
			decision = "failed"
		}
	}
	return decision
}

// A job that arrived at another dispatcher earlier keeps its position in the queue: it is sent before new ones, and its objective
// counts from its first arrival. An attempt that hangs is detected as lost after the job has been resumed, too.
func TestResumedJobKeepsItsQueuePosition(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(2)
	s.startOnWorker1(1)
	s.d.fleet.byID[1].slots.limit = 1
	s.step(WorkerList{Kind: ListDelta, Workers: []Worker{{ID: 2}}})
	s.d.workload.meanShortSojourn = 0.1 // tau 0.3 s
	late := s.job(9, 1, 300*ms)
	late.Remaining -= 500 * ms
	s.jobs[8], s.jobs[9] = &harnessJob{}, &harnessJob{}
	s.step(s.job(2, 1, 100*ms), JobResumed{Job: late, Age: 500 * ms})
	if objective := s.d.jobs[9].objectiveAt - s.now; objective != 500*ms {
		t.Errorf("its objective is in %v, expected 500ms", objective)
	}
	s.step(s.done(1, 0, 1, OK))
	expectJobs(t, taken[Send](s), 9)
	s.step(JobResumed{Job: s.job(8, 0, 50*ms), Attempts: []PastAttempt{{Worker: 2, SentAgo: 10 * ms}}})
	s.step(WorkerList{Kind: ListDelta, Workers: []Worker{{ID: 2, Ready: true}}})
	s.step(s.done(9, 0, 1, OK))
	s.step(s.done(2, 0, 1, OK))
	s.wait(500 * ms)
	if got := sentJobs(taken[Send](s)); !slices.Contains(got, 8) {
		t.Errorf("sent %v, expected job 8 again, which hangs at worker 2", got)
	}
}

// A resumed job is charged to its tenant's quota unless it has been already, and its past attempts count against the budget of a
// warming worker.
func TestResumedJobIsChargedOnce(t *testing.T) {
	set := testSettings()
	set.TenantQuota, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = []float64{1}, time.Minute, 0.2, 1.5, time.Second
	s := newHarness(t, set)
	s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Ready: true, BootAt: s.now - time.Second}}})
	quota := s.d.quotas.buckets[0].tokens
	for id := range uint64(20) {
		s.step(JobResumed{Job: s.job(id+1, 0, 50*ms), Attempts: []PastAttempt{{Worker: 1, SentAgo: 10 * ms, Ended: true, Result: WorkerFull}}})
		s.step(JobResumed{Job: s.job(id+100, 0, 50*ms), Age: time.Second, QuotaCharged: true})
	}
	if s.d.quotas.buckets[0].tokens != quota || len(s.d.fleet.byID[1].slowStart.sent) != 20 {
		t.Errorf("quota %v, expected %v; %d attempts count at the warming worker, expected 20", s.d.quotas.buckets[0].tokens, quota, len(s.d.fleet.byID[1].slowStart.sent))
	}
	if s.step(JobResumed{Job: s.job(200, 0, 50*ms), Age: time.Second}); s.d.quotas.refilledAt[0] != s.now {
		t.Error("a job that was queued at another dispatcher is not charged to the quota")
	}
}

// The assignees of a warming worker follow from its list entry if that has any, else from the number of dispatchers. The share of
// a quota follows from ReplicasChanged, or else from the number of dispatchers.
func TestReplicasChanged(t *testing.T) {
	set := testSettings()
	set.Replicas, set.ReplicaIndex, set.TenantQuota = 4, 1, []float64{8}
	s := newHarness(t, set)
	check := func(w Worker, rank, of int, part float64) {
		t.Helper()
		if r, o := s.d.replicaGroup().assigneeRank(&workerInfo{Worker: w}); r != rank || o != of || s.d.quotaShare() != part {
			t.Errorf("rank %d of %d, share %v, expected %d of %d and %v", r, o, s.d.quotaShare(), rank, of, part)
		}
	}
	check(Worker{}, 1, 4, 0.25)
	check(Worker{AssigneeRank: 2, Assignees: 2}, 2, 2, 0.25)
	s.step(ReplicasChanged{Replicas: 2, ReplicaIndex: 1})
	check(Worker{}, 1, 2, 0.5)
	s.step(ReplicasChanged{Replicas: 1, QuotaShare: 0.125})
	check(Worker{}, 0, 1, 0.125)
	s.step(ReplicasChanged{Replicas: -1, ReplicaIndex: -1, QuotaShare: math.NaN()})
	check(Worker{}, 0, 1, 1)
	again, err := Restore(set, s.d.Snapshot(nil))
	if err != nil || again.latestReplicas != s.d.latestReplicas {
		t.Errorf("error %v, restored as %+v", err, again.latestReplicas)
	}
}
