package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// maxSessionFailures is the number of failed sessions or policies after which a request is given up.
const maxSessionFailures = 2

// responseValidator reports whether a request may safely be rejected, and is notified of executed sends and responses.
type responseValidator interface {
	Apply(now time.Duration, action dispatch.Action)
	CanReject(id uint64) bool
}

// responder executes sends and responses, closes requests, and gives up requests for which no planner or policy decides in
// time.
type responder struct {
	step          *step
	stats         *Stats
	validator     responseValidator
	requests      *openRequests
	checks        *checkSchedule
	assignments   *assignments
	local         *localPolicy
	maxRetryAfter time.Duration
}

// execute emits an action that sends an attempt or a response, and notifies the validator.
func (r *responder) execute(action dispatch.Action) {
	r.step.emit(action)
	r.validator.Apply(r.step.now(), action)
}

// sendAttempt sends a request to a worker. A timeout that is negative or not before the deadline is dropped, so that the attempt
// ends at the deadline. As the worker may still execute the attempt afterwards, its end must be reported accordingly.
func (r *responder) sendAttempt(request *openRequest, worker uint64, timeout time.Duration) {
	if timeout < 0 || timeout >= request.deadline-r.step.now() {
		timeout = 0
	}
	r.execute(dispatch.Send{Job: request.job.ID, Worker: worker, AttemptTimeout: timeout})
	request.sentInStep = r.step.number
	r.stats.Sent++
	r.checks.schedule(request)
}

// recordFailure records that a request may have caused a failure: the end of a planner's session, a panic of the planner's
// policy, or, if session is nil, a panic of the local policy. The request is enqueued, or given up at maxSessionFailures
// failures.
func (r *responder) recordFailure(request *openRequest, session *plannerSession) {
	request.failures++
	if request.failures < maxSessionFailures {
		request.transferredBy = session
		r.assignments.enqueue(request)
		return
	}
	r.stats.Poison++
	r.step.log("request given up as sessions or policies fail on it", "request", request.job.ID, "class", request.job.Class,
		"failures", request.failures)
	r.giveUp(request)
}

// giveUp responds to a request without a decision of a planner or policy: with a rejection if that is safe, otherwise with a
// failure.
func (r *responder) giveUp(request *openRequest) {
	if r.validator.CanReject(request.job.ID) {
		r.stats.Rejected++
		r.reject(request, request.deadline-r.step.now())
	} else {
		r.stats.Failed++
		r.fail(request)
	}
	r.closeRequest(request, ownerNotified)
}

// reject responds with a rejection. Its Retry-After is limited to maxRetryAfter.
func (r *responder) reject(request *openRequest, retryAfter time.Duration) {
	r.execute(dispatch.Reject{Job: request.job.ID, RetryAfter: min(max(0, retryAfter), r.maxRetryAfter)})
}

// fail responds with a failure, which does not say whether the request was executed.
func (r *responder) fail(request *openRequest) { r.execute(dispatch.Fail{Job: request.job.ID}) }

// ownerNotice states whether the planner or policy that a request is assigned to must be notified of its end.
type ownerNotice bool

const (
	ownerKnows    ownerNotice = false // it gave the command that closes the request, or is notified in another way
	ownerNotified ownerNotice = true
)

// closeRequest closes a request whose response is given or whose client has disconnected.
func (r *responder) closeRequest(request *openRequest, notify ownerNotice) {
	owner := request.state
	if !request.transition(eventClosed) {
		return
	}
	dequeue(request)
	switch owner {
	case requestOffered:
		request.session.removeRequest(request)
		if notify == ownerNotified {
			r.step.send(request.session, &message.RequestClosed{RequestID: request.job.ID})
		}
	case requestLocal:
		if notify == ownerNotified {
			r.local.notify(dispatch.ClientDisconnected{Job: request.job.ID})
		}
	case requestWaiting:
		request.session = nil
	}
	r.checks.schedule(request)
	r.releaseRequest(request)
}

// releaseRequest removes a closed request if no attempt of it is in flight.
func (r *responder) releaseRequest(request *openRequest) {
	if request.state != requestClosed || r.checks.hasAttempts(request) || r.requests.find(request.job.ID) != request {
		return
	}
	r.local.removeRequest(request)
	r.requests.remove(request)
}
