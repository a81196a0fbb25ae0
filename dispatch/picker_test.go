package dispatch

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestWorkerWithFewestSlotsInUseIsChosen(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(3)
	used := map[uint64]bool{}
	for id := uint64(1); id <= 3; id++ {
		s.step(s.job(id, 0, 100*ms))
	}
	for _, a := range taken[Send](s) {
		used[a.Worker] = true
	}
	if len(used) != 3 {
		t.Fatalf("three jobs went to %d workers, expected 3", len(used))
	}
}

// A slow worker is avoided while runs there would miss their objectives, and tried again once its estimated speed has decayed.
func TestSlowWorkerIsAvoided(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(4)
	s.step(s.job(1, 0, 500*ms))
	slow := taken[Send](s)[0].Worker
	s.now += ms
	s.step(Started{Job: 1, Worker: slow})
	s.wait(5 * time.Second)
	before := s.d.fleet.byID[slow].speed.log
	for range 4 {
		s.d.learnFromRun(&attemptInfo{job: s.d.jobs[1], worker: s.d.fleet.byID[slow], expectedRun: 500 * ms}, 2500*ms)
	}
	if before >= 0 {
		t.Fatal("an overlong run did not lower the worker's speed before it ended")
	}
	tried := map[uint64]int{}
	for id := uint64(10); id < 40; id++ {
		s.step(s.job(id, 1, 500*ms))
		for _, a := range taken[Send](s) {
			tried[a.Worker]++
			s.after(ms, Started{Job: id, Worker: a.Worker})
			s.after(100*ms, s.done(id, 0, a.Worker, OK))
		}
		s.wait(100 * ms)
	}
	if tried[slow] > 0 {
		t.Fatalf("the slow worker got %d of 30 jobs that would miss their objective on it", tried[slow])
	}
	s.wait(time.Minute)
	if math.Abs(s.d.fleet.byID[slow].speed.log-s.d.workload.machineKind(0).logSpeed) > 0.1 {
		t.Fatal("after a minute without observations the slow worker's speed has not decayed to that of its kind")
	}
}

// A job of many slots that has been queued for over tau is sent eventually, though small jobs would take each free slot.
func TestLargeJobIsSentEventually(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.d.fleet.byID[1].slots.limit = 4
	big := s.job(1, 1, 2*time.Second)
	big.Slots = 4
	next := uint64(100)
	s.startOnWorker1(99)
	s.step(big)
	for s.now < time.Hour+4*time.Second {
		s.step(s.job(next, 0, 100*ms))
		for _, a := range taken[Send](s) {
			if a.Job == 1 {
				return
			}
			s.after(ms, Started{Job: a.Job, Worker: 1})
			s.after(100*ms, s.done(a.Job, 0, 1, OK))
		}
		if next == 110 {
			s.step(s.done(99, 0, 1, OK))
		}
		next++
		s.wait(30 * ms)
	}
	t.Fatal("the large job was never sent")
}

// Regression test for an incident: a job of four slots, queued for over tau, was sent to a worker with capacity for one. It
// waited at the head of that worker's queue and blocked all behind it. A worker has to be reserved for it, and other jobs are
// sent to other workers meanwhile.
func TestLargeJobWaitsForCapacity(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(2)
	for id := uint64(1); id <= 2; id++ {
		s.d.fleet.byID[id].slots.limit = 4
		s.step(s.job(id, 1, 300*ms))
		at := taken[Send](s)[0].Worker
		s.step(Started{Job: id, Worker: at})
	}
	big := s.job(3, 1, 2*time.Second)
	big.Slots = 4
	s.step(big)
	s.wait(4 * time.Second) // much longer than tau
	expectJobs(t, taken[Send](s))
	for id := uint64(10); id < 14; id++ {
		s.step(s.job(id, 0, 20*ms))
	}
	for _, a := range taken[Send](s) {
		if s.d.fleet.byID[a.Worker] == s.d.reservation.worker {
			t.Fatalf("job %d went to the worker reserved for the large one", a.Job)
		}
	}
	for _, a := range slices.Clone(s.d.reservation.worker.inFlight) {
		s.step(s.done(a.job.ID, a.number, a.worker.ID, OK))
	}
	if sends := taken[Send](s); len(sends) == 0 || sends[0].Job != 3 {
		t.Fatalf("expected the large job to be sent first, got %v", sends)
	}
}

// A dispatcher whose zone has more traffic than its workers can start sends jobs to another zone, though that has a cost.
func TestBusyZoneIsAvoided(t *testing.T) {
	set := testSettings()
	set.CrossZoneCost = 0.05
	s := newHarness(t, set)
	list := WorkerList{Kind: ListFull}
	for id := range uint64(30) {
		list.Workers = append(list.Workers, Worker{ID: id + 1, Ready: true, Zone: int(id % 2)})
	}
	s.step(list)
	s.step(s.job(1, 0, 100*ms))
	if w := taken[Send](s)[0].Worker; w%2 != 1 {
		t.Fatalf("the job went to worker %d of another zone though its own has free workers", w)
	}
	crossed := 0
	for id := uint64(2); id < 30; id++ {
		s.step(s.job(id, 0, 100*ms))
		for _, a := range taken[Send](s) {
			if a.Worker%2 == 0 {
				crossed++
				s.after(ms, Started{Job: a.Job, Attempt: s.jobs[a.Job].attempts - 1, Worker: a.Worker})
				s.after(50*ms, s.done(a.Job, s.jobs[a.Job].attempts-1, a.Worker, OK))
			} else {
				s.after(ms, s.done(a.Job, s.jobs[a.Job].attempts-1, a.Worker, WorkerFull))
			}
		}
		s.wait(100 * ms)
	}
	if crossed < 10 {
		t.Fatalf("%d jobs were sent to the other zone, expected 10 or more, as the own zone rejects all", crossed)
	}
}

// Found by randomised search: a worker too slow for a large job was reserved for it, and was idle for seconds while small jobs
// were queued and the large one waited for a faster worker.
func TestTooSlowWorkerIsNotReserved(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(2)
	s.step(s.job(1, 1, 300*ms)) // non-idempotent: never hedged
	slow := s.d.fleet.byID[3-taken[Send](s)[0].Worker]
	slow.speed.log, slow.speed.factor, slow.speed.observedAt = -2, 0.13, s.now+time.Minute
	big := s.job(2, 1, 1500*ms)
	big.Slots = 4
	s.step(big)
	s.wait(1500 * ms) // over tau
	s.step(s.job(3, 0, 20*ms))
	expectJobs(t, taken[Send](s), 3)
}

// Jobs of a class that is restricted to machine kinds or zones are sent to no other workers, and are answered in time if there is
// no such worker.
func TestPlacement(t *testing.T) {
	cases := []struct {
		name         string
		kinds, zones []int
		open         []uint64
	}{
		{"no restriction", nil, nil, []uint64{1, 2, 3, 4}},
		{"one kind", []int{1}, nil, []uint64{3, 4}},
		{"one zone", nil, []int{1}, []uint64{2, 4}},
		{"kinds and zones", []int{0, 2}, []int{1, 3}, []uint64{2}},
		{"a kind without workers", []int{9}, nil, nil},
		{"no kind", []int{}, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Classes[0].Kinds, set.Classes[0].Zones = c.kinds, c.zones
			s := newHarness(t, set)
			s.step(WorkerList{Kind: ListFull, Workers: []Worker{
				{ID: 1, Ready: true},
				{ID: 2, Ready: true, Zone: 1},
				{ID: 3, Ready: true, Kind: 1},
				{ID: 4, Ready: true, Kind: 1, Zone: 1},
			}})
			for id := uint64(1); id <= 8; id++ {
				s.step(s.job(id, 0, 200*ms)) // no attempt starts: retries and hedges follow
				s.wait(100 * ms)
			}
			s.wait(6 * time.Second)
			var used []uint64
			ended := 0
			for _, a := range s.take() {
				switch a := a.(type) {
				case Send:
					used = append(used, a.Worker)
				case Reject, Fail:
					ended++
				}
			}
			slices.Sort(used)
			if used = slices.Compact(used); !slices.Equal(used, c.open) {
				t.Fatalf("workers %v were used, %v are allowed", used, c.open)
			}
			if ended != 8 {
				t.Fatalf("%d of 8 jobs were answered", ended)
			}
		})
	}
}
