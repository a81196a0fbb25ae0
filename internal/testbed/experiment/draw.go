package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"valvecove/internal/testbed/scenario"
)

// Draw returns the i-th scenario of the search. It is valid, and has a seed.
func (s *Search) Draw(i int) *scenario.Scenario {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(i)))
	for {
		spec := drawScenario(rng)
		if s.Starvation {
			widenScenario(rng, spec)
		}
		if s.adjustDraw != nil {
			s.adjustDraw(spec)
		}
		if spec.Check() == nil {
			spec.Seed = int(rng.Int64N(1 << 53))
			return spec
		}
	}
}

// searchedFaults are the kinds of faults that the simulation models well.
var searchedFaults = []string{
	"crash", "vanish", "hang", "pause", "slow", "errors", "full", "drain", "restart", "replace", "gone",
	"no_notes", "early_202_crash", "handback", "cut", "cut_one_way", "delay", "refuse", "never_up", "half_open", "drop_idle",
	"slow_read", "disco_down", "disco_late", "disco_wrong", "disco_old", "disco_slow", "disco_moves", "burst", "storm",
	"sched_kill", "sched_term", "sched_freeze", "sched_reload",
}

// drawScenario draws a scenario, which may be invalid. A change in the order of its random draws changes the scenario of every
// seed.
func drawScenario(rng *rand.Rand) *scenario.Scenario {
	spec := scenario.Default()
	spec.Name, spec.Description = "hunted", "Drawn at random."
	spec.Drivers = []string{scenario.DriverSimulation}
	between := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	pick := func(of ...string) string { return of[rng.IntN(len(of))] }
	span := func(low, high time.Duration) scenario.Duration {
		return scenario.Duration(time.Duration(between(float64(low), float64(high))).Round(time.Millisecond))
	}
	spec.Length = span(10*time.Second, 25*time.Second)
	spec.Fleet.Workers = int(4 * math.Exp(between(0, math.Log(12))))
	spec.Load.CapacityShare = roundToHundredths(between(0.25, 1.1))
	spec.Load.Shape = pick("steady", "bursty", "swell", "month_start")
	spec.Load.Swing = roundToHundredths(between(0.1, 0.6))
	if spec.Load.Shape == "steady" {
		spec.Load.Swing = 0
	}
	spec.Load.Hints = pick("none", "exact", "rough", "rough", "wrong")
	switch spec.Load.Hints {
	case "wrong":
		spec.Load.HintFactor = roundToHundredths(math.Exp(between(math.Log(0.05), math.Log(20))))
	case "rough":
		spec.Load.HintFactor = roundToHundredths(between(0.2, 1.2))
	}
	spec.Schedulers.Count = 1 + rng.IntN(4)
	spec.Clients.Retries = rng.IntN(4)
	spec.Clients.HonourRetryAfter = roundToHundredths(rng.Float64())
	for k := range spec.Fleet.Kinds {
		kind := &spec.Fleet.Kinds[k]
		kind.QueueOrder = pick("fifo", "backfill")
		kind.Queue = rng.IntN(30)
		kind.OmitsStartNotifications = rng.IntN(5) == 0
		kind.ReturnsQueued = rng.IntN(3) == 0
		kind.CancellationStops = rng.IntN(4) == 0
		kind.CallbackTwiceShare = roundToHundredths(between(0, 0.1))
		kind.CallbackLossShare = roundToHundredths(between(0, 0.1))
		kind.CallbackEarlyShare = roundToHundredths(between(0, 0.1))
	}
	if rng.IntN(3) == 0 {
		spec.Discovery.Capacity = roundToHundredths(between(20, 200))
	}
	for range rng.IntN(5) {
		spec.Faults = append(spec.Faults, drawFault(rng, spec))
	}
	return spec
}

// widenScenario draws further settings that may cause starvation and that other searches don't vary: larger fleets, many
// schedulers, classes bound to one kind of worker, no hedging, very wrong hints, zones, and clients that each wait for their
// response.
func widenScenario(rng *rand.Rand, spec *scenario.Scenario) {
	oneIn := func(n int) bool { return rng.IntN(n) == 0 }
	if oneIn(4) {
		spec.Fleet.Workers = int(40 * math.Exp(rng.Float64()*math.Log(10)))
		spec.Schedulers.Count = 1 + rng.IntN(16)
		spec.Length = scenario.Duration(8 * time.Second)
	}
	spec.Schedulers.Sockets = 8192
	spec.Schedulers.MemoryMB = 256
	if oneIn(4) {
		spec.Load.Hints, spec.Load.HintFactor = "wrong", roundToHundredths(math.Exp((2*rng.Float64()-1)*math.Log(30)))
	}
	if oneIn(3) {
		c := &spec.Classes[rng.IntN(len(spec.Classes))]
		c.Kind = spec.Fleet.Kinds[rng.IntN(len(spec.Fleet.Kinds))].Name
		if oneIn(2) {
			c.Share = roundToHundredths(c.Share / 4)
		}
	}
	if oneIn(4) {
		spec.Schedulers.Hedging = false
	}
	if oneIn(6) {
		spec.Schedulers.Cancellation = false
	}
	if oneIn(6) {
		spec.Schedulers.HealthChecks = false
	}
	if oneIn(4) {
		spec.Fleet.Zones = []string{"a", "b", "c"}[:2+rng.IntN(2)]
	}
	if oneIn(4) {
		f := math.Exp((2*rng.Float64() - 1) * math.Log(4))
		for i := range spec.Classes {
			c := &spec.Classes[i]
			c.Work = scenario.Duration(time.Duration(float64(c.Work) * f).Round(time.Millisecond))
		}
	}
	if oneIn(8) {
		spec.Load = scenario.Load{
			ClosedClients: 1 + rng.IntN(3*spec.Fleet.Workers), Shape: "steady", Hints: spec.Load.Hints,
			HintFactor: spec.Load.HintFactor, OverQuotaWeight: spec.Load.OverQuotaWeight, Quota: spec.Load.Quota,
		}
	}
}

// drawFault draws a fault for a scenario. A change in the order of its random draws changes the scenario of every seed.
func drawFault(rng *rand.Rand, spec *scenario.Scenario) scenario.Fault {
	f := scenario.Fault{Kind: searchedFaults[rng.IntN(len(searchedFaults))]}
	length := spec.Length.Std()
	instant := func(d time.Duration) scenario.Duration { return scenario.Duration(d.Round(time.Millisecond)) }
	f.At = instant(time.Duration((0.1 + 0.6*rng.Float64()) * float64(length)))
	f.Duration = instant(time.Duration((0.05 + 0.35*rng.Float64()) * float64(length)))
	switch f.Kind {
	case "drain", "gone", "handback", "disco_moves", "sched_reload":
		f.Duration = 0
	case "slow", "burst", "storm", "disco_slow":
		f.Size = roundToHundredths(1.5 + 6*rng.Float64())
	case "errors":
		f.Size = roundToHundredths(0.1 + 0.9*rng.Float64())
	case "disco_late", "drop_idle", "half_open":
		f.Size = roundToHundredths(0.05 + 5*rng.Float64())
	case "delay":
		f.Size = roundToHundredths(math.Exp(rng.Float64() * math.Log(400)))
	}
	switch scenario.FaultKinds[f.Kind] {
	case "node":
		f.Target.Share = roundToHundredths(0.03 + 0.5*rng.Float64())
		if rng.IntN(4) == 0 {
			f.Spread = f.Duration / 2
		}
	case "net":
		ends := [][2]string{{"schedulers", "nodes"}, {"schedulers", "discovery"}, {"schedulers", "clients"}}[rng.IntN(3)]
		f.Between, f.And = ends[0], ends[1]
		if f.And == "nodes" {
			f.Target.Share = roundToHundredths(0.05 + 0.5*rng.Float64())
		}
	case "sched":
		f.Target.Schedulers = []int{rng.IntN(spec.Schedulers.Count)}
		if f.Kind == "sched_freeze" {
			f.Duration = instant(time.Duration((0.2 + 4*rng.Float64()) * float64(time.Second)))
		}
	case "clients":
		if f.Kind == "burst" && rng.IntN(3) > 0 {
			f.Target.Tenant = spec.Tenants[rng.IntN(len(spec.Tenants))].Name
		}
	}
	return f
}

// roundToHundredths rounds a drawn value, which keeps scenario files short.
func roundToHundredths(x float64) float64 { return math.Round(x*100) / 100 }
