package planner

import (
	"time"

	"valvecove/dispatch"
)

// attemptState is the state of an attempt. Attempts advance through the states in order and may skip some.
type attemptState uint8

func (a attemptState) String() string {
	switch a {
	case attemptCommanded:
		return "commanded"
	case attemptConfirmed:
		return "confirmed"
	case attemptEnded:
		return "ended"
	}
	return "unknown"
}

const (
	attemptCommanded attemptState = iota // the send command was sent; the forwarder has not reported the attempt yet
	attemptConfirmed                     // the forwarder has reported it
	attemptEnded
)

// attempt records one send of a request to a worker.
type attempt struct {
	state     attemptState
	worker    *worker
	sentAt    time.Duration
	startedAt time.Duration // 0 if no start was reported
	result    dispatch.Result
}

func (a *attempt) inFlight() bool { return a.state != attemptEnded }

// advanceTo moves the attempt to a state unless it is already in that state or a later one.
func (a *attempt) advanceTo(state attemptState) { a.state = max(a.state, state) }

// confirmStart records that the worker has started to execute the attempt. Repeated reports keep the first start time.
func (a *attempt) confirmStart(now time.Duration) {
	a.advanceTo(attemptConfirmed)
	if a.startedAt == 0 {
		a.startedAt = now
	}
}

// normalizeResult returns the result unchanged if this build defines it. Otherwise it returns ConnectionReset, which leaves open
// whether the attempt was executed.
func normalizeResult(result dispatch.Result) dispatch.Result {
	if result < dispatch.OK || result > dispatch.NotSent {
		return dispatch.ConnectionReset
	}
	return result
}

// provesNotExecuted reports whether a result proves that the worker has not executed the attempt and never will.
func provesNotExecuted(result dispatch.Result) bool {
	switch result {
	case dispatch.WorkerFull, dispatch.ConnectFailed, dispatch.NotSent:
		return true
	}
	return false
}
