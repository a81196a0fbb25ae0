// Program standin2 runs the cases 6 to 10 of the review: stand-ins of clients, worker nodes and discovery round processes of the
// scheduler.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name. Each returns how the rule was broken.
var cases = map[string]func(r *rig) (broken []string, err error){}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER (from the project's root)")
		return exitNotRun
	}
	name, folder := os.Args[1], os.Args[2]
	root, err := os.Getwd()
	if err != nil || cases[name] == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	r, err := newRig(root, filepath.Join(folder, "record.txt"), 1)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.trouble = os.Getenv("TROUBLE") != "0"
	broken, err := cases[name](r)
	for _, line := range broken {
		r.rec.line("BROKEN %s", line)
	}
	if err != nil {
		r.rec.line("could not run: %v", err)
	}
	r.close()
	for i, line := range broken {
		if i < 20 {
			fmt.Println("broken:", line)
		}
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
