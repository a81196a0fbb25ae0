package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// snapshotOffsets is the number of offsets within the interval over which the forwarders' snapshots are spread.
const snapshotOffsets = 16

// modelSource returns snapshots of the policy's learned model, if it has one.
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

	data            []byte // the newest snapshot; nil if there is none
	takenAt         time.Duration
	assignedOffsets int // number of offsets assigned so far
}

// schedule sets when a newly connected forwarder gets its first snapshot.
func (s *snapshotSender) schedule(f *forwarder) {
	offset := s.config.SnapshotInterval * time.Duration(s.assignedOffsets%snapshotOffsets) / snapshotOffsets
	s.assignedOffsets++
	f.snapshotDue = s.step.now() + offset
}

// send sends a model snapshot to each forwarder that is due. Forwarders may share a snapshot up to half an interval old.
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
