// Package asyncwriter hands work to something that may be slow or gone, such as standard error or a disk, without ever
// waiting for it. It owns one goroutine per queue, which runs tasks in order; what does not fit is dropped and counted. It
// never retries and never reorders.
package asyncwriter

import (
	"sync"
	"sync/atomic"
	"time"
)

// Queue runs tasks in order on a goroutine of its own. It is bounded in bytes and safe for concurrent use.
type Queue struct {
	maxBytes int
	wake     chan struct{} // holds one signal at most: there may be something to run, or the queue was closed
	done     chan struct{} // closed once the last task has run
	dropped  atomic.Uint64
	failed   atomic.Uint64

	mu           sync.Mutex
	tasks        []task // not begun yet
	pendingBytes int    // of tasks that have not ended
	hasLarge     bool   // a large task has not ended
	closed       bool
}

// task is a piece of work, and what it counts against the bound.
type task struct {
	size  int
	large bool
	run   func() error
}

// NewQueue returns a queue whose tasks, large ones aside, stand for at most maxBytes bytes. Close ends its goroutine.
func NewQueue(maxBytes int) *Queue {
	q := &Queue{maxBytes: maxBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Enqueue adds a task that stands for size bytes until it has ended. It returns false, and counts the task as dropped, if
// there is no room or the queue is closed.
func (q *Queue) Enqueue(size int, run func() error) bool {
	return q.enqueue(task{size: size, run: run})
}

// EnqueueLarge adds a task whatever its size, but holds one such task at a time. It returns false, and counts the task as
// dropped, if another one has not ended or the queue is closed.
func (q *Queue) EnqueueLarge(run func() error) bool { return q.enqueue(task{large: true, run: run}) }

func (q *Queue) enqueue(added task) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.pendingBytes+added.size > q.maxBytes || added.large && q.hasLarge {
		q.dropped.Add(1)
		return false
	}
	q.tasks = append(q.tasks, added)
	q.pendingBytes += added.size
	q.hasLarge = q.hasLarge || added.large
	q.signal()
	return true
}

// signal wakes the goroutine, now or when it next waits.
func (q *Queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Dropped returns how many tasks were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Failed returns how many tasks returned an error.
func (q *Queue) Failed() uint64 { return q.failed.Load() }

// Close takes no more tasks and waits until all have ended, for timeout at most.
func (q *Queue) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.signal()
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}

// run is the goroutine of the queue.
func (q *Queue) run() {
	defer close(q.done)
	for range q.wake {
		for q.runNext() {
		}
		if q.hasFinished() {
			return
		}
	}
}

// runNext runs the oldest task, and reports whether there was one.
func (q *Queue) runNext() bool {
	next, ok := q.dequeue()
	if !ok {
		return false
	}
	if next.run() != nil {
		q.failed.Add(1)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pendingBytes -= next.size
	if next.large {
		q.hasLarge = false
	}
	return true
}

func (q *Queue) dequeue() (task, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.tasks) == 0 {
		q.tasks = nil // gives up the memory of a burst
		return task{}, false
	}
	next := q.tasks[0]
	q.tasks[0] = task{}
	q.tasks = q.tasks[1:]
	return next, true
}

// hasFinished reports whether the queue is closed and empty.
func (q *Queue) hasFinished() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed && len(q.tasks) == 0
}
