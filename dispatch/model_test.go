package dispatch

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// A dispatcher that applies the model of another one expects the same run times, has the same speeds of workers, and gets its
// share of the limits. A model snapshot keeps to its size, and a truncated one is ignored.
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
			t.Errorf("a model snapshot has %d bytes, %d are allowed", got, most)
		}
	}
	snapshot := s.d.ModelSnapshot(4000, nil)
	fresh := func(e ModelUpdate) *Dispatcher {
		d := New(set, 1)
		d.Step(s.now, []Event{list}, nil)
		d.Step(s.now, []Event{e}, nil)
		return d
	}
	d := fresh(ModelUpdate{Snapshot: snapshot, LoadShare: 0.5})
	j := &jobInfo{Job: Job{Slots: 1, Hint: 100 * ms}, class: &set.Classes[0]}
	if got, want := d.workload.expectedWork(j), s.d.workload.expectedWork(j); got != want {
		t.Errorf("expected work %v, the dispatcher that the model is from has %v", got, want)
	}
	for id, w := range s.d.fleet.byID {
		x := d.fleet.byID[id]
		if off := math.Abs(w.speed.log - x.speed.log); w.speed.samples > 0 && off > 2.0/speedSteps || x.slots.limit != max(1, math.Floor(w.slots.limit/2)) {
			t.Errorf("worker %d: speed off by %v, limit %v of %v", id, off, x.slots.limit, w.slots.limit)
		}
	}
	for n := range snapshot {
		if d := fresh(ModelUpdate{Snapshot: snapshot[:n], LoadShare: 1}); !reflect.DeepEqual(d.workload.sizeCorrection, New(set, 1).workload.sizeCorrection) || len(d.workload.kinds) > 2 {
			t.Fatalf("a model truncated to %d of %d bytes was applied", n, len(snapshot))
		}
	}
}

// No bytes make a dispatcher panic, or leave it with numbers that are infinite, NaN or out of range.
func FuzzModelUpdate(f *testing.F) {
	_, d, _ := randomRun(5, 300)
	full := d.ModelSnapshot(1000, nil)
	f.Add(full, int64(time.Second), 0.5)
	for i := range full {
		corrupted := slices.Clone(full)
		corrupted[i] ^= 0xff
		f.Add(corrupted, int64(-1), math.Inf(1))
	}
	f.Fuzz(func(t *testing.T, b []byte, age int64, part float64) {
		d := New(d.settings, 1)
		list := WorkerList{Kind: ListFull}
		for id := range uint64(8) {
			list.Workers = append(list.Workers, Worker{ID: id + 1, Kind: int(id % 3), Ready: true})
		}
		d.Step(time.Hour, []Event{list, ModelUpdate{b, time.Duration(age), part}}, nil)
		d.Step(time.Hour+time.Second, []Event{Job{ID: 1, Remaining: time.Second, Slots: 1}, TimerFired{}}, nil)
		for _, w := range d.fleet.workers {
			if !(w.slots.limit >= 1 && w.slots.limit <= maxModelLimit) || !isPlausible(w.speed.log) || !isPlausible(w.speed.factor) {
				t.Fatalf("worker %d: limit %v, speed %v", w.ID, w.slots.limit, w.speed.log)
			}
		}
	})
}
