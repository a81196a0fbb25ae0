package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/process"
	"valvecove/internal/testbed/scenario"
)

// schedulerBinary finds the scheduler's program: the one named, valvecove in this program's folder, or a new build. The caller
// calls remove when it is done, which deletes the build if there is one.
func schedulerBinary(ctx context.Context, named string, streams *standardStreams) (path string, remove func(), err error) {
	if named != "" {
		return named, func() {}, nil
	}
	if own, err := os.Executable(); err == nil {
		if beside := filepath.Join(filepath.Dir(own), "valvecove"); isExecutable(beside) {
			return beside, func() {}, nil
		}
	}
	dir, err := os.MkdirTemp("", "valvecove-testbed-")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(dir) }
	path = filepath.Join(dir, "valvecove")
	fmt.Fprintln(streams.stderr, "building valvecove ...")
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "valvecove/cmd/valvecove")
	build.Stderr = streams.stderr
	if err := build.Run(); err != nil {
		remove()
		return "", nil, fmt.Errorf("valvecove can't be built here (%w); name a program with --binary", err)
	}
	return path, remove, nil
}

// isExecutable reports whether a path is a regular file that may be executed.
func isExecutable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}

// prepareProcesses completes a job for the process driver with the scheduler's program and the directory of its logs. It
// leaves a job of the simulation as it is. The caller calls remove when the job is done.
func prepareProcesses(ctx context.Context, job *experiment.Job, logs string, streams *standardStreams) (remove func(), err error) {
	if job.Driver != scenario.DriverProcess {
		return func() {}, nil
	}
	path, remove, err := schedulerBinary(ctx, job.Subject.Binary, streams)
	if err != nil {
		return nil, err
	}
	job.Subject.Binary = path
	job.Process = process.Options{Dir: logs}
	return remove, nil
}

// revisionDigits is how many digits of the revision a build's name has.
const revisionDigits = 12

// buildName describes this build: its revision, whether that was modified, and the Go version.
func buildName() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown build"
	}
	revision, modified := info.Main.Version, ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(revisionDigits, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = ", changed"
		}
	}
	return revision + modified + ", " + info.GoVersion
}
