package planner

import (
	"time"

	"valvecove/dispatch"
)

// partition assigns each worker to a planner.
type partition struct {
	local    string                          // name of this planner
	ownerOf  func(w *dispatch.Worker) string // nil assigns all workers to this planner
	received bool                            // whether a PartitionChanged was received
}

// owner returns the name of the planner that a worker is assigned to.
func (p *partition) owner(w *worker) string {
	if p.ownerOf == nil {
		return p.local
	}
	return p.ownerOf(&w.Worker)
}

// takeover is a worker that this planner took over from another one while it was warming up. It gets no work before expiresAt.
type takeover struct {
	expiresAt time.Duration
	worker    *worker
}
