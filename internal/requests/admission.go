package requests

import (
	"errors"
	"time"

	"valvecove/dispatch"
)

// responseMargin is the minimum time between the end of a request's wait for the endpoint list and its deadline. It is needed
// to write the response.
const responseMargin = 100 * time.Millisecond

// ErrDuplicateCallID is returned for a request that has the call ID of an open request.
var ErrDuplicateCallID = errors.New("the call id belongs to an open request")

// Arrival is a request that a frontend submits for admission.
type Arrival struct {
	CallID    string // the client's ID for the request
	Job       dispatch.Job
	Payload   Payload
	Responder Responder
}

// Admit adds a request to the table. Its deadline is Job.Remaining from now. The policy receives it with the next Step. The error
// is that of CheckCallID; with an error the responder is not used.
func (t *Table) Admit(now time.Duration, arrival Arrival) (*Request, error) {
	if err := t.CheckCallID(now, arrival.CallID, arrival.Job.Class); err != nil {
		return nil, err
	}
	request := &Request{
		ID:        t.requests.nextID(),
		CallID:    arrival.CallID,
		Payload:   arrival.Payload,
		Job:       arrival.Job,
		Deadline:  now + arrival.Job.Remaining,
		ArrivedAt: now,
		responder: arrival.Responder,
	}
	request.Job.ID = request.ID
	t.requests.add(request)
	t.policy.addEvent(request.Job)
	if t.awaitUntil > 0 {
		t.awaitUntil = max(1, min(t.awaitUntil, request.Deadline-responseMargin))
	}
	t.observers.notify(Notification{Kind: RequestAdmitted, Request: request})
	return request, nil
}

// AwaitEndpoints delays the requests until the next update of the endpoint list or the next failure of discovery, or until the
// given instant at most. A process that has just started calls it, so that it does not use a stale list. 0 ends the wait.
func (t *Table) AwaitEndpoints(until time.Duration) { t.awaitUntil = until }
