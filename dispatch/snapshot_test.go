package dispatch

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// A dispatcher that is cut and restored at any steps of a random play acts as the one that never was, its snapshot
// is that of the one it was made from, and it knows nothing of keys but what it is told before their jobs come. Taking
// a snapshot changes nothing.
func FuzzSnapshot(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed, seed%5)
	}
	f.Fuzz(func(t *testing.T, seed, often uint64) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var copied *Dispatcher
		step := 0
		_, _, cut := observedRandomRun(seed, 400, func(d *Dispatcher, now time.Duration, events []Event, actions []Action) {
			if actions != nil {
				if got := copied.Step(now, events, []Action{}); !reflect.DeepEqual(got, actions) {
					t.Fatalf("step %d: %v, expected %v", step, got, actions)
				}
				step++
				return
			}
			if copied == nil || rng.IntN(1+10*int(often%5)) == 0 {
				state := d.Snapshot(nil)
				var err error
				if copied, err = Restore(d.settings, state); err != nil {
					t.Fatal(err)
				}
				if again := copied.Snapshot(nil); !bytes.Equal(again, state) {
					t.Fatalf("step %d: a restored one has another snapshot", step)
				}
			}
			for _, e := range events {
				j, ok := e.(Job)
				if r, resumed := e.(JobResumed); resumed {
					j, ok = r.Job, true
				}
				if ok {
					if work, known := d.KeyWork(j.Key); known {
						copied.RecallKeyWork(j.Key, work)
					}
				}
			}
		})
		if _, _, whole := randomRun(seed, 400); !reflect.DeepEqual(cut, whole) {
			t.Fatal("one of which snapshots were taken acted otherwise")
		}
	})
}

// The keys that a snapshot leaves out still count towards those that may be known.
func TestSnapshotKeys(t *testing.T) {
	set := testSettings()
	d := New(set, 1)
	for key := range uint64(maxKeys) {
		d.keyWork[key+1] = 1
	}
	state := d.Snapshot(nil)
	if len(state) > 2000 {
		t.Errorf("%d bytes for keys that no job at hand has", len(state))
	}
	r, err := Restore(set, state)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range []*Dispatcher{d, r} {
		s := &harness{t: t, d: d, now: time.Hour, jobs: map[uint64]*harnessJob{}}
		s.workers(1)
		if work, known := d.KeyWork(9); known {
			r.RecallKeyWork(9, work)
		}
		s.step(Job{ID: 1, Key: 9, Remaining: time.Second})
		s.step(Started{Job: 1, Worker: 1})
		s.step(Outcome{Job: 1, Worker: 1, Closed: true})
		if len(d.keyWork)+d.keysOmitted != 1 {
			t.Errorf("%d keys known and %d away, where the limit was reached", len(d.keyWork), d.keysOmitted)
		}
	}
}

// What is no snapshot is refused, and no bytes make Restore panic.
func FuzzRestore(f *testing.F) {
	set := testSettings()
	d := New(set, 1)
	s := &harness{d: d, now: time.Hour, jobs: map[uint64]*harnessJob{}}
	s.workers(2)
	s.step(Job{ID: 1, Key: 9, Remaining: time.Second}, Job{ID: 2, Remaining: time.Second})
	whole := d.Snapshot(nil)
	if _, err := Restore(Settings{Classes: set.Classes[:1]}, whole); err == nil {
		f.Error("a snapshot of other classes was taken")
	}
	f.Add(whole)
	for i := range len(whole) {
		f.Add(whole[:i])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Restore(set, b)
		if bytes.Equal(b, whole) != (err == nil) && bytes.HasPrefix(whole, b) {
			t.Errorf("%d of %d bytes: %v", len(b), len(whole), err)
		}
		if err == nil {
			r.Snapshot(nil)
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	_, d, _ := randomRun(3, 2000)
	var state []byte
	for b.Loop() {
		state = d.Snapshot(state[:0])
	}
	b.ReportMetric(float64(len(state)), "bytes")
	b.ReportMetric(float64(len(d.jobs)), "jobs")
}
