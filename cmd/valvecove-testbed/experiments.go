package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/mutation"
	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/scenarios"
)

type compareCommand struct {
	Scenarios []string `arg:"" name:"scenarios" optional:"" help:"Names or files; none: the library."`
	Driver    string   `name:"driver" help:"virtual or live." enum:"virtual,live" default:"virtual"`
	A         string   `name:"a" help:"One side: a policy, or (live) a scheduler's program." default:"logic"`
	B         string   `name:"b" help:"The other side; the same kinds." default:""`
	ASet      []string `name:"a-set" help:"Change a key of the scenario for A." sep:"none" placeholder:"KEY=VALUE"`
	BSet      []string `name:"b-set" help:"Change a key of the scenario for B." sep:"none" placeholder:"KEY=VALUE"`
	ATestbed  string   `name:"a-lab" help:"A is played by another build's valvecove-testbed." type:"existingfile"`
	BTestbed  string   `name:"b-lab" help:"B is played by another build's valvecove-testbed." type:"existingfile"`
	JSON      string   `name:"json" help:"Write all as JSON to a file, or to standard output for -." placeholder:"FILE"`
	Report    string   `name:"report" help:"Write a page of HTML for each scenario into this folder." type:"path" placeholder:"DIR"`
	seedFlags
}

// side makes a subject of flags.
func (c *compareCommand) side(which, what string, set []string, lab string) experiment.Subject {
	subject := experiment.Subject{Set: set, Testbed: lab}
	if c.Driver == scenario.DriverProcess {
		subject.Binary = what
	} else {
		subject.Policy = what
	}
	parts := []string{what}
	if lab != "" {
		parts[0] = filepath.Base(lab) + " " + what
	}
	if subject.Name = strings.Join(append(parts, set...), " "); strings.TrimSpace(subject.Name) == "" {
		subject.Name = which
	}
	return subject
}

// Run plays it.
func (c *compareCommand) Run(ctx context.Context, s *streams) error {
	specs, err := openScenarios(c.Scenarios, c.Driver, s)
	if err != nil {
		return err
	}
	if c.B == "" {
		c.B = c.A
	}
	if c.Driver == scenario.DriverProcess && c.A == experiment.PolicyDispatch {
		c.A = ""
		if c.B == experiment.PolicyDispatch {
			c.B = ""
		}
	}
	subject, b := c.side("A", c.A, c.ASet, c.ATestbed), c.side("B", c.B, c.BSet, c.BTestbed)
	if subject.Name == b.Name && subject.Testbed == b.Testbed {
		return fmt.Errorf("both sides are %q: change one with --b, --b-set or --b-lab", subject.Name)
	}
	job := experiment.Job{Driver: c.Driver}
	if c.Driver == scenario.DriverProcess && (subject.Binary == "" || b.Binary == "") {
		done, err := prepare(ctx, &job, "", s)
		if err != nil {
			return err
		}
		defer done()
		for _, side := range []*experiment.Subject{&subject, &b} {
			if side.Binary == "" {
				side.Binary = job.Subject.Binary
			}
		}
	}
	contest := experiment.Comparison{
		Specs: specs, Seeds: c.list(), Subjects: []experiment.Subject{subject, b}, Driver: c.Driver,
		Parallelism: c.parallelism(c.Driver), Job: job,
	}
	results, err := contest.Run(ctx, progressCounter(s.errors, "compare"))
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := saveJSON(c.JSON, results, s); err != nil {
			return err
		}
	}
	broken := 0
	for _, comparison := range results {
		comparison.Build = buildName()
		for _, side := range comparison.Sides {
			broken += side.Broken
		}
		if c.Report != "" {
			name := strings.ReplaceAll(comparison.Title, " ", "-") + ".html"
			if err := saveFile(c.Report, name, func(w io.Writer) error { return report.WriteCompare(w, comparison) }); err != nil {
				return err
			}
		}
		if c.JSON != "-" {
			if err := report.ComparePage(s.output, comparison); err != nil {
				return err
			}
		}
	}
	if broken > 0 {
		return exitError(exitUsage)
	}
	return nil
}

type variationCommand struct {
	Scenario string `arg:"" name:"scenario" help:"Name, file or -."`
	Vary     string `name:"vary" help:"The key and its values: load.of=0.3,0.5,0.7 or load.of=0.2..1.2/11." required:""`
	Curves   string `name:"curves" help:"A second key; a curve for each of its values."`
	Metric   string `name:"figure" help:"The figure that is drawn." default:"mix"`
	Driver   string `name:"driver" help:"virtual or live." enum:"virtual,live" default:"virtual"`
	JSON     string `name:"json" help:"Write all as JSON to a file, or to standard output for -." placeholder:"FILE"`
	Report   string `name:"report" help:"Write a page of HTML into this folder." type:"path" placeholder:"DIR"`
	subjectFlags
	seedFlags
}

// Run plays it.
func (c *variationCommand) Run(ctx context.Context, streams *streams) error {
	spec, err := openScenario(c.Scenario, streams)
	if err != nil {
		return err
	}
	varied, err := experiment.ParseVary(c.Vary)
	if err != nil {
		return err
	}
	var curves experiment.Vary
	if c.Curves != "" {
		if curves, err = experiment.ParseVary(c.Curves); err != nil {
			return err
		}
	}
	if _, ok := score.HeadlineOf(c.Metric); !ok {
		return fmt.Errorf("--figure: %q is none of %s", c.Metric, metricNames())
	}
	job := experiment.Job{Driver: c.Driver, Subject: experiment.Subject{Binary: c.Binary}}
	done, err := prepare(ctx, &job, "", streams)
	if err != nil {
		return err
	}
	defer done()
	work := experiment.Variation{
		Spec: spec, Vary: varied, Curves: curves, Seeds: c.list(), Driver: c.Driver, Figure: c.Metric,
		Subject:     experiment.Subject{Name: c.Policy, Policy: c.Policy, Set: c.Set, Binary: job.Subject.Binary},
		Parallelism: c.parallelism(c.Driver), Job: job,
	}
	variation, err := work.Run(ctx, progressCounter(streams.errors, "sweep"))
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := saveJSON(c.JSON, variation, streams); err != nil {
			return err
		}
	}
	if c.Report != "" {
		if err := saveFile(c.Report, "sweep.html", func(w io.Writer) error { return report.WriteVariation(w, variation) }); err != nil {
			return err
		}
	}
	if c.JSON == "-" {
		return nil
	}
	return report.VariationPage(streams.output, variation)
}

func metricNames() string {
	var names []string
	for _, h := range score.Headlines {
		names = append(names, h.Name)
	}
	return strings.Join(names, ", ")
}

type huntCommand struct {
	For         time.Duration `name:"for" help:"Hunt for so long." default:"1m"`
	MaxRuns     int           `name:"most" help:"At most so many plays; 0: as many as there is time for." default:"0"`
	Seed        uint64        `name:"seed" help:"Seed of the draws." default:"1"`
	Keep        int           `name:"keep" help:"Keep so many of the worst." default:"8"`
	OutputDir   string        `name:"out" help:"Keep them in this folder, as scenario files to be played by play --from." type:"path" placeholder:"DIR"`
	Parallelism int           `name:"at" help:"Plays at once; 0: as many as there are processors." default:"0"`
	Policy      string        `name:"policy" help:"Policy that is hunted." default:"logic"`
	Baseline    string        `name:"top" help:"Yardstick that it is held against." default:"all-seeing"`
	Starvation  bool          `name:"starve" help:"Hunt for tries that wait or are refused while worker nodes are idle; no yardstick is played."`
}

// Run hunts.
func (c *huntCommand) Run(ctx context.Context, streams *streams) error {
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	h := experiment.Search{
		Seed: c.Seed, Subject: experiment.Subject{Name: c.Policy, Policy: c.Policy}, Baseline: c.Baseline,
		Keep: c.Keep, Parallelism: c.Parallelism, MaxRuns: c.MaxRuns, Starvation: c.Starvation,
	}
	from := time.Now()
	got, err := h.Run(ctx, func(f *experiment.Finding, plays int) {
		fmt.Fprintf(streams.errors, "%6.0fs  play %d, draw %d: %s; %d of %d faults left\n", time.Since(from).Seconds(), plays, f.DrawNumber,
			f.Description(), f.Faults, f.Drawn)
	})
	if err != nil && ctx.Err() == nil {
		return err
	}
	fmt.Fprintf(streams.output, "%d plays, mean regret %.3f, %d with a rule broken or stopped; kept:\n", got.Runs, got.Mean, got.Violations)
	for i, f := range got.Worst {
		fmt.Fprintf(streams.output, "%2d  %s (draw %d, seed %d)\n", i+1, f.Description(), f.DrawNumber, f.Spec.Seed)
		for _, x := range f.Spec.Faults {
			fmt.Fprintf(streams.output, "      %s at %v for %v\n", x.Kind, x.At.Std(), x.Duration.Std())
		}
		if c.OutputDir != "" {
			text := f.File()
			err := saveFile(c.OutputDir, fmt.Sprintf("find-%d-draw-%d.toml", c.Seed, f.DrawNumber), func(w io.Writer) error {
				_, err := w.Write(text)
				return err
			})
			if err != nil {
				return err
			}
		}
	}
	if got.Violations > 0 {
		return exitError(exitUsage)
	}
	return nil
}

// agreementScenarios are the scenarios that both drivers are held against each other by, unless others are named.
var agreementScenarios = []string{
	"calm", "busy", "crash_cold", "hang", "society_rush", "drain", "planned_restart", "stale_list",
	"errors", "eid_swell",
}

type agreeCommand struct {
	Scenarios        []string `arg:"" name:"scenarios" optional:"" help:"Names or files; none: ten of the library."`
	Seeds            int      `name:"seeds" help:"Live plays of each." default:"3"`
	First            uint64   `name:"first" help:"The first seed." default:"1"`
	ExtraSimulations int      `name:"more" help:"Further plays in virtual time, for its spread." default:"27"`
	Parallelism      int      `name:"at" help:"Live plays at once; those that were late are void." default:"1"`
	Binary           string   `name:"binary" help:"The scheduler's program." type:"path"`
	JSON             string   `name:"json" help:"Write all as JSON to a file, or to standard output for -." placeholder:"FILE"`
}

// Run plays it.
func (c *agreeCommand) Run(ctx context.Context, streams *streams) error {
	names := c.Scenarios
	if len(names) == 0 {
		names = agreementScenarios
	}
	specs, err := openScenarios(names, scenario.DriverProcess, streams)
	if err != nil {
		return err
	}
	job := experiment.Job{Driver: scenario.DriverProcess, Subject: experiment.Subject{Binary: c.Binary}}
	done, err := prepare(ctx, &job, "", streams)
	if err != nil {
		return err
	}
	defer done()
	work := experiment.Agreement{
		Specs: specs, Seeds: experiment.Seeds(c.First, max(1, c.Seeds)), ExtraSimulations: c.ExtraSimulations, ProcessParallelism: c.Parallelism,
		Subject: experiment.Subject{Name: "valvecove", Binary: job.Subject.Binary}, Job: job,
	}
	table, err := work.Run(ctx, progressCounter(streams.errors, "agree"))
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := saveJSON(c.JSON, table, streams); err != nil || c.JSON == "-" {
			return err
		}
	}
	fmt.Fprint(streams.output, experiment.AgreementMarkdown(table))
	for _, line := range table {
		if !line.Within() || line.Violations > 0 {
			return exitError(exitUsage)
		}
	}
	return nil
}

type baselinesCommand struct {
	Scenarios  []string `arg:"" name:"scenarios" optional:"" help:"Names or files; none: the library."`
	FleetSizes []int    `name:"fleets" help:"Instead: the calm and the busy play at these numbers of worker nodes." placeholder:"N,N"`
	Jobs       float64  `name:"jobs" help:"With --fleets: jobs of each play." default:"20000"`
	Policies   []string `name:"policies" help:"Policies; none: all." placeholder:"NAME,NAME"`
	Metric     string   `name:"figure" help:"The figure that is shown." default:"mix"`
	JSON       string   `name:"json" help:"Write all as JSON to a file, or to standard output for -." placeholder:"FILE"`
	seedFlags
}

// Run plays it.
func (c *baselinesCommand) Run(ctx context.Context, streams *streams) error {
	figure, ok := score.HeadlineOf(c.Metric)
	if !ok {
		return fmt.Errorf("--figure: %q is none of %s", c.Metric, metricNames())
	}
	var specs []*scenario.Scenario
	var err error
	if len(c.FleetSizes) > 0 {
		specs, err = scaledFleets(c.Scenarios, c.FleetSizes, c.Jobs, streams)
	} else {
		specs, err = openScenarios(c.Scenarios, scenario.DriverSimulation, streams)
	}
	if err != nil {
		return err
	}
	if len(c.Policies) == 0 {
		c.Policies = experiment.PolicyNames()
	}
	work := experiment.BaselineTable{Specs: specs, Policies: c.Policies, Seeds: c.list(), Metric: figure, Parallelism: c.Parallelism}
	table, err := work.Run(ctx, progressCounter(streams.errors, "yardsticks"))
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := saveJSON(c.JSON, table, streams); err != nil || c.JSON == "-" {
			return err
		}
	}
	fmt.Fprint(streams.output, work.Markdown(table))
	return nil
}

// scaledFleets are scenarios at several sizes.
func scaledFleets(names []string, sizes []int, jobs float64, s *streams) ([]*scenario.Scenario, error) {
	if len(names) == 0 {
		names = []string{"calm", "busy"}
	}
	base, err := openScenarios(names, scenario.DriverSimulation, s)
	if err != nil {
		return nil, err
	}
	var specs []*scenario.Scenario
	for _, spec := range base {
		for _, nodes := range sizes {
			fleet, err := experiment.ScaleFleet(spec, nodes, jobs)
			if err != nil {
				return nil, err
			}
			specs = append(specs, fleet)
		}
	}
	return specs, nil
}

type speedCommand struct {
	Scenario string  `arg:"" name:"scenario" optional:"" help:"Name or file." default:"calm"`
	Fleets   []int   `name:"fleets" help:"Numbers of worker nodes." default:"10,100,1000,10000"`
	Jobs     float64 `name:"jobs" help:"Jobs of each play." default:"100000"`
	Policy   string  `name:"policy" help:"Policy." default:"logic"`
	Runs     int     `name:"runs" help:"Plays of each, of which the median counts." default:"3"`
}

// Run measures it, on one core.
func (c *speedCommand) Run(ctx context.Context, streams *streams) error {
	specs, err := scaledFleets([]string{c.Scenario}, c.Fleets, c.Jobs, streams)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	fmt.Fprintf(streams.output, "| nodes | requests | requests/s, judged: least, median, most | unjudged |\n| ---: | ---: | --- | --- |\n")
	for _, spec := range specs {
		line := fmt.Sprintf("| %d |", spec.Fleet.Workers)
		for i, unjudged := range []bool{false, true} {
			var all []float64
			for range max(1, c.Runs) {
				from := time.Now()
				p, err := experiment.Run(ctx, experiment.Job{
					Spec: spec, Seed: 1, Driver: scenario.DriverSimulation, Unchecked: unjudged,
					Subject: experiment.Subject{Policy: c.Policy},
				})
				if err != nil {
					return err
				}
				all = append(all, experiment.Speed{Requests: p.Simulation.Requests, Elapsed: time.Since(from)}.PerSecond())
				if i == 0 && len(all) == 1 {
					line += fmt.Sprintf(" %d |", p.Simulation.Requests)
				}
			}
			low, middle, high := experiment.Spread(all)
			line += fmt.Sprintf(" %.0f, %.0f, %.0f |", low, middle, high)
		}
		fmt.Fprintln(streams.output, line)
	}
	return nil
}

type mutantsCommand struct {
	Names []string `arg:"" name:"names" optional:"" help:"Of seeded faults; none: all."`
	Seeds int      `name:"seeds" help:"Plays of each." default:"1"`
}

// Run plays them, and says whether each was found by its rule.
func (c *mutantsCommand) Run(ctx context.Context, s *streams) error {
	missed := 0
	for _, mutant := range mutation.All() {
		if len(c.Names) > 0 && !slices.Contains(c.Names, mutant.Name) {
			continue
		}
		found, others := 0, map[string]int{}
		for seed := range uint64(max(1, c.Seeds)) {
			p, err := experiment.Run(ctx, experiment.Job{
				Spec: mutant.Scenario(), Seed: seed + 1, Driver: scenario.DriverSimulation,
				Subject: experiment.Subject{Name: mutant.Name, Mutant: mutant.Name},
			})
			if err != nil {
				return err
			}
			for _, t := range p.Verdict.Rules {
				if t.Violated > 0 && t.Rule == mutant.Rule {
					found++
				} else if t.Violated > 0 {
					others[t.Rule]++
				}
			}
		}
		word := "found"
		if found < max(1, c.Seeds) {
			word = "MISSED"
			missed++
		}
		fmt.Fprintf(s.output, "%-28s %-22s %s in %d of %d plays", mutant.Name, mutant.Rule, word, found, max(1, c.Seeds))
		if len(others) > 0 {
			fmt.Fprintf(s.output, "; also %v", others)
		}
		fmt.Fprintln(s.output)
	}
	if missed > 0 {
		return exitError(exitUsage)
	}
	return nil
}

type listCommand struct{}

// Run lists the library.
func (listCommand) Run(s *streams) error {
	for _, name := range scenarios.Names() {
		spec, err := scenarios.Open(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.output, "%-26s %s\n", name, spec.Description)
	}
	return nil
}

type checkCommand struct {
	Files []string `arg:"" name:"files" help:"Scenario files."`
}

// Run checks files, all of them.
func (c *checkCommand) Run(streams *streams) error {
	faults := 0
	for _, name := range c.Files {
		if _, err := openScenario(name, streams); err != nil {
			if text := err.Error(); strings.HasPrefix(text, name+":") {
				fmt.Fprintln(streams.errors, text)
			} else {
				fmt.Fprintf(streams.errors, "%s: %s\n", name, text)
			}
			faults++
			continue
		}
		fmt.Fprintf(streams.output, "%s: sound\n", name)
	}
	if faults > 0 {
		return exitError(exitViolation)
	}
	return nil
}

type versionCommand struct{}

// Run says which build this is.
func (versionCommand) Run(s *streams) error {
	_, err := fmt.Fprintln(s.output, "valvecove-testbed", buildName())
	return err
}
