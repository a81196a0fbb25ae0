package requests

import (
	"errors"

	"valvecove/dispatch"
)

// Callback is what a worker node tells of an attempt of its own accord.
type Callback struct {
	CallID     string  `json:"id"`
	EndpointID string  `json:"from"`
	State      string  `json:"state"`
	Progress   float64 `json:"share"`
	Result     *string `json:"result"`
}

// States of a note.
var callbackStates = map[string]bool{
	"started": true, "running": true, "done": true, "failed": true,
	"returned": true, "lost": true,
}

// ErrInvalidCallback is a note that makes no sense.
var ErrInvalidCallback = errors.New("a note needs id, from, a known state and, once done, a result")

// HandleCallback takes a note. One about an attempt that is unknown or has ended is right and means nothing any more: it
// came twice, or belongs to a process that ran here before; known is false then. Notes may overtake the word that a job was accepted.
func (l *Table) HandleCallback(n Callback) (known bool, err error) {
	// What is served must be a worker node's own word, so one that is done without a result says nothing.
	if n.CallID == "" || n.EndpointID == "" || !callbackStates[n.State] || n.State == "done" && n.Result == nil {
		return false, ErrInvalidCallback
	}
	a := l.inFlight[attemptKey{n.CallID, n.EndpointID}]
	l.notify(Notification{Kind: CallbackReceived, Attempt: a, Callback: &n})
	if a == nil {
		return false, nil
	}
	if a.ambiguousCallbacks && (n.State == "failed" || n.State == "returned" || n.State == "lost") {
		// It may be told of the attempt before it at this host: taken for this one's, that would send another copy while
		// this one runs. What is done is done, whichever it is.
		return true, nil
	}
	switch n.State {
	case "started":
		l.pendingEvents = append(l.pendingEvents, dispatch.Started{Job: a.Request.ID, Attempt: a.Number, Worker: a.Worker})
	case "running":
		l.pendingEvents = append(l.pendingEvents, dispatch.Progressed{Job: a.Request.ID, Attempt: a.Number, Worker: a.Worker, Share: n.Progress})
	case "done":
		l.EndAttempt(a, []byte(*n.Result), nil)
	case "failed", "returned", "lost":
		a.Request.endedByCallback = append(a.Request.endedByCallback, a.EndpointID)
	}
	switch n.State {
	case "failed":
		l.EndAttempt(a, nil, &AttemptError{Stage: StageAccepted, Reason: ReasonWorkerError})
	case "returned":
		l.EndAttempt(a, nil, &AttemptError{Stage: StageAccepted, Reason: ReasonRejected})
	case "lost":
		l.EndAttempt(a, nil, &AttemptError{Stage: StageAccepted, Reason: ReasonConnectionLost})
	}
	return true, nil
}
