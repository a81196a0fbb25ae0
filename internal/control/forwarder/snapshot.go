package forwarder

import (
	"time"

	"valvecove/dispatch"
)

// modelSnapshot is the newest model snapshot received from any planner.
type modelSnapshot struct {
	maxBytes int
	data     []byte
	takenAt  time.Duration
}

// keep stores a copy of a snapshot. It returns false if the snapshot is too large or older than the stored one.
func (m *modelSnapshot) keep(takenAt time.Duration, data []byte) bool {
	if len(data) > m.maxBytes || len(m.data) > 0 && takenAt < m.takenAt {
		return false
	}
	m.data = append(m.data[:0], data...)
	m.takenAt = takenAt
	return true
}

// update returns the event that passes the snapshot to a policy, or false if there is no snapshot.
func (m *modelSnapshot) update(now time.Duration, loadShare float64) (dispatch.ModelUpdate, bool) {
	update := dispatch.ModelUpdate{Snapshot: m.data, Age: now - m.takenAt, LoadShare: loadShare}
	return update, len(m.data) > 0
}
