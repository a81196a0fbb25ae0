package scenarios

import (
	"testing"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

// Limits on the scenarios that are run here. Larger fleets take seconds each. The race detector makes a run ten times slower and
// finds little, as a simulation has a single goroutine. So with the detector only scenarios with few jobs are run; .ci/run runs
// all of them without it.
const (
	maxWorkers      = 200
	maxJobsWithRace = 1000
)

// Each scenario, simulated once, keeps its invariants and meets its expectations. The expectations' bounds were taken from the
// runs of seeds 1 to 30 (docs/measurements/expectations.md), so a run that misses one has changed for the worse.
func TestPlaysAreAsExpected(t *testing.T) {
	for _, name := range Names() {
		spec, err := Open(name)
		if err != nil {
			t.Error(err)
			continue
		}
		if isRunHere(spec) {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				testScenario(t, spec)
			})
		}
	}
}

// isRunHere reports whether a scenario can be simulated and is within the limits.
func isRunHere(spec *scenario.Scenario) bool {
	jobs := spec.Rate() * spec.Length.Std().Seconds()
	if raceDetector && jobs > maxJobsWithRace {
		return false
	}
	return spec.SupportsDriver(scenario.DriverSimulation) && spec.Fleet.Workers <= maxWorkers
}

func testScenario(t *testing.T, spec *scenario.Scenario) {
	t.Helper()
	result, err := experiment.Run(t.Context(), experiment.Job{
		Spec: spec, Seed: 1, Driver: scenario.DriverSimulation,
		Subject: experiment.Subject{Name: experiment.PolicyDispatch},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Verdict.Violations {
		t.Error(violation)
	}
	for _, outcome := range result.Document.Expectations {
		if !outcome.OK {
			t.Errorf("expected %v, got %.4g %s", outcome.Expectation, outcome.Value, outcome.Reason)
		}
	}
	if len(result.Document.Expectations) == 0 {
		t.Error("the scenario has no expectations")
	}
}
