package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// snapshotOffsets is over how many parts of the interval the forwarders' snapshots are spread.
const snapshotOffsets = 16

// snapshotSchedule is the policy's model snapshot, which forwarders get at different times of the interval.
type snapshotSchedule struct {
	data    []byte // nil: none was taken
	takenAt time.Duration
	offsets int // that were given out
}

// nextOffset returns when in the interval the next forwarder gets its snapshots.
func (s *snapshotSchedule) nextOffset(interval time.Duration) time.Duration {
	offset := interval * time.Duration(s.offsets%snapshotOffsets) / snapshotOffsets
	s.offsets++
	return offset
}

// sendSnapshots sends the policy's model snapshot to the forwarders for which it is due. Several get the same one.
func (p *Planner) sendSnapshots() {
	source, ok := p.policy.policy.(snapshotter)
	if !ok {
		return
	}
	snapshot := &p.snapshots
	for _, f := range p.forwarders.connected {
		if p.now < f.snapshotDue {
			continue
		}
		if snapshot.data == nil || p.now-snapshot.takenAt >= p.config.SnapshotInterval/2 {
			snapshot.data = source.ModelSnapshot(p.config.MaxSnapshotBytes, nil)
			snapshot.takenAt = p.now
		}
		f.snapshotDue = p.now + p.config.SnapshotInterval
		p.send(f, &message.ModelSnapshot{Age: p.now - snapshot.takenAt, Data: snapshot.data})
	}
}
