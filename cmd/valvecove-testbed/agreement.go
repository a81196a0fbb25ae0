package main

import (
	"context"
	"fmt"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

// agreementScenarios are the scenarios that are run if the command line names none.
var agreementScenarios = []string{
	"calm", "busy", "crash_cold", "hang", "society_rush", "drain", "planned_restart", "stale_list",
	"errors", "eid_swell",
}

type agreementCommand struct {
	Scenarios        []string `arg:"" name:"scenarios" optional:"" help:"Names or files; none: ten of the library."`
	Seeds            int      `name:"seeds" help:"Live runs of each." default:"3"`
	First            uint64   `name:"first" help:"The first seed." default:"1"`
	ExtraSimulations int      `name:"more" help:"Further simulated runs of each, which show how much such runs vary." default:"27"`
	Parallelism      int      `name:"at" help:"Live runs at once; runs in which the testbed was too late are void." default:"1"`
	Binary           string   `name:"binary" help:"The scheduler's program." type:"path"`
	JSON             string   `name:"json" help:"Write all as JSON to a file, or to standard output for -." placeholder:"FILE"`
}

// Run runs the scenarios with both drivers. It returns exitViolation as an error if their figures don't agree or a rule was
// broken.
func (c *agreementCommand) Run(ctx context.Context, streams *standardStreams) error {
	names := c.Scenarios
	if len(names) == 0 {
		names = agreementScenarios
	}
	specs, err := openScenarios(names, scenario.DriverProcess, streams)
	if err != nil {
		return err
	}
	job := experiment.Job{Driver: scenario.DriverProcess, Subject: experiment.Subject{Binary: c.Binary}}
	remove, err := prepareProcesses(ctx, &job, "", streams)
	if err != nil {
		return err
	}
	defer remove()
	agreement := experiment.Agreement{
		Specs: specs, Seeds: experiment.Seeds(c.First, max(1, c.Seeds)), ExtraSimulations: c.ExtraSimulations,
		ProcessParallelism: c.Parallelism, Subject: experiment.Subject{Name: "valvecove", Binary: job.Subject.Binary}, Job: job,
	}
	results, err := agreement.Run(ctx, newProgressCounter(streams.stderr, "agree"))
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := saveJSON(c.JSON, results, streams); err != nil || c.JSON == "-" {
			return err
		}
	}
	fmt.Fprint(streams.stdout, experiment.AgreementMarkdown(results))
	for _, result := range results {
		if !result.Within() || result.Violations > 0 {
			return exitError(exitViolation)
		}
	}
	return nil
}
