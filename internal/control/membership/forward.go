package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// ForwarderMembership is a forwarder's part: which planner it follows. It is what package follow asks for as its Chooser. It is
// used by one goroutine.
type ForwarderMembership struct {
	memberTable
	startupUntil      time.Duration // until then it goes wherever it ought to at once
	homePlanner       string        // the planner that it follows; empty: none
	targetPlanner     string        // the one that it ought to
	targetSince       time.Duration // since when
	assignedOfAll     string        // what was dealt to it of all planners
	assignedOfHealthy string        // and of those that are not slow; empty: all are
	order             []string      // all planners, the best one first
	announcedPlanners []string      // that it was told to have a session with
	announcedSelf     Member
	forwarderIndex    int
	forwarderCount    int
	plannerChanges    int

	items        []item
	owners       []owner
	ownerMembers []*memberState // by taker
	scratchNames []string
}

// NewForwarderMembership returns the part of a forwarder that knows nobody. Role, Home and Addr of me are of no matter.
func NewForwarderMembership(me Member, conf Config) *ForwarderMembership {
	me.Role, me.Home, me.Addr = RoleForwarder, "", ""
	return &ForwarderMembership{memberTable: newMemberTable(me, conf)}
}

// Step takes in what has happened by now, in order, and appends what is to be done.
func (f *ForwarderMembership) Step(now time.Duration, events []Event, dst []Action) []Action {
	f.beginStep(now)
	for _, e := range events {
		f.handle(e)
	}
	f.update()
	return f.takeOutput(dst)
}

func (f *ForwarderMembership) handle(e Event) {
	if a, ok := e.(ReplyReceived); ok {
		f.recordReply(a)
	} else {
		f.handleMember(e)
	}
}

// handleNow is a step for one event, whose actions wait for the next Step.
func (f *ForwarderMembership) handleNow(now time.Duration, e Event) {
	f.beginStep(now)
	f.handle(e)
	f.update()
}

// ---- What package follow asks for ----

// PlannersKnown is of no matter: it is this package that says who there is.
func (f *ForwarderMembership) PlannersKnown(time.Duration, []string) {}

// SessionChanged tells that a planner has taken the forwarder in, or is lost to it.
func (f *ForwarderMembership) SessionChanged(now time.Duration, planner string, up bool) {
	if up {
		f.handleNow(now, PlannerConnected{planner})
	} else {
		f.handleNow(now, PlannerDisconnected{Name: planner})
	}
}

// ReplyReceived tells how long a planner took to answer, and how late it says that it is itself.
func (f *ForwarderMembership) ReplyReceived(now time.Duration, planner string, took, late time.Duration) {
	f.handleNow(now, ReplyReceived{planner, took, late})
}

// AppendOrder appends the planners to dst, the one to follow first.
func (f *ForwarderMembership) AppendOrder(now time.Duration, dst []string) []string {
	f.beginStep(now)
	f.update()
	return append(dst, f.order...)
}

// Next is when something is due by itself; 0: nothing is.
func (f *ForwarderMembership) Next() time.Duration { return f.nextStepAt }

// Home is the planner that is followed; empty: there is none.
func (f *ForwarderMembership) Home() string { return f.homePlanner }

// PlannerChanges counts changes of planners but for those that were lost.
func (f *ForwarderMembership) PlannerChanges() int { return f.plannerChanges }

// ---- Which planner to follow ----

// isCandidate tells whether a planner is one to be dealt forwarders. One without a session is, for a moment, when it is
// new.
func (f *ForwarderMembership) isCandidate(m *memberState) bool {
	switch {
	case m.goneAt > 0 || m.sessionLost:
		return false
	case m.connected:
		return true
	}
	until := m.joinedAt + f.scaledTimeout(f.config.ConnectTimeout)
	f.wakeAt(until)
	return m.inGossip && f.now < until
}

// update decides anew what may have changed.
func (f *ForwarderMembership) update() {
	if f.startupUntil == 0 {
		f.startupUntil = max(f.now+f.config.StartupTime, 1)
	}
	changed := f.review() || f.assignmentStale
	for _, m := range f.plannerMembers {
		if c := f.isCandidate(m); c != m.candidate { // which may change by time alone
			m.candidate, f.assignmentStale, changed = c, true, true
		}
	}
	if f.assignmentDue() {
		f.assign()
	}
	was := f.homePlanner
	if f.selectHome(); changed || f.homePlanner != was {
		f.rankPlanners()
		f.announce()
	}
}

// assign finds which planner this forwarder ought to follow, and its number.
func (f *ForwarderMembership) assign() {
	f.items = append(f.items[:0], item{nameKey(f.self.Name), 1})
	number := 0
	for _, m := range f.members {
		if m.Role == RoleForwarder {
			if m.Name < f.self.Name {
				number++
			}
			f.items = append(f.items, item{nameKey(m.Name), 1})
		}
	}
	if of := len(f.items); number != f.forwarderIndex || of != f.forwarderCount {
		f.forwarderIndex, f.forwarderCount = number, of
		f.emit(SetForwarderIndex{number, of})
	}
	nodes := 0
	for _, m := range f.plannerMembers {
		if m.candidate {
			nodes = max(nodes, m.Workers)
		}
	}
	most := maxPlanners
	if nodes > 0 {
		most = max(1, nodes/f.config.MinWorkersPerPlanner)
	}
	f.assignedOfAll = f.assignedPlanner(most, func(m *memberState) bool { return m.candidate })
	f.assignedOfHealthy = f.assignedPlanner(most, func(m *memberState) bool { return m.candidate && !m.slow })
}

// assignedPlanner is what is dealt to this forwarder of some planners, of which so many are followed at most, those that their
// hashes put first; empty: there are none.
func (f *ForwarderMembership) assignedPlanner(most int, which func(m *memberState) bool) string {
	f.ownerMembers, f.owners = f.ownerMembers[:0], f.owners[:0]
	for _, m := range f.plannerMembers {
		if which(m) {
			f.ownerMembers = append(f.ownerMembers, m)
		}
	}
	if len(f.ownerMembers) == 0 {
		return ""
	}
	slices.SortFunc(f.ownerMembers, func(a, b *memberState) int { return cmp.Compare(nameKey(b.Name), nameKey(a.Name)) })
	f.ownerMembers = f.ownerMembers[:min(len(f.ownerMembers), most)]
	for _, m := range f.ownerMembers {
		f.owners = append(f.owners, owner{nameKey(m.Name), 1})
	}
	return f.ownerMembers[assign(f.items, f.owners)[0]].Name
}

// selectHome goes to another planner, if it is time to. A forwarder whose own is well stays with it, whatever is dealt to
// those whose are not.
func (f *ForwarderMembership) selectHome() {
	want := f.assignedOfAll
	if m := f.find(want); m != nil && m.slow && f.assignedOfHealthy != "" {
		want = f.assignedOfHealthy
	}
	if want != f.targetPlanner {
		f.targetPlanner, f.targetSince = want, f.now
	}
	have, next := f.find(f.homePlanner), f.find(want)
	switch {
	case have == nil || !have.candidate:
		f.failOver(next)
	case next == nil || next == have || !next.connected && f.now >= f.startupUntil || next.slow && !have.slow:
	case f.now < f.startupUntil:
		f.homePlanner = want
	case have.slow:
		if lot := f.staggerDelay(have, f.config.DrainTime); have.drainingFor >= lot && !next.slow {
			f.changeHome(fmt.Sprintf("%s is slow", f.homePlanner))
		}
	default:
		at := f.targetSince + f.config.SettleTime + f.staggerDelay(next, f.config.RampTime)
		if f.wakeAt(at); f.now >= at {
			f.changeHome("it is its turn to")
		}
	}
}

// staggerDelay is when it is this forwarder's turn of all that go to or leave a planner over a span.
func (f *ForwarderMembership) staggerDelay(m *memberState, over time.Duration) time.Duration {
	const parts = 1 << 16
	return over / parts * time.Duration(mixBits(nameKey(f.self.Name)+nameKey(m.Name))%parts)
}

// failOver goes to another planner at once: the one that was followed is lost. Where the one that is dealt is not there
// yet, as nothing is at the beginning, another that is does for now.
func (f *ForwarderMembership) failOver(next *memberState) {
	was := f.homePlanner
	if f.homePlanner = ""; next != nil && next.candidate {
		f.homePlanner = next.Name
	}
	for _, m := range f.plannerMembers {
		if f.homePlanner == "" && m.candidate {
			f.homePlanner = m.Name
		}
	}
	if was != "" {
		f.emit(LogLine{fmt.Sprintf("follows %s: %s is lost", cmp.Or(f.homePlanner, "no planner"), was)})
	}
}

func (f *ForwarderMembership) changeHome(why string) {
	f.plannerChanges++
	f.homePlanner = f.targetPlanner
	f.emit(LogLine{fmt.Sprintf("follows planner %s: %s", f.homePlanner, why)})
}

// rankPlanners puts the planners in order: the one that is followed, then those that are well, as this forwarder's hash has
// them.
func (f *ForwarderMembership) rankPlanners() {
	f.ownerMembers = f.ownerMembers[:0]
	for _, m := range f.plannerMembers {
		if m.goneAt == 0 {
			f.ownerMembers = append(f.ownerMembers, m)
		}
	}
	mine := nameKey(f.self.Name)
	class := func(m *memberState) int {
		switch {
		case m.Name == f.homePlanner:
			return 0
		case m.connected && !m.slow:
			return 1
		}
		return 2
	}
	slices.SortFunc(f.ownerMembers, func(a, b *memberState) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(mixBits(mine^nameKey(b.Name)), mixBits(mine^nameKey(a.Name))))
	})
	f.order = f.order[:0]
	for _, m := range f.ownerMembers {
		f.order = append(f.order, m.Name)
	}
}

// announce says what is new to the others and to whoever keeps the sessions.
func (f *ForwarderMembership) announce() {
	if f.scratchNames = f.appendPlanners(f.scratchNames[:0]); !slices.Equal(f.scratchNames, f.announcedPlanners) {
		f.announcedPlanners = slices.Clone(f.scratchNames)
		f.emit(SetPlanners{slices.Clone(f.scratchNames)})
	}
	me := f.self
	if m := f.find(f.homePlanner); m != nil && m.connected {
		me.Home = f.homePlanner
	}
	if me != f.announcedSelf {
		f.announcedSelf = me
		f.emit(Announce{me})
	}
}

// ---- Which planners are slow ----

// latencyTracker is what a forwarder makes of a planner's answers.
type latencyTracker struct {
	candidate     bool
	latencies     [sampleWindow]time.Duration
	sampleCount   int // answers so far
	lastReplyAt   time.Duration
	slowFor       time.Duration // for so long they have been too slow, before that makes it slow
	drainingFor   time.Duration // and since
	healthyFor    time.Duration // for so long they have been well
	slow          bool
	slowChangedAt time.Duration
	relapses      int
}

const (
	sampleWindow   = 5 // of which the median counts: one pause makes nobody slow
	maxReplyGap    = 250 * time.Millisecond
	sampleValidity = time.Second
	relapseWindow  = time.Minute
	maxRelapses    = 5
)

func (j *latencyTracker) median() time.Duration {
	all := j.latencies
	some := all[:min(j.sampleCount, sampleWindow)]
	slices.Sort(some)
	if len(some) == 0 {
		return 0
	}
	return some[len(some)/2]
}

// recordReply takes in how long a planner took. What counts is the time for which answers were slow, not how many were.
func (f *ForwarderMembership) recordReply(e ReplyReceived) {
	m := f.find(e.Name)
	if m == nil || !m.connected {
		return
	}
	since := min(f.now-m.lastReplyAt, maxReplyGap)
	if m.sampleCount == 0 {
		since = 0
	}
	m.latencies[m.sampleCount%sampleWindow], m.lastReplyAt = max(e.Latency, e.TimerLag, 0), f.now
	m.sampleCount++
	took, bound := m.median(), f.slowBound(m)
	over, well := took >= bound, took < bound/2
	switch {
	case !m.slow && over:
		if m.slowFor += since; m.slowFor >= f.scaledTimeout(f.config.SlowConfirmation) {
			if m.relapses = min(m.relapses+1, maxRelapses); m.slowChangedAt == 0 || f.now-m.slowChangedAt > relapseWindow {
				m.relapses = 0
			}
			m.slow, m.slowChangedAt, m.drainingFor, m.healthyFor, f.assignmentStale = true, f.now, 0, 0, true
			f.emit(LogLine{fmt.Sprintf("planner %s is slow: its answers take %v", m.Name, took)})
		}
	case !m.slow && well:
		m.slowFor = 0
	case !m.slow:
		m.slowFor = max(0, m.slowFor-since)
	case over:
		m.drainingFor += since
		m.healthyFor = 0
	case well:
		if m.healthyFor += since; m.healthyFor >= f.config.RecoveryTime<<m.relapses {
			m.slow, m.slowFor, m.slowChangedAt, f.assignmentStale = false, 0, f.now, true
			f.emit(LogLine{fmt.Sprintf("planner %s is well again: its answers take %v", m.Name, took)})
		}
	}
}

// slowBound is what a planner's answers may take: so many times as long as those of the best of the others.
func (f *ForwarderMembership) slowBound(m *memberState) time.Duration {
	best := never
	for _, o := range f.plannerMembers {
		if o != m && o.connected && o.sampleCount >= sampleWindow/2 && f.now-o.lastReplyAt <= sampleValidity {
			best = min(best, o.median())
		}
	}
	if best == never {
		return never
	}
	return f.scaledTimeout(max(f.config.SlowThreshold, time.Duration(f.config.SlowFactor)*best))
}
