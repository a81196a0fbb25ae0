package dispatch

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// sharedSettings returns settings without load reports, and with connections that close after being idle for a minute.
func sharedSettings() Settings {
	settings := testSettings()
	settings.ReportFields, settings.ConnIdleTimeout = nil, time.Minute
	return settings
}

// The number of a dispatcher's connections follows from its traffic, not from the size of the fleet.
func TestConnectionCountDependsOnTraffic(t *testing.T) {
	const rate, busyAtOnce = 40, 12 // jobs per second, and at most in flight; the mean in flight is 2.4
	for _, workers := range []int{60, 200, 3200} {
		for _, kinds := range []int{1, 4} {
			fleet := newSharedFleet(1, workers, kinds, 4, 60*ms, sharedSettings())
			fleet.serve(func(int) float64 { return rate }, 25*time.Second)
			if opened := fleet.connectionsOpened(); opened > preferredWorkers+float64(kinds)+busyAtOnce || fleet.rejected > 0 {
				t.Errorf("%d workers of %d kinds: %v connections opened, %d of %d rejected",
					workers, kinds, opened, fleet.rejected, fleet.sent)
			}
		}
	}
}

// Health checks are sent to workers that selections scan, and open no connections to others.
func TestHealthChecksOpenNoOtherConnections(t *testing.T) {
	settings := sharedSettings()
	settings.HealthChecks, settings.HealthCheckCost = true, 0.004
	for _, workers := range []int{200, 3200} {
		fleet := newSharedFleet(1, workers, 2, 4, 60*ms, settings)
		fleet.serve(func(int) float64 { return 40 }, 25*time.Second)
		if opened := fleet.connectionsOpened(); opened > preferredWorkers+20 || fleet.checked < 500 {
			t.Errorf("%d workers: %v connections opened, %d health checks", workers, opened, fleet.checked)
		}
	}
}

// Dispatchers that each prefer some workers together load all workers evenly, and send jobs to the same worker at the same time
// less often than if each used all workers. Without preferences the busiest worker had 1.15 times the mean load here, and 0.20 of
// the attempts waited for a slot at a load of 0.56.
func TestPreferencesLoadAllWorkersEvenly(t *testing.T) {
	even := func(int) float64 { return 40 }
	uneven := func(index int) float64 { return []float64{12, 20, 28, 36, 104}[index%5] }
	for _, c := range []struct {
		name    string
		work    time.Duration
		rate    func(int) float64
		busiest float64
		queued  float64
	}{
		{"even traffic", 60 * ms, even, 1.25, 0.01},
		{"uneven traffic", 60 * ms, uneven, 1.35, 0.01},
		{"uneven traffic, over half of the capacity", 200 * ms, uneven, 1.3, 0.15},
	} {
		fleet := newSharedFleet(40, 143, 1, 4, c.work, sharedSettings())
		fleet.serve(c.rate, 25*time.Second)
		queued := float64(fleet.queued) / float64(fleet.sent)
		if fleet.busiest() > c.busiest || queued > c.queued || fleet.rejected > 0 {
			t.Errorf("%s: busiest %.2f of the mean, %.4f queued, %d rejected", c.name, fleet.busiest(), queued, fleet.rejected)
		}
	}
}

// The position of each worker in the order depends on the latest list alone, not on earlier ones, and the dispatchers' starting
// points are evenly spaced.
func TestPreferencesDependOnLatestListOnly(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	settings := testSettings()
	settings.Replicas = 5
	workers := map[uint64]Worker{}
	var dispatchers []*Dispatcher
	for index := range settings.Replicas {
		settings.ReplicaIndex = index
		dispatchers = append(dispatchers, New(settings, uint64(index)))
	}
	for step := range 60 {
		change := WorkerList{}
		for range 1 + rng.IntN(12) {
			entry := Worker{ID: uint64(rng.IntN(300)), Kind: rng.IntN(3), Ready: true, Removed: rng.IntN(5) == 0}
			change.Workers = append(change.Workers, entry)
			workers[entry.ID] = entry
			if entry.Removed {
				delete(workers, entry.ID)
			}
		}
		if step%20 == 19 {
			change = fullList(workers)
		}
		for _, d := range dispatchers {
			d.Step(time.Hour+time.Duration(step)*time.Second, []Event{change}, nil)
		}
		if len(workers) > maxLevelScan {
			checkPreferences(t, dispatchers, workers)
		}
	}
}

func fullList(workers map[uint64]Worker) WorkerList {
	list := WorkerList{Kind: ListFull}
	for _, worker := range workers {
		list.Workers = append(list.Workers, worker)
	}
	return list
}

// checkPreferences compares the order of each dispatcher with that of a new one that gets the full list. It also checks at which
// position in the first dispatcher's order each one begins.
func checkPreferences(t *testing.T, dispatchers []*Dispatcher, workers map[uint64]Worker) {
	t.Helper()
	sizes := map[int]int{}
	for _, worker := range workers {
		sizes[worker.Kind]++
	}
	for index, d := range dispatchers {
		fresh := New(d.settings, 1)
		fresh.Step(time.Hour, []Event{fullList(workers)}, nil)
		for id, worker := range workers {
			position, size := d.fleet.byID[id].index.preference, sizes[worker.Kind]
			if want := fresh.fleet.byID[id].index.preference; position != want {
				t.Fatalf("worker %d has position %d, expected %d as after a full list", id, position, want)
			}
			if at, want := dispatchers[0].fleet.byID[id].index.preference, index*size/len(dispatchers); position == 0 && at != want {
				t.Fatalf("dispatcher %d begins at position %d of %d, expected %d", index, at, size, want)
			}
		}
	}
}

// preferredOf returns the workers that a dispatcher prefers most.
func preferredOf(d *Dispatcher) []*workerInfo {
	workers := slices.Clone(d.fleet.workers)
	slices.SortFunc(workers, func(a, b *workerInfo) int { return a.index.preference - b.index.preference })
	return workers[:preferredWorkers]
}

// If none of the preferred workers is suitable, the job is sent to another worker.
func TestFallbackIfNoPreferredWorkerIsSuitable(t *testing.T) {
	h := newHarness(t, testSettings())
	h.workers(400)
	slow := preferredOf(h.d)
	for _, worker := range slow {
		worker.speed.log, worker.speed.factor = -4, 0.018
	}
	h.step(h.job(1, 0, 300*ms))
	sends := taken[Send](h)
	if len(sends) != 1 || slices.Contains(slow, h.d.fleet.byID[sends[0].Worker]) {
		t.Fatalf("sent %v, expected a worker that would meet the objective", sends)
	}
}

// A retry is sent to a preferred worker that has not had the job yet.
func TestRetryGoesToAnotherPreferredWorker(t *testing.T) {
	h := newHarness(t, testSettings())
	h.workers(400)
	h.step(h.job(1, 0, 100*ms))
	first := taken[Send](h)[0].Worker
	h.step(h.done(1, 0, first, ConnectFailed))
	second := taken[Send](h)
	if len(second) != 1 || second[0].Worker == first || !slices.Contains(preferredOf(h.d), h.d.fleet.byID[second[0].Worker]) {
		t.Fatalf("sent to worker %d and then %v, expected another preferred worker", first, second)
	}
}

// A restored dispatcher prefers the same workers, and one whose index has changed prefers others.
func TestPreferencesAreRestored(t *testing.T) {
	settings := testSettings()
	settings.Replicas, settings.ReplicaIndex = 10, 3
	h := newHarness(t, settings)
	h.workers(100)
	for id := range uint64(30) {
		h.step(h.job(id+1, 0, 100*ms))
	}
	restored, err := Restore(settings, h.d.Snapshot(nil))
	if err != nil {
		t.Fatal(err)
	}
	for id := uint64(31); id < 60; id++ {
		job := []Event{h.job(id, 0, 100*ms)}
		if got, want := restored.Step(h.now, job, nil), h.d.Step(h.now, job, nil); !reflect.DeepEqual(got, want) {
			t.Fatalf("job %d: restored %v, expected %v", id, got, want)
		}
	}
	before := preferredOf(h.d)
	h.step(ReplicasChanged{Replicas: 10, ReplicaIndex: 8})
	if after := preferredOf(h.d); slices.ContainsFunc(after, func(w *workerInfo) bool { return slices.Contains(before, w) }) {
		t.Fatal("a dispatcher at the other side of the ring prefers some of the same workers")
	}
}

// After random events on a large fleet, the index holds each worker at the position that its entry says, the levels of steady
// workers are heaps if the index is ordered, and the preferred workers are the first by preference.
func TestIndexStaysOrdered(t *testing.T) {
	for seed := range uint64(6) {
		run := &indexRun{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Hour}
		settings := testSettings()
		settings.Replicas, settings.ReplicaIndex, settings.StartNotifications = 7, int(seed), false
		settings.WarmUp = 2 * time.Second
		settings.WarmUpCapacity, settings.OverloadFactor, settings.OverloadWindow = 0.3, 3, time.Second
		run.d = New(settings, seed)
		orderedSteps := 0
		for range 3000 {
			run.step()
			checkIndex(t, &run.d.fleet.available)
			if run.d.fleet.available.isOrdered() {
				orderedSteps++
			}
		}
		if orderedSteps < 500 || orderedSteps > 2950 {
			t.Errorf("seed %d: the index was ordered after %d of 3000 steps, expected 500 to 2950", seed, orderedSteps)
		}
	}
}

// indexRun drives a dispatcher with random events.
type indexRun struct {
	t        *testing.T
	d        *Dispatcher
	rng      *rand.Rand
	now      time.Duration
	lastJob  uint64
	attempts map[uint64]int
	inFlight []Send
}

func (r *indexRun) step() {
	r.now += time.Duration(r.rng.IntN(20)) * ms
	for _, action := range r.d.Step(r.now, []Event{r.event()}, nil) {
		if send, isSend := action.(Send); isSend {
			r.inFlight = append(r.inFlight, send)
		}
	}
}

func (r *indexRun) event() Event {
	worker := uint64(1 + r.rng.IntN(200))
	switch choice := r.rng.IntN(100); {
	case choice < 10:
		entry := Worker{ID: worker, Kind: int(worker % 2), Zone: int(worker % 3), Ready: r.rng.IntN(6) > 0, Removed: r.rng.IntN(8) == 0}
		if r.rng.IntN(20) == 0 {
			entry.BootAt = r.now
		}
		return WorkerList{Workers: []Worker{entry}}
	case choice < 12:
		return Cordoned{Worker: worker}
	case choice < 20:
		return Uncordoned{Worker: worker}
	case choice < 55 || len(r.inFlight) == 0:
		r.lastJob++
		return Job{ID: r.lastJob, Remaining: 5 * time.Second, Hint: 50 * ms, Slots: 1}
	}
	return r.outcome()
}

// outcome ends a random attempt.
func (r *indexRun) outcome() Event {
	ended := r.rng.IntN(len(r.inFlight))
	send := r.inFlight[ended]
	r.inFlight = append(r.inFlight[:ended], r.inFlight[ended+1:]...)
	if r.attempts == nil {
		r.attempts = map[uint64]int{}
	}
	attempt := r.attempts[send.Job]
	r.attempts[send.Job]++
	result := OK
	if r.rng.IntN(20) == 0 {
		result = []Result{WorkerFull, Failed, ConnectFailed}[r.rng.IntN(3)]
	}
	return Outcome{Job: send.Job, Attempt: attempt, Worker: send.Worker, Result: result, Closed: result == OK}
}

func checkIndex(t *testing.T, index *workerIndex) {
	t.Helper()
	steady, idle := 0, 0
	for _, b := range index.buckets {
		size := 0
		for i, level := range b.levels {
			size += len(level)
			checkLevel(t, level, b, i)
			if index.isOrdered() && b.isSteady() {
				checkHeap(t, level)
			}
		}
		if size != b.size {
			t.Fatalf("a bucket of %d workers counts %d", size, b.size)
		}
		if b.isSteady() && len(b.levels) > 0 {
			steady, idle = steady+size, idle+len(b.levels[0])
		}
	}
	if steady != index.steadyCount || idle != index.idleCount {
		t.Fatalf("%d steady workers and %d idle ones, counted %d and %d", steady, idle, index.steadyCount, index.idleCount)
	}
}

func checkLevel(t *testing.T, level []*workerInfo, b *bucket, number int) {
	t.Helper()
	for slot, worker := range level {
		if worker.index.bucket != b || worker.index.level != number || worker.index.slot != slot {
			t.Fatalf("worker %d is not at the position in its index entry", worker.ID)
		}
	}
}

func checkHeap(t *testing.T, level []*workerInfo) {
	t.Helper()
	if len(level) == 0 {
		return
	}
	for slot, worker := range level[1:] {
		if parent := level[slot/2]; parent.index.preference > worker.index.preference {
			t.Fatalf("worker %d is the parent of one that is preferred", parent.ID)
		}
	}
	sorted := slices.Clone(level)
	slices.SortFunc(sorted, func(a, b *workerInfo) int { return a.index.preference - b.index.preference })
	count := min(len(level), preferredWorkers)
	if preferred := appendPreferred(nil, level, count); !slices.Equal(preferred, sorted[:count]) {
		t.Fatal("the preferred workers are not the first by preference")
	}
}
