package membership

import (
	"cmp"
	"slices"
	"time"
)

// isCandidate reports whether forwarders are assigned to a planner. Without a session one that is new is a candidate for
// Config.ConnectTimeout.
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

// assign finds the planner that this forwarder is assigned to, and the forwarder's index.
func (f *ForwarderMembership) assign() {
	forwarders := []item{{hashName(f.self.Name), 1}} // this one first
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
	f.assignedOfAll = f.assignedPlanner(forwarders, limit, func(planner *memberRecord) bool {
		return planner.candidate
	})
	f.assignedOfHealthy = f.assignedPlanner(forwarders, limit, func(planner *memberRecord) bool {
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

// followedLimit returns how many planners are followed at most, by the largest number of workers that one announces.
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

// assignedPlanner returns the planner that the first of the forwarders is assigned to, of the eligible ones; of these the
// limit with the highest hashes are followed. It returns an empty name if there are none.
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

// selectHome moves to another planner if that is due. A forwarder whose own planner is not slow stays with it, whatever
// those do whose planners are.
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
		f.leaveSlow(home, target)
	default:
		f.moveInTurn(target)
	}
}

// updateTarget sets the planner that the forwarder should follow: the one assigned to it, or if that is slow, the one
// assigned to it of those that are not.
func (f *ForwarderMembership) updateTarget() {
	target := f.assignedOfAll
	if planner := f.find(target); planner != nil && planner.isSlow() {
		target = cmp.Or(f.assignedOfHealthy, target)
	}
	if target != f.targetPlanner {
		f.targetPlanner = target
		f.targetSince = f.now
	}
}

// canMove reports whether the target is another planner that can be moved to: there is a session with it, or the forwarder
// is starting, and it is not slow, or the home is slow too.
func (f *ForwarderMembership) canMove(home, target *memberRecord) bool {
	if target == nil || target == home {
		return false
	}
	isReachable := target.session == sessionOpen || f.now < f.startupUntil
	isWorse := target.isSlow() && !home.isSlow()
	return isReachable && !isWorse
}

// leaveSlow moves from a slow planner to one that is not, once the home has been slow for the forwarder's part of
// Config.DrainTime.
func (f *ForwarderMembership) leaveSlow(home, target *memberRecord) {
	if target.isSlow() || home.latency.highFor < f.staggerDelay(home, f.config.DrainTime) {
		return
	}
	f.moveTo(target, reasonSlow)
}

// moveInTurn moves to the target after Config.SettleTime and the forwarder's part of Config.RampTime.
func (f *ForwarderMembership) moveInTurn(target *memberRecord) {
	moveAt := f.targetSince + f.config.SettleTime + f.staggerDelay(target, f.config.RampTime)
	f.wakeAt(moveAt)
	if f.now >= moveAt {
		f.moveTo(target, reasonAssigned)
	}
}

// staggerDelay returns this forwarder's delay among all that move to or from a planner within a period. It follows from the
// two names.
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

// failOver moves at once, as the home was lost: to the target, or if that is no candidate, as at the start, to any that is.
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
