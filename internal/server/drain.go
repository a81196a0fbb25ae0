package server

import (
	"errors"
	"runtime/debug"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/scheduler"
)

// After SIGTERM new connections still arrive for a short time, and clients use their open ones. The platform sends SIGKILL after
// the longest client timeout, limited to maxDrain, plus killMargin. A request that arrives later than killMargin after SIGTERM
// must be responded to before that.
const (
	maxDrain   = 3 * time.Second
	killMargin = 700 * time.Millisecond
)

// Steps of the drain, by the remaining time until SIGKILL. All responses are written in time even if the process is suspended for
// 0.15 s at SIGTERM, and again when a step is due.
const (
	closeBeforeKill        = 1100 * time.Millisecond // a request that arrives later would rarely be served in time
	rejectQueuedBeforeKill = 500 * time.Millisecond  // late requests, and those without attempts, are responded to
	finishAllBeforeKill    = 350 * time.Millisecond  // all open requests are responded to
)

// drainSchedule contains the times of the steps of a drain, relative to SIGTERM.
type drainSchedule struct {
	closeAt        time.Duration // idle connections are closed, and no request is admitted after that
	rejectQueuedAt time.Duration // requests without attempts are rejected
	lateSince      time.Duration // requests that arrived after this are responded to at rejectQueuedAt too
	finishAllAt    time.Duration // all requests are responded to
	endAt          time.Duration // the process ends; SIGKILL is not sent before
}

// newDrainSchedule returns the schedule for the settings of a deployment.
func newDrainSchedule(settings config.Settings) drainSchedule {
	end := KillDelay(settings)
	rejectQueuedAt := end - rejectQueuedBeforeKill
	return drainSchedule{
		closeAt:        min(max(end-closeBeforeKill, end/2), rejectQueuedAt),
		rejectQueuedAt: rejectQueuedAt,
		lateSince:      killMargin,
		finishAllAt:    end - finishAllBeforeKill,
		endAt:          end,
	}
}

const (
	// handOverLinger is how long a replaced process still responds to operators' calls in progress.
	handOverLinger = 500 * time.Millisecond
	// handOverRetryDelay is the delay before a transfer is retried because state could not be transferred yet.
	handOverRetryDelay = time.Millisecond
)

// KillDelay returns the minimum time between SIGTERM and SIGKILL, which is also the duration of a drain.
func KillDelay(settings config.Settings) time.Duration {
	delay := killMargin
	for _, class := range settings.Classes {
		delay = max(delay, killMargin+min(class.ClientTimeout, maxDrain))
	}
	return delay
}

// stop starts the drain, or ends a process in standby. Further calls have no effect: a second SIGTERM must not restart the drain.
func (s *server) stop() {
	if !s.advance(draining) {
		return
	}
	if s.scheduler.LeaveStandby() {
		s.logger.Info("left standby")
		s.advance(finished)
		return
	}
	s.logger.Info("draining")
	s.drain()
	s.handOver()
}

// drain starts a drain according to the settings: requests are served as long as possible, and all are responded to at the end.
func (s *server) drain() { newDrainSchedule(s.conf.Settings).run(s.scheduler, s.finish) }

// drainable is a scheduler that can be drained. *scheduler.Scheduler implements it.
type drainable interface {
	After(span time.Duration, act func()) *eventloop.Timer
	Drain()
	Close()
	RejectQueued()
	FinishRequestsSince(span time.Duration)
	FinishAllRequests()
}

// run executes the first step, and schedules the others.
func (d drainSchedule) run(drained drainable, end func()) {
	drained.Drain()
	drained.After(d.closeAt, drained.Close)
	drained.After(d.rejectQueuedAt, func() {
		if late := d.rejectQueuedAt - d.lateSince; late > 0 {
			drained.FinishRequestsSince(late)
		}
		drained.RejectQueued()
	})
	drained.After(d.finishAllAt, func() {
		drained.FinishAllRequests()
		drained.Close() // again, for connections accepted since the first Close: SIGKILL could lose a request on one of them
	})
	// The process runs until endAt even if no request is open, and responds with 503. If it ended earlier, the load balancer
	// would need seconds to detect that it is down, as after a crash, and clients would still try to connect.
	drained.After(d.endAt, end)
}

// finish ends the event loop once all responses are written.
func (s *server) finish() { s.advance(finished) }

// handOver transfers all state to the successor, if one is in standby. If the transfer fails, this process continues to drain.
func (s *server) handOver() {
	err := s.scheduler.Relinquish()
	switch {
	case err == nil:
		debug.FreeOSMemory() // the successor needs the memory of what it was given
		s.scheduler.After(handOverLinger, s.finish)
	case errors.Is(err, scheduler.ErrNotSettled):
		s.scheduler.After(handOverRetryDelay, s.handOver)
	case !errors.Is(err, scheduler.ErrNoSuccessor):
		s.logger.Error("transfer to successor failed", "error", err)
	}
}
