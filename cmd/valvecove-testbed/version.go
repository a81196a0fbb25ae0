package main

import "fmt"

type versionCommand struct{}

// Run prints which build this is.
func (versionCommand) Run(streams *standardStreams) error {
	_, err := fmt.Fprintln(streams.stdout, "valvecove-testbed", buildName())
	return err
}
