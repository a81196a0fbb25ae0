package main

import (
	"fmt"

	"valvecove/scenarios"
)

type listCommand struct{}

// Run lists the scenarios of the library.
func (listCommand) Run(streams *standardStreams) error {
	for _, name := range scenarios.Names() {
		spec, err := scenarios.Open(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(streams.stdout, "%-26s %s\n", name, spec.Description)
	}
	return nil
}
