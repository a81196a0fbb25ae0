// Simadapter joins dispatchers to the bench: it reads batches of events from standard input and writes each
// batch's actions to standard output. It hosts any number of instances, which share nothing.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"valvecove/dispatch"
	"valvecove/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the end of input.
func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	instances := map[int]*dispatch.Dispatcher{}
	pending := map[int][]dispatch.Event{}
	var order []int // instances with events, in the order of their first
	var batch simwire.Batch
	for {
		if err := r.Read(&batch); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		order = order[:0]
		for _, e := range batch.Inputs {
			switch e.Kind {
			case simwire.KindStop:
				delete(instances, e.Instance)
				pending[e.Instance] = pending[e.Instance][:0]
			case simwire.KindStart:
				instances[e.Instance] = dispatch.New(e.Settings, e.Seed)
				pending[e.Instance] = pending[e.Instance][:0]
			case simwire.KindEvent:
				if instances[e.Instance] == nil {
					continue
				}
				if len(pending[e.Instance]) == 0 {
					order = append(order, e.Instance)
				}
				pending[e.Instance] = append(pending[e.Instance], e.Event)
			}
		}
		for _, i := range order {
			events := pending[i]
			if len(events) == 0 || instances[i] == nil {
				continue // stopped, or seen already, later in the same batch
			}
			step(instances[i], i, batch, events, w)
			clear(events)
			pending[i] = events[:0]
		}
		if err := w.End(); err != nil {
			return err
		}
	}
}

// step lets one instance act. A panic is reported on the wire and goes no further.
func step(d *dispatch.Dispatcher, i int, batch simwire.Batch, events []dispatch.Event, w *simwire.Writer) {
	defer func() {
		if p := recover(); p != nil {
			w.Fault(i, fmt.Sprint(p))
		}
	}()
	w.Actions(i, d.Step(batch.Now, events, nil))
}
