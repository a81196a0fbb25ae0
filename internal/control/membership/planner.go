package membership

import (
	"slices"
	"time"
)

// PlannerMembership decides how the workers are partitioned among planners. It is not safe for concurrent use.
type PlannerMembership struct {
	memberTable
	cells               cellIndex
	assignedWeights     map[int]int // by cell, in the latest assignment
	partition           *partition  // in the latest SetPartition; nil before the first one
	emittedPeers        []string
	belowAnnouncedSince time.Duration // since when there are fewer workers than announced; 0 if there are not
}

// NewPlannerMembership returns the membership of a planner, without other members. Role and Home of self are ignored.
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

// update recomputes member states, candidates, the assignment and announcements where they may have changed.
func (p *PlannerMembership) update() {
	changed := p.updateStates()
	if p.updateCandidates(p.isCandidate) {
		changed = true
	}
	if p.beginAssignment() {
		p.assign()
	}
	p.updateWorkerCount()
	if changed {
		p.emitPlanners()
		p.emitPeers()
	}
	p.announceSelf(p.self)
}

// isCandidate reports whether cells may be assigned to a planner. A planner that has left is not a candidate. A planner whose
// session was lost becomes one again after Config.ReconnectGrace if gossip still reports it as alive, as only the connection to
// this process may be lost. Any other planner is a candidate, even if it is silent: whether it gets cells depends on the load
// of the forwarders that follow it.
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

// emitPeers emits SetPeers with the candidates that are not absent, if they have changed.
func (p *PlannerMembership) emitPeers() {
	peers := p.plannerNames(func(planner *memberRecord) bool {
		return planner.candidate && !planner.state.isAbsent()
	})
	if !slices.Equal(peers, p.emittedPeers) {
		p.emittedPeers = peers
		p.emit(SetPeers{slices.Clone(peers)})
	}
}
