package requests

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// Attempts are started, cancelled and ended here.

// startAttempt carries out the policy's wish to send a request to a worker. Each such wish leads to one outcome, also
// if it may not be followed.
func (t *Table) startAttempt(now time.Duration, send dispatch.Send) {
	request := t.requests[send.Job]
	if request == nil { // it has ended with nothing in flight
		t.addEvent(dispatch.Outcome{Job: send.Job, Worker: send.Worker, Result: dispatch.NotSent, Closed: true})
		return
	}
	attempt := &Attempt{
		Request:    request,
		Number:     len(request.attempts),
		Worker:     send.Worker,
		EndpointID: t.endpoints.byNumber[send.Worker].ID,
	}
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	attempt.At = request.Deadline
	if send.AttemptTimeout > 0 {
		attempt.At = min(attempt.At, now+send.AttemptTimeout)
	}
	if !t.mayStart(now, attempt) {
		t.EndAttempt(attempt, nil, &AttemptError{Reason: ReasonNotSent})
		return
	}
	if send.AttemptTimeout < 0 {
		t.EndAttempt(attempt, nil, &AttemptError{Reason: ReasonTimeout})
		return
	}
	t.inFlight[attempt.key()] = attempt
	t.timeouts.Add(attempt)
	if request.FirstSentAt == 0 {
		request.FirstSentAt = now
	}
	attempt.become(attemptInFlight)
	attempt.ambiguousCallbacks = request.hasAmbiguousCallbacks(attempt)
	t.notify(Notification{Kind: AttemptStarted, Request: request, Attempt: attempt})
	t.transport.Start(attempt)
}

// mayStart reports whether the rules allow an attempt. Its request must be open, with time and attempts remaining, and
// its endpoint must not be cordoned. An endpoint that has an attempt of the request in flight gets no second one. Nor
// does one whose callback has ended an earlier attempt: callbacks are repeated and name no attempt, so a repeated one
// would end this one, and the request would be sent elsewhere while it runs.
func (t *Table) mayStart(now time.Duration, attempt *Attempt) bool {
	request := attempt.Request
	if request.IsClosed() || now >= request.Deadline || attempt.Number >= t.maxAttempts {
		return false
	}
	if t.inFlight[attempt.key()] != nil || t.cordoned[attempt.Worker] {
		return false
	}
	return !slices.Contains(request.endedByCallback, attempt.EndpointID)
}

// EndAttempt ends an attempt. failure is nil if it was served: the first result of a request is its response, and
// result is then passed on. An attempt ends once; a later call has no effect.
func (t *Table) EndAttempt(attempt *Attempt, result []byte, failure *AttemptError) {
	if !attempt.end() {
		return
	}
	request := attempt.Request
	attempt.result = failure.result()
	request.inFlight--
	t.timeouts.Remove(attempt)
	if key := attempt.key(); t.inFlight[key] == attempt {
		delete(t.inFlight, key)
	}
	if attempt.state == attemptEnded {
		request.mergeOutcome(failure.Outcome())
		t.notify(Notification{Kind: AttemptEnded, Request: request, Attempt: attempt, Err: failure})
	}
	switch {
	case failure == nil:
		t.serve(request, result)
	case failure.Reason == ReasonInvalidRequest && request.inFlight == 0:
		// No other worker could execute it either, and each would look as if it failed. The policy
		// gets a result that says nothing about the worker.
		t.fail(request)
	}
	t.addEvent(dispatch.Outcome{
		Job:     request.ID,
		Attempt: attempt.Number,
		Worker:  attempt.Worker,
		Result:  attempt.result,
		Closed:  request.IsClosed(),
	})
	t.forgetIfDone(request)
}

// expireAttempts ends the attempts whose requests are past their deadline, and cancels those that are past their own
// timeout only: another attempt may follow them.
func (t *Table) expireAttempts(now time.Duration) {
	for t.timeouts.Len() > 0 && t.timeouts.First().At <= now {
		attempt := t.timeouts.First()
		deadline := attempt.Request.Deadline
		if now >= deadline {
			t.abandon(attempt, ReasonTimeout)
			continue
		}
		t.timeouts.Remove(attempt)
		attempt.At = deadline
		t.timeouts.Add(attempt)
		t.cancel(attempt, ReasonTimeout)
	}
}

// abandonUnwritten ends the attempts of a closed request that are not completely written, so that nothing is sent for
// which nobody waits.
func (t *Table) abandonUnwritten(request *Request) {
	for _, attempt := range request.attempts {
		if !attempt.HasEnded() && attempt.Stage < StageWritten {
			t.abandon(attempt, ReasonNotSent)
		}
	}
}

// abandon ends an attempt from this side, and lets its worker know.
func (t *Table) abandon(attempt *Attempt, reason Reason) {
	t.EndAttempt(attempt, nil, &AttemptError{Stage: attempt.Stage, Reason: reason})
	t.transport.Abandon(attempt)
}

// cancel ends an attempt from this side when its request may be sent elsewhere. If it was written, it ends only once its
// worker has confirmed: an attempt elsewhere before that would be a second execution. The worker may have accepted what
// it was just written: a connection that is closed then withdraws nothing. Until it ends it is in flight, and callbacks
// about it count.
func (t *Table) cancel(attempt *Attempt, reason Reason) {
	if attempt.state == attemptCancelling {
		return
	}
	if attempt.Stage < StageWritten || attempt.Request.IsClosed() {
		t.abandon(attempt, reason)
		return
	}
	if attempt.become(attemptCancelling) {
		attempt.cancelReason = reason
		t.transport.Cancel(attempt)
	}
}

// CancelUnaccepted ends an attempt that is being cancelled, and that its worker has not accepted in time.
func (t *Table) CancelUnaccepted(attempt *Attempt) {
	if attempt.state == attemptCancelling {
		t.abandon(attempt, attempt.cancelReason)
	}
}

// CancelCompleted takes the result of Transport.Cancel. If the worker has confirmed, the attempt ends. Else it is in
// flight as before, until the deadline of its request at most, and may be cancelled again.
func (t *Table) CancelCompleted(attempt *Attempt, confirmed bool) {
	if attempt.state != attemptCancelling {
		return
	}
	if confirmed {
		t.EndAttempt(attempt, nil, &AttemptError{Stage: attempt.Stage, Reason: attempt.cancelReason})
		return
	}
	attempt.become(attemptInFlight)
}
