package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// snapshotOffsets is the count of different offsets within the interval at which forwarders get their snapshots.
const snapshotOffsets = 16

// modelSource is the policy, which may have a learned model.
type modelSource interface {
	hasModel() bool
	modelSnapshot(maxBytes int) []byte
}

// snapshotSender sends the policy's model snapshot to the forwarders, spread over the interval.
type snapshotSender struct {
	config     *Config
	step       *step
	forwarders *forwarderTable
	policy     modelSource

	data    []byte // nil: none was made
	takenAt time.Duration
	offsets int // count that was assigned
}

// schedule sets when a forwarder that has connected gets its first snapshot.
func (s *snapshotSender) schedule(f *forwarder) {
	offset := s.config.SnapshotInterval * time.Duration(s.offsets%snapshotOffsets) / snapshotOffsets
	s.offsets++
	f.snapshotDue = s.step.now() + offset
}

// send sends the policy's model snapshot to the forwarders for which it is due. Several may get the same one.
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
