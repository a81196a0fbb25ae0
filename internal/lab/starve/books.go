package starve

import (
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/lab/scenario"
)

// Needs of 1, 2, up to 4 and up to 8 slots are told apart; more count as 8.
const buckets = 4

// bucketOf is the least bucket whose slots hold a need.
func bucketOf(slots float64) int {
	b := 0
	for b < buckets-1 && slots > float64(int(1)<<b) {
		b++
	}
	return b
}

// class is a class of jobs, as far as it says where they may run.
type class struct {
	kind    int // index of the only kind that runs it; -1: any
	unsafe  bool
	stretch float64
	keyed   bool
	group   string
	window  time.Duration
}

// kind is a kind of worker node.
type kind struct {
	cold  time.Duration
	mute  bool    // it tells no starts
	least float64 // speed of its slowest node
}

// job is what a client wants.
type job struct {
	class    int
	need     int // bucket
	slots    float64
	work     float64       // seconds at speed 1
	aim      time.Duration // until when its answer earns
	deadline time.Duration // until when its client waits
}

// try is one query of a client. It is kept until its client has its end and no attempt of it is left at a worker node.
type try struct {
	job      *job
	id       uint64 // of the job
	call     string
	sched    int
	at       time.Duration // asked
	since    time.Duration // nothing of it has been out since then, if nothing is
	out      int           // attempts that its scheduler takes to be out
	left     int           // attempts that worker nodes have
	open     bool          // its client waits
	told     bool          // found to be starved
	place    int           // in its scheduler's tries
	old      int           // in the set of those held for a second; -1: it is not there
	attempts []attempt
}

// attempt is one sending of a try.
type attempt struct {
	node     int
	sent     time.Duration
	at       time.Duration // its last byte was read
	out      bool          // its scheduler takes it to be out
	left     bool          // its worker node has it, or its end has not been told
	reached  bool
	finished bool
	heard    bool // it was told to have begun
	unrun    bool // and that proves that it never ran
}

// held tells whether it waits at its scheduler.
func (t *try) held() bool { return t.open && t.out == 0 }

// waiting is a place in the queue of what has been so for less than a second.
type waiting struct {
	since  time.Duration
	t      *try
	node   int // where t is nil
	bucket int
}

// queue is a first-in first-out one that uses its room again.
type queue[T any] struct {
	ring       []T
	head, size int
}

func (q *queue[T]) push(x T) {
	if q.size == len(q.ring) {
		ring := make([]T, max(64, 2*len(q.ring)))
		for i := range q.size {
			ring[i] = q.ring[(q.head+i)%len(q.ring)]
		}
		q.ring, q.head = ring, 0
	}
	q.ring[(q.head+q.size)%len(q.ring)] = x
	q.size++
}

func (q *queue[T]) first() *T { return &q.ring[q.head] }

func (q *queue[T]) drop() {
	var none T
	q.ring[q.head] = none
	q.head = (q.head + 1) % len(q.ring)
	q.size--
}

// beginning is an attempt that has begun, and may not have been told.
type beginning struct {
	at      time.Duration
	t       *try
	attempt int
}

// node is a worker node.
type node struct {
	deadline.Item // when it is well again, if that is to come
	n             int
	kind          int
	cell          int
	zone          int
	boot          int
	slots         float64
	used          float64 // by attempts that are out there
	up            bool
	struck        int                    // faults that hold
	well          time.Duration          // from then on
	level         int                    // buckets whose slots it has had free since
	since         [buckets]time.Duration // then
	spot          [buckets]int           // in the set of those idle for a second, and one more; 0: it is not there
}

// knowledge is what a scheduler was told of a worker node.
type knowledge struct {
	boot    int // the last start; 0: the first
	drained bool
	at      time.Duration
}

// sched is a scheduler.
type sched struct {
	up, frozen, ending bool
	upAt, wokeAt       time.Duration
	known              []knowledge // by worker node; nil: nothing beyond first starts
	tries              []*try
	held               [buckets]int // tries without an attempt out
	olds               int          // of them, for a second
	open               int
	ends               []int // by class: runs that this process has heard of
	dials, lent        int   // connections of late that have not come up; refusals excused by them
}

// dial is a connection that a scheduler began to open.
type dial struct {
	at          time.Duration
	conn        uint64
	sched, node int
}

// racks are the cells and zones of the scenario's worker nodes, by node, as the world deals them out.
func racks(spec *scenario.Scenario) (cells, zones []int) {
	n, size, many := spec.Fleet.Nodes, max(1, spec.Fleet.CellSize), max(1, len(spec.Fleet.Zones))
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
