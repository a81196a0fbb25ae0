package environment

import (
	"math"
	"time"
)

// This file holds the progress callbacks of what runs.

// planProgress has callbacks of progress told of what has begun. One entry on the event queue serves all that runs.
func (n *worker) planProgress(a *attempt) {
	if n.kind.ProgressInterval <= 0 {
		return
	}
	if a.nextProgressAt = n.env.now + n.kind.ProgressInterval.Std(); !n.progressPlanned {
		n.progressPlanned = true
		n.scheduleProgress(a.nextProgressAt)
	}
}

func (n *worker) scheduleProgress(at time.Duration) {
	boot := n.incarnation
	n.env.schedule(at, func() {
		if n.incarnation == boot && n.state == workerUp {
			n.whenRunning(n.sendProgress)
		}
	})
}

// sendProgress tells of all whose time it is. While it hangs there is no progress to tell.
func (n *worker) sendProgress() {
	n.runDue()
	next := time.Duration(math.MaxInt64)
	for _, a := range n.running {
		if a.nextProgressAt <= n.env.now {
			if !n.hanging {
				n.notify(a, "running", min(1, max(0, (n.progressPerSlot-a.startProgress)/a.work)))
			}
			a.nextProgressAt = n.env.now + n.kind.ProgressInterval.Std()
		}
		next = min(next, a.nextProgressAt)
	}
	if n.progressPlanned = len(n.running) > 0; n.progressPlanned {
		n.scheduleProgress(next)
	}
}
