package membership

import (
	"slices"
	"time"
)

// memberTable is what a process knows of the others, and what both roles do with it. It bounds its members by role.
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

// OverflowCount returns how often a member was not taken in, because there were too many of its role.
func (t *memberTable) OverflowCount() int { return t.overflowCount }

// Next returns when a Step is due without an event; 0: never.
func (t *memberTable) Next() time.Duration { return t.nextStepAt }

// find returns the record of a member; nil: there is none.
func (t *memberTable) find(name string) *memberRecord {
	i, found := slices.BinarySearchFunc(t.members, name, compareName)
	if !found {
		return nil
	}
	return t.members[i]
}

// findOrAdd returns the record of a member, and adds it if there is none. It returns nil for the name of this process, for
// one that is not valid, and if there are too many members of the role.
func (t *memberTable) findOrAdd(name string, role Role) *memberRecord {
	i, found := slices.BinarySearchFunc(t.members, name, compareName)
	if found {
		return t.members[i]
	}
	if name == "" || len(name) > maxNameLength || name == t.self.Name {
		return nil
	}
	if t.isFull(role) {
		t.overflowCount++
		return nil
	}
	record := newMemberRecord(name, role)
	t.members = slices.Insert(t.members, i, record)
	return record
}

func (t *memberTable) isFull(role Role) bool {
	limit := maxForwarders
	if role == RolePlanner {
		limit = maxPlanners
	}
	count := 0
	for _, record := range t.members {
		if record.Role == role {
			count++
		}
	}
	return count >= limit
}

// beginStep sets the time. Time never runs backwards. A process that comes late to a step may have missed what others did
// meanwhile.
func (t *memberTable) beginStep(now time.Duration) {
	t.now = max(now, t.now)
	if t.nextStepAt > 0 && t.now > t.nextStepAt+maxOwnTimerLag {
		t.stepWasLate()
	}
	t.nextStepAt = 0
	t.health.decay(t.now)
}

func (t *memberTable) stepWasLate() {
	t.health.recordLateness(t.now)
	t.changed = true
	for _, record := range t.members {
		record.extendTimeouts(t.now)
	}
}

// wakeAt requests a step at a time; 0: none.
func (t *memberTable) wakeAt(at time.Duration) {
	if at > t.now && (t.nextStepAt == 0 || at < t.nextStepAt) {
		t.nextStepAt = at
	}
}

func (t *memberTable) emit(action Action) { t.output = append(t.output, action) }

// takeOutput appends the actions of the step to dst.
func (t *memberTable) takeOutput(dst []Action) []Action {
	dst = append(dst, t.output...)
	clear(t.output)
	t.output = t.output[:0]
	return dst
}

// ---- Assignment ----

// requireAssignment marks the assignment as outdated or urgent.
func (t *memberTable) requireAssignment(state assignmentState) {
	t.assignment = max(t.assignment, state)
}

// beginAssignment reports whether the assignment is to be recomputed now, and marks it as current if so.
func (t *memberTable) beginAssignment() bool {
	switch {
	case t.assignment == assignmentCurrent:
		return false
	case t.assignment == assignmentOutdated && t.now < t.nextAssignmentAt:
		t.wakeAt(t.nextAssignmentAt)
		return false
	}
	t.assignment = assignmentCurrent
	t.nextAssignmentAt = t.now + t.config.AssignInterval
	return true
}

// updateCandidates finds which planners count in assignments, and reports whether any of that has changed. It may by time
// alone: isCandidate requests a step for that.
func (t *memberTable) updateCandidates(isCandidate func(planner *memberRecord) bool) (changed bool) {
	for _, planner := range t.planners {
		if candidate := isCandidate(planner); candidate != planner.candidate {
			planner.candidate = candidate
			changed = true
		}
	}
	if changed {
		t.requireAssignment(assignmentOutdated)
	}
	return changed
}

// ---- Announcements ----

// announcePlanners emits the planners to have sessions with, if they have changed: all that are present.
func (t *memberTable) announcePlanners() {
	names := t.plannerNames(func(planner *memberRecord) bool { return !planner.state.isAbsent() })
	if !slices.Equal(names, t.announcedPlanners) {
		t.announcedPlanners = names
		t.emit(SetPlanners{slices.Clone(names)})
	}
}

// plannerNames returns the names of some planners, sorted.
func (t *memberTable) plannerNames(include func(planner *memberRecord) bool) []string {
	var names []string
	for _, planner := range t.planners {
		if include(planner) {
			names = append(names, planner.Name)
		}
	}
	return names
}

// announceSelf has gossip announce this process, if what it announces has changed.
func (t *memberTable) announceSelf(self Member) {
	if self != t.announcedSelf {
		t.announcedSelf = self
		t.emit(Announce{self})
	}
}
