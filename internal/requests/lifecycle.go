package requests

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// startAttempt executes the policy's action to send a request to a worker. Each such action results in one outcome, even if the
// attempt is not allowed.
func (t *Table) startAttempt(now time.Duration, send dispatch.Send) {
	request := t.Request(send.Job)
	if request == nil { // closed, without attempts in flight
		t.policy.addEvent(dispatch.Outcome{Job: send.Job, Worker: send.Worker, Result: dispatch.NotSent, Closed: true})
		return
	}
	attempt := &Attempt{
		Request:    request,
		Number:     len(request.attempts),
		Worker:     send.Worker,
		EndpointID: t.Endpoint(send.Worker).ID,
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
	t.attempts.add(attempt)
	if request.FirstSentAt == 0 {
		request.FirstSentAt = now
	}
	attempt.transitionTo(attemptInFlight)
	attempt.ambiguousCallbacks = request.hasAmbiguousCallbacks(attempt)
	t.observers.notify(Notification{Kind: AttemptStarted, Request: request, Attempt: attempt})
	t.transport.Start(attempt)
}

// mayStart reports whether an attempt is allowed. Its request must be open, with time and attempts remaining, and its endpoint
// must not be cordoned. An endpoint gets no second attempt of a request while one is in flight there, nor after one was ended
// by a callback: callbacks have no attempt number, so a repeated one would end the new attempt, and the request would be sent
// to another worker while this one still executes it.
func (t *Table) mayStart(now time.Duration, attempt *Attempt) bool {
	request := attempt.Request
	if request.IsClosed() || now >= request.Deadline || attempt.Number >= t.maxAttempts {
		return false
	}
	if t.attempts.find(attempt.key()) != nil || t.cordons.contains(attempt.Worker) {
		return false
	}
	return !slices.Contains(request.endedByCallback, attempt.EndpointID)
}

// EndAttempt ends an attempt. failure is nil if it was served; result is then the response to its request, unless the request
// is closed. It has no effect on an attempt that has ended.
func (t *Table) EndAttempt(attempt *Attempt, result []byte, failure *AttemptError) {
	if !attempt.end() {
		return
	}
	request := attempt.Request
	attempt.result = failure.result()
	request.inFlight--
	t.attempts.remove(attempt)
	if attempt.state == attemptEnded {
		request.mergeOutcome(failure.Outcome())
		t.observers.notify(Notification{Kind: AttemptEnded, Request: request, Attempt: attempt, Err: failure})
	}
	switch {
	case failure == nil:
		t.serve(request, result)
	case failure.Reason == ReasonInvalidRequest && request.inFlight == 0:
		// No other worker could execute the request either, and each would be counted as failing. The policy gets a result that
		// has no effect on its estimate of the worker.
		t.fail(request)
	}
	t.policy.addEvent(dispatch.Outcome{
		Job:     request.ID,
		Attempt: attempt.Number,
		Worker:  attempt.Worker,
		Result:  attempt.result,
		Closed:  request.IsClosed(),
	})
	t.forgetIfDone(request)
}

// expireAttempts ends the attempts of requests that are past their deadline. An attempt that has only exceeded its own timeout
// is cancelled, as another attempt may follow.
func (t *Table) expireAttempts(now time.Duration) {
	for attempt := t.attempts.firstExpired(now); attempt != nil; attempt = t.attempts.firstExpired(now) {
		deadline := attempt.Request.Deadline
		if now >= deadline {
			t.abandon(attempt, ReasonTimeout)
			continue
		}
		t.attempts.postpone(attempt, deadline)
		t.cancel(attempt, ReasonTimeout)
	}
}

// abandonUnwritten ends the attempts of a closed request that are not completely written, so that no worker executes them
// needlessly.
func (t *Table) abandonUnwritten(request *Request) {
	for _, attempt := range request.attempts {
		if !attempt.HasEnded() && attempt.Stage < StageWritten {
			t.abandon(attempt, ReasonNotSent)
		}
	}
}

// abandon ends an attempt immediately, and notifies its worker through the transport.
func (t *Table) abandon(attempt *Attempt, reason Reason) {
	t.EndAttempt(attempt, nil, &AttemptError{Stage: attempt.Stage, Reason: reason})
	t.transport.Abandon(attempt)
}

// cancel ends an attempt whose request may be sent to another worker afterwards. An attempt that was written ends only once its
// worker has confirmed: another attempt before that could be a second execution. This includes an attempt that is not accepted
// yet, as the worker may have received it, and closing the connection does not cancel it then. Until it ends it is in flight, and
// callbacks about it are handled.
func (t *Table) cancel(attempt *Attempt, reason Reason) {
	if attempt.state == attemptCancelling {
		return
	}
	if attempt.Stage < StageWritten || attempt.Request.IsClosed() {
		t.abandon(attempt, reason)
		return
	}
	if attempt.transitionTo(attemptCancelling) {
		attempt.cancelReason = reason
		t.transport.Cancel(attempt)
	}
}

// CancelUnaccepted ends an attempt that is being cancelled and that its worker has not accepted in time.
func (t *Table) CancelUnaccepted(attempt *Attempt) {
	if attempt.state == attemptCancelling {
		t.abandon(attempt, attempt.cancelReason)
	}
}

// CancelCompleted handles the result of Transport.Cancel. If the worker has confirmed, the attempt ends. Otherwise it stays in
// flight, until the deadline of its request at most, and may be cancelled again.
func (t *Table) CancelCompleted(attempt *Attempt, confirmed bool) {
	if attempt.state != attemptCancelling {
		return
	}
	if confirmed {
		t.EndAttempt(attempt, nil, &AttemptError{Stage: attempt.Stage, Reason: attempt.cancelReason})
		return
	}
	attempt.transitionTo(attemptInFlight)
}
