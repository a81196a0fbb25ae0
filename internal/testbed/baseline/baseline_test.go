package baseline

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/environment"
)

// fakeOracle is an Oracle over workers that a test sets: worker n+1 is node n.
type fakeOracle struct {
	truth []environment.View
	work  func(job uint64) float64
}

func (g *fakeOracle) WorkerIndex(worker uint64) (int, bool) {
	return int(worker) - 1, worker <= uint64(len(g.truth))
}
func (g *fakeOracle) View(node int) environment.View          { return g.truth[node] }
func (g *fakeOracle) Work(job uint64) (w, s float64, ok bool) { return g.work(job), 0, true }

func clearView() environment.View {
	return environment.View{WorkerState: environment.WorkerState{Up: true, Cores: 4, Speed: 1, Slots: 4, Free: 4}, Reachable: true, Connectable: true}
}

func newFakeOracle(nodes int) *fakeOracle {
	g := &fakeOracle{work: func(uint64) float64 { return 0.1 }}
	for range nodes {
		g.truth = append(g.truth, clearView())
	}
	return g
}

var plain = dispatch.Settings{
	Replicas: 1, AttemptLimit: 4, Hedging: true, WarmUp: 10 * time.Second, WarmUpCapacity: 0.25,
	MaxRetryAfter: time.Second, Classes: []dispatch.Class{{LatencyObjective: time.Second, ClientTimeout: 5 * time.Second, Idempotency: dispatch.Idempotent}},
}

func listOf(n int) dispatch.WorkerList {
	l := dispatch.WorkerList{Kind: dispatch.ListFull}
	for i := range n {
		l.Workers = append(l.Workers, dispatch.Worker{ID: uint64(i + 1), Ready: true, Cell: i / 4, Kind: i % 2, Zone: i % 2})
	}
	return l
}

func jobs(from, n int) (all []dispatch.Event) {
	for i := range n {
		all = append(all, dispatch.Job{ID: uint64(from + i), Remaining: 5 * time.Second, Slots: 1})
	}
	return all
}

// sends is where a step sent what.
func sends(actions []dispatch.Action) (all []dispatch.Send) {
	for _, a := range actions {
		if s, ok := a.(dispatch.Send); ok {
			all = append(all, s)
		}
	}
	return all
}

func module(t *testing.T, name string, set dispatch.Settings, o Oracle) requests.Policy {
	t.Helper()
	p, ok := Find(name)
	if !ok {
		t.Fatalf("no yardstick %s", name)
	}
	return p.ForRun()(set, 1, o)
}

func TestChoices(t *testing.T) {
	const nodes, each = 8, 50
	for _, c := range []struct {
		name        string
		least, most int // jobs at one of the nodes
	}{
		{"random", 25, 80},
		{"round-robin", each, each},
		{"two-choices", each - 4, each + 4},
		{"least-outstanding", each, each},
	} {
		m, at := module(t, c.name, plain, nil), map[uint64]int{}
		m.Step(1, []dispatch.Event{listOf(nodes)}, nil)
		for _, s := range sends(m.Step(2, jobs(1, nodes*each), nil)) {
			at[s.Worker]++
		}
		for w := range uint64(nodes) {
			if at[w+1] < c.least || at[w+1] > c.most {
				t.Errorf("%s: %d jobs at worker %d, expected %d to %d", c.name, at[w+1], w+1, c.least, c.most)
			}
		}
	}
}

// A cold worker gets less, and one that has ended its jobs is the next of the least outstanding.
func TestColdAndIdleWorkers(t *testing.T) {
	m := module(t, "random", plain, nil)
	list := listOf(2)
	list.Workers[0].BootAt = time.Second
	m.Step(time.Second, []dispatch.Event{list}, nil)
	cold := 0
	for _, s := range sends(m.Step(time.Second+1, jobs(1, 1000), nil)) {
		if s.Worker == 1 {
			cold++
		}
	}
	if cold < 120 || cold > 280 { // a quarter as likely: 200 of 1,000
		t.Errorf("%d of 1000 jobs at a worker with a quarter of its capacity", cold)
	}
	m = module(t, "least-outstanding", plain, nil)
	m.Step(1, []dispatch.Event{listOf(3)}, nil)
	first := sends(m.Step(2, jobs(1, 3), nil))[1]
	m.Step(3, []dispatch.Event{dispatch.Outcome{Job: first.Job, Worker: first.Worker, Closed: true}}, nil)
	if next := sends(m.Step(4, jobs(4, 1), nil)); next[0].Worker != first.Worker {
		t.Errorf("sent to %d, though %d has nothing out", next[0].Worker, first.Worker)
	}
}

func TestAllSeeing(t *testing.T) {
	g := newFakeOracle(3)
	g.truth[0].Up = false
	g.truth[1].Queued = 1
	g.work = func(job uint64) float64 { return 1 / float64(job) } // a later one can wait longer
	maker := All()[4].ForRun()
	a, b := maker(plain, 1, g), maker(plain, 2, g)
	a.Step(1, []dispatch.Event{listOf(3)}, nil)
	b.Step(1, []dispatch.Event{listOf(3)}, nil)
	// Four slots are free at one node, so the four that can wait least go there; the next are held.
	got := sends(a.Step(2, jobs(2, 6), nil))
	if len(got) != 4 || slices.ContainsFunc(got, func(s dispatch.Send) bool { return s.Worker != 3 }) ||
		got[0].Job != 2 || got[3].Job != 5 {
		t.Fatalf("sent %+v", got)
	}
	// What is on its way counts, whoever sent it; and goes on counting until it has begun.
	if other := sends(b.Step(3, jobs(8, 1), nil)); len(other) > 0 {
		t.Errorf("another scheduler sent %+v", other)
	}
	g.truth[2].Free = 0
	for _, s := range got {
		a.Step(4, []dispatch.Event{dispatch.Started{Job: s.Job, Worker: s.Worker}}, nil)
	}
	g.truth[2].Free = 1
	later := 3*time.Millisecond + 5
	if next := sends(a.Step(later, []dispatch.Event{dispatch.TimerFired{}}, nil)); len(next) != 1 || next[0].Job != 6 {
		t.Errorf("with one slot free: %+v", next)
	}
	// Job 7 has a seventh of a second of work, and a second from its arrival: then it is refused.
	g.truth[2].Free = 0
	acts := a.Step(900*time.Millisecond, []dispatch.Event{dispatch.TimerFired{}}, nil)
	if !slices.ContainsFunc(acts, func(a dispatch.Action) bool { r, ok := a.(dispatch.Reject); return ok && r.Job == 7 }) {
		t.Errorf("a job that can't be in time is held on: %v", acts)
	}
}

// One large job among many small ones has a worker kept free for it.
func TestAllSeeingKeepsRoom(t *testing.T) {
	g := newFakeOracle(2)
	g.truth[0].Free, g.truth[0].BacklogSeconds, g.truth[1].Free, g.truth[1].BacklogSeconds = 2, 0.1, 1, 0.3
	m := module(t, "all-seeing", plain, g)
	m.Step(1, []dispatch.Event{listOf(2)}, nil)
	m.Step(2, []dispatch.Event{dispatch.Job{ID: 1, Remaining: 5 * time.Second, Slots: 3}}, nil)
	now := 850 * time.Millisecond // most of its slack is gone
	m.Step(now, []dispatch.Event{dispatch.TimerFired{}}, nil)
	small := sends(m.Step(now+5*time.Millisecond, jobs(2, 2), nil))
	if len(small) != 1 || small[0].Worker != 2 {
		t.Errorf("small jobs went to %+v", small)
	}
	g.truth[0].Free = 3
	got := sends(m.Step(now+10*time.Millisecond, []dispatch.Event{dispatch.TimerFired{}}, nil))
	if len(got) != 1 || got[0].Job != 1 {
		t.Errorf("with room for the large one: %+v", got)
	}
}

// A job at a worker that has stopped answering goes elsewhere too, if it may run twice.
func TestAllSeeingRescues(t *testing.T) {
	for effect, want := range map[dispatch.Idempotency]int{dispatch.Idempotent: 1, dispatch.NonIdempotent: 0} {
		g, set := newFakeOracle(2), plain
		set.Classes = []dispatch.Class{{LatencyObjective: time.Second, ClientTimeout: 5 * time.Second, Idempotency: effect}}
		m := module(t, "all-seeing", set, g)
		m.Step(1, []dispatch.Event{listOf(2)}, nil)
		first := sends(m.Step(2, jobs(1, 1), nil))[0]
		g.truth[first.Worker-1].Up = false
		again := sends(m.Step(100*time.Millisecond, []dispatch.Event{dispatch.TimerFired{}}, nil))
		if len(again) != want || want == 1 && again[0].Worker == first.Worker {
			t.Errorf("effect %d: sent %+v after %+v", effect, again, first)
		}
	}
}

// ---- The rules, for all of them, against random events ----

type ruledJob struct {
	dispatch.Job
	deadline time.Duration
	ended    bool
	attempts []ruledAttempt
}

type ruledAttempt struct {
	w      dispatch.Worker
	sent   time.Duration
	ended  bool
	result dispatch.Result
}

func (x ruledAttempt) risky() bool {
	return !x.ended || x.result != dispatch.WorkerFull && x.result != dispatch.ConnectFailed && x.result != dispatch.NotSent
}

func TestRules(t *testing.T) {
	for _, p := range All() {
		for seed := range uint64(60) {
			checkRules(t, p, seed)
		}
	}
}

// referee holds a policy to the rules against random events.
type referee struct {
	t        *testing.T
	policy   Policy
	seed     uint64
	settings dispatch.Settings
	module   requests.Policy
	now      time.Duration
	jobs     map[uint64]*ruledJob
	ids      []uint64
	ready    map[uint64]dispatch.Worker
	list     dispatch.WorkerList
}

func (r *referee) fail(format string, args ...any) {
	r.t.Helper()
	r.t.Fatalf("%s, seed %d, at %v: "+format, append([]any{r.policy.Name, r.seed, r.now}, args...)...)
}

// step has the policy handle events, and checks what it does.
func (r *referee) step(events ...dispatch.Event) {
	r.t.Helper()
	for _, action := range r.module.Step(r.now, events, nil) {
		r.check(action)
	}
	for _, id := range r.ids {
		if j := r.jobs[id]; !j.ended && r.now >= j.deadline {
			r.fail("job %d is open at its deadline", id)
		}
	}
}

func (r *referee) check(action dispatch.Action) {
	r.t.Helper()
	switch a := action.(type) {
	case dispatch.Send:
		r.checkSend(r.jobs[a.Job], r.ready[a.Worker])
	case dispatch.Reject:
		j := r.jobs[a.Job]
		c := r.settings.Classes[j.Class]
		if j.ended || c.Idempotency != dispatch.Idempotent && (c.Idempotency != dispatch.IdempotentWithKey || c.DeduplicationScope != dispatch.ScopeAll) &&
			slices.ContainsFunc(j.attempts, ruledAttempt.risky) {
			r.fail("job %+v refused", j)
		}
		j.ended = true
	case dispatch.Fail:
		if r.jobs[a.Job].ended {
			r.fail("job %d answered twice", a.Job)
		}
		r.jobs[a.Job].ended = true
	case dispatch.SetTimer:
		if a.After <= 0 {
			r.fail("timer of %v", a.After)
		}
	}
}

func (r *referee) checkSend(j *ruledJob, w dispatch.Worker) {
	r.t.Helper()
	if j.ended || w.ID == 0 || len(j.attempts) >= r.settings.AttemptLimit || r.now >= j.deadline {
		r.fail("job %+v sent to worker %+v", j, w)
	}
	c := r.settings.Classes[j.Class]
	if c.Kinds != nil && !slices.Contains(c.Kinds, w.Kind) {
		r.fail("a job sent to a kind that its class may not go to")
	}
	for _, x := range j.attempts {
		if !x.ended && (!r.settings.Hedging || x.w.ID == w.ID) {
			r.fail("a second copy")
		}
		if x.risky() && !r.mayRepeat(&c, x, w) {
			r.fail("class %d sent again though it may have run", j.Class)
		}
	}
	j.attempts = append(j.attempts, ruledAttempt{w: w, sent: r.now})
}

// mayRepeat reports whether a job may go to a worker after an attempt that may have run.
func (r *referee) mayRepeat(c *dispatch.Class, x ruledAttempt, w dispatch.Worker) bool {
	same := c.DeduplicationScope == dispatch.ScopeAll || c.DeduplicationScope == dispatch.ScopeZone && x.w.Zone == w.Zone ||
		c.DeduplicationScope == dispatch.ScopeCell && x.w.Cell == w.Cell
	return c.Idempotency == dispatch.Idempotent ||
		c.Idempotency == dispatch.IdempotentWithKey && same && r.now-x.sent <= c.DeduplicationWindow
}

// setReady changes whether a worker of the list is ready; the policy is told of it with the list.
func (r *referee) setReady(n int, ready bool) {
	r.list.Workers[n].Ready = ready
	if delete(r.ready, uint64(n+1)); ready {
		r.ready[uint64(n+1)] = r.list.Workers[n]
	}
}

// ruledSettings are the settings of a seed: a class of each idempotency.
func ruledSettings(seed uint64) dispatch.Settings {
	set := plain
	set.Hedging, set.MustSubscribe, set.PollInterval = seed%2 == 0, seed%3 == 0, time.Second
	set.Classes = nil
	for _, e := range []dispatch.Idempotency{dispatch.Idempotent, dispatch.IdempotentWithKey, dispatch.NonIdempotent} {
		c := dispatch.Class{
			LatencyObjective: 300 * time.Millisecond, ObjectiveStretch: 1, ClientTimeout: 2 * time.Second, Idempotency: e,
			DeduplicationScope: dispatch.DeduplicationScope(seed % 3), DeduplicationWindow: time.Second,
		}
		if seed%5 == 0 {
			c.Kinds = []int{0}
		}
		set.Classes = append(set.Classes, c)
	}
	return set
}

func checkRules(t *testing.T, p Policy, seed uint64) {
	t.Helper()
	const nodes = 6
	rng, g := rand.New(rand.NewPCG(seed, 9)), newFakeOracle(nodes)
	r := &referee{
		t: t, policy: p, seed: seed, settings: ruledSettings(seed), now: time.Second, jobs: map[uint64]*ruledJob{},
		ready: map[uint64]dispatch.Worker{}, list: listOf(nodes),
	}
	r.module = p.ForRun()(r.settings, seed, g)
	for n := range nodes {
		r.setReady(n, true)
	}
	r.step(r.list)
	for range 400 {
		r.now += time.Duration(rng.IntN(40)) * time.Millisecond
		switch rng.IntN(6) {
		case 0:
			n := rng.IntN(nodes)
			g.truth[n].Up = rng.IntN(4) > 0
			r.setReady(n, rng.IntN(3) > 0)
			r.step(r.list)
		case 1:
			r.step(dispatch.WorkerList{Kind: dispatch.ListUnavailable})
		case 2, 3:
			id := uint64(len(r.ids) + 1)
			j := &ruledJob{Job: dispatch.Job{ID: id, Class: rng.IntN(3), Remaining: 2 * time.Second, Slots: float64(1 + rng.IntN(2))}}
			j.deadline = r.now + j.Remaining
			r.jobs[id], r.ids = j, append(r.ids, id)
			r.step(j.Job)
		default:
			if len(r.ids) == 0 {
				continue
			}
			j := r.jobs[r.ids[max(0, len(r.ids)-1-rng.IntN(12))]]
			i := slices.IndexFunc(j.attempts, func(x ruledAttempt) bool { return !x.ended })
			if i < 0 {
				r.step(dispatch.TimerFired{})
				continue
			}
			x := &j.attempts[i]
			x.ended, x.result = true, dispatch.Result(rng.IntN(int(dispatch.NotSent)+1))
			j.ended = j.ended || x.result == dispatch.OK
			r.step(dispatch.Outcome{Job: j.ID, Attempt: i, Worker: x.w.ID, Result: x.result, Closed: j.ended})
		}
	}
	for range 100 { // all deadlines pass
		r.now += 30 * time.Millisecond
		r.step(dispatch.TimerFired{})
	}
}
