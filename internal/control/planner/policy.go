package planner

import (
	"time"

	"valvecove/dispatch"
)

// Policy makes the decisions. It is a dispatch.Dispatcher, or has the same contract. If a policy has them, its
// methods ModelSnapshot, AvailableSlots and TimeUntilOverdue, as of dispatch.Dispatcher, are used too.
type Policy interface {
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

type (
	snapshotter interface {
		ModelSnapshot(maxBytes int, dst []byte) []byte
	}
	capacityReporter interface {
		AvailableSlots() float64
	}
	runtimeEstimator interface {
		TimeUntilOverdue(job uint64, attempt int) (remaining time.Duration, ok bool)
	}
)
