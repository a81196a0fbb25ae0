package requests

import (
	"errors"

	"valvecove/dispatch"
)

// Callback is a worker's message about an attempt. It identifies the attempt by call ID and endpoint ID only, so attempts of
// one request at the same endpoint can't be distinguished. The worker repeats the callback until it gets a response.
type Callback struct {
	CallID     string  `json:"id"`
	EndpointID string  `json:"from"`
	State      string  `json:"state"`
	Progress   float64 `json:"share"`  // from 0 to 1, if the state is CallbackRunning
	Result     *string `json:"result"` // if the state is CallbackDone, else nil
}

// States of a callback.
const (
	CallbackStarted  = "started"
	CallbackRunning  = "running"
	CallbackDone     = "done"
	CallbackFailed   = "failed"
	CallbackReturned = "returned" // not executed
	CallbackLost     = "lost"     // possibly executed
)

// ErrInvalidCallback is returned for a callback that lacks a required field or has an unknown state.
var ErrInvalidCallback = errors.New("invalid callback: needs id, from, a known state and, once done, a result")

// isValid reports whether all required fields are set. Only a worker's own result may be sent to a client, so the state
// CallbackDone requires one.
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

// HandleCallback handles a worker's callback. known is false if it matches no attempt in flight, which is not an error: the
// callback may be a repeated one, or be about an attempt of an earlier process of this scheduler. A callback may be received
// before the worker has accepted the attempt. The error is ErrInvalidCallback or nil.
func (t *Table) HandleCallback(callback Callback) (known bool, err error) {
	if !callback.isValid() {
		return false, ErrInvalidCallback
	}
	attempt := t.attempts.find(attemptKey{callback.CallID, callback.EndpointID})
	t.observers.notify(Notification{Kind: CallbackReceived, Attempt: attempt, Callback: &callback})
	if attempt == nil {
		return false, nil
	}
	job := attempt.Request.ID
	switch callback.State {
	case CallbackStarted:
		t.policy.addEvent(dispatch.Started{Job: job, Attempt: attempt.Number, Worker: attempt.Worker})
	case CallbackRunning:
		t.policy.addEvent(dispatch.Progressed{Job: job, Attempt: attempt.Number, Worker: attempt.Worker, Share: callback.Progress})
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

// endByCallback ends an attempt without a result because of a callback. If the callback may be about an earlier attempt at the
// same endpoint, it is ignored: otherwise the request could be sent to another worker while this attempt still runs.
func (t *Table) endByCallback(attempt *Attempt, reason Reason) {
	if attempt.ambiguousCallbacks {
		return
	}
	request := attempt.Request
	request.endedByCallback = append(request.endedByCallback, attempt.EndpointID)
	t.EndAttempt(attempt, nil, &AttemptError{Stage: StageAccepted, Reason: reason})
}
