package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"valvecove/internal/testbed/fleet"
)

// fleetCommand measures schedulers before large fleets, and is the processes that it starts for that.
type fleetCommand struct {
	Nodes     []int         `name:"nodes" help:"Worker nodes." default:"10,100,1000,3000"`
	Notices   []string      `name:"notices" help:"Whether worker nodes tell of starts." enum:"on,off" default:"on,off"`
	Hints     []string      `name:"hints" help:"Factors that hints of the work are wrong by: 1, 1/30, 30; none: no hints." default:"1,1/30,30"`
	Binary    []string      `name:"binary" help:"The scheduler's program, as PATH or NAME=PATH; may be given again. Default: valvecove beside this one, or else built." sep:"none" placeholder:"NAME=PATH"`
	Baselines []string      `name:"yardsticks" help:"Also played at each number of worker nodes: the reverse proxy, and clients that ask worker nodes directly. none: neither." enum:"proxy,direct,none" default:"proxy,direct"`
	For       time.Duration `name:"for" help:"How long is measured." default:"10s"`
	WarmUp    time.Duration `name:"warm" help:"And what goes before that." default:"3s"`
	Runs      int           `name:"runs" help:"Plays of each row." default:"1"`
	Clients   int           `name:"clients" help:"Clients that each wait for their answer." default:"200"`
	Work      time.Duration `name:"work" help:"What a job takes." default:"20ms"`
	Burst     int           `name:"burst" help:"So many further jobs in the first second, while the whole list arrives; nothing is warm then." default:"0"`
	Restart   bool          `name:"restart-third" help:"A third of the worker nodes restart within 10 s."`
	Silent    float64       `name:"silent" help:"This part of the worker nodes, all in one place, is silent for a third of the time." default:"0"`
	Freeze    time.Duration `name:"freeze" help:"The scheduler is stopped for so long." default:"0s"`
	Seconds   bool          `name:"seconds" help:"Also print what was served second by second. So it is with any of the four above."`
	JSON      string        `name:"json" help:"Write all figures as JSON to a file, or to standard output for -, with nothing else there." placeholder:"FILE"`
	With      []string      `name:"with" help:"Take in the plays of an earlier --json FILE; may be given again. With --runs=0 nothing is played." sep:"none" placeholder:"FILE" type:"existingfile"`
	Logs      string        `name:"logs" help:"Keep schedulers' configurations and logs under this folder." type:"path"`
	Seed      uint64        `name:"seed" help:"Seed of ids." default:"1"`
	Role      string        `name:"as" hidden:"" enum:",rig,proxy" default:"" help:"Be one of the processes that this starts, as standard input says."`
}

// Help is what its help adds.
func (c *fleetCommand) Help() string {
	return `One scheduler on a core to itself, stand-in worker nodes with four slots each, and clients that each wait for
their answer, on sockets of 127.0.0.0/8. Stop all else on the machine: what is measured is processor time and delay.`
}

// namedBuild is a build that is measured.
type namedBuild struct{ name, path string }

func (c *fleetCommand) builds(ctx context.Context, streams *streams) (all []namedBuild, remove func(), err error) {
	remove = func() {}
	for _, b := range c.Binary {
		name, path, ok := strings.Cut(b, "=")
		if !ok {
			name, path = filepath.Base(b), b
		}
		if path, err = filepath.Abs(path); err != nil {
			return nil, remove, err
		}
		if name == "" || name == fleet.Proxy || name == fleet.Direct || name == fleet.Ceiling ||
			name != filepath.Base(name) || slices.ContainsFunc(all, func(o namedBuild) bool { return o.name == name }) {
			return nil, remove, fmt.Errorf("--binary %s: %q is no name for a build, or not its alone", b, name)
		}
		if !executable(path) {
			return nil, remove, fmt.Errorf("--binary %s: no program", b)
		}
		all = append(all, namedBuild{name, path})
	}
	if len(all) == 0 && c.Runs > 0 {
		path, done, err := schedulerBinary(ctx, "", streams)
		return []namedBuild{{"valvecove", path}}, done, err
	}
	return all, remove, nil
}

// Run plays all rows, run by run, so that what changes on the machine meets all of them alike.
func (c *fleetCommand) Run(ctx context.Context, s *streams) error {
	switch c.Role {
	case "rig":
		if fleet.RunRigProcess(s.input, s.output) != nil { // which has said so to who started it
			return exitError(exitViolation)
		}
		return nil
	case "proxy":
		return fleet.RunProxyProcess(s.input)
	}
	report, err := c.earlier()
	if err != nil {
		return err
	}
	builds, remove, err := c.builds(ctx, s)
	defer remove()
	if err != nil {
		return err
	}
	lines, paths, err := c.tableRows(builds)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	options := fleet.Options{
		Rig: []string{self, "fleet", "--as=rig"}, Proxy: []string{self, "fleet", "--as=proxy"},
		Clients: c.Clients, WarmUp: c.WarmUp, Length: c.For, Work: c.Work, Burst: c.Burst, Restart: c.Restart, SilentShare: c.Silent,
		Freeze: c.Freeze,
	}
	if c.Burst > 0 {
		options.WarmUp = 0
	}
	began := time.Now()
	for run := range c.Runs {
		for i, line := range lines {
			fmt.Fprintf(s.errors, "%4.0fs  run %d of %d, row %d of %d: %s\n", time.Since(began).Seconds(), run+1, c.Runs, i+1,
				len(lines), line)
			options.Seed, options.Binary = c.Seed+uint64(run), paths[line.Subject]
			if c.Logs != "" {
				options.Dir = filepath.Join(c.Logs, fmt.Sprintf("run%d-row%d", run+1, i+1))
				if err := os.MkdirAll(options.Dir, 0o755); err != nil {
					return err
				}
			}
			p, err := fleet.Measure(ctx, line, options)
			if err != nil {
				return fmt.Errorf("%s: %w", line, err)
			}
			report.Measurements = append(report.Measurements, p)
		}
	}
	return c.show(report, s)
}

// earlier is the report that this one goes on from.
func (c *fleetCommand) earlier() (*fleet.Report, error) {
	report := &fleet.Report{Cores: runtime.NumCPU(), Measurements: []fleet.Measurement{}}
	for _, name := range c.With {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var r fleet.Report
		if err := json.Unmarshal(text, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		report.Measurements = append(report.Measurements, r.Measurements...)
	}
	return report, nil
}

// tableRows are what is played in a run.
func (c *fleetCommand) tableRows(builds []namedBuild) (lines []fleet.TableRow, paths map[string]string, err error) {
	paths = map[string]string{}
	for _, b := range builds {
		paths[b.name] = b.path
		for _, hint := range c.Hints {
			factor, err := fleet.ParseHint(hint)
			if err != nil {
				return nil, nil, err
			}
			for _, notices := range c.Notices {
				for _, n := range c.Nodes {
					lines = append(lines, fleet.TableRow{Subject: b.name, Workers: n, StartNotifications: notices == "on", Hint: factor})
				}
			}
		}
	}
	for _, baselinePolicy := range []string{fleet.Proxy, fleet.Direct} {
		for _, n := range c.Nodes {
			if slices.Contains(c.Baselines, baselinePolicy) {
				lines = append(lines, fleet.TableRow{Subject: baselinePolicy, Workers: n})
			}
		}
	}
	if slices.Contains(c.Baselines, fleet.Direct) {
		lines = append(lines, fleet.TableRow{Subject: fleet.Ceiling, Workers: slices.Max(c.Nodes)})
	}
	return lines, paths, nil
}

func (c *fleetCommand) show(report *fleet.Report, streams *streams) error {
	if c.JSON != "" {
		if err := saveJSON(c.JSON, report, streams); err != nil {
			return err
		}
	}
	if c.JSON != "-" {
		if err := report.Table(streams.output); err != nil {
			return err
		}
		fmt.Fprint(streams.output, "\n", fleet.Legend)
		if c.Seconds || c.Burst > 0 || c.Restart || c.Silent > 0 || c.Freeze > 0 {
			fmt.Fprintln(streams.output)
			if err := report.BySecond(streams.output); err != nil {
				return err
			}
		}
	}
	if slices.ContainsFunc(report.Measurements, func(p fleet.Measurement) bool { return p.InvalidReason() != "" }) {
		return exitError(exitInvalid)
	}
	return nil
}
