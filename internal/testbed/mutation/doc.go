// Package mutation tests the invariant checker by mutation testing: each mutant is a scheduler with one injected fault, such as
// a change of the code might introduce, and names the rule by which the checker must detect it.
//
// A mutant wraps the whole scheduler at the simulation interface (Wrap), or its dispatch policy alone (Policy). A mutant that
// sends additional attempts does so as a scheduler must: it dials a connection of its own, writes once that is open, and closes
// it after the response. Mutants make no random draws.
package mutation

import (
	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// Mutant is a scheduler with one fault.
type Mutant struct {
	Name        string // stable, in lower-case letters and hyphens
	Rule        string // the rule of package checker that it violates
	Description string // what it does wrong
	// Adjust changes a scenario so that the fault takes effect; nil: it does in any scenario.
	Adjust func(s *scenario.Scenario)
	// Wrap wraps a scheduler to inject the fault; nil: Policy does.
	Wrap func(spec *scenario.Scenario, inner simapi.Scheduler) simapi.Scheduler
	// Policy returns a dispatch policy with the fault; nil: Wrap injects it.
	Policy func(settings dispatch.Settings, seed uint64) requests.Policy
}

// Scenario returns a short scenario in which the fault takes effect.
func (m *Mutant) Scenario() *scenario.Scenario {
	s := scenario.Default()
	s.Name = "mutant-" + m.Name
	s.Length = scenario.Duration(6e9)
	if m.Adjust != nil {
		m.Adjust(s)
	}
	return s
}
