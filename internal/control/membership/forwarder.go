package membership

import "time"

// ForwarderMembership decides which planner a forwarder follows. It implements forwarder.PlannerSelector. It is not safe for
// concurrent use.
type ForwarderMembership struct {
	memberTable
	startupUntil time.Duration // until then moves are not delayed; 0 before the first step

	homePlanner          string        // planner that the forwarder follows; empty if none
	targetPlanner        string        // planner that the forwarder should follow; empty if none
	targetSince          time.Duration // when targetPlanner last changed
	assignedAmongAll     string        // planner assigned among all candidates; empty if there are none
	assignedAmongHealthy string        // planner assigned among the candidates that are not slow
	ranking              []string      // names of all planners that are present, best first
	moveCount            int

	forwarderIndex int // as of the latest SetForwarderIndex
	forwarderCount int
}

// NewForwarderMembership returns the membership of a forwarder, without other members. Role, Home and Addr of self are ignored.
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

// update recomputes member states, candidates, the assignment, the home and announcements where they may have changed.
func (f *ForwarderMembership) update() {
	if f.startupUntil == 0 {
		f.startupUntil = f.now + f.config.StartupTime
	}
	changed := f.updateStates() || f.assignment != assignmentCurrent
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
		f.emitPlanners()
		f.announceHome()
	}
}

// announceHome announces the home by gossip if there is an open session with it, otherwise no home.
func (f *ForwarderMembership) announceHome() {
	self := f.self
	if home := f.find(f.homePlanner); home != nil && home.session == sessionOpen {
		self.Home = home.Name
	}
	f.announceSelf(self)
}

// Home returns the name of the planner that the forwarder follows, or an empty string if there is none.
func (f *ForwarderMembership) Home() string { return f.homePlanner }

// PlannerChanges returns the number of moves to another planner, not counting failovers from a lost planner.
func (f *ForwarderMembership) PlannerChanges() int { return f.moveCount }
