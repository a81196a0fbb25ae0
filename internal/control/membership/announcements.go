package membership

import "slices"

// emitPlanners emits SetPlanners with all planners that are not absent, if they have changed.
func (m *memberTable) emitPlanners() {
	names := m.plannerNames(func(planner *memberRecord) bool { return !planner.state.isAbsent() })
	if !slices.Equal(names, m.emittedPlanners) {
		m.emittedPlanners = names
		m.emit(SetPlanners{slices.Clone(names)})
	}
}

// plannerNames returns the sorted names of the planners for which include returns true.
func (m *memberTable) plannerNames(include func(planner *memberRecord) bool) []string {
	var names []string
	for _, planner := range m.planners {
		if include(planner) {
			names = append(names, planner.Name)
		}
	}
	return names
}

// announceSelf emits Announce for this process, if its announcement has changed.
func (m *memberTable) announceSelf(self Member) {
	if self != m.announcedSelf {
		m.announcedSelf = self
		m.emit(Announce{self})
	}
}
