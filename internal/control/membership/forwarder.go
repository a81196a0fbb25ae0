package membership

import "time"

// ForwarderMembership decides which planner a forwarder follows. It implements forwarder.PlannerSelector. It is used by one
// goroutine.
type ForwarderMembership struct {
	memberTable
	startupUntil time.Duration // until then it moves without delay; 0: there was no step yet

	homePlanner       string        // the planner that it follows; empty: none
	targetPlanner     string        // the planner that it should follow; empty: none
	targetSince       time.Duration // since when
	assignedOfAll     string        // the planner assigned to it of all candidates; empty: there are none
	assignedOfHealthy string        // and of those that are not slow
	ranking           []string      // all planners that are present, the best first
	moveCount         int

	forwarderIndex int // as of the latest SetForwarderIndex
	forwarderCount int
}

// NewForwarderMembership returns the membership of a forwarder that knows no other process. Role, Home and Addr of self are
// ignored.
func NewForwarderMembership(self Member, config Config) *ForwarderMembership {
	self.Role = RoleForwarder
	self.Home = ""
	self.Addr = ""
	return &ForwarderMembership{memberTable: newMemberTable(self, config)}
}

// Step processes the events up to now, in order, and appends the resulting actions to dst.
func (f *ForwarderMembership) Step(now time.Duration, events []Event, dst []Action) []Action {
	f.beginStep(now)
	for _, event := range events {
		f.handle(event)
	}
	f.update()
	return f.takeOutput(dst)
}

// handle processes an event.
func (f *ForwarderMembership) handle(event Event) {
	switch event := event.(type) {
	case ReplyReceived:
		f.recordReply(event)
	default:
		f.handleMember(event)
	}
}

// update recomputes what may have changed: members, candidates, assignment and announcements.
func (f *ForwarderMembership) update() {
	if f.startupUntil == 0 {
		f.startupUntil = f.now + f.config.StartupTime
	}
	changed := f.review() || f.assignment != assignmentCurrent
	if f.updateCandidates(f.isCandidate) {
		changed = true
	}
	if f.beginAssignment() {
		f.assign()
	}
	previousHome := f.homePlanner
	f.selectHome()
	if changed || f.homePlanner != previousHome {
		f.rankPlanners()
		f.announcePlanners()
		f.announceHome()
	}
}

// announceHome announces the home by gossip, once there is a session with it.
func (f *ForwarderMembership) announceHome() {
	self := f.self
	if home := f.find(f.homePlanner); home != nil && home.session == sessionOpen {
		self.Home = home.Name
	}
	f.announceSelf(self)
}

// Home returns the planner that the forwarder follows; empty: none.
func (f *ForwarderMembership) Home() string { return f.homePlanner }

// PlannerChanges returns the number of moves to another planner, without those from a planner that was lost.
func (f *ForwarderMembership) PlannerChanges() int { return f.moveCount }
