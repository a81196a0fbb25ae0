package requests

import (
	"errors"
	"time"

	"valvecove/dispatch"
)

// Arrival is a query as it comes in.
type Arrival struct {
	CallID    string // the client's id for it
	Job       dispatch.Job
	Payload   Payload
	Responder Responder
}

// AwaitEndpoints has queries wait for the first news of the host group, until then at most, or until it can't be had: what has
// changed since it was last known counts as told, also for a process that has not asked yet. 0 ends that.
func (l *Table) AwaitEndpoints(until time.Duration) { l.awaitUntil = until }

// responseMargin is what a query that waits must be left with to be answered in time.
const responseMargin = 100 * time.Millisecond

// ErrDuplicateCallID refuses a query whose id belongs to one that is still open.
var ErrDuplicateCallID = errors.New("the id belongs to a query that is still open")

// Admit enters a query. Arrival.Job.Left counts from now.
func (l *Table) Admit(now time.Duration, in Arrival) (*Request, error) {
	if l.openByCallID[in.CallID] != nil {
		return nil, ErrDuplicateCallID
	}
	l.lastID++
	q := &Request{ID: l.lastID, CallID: in.CallID, Payload: in.Payload, Deadline: now + in.Job.Remaining, ArrivedAt: now, responder: in.Responder}
	in.Job.ID = q.ID
	q.Job = in.Job
	l.requests[q.ID], l.openByCallID[q.CallID] = q, q
	l.payloadBytes += len(q.Payload.Body)
	l.pendingEvents = append(l.pendingEvents, in.Job)
	if l.awaitUntil > 0 {
		l.awaitUntil = max(1, min(l.awaitUntil, q.Deadline-responseMargin))
	}
	l.notify(Notification{Kind: RequestAdmitted, Request: q})
	return q, nil
}

// deductWaitTime takes off the time that queries have waited for this step.
func (l *Table) deductWaitTime(now time.Duration) {
	for i, e := range l.pendingEvents {
		if j, ok := e.(dispatch.Job); ok {
			if q := l.requests[j.ID]; q != nil && q.ArrivedAt < now {
				j.Remaining = q.Deadline - now
				l.pendingEvents[i] = j
			}
		}
	}
}
