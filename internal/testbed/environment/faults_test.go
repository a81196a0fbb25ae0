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

// However faults overlap, once the last of them is over all is as it was before the first.
func FuzzFaults(f *testing.F) { modeltest.Fuzz(f, runFaults) }

func runFaults(s *modeltest.Steps) {
	spec := quiet(6, 2)
	spec.Name, spec.Discovery.Capacity = "faults", 100
	spec.Planners.Count, spec.Drivers = 2, []string{scenario.DriverSimulation}
	last := time.Duration(0)
	for s.More() && len(spec.Faults) < 30 {
		x, ok := drawFault(s)
		if !ok {
			continue
		}
		spec.Faults = append(spec.Faults, x)
		last = max(last, (x.At + x.Duration).Std())
	}
	f := newFaultHarness(s.T, spec, uint64(s.Pick(4)))
	f.run(500 * time.Millisecond)
	before := f.state()
	f.run(last + 60*time.Second) // drains, notices, lists and restarts take their time
	if after := f.state(); !reflect.DeepEqual(before, after) {
		s.Check(false, "%+v\nwas before\n%+v\nfaults: %s", after, before, scenario.Encode(spec))
	}
	f.checkEnds(s)
	f.checkWorkerEnds(s)
}

// drawFault draws a fault that leaves nothing behind once it is over. Not ok: its kind does.
func drawFault(s *modeltest.Steps) (x scenario.Fault, ok bool) {
	kinds := slices.Sorted(maps.Keys(scenario.FaultKinds))
	x = scenario.Fault{Kind: kinds[s.Pick(len(kinds))], At: scenario.Duration(4+s.Pick(60)) * scenario.Duration(time.Second) / 4}
	x.Duration = scenario.Duration(1+s.Pick(40)) * scenario.Duration(time.Second) / 8
	switch scenario.FaultKinds[x.Kind] {
	case "net":
		x.Between, x.And = "schedulers", []string{"nodes", "clients", "discovery"}[s.Pick(3)]
		if x.And == "discovery" && x.Kind == "drop_idle" {
			x.And = "nodes"
		}
	case "node", "planner":
		x.Target.Share = float64(s.Pick(10)) / 10
	case "planners":
		x.Between, x.And = "planners", []string{"schedulers", "planners", "discovery"}[s.Pick(3)]
	}
	switch x.Kind {
	case "drain", "gone", "early_202_crash", "sched_term", "planner_term":
		return x, false // they change the fleet for good, or end when something else happens
	case "handback", "sched_reload", "sched_replace", "disco_moves", "planner_start", "planner_drop":
		x.Duration = 0
	case "planner_slow", "slow", "disco_slow", "burst", "storm", "half_open", "disco_late", "delay", "drop_idle":
		x.Size = float64(2 + s.Pick(4))
	case "errors":
		x.Size = 0.5
	case "reset_at":
		x.Size = float64(1 + s.Pick(99))
	}
	return x, true
}

// checkEnds checks that each fault that began has ended, once.
func (f *faultHarness) checkEnds(s *modeltest.Steps) {
	on, off := map[string]int{}, map[string]int{}
	for _, x := range f.all(0, trace.FaultStarted) {
		on[x.Text]++
	}
	for _, x := range f.all(0, trace.FaultEnded) {
		off[x.Text]++
		s.Check(off[x.Text] <= on[x.Text], "%q ends %d times", x.Text, off[x.Text])
	}
	s.Check(maps.Equal(on, off), "began: %v, ended: %v, of %s", on, off, scenario.Encode(f.spec))
}

// checkWorkerEnds checks the same of each worker that a fault struck.
func (f *faultHarness) checkWorkerEnds(s *modeltest.Steps) {
	holds := map[string]int{} // by worker and what strikes it
	for _, x := range f.events {
		switch at := x.Text + " w-" + strconv.Itoa(x.Worker); x.Kind {
		case trace.WorkerFaultStarted:
			holds[at]++
		case trace.WorkerFaultEnded:
			holds[at]--
			s.Check(holds[at] >= 0, "%s is spared too often", at)
		}
	}
	for at, n := range holds {
		s.Check(n == 0, "%s still strikes", at)
	}
}

// state is what faults may change, but for what they leave behind by their nature: new processes and machines.
func (f *faultHarness) state() (all []any) {
	for i, n := range f.w.workers {
		t := f.w.WorkerState(i)
		t.Speed = math.Round(1000 * t.Speed / n.machine.coreSpeed)
		all = append(all, t, n.machine.slowFactor, n.machine.errorRate, n.machine.refusesConns, n.machine.acceptsSilently, n.machine.slowReads, n.machine.resetBytes, n.process.hanging, n.process.rejectsAll, n.process.silencesCallbacks, n.process.state)
	}
	for _, s := range f.w.schedulers {
		all = append(all, s.alive, s.ready, s.frozen, s.terminated, f.w.balancer.admitted[s.number])
	}
	d := f.w.discovery
	return append(all, len(f.w.network.partitions), len(f.w.network.delays), len(f.w.network.idleDrops), d.outages, d.staleAnswers, d.noticeDelay, len(d.slowFactors),
		slices.Clone(d.wrongEntries), slices.Clone(d.cutCounts), len(d.heldEvents), len(f.w.clients.retryFactors))
}

// Targets are all that match what is named, less all but a share; the seed says which, and nothing else does.
func TestTargets(t *testing.T) {
	spec := quiet(40, 3)
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
	struck := func(seed uint64, less int) (all [][]int) {
		short := spec.Clone()
		short.Faults = short.Faults[:len(short.Faults)-less]
		f := newFaultTimeline(newFaultHarness(t, short, seed).w)
		for i := range short.Faults {
			x := &activeFault{Fault: &short.Faults[i], timeline: f}
			x.chooseTargets(i)
			all = append(all, append(x.workers, x.schedulers...))
		}
		return all
	}
	one, other := struck(1, 0), struck(2, 0)
	if !slices.Equal(one[0], []int{3, 12}) || len(one[1]) != 4 || len(one[2]) != 20 || len(one[3]) != 8 ||
		!slices.IsSorted(one[3]) || !slices.Equal(one[5], []int{5}) || len(one[6]) != 2 {
		t.Errorf("struck: %v", one)
	}
	for _, n := range one[1] {
		if n%2 == 0 {
			t.Errorf("w-%d is not in zone b", n)
		}
	}
	if slices.Equal(one[3], one[4]) || slices.Equal(one[3], other[3]) {
		t.Errorf("the same is drawn for two faults, or by two seeds: %v, %v, %v", one[3], one[4], other[3])
	}
	if again := struck(1, 2); !reflect.DeepEqual(again, one[:5]) {
		t.Errorf("fewer faults draw %v, and were %v", again, one)
	}
}

// Faults that overlap on a worker add up, and each takes away what it added.
func TestOverlap(t *testing.T) {
	s := scenario.Duration(time.Second)
	spec := quiet(1, 1)
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
	n := f.w.workers[0]
	for _, want := range [][]any{
		{1.0, -1.0, 0, false},
		{2.0, 0.7, 9, true},
		{6.0, 0.7, -5, true},
		{3.0, 0.2, 9, true},
		{1.0, -1.0, 0, false},
	} {
		f.run(time.Second)
		if got := []any{n.machine.slowFactor, n.machine.errorRate, n.machine.resetBytes, n.machine.refusesConns}; !slices.Equal(got, want) {
			t.Errorf("at %v it is %v, and should be %v", f.w.now, got, want)
		}
		f.run(time.Second)
	}
}

// Workers are struck in turn, for as long each, and the fault is over with the last of them.
func TestSpread(t *testing.T) {
	s := scenario.Duration(time.Second)
	spec := quiet(4, 1)
	spec.Name = "spread"
	spec.Faults = []scenario.Fault{
		{Kind: "hang", At: 2 * s, Duration: 3 * s, Spread: 8 * s},
		{Kind: "crash", At: 20 * s, Duration: 2 * s, Target: scenario.Target{Names: []string{"w-1"}}},
		{Kind: "crash", At: 30 * s, Target: scenario.Target{Names: []string{"w-1"}}},
	}
	f := newFaultHarness(t, spec, 1)
	f.run(time.Minute)
	var got []int
	for _, x := range f.all(0, trace.FaultStarted, trace.WorkerHung, trace.WorkerRecovered, trace.WorkerStopped, trace.WorkerStarted, trace.FaultEnded) {
		got = append(got, int(x.At.Seconds()))
	}
	if want := []int{2, 2, 4, 5, 6, 7, 8, 9, 11, 11, 20, 20, 22, 22, 30, 30}; !slices.Equal(got, want) {
		t.Errorf("%v, and should be at %v", got, want)
	}
	for _, x := range f.all(0, trace.FaultStarted)[1:2] {
		if x.Text != "crash: w-1, for 2s" {
			t.Errorf("told as %q", x.Text)
		}
	}
}
