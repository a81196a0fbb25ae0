package scenarios

import (
	"slices"
	"testing"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

const (
	baselinePolicy = "least-outstanding" // the plainest policy that the pages compare with
	baselineSeeds  = 3                   // runs of each policy
)

// belowBaseline are the scenarios in which the dispatcher earns less than the baseline; see TestScenariosBelowBaseline.
var belowBaseline = []string{"cold_morning", "herd", "notes_astray", "peers_late", "rolling_deploy", "wide"}

// No scenario is served worse by the dispatcher than by the plainest policy on the same seeds, which is its stated target.
func TestDispatcherEarnsNoLessThanBaseline(t *testing.T) {
	for _, name := range Names() {
		spec, err := Open(name)
		if err != nil {
			t.Error(err)
			continue
		}
		hasPlanners := spec.Planners.Count > 0 // these run the dispatcher only
		if isRunHere(spec) && !hasPlanners && !slices.Contains(belowBaseline, name) {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				testBaseline(t, name)
			})
		}
	}
}

// The same of the scenarios in which the dispatcher is known to earn less.
func TestScenariosBelowBaseline(t *testing.T) {
	for _, name := range belowBaseline {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testBaseline(t, name)
		})
	}
}

// testBaseline compares what the dispatcher and the baseline earn in a scenario.
func testBaseline(t *testing.T, name string) {
	t.Helper()
	dispatcher := earnedBy(t, name, experiment.Subject{Name: experiment.PolicyDispatch})
	baseline := earnedBy(t, name, experiment.Subject{Name: baselinePolicy, Policy: baselinePolicy})
	if dispatcher < baseline {
		t.Errorf("%.3f earned, %.3f by the baseline", dispatcher, baseline)
	}
}

// earnedBy returns what a policy earns of what a scenario asks for, in the mean over the seeds.
func earnedBy(t *testing.T, name string, subject experiment.Subject) (earned float64) {
	t.Helper()
	for seed := range uint64(baselineSeeds) {
		spec, err := Open(name)
		if err != nil {
			t.Fatal(err)
		}
		result, err := experiment.Run(t.Context(), experiment.Job{
			Spec: spec, Seed: 1 + seed, Driver: scenario.DriverSimulation, Subject: subject, Unchecked: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		earned += result.Result().Value.Mix / baselineSeeds
	}
	return earned
}
