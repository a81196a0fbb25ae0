package main

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/score"
)

// newProgressCounter returns a function that prints the progress of an experiment, once for each tenth of its runs.
func newProgressCounter(w io.Writer, command string) func(done, total int) {
	lastTenth := -1
	return func(done, total int) {
		if tenth := 10 * done / max(1, total); tenth != lastTenth {
			lastTenth = tenth
			fmt.Fprintf(w, "%s: %d of %d runs\n", command, done, total)
		}
	}
}

// progressBacklog is how many updates may wait for the terminal; further ones are dropped.
const progressBacklog = 64

// progressDisplay shows the progress of a run with real processes. It writes from a goroutine of its own, so that the run
// never waits for the terminal.
type progressDisplay struct {
	updates  chan func(progress *report.Progress)
	finished sync.WaitGroup
}

// newProgressDisplay starts a display; close ends it.
func newProgressDisplay(w io.Writer) *progressDisplay {
	display := &progressDisplay{updates: make(chan func(progress *report.Progress), progressBacklog)}
	display.finished.Go(func() {
		progress := report.NewProgress(w)
		for update := range display.updates {
			update(progress)
		}
		progress.Done()
	})
	return display
}

// showSnapshot shows the state of the run. It copies the snapshot.
func (d *progressDisplay) showSnapshot(snapshot *score.Snapshot) {
	current := *snapshot
	current.Faults = slices.Clone(snapshot.Faults)
	d.enqueue(func(progress *report.Progress) { progress.Show(&current) })
}

// printLine prints a line between two progress lines.
func (d *progressDisplay) printLine(w io.Writer, line string) {
	d.enqueue(func(progress *report.Progress) {
		progress.Done()
		fmt.Fprintln(w, line)
	})
}

// enqueue adds an update, or drops it if too many are waiting.
func (d *progressDisplay) enqueue(update func(progress *report.Progress)) {
	select {
	case d.updates <- update:
	default:
	}
}

// close waits until all updates have been written.
func (d *progressDisplay) close() {
	close(d.updates)
	d.finished.Wait()
}
