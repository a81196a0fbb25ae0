// Package mutation breaks schedulers on purpose: each mutant is a scheduler with one fault, of the kind that a change
// might bring in, and names the rule by which the checker must find it. They show that the checker catches what it is for.
//
// A mutant is put round the whole scheduler, at the border to the environment (Wrap), or round its decision module alone
// (Module). One that sends what the scheduler did not send does it as a scheduler must: it dials a connection of its
// own, writes once that is up, and closes it after the answer. Nothing in a mutant is drawn at random.
package mutation

import (
	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// Mutant is a scheduler with one fault.
type Mutant struct {
	Name        string // stable, in small letters and hyphens
	Rule        string // by which the checker must find it; see package judge
	Description string // what it does
	// Adjust makes a scenario one in which it shows.
	Adjust func(s *scenario.Scenario)
	// Wrap puts the fault round a scheduler; nil: there is none.
	Wrap func(spec *scenario.Scenario, inner simapi.Scheduler) simapi.Scheduler
	// Policy makes the decision module with the fault in it; nil: there is none.
	Policy func(set dispatch.Settings, seed uint64) requests.Policy
}

// Scenario is a short play in which the mutant shows.
func (m *Mutant) Scenario() *scenario.Scenario {
	s := scenario.Default()
	s.Name = "mutant-" + m.Name
	s.Length = scenario.Duration(6e9)
	if m.Adjust != nil {
		m.Adjust(s)
	}
	return s
}
