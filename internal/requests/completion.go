package requests

import (
	"time"

	"valvecove/dispatch"
)

// ClientDisconnected closes a request whose client has disconnected, without a response. It does nothing for a closed request.
func (t *Table) ClientDisconnected(request *Request) {
	if request.IsClosed() {
		return
	}
	t.policy.addEvent(dispatch.ClientDisconnected{Job: request.ID})
	t.closeRequest(request, requestDisconnected)
}

// CloseSince gives each open request that arrived at or after an instant its final response: rejected if it has no attempts, else
// failed. It is called when the process ends.
func (t *Table) CloseSince(since time.Duration) {
	t.closeMatching(func(request *Request) bool { return request.ArrivedAt >= since })
}

// RejectQueued rejects each open request that has no attempts. It is called when the process is about to end.
func (t *Table) RejectQueued() {
	t.closeMatching(func(request *Request) bool { return len(request.attempts) == 0 })
}

// closeMatching closes the open requests that match. The policy is notified as if their clients had disconnected.
func (t *Table) closeMatching(matches func(*Request) bool) {
	for _, request := range t.requests.inAdmissionOrder() {
		if request.IsClosed() || !matches(request) {
			continue
		}
		t.policy.addEvent(dispatch.ClientDisconnected{Job: request.ID})
		t.closeWithoutPolicy(request)
	}
}

// closeWithoutPolicy gives an open request a final response that depends on its attempts only.
func (t *Table) closeWithoutPolicy(request *Request) {
	if len(request.attempts) == 0 {
		t.reject(request, 0) // not executed, so the client may retry at once
		return
	}
	t.fail(request)
}

// serve gives an open request a worker's result as its response. It does nothing for a closed request.
func (t *Table) serve(request *Request, result []byte) {
	if t.closeWithResponse(request, ResponseResult) {
		request.responder.RespondResult(result)
	}
}

// reject gives an open request the response that it was not executed. It does nothing for a closed request.
func (t *Table) reject(request *Request, retryAfter time.Duration) {
	if t.closeWithResponse(request, ResponseRejected) {
		request.responder.RespondRejected(retryAfter)
	}
}

// fail gives an open request the response that it has failed. It does nothing for a closed request.
func (t *Table) fail(request *Request) {
	if t.closeWithResponse(request, ResponseFailed) {
		request.responder.RespondFailed()
	}
}

// closeWithResponse closes an open request with a kind of response, and reports whether it was open. It is called before each
// response, so that a request gets at most one.
func (t *Table) closeWithResponse(request *Request, response Response) bool {
	if request.IsClosed() {
		return false
	}
	request.response = response
	t.closeRequest(request, requestResponded)
	return true
}

// closeRequest closes an open request. It stays in the table while attempts of it are in flight.
func (t *Table) closeRequest(request *Request, next requestState) {
	request.transitionTo(next)
	t.requests.removeOpen(request)
	t.abandonUnwritten(request)
	t.rememberExecuted(request)
	if request.state == requestResponded {
		t.reportEnded(request)
	}
	t.forgetIfDone(request)
}

// forgetIfDone removes a closed request that has no attempts in flight.
func (t *Table) forgetIfDone(request *Request) {
	if !request.IsClosed() || request.inFlight > 0 || !t.requests.contains(request) {
		return
	}
	t.requests.remove(request)
	t.rememberExecuted(request) // for as long from the end of its last attempt
	t.reportEnded(request)
	t.observers.notify(Notification{Kind: RequestForgotten, Request: request})
}

// reportEnded notifies the observers that a closed request has ended, unless they were notified before.
func (t *Table) reportEnded(request *Request) {
	if request.transitionTo(requestEnded) {
		t.observers.notify(Notification{Kind: RequestEnded, Request: request})
	}
}
