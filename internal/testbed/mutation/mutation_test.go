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

// For more runs: go test -run Honest ./internal/testbed/mutation -args -plays 200 -library 20.
var (
	plays   = flag.Int("plays", 10, "plays of the honest program")
	first   = flag.Uint64("first", 1, "seed of the first of them")
	library = flag.Int("library", 0, "and plays of each scenario of the library")
)

// judgeOnce are seeds of runs in which the honest program was blamed for what was the testbed's fault.
var judgeOnce = []uint64{10833, 11002, 12212}

// judged plays a scenario, with a mutant or (nil) with the honest program.
func judged(t *testing.T, spec *scenario.Scenario, seed uint64, m *Mutant) checker.Verdict {
	t.Helper()
	if err := spec.Check(); err != nil {
		t.Fatal(err)
	}
	j := checker.New(spec, checker.Options{})
	opt := simulation.Options{}
	opt.Observers = append(opt.Observers, j.Observe)
	if m != nil && m.Wrap != nil {
		opt.Wrap = func(s simapi.Scheduler) simapi.Scheduler { return m.Wrap(spec, s) }
	}
	if m != nil && m.Policy != nil {
		opt.Module = func(set dispatch.Settings, seed uint64, _ baseline.Oracle) requests.Policy {
			return m.Policy(set, seed)
		}
	}
	if _, err := simulation.Run(spec, seed, opt); err != nil {
		t.Fatalf("%s, seed %d: %v", spec.Name, seed, err)
	}
	return j.Verdict()
}

// Each mutant is found by its rule's name in a run made for it, in which nobody blames the honest program.
func TestMutants(t *testing.T) {
	names := map[string]bool{}
	for _, m := range All() {
		if names[m.Name] || !slices.Contains(checker.RuleNames[:], m.Rule) {
			t.Errorf("%s: a name used before, or no rule: %q", m.Name, m.Rule)
		}
		names[m.Name] = true
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			spec := m.Scenario()
			for seed := uint64(1); ; seed++ { // a fault needs its occasion, and the program, as it changes, may give none
				for _, b := range judged(t, spec, seed, nil).Violations {
					t.Errorf("the honest program: %s", b)
				}
				v := judged(t, spec, seed, &m)
				i := slices.IndexFunc(v.Violations, func(b checker.Violation) bool { return b.Rule == m.Rule })
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

// The honest program is blamed for nothing, whatever befalls it.
func TestHonest(t *testing.T) {
	honest := func(name string, spec *scenario.Scenario, seed uint64) {
		t.Run(name+strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			v := judged(t, spec, seed, nil)
			if v.Counts.Served == 0 {
				t.Errorf("nothing was served: %+v", v.Counts)
			}
			for _, b := range v.Violations {
				t.Errorf("%s\nin\n%s", b, scenario.Encode(spec))
			}
		})
	}
	seeds := slices.Clone(judgeOnce)
	for n := range uint64(*plays) {
		seeds = append(seeds, *first+n)
	}
	for _, seed := range seeds {
		honest("", drawn(seed), seed)
	}
	for _, name := range scenarios.Names() {
		for seed := range uint64(*library) {
			spec, err := scenarios.Open(name)
			if err != nil {
				t.Fatal(err)
			}
			if spec.SupportsDriver(scenario.DriverSimulation) {
				honest(name+"-", spec, seed+1)
			}
		}
	}
}

// drawn is a short play with a few faults, drawn at random.
func drawn(seed uint64) *scenario.Scenario {
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

// faultKinds are the kinds of faults of scenarios without planners, in order.
func faultKinds() []string {
	kinds := make([]string, 0, len(scenario.FaultKinds))
	for kind, to := range scenario.FaultKinds {
		if !strings.HasPrefix(string(to), "planner") { // there are none
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

// addFault adds a fault with whichever size its kind takes, if it takes one.
func addFault(rng *rand.Rand, s *scenario.Scenario, f scenario.Fault) {
	for _, size := range []float64{0, 4, -10} { // whichever the kind takes
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

// What goes on at the border stays in order, though a mutant keeps some of it back.
func TestLater(t *testing.T) {
	b := &faultInjector{running: true}
	var done []int
	for _, n := range []int{3, 1, 2, 1} {
		b.schedule(time.Duration(n), func() { done = append(done, n) })
	}
	for len(b.delayed) > 0 {
		b.delayed[0].run()
		b.delayed = b.delayed[1:]
	}
	if !slices.Equal(done, []int{1, 1, 2, 3}) {
		t.Errorf("done in the order %v", done)
	}
	if m := All()[0]; strings.ToLower(m.Name) != m.Name {
		t.Errorf("%s is not in small letters", m.Name)
	}
}
