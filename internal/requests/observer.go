package requests

import (
	"fmt"
	"log/slog"
	"runtime/debug"
)

// NotificationKind is the kind of a notification.
type NotificationKind int

// Kinds of notifications.
const (
	RequestAdmitted  NotificationKind = iota // a request was admitted
	RequestRejected                          // a request was rejected with Status; Request is nil if it could not be read
	AttemptStarted                           // an attempt was passed to the transport
	ResponseReceived                         // the worker has responded to the attempt, with Status
	CallbackReceived                         // a callback was received; Attempt is nil if it matches no attempt in flight
	AttemptEnded                             // an attempt that was started has ended; Err is nil if it was served
	RequestEnded                             // a response was given, or the client disconnected and the last attempt has ended
	AttemptWritten                           // the last byte of an attempt was written
	RequestForgotten                         // a request was removed from the table: its ID is not used again
)

// Notification is one event of the table. What its pointers refer to is read-only, and may be used until Observe returns.
type Notification struct {
	Kind     NotificationKind
	Request  *Request
	Attempt  *Attempt
	Err      *AttemptError
	Callback *Callback
	Status   int // HTTP status
}

// Observer is notified of all events of a table, in order. It must not block, and must not call or change the table.
type Observer interface {
	Observe(notification Notification)
}

// AddObserver adds an observer, which is notified from now on.
func (t *Table) AddObserver(observer Observer) { t.observers.add(observer) }

// ReportRejection notifies the observers of a request that a frontend rejected with an HTTP status instead of admitting it.
// arrival is nil if the request could not be read.
func (t *Table) ReportRejection(arrival *Arrival, status int) {
	notification := Notification{Kind: RequestRejected, Status: status}
	if arrival != nil {
		notification.Request = &Request{
			CallID:  arrival.CallID,
			Payload: arrival.Payload,
			Job:     arrival.Job,
			outcome: OutcomeRejected,
		}
	}
	t.observers.notify(notification)
}

// ReportResponse notifies the observers of the HTTP status of a worker's response to an attempt.
func (t *Table) ReportResponse(attempt *Attempt, status int) {
	t.observers.notify(Notification{Kind: ResponseReceived, Request: attempt.Request, Attempt: attempt, Status: status})
}

// ReportWritten notifies the observers that the last byte of an attempt was written.
func (t *Table) ReportWritten(attempt *Attempt) {
	t.observers.notify(Notification{Kind: AttemptWritten, Request: attempt.Request, Attempt: attempt})
}

// observerList holds the observers of a table, in the order in which they were added.
type observerList struct {
	observers []Observer
	logger    *slog.Logger
}

// add adds an observer, which is notified from now on.
func (o *observerList) add(observer Observer) { o.observers = append(o.observers, observer) }

// notify notifies each observer. An observer that panics is removed.
func (o *observerList) notify(notification Notification) {
	for i := 0; i < len(o.observers); i++ {
		if o.notifyOne(o.observers[i], notification) {
			continue
		}
		o.observers = append(o.observers[:i:i], o.observers[i+1:]...)
		i--
	}
}

// notifyOne notifies one observer, and reports whether it did not panic.
func (o *observerList) notifyOne(observer Observer, notification Notification) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			o.logger.Error("observer panic: observer removed", "observer", fmt.Sprintf("%T", observer),
				"panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	observer.Observe(notification)
	return true
}
