package main

import "valvecove/internal/server"

type serveCommand struct{}

// Help is appended to the subcommand's help.
func (serveCommand) Help() string {
	return `It listens where PROXY_LISTEN or its configuration says, logs to standard error, and stays in the foreground.
SIGTERM and SIGINT have it drain and end, SIGHUP has it read the platform's file again, and SIGUSR1 has it write the
capture to standard error, where that is on.

Exit codes:

    0  it was told to stop, and has drained
    1  it could not start, or go on
    2  the command line makes no sense`
}

// run serves until a signal ends the process.
func (*serveCommand) run(env environment) int {
	if err := server.Run(env.variable, env.opsFile, env.stderr); err != nil {
		env.printError("valvecove", err)
		return exitFailure
	}
	return exitOK
}
