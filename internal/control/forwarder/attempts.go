package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// attemptValidator is notified of the events of the request table, and maps attempt indexes to command numbers.
type attemptValidator interface {
	Observe(now time.Duration, event dispatch.Event) (commandNumber int, attemptEnded bool)
	CommandNumber(id uint64, index int) (number int, ok bool)
}

// returningMode reports whether requests of the local policy are being handed back to planners.
type returningMode interface{ isReturning() bool }

// attemptReporter reports the events of attempts to the planner or local policy that the request is assigned to, and closes
// requests that have ended.
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

// findAttempt returns the request of an attempt, and the number under which the planner or local policy that the request is
// assigned to knows the attempt. The request is nil if there is no such attempt.
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

// responseStarted handles the start of the response to the client. From then on the request has no deadline, and no further
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

// ended handles the end of an attempt. The validator no longer knows the attempt if the request was closed before.
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
		a.lastAttemptEnded(request)
	}
}

// reportEnd reports the end of an attempt to the planner or local policy that the request is assigned to.
func (a *attemptReporter) reportEnd(request *openRequest, event dispatch.Outcome, number int) {
	switch {
	case request.session != nil:
		a.step.sendAbout(request, &message.AttemptEnded{RequestID: event.Job, Attempt: number, Result: event.Result})
	case request.knownLocally:
		event.Attempt = number
		a.local.notify(event)
	}
}

// lastAttemptEnded handles the end of the last attempt in flight of an open request.
func (a *attemptReporter) lastAttemptEnded(request *openRequest) {
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
