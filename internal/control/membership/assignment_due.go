package membership

// requestAssignment marks the assignment as outdated or urgent. It never lowers the urgency.
func (m *memberTable) requestAssignment(state assignmentState) {
	m.assignment = max(m.assignment, state)
}

// beginAssignment reports whether the assignment must be recomputed now, and marks it as current if so.
func (m *memberTable) beginAssignment() bool {
	switch {
	case m.assignment == assignmentCurrent:
		return false
	case m.assignment == assignmentOutdated && m.now < m.nextAssignmentAt:
		m.wakeAt(m.nextAssignmentAt)
		return false
	}
	m.assignment = assignmentCurrent
	m.nextAssignmentAt = m.now + m.config.AssignInterval
	return true
}

// updateCandidates updates which planners are candidates in assignments, and reports whether this has changed. As a candidate
// may change without an event, isCandidate schedules a step for the time at which it does.
func (m *memberTable) updateCandidates(isCandidate func(planner *memberRecord) bool) (changed bool) {
	for _, planner := range m.planners {
		if candidate := isCandidate(planner); candidate != planner.candidate {
			planner.candidate = candidate
			changed = true
		}
	}
	if changed {
		m.requestAssignment(assignmentOutdated)
	}
	return changed
}
