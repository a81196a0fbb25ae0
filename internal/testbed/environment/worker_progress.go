package environment

import (
	"math"
	"time"
)

// This file holds the progress callbacks of running attempts.

// planProgress plans the progress callbacks of an attempt that has started. One entry on the event queue serves all
// running attempts.
func (w *worker) planProgress(attempt *attempt) {
	if w.kind.ProgressInterval <= 0 {
		return
	}
	attempt.nextProgressAt = w.env.now + w.kind.ProgressInterval.Std()
	if !w.progressPlanned {
		w.progressPlanned = true
		w.scheduleProgress(attempt.nextProgressAt)
	}
}

func (w *worker) scheduleProgress(at time.Duration) {
	incarnation := w.process.incarnation
	w.env.schedule(at, func() {
		if w.isRunning(incarnation) {
			w.whenRunning(w.sendProgress)
		}
	})
}

// sendProgress sends the progress callbacks that are due, and plans the next. While the process hangs none is sent.
func (w *worker) sendProgress() {
	w.runDue()
	next := time.Duration(math.MaxInt64)
	for _, attempt := range w.jobs.running {
		if attempt.nextProgressAt <= w.env.now {
			if !w.process.hanging {
				w.notify(attempt, "running", w.jobs.progress(attempt))
			}
			attempt.nextProgressAt = w.env.now + w.kind.ProgressInterval.Std()
		}
		next = min(next, attempt.nextProgressAt)
	}
	w.progressPlanned = len(w.jobs.running) > 0
	if w.progressPlanned {
		w.scheduleProgress(next)
	}
}
