// Command simadapter connects dispatch policies to the simulator: it reads batches of events from standard input, and writes the
// actions for each batch to standard output. It runs any number of policy instances, which share no state.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"valvecove/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to each batch until the end of input.
func run(input io.Reader, output io.Writer) error {
	reader := simwire.NewReader(input)
	writer := simwire.NewWriter(output)
	adapter := newAdapter()
	var batch simwire.Batch
	for {
		if err := reader.Read(&batch); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		adapter.process(batch, writer)
		if err := writer.End(); err != nil {
			return err
		}
	}
}
