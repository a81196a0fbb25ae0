package requests

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// Transport is the side that reaches the worker nodes.
type Transport interface {
	Start(a *Attempt)   // starts it; its end is told by End or by a Note
	Abandon(a *Attempt) // it has ended here, and the worker node should know
	Cancel(a *Attempt)  // it was accepted, and ends once its worker node is told; Withdrawn says so
	CheckHealth(worker uint64)
	CloseIdleConnections(worker uint64)
	Watch(after int64) // follow the host group from this generation on
}

// abandonUnwritten ends the attempts of a closed query that are not wholly written: nothing is sent on for which nobody waits, and
// what is on its way would be, once a connection that comes up late is there or takes in more.
func (l *Table) abandonUnwritten(q *Request) {
	for _, a := range q.attempts {
		if !a.ended && a.Stage < StageWritten {
			l.abandon(a, ReasonNotSent)
		}
	}
}

// EndAttempt ends an attempt: fault nil means served, and the first such result answers the client. Each attempt ends
// once, and whatever comes later is void.
func (l *Table) EndAttempt(a *Attempt, got []byte, fault *AttemptError) {
	if a.ended {
		return
	}
	q := a.Request
	a.ended, a.result, a.cancelling = true, resultOf(fault), false
	q.inFlight--
	l.timeouts.Remove(a)
	if k := (attemptKey{q.CallID, a.EndpointID}); l.inFlight[k] == a {
		delete(l.inFlight, k)
	}
	if a.started {
		q.mergeOutcome(fault.Outcome())
		l.notify(Notification{Kind: AttemptEnded, Request: q, Attempt: a, Err: fault})
	}
	if fault == nil && !q.closed {
		l.conclude(q, ResponseResult)
		q.responder.RespondResult(got)
	}
	// What one worker node can't use none can: sent on, it would cost each of them, and each would look as if it
	// failed. The query ends here, and the module hears of an attempt that says nothing of the worker node.
	if fault != nil && fault.Reason == ReasonInvalidRequest && !q.closed && q.inFlight == 0 {
		l.conclude(q, ResponseFailed)
		q.responder.RespondFailed()
	}
	l.pendingEvents = append(l.pendingEvents, dispatch.Outcome{
		Job: q.ID, Attempt: a.Number, Worker: a.Worker,
		Result: a.result, Closed: q.closed,
	})
	l.forgetIfDone(q)
}

// HealthChecked ends a probe.
func (l *Table) HealthChecked(worker uint64, fault *AttemptError) {
	l.pendingEvents = append(l.pendingEvents, dispatch.HealthChecked{Worker: worker, Result: resultOf(fault)})
}

func (l *Table) startAttempt(now time.Duration, s dispatch.Send) {
	q := l.requests[s.Job]
	if q == nil { // it has ended with nothing out; still, each Send gets its outcome
		l.pendingEvents = append(l.pendingEvents, dispatch.Outcome{Job: s.Job, Worker: s.Worker, Result: dispatch.NotSent, Closed: true})
		return
	}
	a := &Attempt{Request: q, Number: len(q.attempts), Worker: s.Worker, EndpointID: l.endpoints.byNumber[s.Worker].ID}
	q.attempts = append(q.attempts, a)
	q.inFlight++
	// Patience is trimmed to the deadline.
	if a.At = q.Deadline; s.AttemptTimeout > 0 {
		a.At = min(a.At, now+s.AttemptTimeout)
	}
	key := attemptKey{q.CallID, a.EndpointID}
	switch {
	case q.closed || now >= q.Deadline || a.Number >= l.maxAttempts || l.inFlight[key] != nil || l.cordoned[s.Worker] ||
		slices.Contains(q.endedByCallback, a.EndpointID):
		// Over, out of time or of tries; or the worker node has one of this query, and gets no second. Nor does one
		// whose note ended an earlier one: notes are told until they are answered and name no attempt, so that note
		// told again would end this one, and what never ran by it would be sent elsewhere while it runs.
		l.EndAttempt(a, nil, &AttemptError{Reason: ReasonNotSent})
	case s.AttemptTimeout < 0:
		l.EndAttempt(a, nil, &AttemptError{Reason: ReasonTimeout})
	default:
		l.inFlight[key] = a
		l.timeouts.Add(a)
		if q.FirstSentAt == 0 {
			q.FirstSentAt = now
		}
		a.started = true
		a.ambiguousCallbacks = q.hasAmbiguousCallbacks(a)
		l.notify(Notification{Kind: AttemptStarted, Request: q, Attempt: a})
		l.transport.Start(a)
	}
}

// abandon ends an attempt from this side and lets the worker node know.
func (l *Table) abandon(a *Attempt, why Reason) {
	l.EndAttempt(a, nil, &AttemptError{Stage: a.Stage, Reason: why})
	l.transport.Abandon(a)
}

// cancel ends an attempt from this side of a query that may be sent on. An accepted one ends only once its worker node is
// told: a copy sent before would be a second one. It stays out until then, and its notes count.
func (l *Table) cancel(a *Attempt, why Reason) {
	switch {
	case a.cancelling:
	case a.Stage < StageAccepted || a.Request.closed:
		l.abandon(a, why)
	default:
		a.cancelling, a.cancelReason = true, why
		l.transport.Cancel(a)
	}
}

// CancelCompleted tells what came of a withdrawal. With told, the attempt has been given up. Without, its worker node could not
// be reached: it is out as before, to its query's deadline at most, and may be withdrawn again.
func (l *Table) CancelCompleted(a *Attempt, told bool) {
	if !a.cancelling {
		return
	}
	if a.cancelling = false; told {
		l.EndAttempt(a, nil, &AttemptError{Stage: a.Stage, Reason: a.cancelReason})
	}
}
