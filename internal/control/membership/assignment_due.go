package membership

// requireAssignment marks the assignment as outdated or urgent.
func (m *memberTable) requireAssignment(state assignmentState) {
	m.assignment = max(m.assignment, state)
}

// beginAssignment reports whether the assignment is to be recomputed now, and marks it as current if so.
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

// updateCandidates finds which planners count in assignments, and reports whether any of that has changed. It may by time
// alone: isCandidate requests a step for that.
func (m *memberTable) updateCandidates(isCandidate func(planner *memberRecord) bool) (changed bool) {
	for _, planner := range m.planners {
		if candidate := isCandidate(planner); candidate != planner.candidate {
			planner.candidate = candidate
			changed = true
		}
	}
	if changed {
		m.requireAssignment(assignmentOutdated)
	}
	return changed
}
