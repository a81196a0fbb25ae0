package scenarios

import (
	"context"
	"testing"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

// Bounds on what is played here. Larger fleets take seconds each. The race detector makes a play ten times as slow and
// finds little in what is single-threaded, so with it only those of few jobs are played; .ci/run plays all without.
const (
	mostNodes     = 200
	mostJobsRaced = 1000
)

// Each scenario is played once in virtual time, judged, and held to what it expects. Its bounds were taken from the
// plays of seeds 1 to 30 (docs/measurements/expectations.md), so a play that misses one has changed for the worse.
func TestPlaysAreAsExpected(t *testing.T) {
	for _, name := range Names() {
		spec, err := Open(name)
		if err != nil {
			t.Error(err)
			continue
		}
		jobs := spec.Rate() * spec.Length.Std().Seconds()
		if !spec.SupportsDriver(scenario.DriverSimulation) || spec.Fleet.Workers > mostNodes || raced && jobs > mostJobsRaced {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, err := experiment.Run(context.Background(), experiment.Job{
				Spec: spec, Seed: 1, Driver: scenario.DriverSimulation,
				Subject: experiment.Subject{Name: experiment.PolicyDispatch},
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range p.Verdict.Violations {
				t.Error(b)
			}
			for _, m := range p.Document.Expectations {
				if !m.OK {
					t.Errorf("expected %v, got %.4g %s", m.Expectation, m.Value, m.Reason)
				}
			}
			if len(p.Document.Expectations) == 0 {
				t.Error("nothing is expected of it")
			}
		})
	}
}
