package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// snapshotOffsets is over how many parts of the interval the forwarders' snapshots are spread.
const snapshotOffsets = 16

// modelSource is the policy, which may have a model that it has learned.
type modelSource interface {
	hasModel() bool
	modelSnapshot(maxBytes int) []byte
}

// snapshotSender sends the policy's model snapshot to the forwarders, to each at a different time of the interval.
type snapshotSender struct {
	config     *Config
	step       *step
	forwarders *forwarderTable
	policy     modelSource

	data    []byte // nil: none was taken
	takenAt time.Duration
	offsets int // that were given out
}

// schedule sets when a forwarder that has connected gets its first snapshot.
func (s *snapshotSender) schedule(f *forwarder) {
	offset := s.config.SnapshotInterval * time.Duration(s.offsets%snapshotOffsets) / snapshotOffsets
	s.offsets++
	f.snapshotDue = s.step.now() + offset
}

// send sends the policy's model snapshot to the forwarders for which it is due. Several get the same one.
func (s *snapshotSender) send() {
	if !s.policy.hasModel() {
		return
	}
	for _, f := range s.forwarders.connected {
		if s.step.now() < f.snapshotDue {
			continue
		}
		if s.data == nil || s.step.now()-s.takenAt >= s.config.SnapshotInterval/2 {
			s.data = s.policy.modelSnapshot(s.config.MaxSnapshotBytes)
			s.takenAt = s.step.now()
		}
		f.snapshotDue = s.step.now() + s.config.SnapshotInterval
		s.step.send(f, &message.ModelSnapshot{Age: s.step.now() - s.takenAt, Data: s.data})
	}
}
