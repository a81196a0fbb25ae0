package ledger

import (
	"fmt"
	"runtime/debug"
)

// Outcome is how an attempt or a query ended, in the protocol's words.
type Outcome string

// The outcomes.
const (
	Served         Outcome = "served"
	Error          Outcome = "error"
	TurnedAway     Outcome = "turned away"
	CouldNotReach  Outcome = "could not connect"
	ConnectionLost Outcome = "reset"
	TimedOut       Outcome = "timed out"
)

// Outcomes are all of them.
var Outcomes = [...]Outcome{Served, Error, TurnedAway, CouldNotReach, ConnectionLost, TimedOut}

// neverRan tells whether an outcome proves that nothing has run.
func (o Outcome) neverRan() bool { return o == "" || o == TurnedAway || o == CouldNotReach }

// Outcome is the protocol's word for how an attempt ended that was sent; nil stands for served.
func (f *Fault) Outcome() Outcome {
	switch {
	case f == nil:
		return Served
	case f.Reason == Cut && f.Stage < AllWritten:
		return CouldNotReach
	}
	return [...]Outcome{Cut: ConnectionLost, Rejected: TurnedAway, Unusable: TurnedAway, Errored: Error,
		Expired: TimedOut, Withdrawn: TimedOut, Unsent: CouldNotReach}[f.Reason]
}

// came takes in how an attempt ended. What may have run counts for more than a later attempt that never did.
func (q *Query) came(o Outcome) {
	if q.outcome != Served && (q.outcome.neverRan() || !o.neverRan()) {
		q.outcome = o
	}
}

// Outcome is how a query ended that is over. One that was answered while an attempt was still out timed out:
// nobody waits for that any more. One of which nothing was ever sent was turned away.
func (q *Query) Outcome() Outcome {
	switch {
	case q.outcome == Served:
		return Served
	case q.out > 0:
		return TimedOut
	case q.outcome == "":
		return TurnedAway
	}
	return q.outcome
}

// Answer is which of the three final answers a query got.
type Answer int

// The answers. A query that its client has left stays unanswered.
const (
	Unanswered Answer = iota
	AnsweredServed
	AnsweredBusy
	AnsweredFailed
)

// Answer tells which answer a query got.
func (q *Query) Answer() Answer { return q.answer }

// What is the kind of a piece of news.
type What int

// Kinds of news.
const (
	NewsTaken   What = iota // a query came in
	NewsRefused             // a request was refused at the door, by Status; Query, if it could be read, was never entered
	NewsSent                // an attempt begins
	NewsAnswer              // its worker node has answered the request, by Status
	NewsNote                // a worker node's note; Attempt is nil if it is about none that is out
	NewsEnded               // an attempt that was sent has ended; Fault nil: served
	NewsOver                // a query has its answer, or its client has left and nothing of it is out any more
	NewsWritten             // the last byte of an attempt has left for its worker node
	NewsDropped             // a query is forgotten: nothing more will be heard of its number
)

// News is one thing that happened. What it points to may be looked at only while it is told.
type News struct {
	What    What
	Query   *Query
	Attempt *Attempt
	Fault   *Fault
	Note    *Note
	Status  int
}

// Observer is told what happens, in order, and decides nothing. It may not wait for anything.
type Observer interface{ Observe(n News) }

// Attach adds an observer.
func (l *Ledger) Attach(o Observer) { l.observers = append(l.observers, o) }

func (l *Ledger) tell(n News) {
	for i := 0; i < len(l.observers); i++ {
		if o := l.observers[i]; !l.observe(o, n) {
			l.observers = append(l.observers[:i:i], l.observers[i+1:]...)
			i--
		}
	}
}

// observe stops a panic at the observer, which hears nothing more: it is no part of the service.
func (l *Ledger) observe(o Observer, n News) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in an observer: it is left out from now on", "observer", fmt.Sprintf("%T", o),
				"panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	o.Observe(n)
	return true
}

func (l *Ledger) tellOver(q *Query) {
	if !q.over {
		q.over = true
		l.tell(News{What: NewsOver, Query: q})
	}
}

// Refuse tells of a request that was refused at the door. in is nil for one that could not be read as a query.
func (l *Ledger) Refuse(in *Arrival, status int) {
	n := News{What: NewsRefused, Status: status}
	if in != nil {
		n.Query = &Query{Call: in.Call, Parcel: in.Parcel, Job: in.Job, outcome: TurnedAway}
	}
	l.tell(n)
}

// Answered tells of a worker node's answer to the request of an attempt.
func (l *Ledger) Answered(a *Attempt, status int) {
	l.tell(News{What: NewsAnswer, Query: a.Query, Attempt: a, Status: status})
}

// Written tells that the last byte of an attempt has left.
func (l *Ledger) Written(a *Attempt) { l.tell(News{What: NewsWritten, Query: a.Query, Attempt: a}) }
