package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// attemptValidator is notified of the events of the request table, and knows the attempts' numbers.
type attemptValidator interface {
	Observe(now time.Duration, event dispatch.Event) (commandNumber int, attemptEnded bool)
	CommandNumber(id uint64, index int) (number int, ok bool)
}

// returningMode reports whether requests of the local policy are to return to planners.
type returningMode interface{ isReturning() bool }

// attemptReporter reports the events of attempts to the planner or local policy that has the request, and closes requests
// that have ended.
type attemptReporter struct {
	step      *step
	validator attemptValidator
	requests  *openRequests
	queues    *requestQueues
	checks    *checkSchedule
	responder *responder
	local     *localPolicy
	mode      returningMode
}

// findAttempt returns the request of an attempt, and the attempt's number in the count of whoever has the request; nil:
// there is no such attempt.
func (a *attemptReporter) findAttempt(id uint64, attempt int) (request *openRequest, number int) {
	number, ok := a.validator.CommandNumber(id, attempt)
	if !ok {
		return nil, 0
	}
	return a.requests.find(id), number
}

// started reports that a worker has started an attempt.
func (a *attemptReporter) started(event dispatch.Started) {
	a.validator.Observe(a.step.now(), event)
	request, number := a.findAttempt(event.Job, event.Attempt)
	switch {
	case request == nil:
	case request.session != nil:
		a.step.sendAbout(request, &message.AttemptStarted{RequestID: event.Job, Attempt: number})
	case request.knownLocally:
		event.Attempt = number
		a.local.notify(event)
	}
}

// progressed reports the progress of an attempt.
func (a *attemptReporter) progressed(event dispatch.Progressed) {
	a.validator.Observe(a.step.now(), event)
	request, number := a.findAttempt(event.Job, event.Attempt)
	switch {
	case request == nil:
	case request.session != nil:
		a.step.sendAbout(request, &message.AttemptProgress{RequestID: event.Job, Attempt: number, Fraction: event.Share})
	case request.knownLocally:
		event.Attempt = number
		a.local.notify(event)
	}
}

// responseStarted processes that the client is receiving a response: the request has no deadline from then on, and no more
// commands are executed for it.
func (a *attemptReporter) responseStarted(event dispatch.ResponseStarted) {
	a.validator.Observe(a.step.now(), event)
	request, number := a.findAttempt(event.Job, event.Attempt)
	if request == nil {
		return
	}
	if request.knownLocally {
		event.Attempt = number
		a.local.notify(event)
	}
	a.responder.closeRequest(request, ownerNotice(request.state == requestOffered))
}

// ended processes the end of an attempt. The validator does not know the attempt if the request was closed before.
func (a *attemptReporter) ended(event dispatch.Outcome) {
	number, known := a.validator.Observe(a.step.now(), event)
	request := a.requests.find(event.Job)
	if request == nil {
		return
	}
	if known {
		a.reportEnd(request, event, number)
	}
	succeeded := event.Result == dispatch.OK
	switch {
	case event.Closed || succeeded:
		unaware := !known || request.state == requestOffered && !succeeded
		a.responder.closeRequest(request, ownerNotice(unaware))
		a.responder.releaseRequest(request)
	case request.state == requestClosed:
		a.responder.releaseRequest(request)
	case !a.checks.hasAttempts(request):
		a.lastEnded(request)
	}
}

// reportEnd reports the end of an attempt to whoever has the request.
func (a *attemptReporter) reportEnd(request *openRequest, event dispatch.Outcome, number int) {
	switch {
	case request.session != nil:
		a.step.sendAbout(request, &message.AttemptEnded{RequestID: event.Job, Attempt: number, Result: event.Result})
	case request.knownLocally:
		event.Attempt = number
		a.local.notify(event)
	}
}

// lastEnded processes that the last attempt in flight of an open request has ended.
func (a *attemptReporter) lastEnded(request *openRequest) {
	switch {
	case request.state == requestLocal && a.mode.isReturning():
		a.queues.returning.add(request)
	case request.state == requestOffered:
		a.checks.awaitCommand(request)
	default:
		a.checks.schedule(request)
	}
}

// clientDisconnected closes the request of a client that has disconnected.
func (a *attemptReporter) clientDisconnected(event dispatch.ClientDisconnected) {
	a.validator.Observe(a.step.now(), event)
	if request := a.requests.find(event.Job); request != nil {
		a.responder.closeRequest(request, ownerNotified)
	}
}
