package server

import (
	"errors"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/scheduler"
)

// After SIGTERM new connections still come for a moment, and clients keep using those that they have. SIGKILL comes no
// sooner than the longest client timeout, of which maxDrain counts at most, and killMargin more. A request that comes later
// than killMargin after SIGTERM must be answered before that.
const (
	maxDrain   = 3 * time.Second
	killMargin = 700 * time.Millisecond
)

// Steps of the drain, by the time that is left until SIGKILL. The process may be held up for 0.15 s when SIGTERM comes, and again
// when a step is due: all answers are written by then all the same.
const (
	closeBeforeKill        = 1100 * time.Millisecond // a request that comes later would hardly be served in time
	rejectQueuedBeforeKill = 500 * time.Millisecond  // what came late, or was never sent, is answered
	finishAllBeforeKill    = 350 * time.Millisecond  // whatever is still open is answered
)

// drainSchedule is when the steps of a drain are taken, counted from SIGTERM.
type drainSchedule struct {
	closeAt        time.Duration // connections between requests are closed, and no request is admitted any more
	rejectQueuedAt time.Duration
	lateSince      time.Duration // what came later than this is answered with what is queued
	finishAllAt    time.Duration
	endAt          time.Duration // the process ends; SIGKILL comes no sooner
}

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
	// handOverLinger is how long a replaced process stays, for operators' calls that are under way.
	handOverLinger = 500 * time.Millisecond
	// handOverRetryDelay is how long a hand-over waits for state that is not settled yet.
	handOverRetryDelay = time.Millisecond
)

// KillDelay returns how long after SIGTERM a scheduler stays, which is when SIGKILL comes at the earliest.
func KillDelay(settings config.Settings) time.Duration {
	delay := killMargin
	for _, class := range settings.Classes {
		delay = max(delay, killMargin+min(class.ClientTimeout, maxDrain))
	}
	return delay
}

// stop begins to drain, or ends a process in standby. It does so once: a second SIGTERM must not begin the drain
// anew.
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

// drain serves on for as long as there is time to, and sees to it that nothing is left unanswered.
func (s *server) drain() { newDrainSchedule(s.conf.Settings).run(s.scheduler, s.finish) }

// drainable is what a drain needs of a scheduler. *scheduler.Scheduler implements it.
type drainable interface {
	After(span time.Duration, act func()) *eventloop.Timer
	Drain()
	Close()
	RejectQueued()
	FinishRequestsSince(span time.Duration)
	FinishAllRequests()
}

// run takes the steps, the first one at once.
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
		drained.Close() // of connections that have come since, too: what comes on one that stays open may meet SIGKILL
	})
	// Until then it stays even with nothing in flight. One that has ended looks like one that has died: the load balancer
	// takes seconds to notice, and clients go on to try it. One that is there answers 503.
	drained.After(d.endAt, end)
}

// finish has the loop end once it is quiet.
func (s *server) finish() { s.advance(finished) }

// handOver gives all state to the process that is to replace this one, if one is in standby. If the transfer fails, this process continues to drain.
func (s *server) handOver() {
	err := s.scheduler.Relinquish()
	switch {
	case err == nil:
		s.scheduler.After(handOverLinger, s.finish)
	case errors.Is(err, scheduler.ErrNotSettled):
		s.scheduler.After(handOverRetryDelay, s.handOver)
	case !errors.Is(err, scheduler.ErrNoSuccessor):
		s.logger.Error("transfer to successor failed", "error", err)
	}
}
