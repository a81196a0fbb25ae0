package environment

import (
	"time"
)

// This file holds timeouts of equal length.

// timeoutQueue calls expire for each ID that is still pending a fixed timeout after it was added. As all timeouts are equal,
// a FIFO queue suffices, of which only the first item has an entry on the event queue; an entry for each would be too slow.
type timeoutQueue struct {
	env         *Environment
	timeout     time.Duration
	maxLateness time.Duration     // expire may be called this much late, so that one event handles many items
	isPending   func(uint64) bool // nil: every ID is
	expire      func(uint64)
	items       queue[timeoutItem]
	scheduled   bool
	runDue      func()
}

type timeoutItem struct {
	expiresAt time.Duration
	id        uint64
}

// newTimeoutQueue returns an empty queue. isPending may be nil, in which case all IDs expire.
func newTimeoutQueue(environment *Environment, timeout, maxLateness time.Duration, isPending func(uint64) bool, expire func(uint64)) *timeoutQueue {
	queue := &timeoutQueue{env: environment, timeout: timeout, maxLateness: maxLateness, isPending: isPending, expire: expire}
	queue.runDue = func() { queue.scheduled = false; queue.run() }
	return queue
}

func (t *timeoutQueue) add(id uint64) {
	t.items.push(timeoutItem{t.env.now + t.timeout, id})
	t.scheduleNext()
}

func (t *timeoutQueue) scheduleNext() {
	if !t.scheduled && t.items.len() > 0 {
		t.scheduled = true
		t.env.schedule(t.items.first().expiresAt+t.maxLateness, t.runDue)
	}
}

func (t *timeoutQueue) run() {
	for t.items.len() > 0 {
		item := *t.items.first()
		pending := t.isPending == nil || t.isPending(item.id)
		if pending && item.expiresAt > t.env.now {
			break
		}
		t.items.pop()
		if pending {
			t.expire(item.id)
		}
	}
	t.scheduleNext()
}

// queue is a first-in first-out queue.
type queue[T any] struct {
	items []T
	start int
}

func (q *queue[T]) len() int  { return len(q.items) - q.start }
func (q *queue[T]) first() *T { return &q.items[q.start] }
func (q *queue[T]) push(x T)  { q.items = append(q.items, x) }

func (q *queue[T]) pop() {
	var zero T
	q.items[q.start] = zero
	if q.start++; q.start > 64 && q.start > len(q.items)/2 {
		n := copy(q.items, q.items[q.start:])
		clear(q.items[n:])
		q.items, q.start = q.items[:n], 0
	}
}
