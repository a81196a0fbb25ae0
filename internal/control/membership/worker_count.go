package membership

import (
	"math/bits"
	"slices"

	"valvecove/dispatch"
)

// endpointsChanged processes a change of the endpoint list. The assignment is outdated if the weight of a cell changes.
func (p *PlannerMembership) endpointsChanged(list dispatch.WorkerList) {
	switch list.Kind {
	case dispatch.ListUnavailable:
		return
	case dispatch.ListFull, dispatch.ListCached:
		p.cells.reset()
		p.requireAssignment(assignmentOutdated)
	case dispatch.ListDelta:
	}
	if slices.ContainsFunc(p.cells.apply(list.Workers), p.weightChanged) {
		p.requireAssignment(assignmentOutdated)
	}
}

// weightChanged reports whether a cell has another weight than in the latest assignment.
func (p *PlannerMembership) weightChanged(cell int) bool {
	workers, isListed := p.cells.workerCount[cell]
	weight, wasAssigned := p.assignedWeights[cell]
	if isListed && wasAssigned {
		return weight != roundUpToPowerOfTwo(workers)
	}
	return isListed != wasAssigned
}

// updateWorkerCount sets the number of workers to announce. A lower one is announced after Config.Retention only, as most
// workers that are unlisted are listed again soon.
func (p *PlannerMembership) updateWorkerCount() {
	workers := 0
	if total := p.cells.totalWorkers(); total > 0 {
		workers = roundUpToPowerOfTwo(total)
	}
	isLower := workers < p.self.Workers
	if isLower && p.shrunkAt == 0 {
		p.shrunkAt = p.now
	}
	if announceAt := p.shrunkAt + p.config.Retention; isLower && p.now < announceAt {
		p.wakeAt(announceAt)
		return
	}
	p.self.Workers = workers
	p.shrunkAt = 0
}

// roundUpToPowerOfTwo returns the least power of two that is at least n, and 1 for n below 1. Counts of workers are rounded
// so that a worker that restarts changes no assignment.
func roundUpToPowerOfTwo(n int) int { return 1 << bits.Len(uint(max(n, 1)-1)) }
