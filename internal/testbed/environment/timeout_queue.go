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

func (l *timeoutQueue) add(of uint64) {
	l.items.push(timeoutItem{l.env.now + l.timeout, of})
	l.scheduleNext()
}

func (l *timeoutQueue) scheduleNext() {
	if !l.scheduled && l.items.len() > 0 {
		l.scheduled = true
		l.env.schedule(l.items.first().at+l.batch, l.fire)
	}
}

func (l *timeoutQueue) run() {
	for l.items.len() > 0 {
		i := *l.items.first()
		live := l.isLive == nil || l.isLive(i.subject)
		if live && i.at > l.env.now {
			break
		}
		l.items.pop()
		if live {
			l.expire(i.subject)
		}
	}
	l.scheduleNext()
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
