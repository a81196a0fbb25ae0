package planner

import (
	"time"

	"valvecove/dispatch"
)

// partition is which workers are assigned to which planner.
type partition struct {
	local   string                          // the name of this planner
	ownerOf func(w *dispatch.Worker) string // nil: all are this planner's
	known   bool                            // there was a PartitionChanged
}

// owner returns the planner that a worker is assigned to.
func (p *partition) owner(w *worker) string {
	if p.ownerOf == nil {
		return p.local
	}
	return p.ownerOf(&w.Worker)
}

// takeover is a worker that has come from another planner, and gets no work until a time while it is warming up.
type takeover struct {
	until  time.Duration
	worker *worker
}

// processPartition takes in how workers are assigned.
func (e *endpointHandler) processPartition(ownerOf func(w *dispatch.Worker) string) {
	partition := &e.workers.partition
	partition.ownerOf = ownerOf
	for _, worker := range e.workers.list {
		if worker.listed {
			e.updateOwner(worker, !partition.known)
			e.policySync.sync(worker)
		}
	}
	partition.known = true
	e.locations.resetPlacements()
}

// updateOwner finds out which planner a worker is assigned to. One that comes from another planner gets no work for one
// overload window while it is warming up: what that planner has sent it lately is not known. isNew: it was nobody's before.
func (e *endpointHandler) updateOwner(w *worker, isNew bool) {
	settings := &e.config.Settings
	isOurs := e.workers.partition.owner(w) == e.config.Name
	isTakenOver := isOurs && !w.owned && !isNew
	if isTakenOver && settings.OverloadWindow > 0 && e.step.now()-w.startedAt() < settings.WarmUp {
		w.warmUntil = e.step.now() + settings.OverloadWindow
		e.workers.takeovers = append(e.workers.takeovers, takeover{w.warmUntil, w})
	}
	w.owned = isOurs
}

// expireTakeovers lets workers have work whose time has come.
func (e *endpointHandler) expireTakeovers() {
	table := e.workers
	for len(table.takeovers) > 0 && table.takeovers[0].until <= e.step.now() {
		worker := table.takeovers[0].worker
		table.takeovers[0] = takeover{}
		table.takeovers = table.takeovers[1:]
		if table.byID[worker.ID] == worker {
			e.policySync.sync(worker)
		}
	}
}
