package requests

import (
	"errors"
	"time"

	"valvecove/dispatch"
)

// responseMargin is how long before its deadline a request stops waiting for the endpoint list, so that it can still
// get its response in time.
const responseMargin = 100 * time.Millisecond

// ErrDuplicateCallID rejects a request whose call id is that of an open request.
var ErrDuplicateCallID = errors.New("the call id belongs to an open request")

// Arrival is a request that a frontend wants admitted.
type Arrival struct {
	CallID    string // the client's id for the request
	Job       dispatch.Job
	Payload   Payload
	Responder Responder
}

// Admit enters a request, whose deadline is Job.Remaining from now. The error is ErrDuplicateCallID or nil; with an
// error the responder is not used.
func (t *Table) Admit(now time.Duration, arrival Arrival) (*Request, error) {
	if t.openByCallID[arrival.CallID] != nil {
		return nil, ErrDuplicateCallID
	}
	t.lastID++
	request := &Request{
		ID:        t.lastID,
		CallID:    arrival.CallID,
		Payload:   arrival.Payload,
		Job:       arrival.Job,
		Deadline:  now + arrival.Job.Remaining,
		ArrivedAt: now,
		responder: arrival.Responder,
	}
	request.Job.ID = request.ID
	t.requests[request.ID] = request
	t.openByCallID[request.CallID] = request
	t.payloadBytes += len(request.Payload.Body)
	t.addEvent(request.Job)
	if t.awaitUntil > 0 {
		t.awaitUntil = max(1, min(t.awaitUntil, request.Deadline-responseMargin))
	}
	t.notify(Notification{Kind: RequestAdmitted, Request: request})
	return request, nil
}

// AwaitEndpoints has requests wait for the next update of the endpoint list, until an instant at most or until
// discovery fails. It is for a process that has just started, which would else use a stale list. 0 ends the wait.
func (t *Table) AwaitEndpoints(until time.Duration) { t.awaitUntil = until }

// deductWaitTime reduces the remaining time of the requests that the policy does not know yet by what they have waited.
func (t *Table) deductWaitTime(now time.Duration) {
	for i, event := range t.pendingEvents {
		job, isJob := event.(dispatch.Job)
		if !isJob {
			continue
		}
		if request := t.requests[job.ID]; request != nil && request.ArrivedAt < now {
			job.Remaining = request.Deadline - now
			t.pendingEvents[i] = job
		}
	}
}
