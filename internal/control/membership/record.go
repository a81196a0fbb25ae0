package membership

import (
	"cmp"
	"time"
)

// memberRecord is the record of one member.
type memberRecord struct {
	Member
	hash uint64 // of its name

	gossip        gossipState
	aliveAt       time.Duration // when gossip announced this incarnation, or announced it again; extended by lateness
	failedAt      time.Duration // when gossip reported that it failed or left, extended by lateness; 0: never
	session       sessionState
	sessionLostAt time.Duration // when the last session ended
	state         memberState   // as of the latest review
	absentAt      time.Duration // when it was found to be dead or to have left, if it is
	candidate     bool          // of a planner: whether it counts in assignments, as of the latest step
	latency       latencyTracker
}

func newMemberRecord(name string, role Role) *memberRecord {
	return &memberRecord{Member: Member{Name: name, Role: role}, hash: hashName(name)}
}

func compareName(record *memberRecord, name string) int { return cmp.Compare(record.Name, name) }

// isSlow reports whether the planner's replies are slow.
func (m *memberRecord) isSlow() bool { return m.latency.state == latencySlow }

// setGossip records what gossip reports of an incarnation of the member, and returns whether it is valid. It is not if it
// is about an earlier incarnation, ends one that is not alive, or is a late announcement of one that has left.
func (m *memberRecord) setGossip(reported gossipState, incarnation uint64) bool {
	switch {
	case incarnation < m.Incarnation:
		return false
	case reported != gossipAlive && m.gossip != gossipAlive:
		return false
	case reported == gossipAlive && m.gossip == gossipLeft && incarnation == m.Incarnation && m.session != sessionOpen:
		return false
	}
	m.gossip = reported
	return true
}

// setState sets the state that is concluded of the member, and returns whether it has become absent or present by that.
func (m *memberRecord) setState(state memberState, now time.Duration) bool {
	wasAbsent := m.state.isAbsent()
	m.state = state
	if state.isAbsent() == wasAbsent {
		return false
	}
	m.absentAt = now
	return true
}

// extendTimeouts restarts the timeouts after gossip's reports, as this process may have missed later ones.
func (m *memberRecord) extendTimeouts(now time.Duration) {
	switch {
	case m.gossip == gossipFailed && !m.state.isAbsent():
		m.failedAt = now
	case m.gossip == gossipAlive && m.session == sessionNone:
		m.aliveAt = now
	}
}
