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

// spoiledPolicy is the module in service, but for jobs of one class, of which it hears nothing, so that they are held, or of
// which it refuses each at once.
type spoiledPolicy struct {
	*dispatch.Dispatcher
	refuses bool
}

func (m spoiledPolicy) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	var turned []dispatch.Action
	events = slices.DeleteFunc(slices.Clone(events), func(e dispatch.Event) bool {
		j, ok := e.(dispatch.Job)
		if ok && j.Class == 0 && m.refuses {
			turned = append(turned, dispatch.Reject{Job: j.ID})
		}
		return ok && j.Class == 0
	})
	return append(m.Dispatcher.Step(now, events, dst), turned...)
}

// A run of the module in service has no starvation; spoiled, it is all in the class that it is spoiled for.
func TestPlays(t *testing.T) {
	spec := scenario.Default()
	spec.Length, spec.Load.CapacityShare = scenario.Duration(12*time.Second), 0.3
	spec.Fleet.Kinds[0].CallbackLossShare, spec.Fleet.Kinds[1].CallbackLossShare = 0, 0
	for _, c := range []struct {
		name            string
		spoils, refuses bool
		held, refused   bool
	}{
		{name: "as it is"},
		{name: "held", spoils: true, held: true},
		{name: "refused", spoils: true, refuses: true, refused: true},
	} {
		w := starvation.New(spec)
		opt := simulation.Options{Observers: []trace.Observer{w.Observe}}
		opt.Module = func(set dispatch.Settings, seed uint64, _ baseline.Oracle) requests.Policy {
			if d := dispatch.New(set, seed); c.spoils {
				return spoiledPolicy{d, c.refuses}
			} else {
				return d
			}
		}
		if _, err := simulation.Run(spec, 1, opt); err != nil {
			t.Fatal(err)
		}
		v := w.Verdict()
		if v.Requests < 100 || v.Queued > 0 != c.held || v.Rejected > 0 != c.refused {
			t.Errorf("%s: %s", c.name, v.String())
		}
		for _, x := range v.Findings {
			if x.Class != spec.Classes[0].Name || x.Rejected != c.refuses {
				t.Errorf("%s: %+v", c.name, x)
			}
		}
	}
}
