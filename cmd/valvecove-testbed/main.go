// Command valvecove-testbed runs scenarios against schedulers, in simulated time or with real processes, checks their
// invariants, and reports the figures. Each subcommand has a file of its own. It is a development tool: none of it is on the
// serving path, and it connects only to what it starts itself.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes of all subcommands.
const (
	exitOK        = 0
	exitViolation = 1 // a rule was broken, an expectation not met, or the drivers disagree
	exitUsage     = 2 // wrong usage, an invalid file, something that this machine could not do, or an interrupt
	exitInvalid   = 3 // the testbed itself was too late, so the run is invalid
)

// garbageCollectionPercent lets the heap grow to five times the live data: a run allocates much and retains little.
const garbageCollectionPercent = 400

// commands are the subcommands.
type commands struct {
	Demo       demoCommand       `cmd:"" name:"demo" help:"Start discovery, workers, a scheduler and clients, kill a worker during the run, and check the run."`
	Play       playCommand       `cmd:"" name:"play" help:"Run a scenario once, check its invariants, and show its figures."`
	Compare    compareCommand    `cmd:"" name:"compare" help:"Run two builds, configurations or policies on the same scenarios, paired by seed."`
	Variation  variationCommand  `cmd:"" name:"sweep" help:"Run a scenario with several values of one key, or of two."`
	Search     searchCommand     `cmd:"" name:"hunt" help:"Draw scenarios and faults at random, and keep the worst runs, minimised."`
	Agreement  agreementCommand  `cmd:"" name:"agree" help:"Run scenarios with both drivers, and set their figures side by side."`
	Baselines  baselinesCommand  `cmd:"" name:"baselines" help:"Compare the dispatch policy with the baseline policies, scenario by scenario."`
	Speed      speedCommand      `cmd:"" name:"speed" help:"Measure how fast the simulation runs on one core, by fleet size."`
	Load       loadCommand       `cmd:"" name:"load" help:"Apply an open-loop load to an address, or to the testbed's own responder."`
	BadClients badClientsCommand `cmd:"" name:"badclients" help:"Run misbehaving clients beside usual ones against real processes, drawn from a seed."`
	Fleet      fleetCommand      `cmd:"" name:"fleet" help:"Measure a scheduler in front of large fleets on sockets, beside the standard library's reverse proxy."`
	Growth     growthCommand     `cmd:"" name:"growth" help:"Measure the resources that a scheduler needs as its fleet grows, beside the limits of the standing growth test."`
	Mutants    mutantsCommand    `cmd:"" name:"mutants" help:"Run each mutant, and report whether the invariant checker finds it."`
	List       listCommand       `cmd:"" name:"list" help:"List the scenarios of the library."`
	Check      checkCommand      `cmd:"" name:"check" help:"Check scenario files."`
	Version    versionCommand    `cmd:"" name:"version" help:"Print which build this is."`

	// FormerBaselines is the name of Baselines up to December 2026, accepted for one release.
	FormerBaselines baselinesCommand `hidden:"" cmd:"" name:"yardsticks"`
}

const programDescription = `The testbed of valvecove. SCENARIO is a name of the library ("valvecove-testbed list"), a file, or - for standard input.

Exit codes: 0 as expected; 1 a rule was broken, an expectation not met, or the drivers disagree; 2 wrong usage, an
invalid file, something that this machine could not do, or an interrupt; 3 the testbed itself was too late, so the run is
invalid.`

// exitError ends a subcommand with an exit code other than 0. Its cause has been printed already.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// standardStreams are what a subcommand reads and writes.
type standardStreams struct {
	stdin          io.Reader
	stdout, stderr io.Writer
}

func main() {
	debug.SetGCPercent(garbageCollectionPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	// After the first signal, a second one ends the process at once, because a simulated run does not check its context.
	context.AfterFunc(ctx, stop)
	code := run(ctx, os.Args[1:], &standardStreams{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr})
	stop()
	os.Exit(code)
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, streams *standardStreams) int {
	var line commands
	helpExitCode := -1 // until help has been printed
	parser, err := kong.New(&line, kong.Name("valvecove-testbed"), kong.Description(programDescription), kong.UsageOnError(),
		kong.Writers(streams.stdout, streams.stderr), kong.Exit(func(code int) { helpExitCode = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(streams.stderr, "valvecove-testbed:", err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if helpExitCode >= 0 {
		return helpExitCode
	}
	if err != nil {
		fmt.Fprintln(streams.stderr, "valvecove-testbed:", err)
		return exitUsage
	}
	command.BindTo(ctx, (*context.Context)(nil))
	return exitCode(command.Run(streams), streams)
}

// exitCode turns the error of a subcommand into the exit code, and prints it unless that has been done.
func exitCode(err error, streams *standardStreams) int {
	var exit exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return int(exit)
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(streams.stderr, "valvecove-testbed: stopped")
		return exitUsage
	default:
		fmt.Fprintln(streams.stderr, "valvecove-testbed:", err)
		return exitUsage
	}
}
