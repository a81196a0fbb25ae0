package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/starvation"
)

// Search looks for plays that go badly: scenarios and seeds drawn at random, each held against the baseline policy that sees
// everything. The i-th draw follows from Seed and i alone, so that a hunt that is given more time finds all that a
// shorter one did.
type Search struct {
	Seed        uint64
	Subject     Subject
	Baseline    string // the baseline policy; default all-seeing
	Keep        int    // so many of the worst; default 8
	Parallelism int    // plays at once
	MaxRuns     int    // draws; 0: until the context ends
	// Starvation hunts for starvation (package starve) and broken rules in plays drawn more widely, and for no regret: no
	// baseline policy is played.
	Starvation bool

	trim func(s *scenario.Scenario) // changes each draw; nil: nothing does
}

// Finding is a run that went badly.
type Finding struct {
	Spec            *scenario.Scenario // its Seed is the run's
	Rule            string             // that was broken, or starve.Rule; empty: none was
	WaitingRequests int                // tries that were
	Value           float64            // the mixed worth, and the baseline policy's
	BaselineValue   float64
	Faults          int    // left of those drawn
	Drawn           int    // faults that were drawn
	DrawNumber      int    // which draw it was
	Error           string // what the run ended with, if it could not be played on
}

// Regret is how far a run stayed under the baseline policy.
func (f *Finding) Regret() float64 { return math.Max(0, f.BaselineValue-f.Value) }

// Description says what is bad about a find.
func (f *Finding) Description() string {
	switch {
	case f.Error != "":
		return "it stopped: " + strings.SplitN(f.Error, "\n", 2)[0]
	case f.Rule == starvation.Rule:
		return fmt.Sprintf("%d tries starved", f.WaitingRequests)
	case f.Rule != "":
		return "rule " + f.Rule + " broken"
	}
	return fmt.Sprintf("worth %.3f where %.3f can be had", f.Value, f.BaselineValue)
}

// kind tells finds of one sort, of which only the worst is kept: by the rule broken, or by the kinds of faults left.
func (f *Finding) kind() string {
	if f.Error != "" {
		return "!" + strings.SplitN(f.Error, "\n", 2)[0]
	}
	if f.Rule != "" && f.Rule != starvation.Rule {
		return "rule " + f.Rule
	}
	var kinds []string
	for _, x := range f.Spec.Faults {
		if !slices.Contains(kinds, x.Kind) {
			kinds = append(kinds, x.Kind)
		}
	}
	slices.Sort(kinds)
	return f.Rule + " " + strings.Join(kinds, "+")
}

// File is the find as a scenario file that plays it again.
func (f *Finding) File() []byte {
	first := fmt.Sprintf("# Kept by a hunt: %s. Draw %d, %d of %d faults left.\n", f.Description(), f.DrawNumber, f.Faults, f.Drawn)
	return append([]byte(first), scenario.Encode(f.Spec)...)
}

// SearchResult is what a hunt came to.
type SearchResult struct {
	Runs       int
	Violations int // of them, plays that broke a rule or stopped
	Worst      []Finding
	Mean       float64 // regret
}

// minimisedShare of a regret must be left of it in a run that is to stand for the first.
const minimisedShare = 0.8

// most plays that shrinking one find may take.
const maxMinimiseRuns = 150

// Run hunts until the context ends or all draws are made, and shrinks what it keeps. told hears of each new find.
func (h *Search) Run(ctx context.Context, notified func(f *Finding, plays int)) (*SearchResult, error) {
	parallelism, keep := h.Parallelism, h.Keep
	if parallelism <= 0 {
		parallelism = runtime.GOMAXPROCS(0)
	}
	if keep <= 0 {
		keep = 8
	}
	got, sum := &SearchResult{}, 0.0
	for i := 0; ctx.Err() == nil && (h.MaxRuns == 0 || i < h.MaxRuns); {
		n := 8 * parallelism
		if h.MaxRuns > 0 {
			n = min(n, h.MaxRuns-i)
		}
		finds := make([]*Finding, n)
		err := inParallel(ctx, parallelism, n, func(k int) error {
			f, err := h.evaluate(context.WithoutCancel(ctx), h.Draw(i+k), i+k)
			finds[k] = f
			return err
		})
		if err != nil && ctx.Err() == nil {
			return got, err
		}
		for _, f := range finds {
			if f == nil {
				continue
			}
			got.Runs++
			sum += f.Regret()
			if f.Rule != "" || f.Error != "" {
				got.Violations++
			}
			if h.shouldKeep(got, f, keep) {
				if err := h.minimise(ctx, f); err != nil {
					return got, err
				}
				if h.keep(got, f, keep) && notified != nil {
					notified(f, got.Runs)
				}
			}
		}
		i += n
		got.Mean = sum / float64(max(1, got.Runs))
	}
	return got, nil
}

// badness orders finds: what stopped, then broken rules, then regret.
func badness(f *Finding) float64 {
	switch {
	case f.Error != "":
		return 3
	case f.Rule != "":
		return 2
	}
	return f.Regret()
}

// shouldKeep tells whether a find may come among those kept.
func (h *Search) shouldKeep(got *SearchResult, f *Finding, keep int) bool {
	return badness(f) >= 2 && !slices.ContainsFunc(got.Worst, func(o Finding) bool { return o.kind() == f.kind() }) ||
		badness(f) < 2 && badness(f) > 0.05 && (len(got.Worst) < keep || badness(f) > badness(&got.Worst[len(got.Worst)-1]))
}

// keep puts a find, shrunk, among the worst, of which there is one of each kind.
func (h *Search) keep(got *SearchResult, f *Finding, keep int) bool {
	if i := slices.IndexFunc(got.Worst, func(o Finding) bool { return o.kind() == f.kind() }); i >= 0 {
		if badness(&got.Worst[i]) >= badness(f) {
			return false
		}
		got.Worst = slices.Delete(got.Worst, i, i+1)
	}
	got.Worst = append(got.Worst, *f)
	slices.SortStableFunc(got.Worst, func(a, b Finding) int {
		switch x, y := badness(&a), badness(&b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	// Broken rules are all kept; of the others, the worst.
	for len(got.Worst) > keep && badness(&got.Worst[len(got.Worst)-1]) < 2 {
		got.Worst = got.Worst[:len(got.Worst)-1]
	}
	return slices.ContainsFunc(got.Worst, func(o Finding) bool { return o.Spec == f.Spec })
}

// evaluate plays a scenario, and the baseline policy beside it.
func (h *Search) evaluate(ctx context.Context, spec *scenario.Scenario, draw int) (*Finding, error) {
	f := &Finding{Spec: spec, DrawNumber: draw, Drawn: len(spec.Faults), Faults: len(spec.Faults)}
	runResult, err := Run(ctx, Job{
		Spec: spec, Seed: uint64(spec.Seed), Driver: scenario.DriverSimulation, Subject: h.Subject,
		Starvation: h.Starvation,
	})
	if err != nil {
		f.Error = err.Error()
		return f, nil
	}
	for _, t := range runResult.Verdict.Rules {
		if t.Violated > 0 && f.Rule == "" {
			f.Rule = t.Rule
		}
	}
	if h.Starvation {
		if f.WaitingRequests = runResult.Starvation.Count(); f.WaitingRequests > 0 && f.Rule == "" {
			f.Rule = starvation.Rule
		}
		return f, nil
	}
	f.Value = runResult.Result().Value.Mix
	top := h.Baseline
	if top == "" {
		top = "all-seeing"
	}
	t, err := Run(ctx, Job{
		Spec: spec, Seed: uint64(spec.Seed), Driver: scenario.DriverSimulation, Unchecked: true,
		Subject: Subject{Name: top, Policy: top},
	})
	if err != nil {
		return nil, err
	}
	f.BaselineValue = t.Result().Value.Mix
	return f, nil
}

// minimise looks for a smaller play that is as bad in the same way: without faults that don't matter, then with shorter
// ones, fewer parties, and plainer settings. It ends with the hunt's time, as small as it has come.
func (h *Search) minimise(ctx context.Context, f *Finding) error {
	remaining := maxMinimiseRuns
	try := func(change func(s *scenario.Scenario)) (bool, error) {
		if remaining--; remaining < 0 || ctx.Err() != nil { // what is left of it is kept as it is
			return false, nil
		}
		spec := f.Spec.Clone()
		change(spec)
		if spec.Check() != nil {
			return false, nil
		}
		got, err := h.evaluate(context.WithoutCancel(ctx), spec, f.DrawNumber)
		if err != nil {
			return false, err
		}
		same := got.Rule == f.Rule && (got.Error != "") == (f.Error != "")
		if f.Rule == "" && f.Error == "" {
			same = same && got.Regret() >= minimisedShare*f.Regret()
		}
		if !same {
			return false, nil
		}
		got.Drawn, got.Faults = f.Drawn, len(spec.Faults)
		*f = *got
		return true, nil
	}
	// Faults first, and again after each that could go: one may have mattered only beside another.
	for again := true; again; {
		again = false
		for i := len(f.Spec.Faults) - 1; i >= 0; i-- {
			ok, err := try(func(s *scenario.Scenario) { s.Faults = slices.Delete(s.Faults, i, i+1) })
			if err != nil {
				return err
			}
			again = again || ok
		}
	}
	for _, change := range simplifications(f.Spec) {
		if _, err := try(change); err != nil {
			return err
		}
	}
	for _, change := range []func(s *scenario.Scenario){
		func(s *scenario.Scenario) { s.Fleet.Workers = max(1, s.Fleet.Workers/2) },
		func(s *scenario.Scenario) { s.Length /= 2 },
	} {
		for ok := true; ok; {
			var err error
			if ok, err = try(change); err != nil {
				return err
			}
		}
	}
	return nil
}

// simplifications are changes that bring one part of a scenario back to its default each.
func simplifications(spec *scenario.Scenario) []func(s *scenario.Scenario) {
	all := []func(s *scenario.Scenario){
		func(s *scenario.Scenario) { s.Clients = scenario.Default().Clients },
		func(s *scenario.Scenario) { s.Discovery = scenario.Default().Discovery },
		func(s *scenario.Scenario) { s.Network = scenario.Default().Network },
		func(s *scenario.Scenario) { s.Fleet.Kinds = scenario.Default().Fleet.Kinds },
		func(s *scenario.Scenario) { s.Schedulers.Count = 1 },
		func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "exact", 0 },
		func(s *scenario.Scenario) { s.Load.Shape, s.Load.Swing = "steady", 0 },
	}
	for i := range spec.Faults {
		all = append(all, func(s *scenario.Scenario) { s.Faults[i].Duration /= 2 },
			func(s *scenario.Scenario) { s.Faults[i].Spread = 0 })
	}
	return all
}

// Draw is the i-th scenario of a hunt, checked.
func (h *Search) Draw(i int) *scenario.Scenario {
	rng := rand.New(rand.NewPCG(h.Seed, uint64(i)))
	for {
		s := drawScenario(rng)
		if h.Starvation {
			widenScenario(rng, s)
		}
		if h.trim != nil {
			h.trim(s)
		}
		if s.Check() == nil {
			s.Seed = int(rng.Int64N(1 << 53))
			return s
		}
	}
}

// searchedFaults are faults that simulated time shows well.
var searchedFaults = []string{
	"crash", "vanish", "hang", "pause", "slow", "errors", "full", "drain", "restart", "replace", "gone",
	"no_notes", "early_202_crash", "handback", "cut", "cut_one_way", "delay", "refuse", "never_up", "half_open", "drop_idle",
	"slow_read", "disco_down", "disco_late", "disco_wrong", "disco_old", "disco_slow", "disco_moves", "burst", "storm",
	"sched_kill", "sched_term", "sched_freeze", "sched_reload",
}

func drawScenario(rng *rand.Rand) *scenario.Scenario {
	spec := scenario.Default()
	spec.Name, spec.Description = "hunted", "Drawn at random."
	spec.Drivers = []string{scenario.DriverSimulation}
	between := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	pick := func(of ...string) string { return of[rng.IntN(len(of))] }
	span := func(low, high time.Duration) scenario.Duration {
		return scenario.Duration(time.Duration(between(float64(low), float64(high))).Round(time.Millisecond))
	}
	round := func(x float64) float64 { return math.Round(x*100) / 100 }
	spec.Length = span(10*time.Second, 25*time.Second)
	spec.Fleet.Workers = int(4 * math.Exp(between(0, math.Log(12))))
	spec.Load.CapacityShare = round(between(0.25, 1.1))
	spec.Load.Shape = pick("steady", "bursty", "swell", "month_start")
	spec.Load.Swing = round(between(0.1, 0.6))
	if spec.Load.Shape == "steady" {
		spec.Load.Swing = 0
	}
	spec.Load.Hints = pick("none", "exact", "rough", "rough", "wrong")
	switch spec.Load.Hints {
	case "wrong":
		spec.Load.HintFactor = round(math.Exp(between(math.Log(0.05), math.Log(20))))
	case "rough":
		spec.Load.HintFactor = round(between(0.2, 1.2))
	}
	spec.Schedulers.Count = 1 + rng.IntN(4)
	spec.Clients.Retries = rng.IntN(4)
	spec.Clients.HonourRetryAfter = round(rng.Float64())
	for k := range spec.Fleet.Kinds {
		kind := &spec.Fleet.Kinds[k]
		kind.QueueOrder = pick("fifo", "backfill")
		kind.Queue = rng.IntN(30)
		kind.OmitsStartNotifications = rng.IntN(5) == 0
		kind.ReturnsQueued = rng.IntN(3) == 0
		kind.CancellationStops = rng.IntN(4) == 0
		kind.CallbackTwiceShare, kind.CallbackLossShare, kind.CallbackEarlyShare = round(between(0, 0.1)), round(between(0, 0.1)), round(between(0, 0.1))
	}
	if rng.IntN(3) == 0 {
		spec.Discovery.Capacity = round(between(20, 200))
	}
	for range rng.IntN(5) {
		spec.Faults = append(spec.Faults, drawFault(rng, spec))
	}
	return spec
}

// widenScenario draws what starvation may come from and other hunts hold fixed: larger fleets, many schedulers, bound classes,
// copies that are not allowed, hints far off, zones, and clients that each wait for their answer.
func widenScenario(rng *rand.Rand, spec *scenario.Scenario) {
	one := func(of int) bool { return rng.IntN(of) == 0 }
	round := func(x float64) float64 { return math.Round(x*100) / 100 }
	if one(4) {
		spec.Fleet.Workers = int(40 * math.Exp(rng.Float64()*math.Log(10)))
		spec.Schedulers.Count = 1 + rng.IntN(16)
		spec.Length = scenario.Duration(8 * time.Second)
	}
	spec.Schedulers.Sockets = 8192
	spec.Schedulers.MemoryMB = 256
	if one(4) {
		spec.Load.Hints, spec.Load.HintFactor = "wrong", round(math.Exp((2*rng.Float64()-1)*math.Log(30)))
	}
	if one(3) {
		c := &spec.Classes[rng.IntN(len(spec.Classes))]
		c.Kind = spec.Fleet.Kinds[rng.IntN(len(spec.Fleet.Kinds))].Name
		if one(2) {
			c.Share = round(c.Share / 4)
		}
	}
	if one(4) {
		spec.Schedulers.Hedging = false
	}
	if one(6) {
		spec.Schedulers.Cancellation = false
	}
	if one(6) {
		spec.Schedulers.HealthChecks = false
	}
	if one(4) {
		spec.Fleet.Zones = []string{"a", "b", "c"}[:2+rng.IntN(2)]
	}
	if one(4) {
		f := math.Exp((2*rng.Float64() - 1) * math.Log(4))
		for i := range spec.Classes {
			c := &spec.Classes[i]
			c.Work = scenario.Duration(time.Duration(float64(c.Work) * f).Round(time.Millisecond))
		}
	}
	if one(8) {
		spec.Load = scenario.Load{
			ClosedClients: 1 + rng.IntN(3*spec.Fleet.Workers), Shape: "steady", Hints: spec.Load.Hints,
			HintFactor: spec.Load.HintFactor, OverQuotaWeight: spec.Load.OverQuotaWeight, Quota: spec.Load.Quota,
		}
	}
}

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
		f.Size = math.Round((1.5+6*rng.Float64())*100) / 100
	case "errors":
		f.Size = math.Round((0.1+0.9*rng.Float64())*100) / 100
	case "disco_late", "drop_idle", "half_open":
		f.Size = math.Round((0.05+5*rng.Float64())*100) / 100
	case "delay":
		f.Size = math.Round(math.Exp(rng.Float64()*math.Log(400))*100) / 100
	}
	switch scenario.FaultKinds[f.Kind] {
	case "node":
		f.Target.Share = math.Round((0.03+0.5*rng.Float64())*100) / 100
		if rng.IntN(4) == 0 {
			f.Spread = f.Duration / 2
		}
	case "net":
		ends := [][2]string{{"schedulers", "nodes"}, {"schedulers", "discovery"}, {"schedulers", "clients"}}[rng.IntN(3)]
		f.Between, f.And = ends[0], ends[1]
		if f.And == "nodes" {
			f.Target.Share = math.Round((0.05+0.5*rng.Float64())*100) / 100
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
