package environment

import (
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/internal/modeltest"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// However faults overlap, the state after the last has ended is the state before the first.
func FuzzFaults(f *testing.F) { modeltest.Fuzz(f, runFaults) }

func runFaults(s *modeltest.Steps) {
	spec := idleScenario(6, 2)
	spec.Name, spec.Discovery.Capacity = "faults", 100
	spec.Planners.Count, spec.Drivers = 2, []string{scenario.DriverSimulation}
	last := time.Duration(0)
	for s.More() && len(spec.Faults) < 30 {
		fault, ok := drawFault(s)
		if !ok {
			continue
		}
		spec.Faults = append(spec.Faults, fault)
		last = max(last, (fault.At + fault.Duration).Std())
	}
	f := newFaultHarness(s.T, spec, uint64(s.Pick(4)))
	f.runFor(500 * time.Millisecond)
	before := f.faultableState()
	f.runFor(last + 60*time.Second) // time for drains, notices, lists and restarts
	if after := f.faultableState(); !reflect.DeepEqual(before, after) {
		s.Check(false, "%+v\nwas before\n%+v\nfaults: %s", after, before, scenario.Encode(spec))
	}
	f.checkEnds(s)
	f.checkWorkerEnds(s)
}

// drawFault draws a fault that leaves no effect once it has ended; not ok: its kind does.
func drawFault(s *modeltest.Steps) (fault scenario.Fault, ok bool) {
	kinds := slices.Sorted(maps.Keys(scenario.FaultKinds))
	fault = scenario.Fault{Kind: kinds[s.Pick(len(kinds))], At: scenario.Duration(4+s.Pick(60)) * scenario.Duration(time.Second) / 4}
	fault.Duration = scenario.Duration(1+s.Pick(40)) * scenario.Duration(time.Second) / 8
	switch scenario.FaultKinds[fault.Kind] {
	case "net":
		fault.Between, fault.And = "schedulers", []string{"nodes", "clients", "discovery"}[s.Pick(3)]
		if fault.And == "discovery" && fault.Kind == "drop_idle" {
			fault.And = "nodes"
		}
	case "node", "planner":
		fault.Target.Share = float64(s.Pick(10)) / 10
	case "planners":
		fault.Between, fault.And = "planners", []string{"schedulers", "planners", "discovery"}[s.Pick(3)]
	}
	switch fault.Kind {
	case "drain", "gone", "early_202_crash", "sched_term", "planner_term":
		return fault, false // they change the fleet for good, or end at another event
	case "handback", "sched_reload", "sched_replace", "disco_moves", "planner_start", "planner_drop":
		fault.Duration = 0
	case "planner_slow", "slow", "disco_slow", "burst", "storm", "half_open", "disco_late", "delay", "drop_idle":
		fault.Size = float64(2 + s.Pick(4))
	case "errors":
		fault.Size = 0.5
	case "reset_at":
		fault.Size = float64(1 + s.Pick(99))
	}
	return fault, true
}

// checkEnds checks that each fault that has started has ended once.
func (f *faultHarness) checkEnds(s *modeltest.Steps) {
	started, ended := map[string]int{}, map[string]int{}
	for _, event := range f.eventsOfKinds(0, trace.FaultStarted) {
		started[event.Text]++
	}
	for _, event := range f.eventsOfKinds(0, trace.FaultEnded) {
		ended[event.Text]++
		s.Check(ended[event.Text] <= started[event.Text], "%q ends %d times", event.Text, ended[event.Text])
	}
	s.Check(maps.Equal(started, ended), "started: %v, ended: %v, faults: %s", started, ended, scenario.Encode(f.spec))
}

// checkWorkerEnds checks the same for each worker that was a target of a fault.
func (f *faultHarness) checkWorkerEnds(s *modeltest.Steps) {
	active := map[string]int{} // number of active faults, by kind and worker
	for _, event := range f.events {
		switch key := event.Text + " w-" + strconv.Itoa(event.Worker); event.Kind {
		case trace.WorkerFaultStarted:
			active[key]++
		case trace.WorkerFaultEnded:
			active[key]--
			s.Check(active[key] >= 0, "%s ends more often than it starts", key)
		}
	}
	for key, n := range active {
		s.Check(n == 0, "%s has not ended", key)
	}
}

// faultableState returns all state that faults may change, except for new processes and machines, which remain after some
// faults.
func (f *faultHarness) faultableState() (all []any) {
	for i, worker := range f.env.workers {
		state := f.env.WorkerState(i)
		state.Speed = math.Round(1000 * state.Speed / worker.machine.coreSpeed)
		all = append(all, state, worker.machine.slowFactor, worker.machine.errorRate, worker.machine.refusesConns, worker.machine.acceptsSilently, worker.machine.slowReads, worker.machine.resetBytes, worker.process.hanging, worker.process.rejectsAll, worker.process.dropsCallbacks, worker.process.state)
	}
	for _, s := range f.env.schedulers {
		all = append(all, s.alive, s.ready, s.frozen, s.terminated, f.env.balancer.admitted[s.number])
	}
	d := f.env.discovery
	return append(all, len(f.env.network.partitions), len(f.env.network.delays), len(f.env.network.idleDrops), d.outages, d.listFreezes, d.noticeDelay, len(d.slowFactors),
		slices.Clone(d.wronglyListed), slices.Clone(d.isolationCounts), len(d.heldEvents), len(f.env.clients.retryFactors))
}

// The targets of a fault are all workers or schedulers that match its criteria, or a share of them that depends only on the
// seed and the fault's index.
func TestFaultTargets(t *testing.T) {
	spec := idleScenario(40, 3)
	spec.Name, spec.Fleet.Zones = "targets", []string{"a", "b"}
	at := scenario.Duration(time.Second)
	spec.Faults = []scenario.Fault{
		{Kind: "full", At: at, Target: scenario.Target{Names: []string{"w-3", "w-12"}}},
		{Kind: "full", At: at, Target: scenario.Target{Zone: "b", Cells: []int{0, 9}}},
		{Kind: "full", At: at, Target: scenario.Target{Kind: "slow-4c"}},
		{Kind: "full", At: at, Target: scenario.Target{Share: 0.21}},
		{Kind: "full", At: at, Target: scenario.Target{Share: 0.21}},
		{Kind: "full", At: at, Target: scenario.Target{Names: []string{"w-5"}, Share: 0.01}},
		{Kind: "sched_freeze", At: at, Duration: at, Target: scenario.Target{Share: 0.5}},
	}
	targets := func(seed uint64, omitted int) (all [][]int) {
		short := spec.Clone()
		short.Faults = short.Faults[:len(short.Faults)-omitted]
		f := newFaultTimeline(newFaultHarness(t, short, seed).env)
		for i := range short.Faults {
			x := &activeFault{Fault: &short.Faults[i], timeline: f}
			x.chooseTargets(i)
			all = append(all, append(x.workers, x.schedulers...))
		}
		return all
	}
	one, other := targets(1, 0), targets(2, 0)
	if !slices.Equal(one[0], []int{3, 12}) || len(one[1]) != 4 || len(one[2]) != 20 || len(one[3]) != 8 ||
		!slices.IsSorted(one[3]) || !slices.Equal(one[5], []int{5}) || len(one[6]) != 2 {
		t.Errorf("targets: %v", one)
	}
	for _, n := range one[1] {
		if n%2 == 0 {
			t.Errorf("w-%d is not in zone b", n)
		}
	}
	if slices.Equal(one[3], one[4]) || slices.Equal(one[3], other[3]) {
		t.Errorf("two faults or two seeds drew the same targets: %v, %v, %v", one[3], one[4], other[3])
	}
	if again := targets(1, 2); !reflect.DeepEqual(again, one[:5]) {
		t.Errorf("targets with fewer faults: %v, with all: %v", again, one)
	}
}

// Overlapping faults of a worker combine, and the end of each removes only its own effect.
func TestOverlappingFaults(t *testing.T) {
	s := scenario.Duration(time.Second)
	spec := idleScenario(1, 1)
	spec.Name = "overlap"
	spec.Faults = []scenario.Fault{
		{Kind: "slow", At: 2 * s, Duration: 4 * s, Size: 2},
		{Kind: "slow", At: 4 * s, Duration: 4 * s, Size: 3},
		{Kind: "errors", At: 2 * s, Duration: 4 * s, Size: 0.7},
		{Kind: "errors", At: 4 * s, Duration: 4 * s, Size: 0.2},
		{Kind: "reset_at", At: 2 * s, Duration: 6 * s, Size: 9},
		{Kind: "reset_at", At: 4 * s, Duration: 2 * s, Size: -5},
		{Kind: "refuse", At: 2 * s, Duration: 4 * s},
		{Kind: "refuse", At: 4 * s, Duration: 4 * s},
	}
	f := newFaultHarness(t, spec, 1)
	n := f.env.workers[0]
	for _, want := range [][]any{
		{1.0, -1.0, 0, false},
		{2.0, 0.7, 9, true},
		{6.0, 0.7, -5, true},
		{3.0, 0.2, 9, true},
		{1.0, -1.0, 0, false},
	} {
		f.runFor(time.Second)
		if got := []any{n.machine.slowFactor, n.machine.errorRate, n.machine.resetBytes, n.machine.refusesConns}; !slices.Equal(got, want) {
			t.Errorf("at %v: got %v, want %v", f.env.now, got, want)
		}
		f.runFor(time.Second)
	}
}

// A fault with a spread affects its workers one after another, each for its duration, and ends with the last of them.
func TestFaultSpread(t *testing.T) {
	s := scenario.Duration(time.Second)
	spec := idleScenario(4, 1)
	spec.Name = "spread"
	spec.Faults = []scenario.Fault{
		{Kind: "hang", At: 2 * s, Duration: 3 * s, Spread: 8 * s},
		{Kind: "crash", At: 20 * s, Duration: 2 * s, Target: scenario.Target{Names: []string{"w-1"}}},
		{Kind: "crash", At: 30 * s, Target: scenario.Target{Names: []string{"w-1"}}},
	}
	f := newFaultHarness(t, spec, 1)
	f.runFor(time.Minute)
	var got []int
	for _, x := range f.eventsOfKinds(0, trace.FaultStarted, trace.WorkerHung, trace.WorkerRecovered, trace.WorkerStopped, trace.WorkerStarted, trace.FaultEnded) {
		got = append(got, int(x.At.Seconds()))
	}
	if want := []int{2, 2, 4, 5, 6, 7, 8, 9, 11, 11, 20, 20, 22, 22, 30, 30}; !slices.Equal(got, want) {
		t.Errorf("events at seconds %v, want %v", got, want)
	}
	for _, x := range f.eventsOfKinds(0, trace.FaultStarted)[1:2] {
		if x.Text != "crash: w-1, for 2s" {
			t.Errorf("described as %q", x.Text)
		}
	}
}
