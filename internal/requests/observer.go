package requests

import (
	"fmt"
	"runtime/debug"
)

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
