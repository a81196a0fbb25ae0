package simulation

import (
	goflag "flag"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"valvecove/internal/testbed/checker"
	"valvecove/internal/testbed/scenario"
)

var (
	runCount  = goflag.Int("plays", defaultRunCount, "number of random runs with forwarders and planners")
	firstSeed = goflag.Int("first", 0, "seed of the first random run")
)

const millisecond = scenario.Duration(time.Millisecond)

// drawScenario draws a short scenario with forwarders and planners, and its faults: most of them are of planners and their
// network, some are of other kinds.
func drawScenario(rng *rand.Rand) *scenario.Scenario {
	s := scenario.Default()
	span := func(from, to int) scenario.Duration { return scenario.Duration(from+rng.IntN(to-from)) * millisecond }
	s.Name, s.Drivers = "drawn", []string{scenario.DriverSimulation}
	s.Length, s.Settle = span(1500, 4000), 5000*millisecond
	s.Fleet.Workers, s.Fleet.CellSize = 2+rng.IntN(14), 1+rng.IntN(4)
	s.Fleet.Zones = []string{"a", "b", "c"}[:1+rng.IntN(3)]
	s.Schedulers.Count, s.Planners.Count = 1+rng.IntN(6), 1+rng.IntN(4)
	s.Schedulers.Hedging, s.Schedulers.Cancellation = rng.IntN(3) > 0, rng.IntN(3) > 0
	s.Schedulers.AttemptLimit = 2 + rng.IntN(5)
	s.Planners.Idle = rng.IntN(s.Planners.Count)
	if rng.IntN(4) == 0 {
		s.Planners.Drops = span(300, 4000)
	}
	s.Load.CapacityShare, s.Load.Shape = 0.3+rng.Float64(), []string{"steady", "bursty"}[rng.IntN(2)]
	s.Network.Delay = scenario.Duration(math.Exp(rng.Float64()*5) * float64(100*time.Microsecond)) // to 15 ms
	s.Network.CrossZone, s.Network.Jitter = 2*s.Network.Delay, rng.Float64()*1.5
	s.Clients.Retries, s.Clients.Backoff = rng.IntN(3), 100*millisecond
	s.Clients.Impatient = 0.05 * float64(rng.IntN(2))
	// A forwarder needs half a second to detect that a planner is frozen, and waits a second for another one.
	s.Rules.RejectionDeadline = 1750 * millisecond
	for i := range s.Classes { // the default classes, four times as fast
		c := &s.Classes[i]
		c.Work, c.LatencyObjective, c.Deadline = c.Work/4, c.LatencyObjective/4, c.Deadline/4
		c.DeduplicationWindow = span(2000, 6000) // a twentieth of it has to be enough to establish a connection
	}
	s.Classes[3].DeduplicationScope = []string{"cell", "zone", "all"}[rng.IntN(3)]
	for i := range s.Fleet.Kinds {
		k := &s.Fleet.Kinds[i]
		k.WarmUp, k.CallbackDelay = span(100, 3000), scenario.Duration(rng.IntN(30))*millisecond
		k.CallbackTwiceShare, k.CallbackLossShare, k.CallbackEarlyShare = 0.1*rng.Float64(), 0.05*rng.Float64(), 0.3*rng.Float64()
		k.ReturnsQueued, k.OmitsStartNotifications = rng.IntN(3) == 0, rng.IntN(6) == 0
	}
	kinds := []string{
		"planner_kill", "planner_term", "planner_freeze", "planner_start", "planner_slow", "planner_drop",
		"planner_cut", "planner_cut_one_way", "planner_kill", "planner_freeze", "planner_cut", "sched_kill", "sched_term",
		"sched_freeze", "crash", "restart", "drain", "hang", "cut", "disco_down", "disco_old", "no_notes", "burst", "handback",
	}
	for range rng.IntN(9) {
		f := scenario.Fault{Kind: kinds[rng.IntN(len(kinds))], At: span(100, int(s.Length/millisecond)), Duration: span(20, 3000)}
		drawTarget(rng, s, &f)
		addFault(s, f)
	}
	return s
}

// drawTarget draws the targets of a fault.
func drawTarget(rng *rand.Rand, s *scenario.Scenario, f *scenario.Fault) {
	switch scenario.FaultKinds[f.Kind] {
	case "planner":
		f.Target.Planners = []int{rng.IntN(s.Planners.Count)}
	case "planners":
		ends := [][2]string{
			{"planners", "schedulers"},
			{"schedulers", "planners"},
			{"planners", "planners"},
			{"planners", "discovery"},
			{"schedulers", "schedulers"},
		}[rng.IntN(5)]
		f.Between, f.And = ends[0], ends[1]
		if f.Between == "planners" || f.And == "planners" {
			f.Target.Planners = []int{rng.IntN(s.Planners.Count)}
		}
		if f.Between == "schedulers" || f.And == "schedulers" {
			f.Target.Schedulers = rng.Perm(s.Schedulers.Count)[:rng.IntN(s.Schedulers.Count+1)]
		}
	case "sched":
		f.Target.Schedulers = []int{rng.IntN(s.Schedulers.Count)}
	case "node":
		f.Target.Share = 0.1 + 0.5*rng.Float64()
	case "net":
		f.Between, f.And = "schedulers", []string{"nodes", "discovery"}[rng.IntN(2)]
	}
}

// addFault adds a fault with the first size that its kind allows, and without a duration if the kind has none.
func addFault(s *scenario.Scenario, f scenario.Fault) {
	for _, size := range []float64{0, 2, 80} {
		f.Size = size
		s.Faults = append(s.Faults, f)
		if s.Check() == nil {
			break
		}
		if s.Faults[len(s.Faults)-1].Duration = 0; s.Check() == nil {
			break
		}
		s.Faults = s.Faults[:len(s.Faults)-1]
	}
}

// runChecked runs a scenario, and returns its outcome and the checker's verdict.
func runChecked(t *testing.T, spec *scenario.Scenario, seed uint64, opt Options) (*Outcome, checker.Verdict) {
	t.Helper()
	invariants := checker.New(spec, checker.Options{})
	opt.Observers = append(opt.Observers, invariants.Observe)
	got, err := Run(spec, seed, opt)
	if err != nil {
		t.Errorf("seed %d: %v", seed, err)
		return &Outcome{}, checker.Verdict{}
	}
	return got, invariants.Verdict()
}

// TestRandomRunsWithPlanners checks that no rule of the checker is violated under random faults.
func TestRandomRunsWithPlanners(t *testing.T) {
	var next atomic.Int64
	var runs sync.WaitGroup
	var lock sync.Mutex
	sum, requests := ControlCounts{}, 0
	for range runtime.GOMAXPROCS(0) {
		runs.Go(func() {
			for {
				seed := uint64(*firstSeed) + uint64(next.Add(1)) - 1
				if seed >= uint64(*firstSeed+*runCount) || t.Failed() {
					return
				}
				spec := drawScenario(rand.New(rand.NewPCG(seed, 11)))
				got, verdict := runChecked(t, spec, seed, Options{})
				for _, violation := range verdict.Violations {
					t.Errorf("seed %d: %v\n%s\nin\n%s", seed, violation, violation.Explanation, scenario.Encode(spec))
				}
				lock.Lock()
				sum.Add(&got.Control)
				requests += got.Control.Requests
				lock.Unlock()
			}
		})
	}
	runs.Wait()
	t.Logf("%d requests: %+v", requests, sum)
}
