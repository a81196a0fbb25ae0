package main

import (
	"context"
	"fmt"
	"slices"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/mutation"
	"valvecove/internal/testbed/scenario"
)

type mutantsCommand struct {
	Names []string `arg:"" name:"names" optional:"" help:"Names of mutants; none: all."`
	Seeds int      `name:"seeds" help:"Runs of each mutant." default:"1"`
}

// Run runs the mutants, and prints whether each was found by its rule.
func (c *mutantsCommand) Run(ctx context.Context, streams *standardStreams) error {
	missed := 0
	for _, mutant := range mutation.All() {
		if len(c.Names) > 0 && !slices.Contains(c.Names, mutant.Name) {
			continue
		}
		found, otherRules, err := c.detect(ctx, &mutant)
		if err != nil {
			return err
		}
		outcome := "found"
		if found < c.runs() {
			outcome = "MISSED"
			missed++
		}
		fmt.Fprintf(streams.stdout, "%-28s %-22s %s in %d of %d runs", mutant.Name, mutant.Rule, outcome, found, c.runs())
		if len(otherRules) > 0 {
			fmt.Fprintf(streams.stdout, "; also %v", otherRules)
		}
		fmt.Fprintln(streams.stdout)
	}
	if missed > 0 {
		return exitError(exitViolation)
	}
	return nil
}

// runs returns the number of runs of each mutant.
func (c *mutantsCommand) runs() int { return max(1, c.Seeds) }

// detect returns in how many runs a mutant broke its rule, and for each other rule in how many runs it broke that.
func (c *mutantsCommand) detect(ctx context.Context, mutant *mutation.Mutant) (found int, otherRules map[string]int, err error) {
	otherRules = map[string]int{}
	for _, seed := range experiment.Seeds(1, c.runs()) {
		result, err := experiment.Run(ctx, experiment.Job{
			Spec: mutant.Scenario(), Seed: seed, Driver: scenario.DriverSimulation,
			Subject: experiment.Subject{Name: mutant.Name, Mutant: mutant.Name},
		})
		if err != nil {
			return 0, nil, err
		}
		for _, rule := range result.Verdict.Rules {
			switch {
			case rule.Violated == 0:
			case rule.Rule == mutant.Rule:
				found++
			default:
				otherRules[rule.Rule]++
			}
		}
	}
	return found, otherRules, nil
}
