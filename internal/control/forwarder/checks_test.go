package forwarder

import (
	"slices"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/requests"
)

// checkedRequest is a request as observed by the environment.
type checkedRequest struct {
	*client
	class         *dispatch.Class
	deadline      time.Duration
	disconnected  bool // the client disconnected before it got a response
	attempts      []*checkedAttempt
	assignedEpoch message.Epoch // epoch of the session that the request is assigned in; 0 if none
}

// checkedAttempt is an attempt as observed by the environment.
type checkedAttempt struct {
	attempt     *requests.Attempt
	worker      uint64
	cell        int
	zone        string
	sentAt      time.Duration
	ended       bool
	notExecuted bool // it is certain that the worker did not execute it
}

// checkSend checks an attempt that is about to be sent against all rules.
func (e *environment) checkSend(request *checkedRequest, worker uint64, endpoint *requests.Endpoint) {
	if len(request.responses) > 0 || request.disconnected {
		e.violation("%s is sent after its response or disconnection", request.name)
	}
	if len(request.attempts) >= e.settings.AttemptLimit {
		e.violation("%s is sent %d times, limit %d", request.name, len(request.attempts)+1, e.settings.AttemptLimit)
	}
	if endpoint.Lifecycle != "up" {
		e.violation("%s is sent to %s, which is %q in the endpoint list", request.name, endpoint.ID, endpoint.Lifecycle)
	}
	if e.isDrainingByStatus(worker, endpoint) {
		e.violation("%s is sent to %s, which is draining according to its newest status", request.name, endpoint.ID)
	}
	if request.class.Kinds != nil && endpoint.MachineType != "k"+strconv.Itoa(request.class.Kinds[0]) {
		e.violation("%s is sent to machine type %s, which its class does not allow", request.name, endpoint.MachineType)
	}
	for _, earlier := range request.attempts {
		e.checkSendAfter(request, worker, endpoint, earlier)
	}
}

// isDrainingByStatus reports whether the newest status of a worker that a planner sent before now forbids sending requests to it.
func (e *environment) isDrainingByStatus(worker uint64, endpoint *requests.Endpoint) bool {
	status, known := e.statuses[worker]
	if !known || status.State == message.WorkerUp || e.statusAt[worker] >= e.now {
		return false
	}
	listed := message.WorkerStatus{StartedMs: endpoint.StartedAtMs, Revision: revisionOf(endpoint)}
	return !listed.Supersedes(status)
}

// checkSendAfter checks an attempt that is about to be sent against an earlier one.
func (e *environment) checkSendAfter(request *checkedRequest, worker uint64, endpoint *requests.Endpoint,
	earlier *checkedAttempt,
) {
	if !earlier.ended && earlier.worker == worker {
		e.violation("%s is sent twice to %s", request.name, endpoint.ID)
	}
	if !earlier.ended && !e.settings.Hedging {
		e.violation("%s has two attempts in flight", request.name)
	}
	class := request.class
	if earlier.notExecuted || class.Idempotency == dispatch.Idempotent {
		return
	}
	age := e.now - earlier.sentAt
	outOfCell := class.DeduplicationScope == dispatch.ScopeCell && earlier.cell != endpoint.Cell
	outOfZone := class.DeduplicationScope == dispatch.ScopeZone && earlier.zone != endpoint.Zone
	if class.Idempotency == dispatch.NonIdempotent || outOfCell || outOfZone || age >= class.DeduplicationWindow {
		e.violation("%s of class %+v is sent to %s, though it may have been executed by %x, sent %v ago",
			request.name, *class, endpoint.ID, earlier.worker, age)
	}
}

// checkResponse checks the response to a client.
func (e *environment) checkResponse(respondent *client, response string, _ time.Duration) {
	request := e.requestsByCall[respondent.name]
	if request == nil { // called from within admit, before the request is recorded
		e.after(0, func() { e.checkResponse(respondent, response, 0) })
		return
	}
	e.stats[response]++
	if len(request.responses) > 1 {
		e.violation("%s got a second response", request.name)
	}
	if request.disconnected {
		e.violation("%s got a response after its client disconnected", request.name)
	}
	if e.now > request.deadline {
		e.violation("%s got its response %v after its deadline", request.name, e.now-request.deadline)
	}
	if response == responseRejected && !request.canReject() {
		e.violation("%s is rejected, though it may have been executed", request.name)
	}
}

// canReject reports whether the request may be rejected, after which the client may retry it.
func (c *checkedRequest) canReject() bool {
	switch class := c.class; class.Idempotency {
	case dispatch.Idempotent:
		return true
	case dispatch.IdempotentWithKey:
		if class.DeduplicationScope == dispatch.ScopeAll {
			return true
		}
	}
	return !slices.ContainsFunc(c.attempts, func(attempt *checkedAttempt) bool { return !attempt.notExecuted })
}

// checkOffer checks that a request is offered to one planner at a time, and within the planner's credit.
func (e *environment) checkOffer(conn *connection, epoch message.Epoch, offer *message.RequestOffer) {
	request := e.requestsByID[offer.RequestID]
	if request.assignedEpoch != 0 {
		e.violation("%s is offered to %s while it is assigned in session %d", request.name, conn.name, request.assignedEpoch)
	}
	request.assignedEpoch = epoch
	delete(conn.reportedEnds, offer.RequestID)
	if count := e.countAssigned(epoch); count > conn.maxCredit {
		e.violation("%s is assigned %d requests, with a credit of %d", conn.name, count, conn.maxCredit)
	}
}

// checkAttemptEnded checks that a planner is notified of the end of an attempt only once.
func (e *environment) checkAttemptEnded(conn *connection, epoch message.Epoch, ended *message.AttemptEnded) {
	request := e.requestsByID[ended.RequestID]
	isStray := ended.Reason == message.ReasonUnknownRequest || ended.Reason == message.ReasonNotOwner
	if ended.Attempt >= 0 && request != nil && !isStray {
		if conn.reportedEnds[ended.RequestID] == nil {
			conn.reportedEnds[ended.RequestID] = map[int]bool{}
		}
		if conn.reportedEnds[ended.RequestID][ended.Attempt] {
			e.violation("the end of attempt %d of %s is reported twice to %s", ended.Attempt, request.name, conn.name)
		}
		conn.reportedEnds[ended.RequestID][ended.Attempt] = true
	}
	if ended.Result == dispatch.OK && request.assignedEpoch == epoch {
		request.assignedEpoch = 0
	}
}

// checkOffers checks the past attempts that the offers of a step list. It is called once the step's actions are executed.
func (e *environment) checkOffers() {
	for _, outgoing := range e.offers {
		offer := outgoing.Message.(*message.RequestOffer)
		e.checkPastAttempts(outgoing.Planner, e.requestsByID[offer.RequestID], offer.Summary.Attempts)
	}
	e.offers = e.offers[:0]
}

// checkPastAttempts checks the list of attempts in the offer of a request. It must contain all attempts that were sent, in order;
// attempts that the request table did not send may be between them.
func (e *environment) checkPastAttempts(planner string, request *checkedRequest, listed []message.PastAttempt) {
	sent := request.attempts
	for i, past := range listed {
		if len(sent) == 0 || past.WorkerID != sent[0].worker || past.SentAgo != e.now-sent[0].sentAt {
			if !isUnsent(past, listed[:i]) {
				e.violation("the offer to %s lists attempt %+v of %s, which was not sent", planner, past, request.name)
			}
			continue
		}
		if past.PossiblyExecuted == sent[0].notExecuted {
			e.violation("the offer to %s lists attempt %+v of %s, which is %+v", planner, past, request.name, sent[0])
		}
		sent = sent[1:]
	}
	if len(sent) > 0 {
		e.violation("the offer to %s lists %d attempts of %s, but not %+v", planner, len(listed), request.name, sent[0])
	}
}

// isUnsent reports whether an attempt is listed as one that the request table did not send. That is legitimate after a callback
// of the same worker has ended an earlier attempt.
func isUnsent(past message.PastAttempt, earlier []message.PastAttempt) bool {
	isNotExecuted := past.Ended && past.Result == dispatch.NotSent && !past.PossiblyExecuted
	return isNotExecuted && slices.ContainsFunc(earlier, func(attempt message.PastAttempt) bool {
		return attempt.WorkerID == past.WorkerID && attempt.Ended
	})
}

// countAssigned counts the requests that are assigned in a session.
func (e *environment) countAssigned(epoch message.Epoch) (count int) {
	for _, request := range e.requestsByID {
		if request.assignedEpoch == epoch {
			count++
		}
	}
	return count
}
