package requests

import (
	"fmt"
	"runtime/debug"
)

// Outcome is how an attempt or a query ended, in the protocol's words.
type Outcome string

// The outcomes.
const (
	OutcomeServed         Outcome = "served"
	OutcomeError          Outcome = "error"
	OutcomeRejected       Outcome = "turned away"
	OutcomeConnectFailed  Outcome = "could not connect"
	OutcomeConnectionLost Outcome = "reset"
	OutcomeTimedOut       Outcome = "timed out"
)

// Outcomes are all of them.
var Outcomes = [...]Outcome{OutcomeServed, OutcomeError, OutcomeRejected, OutcomeConnectFailed, OutcomeConnectionLost, OutcomeTimedOut}

// isNotExecuted tells whether an outcome proves that nothing has run.
func (o Outcome) isNotExecuted() bool {
	return o == "" || o == OutcomeRejected || o == OutcomeConnectFailed
}

// Outcome is the protocol's word for how an attempt ended that was sent; nil stands for served.
func (f *AttemptError) Outcome() Outcome {
	switch {
	case f == nil:
		return OutcomeServed
	case f.Reason == ReasonConnectionLost && f.Stage < StageWritten:
		return OutcomeConnectFailed
	}
	return [...]Outcome{ReasonConnectionLost: OutcomeConnectionLost, ReasonRejected: OutcomeRejected, ReasonInvalidRequest: OutcomeRejected, ReasonWorkerError: OutcomeError,
		ReasonTimeout: OutcomeTimedOut, ReasonCancelled: OutcomeTimedOut, ReasonNotSent: OutcomeConnectFailed}[f.Reason]
}

// mergeOutcome takes in how an attempt ended. What may have run counts for more than a later attempt that never did.
func (q *Request) mergeOutcome(o Outcome) {
	if q.outcome != OutcomeServed && (q.outcome.isNotExecuted() || !o.isNotExecuted()) {
		q.outcome = o
	}
}

// Outcome is how a query ended that is over. One that was answered while an attempt was still out timed out:
// nobody waits for that any more. One of which nothing was ever sent was turned away.
func (q *Request) Outcome() Outcome {
	switch {
	case q.outcome == OutcomeServed:
		return OutcomeServed
	case q.inFlight > 0:
		return OutcomeTimedOut
	case q.outcome == "":
		return OutcomeRejected
	}
	return q.outcome
}

// Response is which of the three final answers a query got.
type Response int

// The answers. A query that its client has left stays unanswered.
const (
	ResponseNone Response = iota
	ResponseResult
	ResponseRejected
	ResponseFailed
)

// Response tells which answer a query got.
func (q *Request) Response() Response { return q.response }

// NotificationKind is the kind of a piece of news.
type NotificationKind int

// Kinds of news.
const (
	RequestAdmitted  NotificationKind = iota // a query came in
	RequestRejected                          // a request was refused at the door, by Status; Query, if it could be read, was never entered
	AttemptStarted                           // an attempt begins
	ResponseReceived                         // its worker node has answered the request, by Status
	CallbackReceived                         // a worker node's note; Attempt is nil if it is about none that is out
	AttemptEnded                             // an attempt that was sent has ended; Fault nil: served
	RequestEnded                             // a query has its answer, or its client has left and nothing of it is out any more
	AttemptWritten                           // the last byte of an attempt has left for its worker node
	RequestForgotten                         // a query is forgotten: nothing more will be heard of its number
)

// Notification is one thing that happened. What it points to may be looked at only while it is told.
type Notification struct {
	Kind     NotificationKind
	Request  *Request
	Attempt  *Attempt
	Err      *AttemptError
	Callback *Callback
	Status   int
}

// Observer is told what happens, in order, and decides nothing. It may not wait for anything.
type Observer interface{ Observe(n Notification) }

// AddObserver adds an observer.
func (l *Table) AddObserver(o Observer) { l.observers = append(l.observers, o) }

func (l *Table) notify(n Notification) {
	for i := 0; i < len(l.observers); i++ {
		if o := l.observers[i]; !l.notifyOne(o, n) {
			l.observers = append(l.observers[:i:i], l.observers[i+1:]...)
			i--
		}
	}
}

// notifyOne stops a panic at the observer, which hears nothing more: it is no part of the service.
func (l *Table) notifyOne(o Observer, n Notification) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			l.logger.Error("panic in an observer: it is left out from now on", "observer", fmt.Sprintf("%T", o),
				"panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	o.Observe(n)
	return true
}

func (l *Table) reportEnded(q *Request) {
	if !q.reported {
		q.reported = true
		l.notify(Notification{Kind: RequestEnded, Request: q})
	}
}

// ReportRejection tells of a request that was refused at the door. in is nil for one that could not be read as a query.
func (l *Table) ReportRejection(in *Arrival, status int) {
	n := Notification{Kind: RequestRejected, Status: status}
	if in != nil {
		n.Request = &Request{CallID: in.CallID, Payload: in.Payload, Job: in.Job, outcome: OutcomeRejected}
	}
	l.notify(n)
}

// ReportResponse tells of a worker node's answer to the request of an attempt.
func (l *Table) ReportResponse(a *Attempt, status int) {
	l.notify(Notification{Kind: ResponseReceived, Request: a.Request, Attempt: a, Status: status})
}

// ReportWritten tells that the last byte of an attempt has left.
func (l *Table) ReportWritten(a *Attempt) {
	l.notify(Notification{Kind: AttemptWritten, Request: a.Request, Attempt: a})
}
