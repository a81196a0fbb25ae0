package starvation_test

import (
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/baseline"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simulation"
	"valvecove/internal/testbed/starvation"
	"valvecove/internal/testbed/trace"
)

// faultyPolicy is the dispatcher without the jobs of class 0, which stay queued or are rejected at once.
type faultyPolicy struct {
	*dispatch.Dispatcher
	rejects bool
}

// Step implements requests.Policy.
func (p faultyPolicy) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	var rejections []dispatch.Action
	events = slices.DeleteFunc(slices.Clone(events), func(event dispatch.Event) bool {
		job, isJob := event.(dispatch.Job)
		if !isJob || job.Class != 0 {
			return false
		}
		if p.rejects {
			rejections = append(rejections, dispatch.Reject{Job: job.ID})
		}
		return true
	})
	return append(p.Dispatcher.Step(now, events, dst), rejections...)
}

// TestCheckerSimulatedRun checks that a run of the dispatcher has no starvation, and that a run of a faulty policy has it only in
// the class that the fault affects.
func TestCheckerSimulatedRun(t *testing.T) {
	spec := scenario.Default()
	spec.Length = scenario.Duration(12 * time.Second)
	spec.Load.CapacityShare = 0.3
	spec.Fleet.Kinds[0].CallbackLossShare = 0
	spec.Fleet.Kinds[1].CallbackLossShare = 0
	for _, test := range []struct {
		name             string
		isFaulty         bool
		rejects          bool
		queued, rejected bool
	}{
		{name: "the dispatcher"},
		{name: "a policy that queues", isFaulty: true, queued: true},
		{name: "a policy that rejects", isFaulty: true, rejects: true, rejected: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			checker := starvation.New(spec)
			options := simulation.Options{Observers: []trace.Observer{checker.Observe}}
			options.NewPolicy = func(settings dispatch.Settings, seed uint64, _ baseline.Oracle) requests.Policy {
				dispatcher := dispatch.New(settings, seed)
				if test.isFaulty {
					return faultyPolicy{dispatcher, test.rejects}
				}
				return dispatcher
			}
			if _, err := simulation.Run(spec, 1, options); err != nil {
				t.Fatal(err)
			}
			verdict := checker.Verdict()
			if verdict.Requests < 100 || verdict.Queued > 0 != test.queued || verdict.Rejected > 0 != test.rejected {
				t.Error(verdict.String())
			}
			for _, finding := range verdict.Findings {
				if finding.Class != spec.Classes[0].Name || finding.Rejected != test.rejects {
					t.Errorf("finding in another class, or of the other way to starve: %+v", finding)
				}
			}
		})
	}
}
