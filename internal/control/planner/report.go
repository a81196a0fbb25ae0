package planner

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// attemptEnded takes in how an attempt has ended, or why the forwarder's validator has rejected its send command.
func (p *Planner) attemptEnded(f *forwarder, report *message.AttemptEnded) {
	rejected := report.Reason != message.ReasonNone
	if rejected {
		p.recordRejection(f, report.Reason)
	}
	req, attempt := f.attemptInFlight(report.RequestID, report.Attempt)
	if attempt == nil || rejected && attempt.state != attemptCommanded {
		p.stats.StrayMessages++
		return
	}
	result := knownResult(report.Result)
	if rejected {
		result = dispatch.NotSent
	}
	p.requests.endAttempt(req, attempt, result)
	p.notifyPolicy(dispatch.Outcome{
		Job: req.id, Attempt: report.Attempt, Worker: attempt.worker.ID, Result: result,
		Closed: !req.state.isOpen() || result == dispatch.OK,
	})
	p.settleAfterEnd(req, result, report.Reason)
}

// settleAfterEnd takes in what the end of an attempt means for its request.
func (p *Planner) settleAfterEnd(req *request, result dispatch.Result, reason message.RejectReason) {
	lost := reason == message.ReasonUnknownRequest || reason == message.ReasonNotOwner
	switch {
	case !req.state.isOpen():
		if req.inFlight == 0 {
			p.removeRequest(req)
		}
	case lost:
		p.notifyPolicy(dispatch.ClientDisconnected{Job: req.id})
		p.closeRequest(req)
	case result == dispatch.OK:
		p.stats.Served++
		p.closeRequest(req)
	default:
		p.requests.settle(req, p.now)
	}
}

// attemptStarted takes in that a worker has started to execute an attempt.
func (p *Planner) attemptStarted(f *forwarder, report *message.AttemptStarted) {
	req, attempt := f.attemptInFlight(report.RequestID, report.Attempt)
	if attempt == nil {
		p.stats.StrayMessages++
		return
	}
	attempt.confirmStart(p.now)
	p.notifyPolicy(dispatch.Started{Job: req.id, Attempt: report.Attempt, Worker: attempt.worker.ID})
}

// attemptProgressed takes in how much of an attempt is done. A figure that is no fraction tells no more than its start.
func (p *Planner) attemptProgressed(f *forwarder, report *message.AttemptProgress) {
	req, attempt := f.attemptInFlight(report.RequestID, report.Attempt)
	if attempt == nil {
		p.stats.StrayMessages++
		return
	}
	attempt.confirmStart(p.now)
	if fraction := report.Fraction; fraction >= 0 && fraction <= 1 {
		p.notifyPolicy(dispatch.Progressed{
			Job: req.id, Attempt: report.Attempt, Worker: attempt.worker.ID, Share: fraction,
		})
	}
}

// requestClosed takes in that a request needs no decision any more, or not from this planner.
func (p *Planner) requestClosed(f *forwarder, report *message.RequestClosed) {
	req := f.requests[report.RequestID]
	if req == nil || !req.state.isOpen() {
		return
	}
	p.notifyPolicy(dispatch.ClientDisconnected{Job: req.id})
	p.closeRequest(req)
	if req.state == requestClosing { // if another planner has it now, nothing more is reported here
		p.expireUnreported(req)
	}
}

// attemptInFlight returns a request of the forwarder and one of its attempts; nil: there is none by this number, or it is
// not in flight.
func (f *forwarder) attemptInFlight(requestID uint64, number int) (*request, *attempt) {
	req := f.requests[requestID]
	if req == nil || number < 0 || number >= len(req.attempts) || !req.attempts[number].inFlight() {
		return req, nil
	}
	return req, &req.attempts[number]
}
