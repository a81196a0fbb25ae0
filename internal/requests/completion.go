package requests

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
)

// ClientDisconnected closes a request whose client has disconnected. It gets no response. A closed request stays as it
// is.
func (t *Table) ClientDisconnected(request *Request) {
	if request.IsClosed() {
		return
	}
	t.addEvent(dispatch.ClientDisconnected{Job: request.ID})
	t.closeRequest(request, requestDisconnected)
}

// CloseSince gives each open request that arrived at an instant or later its final response: rejected if it has no
// attempts, else failed. It is for a process that ends.
func (t *Table) CloseSince(since time.Duration) {
	t.closeMatching(func(request *Request) bool { return request.ArrivedAt >= since })
}

// RejectQueued rejects each open request that has no attempts. It is for a process that is about to end.
func (t *Table) RejectQueued() {
	t.closeMatching(func(request *Request) bool { return len(request.attempts) == 0 })
}

// closeMatching closes the open requests that match. The policy learns of it as of clients that disconnect.
func (t *Table) closeMatching(matches func(*Request) bool) {
	for _, request := range t.inAdmissionOrder() {
		if request.IsClosed() || !matches(request) {
			continue
		}
		t.addEvent(dispatch.ClientDisconnected{Job: request.ID})
		t.closeWithoutPolicy(request)
	}
}

// closeWithoutPolicy gives an open request a final response that follows from its attempts alone.
func (t *Table) closeWithoutPolicy(request *Request) {
	if len(request.attempts) == 0 {
		t.reject(request, 0) // not executed, so the client may retry at once
		return
	}
	t.fail(request)
}

// serve gives a request a worker's result, unless it is closed.
func (t *Table) serve(request *Request, result []byte) {
	if t.conclude(request, ResponseResult) {
		request.responder.RespondResult(result)
	}
}

// reject gives a request the response that it was not executed, unless it is closed.
func (t *Table) reject(request *Request, retryAfter time.Duration) {
	if t.conclude(request, ResponseRejected) {
		request.responder.RespondRejected(retryAfter)
	}
}

// fail gives a request the response that it failed, unless it is closed.
func (t *Table) fail(request *Request) {
	if t.conclude(request, ResponseFailed) {
		request.responder.RespondFailed()
	}
}

// conclude closes an open request with a kind of response, and reports whether it was open: each request is responded
// to once.
func (t *Table) conclude(request *Request, response Response) bool {
	if request.IsClosed() {
		return false
	}
	request.response = response
	t.closeRequest(request, requestResponded)
	return true
}

// closeRequest closes an open request. It stays in the table for as long as attempts are in flight.
func (t *Table) closeRequest(request *Request, next requestState) {
	request.become(next)
	if t.openByCallID[request.CallID] == request {
		delete(t.openByCallID, request.CallID)
	}
	t.abandonUnwritten(request)
	if request.state == requestResponded {
		t.reportEnded(request)
	}
	t.forgetIfDone(request)
}

// forgetIfDone removes a closed request that has no attempts in flight.
func (t *Table) forgetIfDone(request *Request) {
	if !request.IsClosed() || request.inFlight > 0 || t.requests[request.ID] != request {
		return
	}
	delete(t.requests, request.ID)
	t.payloadBytes -= len(request.Payload.Body)
	t.reportEnded(request)
	t.notify(Notification{Kind: RequestForgotten, Request: request})
}

// reportEnded notifies the observers once that a closed request has ended.
func (t *Table) reportEnded(request *Request) {
	if request.become(requestEnded) {
		t.notify(Notification{Kind: RequestEnded, Request: request})
	}
}

// inAdmissionOrder returns all requests in order of admission, so that nothing depends on the order of a map.
func (t *Table) inAdmissionOrder() []*Request {
	return slices.SortedFunc(maps.Values(t.requests), func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
}
