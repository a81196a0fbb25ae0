// Package mutant breaks schedulers on purpose: each mutant is a scheduler with one fault, of the kind that a change
// might bring in, and names the rule by which the judge must find it. They show that the judge catches what it is for.
//
// A mutant is put round the whole scheduler, at the border to the world (Wrap), or round its decision module alone
// (Module). One that sends what the scheduler did not send does it as a scheduler must: it dials a connection of its
// own, writes once that is up, and closes it after the answer. Nothing in a mutant is drawn at random.
package mutant

import (
	"valvecove/dispatch"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/requests"
)

// Mutant is a scheduler with one fault.
type Mutant struct {
	Name  string // stable, in small letters and hyphens
	Rule  string // by which the judge must find it; see package judge
	About string // what it does
	// Tweak makes a scenario one in which it shows.
	Tweak func(s *scenario.Scenario)
	// Wrap puts the fault round a scheduler; nil: there is none.
	Wrap func(spec *scenario.Scenario, inner edge.Scheduler) edge.Scheduler
	// Module makes the decision module with the fault in it; nil: there is none.
	Module func(set dispatch.Settings, seed uint64) requests.Policy
}

// Scenario is a short play in which the mutant shows.
func (m *Mutant) Scenario() *scenario.Scenario {
	s := scenario.Default()
	s.Name = "mutant-" + m.Name
	s.Length = scenario.Span(6e9)
	if m.Tweak != nil {
		m.Tweak(s)
	}
	return s
}
