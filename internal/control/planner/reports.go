package planner

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// rejectionRecorder counts send commands rejected by forwarders' validators.
type rejectionRecorder interface {
	recordRejection(f *forwarder, reason message.RejectReason)
}

// reportHandler processes forwarders' reports about requests and attempts.
type reportHandler struct {
	stats            *Stats
	step             *step
	requestLifecycle *requestLifecycle
	policy           notifier
	requests         *requestTable
	summary          rejectionRecorder
}

// attemptEnded processes the end of an attempt, or the rejection of its send command by the forwarder's validator.
func (r *reportHandler) attemptEnded(f *forwarder, report *message.AttemptEnded) {
	rejected := report.Reason != message.ReasonNone
	if rejected {
		r.summary.recordRejection(f, report.Reason)
	}
	req, attempt := f.attemptInFlight(report.RequestID, report.Attempt)
	if attempt == nil || rejected && attempt.state != attemptCommanded {
		r.stats.StrayMessages++
		return
	}
	result := normalizeResult(report.Result)
	if rejected {
		result = dispatch.NotSent
	}
	r.requests.endAttempt(req, attempt, result)
	r.policy.notify(dispatch.Outcome{
		Job: req.id, Attempt: report.Attempt, Worker: attempt.worker.ID, Result: result,
		Closed: !req.state.isOpen() || result == dispatch.OK,
	})
	r.updateAfterEnd(req, result, report.Reason)
}

// updateAfterEnd updates the state of a request after the end of one of its attempts.
func (r *reportHandler) updateAfterEnd(req *request, result dispatch.Result, reason message.RejectReason) {
	lost := reason == message.ReasonUnknownRequest || reason == message.ReasonNotOwner
	switch {
	case !req.state.isOpen():
		if req.inFlight == 0 {
			r.requestLifecycle.remove(req)
		}
	case lost:
		r.policy.notify(dispatch.ClientDisconnected{Job: req.id})
		r.requestLifecycle.close(req)
	case result == dispatch.OK:
		r.stats.Served++
		r.requestLifecycle.close(req)
	default:
		r.requests.updateOpenState(req, r.step.now())
	}
}

// attemptStarted processes the report that a worker has started to execute an attempt.
func (r *reportHandler) attemptStarted(f *forwarder, report *message.AttemptStarted) {
	req, attempt := f.attemptInFlight(report.RequestID, report.Attempt)
	if attempt == nil {
		r.stats.StrayMessages++
		return
	}
	attempt.confirmStart(r.step.now())
	r.policy.notify(dispatch.Started{Job: req.id, Attempt: report.Attempt, Worker: attempt.worker.ID})
}

// attemptProgressed processes a progress report of an attempt. A fraction outside [0, 1] only confirms the start.
func (r *reportHandler) attemptProgressed(f *forwarder, report *message.AttemptProgress) {
	req, attempt := f.attemptInFlight(report.RequestID, report.Attempt)
	if attempt == nil {
		r.stats.StrayMessages++
		return
	}
	attempt.confirmStart(r.step.now())
	if fraction := report.Fraction; fraction >= 0 && fraction <= 1 {
		r.policy.notify(dispatch.Progressed{
			Job: req.id, Attempt: report.Attempt, Worker: attempt.worker.ID, Share: fraction,
		})
	}
}

// requestClosed processes the report that a request no longer needs decisions from this planner.
func (r *reportHandler) requestClosed(f *forwarder, report *message.RequestClosed) {
	req := f.requests[report.RequestID]
	if req == nil || !req.state.isOpen() {
		return
	}
	r.policy.notify(dispatch.ClientDisconnected{Job: req.id})
	r.requestLifecycle.close(req)
	if req.state == requestClosing { // another planner may have the request now, and the forwarder reports only to that one
		r.requestLifecycle.expireUnreported(req)
	}
}
