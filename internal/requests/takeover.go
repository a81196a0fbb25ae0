package requests

import (
	"time"

	"valvecove/dispatch"
)

// TakeOver restores a snapshot of another process. Its instants must have been converted to this process's clock; see OnClock.
// The table must have no requests. responders contains the responders of the open requests by ID: the client of a request
// without a responder is disconnected, and the response is dropped.
//
// newPolicy returns the policy that is restored from the same process, and is called after the observers were notified of the
// requests. If it returns nil, the current policy is kept, and receives the requests and their attempts as events.
func (t *Table) TakeOver(
	now time.Duration, state State, open []OpenRequest, responders map[uint64]Responder, newPolicy func() Policy,
) {
	t.awaitUntil = 0
	t.restoreEndpoints(state)
	t.SetCordoned(state.CordonedIDs)
	t.requests.reserveIDs(state.LastID)
	t.executed.restore(state.ExecutedIDs)
	for i := range open {
		t.restoreRequest(&open[i], responders[open[i].ID])
	}
	t.policy.restoreTimer(state.PolicyTimer)
	t.policy.discardEvents()
	policy := newPolicy()
	t.policy.addEvents(t.initialEvents())
	if policy != nil {
		t.policy.replace(policy)
	} else {
		t.policy.restoreTimer(max(1, now)) // the current policy may have set a timer: wake it too early rather than never
		t.policy.addEvents(t.requests.jobResumedEvents(now))
	}
	t.resumeCancellations()
}

// restoreEndpoints adds the endpoints of another process, and applies its endpoint list if that is newer.
func (t *Table) restoreEndpoints(state State) {
	list := t.endpoints.restore(state)
	if state.Revision > t.Revision() {
		t.applyEndpoints(list, dispatch.ListFull)
	}
	t.endpoints.restoreStarts(state)
}

// restoreRequest adds a request of another process, and notifies the observers as if it had been admitted here.
func (t *Table) restoreRequest(open *OpenRequest, responder Responder) {
	if responder == nil {
		responder = discardResponder{}
	}
	request := &Request{
		ID:              open.ID,
		CallID:          open.CallID,
		Payload:         open.Payload,
		Job:             open.Job,
		Deadline:        open.Deadline,
		ArrivedAt:       open.ArrivedAt,
		FirstSentAt:     open.FirstSentAt,
		state:           open.state(),
		responder:       responder,
		response:        open.Response,
		endedByCallback: open.EndedByCallback,
		outcome:         open.Outcome,
	}
	t.requests.add(request)
	if !request.IsClosed() {
		t.observers.notify(Notification{Kind: RequestAdmitted, Request: request})
	}
	for i := range open.Attempts {
		t.restoreAttempt(request, &open.Attempts[i])
	}
	if request.IsClosed() { // an earlier build transfers no call IDs
		t.rememberExecuted(request)
	}
}

// restoreAttempt adds the next attempt of a request.
func (t *Table) restoreAttempt(request *Request, open *OpenAttempt) {
	attempt := &Attempt{
		Request:      request,
		Number:       len(request.attempts),
		Worker:       open.Worker,
		EndpointID:   open.EndpointID,
		Stage:        open.Stage,
		state:        open.state(),
		result:       open.Result,
		cancelReason: open.cancelReason(),
	}
	attempt.At = open.ExpiresAt
	attempt.ambiguousCallbacks = request.hasAmbiguousCallbacks(attempt)
	request.attempts = append(request.attempts, attempt)
	if attempt.HasEnded() {
		return
	}
	request.inFlight++
	t.attempts.add(attempt)
	if attempt.state != attemptCreated {
		t.observers.notify(Notification{Kind: AttemptStarted, Request: request, Attempt: attempt})
	}
}

// resumeCancellations repeats the cancellations that the other process had started and not completed.
func (t *Table) resumeCancellations() {
	for _, request := range t.requests.inAdmissionOrder() {
		for _, attempt := range request.attempts {
			if attempt.state == attemptCancelling {
				t.transport.Cancel(attempt)
			}
		}
	}
}

// discardResponder drops the response to a request whose client is disconnected.
type discardResponder struct{}

func (discardResponder) RespondResult([]byte)          {}
func (discardResponder) RespondRejected(time.Duration) {}
func (discardResponder) RespondFailed()                {}
