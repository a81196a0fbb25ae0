package dispatch

import (
	"bytes"
	"math"
	"slices"
	"testing"
	"time"

	"valvecove/internal/storedform"
)

// The golden files of a dispatcher: a snapshot, as a hand-over and a capture carry it, and a lesson of form 1. They are never
// written anew: see storedform.Golden. A snapshot has no number of its own; the frames of a hand-over have one, and a
// snapshot in another form comes with another number there.
const (
	goldenSnapshot = "dispatcher.snapshot"
	goldenLesson   = "lesson.form1"
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

// goldenScene brings a dispatcher to where it has learnt of sizes, kinds and workers, and has jobs of all classes: some run,
// some have not started, many wait, and one of them keeps a worker for itself; one worker is out by hand, one drains, one is
// cold, and two rest.
func goldenScene(t *testing.T) *harness {
	s := newHarness(t, goldenSettings())
	list := WorkerList{Kind: ListFull, Revision: 42}
	for id := range uint64(8) {
		list.Workers = append(list.Workers, Worker{ID: (id + 1) << 40, Kind: int(id % 2), Ready: id != 6, Size: 2 + float64(id%3),
			Cell: int(id / 2), Zone: int(id / 4)})
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
	for ; id < 120; id++ { // these run to their end, and are learnt from
		s.step(job(id+1, int(id%3)))
		for _, a := range taken[Send](s) {
			span := time.Duration(15+a.Job*7%40) * ms * time.Duration(1+a.Worker>>40%3)
			number := s.jobs[a.Job].tries - 1
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
	s.step(WorkerList{Kind: ListDelta, Revision: 43, Workers: []Worker{{ID: 9 << 40, Kind: 1, Ready: true, Zone: 1, Cell: 4, Size: 4,
		BootAt: s.now - 100*ms}}})
	for ; id < 150; id++ { // of these some start, and nothing ends
		s.step(job(id+1, int(id%3)))
		for i, a := range taken[Send](s) {
			if (int(a.Job)+i)%3 > 0 {
				s.after(2*ms, Started{Job: a.Job, Attempt: s.jobs[a.Job].tries - 1, Worker: a.Worker})
			}
		}
		s.wait(2 * ms)
	}
	large := job(200, 0)
	large.Slots = 6
	s.step(large)
	s.wait(130 * ms)
	s.step(ClientDisconnected{Job: 125}, JobResumed{Job: job(500, 0), Age: 20 * ms, QuotaCharged: true,
		Attempts: []PastAttempt{{Worker: 1 << 40, SentAgo: 15 * ms, Ended: true, Result: ConnectionReset}, {Worker: 2 << 40, SentAgo: 10 * ms, StartedAgo: 8 * ms}}})
	return s
}

// A dispatcher that was led to the same state writes the bytes that the build before has written. The state follows from
// figures in floating point, so this holds on the architecture that the service runs on.
func TestGoldenSnapshotIsWritten(t *testing.T) {
	s := goldenScene(t)
	storedform.CheckGolden(t, goldenSnapshot, s.d.Snapshot(nil))
	storedform.CheckGolden(t, goldenLesson, s.d.ModelSnapshot(4000, nil))
}

// A snapshot of a build before is read, bit by bit, and what is restored goes on from it.
func TestGoldenSnapshotIsRead(t *testing.T) {
	state := storedform.Golden(t, goldenSnapshot)
	d, err := Restore(goldenSettings(), state)
	if err != nil {
		t.Fatal(err)
	}
	if again := d.Snapshot(nil); !bytes.Equal(again, state) {
		t.Error("restored, it has another snapshot")
	}
	if len(d.jobs) != 68 || d.queue.length != 59 || len(d.workers) != 9 || len(d.keyWork) != 4 || d.now != time.Hour+1270*ms {
		t.Errorf("%d jobs, %d held, %d workers, %d keys, at %v", len(d.jobs), d.queue.length, len(d.workers), len(d.keyWork), d.now)
	}
	if d.sharing != (ReplicasChanged{Replicas: 3, ReplicaIndex: 1, QuotaShare: 0.4}) || len(d.cordoned) != 1 || d.cordoned[3<<40] != time.Hour {
		t.Errorf("shared by %+v, out by hand %v", d.sharing, d.cordoned)
	}
	if d.reserved == nil || d.reserved.ID != 1<<40 || d.reservedFor.ID != 11 || d.reservedFor.Slots != 2 {
		t.Errorf("kept %+v for %+v", d.reserved, d.reservedFor)
	}
	started, unstarted, ended := 0, 0, 0
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
	if started != 5 || unstarted != 4 || ended != 5 {
		t.Errorf("%d attempts have started, %d have not, %d have ended", started, unstarted, ended)
	}
	if j := d.jobs[500]; j == nil || len(j.attempts) != 2 || j.attempts[0].result != ConnectionReset || j.attempts[1].worker.ID != 2<<40 ||
		!j.attempts[1].started || j.arrivedAt != d.now-20*ms {
		t.Errorf("job 500: %+v", j)
	}
	for i, want := range []struct {
		ready, resting       bool
		room, used, seen, of float64
		out, cold            int
	}{{ready: true, resting: true, room: 2, seen: 12, of: 2}, {ready: true, room: 5.5, used: 6.5, seen: 15, of: 3, out: 4}, {room: 1, of: 4},
		{ready: true, resting: true, room: 2, seen: 8, of: 2}, {ready: true, room: 5, used: 4.5, seen: 9, of: 3, out: 3},
		{ready: true, room: 4, used: 3, seen: 24, of: 4, out: 2}, {room: 1, of: 2}, {ready: true, room: 5.5, of: 3, cold: 4},
		{ready: true, room: 1, of: 4}} {
		w := d.workers[uint64(i+1)<<40]
		if w == nil || w.Ready != want.ready || (w.backoffUntil > d.now) != want.resting || w.limit != want.room || w.usedSlots != want.used ||
			w.runs != want.seen || w.Size != want.of || len(w.inFlight) != want.out || len(w.warmUpSpends) != want.cold {
			t.Errorf("worker %d: %+v", i+1, w)
		}
	}
	storedform.CheckGolden(t, goldenLesson, d.ModelSnapshot(4000, nil))
	acts := d.Step(d.now+ms, []Event{Outcome{Job: 121, Worker: 6 << 40, Result: OK, Closed: true}}, nil)
	if want := []Action{Send{Job: 144, Worker: 6 << 40}, Send{Job: 124, Worker: 6 << 40}}; !slices.Equal(acts, want) {
		t.Errorf("it goes on with %+v, expected %+v", acts, want)
	}
}

// A lesson of a build before teaches what that one had learnt.
func TestGoldenLessonIsRead(t *testing.T) {
	teacher, err := Restore(goldenSettings(), storedform.Golden(t, goldenSnapshot))
	if err != nil {
		t.Fatal(err)
	}
	list := WorkerList{Kind: ListFull}
	for id := range uint64(9) {
		list.Workers = append(list.Workers, Worker{ID: (id + 1) << 40, Kind: int(id % 2), Ready: true})
	}
	d := New(goldenSettings(), 1)
	d.Step(time.Hour, []Event{list}, nil)
	d.Step(time.Hour, []Event{ModelUpdate{Snapshot: storedform.Golden(t, goldenLesson), LoadShare: 1}}, nil)
	j := &jobInfo{Job: Job{Slots: 1, Hint: 100 * ms}, class: &d.settings.Classes[0]}
	if got, want := d.expectedWork(j), teacher.expectedWork(j); got != want || got == New(goldenSettings(), 1).expectedWork(j) {
		t.Errorf("it expects %v, the teacher %v", got, want)
	}
	if *d.kinds[0] != *teacher.kinds[0] || *d.kinds[1] != *teacher.kinds[1] || d.kinds[1].runs != 47 || d.kinds[1].maxSlots != 5 {
		t.Errorf("kinds %+v, %+v", d.kinds[0], d.kinds[1])
	}
	for _, want := range []struct {
		worker     uint64
		seen, room float64
	}{{1, 3, 2}, {2, 3, 5}, {3, 0, 1}, {4, 3, 2}, {5, 3, 5}, {6, 3, 4}, {7, 0, 1}, {8, 0, 5}} {
		w := d.workers[want.worker<<40]
		if off := math.Abs(w.logSpeed - teacher.workers[w.ID].logSpeed); want.seen > 0 && off > 1.0/speedSteps || w.runs != want.seen || w.limit != want.room {
			t.Errorf("worker %d: speed off by %v, seen %v, room %v", want.worker, off, w.runs, w.limit)
		}
	}
}

// Jobs and workers stand in captures, and jobs in what is handed over, under the names in their tags.
func TestStoredTypesAreTagged(t *testing.T) { storedform.CheckTags(t, Job{}, Worker{}) }
