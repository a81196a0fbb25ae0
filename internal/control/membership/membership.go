// Package membership decides what follows from who is there. An engine (gossip) tells of forwarders and planners as
// they come, change, leave and die, sessions tell what is seen of them at first hand, and this package says which
// planner a forwarder follows, how it changes to another, which part of the fleet is a planner's, and who the others
// are. It is free of I/O and clocks: events in, actions out, all chance from names.
//
// # Who is there
//
// What is seen at first hand goes before what is told. A planner with a session is there, whatever gossip says; one
// whose session was lost is not, until there is a session again or a newer process of it is told. Gossip's word alone
// that somebody is dead counts after Config.Suspicion. A process that is late itself trusts its own judgement less:
// for each sign of that its bounds grow, and what it has not heard meanwhile it gives another Suspicion.
//
// # Which planner a forwarder follows
//
// Forwarders are dealt out to planners evenly: each planner has its whole part of them, rounded up or down, whatever
// their names. All that see the same members deal alike, without a word between them. A forwarder whose planner is
// lost goes to another at once. All other changes are made one forwarder after another, each at a time that follows
// from its name: to a planner that is new, away from one that is slow while others are not, and back to one that is
// no longer. Where all are slow nobody moves.
//
// Where worker nodes are few, so are the planners that are followed: one that plans for a handful can't place much, and
// cells can't be parted evenly. The others stand by. Planners say how many worker nodes they know.
//
// # Which part of the fleet is a planner's
//
// Worker nodes are parted by whole cells, each planner's part being as large as the part of all forwarders that say
// that they follow it. So a planner that nobody follows any more, as it is frozen, has no part, and two planners that
// see each other no more keep theirs for as long as both are followed. A forwarder that is not heard of counts where
// it was for Config.Remember: those of the other side of a split do, and a restart moves nothing.
//
// Planners whose views differ may both have a worker node in their part for a moment, or neither: that costs time,
// and breaks no rule, since forwarders check every order.
package membership

import (
	"cmp"
	"slices"
	"time"

	"valvecove/dispatch"
)

// Role is what a member does.
type Role uint8

// Roles.
const (
	RoleForwarder Role = iota
	RolePlanner
)

// Member is what a process says of itself, for others to know.
type Member struct {
	Name        string
	Role        Role
	Addr        string // of a planner: where it takes sessions
	Incarnation uint64 // when its process started, Unix time in ns: of two of one name the later one counts
	Home        string // of a forwarder: the planner that it follows; empty: none
	Load        int    // of a forwarder: how much it brings, against others; 0 counts as 1
	Workers     int    // of a planner: worker nodes that it knows, rounded up to a power of two; 0: it does not know
}

// Event is something that has happened.
type Event interface{ event() }

// The events.
type (
	// MemberJoined tells that the engine has a member, or something new that it says of itself.
	MemberJoined struct{ Member Member }
	// MemberLeft tells that a member has left in order.
	MemberLeft struct {
		Name        string
		Incarnation uint64
	}
	// MemberDied tells that the engine takes a member for dead.
	MemberDied struct {
		Name        string
		Incarnation uint64
	}
	// PlannerConnected tells that a session with a planner is open.
	PlannerConnected struct{ Name string }
	// PlannerDisconnected tells that it was lost, is given up, or is about to end. Silent: nothing more was heard, and the
	// process at its other end may be as well as before.
	PlannerDisconnected struct {
		Name   string
		Silent bool
	}
	// ReplyReceived tells how long a planner took to answer, and how late it says that it is itself.
	ReplyReceived struct {
		Name              string
		Latency, TimerLag time.Duration
	}
	// EndpointsChanged brings news of the worker nodes, to a planner.
	EndpointsChanged struct{ List dispatch.WorkerList }
)

func (MemberJoined) event()        {}
func (MemberLeft) event()          {}
func (MemberDied) event()          {}
func (PlannerConnected) event()    {}
func (PlannerDisconnected) event() {}
func (ReplyReceived) event()       {}
func (EndpointsChanged) event()    {}

// Action is something to be done.
type Action interface{ action() }

// The actions.
type (
	// SetPlanners are those to have a session with, in order; a planner's are the other ones.
	SetPlanners struct{ Names []string }
	// SetPeers are the other planners that are there, to a planner.
	SetPeers struct{ Names []string }
	// Announce has the engine tell others this of ourselves.
	Announce struct{ Member Member }
	// SetForwarderIndex tells a forwarder that it is number Me, from 0, of so many.
	SetForwarderIndex struct{ Index, Count int }
	// SetPartition tells a planner whose each worker node is. Owner gives the planner's name; it does not change.
	SetPartition struct {
		Owner func(w *dispatch.Worker) string
	}
	// LogLine leaves a line for the operators.
	LogLine struct{ Text string }
)

func (SetPlanners) action()       {}
func (SetPeers) action()          {}
func (Announce) action()          {}
func (SetForwarderIndex) action() {}
func (SetPartition) action()      {}
func (LogLine) action()           {}

// Config is how a process judges. Zero spans and counts stand for those of Defaults.
type Config struct {
	SuspicionTimeout     time.Duration // gossip's word alone that somebody is dead counts after this
	ConnectTimeout       time.Duration // a planner that is told to be there counts for so long without a session, to a forwarder
	ReconnectGrace       time.Duration // one whose session was lost, and that gossip still has, is there after this, to a planner
	Retention            time.Duration // a forwarder that is gone counts where it was for so long
	StartupTime          time.Duration // a forwarder that has just started makes changes at once for so long
	SettleTime           time.Duration // a change of planners other than a loss is followed after this
	RampTime             time.Duration // and over so long, one forwarder after another
	SlowThreshold        time.Duration // a planner whose answers take longer is slow,
	MinWorkersPerPlanner int           // worker nodes for each planner that is followed: where there are fewer, fewer are
	SlowFactor           int           // if they take so many times as long as another's
	SlowConfirmation     time.Duration // and go on so for so long
	DrainTime            time.Duration // then forwarders leave it over so long, while it is slow
	RecoveryTime         time.Duration // it is well once answers take less than half the bound for so long; longer after each relapse
	AssignInterval       time.Duration // parts and homes are dealt anew at most so often, but for a loss
}

// Defaults are what holds where nothing else is said.
func Defaults() Config {
	return Config{
		SuspicionTimeout: time.Second, ConnectTimeout: 2 * time.Second, ReconnectGrace: 5 * time.Second, Retention: 30 * time.Second,
		MinWorkersPerPlanner: 12, StartupTime: time.Second, SettleTime: 250 * time.Millisecond, RampTime: 2 * time.Second, SlowThreshold: 30 * time.Millisecond,
		SlowFactor: 4, SlowConfirmation: 500 * time.Millisecond, DrainTime: 4 * time.Second, RecoveryTime: 2 * time.Second,
		AssignInterval: 100 * time.Millisecond,
	}
}

func (c Config) orDefaults() Config {
	d := Defaults()
	for _, x := range []struct{ is, or *time.Duration }{
		{&c.SuspicionTimeout, &d.SuspicionTimeout},
		{&c.ConnectTimeout, &d.ConnectTimeout},
		{&c.ReconnectGrace, &d.ReconnectGrace},
		{&c.Retention, &d.Retention},
		{&c.StartupTime, &d.StartupTime},
		{&c.SettleTime, &d.SettleTime},
		{&c.RampTime, &d.RampTime},
		{&c.SlowThreshold, &d.SlowThreshold},
		{&c.SlowConfirmation, &d.SlowConfirmation},
		{&c.DrainTime, &d.DrainTime},
		{&c.RecoveryTime, &d.RecoveryTime},
		{&c.AssignInterval, &d.AssignInterval},
	} {
		*x.is = cmp.Or(*x.is, *x.or)
	}
	c.SlowFactor, c.MinWorkersPerPlanner = cmp.Or(c.SlowFactor, d.SlowFactor), cmp.Or(c.MinWorkersPerPlanner, d.MinWorkersPerPlanner)
	return c
}

const (
	never               = time.Duration(1<<63 - 1)
	maxPlanners         = 64
	maxForwarders       = 4096
	maxNameLength       = 255
	maxOwnTimerLag      = 20 * time.Millisecond // so late for what was due, a process is late itself
	maxHealthScore      = 8
	healthDecayInterval = time.Second // a sign of lateness counts for so long
)

// memberState is what is known of one.
type memberState struct {
	Member
	inGossip      bool          // the engine has it
	deadAt        time.Duration // the engine has taken it for dead then, or it has left; 0: neither
	left          bool          // it has left in order
	goneAt        time.Duration // since when it is taken for gone; 0: it is there
	joinedAt      time.Duration // this process of it was told then
	connected     bool
	sessionLost   bool // a session with this process of it was lost, and there is none since
	sessionLostAt time.Duration
	latencyTracker
}

// memberTable is what a process knows of the others.
type memberTable struct {
	config         Config
	self           Member
	now            time.Duration
	started        bool
	members        []*memberState // by name; this one itself is not among them
	plannerMembers []*memberState // of these the planners, as of the last look
	nextStepAt     time.Duration
	output         []Action

	changed  bool          // something was told since the last look
	reviewAt time.Duration // when one is due by itself; 0: not

	healthScore   int // how often this process was late of late
	healthScoreAt time.Duration

	assignmentStale  bool          // something has changed that dealing goes by
	assignmentUrgent bool          // and it does not wait
	assignedAt       time.Duration // the last time
	assigned         bool

	Overflow int // members that there was no room for
}

func newMemberTable(me Member, conf Config) memberTable {
	return memberTable{config: conf.orDefaults(), self: me}
}

func compareMember(m *memberState, name string) int { return cmp.Compare(m.Name, name) }

func (b *memberTable) find(name string) *memberState {
	if i, ok := slices.BinarySearchFunc(b.members, name, compareMember); ok {
		return b.members[i]
	}
	return nil
}

// add is find that makes room for one; nil: there is none, or it is this process itself.
func (b *memberTable) add(name string, role Role) *memberState {
	i, ok := slices.BinarySearchFunc(b.members, name, compareMember)
	if ok {
		return b.members[i]
	}
	if name == "" || len(name) > maxNameLength || name == b.self.Name {
		return nil
	}
	n, most := 0, maxForwarders
	if role == RolePlanner {
		most = maxPlanners
	}
	for _, m := range b.members {
		if m.Role == role {
			n++
		}
	}
	if n >= most {
		b.Overflow++
		return nil
	}
	m := &memberState{Member: Member{Name: name, Role: role}}
	b.members = slices.Insert(b.members, i, m)
	return m
}

// beginStep is the beginning of a step. Whoever is late for what was due may have missed what others did in the meantime.
func (b *memberTable) beginStep(now time.Duration) {
	now = max(now, b.now)
	if b.started && b.nextStepAt > 0 && now > b.nextStepAt+maxOwnTimerLag {
		b.healthScore, b.healthScoreAt, b.changed = min(b.healthScore+1, maxHealthScore), now, true
		for _, m := range b.members {
			if m.deadAt > 0 && !m.left && m.goneAt == 0 {
				m.deadAt = now
			}
			if m.inGossip && !m.connected && !m.sessionLost {
				m.joinedAt = now
			}
		}
	}
	b.now, b.started, b.nextStepAt = now, true, 0
	for b.healthScore > 0 && b.now-b.healthScoreAt >= healthDecayInterval {
		b.healthScore--
		b.healthScoreAt += healthDecayInterval
	}
}

// scaledTimeout is a span that grows while this process is late itself.
func (b *memberTable) scaledTimeout(d time.Duration) time.Duration {
	return d * time.Duration(1+b.healthScore)
}

// wakeAt asks for a step at a time; 0: for none.
func (b *memberTable) wakeAt(at time.Duration) {
	if at > b.now && (b.nextStepAt == 0 || at < b.nextStepAt) {
		b.nextStepAt = at
	}
}

func (b *memberTable) emit(a Action) { b.output = append(b.output, a) }

// takeOutput hands over what is to be done.
func (b *memberTable) takeOutput(dst []Action) []Action {
	dst = append(dst, b.output...)
	clear(b.output)
	b.output = b.output[:0]
	return dst
}

// handleMember takes in an event that concerns members.
func (b *memberTable) handleMember(e Event) {
	b.changed = true
	switch e := e.(type) {
	case MemberJoined:
		b.memberJoined(e.Member)
	case MemberLeft:
		b.memberGone(e.Name, e.Incarnation, true)
	case MemberDied:
		b.memberGone(e.Name, e.Incarnation, false)
	case PlannerConnected:
		if m := b.add(e.Name, RolePlanner); m != nil {
			m.connected, m.sessionLost, m.latencyTracker = true, false, latencyTracker{relapses: m.relapses, slowChangedAt: m.slowChangedAt, slow: m.slow}
			b.assignmentStale = true
		}
	case PlannerDisconnected:
		if m := b.find(e.Name); m != nil && m.connected {
			m.connected, m.sessionLost, m.sessionLostAt = false, !e.Silent || b.self.Role == RoleForwarder, b.now
			b.assignmentStale, b.assignmentUrgent = true, true
		}
	}
}

func (b *memberTable) memberJoined(x Member) {
	m := b.add(x.Name, x.Role)
	switch {
	case m == nil || x.Incarnation < m.Incarnation:
		return
	case x.Incarnation > m.Incarnation || !m.inGossip && !m.connected:
		if x.Incarnation > m.Incarnation {
			m.sessionLost = false // what was lost was another one
		}
		if m.left && x.Incarnation == m.Incarnation {
			return // it was told before it left
		}
		m.joinedAt = b.now
		b.assignmentStale = true
	}
	if m.Role != x.Role || m.Home != x.Home || m.Load != x.Load || m.Workers != x.Workers {
		b.assignmentStale = true
	}
	m.Member, m.inGossip, m.left, m.deadAt = x, true, false, 0
}

func (b *memberTable) memberGone(name string, process uint64, left bool) {
	m := b.find(name)
	if m == nil || !m.inGossip || process != 0 && process < m.Incarnation {
		return
	}
	m.inGossip, m.left, m.deadAt = false, left, b.now
	b.assignmentStale = true
}

// review finds out who is gone by now, and forgets those that are for long. It tells whether anything may have changed.
func (b *memberTable) review() bool {
	if !b.changed && (b.reviewAt == 0 || b.now < b.reviewAt) {
		b.wakeAt(b.reviewAt)
		return false
	}
	b.changed, b.reviewAt = false, 0
	later := func(at time.Duration) {
		if b.reviewAt == 0 || at < b.reviewAt {
			b.reviewAt = at
		}
	}
	kept, plans := b.members[:0], b.plannerMembers[:0]
	for _, m := range b.members {
		absent := !m.connected && !m.inGossip
		gone := absent && (m.left || b.now >= m.deadAt+b.scaledTimeout(b.config.SuspicionTimeout))
		switch {
		case !gone && m.goneAt > 0:
			m.goneAt = 0
			b.assignmentStale = true
		case gone && m.goneAt == 0:
			m.goneAt = max(b.now, 1)
			b.assignmentStale = true
		case gone && b.now-m.goneAt >= b.config.Retention:
			b.assignmentStale = true
			continue
		}
		if gone {
			later(m.goneAt + b.config.Retention)
		} else if absent {
			later(m.deadAt + b.scaledTimeout(b.config.SuspicionTimeout))
		}
		if kept = append(kept, m); m.Role == RolePlanner {
			plans = append(plans, m)
		}
	}
	clear(b.members[len(kept):])
	b.members, b.plannerMembers = kept, plans
	b.wakeAt(b.reviewAt)
	return true
}

// assignmentDue tells whether it is time to deal anew.
func (b *memberTable) assignmentDue() bool {
	if !b.assignmentStale {
		return false
	}
	if b.assigned && !b.assignmentUrgent && b.now < b.assignedAt+b.config.AssignInterval {
		b.wakeAt(b.assignedAt + b.config.AssignInterval)
		return false
	}
	b.assignmentStale, b.assignmentUrgent, b.assigned, b.assignedAt = false, false, true, b.now
	return true
}

// appendPlanners are the names of all that are not gone.
func (b *memberTable) appendPlanners(dst []string) []string {
	for _, m := range b.plannerMembers {
		if m.goneAt == 0 {
			dst = append(dst, m.Name)
		}
	}
	return dst
}
