package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// maxSessionFailures is how many sessions or policies of planners may fail on a request before it is given up.
const maxSessionFailures = 2

// recordFailure notes that a planner's session or policy has failed, perhaps because of a request; without a planner, that
// the local policy has. After the second failure the request is given up.
func (f *Forwarder) recordFailure(request *openRequest, session *plannerSession) {
	request.failures++
	if request.failures < maxSessionFailures {
		request.transferredBy = session
		f.enqueue(request)
		return
	}
	f.stats.Poison++
	f.log("request given up as sessions or policies fail on it", "request", request.job.ID, "class", request.job.Class,
		"failures", request.failures)
	f.giveUp(request)
}

// giveUp responds to a request that nobody decides on: with a rejection if that is safe, else with a failure.
func (f *Forwarder) giveUp(request *openRequest) {
	id := request.job.ID
	if f.validator.CanReject(id) {
		f.stats.Rejected++
		f.respond(dispatch.Reject{Job: id, RetryAfter: f.boundRetryAfter(request.deadline - f.now)})
	} else {
		f.stats.Failed++
		f.respond(dispatch.Fail{Job: id})
	}
	f.closeRequest(request, ownerNotified)
}

// boundRetryAfter limits a Retry-After to what the settings allow.
func (f *Forwarder) boundRetryAfter(retryAfter time.Duration) time.Duration {
	return min(max(0, retryAfter), f.settings.MaxRetryAfter)
}

// respond has an attempt sent or a response given, and has the validator know.
func (f *Forwarder) respond(action dispatch.Action) {
	f.emit(action)
	f.validator.Apply(f.now, action)
}

// ownerNotice says whether whoever has a request is to be told that it is closed.
type ownerNotice bool

const (
	ownerKnows    ownerNotice = false // it closes by the owner's command, or by what the owner is told anyway
	ownerNotified ownerNotice = true
)

// closeRequest closes a request: it has its response, or its client has disconnected.
func (f *Forwarder) closeRequest(request *openRequest, notify ownerNotice) {
	owner := request.state
	if !request.transition(eventClosed) {
		return
	}
	f.dequeue(request)
	switch owner {
	case requestOffered:
		f.removeFromSession(request)
		if notify == ownerNotified {
			f.send(request.session, &message.RequestClosed{RequestID: request.job.ID})
		}
	case requestLocal:
		if notify == ownerNotified {
			f.notifyLocal(dispatch.ClientDisconnected{Job: request.job.ID})
		}
	case requestWaiting:
		request.session = nil
	}
	f.scheduleCheck(request)
	f.releaseRequest(request)
}

// releaseRequest forgets a closed request once no attempt of it is in flight.
func (f *Forwarder) releaseRequest(request *openRequest) {
	id := request.job.ID
	if request.state != requestClosed || f.validator.InFlight(id) > 0 || f.requests[id] != request {
		return
	}
	delete(f.requests, id)
	f.forgetLocally(request)
	request.session = nil
	f.freeRequests = append(f.freeRequests, request)
}
