package main

import (
	"context"
	"fmt"

	"valvecove/internal/testbed/badclients"
)

type badClientsCommand struct {
	Kind   string `name:"kind" help:"Kind of misbehaviour: slow, flood or departure; empty: each in turn." enum:",slow,flood,departure" default:""`
	Seed   uint64 `name:"seed" help:"Seed of the first play; the next ones count up from it." default:"1"`
	Runs   int    `name:"runs" help:"Plays of each kind." default:"5"`
	Binary string `name:"binary" help:"The scheduler's program. Default: valvecove in this program's folder, or else a new build." type:"path"`
}

// Run runs plays with misbehaving clients, prints their figures, and a command for each play that broke a rule.
func (c *badClientsCommand) Run(ctx context.Context, streams *standardStreams) error {
	binary, remove, err := schedulerBinary(ctx, c.Binary, streams)
	if err != nil {
		return err
	}
	defer remove()
	kinds := badclients.Kinds
	if c.Kind != "" {
		kinds = []badclients.Kind{badclients.Kind(c.Kind)}
	}
	broken := 0
	for run := range c.Runs {
		for _, kind := range kinds {
			if err := ctx.Err(); err != nil {
				return err
			}
			result, err := badclients.Run(ctx, badclients.Draw(kind, c.Seed+uint64(run)), binary)
			if err != nil {
				return err
			}
			broken += printBadClients(result, streams)
		}
	}
	fmt.Fprintf(streams.stdout, "%d plays, %d of them broke a rule\n", c.Runs*len(kinds), broken)
	if broken > 0 {
		return exitError(exitViolation)
	}
	return nil
}

// printBadClients prints the result of a play, and returns 1 if a rule was broken, else 0.
func printBadClients(result badclients.Result, streams *standardStreams) int {
	const shownViolations = 5
	fmt.Fprintln(streams.stdout, result)
	if len(result.Violations) == 0 {
		return 0
	}
	for _, violation := range result.Violations[:min(shownViolations, len(result.Violations))] {
		fmt.Fprintln(streams.stdout, "  broken:", violation)
	}
	fmt.Fprintf(streams.stdout, "  %d in all; again: %s\n", len(result.Violations), result.Play.Command())
	return 1
}
