package membership

import (
	"slices"
	"time"
)

// memberTable holds the other members and the state common to both roles. The number of members is bounded per role.
type memberTable struct {
	config   Config
	self     Member
	now      time.Duration
	members  []*memberRecord // other processes, sorted by name
	planners []*memberRecord // the planners among members, as of the latest updateStates
	health   selfHealth

	nextStepAt    time.Duration // when a step is due without an event; 0 if never
	stateUpdateAt time.Duration // when updateStates is due without an event; 0 if never
	changed       bool          // whether a member may have changed since the latest updateStates

	assignment       assignmentState
	nextAssignmentAt time.Duration // the earliest time of the next assignment that is not urgent

	emittedPlanners []string // in the latest SetPlanners
	announcedSelf   Member   // in the latest Announce
	output          []Action
	overflowCount   int
}

func newMemberTable(self Member, config Config) memberTable {
	return memberTable{config: config.withDefaults(), self: self}
}

// OverflowCount returns how often a member was not added because the table had the maximum for its role.
func (m *memberTable) OverflowCount() int { return m.overflowCount }

// Next returns when a Step is due without an event, or 0 if never.
func (m *memberTable) Next() time.Duration { return m.nextStepAt }

// find returns the record of a member, or nil if there is none.
func (m *memberTable) find(name string) *memberRecord {
	i, found := slices.BinarySearchFunc(m.members, name, compareName)
	if !found {
		return nil
	}
	return m.members[i]
}

// findOrAdd returns the record of a member, and adds it if there is none. It returns nil for this process's own name, for an
// invalid name, and if the table is full for the role.
func (m *memberTable) findOrAdd(name string, role Role) *memberRecord {
	i, found := slices.BinarySearchFunc(m.members, name, compareName)
	if found {
		return m.members[i]
	}
	if name == "" || len(name) > maxNameLength || name == m.self.Name {
		return nil
	}
	if m.isFull(role) {
		m.overflowCount++
		return nil
	}
	record := newMemberRecord(name, role)
	m.members = slices.Insert(m.members, i, record)
	return record
}

// isFull reports whether the table has the maximum number of members of a role.
func (m *memberTable) isFull(role Role) bool {
	limit := maxForwarders
	if role == RolePlanner {
		limit = maxPlanners
	}
	count := 0
	for _, record := range m.members {
		if record.Role == role {
			count++
		}
	}
	return count >= limit
}

// beginStep sets the time, which never decreases. A process whose step is late may have missed reports about other members, so
// a late step extends timeouts.
func (m *memberTable) beginStep(now time.Duration) {
	m.now = max(now, m.now)
	if m.nextStepAt > 0 && m.now > m.nextStepAt+maxOwnTimerLag {
		m.processLateStep()
	}
	m.nextStepAt = 0
	m.health.decay(m.now)
}

// processLateStep records a late step and restarts the timeouts of members.
func (m *memberTable) processLateStep() {
	m.health.recordLateStep(m.now)
	m.changed = true
	for _, record := range m.members {
		record.extendTimeouts(m.now)
	}
}

// wakeAt requests a step at a time in the future. It ignores 0 and past times.
func (m *memberTable) wakeAt(at time.Duration) {
	if at > m.now && (m.nextStepAt == 0 || at < m.nextStepAt) {
		m.nextStepAt = at
	}
}

// emit adds an action to the output.
func (m *memberTable) emit(action Action) { m.output = append(m.output, action) }

// takeOutput moves the actions from the output to dst.
func (m *memberTable) takeOutput(dst []Action) []Action {
	dst = append(dst, m.output...)
	clear(m.output)
	m.output = m.output[:0]
	return dst
}
