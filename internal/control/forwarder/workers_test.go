package forwarder

import (
	"time"

	"valvecove/internal/requests"
)

// States of callbacks that a worker sends.
const (
	callbackStarted  = "started"
	callbackRunning  = "running"
	callbackDone     = "done"
	callbackReturned = "returned" // not executed
)

// attemptStarted has a worker work on an attempt.
func (env *environment) attemptStarted(attempt *requests.Attempt) {
	request := env.requestsByID[attempt.Request.ID]
	endpoint := env.listed[attempt.Worker]
	env.sent++
	env.checkSend(request, attempt.Worker, &endpoint)
	checked := &checkedAttempt{
		attempt: attempt,
		worker:  attempt.Worker,
		cell:    endpoint.Cell,
		zone:    endpoint.Zone,
		sentAt:  env.now,
	}
	request.attempts = append(request.attempts, checked)
	env.runAttempt(checked, endpoint.ID)
}

// runAttempt draws the course of an attempt at its worker.
func (env *environment) runAttempt(checked *checkedAttempt, endpointID string) {
	const connectFails, connectionLost, rejected, silent, sometimesInvalid, outcomes = 0, 1, 2, 3, 4, 9
	attempt := checked.attempt
	outcome := env.rng.IntN(outcomes)
	if env.faultless {
		outcome = outcomes - 1
	}
	if outcome != connectFails {
		attempt.Stage = requests.StageWritten
	}
	switch outcome {
	case connectFails:
		env.failAttempt(checked, 10, true, requests.StageNotConnected, requests.ReasonConnectionLost)
	case connectionLost:
		env.failAttempt(checked, 60, false, requests.StageWritten, requests.ReasonConnectionLost)
	case rejected:
		env.failAttempt(checked, 10, true, requests.StageWritten, requests.ReasonRejected)
	case silent:
	case sometimesInvalid:
		if env.rng.IntN(6) == 0 {
			env.failAttempt(checked, 10, true, requests.StageWritten, requests.ReasonInvalidRequest)
			return
		}
		env.acceptAttempt(checked, endpointID)
	default:
		env.acceptAttempt(checked, endpointID)
	}
}

// failAttempt has an attempt fail within some ms.
func (env *environment) failAttempt(checked *checkedAttempt, within int, notExecuted bool, stage requests.Stage,
	reason requests.Reason,
) {
	env.endAttempt(checked, env.randomDuration(0, within), notExecuted, func() {
		env.table.EndAttempt(checked.attempt, nil, &requests.AttemptError{Stage: stage, Reason: reason})
	})
}

// acceptAttempt has an attempt accepted, started, and ended by callbacks.
func (env *environment) acceptAttempt(checked *checkedAttempt, endpointID string) {
	checked.attempt.Stage = requests.StageAccepted
	callID := checked.attempt.Request.CallID
	startAfter, runFor := env.randomDuration(0, 60), env.randomDuration(1, 250)
	env.after(startAfter, func() { env.sendCallback(callID, endpointID, callbackStarted) })
	env.after(startAfter+runFor/2, func() { env.sendCallback(callID, endpointID, callbackRunning) })
	lastStates := []string{"failed", callbackReturned, "lost", callbackDone, callbackDone, callbackDone}
	last := lastStates[env.rng.IntN(len(lastStates))]
	if env.faultless {
		last = callbackDone
	}
	env.endAttempt(checked, startAfter+runFor, last == callbackReturned, func() {
		env.sendCallback(callID, endpointID, last)
	})
}

// endAttempt has an attempt end later, if it has not ended by then. A callback may be taken for one of an earlier attempt at
// the worker: then the attempt is in flight still, as far as anybody knows.
func (env *environment) endAttempt(checked *checkedAttempt, delay time.Duration, notExecuted bool, end func()) {
	attempt := checked.attempt
	env.after(delay, func() {
		if checked.ended || attempt.HasEnded() {
			return
		}
		checked.ended = true
		checked.notExecuted = notExecuted
		end()
		if !attempt.HasEnded() {
			checked.ended = false
			checked.notExecuted = false
		}
	})
}

func (env *environment) sendCallback(callID, endpointID, state string) {
	callback := requests.Callback{CallID: callID, EndpointID: endpointID, State: state, Progress: 0.5, Result: new(string)}
	if _, err := env.table.HandleCallback(callback); err != nil {
		panic(err)
	}
}

// attemptAbandoned records that the request table has abandoned an attempt. The worker may still be executing it.
func (env *environment) attemptAbandoned(attempt *requests.Attempt) {
	for _, checked := range env.requestsByID[attempt.Request.ID].attempts {
		if checked.attempt == attempt {
			checked.ended = true
			isRecalled := attempt.Request.IsClosed() && attempt.Stage < requests.StageWritten // before its last byte was written
			checked.notExecuted = checked.notExecuted || isRecalled
		}
	}
}

func (env *environment) answerHealthCheck(worker uint64) {
	env.after(env.randomDuration(0, 20), func() { env.table.HealthChecked(worker, nil) })
}

// answerWatch has the list come, or get lost.
func (env *environment) answerWatch(int64) {
	env.after(env.randomDuration(0, 30), func() {
		if env.rng.IntN(4) == 0 && !env.faultless {
			env.table.DiscoveryFailed()
		} else {
			env.sendFullList()
		}
	})
}

// revisionOf returns the revision of the list that last named an endpoint. It is kept in its weight, which nothing else uses
// here.
func revisionOf(endpoint *requests.Endpoint) int64 { return int64(endpoint.Weight) }

// sendFullList sends the forwarder a list of all workers.
func (env *environment) sendFullList() {
	env.revision++
	clear(env.listed)
	list := requests.EndpointList{Reset: true, Revision: env.revision}
	for i := range env.workers {
		env.workers[i].Weight = float64(env.revision)
		if env.workers[i].Lifecycle != "removed" {
			list.Endpoints = append(list.Endpoints, env.workers[i])
			env.listed[workerID(env.workers[i].ID)] = env.workers[i]
		}
	}
	env.table.UpdateEndpoints(list)
}

// changeWorker changes a worker, and sends the forwarder the change.
func (env *environment) changeWorker() {
	env.revision++
	endpoint := &env.workers[env.rng.IntN(len(env.workers))]
	switch env.rng.IntN(4) {
	case 0:
		endpoint.Lifecycle = "draining"
	case 1:
		endpoint.Lifecycle = "removed"
	case 2: // it has been restarted
		endpoint.Lifecycle = "up"
		endpoint.StartedAtMs = env.now.Milliseconds()
	default:
		endpoint.Lifecycle = "up"
	}
	endpoint.Weight = float64(env.revision)
	env.listed[workerID(endpoint.ID)] = *endpoint
	env.table.UpdateEndpoints(requests.EndpointList{Revision: env.revision, Endpoints: []requests.Endpoint{*endpoint}})
	if env.onWorkerChanged != nil {
		env.onWorkerChanged(*endpoint)
	}
}

// scheduleListChange has the list change later, or get lost, and then change again.
func (env *environment) scheduleListChange() {
	env.after(env.randomDuration(20, 400), func() {
		if env.stopped {
			return
		}
		switch env.rng.IntN(8) {
		case 0:
			env.table.DiscoveryFailed()
		case 1:
			env.sendFullList()
		default:
			env.changeWorker()
		}
		env.scheduleListChange()
	})
}
