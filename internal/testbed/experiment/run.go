// Package experiment runs scenarios, one or many, and returns the results: single runs, comparisons paired by seed,
// variations of a parameter, both drivers side by side, tables of baseline policies, and randomised searches for the worst
// runs. It owns the invariant checkers and scores of its runs; it neither simulates nor prints. The result of a simulated
// run depends on scenario, subject and seed alone, however many run at once.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"valvecove/internal/testbed/checker"
	"valvecove/internal/testbed/process"
	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/simulation"
	"valvecove/internal/testbed/starvation"
	"valvecove/internal/testbed/trace"
)

// Subject is what a run tests: a policy, a mutant, a changed scenario, a program or another build.
type Subject struct {
	Name    string
	Policy  string   // PolicyDispatch (or empty) or a baseline's name, also with ApertureSuffix or PeersSuffix; simulation only
	Mutant  string   // name of a mutant to run; simulation only; empty: none
	Set     []string // changes to the scenario, "key=value" with the value in TOML
	Binary  string   // the scheduler's program; process driver only
	Testbed string   // another build's valvecove-testbed, which runs the job in place of this one; simulation only
}

// Job describes one run.
type Job struct {
	Spec    *scenario.Scenario
	Seed    uint64
	Driver  string // scenario.DriverSimulation or scenario.DriverProcess
	Subject Subject
	// Observer, if not nil, is called with all trace events, as checker and score are, in the run's own goroutine.
	Observer trace.Observer
	// OnSnapshot, if not nil, is called with the state of the run, in the run's own goroutine, at most once a second.
	OnSnapshot func(snapshot *score.Snapshot)
	// Unchecked leaves the invariant checker out, for runs of which only the speed or the value is of interest.
	Unchecked bool
	// Starvation enables the check for requests that are queued or rejected while workers are idle (package starvation).
	Starvation bool
	Process    process.Options // its Observer is overwritten
}

// RunResult is the outcome of a run.
type RunResult struct {
	Document   report.Document
	Verdict    checker.Verdict
	Starvation *starvation.Verdict // nil: not checked
	Simulation *simulation.Outcome // nil with the process driver
	Process    *process.Outcome    // nil with the simulation driver
}

// Result returns the figures of the run.
func (r *RunResult) Result() *score.Result { return r.Document.Result }

// Violations returns how often rules were broken.
func (r *RunResult) Violations() int {
	violations := 0
	for _, rule := range r.Verdict.Rules {
		violations += rule.Violated
	}
	return violations
}

// InvalidReason returns why the run is invalid, or "" if it is valid.
func (r *RunResult) InvalidReason() string {
	if r.Document.Verdict == nil {
		return ""
	}
	return r.Document.Verdict.Invalid
}

// MeetsExpectations reports whether the run is valid and met all expectations.
func (r *RunResult) MeetsExpectations() bool {
	for _, outcome := range r.Document.Expectations {
		if !outcome.OK {
			return false
		}
	}
	return r.InvalidReason() == ""
}

// ErrStopped is the error of a run that ended with a panic.
var ErrStopped = errors.New("the run panicked")

// Run executes one run. A panic in the policy or in the testbed is returned as an error that wraps ErrStopped and
// names the run.
func Run(ctx context.Context, job Job) (result *RunResult, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %s, seed %d, %s: %v\n%s", ErrStopped, job.Spec.Name, job.Seed, job.Subject.Name, cause, debug.Stack())
		}
	}()
	if job.Subject.Testbed != "" {
		return runOtherBuild(ctx, job)
	}
	spec, err := ApplyChanges(job.Spec, job.Subject.Set)
	if err != nil {
		return nil, err
	}
	spec, job.Subject.Policy, err = withPeers(spec, job.Subject.Policy)
	if err != nil {
		return nil, err
	}
	if !spec.SupportsDriver(job.Driver) {
		return nil, fmt.Errorf("scenario %s does not support the %s driver", spec.Name, job.Driver)
	}
	observers := newObservers(spec, job)
	result = &RunResult{}
	var limits driverLimits
	switch job.Driver {
	case scenario.DriverSimulation:
		limits, err = runSimulation(spec, job, observers, result)
	case scenario.DriverProcess:
		limits, err = runProcesses(ctx, spec, job, observers, result)
	default:
		err = fmt.Errorf("driver %q is neither %s nor %s", job.Driver, scenario.DriverSimulation, scenario.DriverProcess)
	}
	if err != nil {
		return nil, err
	}
	observers.finish(result, limits)
	result.Document.Scenario = string(scenario.Encode(spec))
	result.Document.Build = job.Subject.Name
	return result, nil
}

// driverLimits describes what a driver could not do in a run.
type driverLimits struct {
	unsupported []string // parts of the scenario that it left out
	invalid     string   // why the run is invalid; empty: it is valid
}

func runSimulation(spec *scenario.Scenario, job Job, observers *observers, result *RunResult) (driverLimits, error) {
	options, err := simulationOptions(spec, job.Subject)
	if err != nil {
		return driverLimits{}, err
	}
	options.Observers = observers.list()
	result.Simulation, err = simulation.Run(spec, job.Seed, options)
	if err != nil {
		return driverLimits{}, fmt.Errorf("%s, seed %d: %w", spec.Name, job.Seed, err)
	}
	return driverLimits{unsupported: simulation.Unsupported(spec)}, nil
}

func runProcesses(ctx context.Context, spec *scenario.Scenario, job Job, observers *observers, result *RunResult) (driverLimits, error) {
	options := job.Process
	if job.Subject.Binary != "" {
		options.Binary = job.Subject.Binary
	}
	options.Observer = observers.observe
	outcome, err := process.Run(ctx, spec, job.Seed, options)
	if err != nil {
		return driverLimits{}, fmt.Errorf("%s, seed %d: %w", spec.Name, job.Seed, err)
	}
	result.Process = outcome
	return driverLimits{unsupported: outcome.Unsupported, invalid: outcome.Invalid}, nil
}
