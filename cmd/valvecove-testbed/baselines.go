package main

import (
	"context"
	"fmt"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

type baselinesCommand struct {
	Scenarios  []string `arg:"" name:"scenarios" optional:"" help:"Names or files; none: the library."`
	FleetSizes []int    `name:"fleets" help:"Scale the scenarios (default: calm and busy) to each of these numbers of workers." placeholder:"N,N"`
	Jobs       float64  `name:"jobs" help:"With --fleets: jobs of each run." default:"20000"`
	Policies   []string `name:"policies" help:"Policies; none: all." placeholder:"NAME,NAME"`
	Metric     string   `name:"figure" help:"The figure that is shown." default:"mix"`
	JSON       string   `name:"json" help:"Write all as JSON to a file, or to standard output for -." placeholder:"FILE"`
	seedFlags
}

// Run runs each scenario with each policy.
func (c *baselinesCommand) Run(ctx context.Context, streams *standardStreams) error {
	metric, err := findMetric(c.Metric)
	if err != nil {
		return err
	}
	var specs []*scenario.Scenario
	if len(c.FleetSizes) > 0 {
		specs, err = openScaled(c.Scenarios, c.FleetSizes, c.Jobs, streams)
	} else {
		specs, err = openScenarios(c.Scenarios, scenario.DriverSimulation, streams)
	}
	if err != nil {
		return err
	}
	policies := c.Policies
	if len(policies) == 0 {
		policies = experiment.PolicyNames()
	}
	table := experiment.BaselineTable{Specs: specs, Policies: policies, Seeds: c.list(), Metric: metric, Parallelism: c.Parallelism}
	results, err := table.Run(ctx, newProgressCounter(streams.stderr, "baselines"))
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := saveJSON(c.JSON, results, streams); err != nil || c.JSON == "-" {
			return err
		}
	}
	fmt.Fprint(streams.stdout, table.Markdown(results))
	return nil
}
