package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"valvecove/internal/testbed/experiment"
)

type searchCommand struct {
	For         time.Duration `name:"for" help:"How long to search." default:"1m"`
	MaxRuns     int           `name:"most" help:"Maximum number of runs; 0: as many as there is time for." default:"0"`
	Seed        uint64        `name:"seed" help:"Seed of the draws." default:"1"`
	Keep        int           `name:"keep" help:"How many of the worst runs to keep." default:"8"`
	Directory   string        `name:"out" help:"Keep the worst runs in this folder, as scenario files that play --from repeats." type:"path" placeholder:"DIR"`
	Parallelism int           `name:"at" help:"Runs at once; 0: as many as there are processors." default:"0"`
	Policy      string        `name:"policy" help:"Policy under test." default:"logic"`
	Baseline    string        `name:"top" help:"Baseline policy that it is compared with." default:"all-seeing"`
	Starvation  bool          `name:"starvation" aliases:"starve" help:"Look for attempts that wait or are rejected while workers are idle; no baseline is run."`
}

// Run searches, and prints the runs that it keeps.
func (c *searchCommand) Run(ctx context.Context, streams *standardStreams) error {
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	search := experiment.Search{
		Seed: c.Seed, Subject: experiment.Subject{Name: c.Policy, Policy: c.Policy}, Baseline: c.Baseline,
		Keep: c.Keep, Parallelism: c.Parallelism, MaxRuns: c.MaxRuns, Starvation: c.Starvation,
	}
	start := time.Now()
	result, err := search.Run(ctx, func(finding *experiment.Finding, runs int) {
		fmt.Fprintf(streams.stderr, "%6.0fs  run %d, draw %d: %s; %d of %d faults left\n", time.Since(start).Seconds(), runs,
			finding.DrawNumber, finding.Description(), finding.RemainingFaults, finding.DrawnFaults)
	})
	if err != nil && ctx.Err() == nil {
		return err
	}
	fmt.Fprintf(streams.stdout, "%d runs, mean regret %.3f, %d broke a rule or failed; kept:\n",
		result.Runs, result.MeanRegret, result.Violations)
	for i := range result.Worst {
		if err := c.writeFinding(i+1, &result.Worst[i], streams); err != nil {
			return err
		}
	}
	if result.Violations > 0 {
		return exitError(exitViolation)
	}
	return nil
}

// writeFinding prints a finding, and with --out saves it as a scenario file.
func (c *searchCommand) writeFinding(number int, finding *experiment.Finding, streams *standardStreams) error {
	fmt.Fprintf(streams.stdout, "%2d  %s (draw %d, seed %d)\n", number, finding.Description(), finding.DrawNumber, finding.Spec.Seed)
	for _, fault := range finding.Spec.Faults {
		fmt.Fprintf(streams.stdout, "      %s at %v for %v\n", fault.Kind, fault.At.Std(), fault.Duration.Std())
	}
	if c.Directory == "" {
		return nil
	}
	name := fmt.Sprintf("find-%d-draw-%d.toml", c.Seed, finding.DrawNumber)
	return saveFile(c.Directory, name, func(w io.Writer) error {
		_, err := w.Write(finding.File())
		return err
	})
}
