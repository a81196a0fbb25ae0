package experiment

import (
	"context"
	"slices"

	"valvecove/internal/testbed/scenario"
)

// Bounds of minimisation.
const (
	minimisedShare  = 0.8 // share of its regret that a minimised finding must keep
	maxMinimiseRuns = 150 // for one finding
)

// scenarioChange makes a scenario smaller.
type scenarioChange = func(spec *scenario.Scenario)

// minimiser looks for a smaller run that is as bad as a finding and in the same way, and replaces the finding by it.
type minimiser struct {
	search        *Search
	finding       *Finding
	remainingRuns int
}

// minimise removes the faults that do not matter, then sets parts of the scenario back to their defaults and shortens the
// remaining faults, and then tries fewer workers and a shorter run. When the context ends it stops, and leaves the finding as
// small as it is by then.
func (s *Search) minimise(ctx context.Context, finding *Finding) error {
	minimiser := &minimiser{search: s, finding: finding, remainingRuns: maxMinimiseRuns}
	if err := minimiser.removeFaults(ctx); err != nil {
		return err
	}
	for _, change := range simplifications(finding.Spec) {
		if _, err := minimiser.try(ctx, change); err != nil {
			return err
		}
	}
	halveFleet := func(spec *scenario.Scenario) { spec.Fleet.Workers = max(1, spec.Fleet.Workers/2) }
	if err := minimiser.repeat(ctx, halveFleet); err != nil {
		return err
	}
	halveLength := func(spec *scenario.Scenario) { spec.Length /= 2 }
	return minimiser.repeat(ctx, halveLength)
}

// removeFaults tries to remove each fault. After a pass that removed any it tries the others again, since one of them may have
// mattered only together with a removed one.
func (m *minimiser) removeFaults(ctx context.Context) error {
	for isSmaller := true; isSmaller; {
		isSmaller = false
		for i := len(m.finding.Spec.Faults) - 1; i >= 0; i-- {
			ok, err := m.try(ctx, func(spec *scenario.Scenario) { spec.Faults = slices.Delete(spec.Faults, i, i+1) })
			if err != nil {
				return err
			}
			isSmaller = isSmaller || ok
		}
	}
	return nil
}

// repeat makes a change again and again, for as long as the run stays as bad.
func (m *minimiser) repeat(ctx context.Context, change scenarioChange) error {
	for {
		ok, err := m.try(ctx, change)
		if err != nil || !ok {
			return err
		}
	}
}

// try makes a change if the run stays as bad, and reports whether it did.
func (m *minimiser) try(ctx context.Context, change scenarioChange) (bool, error) {
	if m.remainingRuns <= 0 || ctx.Err() != nil {
		return false, nil
	}
	m.remainingRuns--
	spec := m.finding.Spec.Clone()
	change(spec)
	if spec.Check() != nil {
		return false, nil
	}
	candidate, err := m.search.evaluate(context.WithoutCancel(ctx), spec, m.finding.DrawNumber)
	if err != nil || !m.isAsBad(candidate) {
		return false, err
	}
	candidate.DrawnFaults = m.finding.DrawnFaults
	*m.finding = *candidate
	return true, nil
}

// isAsBad reports whether a candidate fails in the same way as the finding or, if the finding is no failure, keeps most of its
// regret.
func (m *minimiser) isAsBad(candidate *Finding) bool {
	finding := m.finding
	if candidate.Rule != finding.Rule || (candidate.Error != "") != (finding.Error != "") {
		return false
	}
	isViolation := finding.Rule != "" || finding.Error != ""
	return isViolation || candidate.Regret() >= minimisedShare*finding.Regret()
}

// simplifications returns changes that each set one part of a scenario back to its default, or make a fault smaller.
func simplifications(drawn *scenario.Scenario) []scenarioChange {
	all := []scenarioChange{
		func(spec *scenario.Scenario) { spec.Clients = scenario.Default().Clients },
		func(spec *scenario.Scenario) { spec.Discovery = scenario.Default().Discovery },
		func(spec *scenario.Scenario) { spec.Network = scenario.Default().Network },
		func(spec *scenario.Scenario) { spec.Fleet.Kinds = scenario.Default().Fleet.Kinds },
		func(spec *scenario.Scenario) { spec.Schedulers.Count = 1 },
		func(spec *scenario.Scenario) { spec.Load.Hints, spec.Load.HintFactor = "exact", 0 },
		func(spec *scenario.Scenario) { spec.Load.Shape, spec.Load.Swing = "steady", 0 },
	}
	for i := range drawn.Faults {
		all = append(all, func(spec *scenario.Scenario) { spec.Faults[i].Duration /= 2 },
			func(spec *scenario.Scenario) { spec.Faults[i].Spread = 0 })
	}
	return all
}
