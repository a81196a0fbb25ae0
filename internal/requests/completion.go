package requests

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
)

// ClientDisconnected closes a query whose client has left.
func (l *Table) ClientDisconnected(q *Request) {
	if q.closed {
		return
	}
	l.pendingEvents = append(l.pendingEvents, dispatch.ClientDisconnected{Job: q.ID})
	q.clientLeft = true
	l.closeRequest(q)
}

// conclude closes a query that gets this answer now.
func (l *Table) conclude(q *Request, a Response) {
	q.response = a
	l.closeRequest(q)
}

// closeRequest is the end of what is owed. The query itself stays for as long as attempts are out.
func (l *Table) closeRequest(q *Request) {
	if q.closed = true; l.openByCallID[q.CallID] == q {
		delete(l.openByCallID, q.CallID)
	}
	l.abandonUnwritten(q)
	if !q.clientLeft {
		l.reportEnded(q)
	}
	l.forgetIfDone(q)
}

func (l *Table) forgetIfDone(q *Request) {
	if q.closed && q.inFlight == 0 && l.requests[q.ID] == q {
		delete(l.requests, q.ID)
		l.payloadBytes -= len(q.Payload.Body)
		l.reportEnded(q)
		l.notify(Notification{Kind: RequestForgotten, Request: q})
	}
}

// CloseSince gives each query that came since then and is still open its final answer now: time is up for this process.
func (l *Table) CloseSince(since time.Duration) {
	l.closeMatching(func(q *Request) bool { return q.ArrivedAt >= since })
}

// RejectQueued refuses each open query of which nothing was ever sent: it would not run in the time that this process has.
func (l *Table) RejectQueued() {
	l.closeMatching(func(q *Request) bool { return len(q.attempts) == 0 })
}

func (l *Table) closeMatching(is func(*Request) bool) {
	for _, q := range l.inAdmissionOrder() {
		if !q.closed && is(q) {
			l.pendingEvents = append(l.pendingEvents, dispatch.ClientDisconnected{Job: q.ID}) // as far as the module is concerned
			l.closeWithoutPolicy(q)
		}
	}
}

// closeWithoutPolicy answers an open query without the module.
func (l *Table) closeWithoutPolicy(q *Request) {
	switch {
	case q.closed:
		return
	case len(q.attempts) == 0:
		l.conclude(q, ResponseRejected)
		q.responder.RespondRejected(0) // nothing was sent, so trying again is harmless
	default:
		l.conclude(q, ResponseFailed)
		q.responder.RespondFailed()
	}
}

// inAdmissionOrder is all queries as they came: map order decides nothing.
func (l *Table) inAdmissionOrder() []*Request {
	return slices.SortedFunc(maps.Values(l.requests), func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
}

func (l *Table) reportEnded(q *Request) {
	if !q.reported {
		q.reported = true
		l.notify(Notification{Kind: RequestEnded, Request: q})
	}
}
