package membership

import "slices"

// announcePlanners emits the planners to have sessions with, if they have changed: all that are present.
func (m *memberTable) announcePlanners() {
	names := m.plannerNames(func(planner *memberRecord) bool { return !planner.state.isAbsent() })
	if !slices.Equal(names, m.announcedPlanners) {
		m.announcedPlanners = names
		m.emit(SetPlanners{slices.Clone(names)})
	}
}

// plannerNames returns the names of some planners, sorted.
func (m *memberTable) plannerNames(include func(planner *memberRecord) bool) []string {
	var names []string
	for _, planner := range m.planners {
		if include(planner) {
			names = append(names, planner.Name)
		}
	}
	return names
}

// announceSelf announces this process by gossip, if its announcement has changed.
func (m *memberTable) announceSelf(self Member) {
	if self != m.announcedSelf {
		m.announcedSelf = self
		m.emit(Announce{self})
	}
}
