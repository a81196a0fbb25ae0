package dispatch

import "time"

// timer is a point in time at which the dispatcher acts without an event. Each timer is a field of the object
// that it belongs to, and is set at most once at a time.
type timer struct {
	at        time.Duration
	heapIndex int // in the heap, plus one; 0: not set
	purpose   timerPurpose
	job       *jobInfo
	attempt   *attemptInfo
	worker    *workerInfo
	lease     *leaseInfo
}

// timerPurpose says what a timer is for. Snapshots hold the numbers.
type timerPurpose int

const (
	reviewQueue timerPurpose = iota // only runs the dispatch cycle that ends each step
	runMaintenance
	jobDeadline
	jobObjective
	attemptOverdue
	workerAvailable
	leaseOverdue
)

// timerQueue holds the timers that are set. The caller has a single timer, which is set for the first of
// them.
type timerQueue struct {
	heap     minHeap[*timer]
	callerAt time.Duration // when the caller's timer is due; 0: it has none
}

func newTimerQueue() timerQueue {
	return timerQueue{heap: minHeap[*timer]{
		less:  func(a, b *timer) bool { return a.at < b.at },
		moved: func(t *timer, i int) { t.heapIndex = i + 1 },
	}}
}

// set sets a timer, or moves one that is set. It fires after now even if at is earlier.
func (q *timerQueue) set(t *timer, at, now time.Duration) {
	t.at = max(at, now+1)
	if t.heapIndex > 0 {
		q.heap.fix(t.heapIndex - 1)
	} else {
		q.heap.push(t)
	}
}

// cancel unsets a timer, if it is set.
func (q *timerQueue) cancel(t *timer) {
	if t.heapIndex > 0 {
		q.heap.remove(t.heapIndex - 1)
	}
}

// popDue removes and returns the first timer if it is due, else nil. The queue must not be empty.
func (q *timerQueue) popDue(now time.Duration) *timer {
	if q.heap.first().at > now {
		return nil
	}
	return q.heap.pop()
}

// dropCallerTimer clears the caller's timer once it is due.
func (q *timerQueue) dropCallerTimer(now time.Duration) {
	if q.callerAt <= now {
		q.callerAt = 0
	}
}

// nextCallerTimer reports whether the caller has to set its timer, and to which time. The queue must not be
// empty.
func (q *timerQueue) nextCallerTimer() (at time.Duration, ok bool) {
	next := q.heap.first().at
	if q.callerAt != 0 && next >= q.callerAt {
		return 0, false
	}
	q.callerAt = next
	return next, true
}

// setTimer sets a timer, or moves one that is set. It does not fire within this step.
func (d *Dispatcher) setTimer(t *timer, at time.Duration) { d.timers.set(t, at, d.now) }

func (d *Dispatcher) cancelTimer(t *timer) { d.timers.cancel(t) }

// bindTimers makes a job's timers refer to it.
func (j *jobInfo) bindTimers() {
	j.deadlineTimer = timer{purpose: jobDeadline, job: j}
	j.objectiveTimer = timer{purpose: jobObjective, job: j}
	j.checksTimer = timer{purpose: reviewQueue, job: j}
}
