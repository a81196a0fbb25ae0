package checker

import (
	"time"

	"valvecove/internal/testbed/trace"
)

// This file updates the history of workers and schedulers, event by event.

// newScheduler returns the history of a scheduler before its first process.
func newScheduler() *scheduler {
	return &scheduler{exits: make([]processExit, 1), drainNotifiedAt: map[int]time.Duration{}}
}

// scheduler returns the history of a scheduler by its index, and begins it if there is none.
func (c *Checker) scheduler(index int) *scheduler {
	for index >= len(c.schedulers) {
		c.schedulers = append(c.schedulers, newScheduler())
	}
	return c.schedulers[max(index, 0)]
}

// fleetEvent handles a trace event of the fleet, of a process or of the testbed itself.
func (c *Checker) fleetEvent(event *trace.Event) {
	switch event.Kind {
	case trace.ResourceUsage:
		if event.Scheduler >= 0 {
			c.checkUsage(event)
		}
		return
	case trace.TestbedLate:
		c.maxLateness = max(c.maxLateness, event.Lateness)
		if event.Lateness >= c.observationLateness() {
			c.recentLateness = lateness{event.At, event.Lateness}
		}
		return
	}
	c.recordFleetEvent(event)
	c.schedulerEvent(event)
}

// schedulerEvent handles an event of a scheduler's process, or of what it was notified of.
func (c *Checker) schedulerEvent(event *trace.Event) {
	scheduler := c.scheduler(event.Scheduler)
	switch event.Kind {
	case trace.DrainNotified:
		if _, known := scheduler.drainNotifiedAt[event.Worker]; !known {
			scheduler.drainNotifiedAt[event.Worker] = event.At
		}
	case trace.StartNotified:
		delete(scheduler.drainNotifiedAt, event.Worker)
	case trace.SchedulerStarted:
		scheduler.start()
	case trace.SchedulerTerminated:
		scheduler.terminatedAt = event.At
	case trace.SchedulerKilled:
		scheduler.end(processExit{exitedAt: event.At, terminatedAt: scheduler.terminatedAt, killed: true})
	case trace.SchedulerExited:
		c.checkCounts[ruleCrash]++
		if scheduler.terminatedAt == 0 {
			c.report(ruleCrash, nil, "", "scheduler %d ended by itself with status %d, without SIGTERM", event.Scheduler,
				event.Status)
		}
		scheduler.end(processExit{exitedAt: event.At, terminatedAt: scheduler.terminatedAt})
	case trace.SchedulerFrozen:
		scheduler.thaw(event.At)
		scheduler.freezes = append(scheduler.freezes, interval{event.At, forever})
	case trace.SchedulerResumed:
		scheduler.thaw(event.At)
	}
}

// start begins the history of a new process.
func (s *scheduler) start() {
	if s.up || s.exits[s.incarnation].exitedAt > 0 {
		s.exits = append(s.exits, processExit{})
		s.incarnation++
	}
	s.up = true
	s.terminatedAt = 0
	s.overLimits = false
	clear(s.drainNotifiedAt)
}

// end ends the history of the current process.
func (s *scheduler) end(exit processExit) {
	if s.exits[s.incarnation].exitedAt == 0 {
		s.exits[s.incarnation] = exit
	}
	s.up = false
	s.thaw(exit.exitedAt)
}
