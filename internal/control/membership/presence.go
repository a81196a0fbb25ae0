package membership

import "time"

// handleMember processes an event of gossip or of a session.
func (m *memberTable) handleMember(event Event) {
	m.changed = true
	switch event := event.(type) {
	case MemberJoined:
		m.memberJoined(event.Member)
	case MemberLeft:
		m.memberGone(event.Name, gossipLeft, event.Incarnation)
	case MemberDied:
		m.memberGone(event.Name, gossipFailed, event.Incarnation)
	case PlannerConnected:
		m.plannerConnected(event.Name)
	case PlannerDisconnected:
		m.plannerDisconnected(event)
	}
}

// memberJoined records the announcement of a member.
func (m *memberTable) memberJoined(announced Member) {
	record := m.findOrAdd(announced.Name, announced.Role)
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
		record.aliveAt = m.now
	}
	if appears || !isAssignedAlike {
		m.requireAssignment(assignmentOutdated)
	}
}

// assignedAlike reports whether two announcements are the same for assignments.
func assignedAlike(a, b Member) bool {
	return a.Role == b.Role && a.Home == b.Home && a.Load == b.Load && a.Workers == b.Workers
}

// memberGone records that a member has failed or left; incarnation 0 matches any.
func (m *memberTable) memberGone(name string, reported gossipState, incarnation uint64) {
	record := m.find(name)
	if record == nil {
		return
	}
	if incarnation == 0 {
		incarnation = record.Incarnation
	}
	if !record.setGossip(reported, incarnation) {
		return
	}
	record.failedAt = m.now
	m.requireAssignment(assignmentOutdated)
}

// plannerConnected records that a session with a planner has opened.
func (m *memberTable) plannerConnected(name string) {
	record := m.findOrAdd(name, RolePlanner)
	if record == nil {
		return
	}
	record.session = record.session.next(sessionOpened)
	record.latency.restart()
	m.requireAssignment(assignmentOutdated)
}

// plannerDisconnected records that the session with a planner has ended.
func (m *memberTable) plannerDisconnected(event PlannerDisconnected) {
	record := m.find(event.Name)
	if record == nil || record.session != sessionOpen {
		return
	}
	ended := sessionEnded
	if event.Silent && m.self.Role == RolePlanner {
		ended = sessionWentSilent
	}
	record.session = record.session.next(ended)
	record.sessionLostAt = m.now
	m.requireAssignment(assignmentUrgent)
}

// review concludes which members are absent by now, and removes those that have been for Config.Retention. It reports
// whether anything may have changed.
func (m *memberTable) review() bool {
	if !m.changed && (m.reviewAt == 0 || m.now < m.reviewAt) {
		m.wakeAt(m.reviewAt)
		return false
	}
	m.changed = false
	m.reviewAt = 0
	kept := m.members[:0]
	planners := m.planners[:0]
	for _, record := range m.members {
		if record.setState(m.concludeState(record), m.now) {
			m.requireAssignment(assignmentOutdated)
		}
		if m.isExpired(record) {
			m.requireAssignment(assignmentOutdated)
			continue
		}
		m.scheduleReview(record)
		kept = append(kept, record)
		if record.Role == RolePlanner {
			planners = append(planners, record)
		}
	}
	clear(m.members[len(kept):])
	m.members = kept
	m.planners = planners
	m.wakeAt(m.reviewAt)
	return true
}

// concludeState returns the state of a member by gossip and sessions.
func (m *memberTable) concludeState(record *memberRecord) memberState {
	switch {
	case record.session == sessionOpen || record.gossip == gossipAlive:
		return memberAlive
	case record.gossip == gossipLeft:
		return memberLeft
	case m.now < m.suspicionEnd(record):
		return memberSuspected
	}
	return memberDead
}

// suspicionEnd returns when a suspected member is considered dead.
func (m *memberTable) suspicionEnd(record *memberRecord) time.Duration {
	return record.failedAt + m.health.scale(m.config.SuspicionTimeout)
}

// isExpired reports whether a member has been absent for Config.Retention.
func (m *memberTable) isExpired(record *memberRecord) bool {
	return record.state.isAbsent() && m.now-record.absentAt >= m.config.Retention
}

// scheduleReview schedules the next review for when the member's state changes by time alone.
func (m *memberTable) scheduleReview(record *memberRecord) {
	var at time.Duration
	switch record.state {
	case memberAlive:
		return
	case memberSuspected:
		at = m.suspicionEnd(record)
	case memberDead, memberLeft:
		at = record.absentAt + m.config.Retention
	}
	if m.reviewAt == 0 || at < m.reviewAt {
		m.reviewAt = at
	}
}
