package requests

import (
	"fmt"
	"runtime/debug"
)

// NotificationKind is the kind of a notification.
type NotificationKind int

// Kinds of notifications.
const (
	RequestAdmitted  NotificationKind = iota // a request was admitted
	RequestRejected                          // a request was rejected at admission, with Status; Request is nil if unreadable
	AttemptStarted                           // an attempt was handed to the transport
	ResponseReceived                         // the worker has responded to the attempt, with Status
	CallbackReceived                         // a worker has called back; Attempt is nil if it is about none in flight
	AttemptEnded                             // an attempt that was started has ended; Err is nil if it was served
	RequestEnded                             // a request has its response, or no client and no attempt in flight
	AttemptWritten                           // the last byte of an attempt was written
	RequestForgotten                         // a request was removed from the table: its ID is not used again
)

// Notification is one event of the table. What it points to may be read only until Observe returns.
type Notification struct {
	Kind     NotificationKind
	Request  *Request
	Attempt  *Attempt
	Err      *AttemptError
	Callback *Callback
	Status   int // HTTP status
}

// Observer is notified of what happens, in order. It decides nothing and must not block.
type Observer interface {
	Observe(notification Notification)
}

// AddObserver adds an observer, which is notified from now on.
func (t *Table) AddObserver(observer Observer) { t.observers = append(t.observers, observer) }

// ReportRejection notifies the observers of a request that a frontend rejected with an HTTP status instead of admitting
// it. arrival is nil if the request could not be read.
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
	t.notify(notification)
}

// ReportResponse notifies the observers of the HTTP status that a worker responded to an attempt with.
func (t *Table) ReportResponse(attempt *Attempt, status int) {
	t.notify(Notification{Kind: ResponseReceived, Request: attempt.Request, Attempt: attempt, Status: status})
}

// ReportWritten notifies the observers that the last byte of an attempt was written.
func (t *Table) ReportWritten(attempt *Attempt) {
	t.notify(Notification{Kind: AttemptWritten, Request: attempt.Request, Attempt: attempt})
}

// notify hands a notification to each observer. One that panics is removed.
func (t *Table) notify(notification Notification) {
	for i := 0; i < len(t.observers); i++ {
		if t.notifyOne(t.observers[i], notification) {
			continue
		}
		t.observers = append(t.observers[:i:i], t.observers[i+1:]...)
		i--
	}
}

// notifyOne notifies one observer, and reports whether it did not panic.
func (t *Table) notifyOne(observer Observer, notification Notification) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			t.logger.Error("observer panic: observer removed", "observer", fmt.Sprintf("%T", observer),
				"panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	observer.Observe(notification)
	return true
}
