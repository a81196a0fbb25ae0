// Valvecove-testbed runs experiments: it plays scenarios against schedulers, in simulated time or with real processes, judges what it
// saw, and says what it came to. Nothing of it is in the serving path.
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

// Exit codes.
const (
	exitOK        = 0
	exitUsage     = 1 // played, and not as expected: a rule broken, an expectation not met, drivers that disagree
	exitViolation = 2 // usage, a faulty file, or this machine
	exitInvalid   = 3 // the testbed itself was too late: no result
)

// commands are the command line.
type commands struct {
	Demo      demoCommand      `cmd:"" name:"demo" help:"Bring up discovery, worker nodes, a scheduler and clients, kill a worker node on the way, and judge."`
	Play      playCommand      `cmd:"" name:"play" help:"Play a scenario once, judge it, and show its figures."`
	Compare   compareCommand   `cmd:"" name:"compare" help:"Play two builds, configurations or policies in the same plays, paired by seed."`
	Variation variationCommand `cmd:"" name:"sweep" help:"Play a scenario with one key, or two, taking several values."`
	Hunt      huntCommand      `cmd:"" name:"hunt" help:"Draw scenarios and faults at random, and keep the plays that go worst, shrunk."`
	Agree     agreeCommand     `cmd:"" name:"agree" help:"Play scenarios with both drivers, and set them side by side."`
	Baselines baselinesCommand `cmd:"" name:"yardsticks" help:"Hold the module against reference policies, scenario by scenario."`
	Speed     speedCommand     `cmd:"" name:"speed" help:"Measure how fast virtual time runs on one core, by fleet."`
	Load      loadCommand      `cmd:"" name:"load" help:"Put an open load on an address, or on a responder of the lab's own."`
	Fleet     fleetCommand     `cmd:"" name:"fleet" help:"Measure a scheduler before large fleets on sockets, beside the standard library's reverse proxy."`
	Mutants   mutantsCommand   `cmd:"" name:"mutants" help:"Play each seeded fault, and say whether the judge finds it."`
	List      listCommand      `cmd:"" name:"list" help:"List the scenarios of the library."`
	Check     checkCommand     `cmd:"" name:"check" help:"Check scenario files."`
	Version   versionCommand   `cmd:"" name:"version" help:"Say which build this is."`
}

const programDescription = `The lab of valvecove. SCENARIO is a name of the library ("valvecove-testbed list"), a file, or - for standard input.

Exit codes: 0 as expected; 1 played, and a rule was broken, an expectation not met, or the drivers disagree; 2 wrong usage,
a faulty file, or something this machine could not do; 3 the lab itself was too late, so the play is no result.`

// exitError ends a command with a code other than 0, its words having been said.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// streams are where a command reads and writes.
type streams struct {
	input          io.Reader
	output, errors io.Writer
}

func main() {
	debug.SetGCPercent(400) // plays leave much behind and hold little
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends it at once: a run in simulated time does not look up
	code := run(ctx, os.Args[1:], &streams{os.Stdin, os.Stdout, os.Stderr})
	stop()
	os.Exit(code)
}

// run is the program but for the process round it.
func run(ctx context.Context, args []string, streams *streams) (code int) {
	var c commands
	ended := -1
	parser, err := kong.New(&c, kong.Name("valvecove-testbed"), kong.Description(programDescription), kong.UsageOnError(),
		kong.Writers(streams.output, streams.errors), kong.Exit(func(code int) { ended = code }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(streams.errors, "valvecove-testbed:", err)
		return exitViolation
	}
	command, err := parser.Parse(args)
	if ended >= 0 { // help was asked for
		return ended
	}
	if err != nil {
		fmt.Fprintln(streams.errors, "valvecove-testbed:", err)
		return exitViolation
	}
	command.BindTo(ctx, (*context.Context)(nil))
	var sent exitError
	switch err := command.Run(streams); {
	case err == nil:
		return exitOK
	case errors.As(err, &sent):
		return int(sent)
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(streams.errors, "valvecove-testbed: stopped")
		return exitViolation
	default:
		fmt.Fprintln(streams.errors, "valvecove-testbed:", err)
		return exitViolation
	}
}
