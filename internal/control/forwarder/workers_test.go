package forwarder

import (
	"time"

	"valvecove/internal/requests"
)

// States in the callbacks of workers.
const (
	callbackStarted  = "started"
	callbackRunning  = "running"
	callbackDone     = "done"
	callbackReturned = "returned" // the worker did not execute the request
)

// attemptStarted checks and records a new attempt, and schedules what its worker does with it.
func (e *environment) attemptStarted(attempt *requests.Attempt) {
	request := e.requestsByID[attempt.Request.ID]
	endpoint := e.listed[attempt.Worker]
	e.sent++
	e.checkSend(request, attempt.Worker, &endpoint)
	checked := &checkedAttempt{
		attempt: attempt,
		worker:  attempt.Worker,
		cell:    endpoint.Cell,
		zone:    endpoint.Zone,
		sentAt:  e.now,
	}
	request.attempts = append(request.attempts, checked)
	e.runAttempt(checked, endpoint.ID)
}

// runAttempt draws a random outcome of an attempt and schedules it.
func (e *environment) runAttempt(checked *checkedAttempt, endpointID string) {
	const connectFails, connectionLost, rejected, silent, sometimesInvalid, outcomes = 0, 1, 2, 3, 4, 9
	attempt := checked.attempt
	outcome := e.rng.IntN(outcomes)
	if e.faultless {
		outcome = outcomes - 1
	}
	if outcome != connectFails {
		attempt.Stage = requests.StageWritten
	}
	switch outcome {
	case connectFails:
		e.failAttempt(checked, 10, true, requests.StageNotConnected, requests.ReasonConnectionLost)
	case connectionLost:
		e.failAttempt(checked, 60, false, requests.StageWritten, requests.ReasonConnectionLost)
	case rejected:
		e.failAttempt(checked, 10, true, requests.StageWritten, requests.ReasonRejected)
	case silent:
	case sometimesInvalid:
		if e.rng.IntN(6) == 0 {
			e.failAttempt(checked, 10, true, requests.StageWritten, requests.ReasonInvalidRequest)
			return
		}
		e.acceptAttempt(checked, endpointID)
	default:
		e.acceptAttempt(checked, endpointID)
	}
}

// failAttempt schedules the failure of an attempt after a random time of up to within ms.
func (e *environment) failAttempt(checked *checkedAttempt, within int, notExecuted bool, stage requests.Stage,
	reason requests.Reason,
) {
	e.endAttempt(checked, e.randomDuration(0, within), notExecuted, func() {
		e.table.EndAttempt(checked.attempt, nil, &requests.AttemptError{Stage: stage, Reason: reason})
	})
}

// acceptAttempt marks an attempt as accepted, and schedules the callbacks that report its start, progress and end.
func (e *environment) acceptAttempt(checked *checkedAttempt, endpointID string) {
	checked.attempt.Stage = requests.StageAccepted
	callID := checked.attempt.Request.CallID
	startAfter, runFor := e.randomDuration(0, 60), e.randomDuration(1, 250)
	e.after(startAfter, func() { e.sendCallback(callID, endpointID, callbackStarted) })
	e.after(startAfter+runFor/2, func() { e.sendCallback(callID, endpointID, callbackRunning) })
	lastStates := []string{"failed", callbackReturned, "lost", callbackDone, callbackDone, callbackDone}
	last := lastStates[e.rng.IntN(len(lastStates))]
	if e.faultless {
		last = callbackDone
	}
	e.endAttempt(checked, startAfter+runFor, last == callbackReturned, func() {
		e.sendCallback(callID, endpointID, last)
	})
}

// endAttempt schedules the end of an attempt, unless it ends before. The request table may attribute the callback to an earlier
// attempt at the same worker; this attempt then stays in flight.
func (e *environment) endAttempt(checked *checkedAttempt, delay time.Duration, notExecuted bool, end func()) {
	attempt := checked.attempt
	e.after(delay, func() {
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

func (e *environment) sendCallback(callID, endpointID, state string) {
	callback := requests.Callback{CallID: callID, EndpointID: endpointID, State: state, Progress: 0.5, Result: new(string)}
	if _, err := e.table.HandleCallback(callback); err != nil {
		panic(err)
	}
}

// attemptAbandoned records that the request table has abandoned an attempt. The worker may still be executing it.
func (e *environment) attemptAbandoned(attempt *requests.Attempt) {
	for _, checked := range e.requestsByID[attempt.Request.ID].attempts {
		if checked.attempt == attempt {
			checked.ended = true
			// The request was closed before the attempt's last byte was written.
			isRecalled := attempt.Request.IsClosed() && attempt.Stage < requests.StageWritten
			checked.notExecuted = checked.notExecuted || isRecalled
		}
	}
}

func (e *environment) answerHealthCheck(worker uint64) {
	e.after(e.randomDuration(0, 20), func() { e.table.HealthChecked(worker, nil) })
}

// answerWatch answers a subscription with the full list, or fails it.
func (e *environment) answerWatch(int64) {
	e.after(e.randomDuration(0, 30), func() {
		if e.rng.IntN(4) == 0 && !e.faultless {
			e.table.DiscoveryFailed()
		} else {
			e.sendFullList()
		}
	})
}

// revisionOf returns the revision of the list that last contained an endpoint. It is stored in the endpoint's weight, which these
// tests don't use otherwise.
func revisionOf(endpoint *requests.Endpoint) int64 { return int64(endpoint.Weight) }

// sendFullList sends the request table a list of all workers.
func (e *environment) sendFullList() {
	e.revision++
	clear(e.listed)
	list := requests.EndpointList{Reset: true, Revision: e.revision}
	for i := range e.workers {
		e.workers[i].Weight = float64(e.revision)
		if e.workers[i].Lifecycle != "removed" {
			list.Endpoints = append(list.Endpoints, e.workers[i])
			e.listed[workerID(e.workers[i].ID)] = e.workers[i]
		}
	}
	e.table.UpdateEndpoints(list)
}

// changeWorker changes a random worker, and sends the change to the request table as a delta.
func (e *environment) changeWorker() {
	e.revision++
	endpoint := &e.workers[e.rng.IntN(len(e.workers))]
	switch e.rng.IntN(4) {
	case 0:
		endpoint.Lifecycle = "draining"
	case 1:
		endpoint.Lifecycle = "removed"
	case 2: // a restart of the worker
		endpoint.Lifecycle = "up"
		endpoint.StartedAtMs = e.now.Milliseconds()
	default:
		endpoint.Lifecycle = "up"
	}
	endpoint.Weight = float64(e.revision)
	e.listed[workerID(endpoint.ID)] = *endpoint
	e.table.UpdateEndpoints(requests.EndpointList{Revision: e.revision, Endpoints: []requests.Endpoint{*endpoint}})
	if e.onWorkerChanged != nil {
		e.onWorkerChanged(*endpoint)
	}
}

// scheduleListChange schedules a change of the list or the loss of the subscription, which in turn schedules the next one.
func (e *environment) scheduleListChange() {
	e.after(e.randomDuration(20, 400), func() {
		if e.stopped {
			return
		}
		switch e.rng.IntN(8) {
		case 0:
			e.table.DiscoveryFailed()
		case 1:
			e.sendFullList()
		default:
			e.changeWorker()
		}
		e.scheduleListChange()
	})
}
