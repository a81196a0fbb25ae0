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
	exitFailure = 1 // serve could not start or continue; check: errors in the files; replay: a difference
	exitUsage   = 2 // invalid command line; replay: also a capture that can't be replayed
)

const programDescription = `A scheduler for jobs: clients submit one job per HTTP request, worker nodes run them, and each
request gets one response. It reads its configuration from the platform's file, whose path is in PROXY_CONFIG.

Exit codes:

    0  done
    1  it could not start or continue; for check and replay, see their help
    2  the command line is invalid
`

// commands contains the options of all subcommands, and the subcommands.
type commands struct {
	Config string `name:"config" placeholder:"FILE" help:"The operators' own file, which turns features on. Without it all are off."`

	Serve   serveCommand   `cmd:"" name:"serve" default:"1" help:"Serve until SIGTERM. This is also the default without a command."`
	Check   checkCommand   `cmd:"" name:"check" help:"Read both configuration files, and say what is wrong or what serve would do."`
	Replay  replayCommand  `cmd:"" name:"replay" help:"Feed a capture to the dispatcher again and print each difference."`
	Version versionCommand `cmd:"" name:"version" help:"Print the version."`
}

// environment contains the inputs and outputs of a subcommand.
type environment struct {
	opsFile        string                   // path of the operators' file; empty: none
	getenv         func(name string) string // looks up an environment variable
	stdout, stderr io.Writer
}

// printError prints an error of a subcommand to standard error.
func (e environment) printError(command string, err error) {
	fmt.Fprintf(e.stderr, "%s: %v\n", command, err)
}

// subcommand is implemented by the subcommands. run returns the exit code.
type subcommand interface{ run(env environment) int }

func main() { os.Exit(execute(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// execute runs the subcommand of a command line and returns the exit code.
func execute(args []string, getenv func(name string) string, stdout, stderr io.Writer) int {
	var line commands
	helpExitCode := -1 // set when help is printed
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
	return selected.run(environment{opsFile: line.Config, getenv: getenv, stdout: stdout, stderr: stderr})
}
