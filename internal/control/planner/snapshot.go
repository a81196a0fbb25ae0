package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// snapshotOffsets is over how many parts of the interval the forwarders' snapshots are spread.
const snapshotOffsets = 16

// snapshotSender sends the policy's model snapshot to the forwarders, to each at a different time of the interval.
type snapshotSender struct {
	config     *Config
	step       *step
	forwarders *forwarderTable
	policy     *policyRunner

	data    []byte // nil: none was taken
	takenAt time.Duration
	offsets int // that were given out
}

// nextOffset returns when in the interval the next forwarder gets its snapshots.
func (s *snapshotSender) nextOffset(interval time.Duration) time.Duration {
	offset := interval * time.Duration(s.offsets%snapshotOffsets) / snapshotOffsets
	s.offsets++
	return offset
}

// send sends the policy's model snapshot to the forwarders for which it is due. Several get the same one.
func (s *snapshotSender) send() {
	source, ok := s.policy.policy.(snapshotter)
	if !ok {
		return
	}
	for _, f := range s.forwarders.connected {
		if s.step.now() < f.snapshotDue {
			continue
		}
		if s.data == nil || s.step.now()-s.takenAt >= s.config.SnapshotInterval/2 {
			s.data = source.ModelSnapshot(s.config.MaxSnapshotBytes, nil)
			s.takenAt = s.step.now()
		}
		f.snapshotDue = s.step.now() + s.config.SnapshotInterval
		s.step.send(f, &message.ModelSnapshot{Age: s.step.now() - s.takenAt, Data: s.data})
	}
}
