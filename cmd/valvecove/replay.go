package main

import (
	"valvecove/internal/capture"
	"valvecove/internal/config"
)

type replayCommand struct {
	Capture string `name:"capture" required:"" placeholder:"FILE" help:"The capture to replay."`
}

// Help is appended to the subcommand's help.
func (replayCommand) Help() string {
	return `Of the operators' file only [replay.settings] is used. Its values replace recorded ones.

Exit codes:

    0  no difference
    1  some differences
    2  the capture can't be replayed, or the command line is invalid`
}

// run replays the capture, and prints the differences.
func (c *replayCommand) run(env environment) int {
	ops, err := config.LoadOps(env.opsFile)
	if err != nil {
		env.printError("valvecove replay", err)
		return exitUsage
	}
	return capture.ReplayCommand(c.Capture, ops, env.stdout, env.stderr)
}
