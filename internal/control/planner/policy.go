package planner

import (
	"time"

	"valvecove/dispatch"
)

// Policy makes the dispatch decisions. It is a dispatch.Dispatcher, or implements the same contract. The planner also uses
// the methods ModelSnapshot, AvailableSlots and TimeUntilOverdue of dispatch.Dispatcher if the policy has them.
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
