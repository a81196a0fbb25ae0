// Valvecove is a scheduler: it takes queries from clients and has worker nodes run them. Without a command it serves.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"valvecove/internal/capture"
	"valvecove/internal/config"
	"valvecove/internal/server"
)

// Exit codes of all commands.
const (
	exitDone   = 0
	exitFault  = 1 // or, of replay, a difference
	exitUnable = 2 // a command line that makes no sense; of replay, also a capture that can't be replayed
)

const description = `A scheduler for jobs: clients submit one job per HTTP request, worker nodes run them, and each
request gets one answer. It takes its configuration from the platform, by the file that PROXY_CONFIG names.

Exit codes:

    0  done
    1  it could not start, or go on; of check and replay, see there
    2  the command line makes no sense
`

type commands struct {
	Config string `name:"config" placeholder:"FILE" help:"The operators' own file, which turns features on. Without it all are off."`

	Serve   serve   `cmd:"" name:"serve" default:"1" help:"Serve until SIGTERM. This is also what no command means."`
	Check   check   `cmd:"" name:"check" help:"Read both configuration files, and say what is wrong or what serve would do."`
	Replay  replay  `cmd:"" name:"replay" help:"Feed a capture to the decision module again and print each difference."`
	Version version `cmd:"" name:"version" help:"Print the version."`
}

// process is what a command has of its process.
type process struct {
	config         string
	env            func(string) string
	stdout, stderr io.Writer
}

// command is one of the above; its result is the exit code.
type command interface{ run(p process) int }

func main() { os.Exit(execute(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// execute runs a command line.
func execute(args []string, env func(string) string, stdout, stderr io.Writer) (code int) {
	var line commands
	type helped struct{}
	defer func() {
		if p := recover(); p == (helped{}) {
			code = exitDone
		} else if p != nil {
			panic(p)
		}
	}()
	parser := kong.Must(&line, kong.Name("valvecove"), kong.Description(description), kong.Writers(stdout, stderr),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
		kong.Exit(func(int) { panic(helped{}) })) // help has been printed, and nothing else is to be done
	chosen, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "valvecove: %v; see valvecove --help\n", err)
		return exitUnable
	}
	p := process{line.Config, env, stdout, stderr}
	return chosen.Selected().Target.Addr().Interface().(command).run(p)
}

// fault says why a command ends.
func (p process) fault(command string, err error) { fmt.Fprintf(p.stderr, "%s: %v\n", command, err) }

type serve struct{}

// Help is what its help adds.
func (serve) Help() string {
	return `It listens where PROXY_LISTEN or its configuration says, logs to standard error, and stays in the foreground.
SIGTERM and SIGINT have it drain and end, SIGHUP has it read the platform's file again, and SIGUSR1 has it write the
capture to standard error, where that is on.

Exit codes:

    0  it was told to stop, and has drained
    1  it could not start, or go on
    2  the command line makes no sense`
}

func (s *serve) run(p process) int {
	if err := server.Run(p.env, p.config, p.stderr); err != nil {
		p.fault("valvecove", err)
		return exitFault
	}
	return exitDone
}

type replay struct {
	Capture string `name:"capture" required:"" placeholder:"FILE" help:"The capture to replay."`
}

// Help is what its help adds.
func (replay) Help() string {
	return `Of the operators' file only [replay.settings] matters: values that replace recorded ones.

Exit codes:

    0  no difference
    1  some differences
    2  the capture can't be replayed, or the command line makes no sense`
}

func (r *replay) run(p process) int {
	ops, err := config.LoadOps(p.config)
	if err != nil {
		p.fault("valvecove replay", err)
		return exitUnable
	}
	return capture.ReplayCommand(r.Capture, ops, p.stdout, p.stderr)
}

type version struct{}

// Help is what its help adds.
func (version) Help() string {
	return `The version of the module, the revision that it was built from, if the build noted one, and that of Go.`
}

func (v *version) run(p process) int {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		info = &debug.BuildInfo{}
	}
	fmt.Fprintln(p.stdout, versionOf(info))
	return exitDone
}

func versionOf(info *debug.BuildInfo) string {
	set := map[string]string{}
	for _, s := range info.Settings {
		set[s.Key] = s.Value
	}
	known := func(text string) string {
		if text == "" {
			return "unknown"
		}
		return text
	}
	revision := known(set["vcs.revision"])
	if set["vcs.modified"] == "true" {
		revision += ", modified"
	}
	if at := set["vcs.time"]; at != "" {
		revision += ", " + at
	}
	return strings.Join([]string{
		"valvecove " + known(info.Main.Version), "revision  " + revision,
		"go        " + known(strings.TrimPrefix(info.GoVersion, "go")) + " " + set["GOOS"] + "/" + set["GOARCH"],
	}, "\n")
}
