package membership

import (
	"slices"
	"time"
)

// memberTable has the other members, and what both roles have in common. The count of members is bounded for each role.
type memberTable struct {
	config   Config
	self     Member
	now      time.Duration
	members  []*memberRecord // sorted by name, without this process
	planners []*memberRecord // those of members that are planners, as of the latest review
	health   selfHealth

	nextStepAt time.Duration // when a step is due without an event; 0: never
	reviewAt   time.Duration // when a review is due without an event; 0: never
	changed    bool          // whether a member may have changed since the latest review

	assignment       assignmentState
	nextAssignmentAt time.Duration // the earliest time of the next assignment that is not urgent

	announcedPlanners []string // by the latest SetPlanners
	announcedSelf     Member   // by the latest Announce
	output            []Action
	overflowCount     int
}

func newMemberTable(self Member, config Config) memberTable {
	return memberTable{config: config.withDefaults(), self: self}
}

// OverflowCount returns how often a member was not added, because there were too many of its role.
func (m *memberTable) OverflowCount() int { return m.overflowCount }

// Next returns when a Step is due without an event; 0: never.
func (m *memberTable) Next() time.Duration { return m.nextStepAt }

// find returns the record of a member; nil: there is none.
func (m *memberTable) find(name string) *memberRecord {
	i, found := slices.BinarySearchFunc(m.members, name, compareName)
	if !found {
		return nil
	}
	return m.members[i]
}

// findOrAdd returns the record of a member, and adds it if there is none. It returns nil for the name of this process, for
// one that is not valid, and if there are too many members of the role.
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

// isFull reports whether the table has the maximum of members of a role.
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

// beginStep sets the time. Time never runs backwards. A process that comes late to a step may have missed what others did
// meanwhile.
func (m *memberTable) beginStep(now time.Duration) {
	m.now = max(now, m.now)
	if m.nextStepAt > 0 && m.now > m.nextStepAt+maxOwnTimerLag {
		m.stepWasLate()
	}
	m.nextStepAt = 0
	m.health.decay(m.now)
}

// stepWasLate records that a step was late, and extends the timeouts of the members.
func (m *memberTable) stepWasLate() {
	m.health.recordLateness(m.now)
	m.changed = true
	for _, record := range m.members {
		record.extendTimeouts(m.now)
	}
}

// wakeAt requests a step at a time; 0: none.
func (m *memberTable) wakeAt(at time.Duration) {
	if at > m.now && (m.nextStepAt == 0 || at < m.nextStepAt) {
		m.nextStepAt = at
	}
}

// emit appends an action to those of the next takeOutput.
func (m *memberTable) emit(action Action) { m.output = append(m.output, action) }

// takeOutput appends the actions of the step to dst.
func (m *memberTable) takeOutput(dst []Action) []Action {
	dst = append(dst, m.output...)
	clear(m.output)
	m.output = m.output[:0]
	return dst
}
