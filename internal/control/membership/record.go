package membership

import (
	"cmp"
	"time"
)

// memberRecord is the record of one member.
type memberRecord struct {
	Member
	hash uint64 // of Name

	gossip        gossipState
	aliveAt       time.Duration // when gossip reported this incarnation as alive, first or again; see extendTimeouts
	failedAt      time.Duration // when gossip reported that it failed or left, 0 if never; see extendTimeouts
	session       sessionState
	sessionLostAt time.Duration // when the last session ended
	state         memberState   // set by the latest updateStates
	absentAt      time.Duration // when state became dead or left, if absent
	candidate     bool          // planners: whether assignments include it, set by the latest updateCandidates
	latency       latencyTracker
}

func newMemberRecord(name string, role Role) *memberRecord {
	return &memberRecord{Member: Member{Name: name, Role: role}, hash: hashName(name)}
}

func compareName(record *memberRecord, name string) int { return cmp.Compare(record.Name, name) }

// isSlow reports whether the planner's replies are slow.
func (m *memberRecord) isSlow() bool { return m.latency.state == latencySlow }

// setGossip records the state of an incarnation reported by gossip, and returns whether the report is valid. It ignores reports
// about earlier incarnations, reports that a member that is not alive has failed or left, and late announcements of an
// incarnation that has left.
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

// setState sets the member's state, and returns whether the member became absent or present.
func (m *memberRecord) setState(state memberState, now time.Duration) bool {
	wasAbsent := m.state.isAbsent()
	m.state = state
	if state.isAbsent() == wasAbsent {
		return false
	}
	m.absentAt = now
	return true
}

// extendTimeouts restarts the timeouts that began with a gossip report, because this process may have missed later reports.
func (m *memberRecord) extendTimeouts(now time.Duration) {
	switch {
	case m.gossip == gossipFailed && !m.state.isAbsent():
		m.failedAt = now
	case m.gossip == gossipAlive && m.session == sessionNone:
		m.aliveAt = now
	}
}
