package mutation

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/baseline"
	"valvecove/internal/testbed/checker"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/simulation"
	"valvecove/scenarios"
)

// For more runs: go test -run TestUnmodifiedScheduler ./internal/testbed/mutation -args -plays 200 -library 20.
var (
	runCount    = flag.Int("plays", 10, "number of random runs of the unmodified scheduler")
	firstSeed   = flag.Uint64("first", 1, "seed of the first random run")
	libraryRuns = flag.Int("library", 0, "number of runs of each scenario of the library")
)

// regressionSeeds are seeds of runs in which the checker once reported the unmodified scheduler for a fault of the testbed.
var regressionSeeds = []uint64{10833, 11002, 12212}

// runChecked runs a scenario with a mutant, or with the unmodified scheduler if m is nil, and returns the checker's verdict.
func runChecked(t *testing.T, spec *scenario.Scenario, seed uint64, m *Mutant) checker.Verdict {
	t.Helper()
	if err := spec.Check(); err != nil {
		t.Fatal(err)
	}
	invariants := checker.New(spec, checker.Options{})
	options := simulation.Options{}
	options.Observers = append(options.Observers, invariants.Observe)
	if m != nil && m.Wrap != nil {
		options.Wrap = func(s simapi.Scheduler) simapi.Scheduler { return m.Wrap(spec, s) }
	}
	if m != nil && m.Policy != nil {
		options.NewPolicy = func(settings dispatch.Settings, seed uint64, _ baseline.Oracle) requests.Policy {
			return m.Policy(settings, seed)
		}
	}
	if _, err := simulation.Run(spec, seed, options); err != nil {
		t.Fatalf("%s, seed %d: %v", spec.Name, seed, err)
	}
	return invariants.Verdict()
}

// TestMutants checks that the checker reports the rule of each mutant in a run of the mutant's scenario, and reports nothing in
// the same run of the unmodified scheduler.
func TestMutants(t *testing.T) {
	names := map[string]bool{}
	for _, m := range All() {
		if names[m.Name] || !slices.Contains(checker.RuleNames[:], m.Rule) {
			t.Errorf("%s: the name is used twice, or the rule is unknown: %q", m.Name, m.Rule)
		}
		names[m.Name] = true
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			spec := m.Scenario()
			// Three seeds are tried: whether the fault takes effect depends on the scheduler's decisions, which change with its
			// code.
			for seed := uint64(1); ; seed++ {
				for _, violation := range runChecked(t, spec, seed, nil).Violations {
					t.Errorf("the unmodified scheduler: %s", violation)
				}
				v := runChecked(t, spec, seed, &m)
				i := slices.IndexFunc(v.Violations, func(violation checker.Violation) bool { return violation.Rule == m.Rule })
				if i >= 0 {
					t.Logf("found with seed %d\n%s", seed, v.Violations[i])
					return
				}
				if seed == 3 {
					t.Fatalf("found %v, not %s; %+v", v.Violations, m.Rule, v.Counts)
				}
			}
		})
	}
}

// TestUnmodifiedScheduler checks that the checker reports nothing for the unmodified scheduler, in runs with random faults and,
// if asked for, in runs of the library's scenarios.
func TestUnmodifiedScheduler(t *testing.T) {
	check := func(name string, spec *scenario.Scenario, seed uint64) {
		t.Run(name+strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			v := runChecked(t, spec, seed, nil)
			if v.Counts.Served == 0 {
				t.Errorf("nothing was served: %+v", v.Counts)
			}
			for _, violation := range v.Violations {
				t.Errorf("%s\nin\n%s", violation, scenario.Encode(spec))
			}
		})
	}
	seeds := slices.Clone(regressionSeeds)
	for n := range uint64(*runCount) {
		seeds = append(seeds, *firstSeed+n)
	}
	for _, seed := range seeds {
		check("", drawScenario(seed), seed)
	}
	for _, name := range scenarios.Names() {
		for seed := range uint64(*libraryRuns) {
			spec, err := scenarios.Open(name)
			if err != nil {
				t.Fatal(err)
			}
			if spec.SupportsDriver(scenario.DriverSimulation) {
				check(name+"-", spec, seed+1)
			}
		}
	}
}

// drawScenario draws a short scenario with a few faults.
func drawScenario(seed uint64) *scenario.Scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	pick := func(of ...string) string { return pickOne(rng, of...) }
	s := scenario.Default()
	s.Name, s.Length = "drawn", scenario.Duration(8*time.Second)
	s.Fleet.Workers = 6 + rng.IntN(20)
	s.Load.CapacityShare = 0.4 + rng.Float64()
	s.Load.Shape, s.Load.Hints = pick("steady", "bursty", "swell"), pick("none", "exact", "rough", "rough", "wrong")
	if s.Load.Hints == "wrong" {
		s.Load.HintFactor = 3
	}
	s.Clients.Impatient = float64(rng.IntN(2)) * 0.1
	s.Clients.Retries, s.Clients.RequestTimeoutShare = rng.IntN(4), pickOne(rng, 1, 1, 0.4)
	s.Network.Jitter = pickOne(rng, 0.2, 0.2, 1)
	s.Network.ClientDelay = scenario.Duration(pickOne(rng, 500*time.Microsecond, 500*time.Microsecond, 3*time.Millisecond))
	s.Network.DropsIdleAfter = scenario.Duration(pickOne(rng, 0, 0, 0, 2*time.Second))
	s.Discovery.Capacity = pickOne(rng, 0, 0, 200.0)
	s.Fleet.CellSize = 1 + rng.IntN(6)
	s.Schedulers.Count = 1 + rng.IntN(3)
	s.Schedulers.Hedging = rng.IntN(4) > 0
	s.Schedulers.Cancellation = rng.IntN(4) > 0
	s.Schedulers.AttemptLimit = 2 + rng.IntN(5)
	if rng.IntN(3) == 0 {
		s.Fleet.Zones = []string{"a", "b"}
	}
	for i := range s.Fleet.Kinds {
		drawWorkerKind(rng, &s.Fleet.Kinds[i])
	}
	if c := &s.Classes[3]; rng.IntN(2) == 0 {
		c.DeduplicationScope = pick("cell", "zone", "all")
		c.DeduplicationWindow = scenario.Duration(1+rng.IntN(20)) * scenario.Duration(time.Second)
	}
	kinds := faultKinds()
	for range 1 + rng.IntN(4) {
		addFault(rng, s, drawFault(rng, kinds))
	}
	return s
}

func drawWorkerKind(rng *rand.Rand, k *scenario.WorkerKind) {
	pick := func(of ...string) string { return pickOne(rng, of...) }
	k.QueueOrder, k.ExpiredJobs, k.ReturnsQueued = pick("fifo", "backfill"), pick("run", "drop"), rng.IntN(2) == 0
	k.CancellationStops, k.ErrorRate = rng.IntN(4) == 0, float64(rng.IntN(2))*0.02
	k.CallbackDelay = scenario.Duration(rng.IntN(20)) * scenario.Duration(time.Millisecond)
	if rng.IntN(4) == 0 {
		k.PauseEvery, k.Pause = scenario.Duration(5*time.Second), scenario.Duration(300*time.Millisecond)
	}
}

// faultKinds returns the sorted kinds of faults of scenarios without planners.
func faultKinds() []string {
	kinds := make([]string, 0, len(scenario.FaultKinds))
	for kind, to := range scenario.FaultKinds {
		if !strings.HasPrefix(string(to), "planner") {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

func drawFault(rng *rand.Rand, kinds []string) scenario.Fault {
	pick := func(of ...string) string { return pickOne(rng, of...) }
	f := scenario.Fault{Kind: pick(kinds...), At: scenario.Duration(1000+rng.IntN(5000)) * scenario.Duration(time.Millisecond)}
	f.Duration = scenario.Duration(200+rng.IntN(4000)) * scenario.Duration(time.Millisecond)
	switch scenario.FaultKinds[f.Kind] {
	case "node":
		f.Target.Share = 0.1 + 0.4*rng.Float64()
	case "net":
		f.Between, f.And = "schedulers", pick("nodes", "discovery", "clients")
		if f.Kind == "drop_idle" {
			f.And = pick("nodes", "clients")
		}
	}
	return f
}

// addFault adds a fault with the first size that its kind allows, if any, and without a duration if the kind has none.
func addFault(rng *rand.Rand, s *scenario.Scenario, f scenario.Fault) {
	for _, size := range []float64{0, 4, -10} {
		f.Size = size
		s.Faults = append(s.Faults, f)
		if rng.IntN(2) == 0 && size == 0 && f.Kind == "reset_at" || s.Check() != nil {
			if s.Faults[len(s.Faults)-1].Duration = 0; s.Check() == nil {
				break
			}
			s.Faults = s.Faults[:len(s.Faults)-1]
			continue
		}
		break
	}
}

func pickOne[T any](rng *rand.Rand, of ...T) T { return of[rng.IntN(len(of))] }

// TestScheduleKeepsOrder checks that delayed actions run in order of their time, and that mutants have lower-case names.
func TestScheduleKeepsOrder(t *testing.T) {
	injector := &faultInjector{running: true}
	var done []int
	for _, n := range []int{3, 1, 2, 1} {
		injector.schedule(time.Duration(n), func() { done = append(done, n) })
	}
	for len(injector.delayed) > 0 {
		injector.delayed[0].run()
		injector.delayed = injector.delayed[1:]
	}
	if !slices.Equal(done, []int{1, 1, 2, 3}) {
		t.Errorf("actions ran in the order %v", done)
	}
	if m := All()[0]; strings.ToLower(m.Name) != m.Name {
		t.Errorf("%s is not in lower case", m.Name)
	}
}
