// Package asyncwriter runs tasks that may block or fail, such as writes to standard error or a disk, without blocking the caller.
// Each queue has one goroutine, which runs its tasks in order. Tasks beyond the bound of a queue are dropped and counted. Tasks
// are not retried and not reordered.
package asyncwriter

import (
	"sync"
	"sync/atomic"
	"time"
)

// Queue runs tasks in order on its own goroutine. The size of its pending tasks is bounded. It is safe for concurrent use.
type Queue struct {
	maxBytes int
	wake     chan struct{} // contains at most one signal: there may be a task to run, or the queue was closed
	done     chan struct{} // closed once the last task has run
	dropped  atomic.Uint64
	failed   atomic.Uint64

	mu           sync.Mutex
	tasks        []task // not started yet
	pendingBytes int    // size of the tasks that have not ended, except large ones
	hasLarge     bool   // there is a large task that has not ended
	closed       bool
}

// task is a function, and the size that counts against the bound of the queue.
type task struct {
	size  int  // in bytes; 0 for a large task
	large bool // does not count against the bound
	run   func() error
}

// NewQueue returns a queue whose pending tasks, except large ones, have at most maxBytes bytes. Close ends its goroutine.
func NewQueue(maxBytes int) *Queue {
	q := &Queue{maxBytes: maxBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Enqueue adds a task that counts as size bytes until it has ended. It returns false, and counts the task as dropped, if that
// would exceed the bound or the queue is closed.
func (q *Queue) Enqueue(size int, run func() error) bool {
	return q.enqueue(task{size: size, run: run})
}

// EnqueueLarge adds a task that does not count against the bound. There may be only one such task at a time: it returns false,
// and counts the task as dropped, if another one has not ended or the queue is closed.
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

// signal wakes the goroutine, or makes its next wait return at once.
func (q *Queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of tasks that were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Failed returns the number of tasks that returned an error.
func (q *Queue) Failed() uint64 { return q.failed.Load() }

// Close makes the queue reject further tasks, and waits until all have ended, or until the timeout.
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
		q.tasks = nil // releases the memory that a burst of tasks has used
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
