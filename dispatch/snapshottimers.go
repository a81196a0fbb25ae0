package dispatch

import (
	"math/rand/v2"
	"slices"
)

// The parts of a snapshot for timers and the random generator.

// randomStateSize is the number of bytes of the random generator's state.
const randomStateSize = 20

// random writes or reads the state of the random generator.
func (c *codec) random(source *rand.PCG) {
	if c.writing {
		state, _ := source.MarshalBinary() // it never fails
		c.b = append(c.b, state...)
		return
	}
	if len(c.b) < randomStateSize || source.UnmarshalBinary(c.b[:randomStateSize]) != nil {
		c.invalid = true
		c.b = nil
		return
	}
	c.b = c.b[randomStateSize:]
}

// serializeTimers writes or reads the timers that are set. The order within the heap is kept, as it decides
// in which order timers with the same time fire.
func (d *Dispatcher) serializeTimers(codec *codec) {
	if codec.writing {
		stored := d.timers.stored(codec.withLeases)
		list(codec, &stored, func(t **timer) { d.serializeTimer(codec, t) })
		return
	}
	d.maintenance.heapIndex = 0 // New has set it
	timers := &d.timers.heap.items
	list(codec, timers, func(t **timer) { d.serializeTimer(codec, t) })
	for i, t := range *timers {
		codec.check(t.heapIndex == 0) // else it occurs twice
		t.heapIndex = i + 1
	}
	codec.check(len(*timers) > 0)
}

// stored returns the timers that a snapshot stores, as a heap: without leases, those of leases are left out.
func (q *timerQueue) stored(withLeases bool) []*timer {
	isOfLease := func(t *timer) bool { return t.purpose == leaseOverdue }
	if withLeases || !slices.ContainsFunc(q.heap.items, isOfLease) {
		return q.heap.items
	}
	others := minHeap[*timer]{less: q.heap.less}
	for _, t := range q.heap.items {
		if !isOfLease(t) {
			others.push(t)
		}
	}
	return others.items
}

// serializeTimer writes or reads the time of a timer, and a reference to it: its purpose and the object that
// it belongs to.
func (d *Dispatcher) serializeTimer(codec *codec, t **timer) {
	stored := timer{}
	if codec.writing {
		stored = **t
	}
	codec.instant(&stored.at)
	codec.int((*int)(&stored.purpose))
	switch stored.purpose {
	case reviewQueue, jobDeadline, jobObjective:
		codec.job(&stored.job)
	case attemptOverdue:
		codec.attempt(&stored.attempt)
	case workerAvailable:
		codec.worker(&stored.worker)
	case leaseOverdue:
		codec.check(codec.withLeases)
		d.leases.client.serializeReference(codec, &stored.lease)
	case runMaintenance:
	}
	if codec.writing {
		return
	}
	*t = d.resolveTimer(&stored)
	codec.check(*t != nil)
	if *t == nil {
		*t = &timer{}
	}
	(*t).at = stored.at
}

// resolveTimer returns the timer with the same purpose as another one and of the same job, attempt, worker or
// lease; nil if the purpose is unknown.
func (d *Dispatcher) resolveTimer(other *timer) *timer {
	switch other.purpose {
	case reviewQueue:
		return &other.job.checksTimer
	case jobDeadline:
		return &other.job.deadlineTimer
	case jobObjective:
		return &other.job.objectiveTimer
	case attemptOverdue:
		return &other.attempt.timer
	case workerAvailable:
		return &other.worker.timer
	case leaseOverdue:
		return &other.lease.timer
	case runMaintenance:
		return &d.maintenance
	default:
		return nil
	}
}
