package starvation

import (
	"time"

	"valvecove/internal/testbed/trace"
)

// scheduler is a scheduler, of which one process runs at a time.
type scheduler struct {
	up           bool
	frozen       bool
	terminating  bool
	startedAt    time.Duration
	resumedAt    time.Duration // 0: its process was never frozen
	known        []knowledge   // by worker; nil: nothing but the workers' first processes
	requests     []*request    // that it received
	open         int           // number of these that are open
	queued       [slotBuckets]int
	overdueCount int   // number of the queued ones that are overdue
	classEnds    []int // by class: executions of whose end this process was notified
	dials        int   // connections of the dial window that are not established
	excused      int   // rejections that these have excused
}

// knowledge is the information from a scheduler's notifications of a worker's start and drain.
type knowledge struct {
	incarnation int // of the last start; 0: the first
	drained     bool
	notifiedAt  time.Duration
}

// dial is a connection that a scheduler began to open.
type dial struct {
	dialedAt  time.Duration
	conn      uint64
	scheduler int
	worker    int
}

// schedulerEvent handles an event of a scheduler's process.
func (c *Checker) schedulerEvent(event *trace.Event) {
	affected := &c.schedulers[event.Scheduler]
	switch event.Kind {
	case trace.SchedulerStarted:
		c.schedulerStarted(affected)
	case trace.SchedulerTerminated:
		affected.terminating = true
	case trace.SchedulerFrozen:
		affected.frozen = true
	case trace.SchedulerResumed:
		affected.frozen = false
		affected.resumedAt = event.At
	case trace.SchedulerKilled, trace.SchedulerExited:
		c.schedulerStopped(affected)
	}
}

// schedulerStarted begins a new process of a scheduler.
func (c *Checker) schedulerStarted(started *scheduler) {
	if !started.up {
		c.running++
	}
	started.up = true
	started.frozen = false
	started.terminating = false
	started.startedAt = c.now
	started.resumedAt = 0
	clear(started.known)
	clear(started.classEnds)
}

// schedulerStopped ends all attempts of a scheduler for it. Those that no worker has read, or that have finished, release their
// workers, too.
func (c *Checker) schedulerStopped(stopped *scheduler) {
	if stopped.up {
		c.running--
	}
	stopped.up = false
	for i := len(stopped.requests) - 1; i >= 0; i-- { // backward: a later request replaces a dropped one
		owner := stopped.requests[i]
		for _, ended := range owner.attempts {
			if ended.finished || !ended.received {
				c.releaseWorker(owner, ended)
			}
			c.endForScheduler(owner, ended)
		}
	}
}

// schedulerNotified records that a scheduler was notified of the start or the drain of a worker.
func (c *Checker) schedulerNotified(event *trace.Event) {
	notified := &c.schedulers[event.Scheduler]
	if notified.known == nil {
		notified.known = make([]knowledge, len(c.workers))
	}
	known := &notified.known[event.Worker]
	known.notifiedAt = event.At
	known.drained = event.Kind == trace.DrainNotified
	if !known.drained {
		known.incarnation = event.Incarnation
	}
}

// knowsWorker reports whether a scheduler was notified of a worker's process, and had time to act on it.
func (s *scheduler) knowsWorker(target *worker, now time.Duration) bool {
	if s.known == nil {
		return target.incarnation <= 1
	}
	known := &s.known[target.number]
	isCurrent := max(known.incarnation, 1) >= target.incarnation
	hadTime := known.notifiedAt == 0 || now-known.notifiedAt >= startupWindow
	return !known.drained && isCurrent && hadTime
}

// isServing reports whether a scheduler's process accepts and dispatches requests.
func (s *scheduler) isServing() bool { return s.up && !s.frozen && !s.terminating }

// isAccountable reports whether a scheduler could have acted during the idle window on what has been queued since an instant.
func (s *scheduler) isAccountable(since, now time.Duration) bool {
	return s.isServing() && now-max(since, s.startedAt+startupWindow, s.resumedAt) >= idleWindow
}

// isSettling reports whether a scheduler was started or resumed so recently that it may reject.
func (s *scheduler) isSettling(now time.Duration) bool {
	return now-s.startedAt < startupWindow || s.resumedAt > 0 && now-s.resumedAt < idleWindow
}

// workerDialed adds a connection that a scheduler began to open.
func (c *Checker) workerDialed(event *trace.Event) {
	c.dialed[event.Conn] = true
	c.schedulers[event.Scheduler].dials++
	c.dials.push(dial{dialedAt: event.At, conn: event.Conn, scheduler: event.Scheduler, worker: event.Worker})
}

// workerConnected handles a connection that was established.
func (c *Checker) workerConnected(event *trace.Event) {
	if c.dialed[event.Conn] {
		c.endDial(event.Conn, event.Scheduler)
	}
}

// checkDials marks workers as unhealthy to which a connection was not established in time.
func (c *Checker) checkDials() {
	for c.dials.size > 0 && c.now-c.dials.first().dialedAt >= dialWindow {
		oldest := c.dials.pop()
		if c.dialed[oldest.conn] {
			c.endDial(oldest.conn, oldest.scheduler)
			c.markUnhealthy(oldest.worker)
		}
	}
}

// endDial removes an unfinished connection of a scheduler.
func (c *Checker) endDial(conn uint64, number int) {
	delete(c.dialed, conn)
	dialer := &c.schedulers[number]
	dialer.dials--
	dialer.excused = min(dialer.excused, dialer.dials)
}
