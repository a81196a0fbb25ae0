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

// base is the default scenario, with a name.
func base() *scenario.Scenario {
	s := scenario.Default()
	s.Name = "base"
	return s
}

// small is a run that takes milliseconds.
func small(t *testing.T, changes ...string) *scenario.Scenario {
	t.Helper()
	spec, err := ApplyChanges(base(), append([]string{`length="4s"`, "fleet.nodes=5"}, changes...))
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

func TestChangeNamesWhatIsWrong(t *testing.T) {
	for _, c := range []struct{ change, want string }{
		{"load.of", "key=value"},
		{"=3", "key=value"},
		{"load.off=3", "load.off"},
		{"load.of=many", "load.of"},
		{"fleet.nodes=0", "fleet.nodes"},
		{"fault[0].size=3", "fault"},
	} {
		_, err := ApplyChanges(base(), []string{c.change})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, expected it to name %s", c.change, err, c.want)
		}
	}
	from := base()
	changed, err := ApplyChanges(from, []string{"load.of=0.9"})
	if err != nil {
		t.Fatal(err)
	}
	if changed.Load.CapacityShare != 0.9 || from.Load.CapacityShare == 0.9 {
		t.Errorf("%v changed, %v in the one it was made from", changed.Load.CapacityShare, from.Load.CapacityShare)
	}
}

func TestParseVary(t *testing.T) {
	for text, want := range map[string][]string{
		"load.of=0.2..1/5":                      {"0.2", "0.4", "0.6", "0.8", "1"},
		"fleet.nodes=1, 2,40":                   {"1", "2", "40"},
		`load.shape="steady","swell"`:           {`"steady"`, `"swell"`},
		`fleet.zones=["a","b"],["c"]`:           {`["a","b"]`, `["c"]`},
		`fault[0].on={cells=[1,2]},{cells=[3]}`: {`{cells=[1,2]}`, `{cells=[3]}`},
	} {
		v, err := ParseVary(text)
		if err != nil || !slices.Equal(v.Values, want) {
			t.Errorf("%s: %v, %v", text, v.Values, err)
		}
	}
	for _, text := range []string{"load.of", "load.of=", "load.of=1..2", "load.of=1..x/3", "load.of=1..2/1", "load.of=1,,2"} {
		if v, err := ParseVary(text); err == nil {
			t.Errorf("%s was taken as %v", text, v)
		}
	}
}

// The result of a run follows from scenario, subject and seed, whatever else runs at the same time.
func TestBatchOrderAndResults(t *testing.T) {
	spec := small(t)
	var jobs []Job
	for _, seed := range Seeds(1, 6) {
		jobs = append(jobs, Job{Spec: spec, Seed: seed, Driver: scenario.DriverSimulation, Subject: Subject{Name: PolicyDispatch}})
	}
	texts := func(at int) []string {
		var all []string
		if err := Batch(context.Background(), jobs, at, func(i int, p *RunResult) error {
			if p.Result().Seed != jobs[i].Seed {
				t.Errorf("job %d came back with seed %d", i, p.Result().Seed)
			}
			b, err := json.Marshal(p.Document)
			all = append(all, string(b))
			return err
		}); err != nil {
			t.Fatal(err)
		}
		return all
	}
	one, many := texts(1), texts(4)
	if !slices.Equal(one, many) {
		t.Error("plays differ by how many are played at once")
	}
	if one[0] == one[1] {
		t.Error("two seeds gave the same play")
	}
}

func TestBatchStopsAtTheFirstError(t *testing.T) {
	spec, stop := small(t), errors.New("enough")
	jobs := slices.Repeat([]Job{{Spec: spec, Seed: 1, Driver: scenario.DriverSimulation}}, 40)
	seen := 0
	err := Batch(context.Background(), jobs, 3, func(i int, _ *RunResult) error {
		if seen++; i == 2 {
			return stop
		}
		return nil
	})
	if !errors.Is(err, stop) || seen != 3 {
		t.Errorf("%v after %d", err, seen)
	}
	jobs[1].Subject.Policy = "none such"
	if err := Batch(context.Background(), jobs, 2, func(int, *RunResult) error { return nil }); err == nil ||
		!strings.Contains(err.Error(), "none such") {
		t.Errorf("a policy that there is not: %v", err)
	}
}

// All sides of a comparison meet the same environment, and a subject does not differ from itself.
func TestComparisonIsPaired(t *testing.T) {
	c := Comparison{
		Specs: []*scenario.Scenario{small(t), small(t, "load.of=0.8")}, Seeds: Seeds(3, 3), Driver: scenario.DriverSimulation,
		Subjects: []Subject{{Name: "a", Policy: PolicyDispatch}, {Name: "b", Policy: PolicyDispatch}, {Name: "random", Policy: "random"}},
	}
	got, err := c.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != 3 || len(got[2].Sides[0].Results) != 6 {
		t.Fatalf("%d comparisons", len(got))
	}
	for _, r := range got {
		a, b, other := r.Sides[0].Results, r.Sides[1].Results, r.Sides[2].Results
		for i := range a {
			if a[i].Value != b[i].Value || a[i].Whole.Requested != other[i].Whole.Requested || a[i].Seed != other[i].Seed {
				t.Errorf("%s, play %d: sides met different worlds", r.Title, i)
			}
		}
		for _, p := range r.Pairs()[0] {
			if p.Significant || p.Difference != 0 {
				t.Errorf("%s: %s differs between a subject and itself: %s", r.Title, p.Metric, p.Verdict)
			}
		}
	}
}

func TestVariationPoints(t *testing.T) {
	s := Variation{
		Spec: small(t), Vary: Vary{"load.of", []string{"0.9", "0.3"}}, Curves: Vary{"fleet.nodes", []string{"3", "6"}},
		Seeds: Seeds(1, 2), Driver: scenario.DriverSimulation, Figure: "mix", Subject: Subject{Name: PolicyDispatch},
	}
	got, err := s.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range got.Curves {
		if len(c.Points) != 2 || c.Points[0].X != 0.3 || c.Points[1].X != 0.9 {
			t.Fatalf("curve %s has its points out of order", c.Name)
		}
		low, high := c.Points[0].Results, c.Points[1].Results
		if len(low) != 2 || len(high) != 2 || low[0].Whole.JobsDue >= high[0].Whole.JobsDue {
			t.Errorf("curve %s: the plays are not those of their points", c.Name)
		}
	}
	if a, b := got.Curves[0].Points[0].Results[0], got.Curves[1].Points[0].Results[0]; a.Capacity >= b.Capacity {
		t.Error("the second key was not varied")
	}
	s.Vary.Values = append(s.Vary.Values, "-1")
	if _, err := s.Run(context.Background(), nil); err == nil {
		t.Error("a value that the scenario refuses was played")
	}
}

// A search finds a mutant by its rule, minimises the run, and keeps a file that gives the same run again.
func TestSearchFindsMinimisesAndKeeps(t *testing.T) {
	search := Search{Seed: 5, Subject: Subject{Name: "mutant", Mutant: "answers-twice"}, Baseline: PolicyDispatch, MaxRuns: 2, Parallelism: 2, Keep: 2}
	search.trim = func(s *scenario.Scenario) { // plays of milliseconds
		s.Length, s.Fleet.Workers = scenario.Duration(3*time.Second), min(s.Fleet.Workers, 8)
		for i := range s.Faults {
			f := &s.Faults[i]
			f.At, f.Duration, f.Spread = f.At/10, f.Duration/10, f.Spread/10
		}
	}
	got, err := search.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	i := slices.IndexFunc(got.Worst, func(f Finding) bool { return f.Rule == "one-answer" })
	if got.Violations == 0 || i < 0 {
		t.Fatalf("%d plays with a rule broken, kept %v", got.Violations, got.Worst)
	}
	f := got.Worst[i]
	if f.Drawn == 0 || f.Faults != 0 || f.Spec.Fleet.Workers >= search.Draw(f.DrawNumber).Fleet.Workers {
		t.Errorf("the answer given twice needs no fault of the environment, and %d of %d are left", f.Faults, f.Drawn)
	}
	kept, err := scenario.Parse("kept", f.File())
	if err != nil {
		t.Fatal(err)
	}
	p, err := Run(context.Background(), Job{Spec: kept, Seed: uint64(kept.Seed), Driver: scenario.DriverSimulation, Subject: search.Subject})
	if err != nil || p.Result().Value.Mix != f.Value || p.Violations() == 0 {
		t.Errorf("%v: the kept play is another", err)
	}
	search.Starvation = true // breaks are kept just so, and nobody plays beside it
	if got, err = search.Run(context.Background(), nil); err != nil || got.Violations == 0 || got.Worst[0].BaselineValue != 0 {
		t.Errorf("%+v, %v: expected a hunt for starvation to keep broken rules, and to play no yardstick", got, err)
	}
}

// A longer search begins as a shorter one: a draw follows from the seed and its number.
func TestDrawFollowsFromSeedAndNumber(t *testing.T) {
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

func TestSearchKeepsOneOfAKind(t *testing.T) {
	got := &SearchResult{}
	find := func(regret float64, kinds ...string) *Finding {
		f := &Finding{Spec: &scenario.Scenario{}, BaselineValue: regret}
		for _, k := range kinds {
			f.Spec.Faults = append(f.Spec.Faults, scenario.Fault{Kind: k})
		}
		return f
	}
	rule := find(0, "cut")
	rule.Rule = "drain"
	for _, f := range []*Finding{find(0.2, "hang"), find(0.3, "hang"), find(0.1, "hang"), find(0.5, "crash", "hang"), find(0.4, "hang",
		"crash"), find(0.25, "cut"), rule} {
		got.keep(f, 2)
	}
	var remaining []string
	for _, f := range got.Worst {
		remaining = append(remaining, f.Description())
	}
	want := []string{"rule drain broken", "worth 0.000 where 0.500 can be had"}
	if !slices.Equal(remaining, want) {
		t.Errorf("kept %v", remaining)
	}
}

// Baseline policies make a table: a line for each scenario, a cell for each policy, over all seeds.
func TestBaselineTable(t *testing.T) {
	y := BaselineTable{
		Specs: []*scenario.Scenario{small(t), small(t, "load.of=0.9")}, Policies: []string{"random", "all-seeing"},
		Seeds: Seeds(1, 3),
	}
	y.Metric = mustHeadline(t, "in_time")
	table, err := y.Run(context.Background(), nil)
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
		t.Errorf("%v: %s", err, b)
	}
	if text := y.Markdown(table); strings.Count(text, "\n") != 4 || !strings.Contains(text, "| all-seeing |") {
		t.Errorf("table:\n%s", text)
	}
}

// With PeersSuffix, schedulers send each other datagrams, and the table has what they cost.
func TestBaselineTablePeers(t *testing.T) {
	spec := small(t, "schedulers.count=4", "peers.price=0.01")
	y := BaselineTable{
		Specs: []*scenario.Scenario{spec}, Policies: []string{PolicyDispatch, PolicyDispatch + PeersSuffix}, Seeds: Seeds(1, 2),
	}
	y.Metric = mustHeadline(t, "in_time")
	table, err := y.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	peers := table[0].Peers
	if len(peers) != 2 || peers[0].Datagrams != 0 || peers[1].Datagrams == 0 || peers[1].Jobs != peers[0].Jobs {
		t.Errorf("datagrams: %+v", peers)
	}
	if text := y.Markdown(table); strings.Count(text, "| logic+peers |") != 2 {
		t.Errorf("table:\n%s", text)
	}
	if spec.Peers.On {
		t.Error("the given scenario has changed")
	}
}

// Fleets of any size have so many jobs and are as busy.
func TestScaleFleet(t *testing.T) {
	for _, n := range []int{3, 100, 3000} {
		f, err := ScaleFleet(base(), n, 9000)
		if err != nil {
			t.Fatal(err)
		}
		if jobs := f.Rate() * f.Length.Std().Seconds(); f.Fleet.Workers != n || jobs < 8900 || f.Length.Std() < minLength {
			t.Errorf("%d nodes: %.0f jobs in %v", n, jobs, f.Length.Std())
		}
	}
}

// Whatever panics in a run is an error that names the run.
func TestPanicNamesTheRun(t *testing.T) {
	_, err := Run(context.Background(), Job{
		Spec: small(t), Seed: 77, Driver: scenario.DriverSimulation,
		Observer: func(*trace.Event) { panic("on purpose") },
	})
	if !errors.Is(err, ErrStopped) || !strings.Contains(err.Error(), "seed 77") || !strings.Contains(err.Error(), "on purpose") {
		t.Errorf("got %v", err)
	}
}

func mustHeadline(t *testing.T, name string) score.Headline {
	t.Helper()
	h, ok := score.HeadlineOf(name)
	if !ok {
		t.Fatalf("no figure is called %s", name)
	}
	return h
}
