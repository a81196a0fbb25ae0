package environment

import (
	"math"
	"time"
)

// This file holds the progress callbacks of what runs.

// planProgress has callbacks of progress told of what has begun. One entry on the event queue serves all that runs.
func (w *worker) planProgress(a *attempt) {
	if w.kind.ProgressInterval <= 0 {
		return
	}
	if a.nextProgressAt = w.env.now + w.kind.ProgressInterval.Std(); !w.progressPlanned {
		w.progressPlanned = true
		w.scheduleProgress(a.nextProgressAt)
	}
}

func (w *worker) scheduleProgress(at time.Duration) {
	boot := w.process.incarnation
	w.env.schedule(at, func() {
		if w.process.incarnation == boot && w.process.state == workerUp {
			w.whenRunning(w.sendProgress)
		}
	})
}

// sendProgress tells of all whose time it is. While it hangs there is no progress to tell.
func (w *worker) sendProgress() {
	w.runDue()
	next := time.Duration(math.MaxInt64)
	for _, a := range w.jobs.running {
		if a.nextProgressAt <= w.env.now {
			if !w.process.hanging {
				w.notify(a, "running", w.jobs.progress(a))
			}
			a.nextProgressAt = w.env.now + w.kind.ProgressInterval.Std()
		}
		next = min(next, a.nextProgressAt)
	}
	if w.progressPlanned = len(w.jobs.running) > 0; w.progressPlanned {
		w.scheduleProgress(next)
	}
}
