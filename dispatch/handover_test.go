package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// A resumed job goes on as it would have where it was: one that is out is not sent again, its outcome is known by its
// number, and one that may have run goes only where rule 2 lets it.
func TestJobResumed(t *testing.T) {
	out := PastAttempt{Worker: 1, SentAgo: 100 * ms}
	runs := PastAttempt{Worker: 1, SentAgo: 100 * ms, StartedAgo: 90 * ms}
	ended := func(worker uint64, r Result) PastAttempt {
		return PastAttempt{Worker: worker, SentAgo: 100 * ms, Ended: true, Result: r}
	}
	cases := []struct {
		name  string
		class int
		pasts []PastAttempt
		want  string // of the step that resumes it
		used  float64
	}{
		{"nothing was sent", 0, nil, "sent to 2", 1},
		{"turned away before", 0, []PastAttempt{ended(1, WorkerFull)}, "sent to 2", 1},
		{"out", 0, []PastAttempt{out}, "", 1},
		{"runs", 0, []PastAttempt{ended(2, WorkerFull), runs}, "", 1},
		{"out at a worker not known", 0, []PastAttempt{{Worker: 77}}, "", 1},
		{"unsafe, out", 1, []PastAttempt{out}, "", 1},
		{"unsafe, may have run", 1, []PastAttempt{ended(1, ConnectionReset)}, "failed", 0},
		{"unsafe, never ran", 1, []PastAttempt{ended(1, ConnectFailed)}, "sent to 2", 1},
		{"out of tries", 0, slices.Repeat([]PastAttempt{ended(1, WorkerFull)}, 5), "refused", 0},
		{"of a group, at a worker not known", 2, []PastAttempt{ended(77, ConnectionReset)}, "", 0},
		{"of a group, at one known", 2, []PastAttempt{ended(2, ConnectionReset)}, "sent to 2", 1},
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
			s.step(JobResumed{Job: job, Age: 200 * ms, Attempts: c.pasts})
			got := ""
			for _, a := range s.take() {
				switch a := a.(type) {
				case Send:
					got = fmt.Sprintf("sent to %d", a.Worker)
				case Reject:
					got = "refused"
				case Fail:
					got = "failed"
				}
			}
			if got != c.want || s.d.usedSlots != c.used {
				t.Fatalf("%q with %v in use, expected %q with %v", got, s.d.usedSlots, c.want, c.used)
			}
			n := len(c.pasts)
			if got != "" && got[0] == 's' {
				n++
				s.step(s.done(9, n-1, 2, OK))
			} else if n > 0 && !c.pasts[n-1].Ended {
				s.step(Started{Job: 9, Attempt: n - 1, Worker: c.pasts[n-1].Worker}, s.done(9, n-1, c.pasts[n-1].Worker, OK))
			} else {
				s.step(ClientDisconnected{Job: 9})
			}
			if s.d.usedSlots != 0 || len(s.d.jobs) != 0 || len(s.d.workers) != 2 {
				t.Errorf("in the end %v in use, %d jobs, %d workers", s.d.usedSlots, len(s.d.jobs), len(s.d.workers))
			}
		})
	}
}

// What came to another dispatcher long ago keeps its place: it leaves before what comes now, and its aim is that of its
// first try. An attempt that hangs is found lost here too.
func TestResumedJobKeepsItsQueuePosition(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(2)
	s.busy(1)
	s.d.workers[1].limit = 1
	s.step(WorkerList{Kind: ListDelta, Workers: []Worker{{ID: 2}}})
	s.d.muShort = 0.1 // tau 0.3 s
	late := s.job(9, 1, 300*ms)
	late.Remaining -= 500 * ms
	s.jobs[8], s.jobs[9] = &harnessJob{}, &harnessJob{}
	s.step(s.job(2, 1, 100*ms), JobResumed{Job: late, Age: 500 * ms})
	if aim := s.d.jobs[9].objectiveAt - s.now; aim != 500*ms {
		t.Errorf("its aim lies %v off", aim)
	}
	s.step(s.done(1, 0, 1, OK))
	expectJobs(t, taken[Send](s), 9)
	s.step(JobResumed{Job: s.job(8, 0, 50*ms), Attempts: []PastAttempt{{Worker: 2, SentAgo: 10 * ms}}})
	s.step(WorkerList{Kind: ListDelta, Workers: []Worker{{ID: 2, Ready: true}}})
	s.step(s.done(9, 0, 1, OK))
	s.step(s.done(2, 0, 1, OK))
	s.wait(500 * ms)
	if got := sentJobs(taken[Send](s)); !slices.Contains(got, 8) {
		t.Errorf("sent %v, expected 8 again, which hangs at worker 2", got)
	}
}

// A resumed job takes from its tenant's quota what was not taken yet, and counts against a cold worker's budget.
func TestResumedJobIsChargedOnce(t *testing.T) {
	set := testSettings()
	set.TenantQuota, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = []float64{1}, time.Minute, 0.2, 1.5, time.Second
	s := newHarness(t, set)
	s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Ready: true, BootAt: s.now - time.Second}}})
	quota := s.d.quotaTokens[0]
	for id := range uint64(20) {
		s.step(JobResumed{Job: s.job(id+1, 0, 50*ms), Attempts: []PastAttempt{{Worker: 1, SentAgo: 10 * ms, Ended: true, Result: WorkerFull}}})
		s.step(JobResumed{Job: s.job(id+100, 0, 50*ms), Age: time.Second, QuotaCharged: true})
	}
	if s.d.quotaTokens[0] != quota || len(s.d.workers[1].warmUpSpends) != 20 {
		t.Errorf("quota %v of %v, %d pieces of work at the cold worker", s.d.quotaTokens[0], quota, len(s.d.workers[1].warmUpSpends))
	}
	if s.step(JobResumed{Job: s.job(200, 0, 50*ms), Age: time.Second}); s.d.quotaRefilledAt[0] != s.now {
		t.Error("one that has waited elsewhere takes nothing from the quota")
	}
}

// Who may send work to a cold worker follows from its entry where that says so, else from the number of dispatchers;
// and so does the part of a quota.
func TestReplicasChanged(t *testing.T) {
	set := testSettings()
	set.Replicas, set.ReplicaIndex, set.TenantQuota = 4, 1, []float64{8}
	s := newHarness(t, set)
	check := func(w Worker, rank, of int, part float64) {
		t.Helper()
		if r, o := s.d.assigneeRank(&workerInfo{Worker: w}); r != rank || o != of || s.d.quotaShare() != part {
			t.Errorf("rank %d of %d, part %v, expected %d of %d and %v", r, o, s.d.quotaShare(), rank, of, part)
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
	if err != nil || again.sharing != s.d.sharing {
		t.Errorf("%v, restored as %+v", err, again.sharing)
	}
}

// One that was taught expects what the teacher does, knows its slow workers, and has its part of the rooms; a lesson
// keeps to its size, and one that is cut or spoilt teaches nothing.
func TestModelUpdate(t *testing.T) {
	set := testSettings()
	s := newHarness(t, set)
	list := WorkerList{Kind: ListFull}
	for id := range uint64(100) {
		list.Workers = append(list.Workers, Worker{ID: (id + 1) << 40, Kind: int(id % 2), Ready: true})
	}
	s.step(list)
	rng := rand.New(rand.NewPCG(1, 1))
	for id := uint64(1); id < 400; id++ {
		s.step(s.job(id, 0, 100*ms))
		for _, a := range taken[Send](s) {
			s.after(2*ms, Started{Job: id, Worker: a.Worker})
			s.after(time.Duration(50+rng.IntN(100))*ms*time.Duration(1+a.Worker>>40%3), s.done(id, 0, a.Worker, OK))
		}
		s.wait(4 * ms)
	}
	for _, most := range []int{0, 700, 1000, 4000} {
		if got := len(s.d.ModelSnapshot(most, nil)); got > max(most, 400) {
			t.Errorf("%d bytes, %d allowed", got, most)
		}
	}
	lesson := s.d.ModelSnapshot(4000, nil)
	fresh := func(e ModelUpdate) *Dispatcher {
		d := New(set, 1)
		d.Step(s.now, []Event{list}, nil)
		d.Step(s.now, []Event{e}, nil)
		return d
	}
	d := fresh(ModelUpdate{Snapshot: lesson, LoadShare: 0.5})
	j := &jobInfo{Job: Job{Slots: 1, Hint: 100 * ms}, class: &set.Classes[0]}
	if got, want := d.expectedWork(j), s.d.expectedWork(j); got != want {
		t.Errorf("it expects %v, the teacher %v", got, want)
	}
	for id, w := range s.d.workers {
		x := d.workers[id]
		if off := math.Abs(w.logSpeed - x.logSpeed); w.runs > 0 && off > 2.0/speedSteps || x.limit != max(1, math.Floor(w.limit/2)) {
			t.Errorf("worker %d: speed off by %v, room %v of %v", id, off, x.limit, w.limit)
		}
	}
	for n := range lesson {
		if d := fresh(ModelUpdate{Snapshot: lesson[:n], LoadShare: 1}); !reflect.DeepEqual(d.sizeCorrection, New(set, 1).sizeCorrection) || len(d.kinds) > 2 {
			t.Fatalf("%d bytes of %d taught something", n, len(lesson))
		}
	}
}

// No bytes make a dispatcher panic, nor leave it with figures that are none.
func FuzzModelUpdate(f *testing.F) {
	_, d, _ := randomRun(5, 300)
	whole := d.ModelSnapshot(1000, nil)
	f.Add(whole, int64(time.Second), 0.5)
	for i := range whole {
		spoilt := slices.Clone(whole)
		spoilt[i] ^= 0xff
		f.Add(spoilt, int64(-1), math.Inf(1))
	}
	f.Fuzz(func(t *testing.T, b []byte, age int64, part float64) {
		d := New(d.settings, 1)
		list := WorkerList{Kind: ListFull}
		for id := range uint64(8) {
			list.Workers = append(list.Workers, Worker{ID: id + 1, Kind: int(id % 3), Ready: true})
		}
		d.Step(time.Hour, []Event{list, ModelUpdate{b, time.Duration(age), part}}, nil)
		d.Step(time.Hour+time.Second, []Event{Job{ID: 1, Remaining: time.Second, Slots: 1}, TimerFired{}}, nil)
		for _, w := range d.workerList {
			if !(w.limit >= 1 && w.limit <= maxModelLimit) || !isPlausible(w.logSpeed) || !isPlausible(w.speed) {
				t.Fatalf("worker %d: room %v, speed %v", w.ID, w.limit, w.logSpeed)
			}
		}
	})
}
