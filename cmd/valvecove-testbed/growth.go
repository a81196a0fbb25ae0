package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"valvecove/internal/testbed/fleet"
)

// growthCommand compares what a scheduler needs at two sizes of the fleet.
type growthCommand struct {
	Workers  int           `name:"workers" help:"Usual number of workers." default:"200"`
	Ratio    int           `name:"ratio" help:"The large fleet has this many times as many." default:"16"`
	Rate     float64       `name:"rate" help:"Requests a second, in either fleet." default:"40"`
	For      time.Duration `name:"for" help:"For how long requests are sent." default:"25s"`
	Work     time.Duration `name:"work" help:"Run time of a job." default:"60ms"`
	Changes  time.Duration `name:"changes" help:"Interval at which discovery announces a change: a worker drains, or returns. 0: no changes." default:"250ms"`
	Sockets  int           `name:"sockets" help:"Limit on the scheduler's file descriptors." default:"4000"`
	MemoryMB int           `name:"memory" help:"Memory limit in the scheduler's configuration, in MB." default:"128"`
	Binary   string        `name:"binary" help:"The scheduler's program. Default: valvecove in this program's folder, or else a new build." placeholder:"PATH"`
	JSON     string        `name:"json" help:"Write all figures as JSON to a file, or to standard output for -, which then gets nothing else." placeholder:"FILE"`
	Logs     string        `name:"logs" help:"Keep the scheduler's configuration and log in this folder." type:"path"`
	Seed     uint64        `name:"seed" help:"Seed of ids." default:"1"`
}

// Help is appended to the subcommand's help.
func (c *growthCommand) Help() string {
	return `Runs a scheduler in front of a fleet of the usual size, and then in front of one many times that size with the same
traffic, on sockets of 127.0.0.0/8. Prints the resources that it needs beside the limits of the standing growth test.
Each worker sends callbacks on a connection of its own.

Exit codes: 0 all limits are kept; 1 a limit is exceeded; 3 the testbed itself was too late.`
}

// Run measures both sizes.
func (c *growthCommand) Run(ctx context.Context, streams *standardStreams) error {
	path, remove, err := schedulerBinary(ctx, c.Binary, streams)
	if err != nil {
		return err
	}
	defer remove()
	growth, err := c.growth(path)
	if err != nil {
		return err
	}
	report, err := fleet.MeasureGrowth(ctx, growth)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := saveJSON(c.JSON, &report, streams); err != nil {
			return err
		}
	}
	if c.JSON != "-" {
		if err := report.Write(streams.stdout); err != nil {
			return err
		}
	}
	return growthResult(&report)
}

// growth returns the settings of the measurement.
func (c *growthCommand) growth(binary string) (*fleet.Growth, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if c.Workers < 1 || c.Ratio < 1 || c.Rate <= 0 || c.Sockets < 1 || c.MemoryMB < 1 || c.Changes < 0 {
		return nil, fmt.Errorf("--workers, --ratio, --rate, --sockets and --memory must be above 0, and --changes must not be below 0")
	}
	if c.Logs != "" {
		if err := os.MkdirAll(c.Logs, 0o755); err != nil {
			return nil, err
		}
	}
	return &fleet.Growth{
		Workers: c.Workers,
		Ratio:   c.Ratio,
		Options: fleet.Options{
			Rig: []string{self, "fleet", "--as=" + roleRig}, Binary: binary, Clients: 1, Length: c.For, Work: c.Work, Dir: c.Logs,
			Seed: c.Seed, Rate: c.Rate, ChangeInterval: c.Changes, Sockets: c.Sockets, MemoryMB: c.MemoryMB,
		},
	}, nil
}

// growthResult returns the exit code of a report as an error, or nil for exitOK.
func growthResult(report *fleet.GrowthReport) error {
	isExceeded := func(verdict fleet.GrowthVerdict) bool { return !verdict.IsKept() }
	switch {
	case slices.ContainsFunc(report.Verdicts(), isExceeded):
		return exitError(exitViolation)
	case report.Usual.Invalid != "" || report.Large.Invalid != "":
		return exitError(exitInvalid)
	}
	return nil
}
