package membership

import (
	"slices"
	"time"
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

// Step processes the events up to now, in order, and appends the resulting actions to dst.
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

// update recomputes what may have changed: members, candidates, assignment and announcements.
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
