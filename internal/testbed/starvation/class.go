package starvation

import (
	"slices"
	"time"

	"valvecove/internal/testbed/scenario"
)

// slotBuckets is the number of buckets of requests by slots: up to 1, up to 2, up to 4, and more.
const slotBuckets = 4

// slotBucket returns the bucket of a number of slots: the first one whose bucketSlots suffice, or the last one.
func slotBucket(slots float64) int {
	bucket := 0
	for bucket < slotBuckets-1 && slots > bucketSlots(bucket) {
		bucket++
	}
	return bucket
}

// bucketSlots returns how many slots the requests of a bucket need at most. Those of the last one may need more.
func bucketSlots(bucket int) float64 { return float64(int(1) << bucket) }

// anyKind means all kinds of workers.
const anyKind = -1

// idempotency says whether a job may be executed more than once.
type idempotency uint8

const (
	idempotent idempotency = iota
	idempotentWithKey
	nonIdempotent
)

// parseIdempotency returns the idempotency that a scenario names.
func parseIdempotency(name string) idempotency {
	switch name {
	case "keyed":
		return idempotentWithKey
	case "unsafe":
		return nonIdempotent
	default:
		return idempotent
	}
}

// class defines where the jobs of a class of the scenario may be executed.
type class struct {
	kind             int // the only kind of workers that executes it, or anyKind
	idempotency      idempotency
	scope            string        // the workers that share an idempotency key: those of one "cell", one "zone", or all
	window           time.Duration // of an idempotency key
	objectiveStretch float64       // latency objective, as a multiple of the work
}

// newClass returns a class of the scenario, bound to one of its kinds of workers or to none.
func newClass(spec *scenario.Class, kinds []scenario.WorkerKind) class {
	isBoundTo := func(kind scenario.WorkerKind) bool { return spec.Kind != "" && kind.Name == spec.Kind }
	return class{
		kind:             slices.IndexFunc(kinds, isBoundTo), // anyKind if there is none
		idempotency:      parseIdempotency(spec.Idempotency),
		scope:            spec.DeduplicationScope,
		window:           spec.DeduplicationWindow.Std(),
		objectiveStretch: spec.ObjectiveStretch,
	}
}

// job is a client's job, which is sent in one request or several.
type job struct {
	class     int
	bucket    int // of its slots
	slots     float64
	work      float64       // seconds at speed 1
	objective time.Duration // the instant of its latency objective
	deadline  time.Duration // the instant at which its client times out
}
