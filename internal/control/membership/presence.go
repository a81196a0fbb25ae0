package membership

import "time"

// handleMember takes in an event of gossip or of a session.
func (t *memberTable) handleMember(event Event) {
	t.changed = true
	switch event := event.(type) {
	case MemberJoined:
		t.memberJoined(event.Member)
	case MemberLeft:
		t.memberGone(event.Name, gossipLeft, event.Incarnation)
	case MemberDied:
		t.memberGone(event.Name, gossipFailed, event.Incarnation)
	case PlannerConnected:
		t.plannerConnected(event.Name)
	case PlannerDisconnected:
		t.plannerDisconnected(event)
	}
}

func (t *memberTable) memberJoined(announced Member) {
	record := t.findOrAdd(announced.Name, announced.Role)
	if record == nil {
		return
	}
	isLater := announced.Incarnation > record.Incarnation
	appears := isLater || record.gossip != gossipAlive && record.session != sessionOpen
	isAssignedAlike := assignedAlike(announced, record.Member)
	if !record.setGossip(gossipAlive, announced.Incarnation) {
		return
	}
	record.Member = announced
	if isLater {
		record.session = record.session.next(incarnationChanged)
	}
	if appears {
		record.aliveAt = t.now
	}
	if appears || !isAssignedAlike {
		t.requireAssignment(assignmentOutdated)
	}
}

// assignedAlike reports whether two announcements are the same for assignments.
func assignedAlike(a, b Member) bool {
	return a.Role == b.Role && a.Home == b.Home && a.Load == b.Load && a.Workers == b.Workers
}

// memberGone takes in that a member has failed or left; incarnation 0 stands for any.
func (t *memberTable) memberGone(name string, reported gossipState, incarnation uint64) {
	record := t.find(name)
	if record == nil {
		return
	}
	if incarnation == 0 {
		incarnation = record.Incarnation
	}
	if !record.setGossip(reported, incarnation) {
		return
	}
	record.failedAt = t.now
	t.requireAssignment(assignmentOutdated)
}

func (t *memberTable) plannerConnected(name string) {
	record := t.findOrAdd(name, RolePlanner)
	if record == nil {
		return
	}
	record.session = record.session.next(sessionOpened)
	record.latency.restart()
	t.requireAssignment(assignmentOutdated)
}

func (t *memberTable) plannerDisconnected(event PlannerDisconnected) {
	record := t.find(event.Name)
	if record == nil || record.session != sessionOpen {
		return
	}
	ended := sessionEnded
	if event.Silent && t.self.Role == RolePlanner {
		ended = sessionWentSilent
	}
	record.session = record.session.next(ended)
	record.sessionLostAt = t.now
	t.requireAssignment(assignmentUrgent)
}

// review concludes which members are absent by now, and removes those that have been for Config.Retention. It reports
// whether anything may have changed.
func (t *memberTable) review() bool {
	if !t.changed && (t.reviewAt == 0 || t.now < t.reviewAt) {
		t.wakeAt(t.reviewAt)
		return false
	}
	t.changed = false
	t.reviewAt = 0
	kept := t.members[:0]
	planners := t.planners[:0]
	for _, record := range t.members {
		if record.setState(t.concludeState(record), t.now) {
			t.requireAssignment(assignmentOutdated)
		}
		if t.isExpired(record) {
			t.requireAssignment(assignmentOutdated)
			continue
		}
		t.scheduleReview(record)
		kept = append(kept, record)
		if record.Role == RolePlanner {
			planners = append(planners, record)
		}
	}
	clear(t.members[len(kept):])
	t.members = kept
	t.planners = planners
	t.wakeAt(t.reviewAt)
	return true
}

// concludeState returns what follows about a member from gossip and sessions.
func (t *memberTable) concludeState(record *memberRecord) memberState {
	switch {
	case record.session == sessionOpen || record.gossip == gossipAlive:
		return memberAlive
	case record.gossip == gossipLeft:
		return memberLeft
	case t.now < t.suspicionEnd(record):
		return memberSuspected
	}
	return memberDead
}

// suspicionEnd returns when a suspect is dead.
func (t *memberTable) suspicionEnd(record *memberRecord) time.Duration {
	return record.failedAt + t.health.scale(t.config.SuspicionTimeout)
}

func (t *memberTable) isExpired(record *memberRecord) bool {
	return record.state.isAbsent() && t.now-record.absentAt >= t.config.Retention
}

// scheduleReview has the next review take place when the member's state changes by time alone.
func (t *memberTable) scheduleReview(record *memberRecord) {
	var at time.Duration
	switch record.state {
	case memberAlive:
		return
	case memberSuspected:
		at = t.suspicionEnd(record)
	case memberDead, memberLeft:
		at = record.absentAt + t.config.Retention
	}
	if t.reviewAt == 0 || at < t.reviewAt {
		t.reviewAt = at
	}
}
