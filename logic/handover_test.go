package logic

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
func TestResumed(t *testing.T) {
	out := Past{Worker: 1, Ago: 100 * ms}
	runs := Past{Worker: 1, Ago: 100 * ms, Began: 90 * ms}
	ended := func(worker uint64, r Result) Past { return Past{Worker: worker, Ago: 100 * ms, Ended: true, Result: r} }
	cases := []struct {
		name  string
		class int
		pasts []Past
		want  string // of the step that resumes it
		used  float64
	}{
		{"nothing was sent", 0, nil, "sent to 2", 1},
		{"turned away before", 0, []Past{ended(1, Full)}, "sent to 2", 1},
		{"out", 0, []Past{out}, "", 1},
		{"runs", 0, []Past{ended(2, Full), runs}, "", 1},
		{"out at a worker not known", 0, []Past{{Worker: 77}}, "", 1},
		{"unsafe, out", 1, []Past{out}, "", 1},
		{"unsafe, may have run", 1, []Past{ended(1, Reset)}, "failed", 0},
		{"unsafe, never ran", 1, []Past{ended(1, NoConnect)}, "sent to 2", 1},
		{"out of tries", 0, slices.Repeat([]Past{ended(1, Full)}, 5), "refused", 0},
		{"of a group, at a worker not known", 2, []Past{ended(77, Reset)}, "", 0},
		{"of a group, at one known", 2, []Past{ended(2, Reset)}, "sent to 2", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Classes[2] = Class{Aim: 400 * ms, GiveUp: 5 * time.Second, Effect: Keyed, Group: GroupCell, Window: time.Minute, LateShare: 0.3}
			s := newScene(t, set)
			s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Cell: 1}, {ID: 2, Cell: 2, Ready: true}}})
			s.take()
			job := s.job(9, c.class, 300*ms)
			s.jobs[9] = &sceneJob{Job: job}
			s.step(Resumed{Job: job, Waited: 200 * ms, Attempts: c.pasts})
			got := ""
			for _, a := range s.take() {
				switch a := a.(type) {
				case Send:
					got = fmt.Sprintf("sent to %d", a.Worker)
				case Refuse:
					got = "refused"
				case Fail:
					got = "failed"
				}
			}
			if got != c.want || s.d.used != c.used {
				t.Fatalf("%q with %v in use, expected %q with %v", got, s.d.used, c.want, c.used)
			}
			n := len(c.pasts)
			if got != "" && got[0] == 's' {
				n++
				s.step(s.done(9, n-1, 2, OK))
			} else if n > 0 && !c.pasts[n-1].Ended {
				s.step(Started{Job: 9, Attempt: n - 1, Worker: c.pasts[n-1].Worker}, s.done(9, n-1, c.pasts[n-1].Worker, OK))
			} else {
				s.step(ClientGone{Job: 9})
			}
			if s.d.used != 0 || len(s.d.jobs) != 0 || len(s.d.workers) != 2 {
				t.Errorf("in the end %v in use, %d jobs, %d workers", s.d.used, len(s.d.jobs), len(s.d.workers))
			}
		})
	}
}

// What came to another dispatcher long ago keeps its place: it leaves before what comes now, and its aim is that of its
// first try. An attempt that hangs is found lost here too.
func TestResumedKeepsItsPlace(t *testing.T) {
	s := newScene(t, testSettings())
	s.workers(2)
	s.busy(1)
	s.d.workers[1].room = 1
	s.step(WorkerList{Kind: ListDelta, Workers: []Worker{{ID: 2}}})
	s.d.muShort = 0.1 // tau 0.3 s
	late := s.job(9, 1, 300*ms)
	late.Left -= 500 * ms
	s.jobs[8], s.jobs[9] = &sceneJob{}, &sceneJob{}
	s.step(s.job(2, 1, 100*ms), Resumed{Job: late, Waited: 500 * ms})
	if aim := s.d.jobs[9].aim - s.now; aim != 500*ms {
		t.Errorf("its aim lies %v off", aim)
	}
	s.step(s.done(1, 0, 1, OK))
	expectJobs(t, taken[Send](s), 9)
	s.step(Resumed{Job: s.job(8, 0, 50*ms), Attempts: []Past{{Worker: 2, Ago: 10 * ms}}})
	s.step(WorkerList{Kind: ListDelta, Workers: []Worker{{ID: 2, Ready: true}}})
	s.step(s.done(9, 0, 1, OK))
	s.step(s.done(2, 0, 1, OK))
	s.wait(500 * ms)
	if got := sentJobs(taken[Send](s)); !slices.Contains(got, 8) {
		t.Errorf("sent %v, expected 8 again, which hangs at worker 2", got)
	}
}

// A resumed job takes from its tenant's quota what was not taken yet, and counts against a cold worker's budget.
func TestResumedIsCountedOnce(t *testing.T) {
	set := testSettings()
	set.TenantQuota, set.Cold, set.ColdFrom, set.Overload, set.OverloadSpan = []float64{1}, time.Minute, 0.2, 1.5, time.Second
	s := newScene(t, set)
	s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Ready: true, BootAt: s.now - time.Second}}})
	quota := s.d.quota[0]
	for id := range uint64(20) {
		s.step(Resumed{Job: s.job(id+1, 0, 50*ms), Attempts: []Past{{Worker: 1, Ago: 10 * ms, Ended: true, Result: Full}}})
		s.step(Resumed{Job: s.job(id+100, 0, 50*ms), Waited: time.Second, Counted: true})
	}
	if s.d.quota[0] != quota || len(s.d.workers[1].ledger) != 20 {
		t.Errorf("quota %v of %v, %d pieces of work at the cold worker", s.d.quota[0], quota, len(s.d.workers[1].ledger))
	}
	if s.step(Resumed{Job: s.job(200, 0, 50*ms), Waited: time.Second}); s.d.quotaAt[0] != s.now {
		t.Error("one that has waited elsewhere takes nothing from the quota")
	}
}

// Who may send work to a cold worker follows from its entry where that says so, else from the number of dispatchers;
// and so does the part of a quota.
func TestShared(t *testing.T) {
	set := testSettings()
	set.Replicas, set.Me, set.TenantQuota = 4, 1, []float64{8}
	s := newScene(t, set)
	check := func(w Worker, rank, of int, part float64) {
		t.Helper()
		if r, o := s.d.rank(&worker{Worker: w}); r != rank || o != of || s.d.part() != part {
			t.Errorf("rank %d of %d, part %v, expected %d of %d and %v", r, o, s.d.part(), rank, of, part)
		}
	}
	check(Worker{}, 1, 4, 0.25)
	check(Worker{Rank: 2, Of: 2}, 2, 2, 0.25)
	s.step(Shared{Of: 2, Me: 1})
	check(Worker{}, 1, 2, 0.5)
	s.step(Shared{Of: 1, Part: 0.125})
	check(Worker{}, 0, 1, 0.125)
	s.step(Shared{Of: -1, Me: -1, Part: math.NaN()})
	check(Worker{}, 0, 1, 1)
	again, err := Restore(set, s.d.Snapshot(nil))
	if err != nil || again.shared != s.d.shared {
		t.Errorf("%v, restored as %+v", err, again.shared)
	}
}

// One that was taught expects what the teacher does, knows its slow workers, and has its part of the rooms; a lesson
// keeps to its size, and one that is cut or spoilt teaches nothing.
func TestTaught(t *testing.T) {
	set := testSettings()
	s := newScene(t, set)
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
		if got := len(s.d.Lesson(most, nil)); got > max(most, 400) {
			t.Errorf("%d bytes, %d allowed", got, most)
		}
	}
	lesson := s.d.Lesson(4000, nil)
	fresh := func(e Taught) *Dispatcher {
		d := New(set, 1)
		d.Step(s.now, []Event{list}, nil)
		d.Step(s.now, []Event{e}, nil)
		return d
	}
	d := fresh(Taught{Lesson: lesson, Part: 0.5})
	j := &job{Job: Job{Slots: 1, Hint: 100 * ms}, class: &set.Classes[0]}
	if got, want := d.expectedWork(j), s.d.expectedWork(j); got != want {
		t.Errorf("it expects %v, the teacher %v", got, want)
	}
	for id, w := range s.d.workers {
		x := d.workers[id]
		if off := math.Abs(w.speed - x.speed); w.seen > 0 && off > 2.0/speedSteps || x.room != max(1, math.Floor(w.room/2)) {
			t.Errorf("worker %d: speed off by %v, room %v of %v", id, off, x.room, w.room)
		}
	}
	for n := range lesson {
		if d := fresh(Taught{Lesson: lesson[:n], Part: 1}); !reflect.DeepEqual(d.sizeLog, New(set, 1).sizeLog) || len(d.kinds) > 2 {
			t.Fatalf("%d bytes of %d taught something", n, len(lesson))
		}
	}
}

// No bytes make a dispatcher panic, nor leave it with figures that are none.
func FuzzTaught(f *testing.F) {
	_, d, _ := play(5, 300)
	whole := d.Lesson(1000, nil)
	f.Add(whole, int64(time.Second), 0.5)
	for i := range whole {
		spoilt := slices.Clone(whole)
		spoilt[i] ^= 0xff
		f.Add(spoilt, int64(-1), math.Inf(1))
	}
	f.Fuzz(func(t *testing.T, b []byte, age int64, part float64) {
		d := New(d.set, 1)
		list := WorkerList{Kind: ListFull}
		for id := range uint64(8) {
			list.Workers = append(list.Workers, Worker{ID: id + 1, Kind: int(id % 3), Ready: true})
		}
		d.Step(time.Hour, []Event{list, Taught{b, time.Duration(age), part}}, nil)
		d.Step(time.Hour+time.Second, []Event{Job{ID: 1, Left: time.Second, Slots: 1}, TimerFired{}}, nil)
		for _, w := range d.order {
			if !(w.room >= 1 && w.room <= mostRoom) || !sound(w.speed, w.pace) {
				t.Fatalf("worker %d: room %v, speed %v", w.ID, w.room, w.speed)
			}
		}
	})
}
