package forwarder

import (
	"time"

	"valvecove/internal/control/message"
)

// modelSnapshot is the newest model snapshot of a planner.
type modelSnapshot struct {
	data    []byte
	takenAt time.Duration
}

// keepSnapshot keeps a planner's model snapshot for the local policy, if it is newer than the one that there is.
func (f *Forwarder) keepSnapshot(now time.Duration, planner string, epoch message.Epoch, received *message.ModelSnapshot) {
	session := f.findSession(planner)
	takenAt := now - max(0, received.Age)
	current := &f.snapshot
	switch {
	case session == nil || !session.isAccepted() || session.epoch != epoch,
		len(received.Data) > f.config.MaxSnapshotBytes,
		len(current.data) > 0 && takenAt < current.takenAt:
		f.stats.StrayMessages++
		return
	}
	current.data = append(current.data[:0], received.Data...)
	current.takenAt = takenAt
}
