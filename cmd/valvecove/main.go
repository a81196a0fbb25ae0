// Valvecove is a scheduler: it takes queries from clients and has worker nodes run them.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"valvecove/internal/capture"
	"valvecove/internal/config"
	"valvecove/internal/run"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replay" {
		os.Exit(replay(os.Args[2:]))
	}
	ops := flag.String("config", "", "the operators' own `file`, which turns features on; without it all are off")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "valvecove: not known: %s\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := run.Scheduler(os.Getenv, *ops, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "valvecove:", err)
		os.Exit(1)
	}
}

// replay feeds a capture to the module again: 0 no difference, 1 some, 2 it can't be replayed.
func replay(args []string) int {
	flags := flag.NewFlagSet("valvecove replay", flag.ContinueOnError)
	file := flags.String("capture", "", "the `file` to replay")
	ops := flags.String("config", "", "the operators' own `file`, whose [replay.settings] replace recorded ones")
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		return 0
	} else if err != nil {
		return 2
	}
	if flags.NArg() > 0 || *file == "" {
		fmt.Fprintln(os.Stderr, "valvecove replay: --capture FILE is needed, and nothing but flags")
		return 2
	}
	features, err := config.LoadOps(*ops)
	if err != nil {
		fmt.Fprintln(os.Stderr, "valvecove replay:", err)
		return 2
	}
	return capture.Command(*file, features, os.Stdout, os.Stderr)
}
