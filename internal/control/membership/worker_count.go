package membership

import (
	"math/bits"
	"slices"

	"valvecove/dispatch"
)

// endpointsChanged processes a watch event of the endpoint list. The assignment becomes outdated if the weight of a cell changes.
func (p *PlannerMembership) endpointsChanged(list dispatch.WorkerList) {
	switch list.Kind {
	case dispatch.ListUnavailable:
		return
	case dispatch.ListFull, dispatch.ListCached:
		p.cells.reset()
		p.requestAssignment(assignmentOutdated)
	case dispatch.ListDelta:
	}
	if slices.ContainsFunc(p.cells.apply(list.Workers), p.weightChanged) {
		p.requestAssignment(assignmentOutdated)
	}
}

// weightChanged reports whether the weight of a cell differs from that in the latest assignment.
func (p *PlannerMembership) weightChanged(cell int) bool {
	workers, isListed := p.cells.workerCount[cell]
	weight, wasAssigned := p.assignedWeights[cell]
	if isListed && wasAssigned {
		return weight != roundUpToPowerOfTwo(workers)
	}
	return isListed != wasAssigned
}

// updateWorkerCount updates the announced number of workers. A lower number is announced only after Config.Retention, because
// most workers that become unlisted are soon listed again.
func (p *PlannerMembership) updateWorkerCount() {
	workers := 0
	if total := p.cells.totalWorkers(); total > 0 {
		workers = roundUpToPowerOfTwo(total)
	}
	isLower := workers < p.self.Workers
	if isLower && p.belowAnnouncedSince == 0 {
		p.belowAnnouncedSince = p.now
	}
	if announceAt := p.belowAnnouncedSince + p.config.Retention; isLower && p.now < announceAt {
		p.wakeAt(announceAt)
		return
	}
	p.self.Workers = workers
	p.belowAnnouncedSince = 0
}

// roundUpToPowerOfTwo returns the smallest power of two that is at least n, and 1 for n below 1. Worker counts are rounded so
// that the restart of a worker usually changes no assignment.
func roundUpToPowerOfTwo(n int) int { return 1 << bits.Len(uint(max(n, 1)-1)) }
