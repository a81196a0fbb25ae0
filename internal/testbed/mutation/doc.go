// Package mutation tests the checkers by mutation: each mutant is a scheduler with one seeded fault, of the kind that a change
// might bring in, and names the rule by which the checker must find it.
//
// A mutant wraps the whole scheduler at the simulation interface (Wrap), or its dispatch policy alone (Policy). One that sends
// what the scheduler did not send does so as a scheduler must: it dials a connection of its own, writes once that is open, and
// closes it after the response. Mutants draw nothing at random.
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
	Rule        string // by which the checker must find it; see package checker
	Description string // what it does
	// Adjust changes a scenario so that the fault shows; nil: it shows in any.
	Adjust func(s *scenario.Scenario)
	// Wrap wraps a scheduler; nil: the fault is not there.
	Wrap func(spec *scenario.Scenario, inner simapi.Scheduler) simapi.Scheduler
	// Policy makes the dispatch policy with the fault in it; nil: the fault is not there.
	Policy func(set dispatch.Settings, seed uint64) requests.Policy
}

// Scenario is a short run in which the mutant shows.
func (m *Mutant) Scenario() *scenario.Scenario {
	s := scenario.Default()
	s.Name = "mutant-" + m.Name
	s.Length = scenario.Duration(6e9)
	if m.Adjust != nil {
		m.Adjust(s)
	}
	return s
}
