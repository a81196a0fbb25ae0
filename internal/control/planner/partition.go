package planner

import (
	"time"

	"valvecove/dispatch"
)

// partition is which workers are assigned to which planner.
type partition struct {
	ownerOf func(w *dispatch.Worker) string // nil: all are this planner's
	known   bool                            // there was a PartitionChanged
}

// takeover is a worker that has come from another planner, and gets no work until a time while it is warming up.
type takeover struct {
	until  time.Duration
	worker *worker
}

// partitionChanged takes in how workers are assigned.
func (p *Planner) partitionChanged(ownerOf func(w *dispatch.Worker) string) {
	partition := &p.workers.partition
	partition.ownerOf = ownerOf
	for _, worker := range p.workers.list {
		if worker.listed {
			p.updateOwner(worker, !partition.known)
			p.syncWorker(worker)
		}
	}
	partition.known = true
	p.locations.resetPlacements()
}

// ownerName returns the planner that a worker is assigned to.
func (p *Planner) ownerName(w *worker) string {
	if p.workers.partition.ownerOf == nil {
		return p.config.Name
	}
	return p.workers.partition.ownerOf(&w.Worker)
}

// updateOwner finds out which planner a worker is assigned to. One that comes from another planner gets no work for one
// overload window while it is warming up: what that planner has sent it lately is not known. isNew: it was nobody's before.
func (p *Planner) updateOwner(w *worker, isNew bool) {
	settings := &p.config.Settings
	isOurs := p.ownerName(w) == p.config.Name
	isTakenOver := isOurs && !w.owned && !isNew
	if isTakenOver && settings.OverloadWindow > 0 && p.now-w.startedAt() < settings.WarmUp {
		w.warmUntil = p.now + settings.OverloadWindow
		p.workers.takeovers = append(p.workers.takeovers, takeover{w.warmUntil, w})
	}
	w.owned = isOurs
}

// expireTakeovers lets workers have work whose time has come.
func (p *Planner) expireTakeovers() {
	table := &p.workers
	for len(table.takeovers) > 0 && table.takeovers[0].until <= p.now {
		worker := table.takeovers[0].worker
		table.takeovers[0] = takeover{}
		table.takeovers = table.takeovers[1:]
		if table.byID[worker.ID] == worker {
			p.syncWorker(worker)
		}
	}
}
