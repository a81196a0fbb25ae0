package requests

import (
	"time"

	"valvecove/dispatch"
)

// TakeOver goes on with what Snapshot gave in another process; the table must have no requests of its own. responders
// has those of the open requests by ID: a request without one has lost its client's connection, and its response is
// dropped.
//
// newPolicy makes the policy that goes on, and is called once the observers know the requests. If it returns nil, the
// policy that the table has goes on, and gets the requests and their attempts as events.
func (t *Table) TakeOver(
	now time.Duration, state State, open []OpenRequest, responders map[uint64]Responder, newPolicy func() Policy,
) {
	t.awaitUntil = 0
	t.restoreEndpoints(state)
	t.restoreStarts(state)
	t.SetCordoned(state.CordonedIDs)
	t.lastID = max(t.lastID, state.LastID)
	for i := range open {
		t.restoreRequest(&open[i], responders[open[i].ID])
	}
	t.policyTimer = state.PolicyTimer
	t.pendingEvents = t.pendingEvents[:0]
	policy := newPolicy()
	t.pendingEvents = append(t.pendingEvents, t.knownState()...)
	if policy != nil {
		t.policy = policy
	} else {
		t.policyTimer = max(1, now) // the policy may have asked for a timer: it is woken too early rather than never
		t.pendingEvents = append(t.pendingEvents, t.resumedJobs(now)...)
	}
	t.resumeCancellations()
}

// restoreEndpoints enters the endpoints that another process knew. Its list holds here too if it is newer.
func (t *Table) restoreEndpoints(state State) {
	isListed := map[string]bool{}
	for _, id := range state.ListedIDs {
		isListed[id] = true
	}
	list := EndpointList{Revision: state.Revision, Reset: true}
	for _, endpoint := range state.Endpoints {
		if endpoint.ID == "" {
			continue
		}
		if _, known := t.endpoints.numbers[endpoint.ID]; !known {
			t.endpoints.byNumber[t.endpoints.assignNumber(endpoint.ID)] = endpoint
		}
		if isListed[endpoint.ID] {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	if state.Revision > t.revision {
		t.applyEndpoints(list, dispatch.ListFull)
	}
}

// restoreStarts has the workers started when another process found that they did: its policy, which may go on here, knows them
// so.
func (t *Table) restoreStarts(state State) {
	starts := &t.endpoints.starts
	starts.restore(state, t.endpoints.numbers)
	for number, worker := range t.listed {
		worker.BootAt = starts.startedAt(number, t.endpoints.byNumber[number].StartedAtMs)
		t.listed[number] = worker
	}
}

// restoreRequest enters a request of another process, and notifies the observers as if it had been admitted here.
func (t *Table) restoreRequest(open *OpenRequest, responder Responder) {
	if responder == nil {
		responder = absentClient{}
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
	t.requests[request.ID] = request
	t.payloadBytes += len(request.Payload.Body)
	if !request.IsClosed() {
		t.openByCallID[request.CallID] = request
		t.notify(Notification{Kind: RequestAdmitted, Request: request})
	}
	for i := range open.Attempts {
		t.restoreAttempt(request, &open.Attempts[i])
	}
}

// restoreAttempt enters the next attempt of a request.
func (t *Table) restoreAttempt(request *Request, open *OpenAttempt) {
	attempt := &Attempt{
		Request:      request,
		Number:       len(request.attempts),
		Worker:       open.Worker,
		EndpointID:   open.EndpointID,
		Stage:        open.Stage,
		state:        open.state(),
		result:       open.Result,
		cancelReason: ReasonCancelled,
	}
	attempt.At = open.ExpiresAt
	attempt.ambiguousCallbacks = request.hasAmbiguousCallbacks(attempt)
	request.attempts = append(request.attempts, attempt)
	if attempt.HasEnded() {
		return
	}
	request.inFlight++
	t.inFlight[attempt.key()] = attempt
	t.timeouts.Add(attempt)
	if attempt.state != attemptCreated {
		t.notify(Notification{Kind: AttemptStarted, Request: request, Attempt: attempt})
	}
}

// resumedJobs has the events by which a policy learns of the open requests of another process and of their attempts.
func (t *Table) resumedJobs(now time.Duration) []dispatch.Event {
	var events []dispatch.Event
	for _, request := range t.inAdmissionOrder() {
		if request.IsClosed() {
			continue
		}
		job := request.Job
		job.Remaining = max(0, request.Deadline-now)
		resumed := dispatch.JobResumed{Job: job, Age: now - request.ArrivedAt, QuotaCharged: true}
		for _, attempt := range request.attempts {
			resumed.Attempts = append(resumed.Attempts, dispatch.PastAttempt{
				Worker:  attempt.Worker,
				SentAgo: now - max(request.ArrivedAt, request.FirstSentAt),
				Ended:   attempt.HasEnded(),
				Result:  attempt.result,
			})
		}
		events = append(events, resumed)
	}
	return events
}

// resumeCancellations goes on with the cancellations that the other process had begun.
func (t *Table) resumeCancellations() {
	for _, request := range t.inAdmissionOrder() {
		for _, attempt := range request.attempts {
			if attempt.state == attemptCancelling {
				t.transport.Cancel(attempt)
			}
		}
	}
}

// absentClient is the responder of a request whose client can't be reached.
type absentClient struct{}

func (absentClient) RespondResult([]byte)          {}
func (absentClient) RespondRejected(time.Duration) {}
func (absentClient) RespondFailed()                {}
