package forwarder

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// observe processes an event of the request table.
func (f *Forwarder) observe(event dispatch.Event) {
	switch event := event.(type) {
	case dispatch.Job:
		f.validator.Observe(f.now, event)
		f.admit(event)
	case dispatch.Started:
		f.attemptStarted(event)
	case dispatch.Progressed:
		f.attemptProgressed(event)
	case dispatch.ResponseStarted:
		f.responseStarted(event)
	case dispatch.Outcome:
		f.attemptEnded(event)
	case dispatch.ClientDisconnected:
		f.clientDisconnected(event)
	case dispatch.HealthChecked:
		f.healthChecked(event)
	case dispatch.WorkerList:
		f.endpointsChanged(event)
	case dispatch.TimerFired: // what is due is found by the time
	}
}

// requestOfAttempt returns the request of an attempt, and the attempt's number as whoever has the request counts; nil: there
// is no such attempt.
func (f *Forwarder) requestOfAttempt(id uint64, attempt int) (request *openRequest, number int) {
	number, ok := f.validator.CommandNumber(id, attempt)
	if !ok {
		return nil, 0
	}
	return f.requests[id], number
}

func (f *Forwarder) attemptStarted(event dispatch.Started) {
	f.validator.Observe(f.now, event)
	request, number := f.requestOfAttempt(event.Job, event.Attempt)
	switch {
	case request == nil:
	case request.session != nil:
		f.sendAbout(request, &message.AttemptStarted{RequestID: event.Job, Attempt: number})
	case request.knownLocally:
		event.Attempt = number
		f.notifyLocal(event)
	}
}

func (f *Forwarder) attemptProgressed(event dispatch.Progressed) {
	f.validator.Observe(f.now, event)
	request, number := f.requestOfAttempt(event.Job, event.Attempt)
	switch {
	case request == nil:
	case request.session != nil:
		f.sendAbout(request, &message.AttemptProgress{RequestID: event.Job, Attempt: number, Fraction: event.Share})
	case request.knownLocally:
		event.Attempt = number
		f.notifyLocal(event)
	}
}

// responseStarted processes that a response has begun to reach the client: the request has no deadline any more, and nothing
// is decided on it.
func (f *Forwarder) responseStarted(event dispatch.ResponseStarted) {
	f.validator.Observe(f.now, event)
	request, number := f.requestOfAttempt(event.Job, event.Attempt)
	if request == nil {
		return
	}
	if request.knownLocally {
		event.Attempt = number
		f.notifyLocal(event)
	}
	f.closeRequest(request, ownerNotice(request.state == requestOffered))
}

// attemptEnded processes the end of an attempt. The validator may not know it, if the request was closed by then.
func (f *Forwarder) attemptEnded(event dispatch.Outcome) {
	number, known := f.validator.Observe(f.now, event)
	request := f.requests[event.Job]
	if request == nil {
		return
	}
	if known {
		f.reportEnd(request, event, number)
	}
	succeeded := event.Result == dispatch.OK
	switch {
	case event.Closed || succeeded:
		unaware := !known || request.state == requestOffered && !succeeded
		f.closeRequest(request, ownerNotice(unaware))
		f.releaseRequest(request)
	case request.state == requestClosed:
		f.releaseRequest(request)
	case f.validator.InFlight(event.Job) == 0:
		f.lastAttemptEnded(request)
	}
}

// reportEnd tells whoever has a request of the end of an attempt.
func (f *Forwarder) reportEnd(request *openRequest, event dispatch.Outcome, number int) {
	switch {
	case request.session != nil:
		f.sendAbout(request, &message.AttemptEnded{RequestID: event.Job, Attempt: number, Result: event.Result})
	case request.knownLocally:
		event.Attempt = number
		f.notifyLocal(event)
	}
}

// lastAttemptEnded processes that no attempt of an open request is in flight any more.
func (f *Forwarder) lastAttemptEnded(request *openRequest) {
	switch {
	case request.state == requestLocal && f.mode == modeReturning:
		f.enqueueIn(request, &f.returning)
	case request.state == requestOffered:
		f.awaitCommand(request)
	default:
		f.scheduleCheck(request)
	}
}

func (f *Forwarder) clientDisconnected(event dispatch.ClientDisconnected) {
	f.validator.Observe(f.now, event)
	if request := f.requests[event.Job]; request != nil {
		f.closeRequest(request, ownerNotified)
	}
}
