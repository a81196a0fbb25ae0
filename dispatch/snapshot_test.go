package dispatch

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// A dispatcher that is restored from a snapshot after any step of a random run returns the same actions as the original, and has
// the same snapshot. The work by key is recalled before the keys' jobs arrive. Taking a snapshot does not change the dispatcher.
func FuzzSnapshot(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed, seed%5)
	}
	f.Fuzz(func(t *testing.T, seed, often uint64) {
		r := &restoredCopy{t: t, rng: rand.New(rand.NewPCG(seed, 2)), interval: 1 + 10*int(often%5)}
		_, _, observed := observedRandomRun(seed, 400, r.observe)
		if _, _, undisturbed := randomRun(seed, 400); !reflect.DeepEqual(observed, undisturbed) {
			t.Fatal("taking snapshots changed the actions")
		}
	})
}

// A dispatcher that is restored by a process whose clock is ahead or behind returns the same actions, too. Clocks differ if the
// wall clock was set between the starts of the two processes.
func TestRestoreOnClock(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		for seed := range uint64(10) {
			r := &restoredCopy{t: t, rng: rand.New(rand.NewPCG(seed, 3)), interval: 11, clockAhead: ahead}
			observedRandomRunFrom(2*time.Hour, seed, 400, r.observe)
		}
	}
}

// restoredCopy runs a restored dispatcher in parallel to the one whose snapshot it was restored from.
type restoredCopy struct {
	t          *testing.T
	rng        *rand.Rand
	interval   int           // of snapshots, in steps on average
	clockAhead time.Duration // of the restored one's clock
	restored   *Dispatcher
	step       int
}

// observe is called twice for each step: before it with the events and nil, and after it with the events and actions.
func (r *restoredCopy) observe(d *Dispatcher, now time.Duration, events []Event, actions []Action) {
	if actions != nil {
		if got := r.restored.Step(now+r.clockAhead, r.convertTimes(events), []Action{}); !reflect.DeepEqual(got, actions) {
			r.t.Fatalf("step %d: restored dispatcher returned %v, expected %v", r.step, got, actions)
		}
		r.step++
		return
	}
	if r.restored == nil || r.rng.IntN(r.interval) == 0 {
		r.restore(d)
	}
	for _, e := range events {
		if key := keyOf(e); key != 0 {
			if work, known := d.KeyWork(key); known {
				r.restored.RecallKeyWork(key, work)
			}
		}
	}
}

func (r *restoredCopy) restore(d *Dispatcher) {
	snapshot, restore := (*Dispatcher).Snapshot, RestoreOnClock
	if d.settings.UsesLeases() {
		snapshot, restore = (*Dispatcher).SnapshotWithLeases, restoreWithLeasesOnClock
	}
	state := snapshot(d, nil)
	var err error
	if r.restored, err = restore(d.settings, state, r.clockAhead); err != nil {
		r.t.Fatal(err)
	}
	back, err := restore(d.settings, snapshot(r.restored, nil), -r.clockAhead)
	if err != nil {
		r.t.Fatal(err)
	}
	if again := snapshot(back, nil); !bytes.Equal(again, state) {
		r.t.Fatalf("step %d: the restored dispatcher has another snapshot", r.step)
	}
}

func restoreWithLeasesOnClock(settings Settings, b []byte, clockAhead time.Duration) (*Dispatcher, error) {
	return read(settings, &codec{b: b, withLeases: true, clockAhead: clockAhead})
}

// convertTimes returns events with their times converted to the clock of the restored dispatcher.
func (r *restoredCopy) convertTimes(events []Event) []Event {
	events = slices.Clone(events)
	for i, event := range events {
		list, ok := event.(WorkerList)
		if !ok {
			continue
		}
		list.Workers = slices.Clone(list.Workers)
		for n := range list.Workers {
			if list.Workers[n].BootAt > 0 {
				list.Workers[n].BootAt += r.clockAhead
			}
		}
		events[i] = list
	}
	return events
}

// keyOf returns the key of the job that arrives with an event; 0: no job arrives, or it has no key.
func keyOf(e Event) uint64 {
	switch e := e.(type) {
	case Job:
		return e.Key
	case JobResumed:
		return e.Job.Key
	}
	return 0
}

// The keys that a snapshot omits still count towards the limit on known keys.
func TestSnapshotKeys(t *testing.T) {
	set := testSettings()
	d := New(set, 1)
	for key := range uint64(maxKnownKeys) {
		d.workload.keyWork[key+1] = 1
	}
	state := d.Snapshot(nil)
	if len(state) > 2000 {
		t.Errorf("snapshot of %d bytes, expected no keys in it, as no open job has one", len(state))
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
		if len(d.workload.keyWork)+d.workload.keysOmitted != 1 {
			t.Errorf("%d keys known and %d omitted, expected 1 in total after the limit was reached", len(d.workload.keyWork), d.workload.keysOmitted)
		}
	}
}

// Bytes that are not a snapshot are rejected, and no bytes make Restore panic.
func FuzzRestore(f *testing.F) {
	set := testSettings()
	d := New(set, 1)
	s := &harness{d: d, now: time.Hour, jobs: map[uint64]*harnessJob{}}
	s.workers(2)
	s.step(Job{ID: 1, Key: 9, Remaining: time.Second}, Job{ID: 2, Remaining: time.Second})
	full := d.Snapshot(nil)
	if _, err := Restore(Settings{Classes: set.Classes[:1]}, full); err == nil {
		f.Error("a snapshot with other classes was accepted")
	}
	f.Add(full)
	for i := range full {
		f.Add(full[:i])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Restore(set, b)
		if bytes.Equal(b, full) != (err == nil) && bytes.HasPrefix(full, b) {
			t.Errorf("%d of %d bytes were restored with error %v", len(b), len(full), err)
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
