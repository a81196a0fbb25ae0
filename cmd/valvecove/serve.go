package main

import "valvecove/internal/server"

type serveCommand struct{}

// Help is appended to the subcommand's help.
func (serveCommand) Help() string {
	return `It listens at the address in PROXY_LISTEN or in its configuration, logs to standard error, and stays in the
foreground. It drains and ends on SIGTERM and SIGINT, reads the platform's file again on SIGHUP, and writes the
capture to standard error on SIGUSR1, if that feature is on.

Exit codes:

    0  it was stopped by a signal, and has drained
    1  it could not start or continue
    2  the command line is invalid`
}

// run serves until a signal ends the process.
func (*serveCommand) run(env environment) int {
	if err := server.Run(env.getenv, env.opsFile, env.stderr); err != nil {
		env.printError("valvecove", err)
		return exitFailure
	}
	return exitOK
}
