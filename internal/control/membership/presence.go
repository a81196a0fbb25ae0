package membership

import "time"

// handleMember processes an event from gossip or from a session.
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

// memberJoined processes the announcement of a member.
func (m *memberTable) memberJoined(announced Member) {
	record := m.findOrAdd(announced.Name, announced.Role)
	if record == nil {
		return
	}
	isLater := announced.Incarnation > record.Incarnation
	appears := isLater || record.gossip != gossipAlive && record.session != sessionOpen
	isAssignedAlike := equalForAssignment(announced, record.Member)
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
		m.requestAssignment(assignmentOutdated)
	}
}

// equalForAssignment reports whether two announcements are equal in all fields that affect assignments.
func equalForAssignment(a, b Member) bool {
	return a.Role == b.Role && a.Home == b.Home && a.Load == b.Load && a.Workers == b.Workers
}

// memberGone records that a member has failed or left. Incarnation 0 matches any incarnation.
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
	m.requestAssignment(assignmentOutdated)
}

// plannerConnected records that a session with a planner has opened.
func (m *memberTable) plannerConnected(name string) {
	record := m.findOrAdd(name, RolePlanner)
	if record == nil {
		return
	}
	record.session = record.session.next(sessionOpened)
	record.latency.restart()
	m.requestAssignment(assignmentOutdated)
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
	m.requestAssignment(assignmentUrgent)
}

// updateStates updates the states of all members, and removes members that have been absent for Config.Retention. It reports
// whether anything may have changed.
func (m *memberTable) updateStates() bool {
	if !m.changed && (m.stateUpdateAt == 0 || m.now < m.stateUpdateAt) {
		m.wakeAt(m.stateUpdateAt)
		return false
	}
	m.changed = false
	m.stateUpdateAt = 0
	kept := m.members[:0]
	planners := m.planners[:0]
	for _, record := range m.members {
		if record.setState(m.determineState(record), m.now) {
			m.requestAssignment(assignmentOutdated)
		}
		if m.isExpired(record) {
			m.requestAssignment(assignmentOutdated)
			continue
		}
		m.scheduleStateUpdate(record)
		kept = append(kept, record)
		if record.Role == RolePlanner {
			planners = append(planners, record)
		}
	}
	clear(m.members[len(kept):])
	m.members = kept
	m.planners = planners
	m.wakeAt(m.stateUpdateAt)
	return true
}

// determineState returns the state of a member according to gossip and its session.
func (m *memberTable) determineState(record *memberRecord) memberState {
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

// scheduleStateUpdate schedules an update of states for the time at which the member's state changes without an event.
func (m *memberTable) scheduleStateUpdate(record *memberRecord) {
	var at time.Duration
	switch record.state {
	case memberAlive:
		return
	case memberSuspected:
		at = m.suspicionEnd(record)
	case memberDead, memberLeft:
		at = record.absentAt + m.config.Retention
	}
	if m.stateUpdateAt == 0 || at < m.stateUpdateAt {
		m.stateUpdateAt = at
	}
}
