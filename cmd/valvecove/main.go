// Valvecove is a scheduler: it takes queries from clients and has worker nodes run them.
package main

import (
	"flag"
	"fmt"
	"os"

	"valvecove/internal/run"
)

func main() {
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
