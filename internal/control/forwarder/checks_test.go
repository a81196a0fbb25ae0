package forwarder

import (
	"slices"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/requests"
)

// checkedRequest is a request as the environment knows it.
type checkedRequest struct {
	*client
	class         *dispatch.Class
	deadline      time.Duration
	disconnected  bool // its client has, without a response
	attempts      []*checkedAttempt
	assignedEpoch message.Epoch // of the session that has it; 0: none
}

// checkedAttempt is an attempt as the environment knows it.
type checkedAttempt struct {
	attempt     *requests.Attempt
	worker      uint64
	cell        int
	zone        string
	sentAt      time.Duration
	ended       bool
	notExecuted bool // that is certain
}

// checkSend checks an attempt that is about to be sent against all rules.
func (e *environment) checkSend(request *checkedRequest, worker uint64, endpoint *requests.Endpoint) {
	if len(request.responses) > 0 || request.disconnected {
		e.violation("%s is sent after its end", request.name)
	}
	if len(request.attempts) >= e.settings.AttemptLimit {
		e.violation("%s is sent %d times", request.name, len(request.attempts)+1)
	}
	if endpoint.Lifecycle != "up" {
		e.violation("%s is sent to %s, which is %q by the list", request.name, endpoint.ID, endpoint.Lifecycle)
	}
	if e.isDrainingByStatus(worker, endpoint) {
		e.violation("%s is sent to %s, which is draining by its newest status", request.name, endpoint.ID)
	}
	if request.class.Kinds != nil && endpoint.MachineType != "k"+strconv.Itoa(request.class.Kinds[0]) {
		e.violation("%s is sent to a %s", request.name, endpoint.MachineType)
	}
	for _, earlier := range request.attempts {
		e.checkSendAfter(request, worker, endpoint, earlier)
	}
}

// isDrainingByStatus reports whether a worker may get nothing by the newest status that a planner sent before this instant.
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
		e.violation("%s of %+v is sent to %s, though it may have been executed at %x, %v ago",
			request.name, *class, endpoint.ID, earlier.worker, age)
	}
}

// checkResponse checks the response to a client.
func (e *environment) checkResponse(respondent *client, response string, _ time.Duration) {
	request := e.requestsByCall[respondent.name]
	if request == nil { // it is within admit
		e.after(0, func() { e.checkResponse(respondent, response, 0) })
		return
	}
	e.stats[response]++
	if len(request.responses) > 1 {
		e.violation("%s has a second response", request.name)
	}
	if request.disconnected {
		e.violation("%s has a response, and its client has disconnected", request.name)
	}
	if e.now > request.deadline {
		e.violation("%s has its response %v late", request.name, e.now-request.deadline)
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

// checkOffer checks that a request is offered to one planner at a time, within its credit.
func (e *environment) checkOffer(conn *connection, epoch message.Epoch, offer *message.RequestOffer) {
	request := e.requestsByID[offer.RequestID]
	if request.assignedEpoch != 0 {
		e.violation("%s is offered to %s while session %d has it", request.name, conn.name, request.assignedEpoch)
	}
	request.assignedEpoch = epoch
	delete(conn.reportedEnds, offer.RequestID)
	if count := e.countAssigned(epoch); count > conn.maxCredit {
		e.violation("%s has %d requests, of a credit of %d", conn.name, count, conn.maxCredit)
	}
}

// checkAttemptEnded checks that a planner is notified once of the end of an attempt.
func (e *environment) checkAttemptEnded(conn *connection, epoch message.Epoch, ended *message.AttemptEnded) {
	request := e.requestsByID[ended.RequestID]
	isStray := ended.Reason == message.ReasonUnknownRequest || ended.Reason == message.ReasonNotOwner
	if ended.Attempt >= 0 && request != nil && !isStray {
		if conn.reportedEnds[ended.RequestID] == nil {
			conn.reportedEnds[ended.RequestID] = map[int]bool{}
		}
		if conn.reportedEnds[ended.RequestID][ended.Attempt] {
			e.violation("attempt %d of %s ends twice for %s", ended.Attempt, request.name, conn.name)
		}
		conn.reportedEnds[ended.RequestID][ended.Attempt] = true
	}
	if ended.Result == dispatch.OK && request.assignedEpoch == epoch {
		request.assignedEpoch = 0
	}
}

// checkOffers checks the earlier attempts that the offers of a step list, once the step's actions are executed.
func (e *environment) checkOffers() {
	for _, outgoing := range e.offers {
		offer := outgoing.Message.(*message.RequestOffer)
		e.checkPastAttempts(outgoing.Planner, e.requestsByID[offer.RequestID], offer.Summary.Attempts)
	}
	e.offers = e.offers[:0]
}

// checkPastAttempts checks the list of attempts in the offer of a request: all that were sent, in their order, and between them
// those that the request table did not send.
func (e *environment) checkPastAttempts(planner string, request *checkedRequest, listed []message.PastAttempt) {
	sent := request.attempts
	for i, past := range listed {
		if len(sent) == 0 || past.WorkerID != sent[0].worker || past.SentAgo != e.now-sent[0].sentAt {
			if !isUnsent(past, listed[:i]) {
				e.violation("%s is notified of %+v of %s, which was not sent", planner, past, request.name)
			}
			continue
		}
		if past.PossiblyExecuted == sent[0].notExecuted {
			e.violation("%s is notified of %+v of %s, which is %+v", planner, past, request.name, sent[0])
		}
		sent = sent[1:]
	}
	if len(sent) > 0 {
		e.violation("%s is notified of %d attempts of %s, and not of %+v", planner, len(listed), request.name, sent[0])
	}
}

// isUnsent reports whether an attempt is listed as one that the request table did not send, as a callback of that worker had
// ended an earlier one.
func isUnsent(past message.PastAttempt, earlier []message.PastAttempt) bool {
	isNotExecuted := past.Ended && past.Result == dispatch.NotSent && !past.PossiblyExecuted
	return isNotExecuted && slices.ContainsFunc(earlier, func(attempt message.PastAttempt) bool {
		return attempt.WorkerID == past.WorkerID && attempt.Ended
	})
}

// countAssigned counts the requests that a session has.
func (e *environment) countAssigned(epoch message.Epoch) (count int) {
	for _, request := range e.requestsByID {
		if request.assignedEpoch == epoch {
			count++
		}
	}
	return count
}
