package planner

import (
	"time"

	"valvecove/dispatch"
)

// Policy makes the decisions. It is a dispatch.Dispatcher, or something that does the same. Of a policy that has them, the
// methods ModelSnapshot, AvailableSlots and TimeUntilOverdue of dispatch.Dispatcher are used too.
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
