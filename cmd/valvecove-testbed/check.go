package main

import (
	"fmt"
	"strings"
)

type checkCommand struct {
	Files []string `arg:"" name:"files" help:"Scenario files."`
}

// Run checks all files, including those after an invalid one.
func (c *checkCommand) Run(streams *standardStreams) error {
	faulty := 0
	for _, name := range c.Files {
		_, err := openScenario(name, streams)
		if err == nil {
			fmt.Fprintf(streams.stdout, "%s: sound\n", name)
			continue
		}
		faulty++
		text := err.Error()
		if !strings.HasPrefix(text, name+":") {
			text = name + ": " + text
		}
		fmt.Fprintln(streams.stderr, text)
	}
	if faulty > 0 {
		return exitError(exitUsage)
	}
	return nil
}
