package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"valvecove/internal/testbed/fleet"
)

// Values of --as. A measurement starts this program again with each, as a further process.
const (
	roleRig   = "rig"
	roleProxy = "proxy"
)

// fleetCommand measures schedulers in front of large fleets. With --as it runs as a process that a
// measurement starts.
type fleetCommand struct {
	Nodes     []int         `name:"nodes" help:"Numbers of workers." default:"10,100,1000,3000"`
	Notices   []string      `name:"notices" help:"Whether workers notify the scheduler of starts." enum:"on,off" default:"on,off"`
	Hints     []string      `name:"hints" help:"Factors by which hints of the work are wrong: 1, 1/30, 30; none: no hints." default:"1,1/30,30"`
	Binary    []string      `name:"binary" help:"The scheduler's program, as PATH or NAME=PATH; may be repeated. Default: valvecove in this program's folder, or else a new build." sep:"none" placeholder:"NAME=PATH"`
	Baselines []string      `name:"baselines" aliases:"yardsticks" help:"Also measured at each number of workers: the reverse proxy, and clients that call workers directly. none: neither." enum:"proxy,direct,none" default:"proxy,direct"`
	For       time.Duration `name:"for" help:"Length of the measurement." default:"10s"`
	WarmUp    time.Duration `name:"warm" help:"Length of the warm-up before it." default:"3s"`
	Runs      int           `name:"runs" help:"Measurements of each configuration." default:"1"`
	Clients   int           `name:"clients" help:"Clients that each wait for their response." default:"200"`
	Work      time.Duration `name:"work" help:"Run time of a job." default:"20ms"`
	Burst     int           `name:"burst" help:"Number of further jobs in the first second, while the whole endpoint list arrives; there is no warm-up then." default:"0"`
	Restart   bool          `name:"restart-third" help:"A third of the workers restart within 10 s."`
	Silent    float64       `name:"silent" help:"Share of the workers, adjacent in the endpoint list, that is silent for a third of the time." default:"0"`
	Freeze    time.Duration `name:"freeze" help:"How long the scheduler is stopped." default:"0s"`
	Seconds   bool          `name:"seconds" help:"Also print what was served in each second; implied by --burst, --restart-third, --silent and --freeze."`
	JSON      string        `name:"json" help:"Write all figures as JSON to a file, or to standard output for -, which then gets nothing else." placeholder:"FILE"`
	With      []string      `name:"with" help:"Include the measurements of an earlier --json FILE; may be repeated. With --runs=0 nothing is measured." sep:"none" placeholder:"FILE" type:"existingfile"`
	Logs      string        `name:"logs" help:"Keep schedulers' configurations and logs under this folder." type:"path"`
	Seed      uint64        `name:"seed" help:"Seed of ids." default:"1"`
	Role      string        `name:"as" hidden:"" enum:",rig,proxy" default:"" help:"Run as one of the processes that a measurement starts, configured by standard input."`
}

// Help is appended to the subcommand's help.
func (c *fleetCommand) Help() string {
	return `One scheduler on a core to itself, simulated workers with four slots each, and clients that each wait for their
response, on sockets of 127.0.0.0/8. Stop everything else on the machine first: processor time and delay are measured.`
}

// Run measures all configurations once before it measures any again, so that changes on the machine affect all of them alike.
func (c *fleetCommand) Run(ctx context.Context, streams *standardStreams) error {
	switch c.Role {
	case roleRig:
		if fleet.RunRigProcess(streams.stdin, streams.stdout) != nil { // which has reported the error to its parent
			return exitError(exitUsage)
		}
		return nil
	case roleProxy:
		return fleet.RunProxyProcess(streams.stdin)
	}
	report, err := c.earlierMeasurements()
	if err != nil {
		return err
	}
	builds, remove, err := c.builds(ctx, streams)
	defer remove()
	if err != nil {
		return err
	}
	configurations, err := c.configurations(builds)
	if err != nil {
		return err
	}
	options, err := c.options()
	if err != nil {
		return err
	}
	start := time.Now()
	for run := range c.Runs {
		for i, configuration := range configurations {
			fmt.Fprintf(streams.stderr, "%4.0fs  run %d of %d, row %d of %d: %s\n", time.Since(start).Seconds(), run+1, c.Runs, i+1,
				len(configurations), configuration)
			options.Seed = c.Seed + uint64(run)
			options.Binary = binaryOf(builds, configuration.Subject)
			if options.Dir, err = c.logDir(run, i); err != nil {
				return err
			}
			measurement, err := fleet.Measure(ctx, configuration, options)
			if err != nil {
				return fmt.Errorf("%s: %w", configuration, err)
			}
			report.Measurements = append(report.Measurements, measurement)
		}
	}
	return c.writeReport(report, streams)
}

// earlierMeasurements returns a report with the measurements of the files that --with names.
func (c *fleetCommand) earlierMeasurements() (*fleet.Report, error) {
	report := &fleet.Report{Cores: runtime.NumCPU(), Measurements: []fleet.Measurement{}}
	for _, name := range c.With {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var earlier fleet.Report
		if err := json.Unmarshal(text, &earlier); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		report.Measurements = append(report.Measurements, earlier.Measurements...)
	}
	return report, nil
}

// namedBuild is a build of the scheduler to be measured.
type namedBuild struct{ name, path string }

// builds returns the builds that --binary names, or else the program that schedulerBinary finds. The caller calls remove, also
// after an error.
func (c *fleetCommand) builds(ctx context.Context, streams *standardStreams) (all []namedBuild, remove func(), err error) {
	remove = func() {}
	for _, value := range c.Binary {
		build, err := parseBuild(value)
		if err != nil {
			return nil, remove, err
		}
		isNameTaken := slices.ContainsFunc(all, func(other namedBuild) bool { return other.name == build.name })
		if isNameTaken || !isBuildName(build.name) {
			return nil, remove, fmt.Errorf("--binary %s: %q is not a valid name for a build, or is used twice", value, build.name)
		}
		if !isExecutable(build.path) {
			return nil, remove, fmt.Errorf("--binary %s: not an executable file", value)
		}
		all = append(all, build)
	}
	if len(all) > 0 || c.Runs <= 0 {
		return all, remove, nil
	}
	path, removeBuilt, err := schedulerBinary(ctx, "", streams)
	if err != nil {
		return nil, remove, err
	}
	return []namedBuild{{"valvecove", path}}, removeBuilt, nil
}

// parseBuild reads PATH or NAME=PATH.
func parseBuild(value string) (namedBuild, error) {
	name, path, ok := strings.Cut(value, "=")
	if !ok {
		name, path = filepath.Base(value), value
	}
	path, err := filepath.Abs(path)
	return namedBuild{name, path}, err
}

// isBuildName reports whether a build can have a name, which must be neither a path nor a baseline's name.
func isBuildName(name string) bool {
	switch name {
	case "", fleet.Proxy, fleet.Direct, fleet.Ceiling:
		return false
	}
	return name == filepath.Base(name)
}

// binaryOf returns the path of a build's program, or "" for a baseline.
func binaryOf(builds []namedBuild, name string) string {
	for _, build := range builds {
		if build.name == name {
			return build.path
		}
	}
	return ""
}

// configurations returns what each run measures.
func (c *fleetCommand) configurations(builds []namedBuild) ([]fleet.TableRow, error) {
	var all []fleet.TableRow
	for _, build := range builds {
		for _, hint := range c.Hints {
			factor, err := fleet.ParseHint(hint)
			if err != nil {
				return nil, err
			}
			for _, notices := range c.Notices {
				for _, workers := range c.Nodes {
					all = append(all, fleet.TableRow{Subject: build.name, Workers: workers, StartNotifications: notices == "on", Hint: factor})
				}
			}
		}
	}
	return append(all, c.baselines()...), nil
}

// baselines returns the configurations without a scheduler.
func (c *fleetCommand) baselines() []fleet.TableRow {
	var all []fleet.TableRow
	for _, baseline := range []string{fleet.Proxy, fleet.Direct} {
		if !slices.Contains(c.Baselines, baseline) {
			continue
		}
		for _, workers := range c.Nodes {
			all = append(all, fleet.TableRow{Subject: baseline, Workers: workers})
		}
	}
	if slices.Contains(c.Baselines, fleet.Direct) {
		all = append(all, fleet.TableRow{Subject: fleet.Ceiling, Workers: slices.Max(c.Nodes)})
	}
	return all
}

// options returns the options that all measurements have in common.
func (c *fleetCommand) options() (fleet.Options, error) {
	self, err := os.Executable()
	if err != nil {
		return fleet.Options{}, err
	}
	options := fleet.Options{
		Rig: []string{self, "fleet", "--as=" + roleRig}, Proxy: []string{self, "fleet", "--as=" + roleProxy},
		Clients: c.Clients, WarmUp: c.WarmUp, Length: c.For, Work: c.Work, Burst: c.Burst, Restart: c.Restart, SilentShare: c.Silent,
		Freeze: c.Freeze,
	}
	if c.Burst > 0 { // the burst comes first
		options.WarmUp = 0
	}
	return options, nil
}

// logDir creates and returns the folder for a measurement's logs, or returns "" if logs are not kept. The run and the
// configuration are counted from 0.
func (c *fleetCommand) logDir(run, configuration int) (string, error) {
	if c.Logs == "" {
		return "", nil
	}
	dir := filepath.Join(c.Logs, fmt.Sprintf("run%d-row%d", run+1, configuration+1))
	return dir, os.MkdirAll(dir, 0o755)
}

// writeReport writes the JSON and the tables. It returns exitInvalid as an error if a measurement is invalid.
func (c *fleetCommand) writeReport(report *fleet.Report, streams *standardStreams) error {
	if c.JSON != "" {
		if err := saveJSON(c.JSON, report, streams); err != nil {
			return err
		}
	}
	if c.JSON != "-" {
		if err := c.writeTables(report, streams.stdout); err != nil {
			return err
		}
	}
	isInvalid := func(measurement fleet.Measurement) bool { return measurement.InvalidReason() != "" }
	if slices.ContainsFunc(report.Measurements, isInvalid) {
		return exitError(exitInvalid)
	}
	return nil
}

func (c *fleetCommand) writeTables(report *fleet.Report, w io.Writer) error {
	if err := report.Table(w); err != nil {
		return err
	}
	fmt.Fprint(w, "\n", fleet.Legend)
	if !c.Seconds && c.Burst <= 0 && !c.Restart && c.Silent <= 0 && c.Freeze <= 0 {
		return nil
	}
	fmt.Fprintln(w)
	return report.BySecond(w)
}
