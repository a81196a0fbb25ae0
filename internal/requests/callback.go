package requests

import (
	"errors"

	"valvecove/dispatch"
)

// Callback is a worker's message about the attempt that it has of a call. It names no attempt, and the worker repeats
// it until it is answered.
type Callback struct {
	CallID     string  `json:"id"`
	EndpointID string  `json:"from"`
	State      string  `json:"state"`
	Progress   float64 `json:"share"`  // from 0 to 1, of the state CallbackRunning
	Result     *string `json:"result"` // of the state CallbackDone
}

// States of a callback.
const (
	CallbackStarted  = "started"
	CallbackRunning  = "running"
	CallbackDone     = "done"
	CallbackFailed   = "failed"
	CallbackReturned = "returned" // handed back unstarted
	CallbackLost     = "lost"     // the worker has lost it, possibly executed
)

// ErrInvalidCallback rejects a callback that lacks a field or has an unknown state.
var ErrInvalidCallback = errors.New("invalid callback: needs id, from, a known state and, once done, a result")

// isValid reports whether the callback is complete. Only a worker's own result may be passed on to a client, so a
// callback that is done without one is not valid.
func (c *Callback) isValid() bool {
	if c.CallID == "" || c.EndpointID == "" {
		return false
	}
	switch c.State {
	case CallbackStarted, CallbackRunning, CallbackFailed, CallbackReturned, CallbackLost:
		return true
	case CallbackDone:
		return c.Result != nil
	}
	return false
}

// HandleCallback takes a worker's callback. known is false if it is about no attempt in flight; that is not an error:
// it was repeated, or belongs to an earlier process of this scheduler. A callback may come before the worker has
// accepted the attempt. The error is ErrInvalidCallback or nil.
func (t *Table) HandleCallback(callback Callback) (known bool, err error) {
	if !callback.isValid() {
		return false, ErrInvalidCallback
	}
	attempt := t.inFlight[attemptKey{callback.CallID, callback.EndpointID}]
	t.notify(Notification{Kind: CallbackReceived, Attempt: attempt, Callback: &callback})
	if attempt == nil {
		return false, nil
	}
	job, number, worker := attempt.Request.ID, attempt.Number, attempt.Worker
	switch callback.State {
	case CallbackStarted:
		t.addEvent(dispatch.Started{Job: job, Attempt: number, Worker: worker})
	case CallbackRunning:
		t.addEvent(dispatch.Progressed{Job: job, Attempt: number, Worker: worker, Share: callback.Progress})
	case CallbackDone:
		t.EndAttempt(attempt, []byte(*callback.Result), nil)
	case CallbackFailed:
		t.endByCallback(attempt, ReasonWorkerError)
	case CallbackReturned:
		t.endByCallback(attempt, ReasonRejected)
	case CallbackLost:
		t.endByCallback(attempt, ReasonConnectionLost)
	}
	return true, nil
}

// endByCallback ends an attempt without a result, as its worker says. Where the callback may be about an earlier
// attempt at the same endpoint, it is ignored: this one may still run, and the request would be sent elsewhere
// meanwhile.
func (t *Table) endByCallback(attempt *Attempt, reason Reason) {
	if attempt.ambiguousCallbacks {
		return
	}
	request := attempt.Request
	request.endedByCallback = append(request.endedByCallback, attempt.EndpointID)
	t.EndAttempt(attempt, nil, &AttemptError{Stage: StageAccepted, Reason: reason})
}
