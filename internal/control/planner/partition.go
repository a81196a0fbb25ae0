package planner

import (
	"time"

	"valvecove/dispatch"
)

// partition is which workers are assigned to which planner.
type partition struct {
	local   string                          // the name of this planner
	ownerOf func(w *dispatch.Worker) string // nil: all are this planner's
	known   bool                            // a PartitionChanged was received
}

// owner returns the planner that a worker is assigned to.
func (p *partition) owner(w *worker) string {
	if p.ownerOf == nil {
		return p.local
	}
	return p.ownerOf(&w.Worker)
}

// takeover is a worker that was assigned to another planner before, and gets no work until a time while it is warming up.
type takeover struct {
	until  time.Duration
	worker *worker
}
