package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/trace"
)

// baseScenario returns the default scenario, with a name.
func baseScenario() *scenario.Scenario {
	s := scenario.Default()
	s.Name = "base"
	return s
}

// smallScenario returns a scenario whose run takes milliseconds of real time, with changes made to it.
func smallScenario(t *testing.T, changes ...string) *scenario.Scenario {
	t.Helper()
	spec, err := ApplyChanges(baseScenario(), append([]string{`length="4s"`, "fleet.nodes=5"}, changes...))
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

// The error for an invalid change names what is wrong, and a valid change leaves the original scenario as it is.
func TestApplyChanges(t *testing.T) {
	for _, c := range []struct{ change, want string }{
		{"load.of", "key=value"},
		{"=3", "key=value"},
		{"load.off=3", "load.off"},
		{"load.of=many", "load.of"},
		{"fleet.nodes=0", "fleet.nodes"},
		{"fault[0].size=3", "fault"},
	} {
		_, err := ApplyChanges(baseScenario(), []string{c.change})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that names %s", c.change, err, c.want)
		}
	}
	from := baseScenario()
	changed, err := ApplyChanges(from, []string{"load.of=0.9"})
	if err != nil {
		t.Fatal(err)
	}
	if changed.Load.CapacityShare != 0.9 || from.Load.CapacityShare == 0.9 {
		t.Errorf("%v in the changed scenario, %v in the original", changed.Load.CapacityShare, from.Load.CapacityShare)
	}
}

func TestParseVariedKey(t *testing.T) {
	for text, want := range map[string][]string{
		"load.of=0.2..1/5":                      {"0.2", "0.4", "0.6", "0.8", "1"},
		"fleet.nodes=1, 2,40":                   {"1", "2", "40"},
		`load.shape="steady","swell"`:           {`"steady"`, `"swell"`},
		`fleet.zones=["a","b"],["c"]`:           {`["a","b"]`, `["c"]`},
		`fault[0].on={cells=[1,2]},{cells=[3]}`: {`{cells=[1,2]}`, `{cells=[3]}`},
	} {
		varied, err := ParseVariedKey(text)
		if err != nil || !slices.Equal(varied.Values, want) {
			t.Errorf("%s: parsed as %v, %v", text, varied.Values, err)
		}
	}
	for _, text := range []string{"load.of", "load.of=", "load.of=1..2", "load.of=1..x/3", "load.of=1..2/1", "load.of=1,,2"} {
		if varied, err := ParseVariedKey(text); err == nil {
			t.Errorf("%s was parsed as %v", text, varied)
		}
	}
}

// Results are handled in the order of the jobs. The result of a run depends on scenario, subject and seed alone, whatever else
// runs at the same time.
func TestBatchOrderAndResults(t *testing.T) {
	spec := smallScenario(t)
	var jobs []Job
	for _, seed := range Seeds(1, 6) {
		jobs = append(jobs, Job{Spec: spec, Seed: seed, Driver: scenario.DriverSimulation, Subject: Subject{Name: PolicyDispatch}})
	}
	runAll := func(parallelism int) []string {
		var all []string
		if err := Batch(context.Background(), jobs, parallelism, func(i int, result *RunResult) error {
			if result.Result().Seed != jobs[i].Seed {
				t.Errorf("the result of job %d has seed %d", i, result.Result().Seed)
			}
			b, err := json.Marshal(result.Document)
			all = append(all, string(b))
			return err
		}); err != nil {
			t.Fatal(err)
		}
		return all
	}
	sequential, parallel := runAll(1), runAll(4)
	if !slices.Equal(sequential, parallel) {
		t.Error("results depend on how many runs are made at once")
	}
	if sequential[0] == sequential[1] {
		t.Error("two seeds gave the same result")
	}
}

func TestBatchStopsAtTheFirstError(t *testing.T) {
	spec, stop := smallScenario(t), errors.New("enough")
	jobs := slices.Repeat([]Job{{Spec: spec, Seed: 1, Driver: scenario.DriverSimulation}}, 40)
	handled := 0
	err := Batch(context.Background(), jobs, 3, func(i int, _ *RunResult) error {
		if handled++; i == 2 {
			return stop
		}
		return nil
	})
	if !errors.Is(err, stop) || handled != 3 {
		t.Errorf("got %v after %d results", err, handled)
	}
	jobs[1].Subject.Policy = "none such"
	if err := Batch(context.Background(), jobs, 2, func(int, *RunResult) error { return nil }); err == nil ||
		!strings.Contains(err.Error(), "none such") {
		t.Errorf("unknown policy: got error %v", err)
	}
}

// All sides of a comparison run in the same environment, and a subject does not differ from itself.
func TestComparisonIsPaired(t *testing.T) {
	comparison := Comparison{
		Specs: []*scenario.Scenario{smallScenario(t), smallScenario(t, "load.of=0.8")}, Seeds: Seeds(3, 3), Driver: scenario.DriverSimulation,
		Subjects: []Subject{{Name: "a", Policy: PolicyDispatch}, {Name: "b", Policy: PolicyDispatch}, {Name: "random", Policy: "random"}},
	}
	results, err := comparison.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(results) != 3 || len(results[2].Sides[0].Results) != 6 {
		t.Fatalf("%d comparisons", len(results))
	}
	for _, result := range results {
		a, b, other := result.Sides[0].Results, result.Sides[1].Results, result.Sides[2].Results
		for i := range a {
			if a[i].Value != b[i].Value || a[i].Whole.Requested != other[i].Whole.Requested || a[i].Seed != other[i].Seed {
				t.Errorf("%s, run %d: the sides ran in different environments", result.Title, i)
			}
		}
		for _, pair := range result.Pairs()[0] {
			if pair.Significant || pair.Difference != 0 {
				t.Errorf("%s: %s differs between a subject and itself: %s", result.Title, pair.Metric, pair.Verdict)
			}
		}
	}
}

// The points of a curve are ordered by value, and have the runs with that value.
func TestVariationPoints(t *testing.T) {
	variation := Variation{
		Spec: smallScenario(t), Vary: VariedKey{"load.of", []string{"0.9", "0.3"}}, Curves: VariedKey{"fleet.nodes", []string{"3", "6"}},
		Seeds: Seeds(1, 2), Driver: scenario.DriverSimulation, Figure: "mix", Subject: Subject{Name: PolicyDispatch},
	}
	result, err := variation.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, curve := range result.Curves {
		if len(curve.Points) != 2 || curve.Points[0].X != 0.3 || curve.Points[1].X != 0.9 {
			t.Fatalf("curve %s has its points out of order", curve.Name)
		}
		low, high := curve.Points[0].Results, curve.Points[1].Results
		if len(low) != 2 || len(high) != 2 || low[0].Whole.JobsDue >= high[0].Whole.JobsDue {
			t.Errorf("curve %s: a point has the runs of another value", curve.Name)
		}
	}
	if a, b := result.Curves[0].Points[0].Results[0], result.Curves[1].Points[0].Results[0]; a.Capacity >= b.Capacity {
		t.Error("the second key was not varied")
	}
	variation.Vary.Values = append(variation.Vary.Values, "-1")
	if _, err := variation.Run(context.Background(), nil); err == nil {
		t.Error("a value that is invalid for the scenario was run")
	}
}

// A search finds a mutant by the rule that it breaks, minimises the run, and writes a file that repeats the run.
func TestSearchFindsMinimisesAndKeeps(t *testing.T) {
	search := Search{Seed: 5, Subject: Subject{Name: "mutant", Mutant: "answers-twice"}, Baseline: PolicyDispatch, MaxRuns: 2, Parallelism: 2, Keep: 2}
	search.adjustDraw = func(spec *scenario.Scenario) { // so that a run takes milliseconds
		spec.Length, spec.Fleet.Workers = scenario.Duration(3*time.Second), min(spec.Fleet.Workers, 8)
		for i := range spec.Faults {
			fault := &spec.Faults[i]
			fault.At, fault.Duration, fault.Spread = fault.At/10, fault.Duration/10, fault.Spread/10
		}
	}
	result, err := search.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	i := slices.IndexFunc(result.Worst, func(finding Finding) bool { return finding.Rule == "one-answer" })
	if result.Violations == 0 || i < 0 {
		t.Fatalf("%d runs broke a rule, kept %v", result.Violations, result.Worst)
	}
	finding := result.Worst[i]
	if finding.DrawnFaults == 0 || finding.RemainingFaults != 0 || finding.Spec.Fleet.Workers >= search.Draw(finding.DrawNumber).Fleet.Workers {
		t.Errorf("the mutant needs no fault to break its rule, but %d of %d faults are left", finding.RemainingFaults, finding.DrawnFaults)
	}
	kept, err := scenario.Parse("kept", finding.File())
	if err != nil {
		t.Fatal(err)
	}
	repeated, err := Run(context.Background(), Job{Spec: kept, Seed: uint64(kept.Seed), Driver: scenario.DriverSimulation, Subject: search.Subject})
	if err != nil || repeated.Result().Value.Mix != finding.Value || repeated.Violations() == 0 {
		t.Errorf("the kept file does not repeat the run: %v", err)
	}
	search.Starvation = true // broken rules are kept all the same, and no baseline is run
	if result, err = search.Run(context.Background(), nil); err != nil || result.Violations == 0 || result.Worst[0].BaselineValue != 0 {
		t.Errorf("expected a search for starvation to keep broken rules and to run no baseline, got %+v, %v", result, err)
	}
}

// A draw depends on the seed and its number alone, so a longer search begins with the draws of a shorter one.
func TestDrawDependsOnSeedAndNumber(t *testing.T) {
	a, b := Search{Seed: 9}, Search{Seed: 9, MaxRuns: 3}
	kinds := map[string]bool{}
	for i := range 300 {
		x, y := a.Draw(i), b.Draw(i)
		if string(scenario.Encode(x)) != string(scenario.Encode(y)) {
			t.Fatalf("draw %d differs", i)
		}
		for _, f := range x.Faults {
			kinds[f.Kind] = true
		}
	}
	for _, kind := range searchedFaults {
		if !kinds[kind] {
			t.Errorf("300 draws without a %s", kind)
		}
	}
}

// Of each kind of finding the worst is kept. Broken rules come first and are kept even beyond the limit.
func TestSearchKeepsWorstOfEachKind(t *testing.T) {
	result := &SearchResult{}
	newFinding := func(regret float64, kinds ...string) *Finding {
		f := &Finding{Spec: &scenario.Scenario{}, BaselineValue: regret}
		for _, k := range kinds {
			f.Spec.Faults = append(f.Spec.Faults, scenario.Fault{Kind: k})
		}
		return f
	}
	rule := newFinding(0, "cut")
	rule.Rule = "drain"
	for _, f := range []*Finding{
		newFinding(0.2, "hang"), newFinding(0.3, "hang"), newFinding(0.1, "hang"), newFinding(0.5, "crash", "hang"),
		newFinding(0.4, "hang", "crash"), newFinding(0.25, "cut"), rule,
	} {
		result.keep(f, 2)
	}
	var remaining []string
	for _, f := range result.Worst {
		remaining = append(remaining, f.Description())
	}
	want := []string{"rule drain broken", "value 0.000, the baseline has 0.500"}
	if !slices.Equal(remaining, want) {
		t.Errorf("kept %v", remaining)
	}
}

// The table has a row for each scenario, and in it a cell for each policy, over all seeds.
func TestBaselineTable(t *testing.T) {
	baselines := BaselineTable{
		Specs: []*scenario.Scenario{smallScenario(t), smallScenario(t, "load.of=0.9")}, Policies: []string{"random", "all-seeing"},
		Seeds: Seeds(1, 3),
	}
	baselines.Metric = findHeadline(t, "in_time")
	table, err := baselines.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range table {
		if len(line.Cells) != 2 || line.Cells[0].Runs != 3 || line.Cells[0].Mean > line.Cells[1].Mean {
			t.Errorf("%s: random %v, all-seeing %v", line.Scenario, line.Cells[0], line.Cells[1])
		}
	}
	table[0].Cells[0] = newCell(nil)
	if b, err := json.Marshal(table); err != nil || !strings.Contains(string(b), `"mean":null`) {
		t.Errorf("a mean without runs is not encoded as null: %v: %s", err, b)
	}
	if text := baselines.Markdown(table); strings.Count(text, "\n") != 4 || !strings.Contains(text, "| all-seeing |") {
		t.Errorf("table:\n%s", text)
	}
}

// With PeersSuffix, schedulers send each other datagrams, and the table shows their number and cost.
func TestBaselineTablePeers(t *testing.T) {
	spec := smallScenario(t, "schedulers.count=4", "peers.price=0.01")
	baselines := BaselineTable{
		Specs: []*scenario.Scenario{spec}, Policies: []string{PolicyDispatch, PolicyDispatch + PeersSuffix}, Seeds: Seeds(1, 2),
	}
	baselines.Metric = findHeadline(t, "in_time")
	table, err := baselines.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	peers := table[0].Peers
	if len(peers) != 2 || peers[0].Datagrams != 0 || peers[1].Datagrams == 0 || peers[1].Jobs != peers[0].Jobs {
		t.Errorf("datagrams: %+v", peers)
	}
	if text := baselines.Markdown(table); strings.Count(text, "| logic+peers |") != 2 {
		t.Errorf("table:\n%s", text)
	}
	if spec.Peers.On {
		t.Error("the original scenario was changed")
	}
}

// A scaled fleet of any size has the given number of workers and jobs.
func TestScaleFleet(t *testing.T) {
	for _, workers := range []int{3, 100, 3000} {
		scaled, err := ScaleFleet(baseScenario(), workers, 9000)
		if err != nil {
			t.Fatal(err)
		}
		if jobs := scaled.Rate() * scaled.Length.Std().Seconds(); scaled.Fleet.Workers != workers || jobs < 8900 || scaled.Length.Std() < minLength {
			t.Errorf("%d workers: %.0f jobs in %v", workers, jobs, scaled.Length.Std())
		}
	}
}

// A panic in a run is returned as an error that names the run.
func TestPanicNamesTheRun(t *testing.T) {
	_, err := Run(context.Background(), Job{
		Spec: smallScenario(t), Seed: 77, Driver: scenario.DriverSimulation,
		Observer: func(*trace.Event) { panic("on purpose") },
	})
	if !errors.Is(err, ErrStopped) || !strings.Contains(err.Error(), "seed 77") || !strings.Contains(err.Error(), "on purpose") {
		t.Errorf("got %v", err)
	}
}

func findHeadline(t *testing.T, name string) score.Headline {
	t.Helper()
	h, ok := score.HeadlineOf(name)
	if !ok {
		t.Fatalf("unknown figure %q", name)
	}
	return h
}
