package baseline

import (
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/environment"
)

// fakeOracle is an Oracle whose views of workers a test sets. The worker with ID n+1 has the number n.
type fakeOracle struct {
	views []environment.View
	work  func(job uint64) float64
}

func (f *fakeOracle) WorkerIndex(worker uint64) (int, bool) {
	return int(worker) - 1, worker <= uint64(len(f.views))
}
func (f *fakeOracle) View(node int) environment.View          { return f.views[node] }
func (f *fakeOracle) Work(job uint64) (w, s float64, ok bool) { return f.work(job), 0, true }

func idleView() environment.View {
	return environment.View{WorkerState: environment.WorkerState{Up: true, Cores: 4, Speed: 1, Slots: 4, Free: 4}, Reachable: true, Connectable: true}
}

func newFakeOracle(nodes int) *fakeOracle {
	oracle := &fakeOracle{work: func(uint64) float64 { return 0.1 }}
	for range nodes {
		oracle.views = append(oracle.views, idleView())
	}
	return oracle
}

var testSettings = dispatch.Settings{
	Replicas: 1, AttemptLimit: 4, Hedging: true, WarmUp: 10 * time.Second, WarmUpCapacity: 0.25,
	MaxRetryAfter: time.Second, Classes: []dispatch.Class{{LatencyObjective: time.Second, ClientTimeout: 5 * time.Second, Idempotency: dispatch.Idempotent}},
}

func listOf(count int) dispatch.WorkerList {
	list := dispatch.WorkerList{Kind: dispatch.ListFull}
	for i := range count {
		list.Workers = append(list.Workers, dispatch.Worker{ID: uint64(i + 1), Ready: true, Cell: i / 4, Kind: i % 2, Zone: i % 2})
	}
	return list
}

func jobs(from, count int) (all []dispatch.Event) {
	for i := range count {
		all = append(all, dispatch.Job{ID: uint64(from + i), Remaining: 5 * time.Second, Slots: 1})
	}
	return all
}

// sends returns the Send actions of a step.
func sends(actions []dispatch.Action) (all []dispatch.Send) {
	for _, action := range actions {
		if sent, ok := action.(dispatch.Send); ok {
			all = append(all, sent)
		}
	}
	return all
}

func newPolicy(t *testing.T, name string, settings dispatch.Settings, oracle Oracle) requests.Policy {
	t.Helper()
	policy, ok := Find(name)
	if !ok {
		t.Fatalf("no baseline policy %s", name)
	}
	return policy.ForRun()(settings, 1, oracle)
}

func TestChoices(t *testing.T) {
	const nodes, each = 8, 50
	for _, test := range []struct {
		name        string
		least, most int // jobs at one of the nodes
	}{
		{"random", 25, 80},
		{"round-robin", each, each},
		{"two-choices", each - 4, each + 4},
		{"least-outstanding", each, each},
	} {
		policy := newPolicy(t, test.name, testSettings, nil)
		received := map[uint64]int{}
		policy.Step(1, []dispatch.Event{listOf(nodes)}, nil)
		for _, sent := range sends(policy.Step(2, jobs(1, nodes*each), nil)) {
			received[sent.Worker]++
		}
		for worker := range uint64(nodes) {
			if received[worker+1] < test.least || received[worker+1] > test.most {
				t.Errorf("%s: %d jobs at worker %d, expected %d to %d", test.name, received[worker+1], worker+1, test.least, test.most)
			}
		}
	}
}

// The random policy sends a worker that is warming up fewer jobs. Least outstanding selects a worker whose job has ended.
func TestWarmingUpAndIdleWorkers(t *testing.T) {
	policy := newPolicy(t, "random", testSettings, nil)
	list := listOf(2)
	list.Workers[0].BootAt = time.Second
	policy.Step(time.Second, []dispatch.Event{list}, nil)
	cold := 0
	for _, sent := range sends(policy.Step(time.Second+1, jobs(1, 1000), nil)) {
		if sent.Worker == 1 {
			cold++
		}
	}
	if cold < 120 || cold > 280 { // a quarter of the probability: 200 of 1,000 expected
		t.Errorf("%d of 1000 jobs at a worker with a quarter of its capacity, want 120 to 280", cold)
	}
	policy = newPolicy(t, "least-outstanding", testSettings, nil)
	policy.Step(1, []dispatch.Event{listOf(3)}, nil)
	first := sends(policy.Step(2, jobs(1, 3), nil))[1]
	policy.Step(3, []dispatch.Event{dispatch.Outcome{Job: first.Job, Worker: first.Worker, Closed: true}}, nil)
	if next := sends(policy.Step(4, jobs(4, 1), nil)); next[0].Worker != first.Worker {
		t.Errorf("sent to worker %d, though worker %d has nothing in flight", next[0].Worker, first.Worker)
	}
}

func TestAllSeeingSendsStartableJobs(t *testing.T) {
	oracle := newFakeOracle(3)
	oracle.views[0].Up = false
	oracle.views[1].Queued = 1
	oracle.work = func(job uint64) float64 { return 1 / float64(job) } // a later job has less work, so that it can wait longer
	factory := All()[4].ForRun()
	first := factory(testSettings, 1, oracle)
	second := factory(testSettings, 2, oracle)
	first.Step(1, []dispatch.Event{listOf(3)}, nil)
	second.Step(1, []dispatch.Event{listOf(3)}, nil)
	// Only worker 3 has free slots, four: it gets the four jobs that can wait least, and the others are queued.
	got := sends(first.Step(2, jobs(2, 6), nil))
	if len(got) != 4 || slices.ContainsFunc(got, func(s dispatch.Send) bool { return s.Worker != 3 }) ||
		got[0].Job != 2 || got[3].Job != 5 {
		t.Fatalf("sent %+v, want jobs 2 to 5, all to worker 3", got)
	}
	// Attempts that have not started count as using their slots for all schedulers, whichever sent them.
	if other := sends(second.Step(3, jobs(8, 1), nil)); len(other) > 0 {
		t.Errorf("another scheduler sent %+v to slots that are taken", other)
	}
	oracle.views[2].Free = 0
	for _, s := range got {
		first.Step(4, []dispatch.Event{dispatch.Started{Job: s.Job, Worker: s.Worker}}, nil)
	}
	oracle.views[2].Free = 1
	later := 3*time.Millisecond + 5
	if next := sends(first.Step(later, []dispatch.Event{dispatch.TimerFired{}}, nil)); len(next) != 1 || next[0].Job != 6 {
		t.Errorf("with one slot free: sent %+v, want job 6", next)
	}
	// Job 7 has 1/7 s of work and an objective of 1 s from its arrival: after 900 ms it can't meet that, and is rejected.
	oracle.views[2].Free = 0
	acts := first.Step(900*time.Millisecond, []dispatch.Event{dispatch.TimerFired{}}, nil)
	if !slices.ContainsFunc(acts, func(first dispatch.Action) bool { r, ok := first.(dispatch.Reject); return ok && r.Job == 7 }) {
		t.Errorf("a job that can't meet its objective is not rejected: %v", acts)
	}
}

// A worker is reserved for a large job, so that small jobs do not take each slot that becomes free.
func TestAllSeeingReservesWorkerForLargeJob(t *testing.T) {
	oracle := newFakeOracle(2)
	oracle.views[0].Free = 2
	oracle.views[0].BacklogSeconds = 0.1
	oracle.views[1].Free = 1
	oracle.views[1].BacklogSeconds = 0.3
	policy := newPolicy(t, "all-seeing", testSettings, oracle)
	policy.Step(1, []dispatch.Event{listOf(2)}, nil)
	policy.Step(2, []dispatch.Event{dispatch.Job{ID: 1, Remaining: 5 * time.Second, Slots: 3}}, nil)
	now := 850 * time.Millisecond // little of its slack is left
	policy.Step(now, []dispatch.Event{dispatch.TimerFired{}}, nil)
	small := sends(policy.Step(now+5*time.Millisecond, jobs(2, 2), nil))
	if len(small) != 1 || small[0].Worker != 2 {
		t.Errorf("small jobs: sent %+v, want one, to worker 2", small)
	}
	oracle.views[0].Free = 3
	got := sends(policy.Step(now+10*time.Millisecond, []dispatch.Event{dispatch.TimerFired{}}, nil))
	if len(got) != 1 || got[0].Job != 1 {
		t.Errorf("with free slots for the large job: sent %+v", got)
	}
}

// A job at a worker that has become unreachable is also sent to another worker, if it may be executed twice.
func TestAllSeeingHedgesAtUnreachableWorker(t *testing.T) {
	for idempotency, want := range map[dispatch.Idempotency]int{dispatch.Idempotent: 1, dispatch.NonIdempotent: 0} {
		oracle := newFakeOracle(2)
		settings := testSettings
		settings.Classes = []dispatch.Class{{LatencyObjective: time.Second, ClientTimeout: 5 * time.Second, Idempotency: idempotency}}
		policy := newPolicy(t, "all-seeing", settings, oracle)
		policy.Step(1, []dispatch.Event{listOf(2)}, nil)
		first := sends(policy.Step(2, jobs(1, 1), nil))[0]
		oracle.views[first.Worker-1].Up = false
		again := sends(policy.Step(100*time.Millisecond, []dispatch.Event{dispatch.TimerFired{}}, nil))
		if len(again) != want || want == 1 && again[0].Worker == first.Worker {
			t.Errorf("idempotency %d: sent %+v after %+v", idempotency, again, first)
		}
	}
}
