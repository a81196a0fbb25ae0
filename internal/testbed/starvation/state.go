package starvation

import (
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/testbed/scenario"
)

// Needs of 1, 2, up to 4 and up to 8 slots are told apart; more count as 8.
const slotBuckets = 4

// slotBucket is the least bucket whose slots hold a need.
func slotBucket(slots float64) int {
	b := 0
	for b < slotBuckets-1 && slots > float64(int(1)<<b) {
		b++
	}
	return b
}

// class is a class of jobs, as far as it says where they may run.
type class struct {
	kind              int // index of the only kind that runs it; -1: any
	nonIdempotent     bool
	objectiveStretch  float64
	idempotentWithKey bool
	scope             string
	window            time.Duration
}

// workerKind is a kind of worker.
type workerKind struct {
	warmUp      time.Duration
	omitsStarts bool    // it tells no starts
	minSpeed    float64 // speed of its slowest node
}

// job is what a client wants.
type job struct {
	class     int
	bucket    int // bucket
	slots     float64
	work      float64       // seconds at speed 1
	objective time.Duration // until when its answer earns
	deadline  time.Duration // until when its client waits
}

// request is one request of a client. It is kept until its client has its end and no attempt of it is left at a worker.
type request struct {
	job       *job
	number    uint64 // of the job
	id        string
	scheduler int
	sentAt    time.Duration // asked
	heldSince time.Duration // nothing of it has been out since then, if nothing is
	inFlight  int           // attempts that its scheduler takes to be out
	undecided int           // attempts that workers have
	open      bool          // its client waits
	reported  bool          // found to be starved
	index     int           // in its scheduler's tries
	oldIndex  int           // in the set of those held for a second; -1: it is not there
	attempts  []attempt
}

// attempt is one sending of a try.
type attempt struct {
	worker      int
	sentAt      time.Duration
	endedAt     time.Duration // its last byte was read
	inFlight    bool          // its scheduler takes it to be out
	abandoned   bool          // its worker has it, or its end has not been told
	reached     bool
	finished    bool
	endKnown    bool // it was told to have begun
	notExecuted bool // and that proves that it never ran
}

// isQueued tells whether it waits at its scheduler.
func (t *request) isQueued() bool { return t.open && t.inFlight == 0 }

// pendingIdle is a place in the queue of what has been so for less than a second.
type pendingIdle struct {
	since   time.Duration
	request *request
	worker  int // where t is nil
	bucket  int
}

// ringQueue is a first-in first-out one that uses its room again.
type ringQueue[T any] struct {
	ring        []T
	start, size int
}

func (q *ringQueue[T]) push(x T) {
	if q.size == len(q.ring) {
		ring := make([]T, max(64, 2*len(q.ring)))
		for i := range q.size {
			ring[i] = q.ring[(q.start+i)%len(q.ring)]
		}
		q.ring, q.start = ring, 0
	}
	q.ring[(q.start+q.size)%len(q.ring)] = x
	q.size++
}

func (q *ringQueue[T]) first() *T { return &q.ring[q.start] }

func (q *ringQueue[T]) pop() {
	var none T
	q.ring[q.start] = none
	q.start = (q.start + 1) % len(q.ring)
	q.size--
}

// startedAttempt is an attempt that has begun, and may not have been told.
type startedAttempt struct {
	at      time.Duration
	request *request
	attempt int
}

// worker is a worker.
type worker struct {
	deadline.Item // when it is well again, if that is to come
	number        int
	kind          int
	cell          int
	zone          int
	incarnation   int
	slots         float64
	usedSlots     float64 // by attempts that are out there
	up            bool
	faults        int                        // faults that hold
	healthySince  time.Duration              // from then on
	bucket        int                        // buckets whose slots it has had free since
	idleSince     [slotBuckets]time.Duration // then
	idleIndex     [slotBuckets]int           // in the set of those idle for a second, and one more; 0: it is not there
}

// knowledge is what a scheduler was told of a worker.
type knowledge struct {
	incarnation int // the last start; 0: the first
	drained     bool
	knownAt     time.Duration
}

// scheduler is a scheduler.
type scheduler struct {
	up, frozen, ending   bool
	startedAt, resumedAt time.Duration
	known                []knowledge // by worker; nil: nothing beyond first starts
	requests             []*request
	queued               [slotBuckets]int // tries without an attempt out
	oldCount             int              // of them, for a second
	open                 int
	classEnds            []int // by class: runs that this process has heard of
	dials, unconfirmed   int   // connections of late that have not come up; rejections excused by them
}

// dial is a connection that a scheduler began to open.
type dial struct {
	dialedAt          time.Duration
	conn              uint64
	scheduler, worker int
}

// workerPlacement are the cells and zones of the scenario's workers, by node, as the environment deals them out.
func workerPlacement(spec *scenario.Scenario) (cells, zones []int) {
	n, size, many := spec.Fleet.Workers, max(1, spec.Fleet.CellSize), max(1, len(spec.Fleet.Zones))
	cells, zones = make([]int, n), make([]int, n)
	place := 0
	for z := range many {
		for i := z; i < n; i += many {
			cells[i], zones[i] = place/size, z
			place++
		}
	}
	return cells, zones
}
