package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/process"
	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
	"valvecove/scenarios"
)

// openScenario finds a scenario: on standard input, in a file, or in the library.
func openScenario(name string, s *streams) (*scenario.Scenario, error) {
	switch {
	case name == "-":
		text, err := io.ReadAll(io.LimitReader(s.input, 1<<20))
		if err != nil {
			return nil, err
		}
		return scenario.Parse("stdin", text)
	case strings.ContainsRune(name, os.PathSeparator) || strings.HasSuffix(name, ".toml"):
		return scenario.Open(name)
	}
	if spec, err := scenarios.Open(name); err == nil || slices.Contains(scenarios.Names(), name) {
		return spec, err
	}
	return nil, fmt.Errorf("no scenario of the library is called %q; see valvecove-testbed list", name)
}

// openScenarios opens several, or all of the library that a driver plays where none is named.
func openScenarios(names []string, driver string, s *streams) ([]*scenario.Scenario, error) {
	all := len(names) == 0
	if all {
		names = scenarios.Names()
	}
	var specs []*scenario.Scenario
	for _, name := range names {
		spec, err := openScenario(name, s)
		if err != nil {
			return nil, err
		}
		if spec.SupportsDriver(driver) {
			specs = append(specs, spec)
		} else if !all {
			return nil, fmt.Errorf("%s is not for the %s driver", name, driver)
		}
	}
	return specs, nil
}

// subjectFlags is what a run is played with, as flags say it.
type subjectFlags struct {
	Policy string   `name:"policy" help:"Policy: logic, or a yardstick; +aperture behind it narrows what its schedulers look at, with keys as in logic+aperture:least=20:cover=3. Virtual only." default:"logic"`
	Set    []string `name:"set" help:"Change a key of the scenario, as in load.of=0.7; may be given again." sep:"none" placeholder:"KEY=VALUE"`
	Binary string   `name:"binary" help:"The scheduler's program; live only. Default: valvecove beside this one, or else built." type:"path"`
}

// seedFlags are the runs of an experiment.
type seedFlags struct {
	Seeds       int    `name:"seeds" help:"Plays of each kind, on seeds that follow each other." default:"10"`
	First       uint64 `name:"first" help:"The first seed." default:"1"`
	Parallelism int    `name:"at" help:"Plays at once; 0: as many as there are processors, live always one." default:"0"`
}

func (o *seedFlags) list() []uint64 { return experiment.Seeds(o.First, max(1, o.Seeds)) }

func (o *seedFlags) parallelism(driver string) int {
	if driver == scenario.DriverProcess {
		return 1
	}
	return o.Parallelism
}

// schedulerBinary finds the scheduler's program, and builds it where there is none. remove takes away what was built.
func schedulerBinary(ctx context.Context, named string, streams *streams) (path string, remove func(), err error) {
	if named != "" {
		return named, func() {}, nil
	}
	if own, err := os.Executable(); err == nil {
		if beside := filepath.Join(filepath.Dir(own), "valvecove"); executable(beside) {
			return beside, func() {}, nil
		}
	}
	dir, err := os.MkdirTemp("", "valvecove-testbed-")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(dir) }
	path = filepath.Join(dir, "valvecove")
	fmt.Fprintln(streams.errors, "building valvecove ...")
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "valvecove/cmd/valvecove")
	build.Stderr = streams.errors
	if err := build.Run(); err != nil {
		remove()
		return "", nil, fmt.Errorf("valvecove can't be built here (%w); name a program with --binary", err)
	}
	return path, remove, nil
}

func executable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}

// prepare makes a job live where that is what it is for: its program, and where its logs go.
func prepare(ctx context.Context, job *experiment.Job, logs string, s *streams) (done func(), err error) {
	if job.Driver != scenario.DriverProcess {
		return func() {}, nil
	}
	path, remove, err := schedulerBinary(ctx, job.Subject.Binary, s)
	if err != nil {
		return nil, err
	}
	job.Subject.Binary = path
	job.Process = process.Options{Dir: logs}
	return remove, nil
}

// saveFile writes a file of a report's folder.
func saveFile(dir, name string, write func(w io.Writer) error) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return err
	}
	err = write(f)
	if end := f.Close(); err == nil {
		err = end
	}
	return err
}

// saveJSON writes to a file, or to standard output for -.
func saveJSON(to string, v any, s *streams) error {
	if to == "-" {
		return report.WriteJSON(s.output, v)
	}
	return saveFile(filepath.Dir(to), filepath.Base(to), func(w io.Writer) error { return report.WriteJSON(w, v) })
}

// buildName says which build this is.
func buildName() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown build"
	}
	text, dirty := info.Main.Version, ""
	for _, x := range info.Settings {
		switch {
		case x.Key == "vcs.revision":
			text = x.Value[:min(12, len(x.Value))]
		case x.Key == "vcs.modified" && x.Value == "true":
			dirty = ", changed"
		}
	}
	return text + dirty + ", " + info.GoVersion
}

// progressCounter shows how far an experiment is.
func progressCounter(w io.Writer, what string) func(done, of int) {
	last := -1
	return func(done, of int) {
		if tenth := 10 * done / max(1, of); tenth != last {
			last = tenth
			fmt.Fprintf(w, "%s: %d of %d plays\n", what, done, of)
		}
	}
}
