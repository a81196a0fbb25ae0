package dispatch

import (
	"bytes"
	"math"
	"slices"
	"testing"
	"time"

	"valvecove/internal/storedform"
)

// The golden files of a dispatcher: a snapshot, as hot restarts and captures contain it, and a model snapshot of version 1. They
// are never rewritten: see storedform.Golden. A snapshot has no version number of its own. The frames of a hot restart have one,
// which changes with the format of the snapshot.
const (
	goldenSnapshot = "dispatcher.snapshot"
	goldenModel    = "lesson.form1"
)

func goldenSettings() Settings {
	set := testSettings()
	set.Classes[2].Idempotency, set.Classes[2].DeduplicationScope, set.Classes[2].DeduplicationWindow = IdempotentWithKey, ScopeZone, 10*time.Second
	set.TenantQuota = []float64{0, 40}
	set.HealthChecks, set.HealthCheckCost, set.CrossZoneCost = true, 0.01, 0.05
	set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 5*time.Second, 0.25, 2, time.Second
	set.ProgressInterval, set.ConnIdleTimeout = 100*ms, 30*time.Second
	set.MaxRetryAfter = 2 * time.Second
	return set
}

// goldenScenario returns a dispatcher with estimates of sizes, machine kinds and workers, and with jobs of all classes: some run,
// some have not started, many are queued, and one of these has a worker reserved. One worker is cordoned, one drains, one warms
// up, and two are in backoff.
func goldenScenario(t *testing.T) *harness {
	t.Helper()
	s := newHarness(t, goldenSettings())
	list := WorkerList{Kind: ListFull, Revision: 42}
	for id := range uint64(8) {
		list.Workers = append(list.Workers, Worker{
			ID: (id + 1) << 40, Kind: int(id % 2), Ready: id != 6, Size: 2 + float64(id%3),
			Cell: int(id / 2), Zone: int(id / 4),
		})
	}
	list.Workers[7].BootAt = s.now - time.Second
	list.Workers[5].AssigneeRank, list.Workers[5].Assignees = 1, 3
	s.step(list, ReplicasChanged{Replicas: 3, ReplicaIndex: 1, QuotaShare: 0.4})
	s.step(Cordoned{Worker: 3 << 40})
	job := func(id uint64, class int) Job {
		j := s.job(id, class, time.Duration(20+5*(id%7))*ms)
		j.Tenant, j.Key, j.Memory, j.Slots = int(id%2), id%5, 0.5, 1+float64(id%3)/2
		return j
	}
	id := uint64(0)
	for ; id < 120; id++ { // these run to their end and update the estimates
		s.step(job(id+1, int(id%3)))
		for _, a := range taken[Send](s) {
			span := time.Duration(15+a.Job*7%40) * ms * time.Duration(1+a.Worker>>40%3)
			number := s.jobs[a.Job].attempts - 1
			switch {
			case a.Job%37 == 5:
				s.after(3*ms, s.done(a.Job, number, a.Worker, Failed))
			case a.Job%41 == 6:
				s.after(2*ms, s.done(a.Job, number, a.Worker, WorkerFull))
			default:
				s.after(2*ms, Started{Job: a.Job, Attempt: number, Worker: a.Worker})
				s.after(span/2, Progressed{Job: a.Job, Attempt: number, Worker: a.Worker, Share: 0.5})
				done := s.done(a.Job, number, a.Worker, OK)
				done.Report = []float64{float64(a.Job % 4)}
				s.after(span, done)
			}
		}
		s.wait(9 * ms)
	}
	s.step(WorkerList{Kind: ListDelta, Revision: 43, Workers: []Worker{{
		ID: 9 << 40, Kind: 1, Ready: true, Zone: 1, Cell: 4, Size: 4,
		BootAt: s.now - 100*ms,
	}}})
	for ; id < 150; id++ { // some of these start, and none ends
		s.step(job(id+1, int(id%3)))
		for i, a := range taken[Send](s) {
			if (int(a.Job)+i)%3 > 0 {
				s.after(2*ms, Started{Job: a.Job, Attempt: s.jobs[a.Job].attempts - 1, Worker: a.Worker})
			}
		}
		s.wait(2 * ms)
	}
	large := job(200, 0)
	large.Slots = 6
	s.step(large)
	s.wait(130 * ms)
	s.step(ClientDisconnected{Job: 125}, JobResumed{
		Job: job(500, 0), Age: 20 * ms, QuotaCharged: true,
		Attempts: []PastAttempt{{Worker: 1 << 40, SentAgo: 15 * ms, Ended: true, Result: ConnectionReset}, {Worker: 2 << 40, SentAgo: 10 * ms, StartedAgo: 8 * ms}},
	})
	return s
}

// A dispatcher that gets the same events writes the same bytes as the earlier build. The state depends on floating-point
// arithmetic, so this holds only on the architecture that the service runs on.
func TestGoldenSnapshotIsWritten(t *testing.T) {
	s := goldenScenario(t)
	storedform.CheckGolden(t, goldenSnapshot, s.d.Snapshot(nil))
	storedform.CheckGolden(t, goldenModel, s.d.ModelSnapshot(4000, nil))
}

// A snapshot of an earlier build is read without loss, and the restored dispatcher continues from it.
func TestGoldenSnapshotIsRead(t *testing.T) {
	state := storedform.Golden(t, goldenSnapshot)
	d, err := Restore(goldenSettings(), state)
	if err != nil {
		t.Fatal(err)
	}
	if again := d.Snapshot(nil); !bytes.Equal(again, state) {
		t.Error("the restored dispatcher has another snapshot")
	}
	checkGoldenState(t, d)
	checkGoldenJobs(t, d)
	checkGoldenWorkers(t, d)
	storedform.CheckGolden(t, goldenModel, d.ModelSnapshot(4000, nil))
	acts := d.Step(d.now+ms, []Event{Outcome{Job: 121, Worker: 6 << 40, Result: OK, Closed: true}}, nil)
	if want := []Action{Send{Job: 144, Worker: 6 << 40}, Send{Job: 124, Worker: 6 << 40}}; !slices.Equal(acts, want) {
		t.Errorf("the next actions are %+v, expected %+v", acts, want)
	}
}

// checkGoldenState checks the state of the golden snapshot that concerns the whole dispatcher.
func checkGoldenState(t *testing.T, d *Dispatcher) {
	t.Helper()
	type summary struct {
		jobs, queued, workers, keys, cordoned int
		now, cordonedAt                       time.Duration
	}
	got := summary{
		jobs: len(d.jobs), queued: d.queue.length, workers: len(d.fleet.byID), keys: len(d.workload.keyWork), cordoned: len(d.cordons.since),
		now: d.now, cordonedAt: d.cordons.since[3<<40],
	}
	want := summary{
		jobs: 68, queued: 59, workers: 9, keys: 4, cordoned: 1, now: time.Hour + 1270*ms, cordonedAt: time.Hour,
	}
	if got != want {
		t.Errorf("state %+v, expected %+v", got, want)
	}
	if want := (ReplicasChanged{Replicas: 3, ReplicaIndex: 1, QuotaShare: 0.4}); d.latestReplicas != want {
		t.Errorf("latest replicas %+v, expected %+v", d.latestReplicas, want)
	}
	if d.reservation.worker == nil || d.reservation.worker.ID != 1<<40 || d.reservation.job.ID != 11 || d.reservation.job.Slots != 2 {
		t.Errorf("reserved worker %+v for job %+v, expected worker 1 for job 11", d.reservation.worker, d.reservation.job)
	}
}

// checkGoldenJobs checks the jobs and attempts of the golden snapshot.
func checkGoldenJobs(t *testing.T, d *Dispatcher) {
	t.Helper()
	if started, unstarted, ended := countAttempts(d); started != 5 || unstarted != 4 || ended != 5 {
		t.Errorf("%d attempts are running, %d have not started, %d have ended; expected 5, 4, 5", started, unstarted, ended)
	}
	j := d.jobs[500]
	if j == nil || len(j.attempts) != 2 {
		t.Fatalf("job 500: %+v, expected two attempts", j)
	}
	first, second := j.attempts[0], j.attempts[1]
	if first.result != ConnectionReset || second.worker.ID != 2<<40 || !second.started || j.arrivedAt != d.now-20*ms {
		t.Errorf("job 500: %+v, expected a connection reset and a running attempt", j)
	}
}

// checkGoldenWorkers checks the workers of the golden snapshot.
func checkGoldenWorkers(t *testing.T, d *Dispatcher) {
	t.Helper()
	type summary struct {
		ready, backedOff        bool
		limit, used, runs, size float64
		inFlight, samples       int
	}
	for i, want := range []summary{
		{ready: true, backedOff: true, limit: 2, runs: 12, size: 2},
		{ready: true, limit: 5.5, used: 6.5, runs: 15, size: 3, inFlight: 4},
		{limit: 1, size: 4},
		{ready: true, backedOff: true, limit: 2, runs: 8, size: 2},
		{ready: true, limit: 5, used: 4.5, runs: 9, size: 3, inFlight: 3},
		{ready: true, limit: 4, used: 3, runs: 24, size: 4, inFlight: 2},
		{limit: 1, size: 2},
		{ready: true, limit: 5.5, size: 3, samples: 4},
		{ready: true, limit: 1, size: 4},
	} {
		w := d.fleet.byID[uint64(i+1)<<40]
		if w == nil {
			t.Errorf("worker %d is missing", i+1)
			continue
		}
		got := summary{
			ready: w.Ready, backedOff: w.backoff.until > d.now, limit: w.slots.limit, used: w.slots.used, runs: w.speed.samples, size: w.Size,
			inFlight: len(w.inFlight), samples: len(w.slowStart.sent),
		}
		if got != want {
			t.Errorf("worker %d: %+v, expected %+v", i+1, got, want)
		}
	}
}

// countAttempts counts the attempts of all jobs by their state.
func countAttempts(d *Dispatcher) (started, unstarted, ended int) {
	for _, j := range d.jobs {
		for _, a := range j.attempts {
			switch {
			case a.ended:
				ended++
			case a.started:
				started++
			default:
				unstarted++
			}
		}
	}
	return started, unstarted, ended
}

// A model snapshot of an earlier build is read with the estimates of that build.
func TestGoldenModelIsRead(t *testing.T) {
	source, err := Restore(goldenSettings(), storedform.Golden(t, goldenSnapshot))
	if err != nil {
		t.Fatal(err)
	}
	list := WorkerList{Kind: ListFull}
	for id := range uint64(9) {
		list.Workers = append(list.Workers, Worker{ID: (id + 1) << 40, Kind: int(id % 2), Ready: true})
	}
	d := New(goldenSettings(), 1)
	d.Step(time.Hour, []Event{list}, nil)
	d.Step(time.Hour, []Event{ModelUpdate{Snapshot: storedform.Golden(t, goldenModel), LoadShare: 1}}, nil)
	j := &jobInfo{Job: Job{Slots: 1, Hint: 100 * ms}, class: &d.settings.Classes[0]}
	if got, want := d.workload.expectedWork(j), source.workload.expectedWork(j); got != want || got == New(goldenSettings(), 1).workload.expectedWork(j) {
		t.Errorf("expected work %v, the dispatcher that the model is from has %v", got, want)
	}
	if *d.workload.kinds[0] != *source.workload.kinds[0] || *d.workload.kinds[1] != *source.workload.kinds[1] || d.workload.kinds[1].samples != 47 || d.workload.kinds[1].maxSlots != 5 {
		t.Errorf("machine kinds %+v and %+v, not those of the dispatcher that the model is from", d.workload.kinds[0], d.workload.kinds[1])
	}
	for _, want := range []struct {
		worker      uint64
		seen, limit float64
	}{{1, 3, 2}, {2, 3, 5}, {3, 0, 1}, {4, 3, 2}, {5, 3, 5}, {6, 3, 4}, {7, 0, 1}, {8, 0, 5}} {
		w := d.fleet.byID[want.worker<<40]
		if off := math.Abs(w.speed.log - source.fleet.byID[w.ID].speed.log); want.seen > 0 && off > 1.0/speedSteps || w.speed.samples != want.seen || w.slots.limit != want.limit {
			t.Errorf("worker %d: speed off by %v, %v runs, limit %v", want.worker, off, w.speed.samples, w.slots.limit)
		}
	}
}

// Captures store jobs and workers, and hot restarts store jobs, under the names in their tags.
func TestStoredTypesAreTagged(t *testing.T) { storedform.CheckTags(t, Job{}, Worker{}) }
