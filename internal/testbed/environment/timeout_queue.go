package environment

import (
	"time"
)

// This file holds queues of what falls due equally long after it was entered.

// timeoutQueue is what falls due equally long after it was entered: a queue with one entry on the event queue, where a heap of
// all would be too slow.
type timeoutQueue struct {
	env       *Environment
	timeout   time.Duration
	batch     time.Duration // it may be late by so much, to be woken less often
	isLive    func(uint64) bool
	expire    func(uint64)
	items     queue[timeoutItem]
	scheduled bool
	fire      func()
}

type timeoutItem struct {
	at      time.Duration
	subject uint64
}

// newTimeoutQueue has do done for whatever is live when it falls due; live nil: all is.
func newTimeoutQueue(w *Environment, span, batch time.Duration, live func(uint64) bool, do func(uint64)) *timeoutQueue {
	l := &timeoutQueue{env: w, timeout: span, batch: batch, isLive: live, expire: do}
	l.fire = func() { l.scheduled = false; l.run() }
	return l
}

func (t *timeoutQueue) add(of uint64) {
	t.items.push(timeoutItem{t.env.now + t.timeout, of})
	t.scheduleNext()
}

func (t *timeoutQueue) scheduleNext() {
	if !t.scheduled && t.items.len() > 0 {
		t.scheduled = true
		t.env.schedule(t.items.first().at+t.batch, t.fire)
	}
}

func (t *timeoutQueue) run() {
	for t.items.len() > 0 {
		i := *t.items.first()
		live := t.isLive == nil || t.isLive(i.subject)
		if live && i.at > t.env.now {
			break
		}
		t.items.pop()
		if live {
			t.expire(i.subject)
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
	var none T
	q.items[q.start] = none
	if q.start++; q.start > 64 && q.start > len(q.items)/2 {
		n := copy(q.items, q.items[q.start:])
		clear(q.items[n:])
		q.items, q.start = q.items[:n], 0
	}
}
