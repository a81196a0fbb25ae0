package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

type playCommand struct {
	Scenario   string `arg:"" name:"scenario" optional:"" help:"Name, file or -."`
	From       string `name:"from" help:"Repeat a run exactly: that of a scenario file which names its seed, as hunt --out writes them." placeholder:"FILE" type:"existingfile"`
	Driver     string `name:"driver" help:"virtual (simulated time) or live (real processes)." enum:"virtual,live" default:"virtual"`
	Seed       uint64 `name:"seed" help:"Seed; 0: that of the scenario, or else 1." default:"0"`
	Mutant     string `name:"mutant" help:"Run a mutant, in front of each scheduler or in place of its policy; virtual only. See valvecove-testbed mutants."`
	Starvation bool   `name:"starvation" aliases:"starve" help:"Look for attempts that wait or are rejected while workers are idle."`
	Quiet      bool   `name:"quiet" short:"q" help:"Show no progress."`
	Logs       string `name:"logs" help:"Keep the schedulers' configuration and logs in this folder; live only." type:"path"`
	subjectFlags
	outputFlags
}

// Run runs the scenario once.
func (c *playCommand) Run(ctx context.Context, streams *standardStreams) error {
	job, err := c.job(streams)
	if err != nil {
		return err
	}
	remove, err := prepareProcesses(ctx, &job, c.Logs, streams)
	if err != nil {
		return err
	}
	defer remove()
	if !c.Quiet && c.JSON != "-" && c.Driver == scenario.DriverProcess {
		display := newProgressDisplay(streams.stderr)
		defer display.close()
		job.OnSnapshot = display.showSnapshot
	}
	result, err := experiment.Run(ctx, job)
	if err != nil {
		return err
	}
	result.Document.Build = buildName() + ", " + result.Document.Build
	if err := c.writeResult(result, streams); err != nil {
		return err
	}
	return verdictError(result)
}

// job turns the flags into a job.
func (c *playCommand) job(streams *standardStreams) (experiment.Job, error) {
	if (c.Scenario == "") == (c.From == "") {
		return experiment.Job{}, errors.New("play needs a scenario, or --from FILE")
	}
	name := c.Scenario
	if c.From != "" {
		name = asPath(c.From)
	}
	spec, err := openScenario(name, streams)
	if err != nil {
		return experiment.Job{}, err
	}
	seed, err := c.seed(spec)
	if err != nil {
		return experiment.Job{}, err
	}
	job := experiment.Job{
		Spec: spec, Seed: seed, Driver: c.Driver, Starvation: c.Starvation,
		Subject: experiment.Subject{Name: c.Policy, Policy: c.Policy, Mutant: c.Mutant, Set: c.Set, Binary: c.Binary},
	}
	if c.Driver == scenario.DriverProcess {
		job.Subject.Name = "valvecove"
		job.Subject.Policy = ""
	}
	return job, nil
}

// asPath returns the path of a file in a form that can't be taken for the name of a scenario in the library.
func asPath(file string) string {
	if filepath.Base(file) == file {
		return "." + string(os.PathSeparator) + file
	}
	return file
}

// seed returns the seed of the run. With --from it is that of the file; else it is that of --seed, that of the scenario, or 1.
func (c *playCommand) seed(spec *scenario.Scenario) (uint64, error) {
	kept := uint64(spec.Seed)
	switch {
	case c.From != "" && kept == 0:
		return 0, fmt.Errorf("%s: key \"seed\": missing, so --from can't repeat a run of it", c.From)
	case c.From != "" && c.Seed != 0 && c.Seed != kept:
		return 0, fmt.Errorf("--seed conflicts with --from, which repeats the run of %s with its seed %d", c.From, kept)
	case c.Seed == 0:
		return max(1, kept), nil
	}
	return c.Seed, nil
}
