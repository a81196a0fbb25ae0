package planner

import (
	"time"

	"valvecove/dispatch"
)

// attemptState is the state of an attempt. An attempt passes through the states in this order, and may skip some.
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
	attemptCommanded attemptState = iota // its send command is sent, and the forwarder has not reported on it
	attemptConfirmed                     // the forwarder has reported it
	attemptEnded
)

// attempt is one sending of a request to a worker.
type attempt struct {
	state     attemptState
	worker    *worker
	sentAt    time.Duration
	startedAt time.Duration // 0: no start was reported
	result    dispatch.Result
}

func (a *attempt) inFlight() bool { return a.state != attemptEnded }

// advanceTo moves the attempt to a state, if that is later than its present one.
func (a *attempt) advanceTo(state attemptState) { a.state = max(a.state, state) }

// confirmStart records that the worker has started to execute the attempt. Only the first start counts.
func (a *attempt) confirmStart(now time.Duration) {
	a.advanceTo(attemptConfirmed)
	if a.startedAt == 0 {
		a.startedAt = now
	}
}

// knownResult returns a result. One that this build doesn't know is replaced by one that leaves open whether the attempt
// was executed.
func knownResult(result dispatch.Result) dispatch.Result {
	if result < dispatch.OK || result > dispatch.NotSent {
		return dispatch.ConnectionReset
	}
	return result
}

// provesNotExecuted reports whether a result proves that the worker has not executed the attempt, and will not.
func provesNotExecuted(result dispatch.Result) bool {
	switch result {
	case dispatch.WorkerFull, dispatch.ConnectFailed, dispatch.NotSent:
		return true
	}
	return false
}
