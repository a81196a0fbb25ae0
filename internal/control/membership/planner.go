package membership

import (
	"math/bits"
	"slices"
	"time"

	"valvecove/dispatch"
)

// PlannerMembership decides how the workers are partitioned among planners. It is used by one goroutine.
type PlannerMembership struct {
	memberTable
	cells           cellIndex
	assignedWeights map[int]int // of cells, as of the latest assignment
	partition       *partition  // as of the latest SetPartition; nil: there was none yet
	announcedPeers  []string
	shrunkAt        time.Duration // since when there are fewer workers than announced; 0: there are not
}

// NewPlannerMembership returns the membership of a planner that knows no other process. Role and Home of self are ignored.
func NewPlannerMembership(self Member, config Config) *PlannerMembership {
	self.Role = RolePlanner
	self.Home = ""
	return &PlannerMembership{memberTable: newMemberTable(self, config), cells: newCellIndex()}
}

// Step takes in the events up to now, in order, and appends the actions that follow to dst.
func (p *PlannerMembership) Step(now time.Duration, events []Event, dst []Action) []Action {
	p.beginStep(now)
	for _, event := range events {
		switch event := event.(type) {
		case EndpointsChanged:
			p.endpointsChanged(event.List)
		default:
			p.handleMember(event)
		}
	}
	p.update()
	return p.takeOutput(dst)
}

// update decides again on what may have changed.
func (p *PlannerMembership) update() {
	changed := p.review()
	if p.updateCandidates(p.isCandidate) {
		changed = true
	}
	if p.beginAssignment() {
		p.assign()
	}
	p.updateWorkerCount()
	if changed {
		p.announcePlanners()
		p.announcePeers()
	}
	p.announceSelf(p.self)
}

// isCandidate reports whether cells are assigned to a planner. They are not to one that has left, nor to one whose session
// was lost; but if gossip goes on to have that one, it is merely out of sight of this process. One that is silent may be as
// well as before: the forwarders that follow it decide whether it has a partition.
func (p *PlannerMembership) isCandidate(planner *memberRecord) bool {
	switch {
	case planner.gossip == gossipLeft && planner.session != sessionOpen:
		return false
	case planner.session == sessionLost:
		graceEnd := planner.sessionLostAt + p.health.scale(p.config.ReconnectGrace)
		p.wakeAt(graceEnd)
		return planner.gossip == gossipAlive && p.now >= graceEnd
	}
	return true
}

// announcePeers emits the peers, if they have changed: the candidates that are present.
func (p *PlannerMembership) announcePeers() {
	peers := p.plannerNames(func(planner *memberRecord) bool {
		return planner.candidate && !planner.state.isAbsent()
	})
	if !slices.Equal(peers, p.announcedPeers) {
		p.announcedPeers = peers
		p.emit(SetPeers{slices.Clone(peers)})
	}
}

// ---- Workers ----

// endpointsChanged takes in a change of the endpoint list. The assignment is outdated if the weight of a cell changes.
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
// workers that vanish come back.
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
