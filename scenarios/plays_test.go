package scenarios

import (
	"context"
	"testing"

	"valvecove/internal/lab/experiment"
	"valvecove/internal/lab/scenario"
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
		jobs := spec.Rate() * spec.Length.D().Seconds()
		if !spec.Plays(scenario.Virtual) || spec.Fleet.Nodes > mostNodes || raced && jobs > mostJobsRaced {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, err := experiment.Run(context.Background(), experiment.Job{
				Spec: spec, Seed: 1, Driver: scenario.Virtual,
				Subject: experiment.Subject{Name: experiment.Logic},
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range p.Judged.Broken {
				t.Error(b)
			}
			for _, m := range p.Doc.Met {
				if !m.OK {
					t.Errorf("expected %v, got %.4g %s", m.Expectation, m.Got, m.Note)
				}
			}
			if len(p.Doc.Met) == 0 {
				t.Error("nothing is expected of it")
			}
		})
	}
}
