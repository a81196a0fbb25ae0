package membership

import (
	"cmp"
	"slices"
	"time"
)

// isCandidate reports whether forwarders may be assigned to a planner. A planner that is absent or whose session was lost is
// not a candidate. A new planner without a session is a candidate for Config.ConnectTimeout.
func (f *ForwarderMembership) isCandidate(planner *memberRecord) bool {
	switch {
	case planner.state.isAbsent() || planner.session == sessionLost:
		return false
	case planner.session == sessionOpen:
		return true
	}
	connectUntil := planner.aliveAt + f.health.scale(f.config.ConnectTimeout)
	f.wakeAt(connectUntil)
	return planner.gossip == gossipAlive && f.now < connectUntil
}

// assign computes the planner that this forwarder is assigned to, and the forwarder's index.
func (f *ForwarderMembership) assign() {
	forwarders := []item{{hashName(f.self.Name), 1}} // this forwarder is first
	index := 0
	for _, record := range f.members {
		if record.Role != RoleForwarder {
			continue
		}
		if record.Name < f.self.Name {
			index++
		}
		forwarders = append(forwarders, item{record.hash, 1})
	}
	f.setIndex(index, len(forwarders))
	limit := f.followedLimit()
	f.assignedAmongAll = f.assignedPlanner(forwarders, limit, func(planner *memberRecord) bool {
		return planner.candidate
	})
	f.assignedAmongHealthy = f.assignedPlanner(forwarders, limit, func(planner *memberRecord) bool {
		return planner.candidate && !planner.isSlow()
	})
}

// setIndex emits the forwarder's index if it has changed.
func (f *ForwarderMembership) setIndex(index, count int) {
	if index == f.forwarderIndex && count == f.forwarderCount {
		return
	}
	f.forwarderIndex = index
	f.forwarderCount = count
	f.emit(SetForwarderIndex{index, count})
}

// followedLimit returns the maximum number of followed planners, based on the largest number of workers announced by one.
func (f *ForwarderMembership) followedLimit() int {
	workers := 0
	for _, planner := range f.planners {
		if planner.candidate {
			workers = max(workers, planner.Workers)
		}
	}
	if workers == 0 {
		return maxPlanners
	}
	return max(1, workers/f.config.MinWorkersPerPlanner)
}

// assignedPlanner returns the planner that the first forwarder is assigned to. Forwarders are assigned to the eligible planners
// with the highest hashes, at most limit of them. The name is empty if no planner is eligible.
func (f *ForwarderMembership) assignedPlanner(forwarders []item, limit int, isEligible func(*memberRecord) bool) string {
	var eligible []*memberRecord
	for _, planner := range f.planners {
		if isEligible(planner) {
			eligible = append(eligible, planner)
		}
	}
	if len(eligible) == 0 {
		return ""
	}
	slices.SortFunc(eligible, func(a, b *memberRecord) int { return cmp.Compare(b.hash, a.hash) })
	followed := eligible[:min(len(eligible), limit)]
	owners := make([]owner, len(followed))
	for i, planner := range followed {
		owners[i] = owner{planner.hash, 1}
	}
	return followed[assign(forwarders, owners)[0]].Name
}

// selectHome moves to another planner if a move is due. A forwarder whose home is not slow moves only if its assignment among
// all planners changes, not because forwarders leave a slow planner.
func (f *ForwarderMembership) selectHome() {
	f.updateTarget()
	home := f.find(f.homePlanner)
	target := f.find(f.targetPlanner)
	switch {
	case home == nil || !home.candidate:
		f.failOver(target)
	case !f.canMove(home, target):
	case f.now < f.startupUntil:
		f.homePlanner = target.Name
	case home.isSlow():
		f.leaveSlowPlanner(home, target)
	default:
		f.moveAfterDelay(target)
	}
}

// updateTarget sets the planner that the forwarder should follow: the one assigned among all candidates or, if that planner is
// slow, the one assigned among those that are not slow.
func (f *ForwarderMembership) updateTarget() {
	target := f.assignedAmongAll
	if planner := f.find(target); planner != nil && planner.isSlow() {
		target = cmp.Or(f.assignedAmongHealthy, target)
	}
	if target != f.targetPlanner {
		f.targetPlanner = target
		f.targetSince = f.now
	}
}

// canMove reports whether the forwarder can move from its home to the target. The target must differ from the home, must have
// an open session unless the forwarder is starting, and must not be slow unless the home is slow too.
func (f *ForwarderMembership) canMove(home, target *memberRecord) bool {
	if target == nil || target == home {
		return false
	}
	isReachable := target.session == sessionOpen || f.now < f.startupUntil
	isWorse := target.isSlow() && !home.isSlow()
	return isReachable && !isWorse
}

// leaveSlowPlanner moves from a slow home to a planner that is not slow, once the home's latency has been high for the
// forwarder's stagger delay within Config.DrainTime.
func (f *ForwarderMembership) leaveSlowPlanner(home, target *memberRecord) {
	if target.isSlow() || home.latency.highFor < f.staggerDelay(home, f.config.DrainTime) {
		return
	}
	f.moveTo(target, reasonSlow)
}

// moveAfterDelay moves to the target after Config.SettleTime plus the forwarder's stagger delay within Config.RampTime.
func (f *ForwarderMembership) moveAfterDelay(target *memberRecord) {
	moveAt := f.targetSince + f.config.SettleTime + f.staggerDelay(target, f.config.RampTime)
	f.wakeAt(moveAt)
	if f.now >= moveAt {
		f.moveTo(target, reasonAssigned)
	}
}

// staggerDelay returns this forwarder's delay within a period over which forwarders move to or from a planner. It is derived
// from the hashes of both names.
func (f *ForwarderMembership) staggerDelay(planner *memberRecord, period time.Duration) time.Duration {
	const slots = 1 << 16
	slot := mixBits(hashName(f.self.Name)+planner.hash) % slots
	return period / slots * time.Duration(slot)
}

// moveTo makes a planner the home, and counts and logs the move.
func (f *ForwarderMembership) moveTo(target *memberRecord, reason moveReason) {
	previous := f.homePlanner
	f.moveCount++
	f.homePlanner = target.Name
	f.logMove(previous, reason)
}

// failOver replaces a lost or missing home immediately: by the target if it is a candidate, otherwise by any candidate.
func (f *ForwarderMembership) failOver(target *memberRecord) {
	previous := f.homePlanner
	f.homePlanner = ""
	if target != nil && target.candidate {
		f.homePlanner = target.Name
	} else if i := slices.IndexFunc(f.planners, func(planner *memberRecord) bool { return planner.candidate }); i >= 0 {
		f.homePlanner = f.planners[i].Name
	}
	if previous != "" {
		f.logLoss(previous)
	}
}
