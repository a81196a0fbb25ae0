// Command valvecove is the scheduler: it accepts requests from clients, dispatches each to a worker, and returns one
// response. Without a subcommand it serves.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of all subcommands.
const (
	exitOK      = 0
	exitFailure = 1 // it could not start, or go on; check: faults in the files; replay: a difference
	exitUsage   = 2 // wrong usage; replay: also a capture that can't be replayed
)

const programDescription = `A scheduler for jobs: clients submit one job per HTTP request, worker nodes run them, and each
request gets one answer. It takes its configuration from the platform, by the file that PROXY_CONFIG names.

Exit codes:

    0  done
    1  it could not start, or go on; of check and replay, see there
    2  the command line makes no sense
`

// commands are the options of all subcommands, and the subcommands.
type commands struct {
	Config string `name:"config" placeholder:"FILE" help:"The operators' own file, which turns features on. Without it all are off."`

	Serve   serveCommand   `cmd:"" name:"serve" default:"1" help:"Serve until SIGTERM. This is also the default without a command."`
	Check   checkCommand   `cmd:"" name:"check" help:"Read both configuration files, and say what is wrong or what serve would do."`
	Replay  replayCommand  `cmd:"" name:"replay" help:"Feed a capture to the dispatcher again and print each difference."`
	Version versionCommand `cmd:"" name:"version" help:"Print the version."`
}

// environment is what a subcommand gets from its process.
type environment struct {
	opsFile        string // the operators' file; empty: there is none
	variable       func(name string) string
	stdout, stderr io.Writer
}

// printError prints why a subcommand ends.
func (e environment) printError(command string, err error) {
	fmt.Fprintf(e.stderr, "%s: %v\n", command, err)
}

// subcommand is one of the commands. run returns the exit code.
type subcommand interface{ run(env environment) int }

func main() { os.Exit(execute(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// execute runs a command line and returns the exit code.
func execute(args []string, variable func(name string) string, stdout, stderr io.Writer) int {
	var line commands
	helpExitCode := -1 // until help has been printed
	parser := kong.Must(&line, kong.Name("valvecove"), kong.Description(programDescription), kong.Writers(stdout, stderr),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
		kong.Exit(func(code int) { helpExitCode = code }))
	parsed, err := parser.Parse(args)
	if helpExitCode >= 0 {
		return helpExitCode
	}
	if err != nil {
		fmt.Fprintf(stderr, "valvecove: %v; see valvecove --help\n", err)
		return exitUsage
	}
	selected := parsed.Selected().Target.Addr().Interface().(subcommand)
	return selected.run(environment{opsFile: line.Config, variable: variable, stdout: stdout, stderr: stderr})
}
