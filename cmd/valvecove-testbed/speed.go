package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

type speedCommand struct {
	Scenario string  `arg:"" name:"scenario" optional:"" help:"Name or file." default:"calm"`
	Fleets   []int   `name:"fleets" help:"Numbers of workers." default:"10,100,1000,10000"`
	Jobs     float64 `name:"jobs" help:"Jobs of each run." default:"100000"`
	Policy   string  `name:"policy" help:"Policy." default:"logic"`
	Runs     int     `name:"runs" help:"Runs of each fleet, whose minimum, median and maximum are shown." default:"3"`
}

// Run measures each fleet, with and without the invariant checker, on one core.
func (c *speedCommand) Run(ctx context.Context, streams *standardStreams) error {
	specs, err := openScaled([]string{c.Scenario}, c.Fleets, c.Jobs, streams)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	fmt.Fprintf(streams.stdout, "| nodes | requests | requests/s, checked: least, median, most | unchecked |\n| ---: | ---: | --- | --- |\n")
	for _, spec := range specs {
		checked, requests, err := c.measure(ctx, spec, false)
		if err != nil {
			return err
		}
		unchecked, _, err := c.measure(ctx, spec, true)
		if err != nil {
			return err
		}
		fmt.Fprintf(streams.stdout, "| %d | %d | %s | %s |\n", spec.Fleet.Workers, requests, checked, unchecked)
	}
	return nil
}

// measure returns the spread of the requests per second over all runs of a scenario, and the requests of a run.
func (c *speedCommand) measure(ctx context.Context, spec *scenario.Scenario, unchecked bool) (spread string, requests uint64, err error) {
	var rates []float64
	for range max(1, c.Runs) {
		start := time.Now()
		result, err := experiment.Run(ctx, experiment.Job{
			Spec: spec, Seed: 1, Driver: scenario.DriverSimulation, Unchecked: unchecked,
			Subject: experiment.Subject{Policy: c.Policy},
		})
		if err != nil {
			return "", 0, err
		}
		requests = result.Simulation.Requests
		rates = append(rates, experiment.Speed{Requests: requests, Elapsed: time.Since(start)}.PerSecond())
	}
	low, median, high := experiment.Spread(rates)
	return fmt.Sprintf("%.0f, %.0f, %.0f", low, median, high), requests, nil
}
