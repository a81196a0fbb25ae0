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
func (env *environment) checkSend(request *checkedRequest, worker uint64, endpoint *requests.Endpoint) {
	if len(request.responses) > 0 || request.disconnected {
		env.violation("%s is sent after its end", request.name)
	}
	if len(request.attempts) >= env.settings.AttemptLimit {
		env.violation("%s is sent %d times", request.name, len(request.attempts)+1)
	}
	if endpoint.Lifecycle != "up" {
		env.violation("%s is sent to %s, which is %q by the list", request.name, endpoint.ID, endpoint.Lifecycle)
	}
	if env.isDrainingByStatus(worker, endpoint) {
		env.violation("%s is sent to %s, which is draining by its newest status", request.name, endpoint.ID)
	}
	if request.class.Kinds != nil && endpoint.MachineType != "k"+strconv.Itoa(request.class.Kinds[0]) {
		env.violation("%s is sent to a %s", request.name, endpoint.MachineType)
	}
	for _, earlier := range request.attempts {
		env.checkSendAfter(request, worker, endpoint, earlier)
	}
}

// isDrainingByStatus reports whether a worker may get nothing by the newest status that a planner sent before this instant.
func (env *environment) isDrainingByStatus(worker uint64, endpoint *requests.Endpoint) bool {
	status, known := env.statuses[worker]
	if !known || status.State == message.WorkerUp || env.statusAt[worker] >= env.now {
		return false
	}
	listed := message.WorkerStatus{StartedMs: endpoint.StartedAtMs, Revision: revisionOf(endpoint)}
	return !listed.Supersedes(status)
}

// checkSendAfter checks an attempt that is about to be sent against an earlier one.
func (env *environment) checkSendAfter(request *checkedRequest, worker uint64, endpoint *requests.Endpoint,
	earlier *checkedAttempt,
) {
	if !earlier.ended && earlier.worker == worker {
		env.violation("%s is sent twice to %s", request.name, endpoint.ID)
	}
	if !earlier.ended && !env.settings.Hedging {
		env.violation("%s has two attempts in flight", request.name)
	}
	class := request.class
	if earlier.notExecuted || class.Idempotency == dispatch.Idempotent {
		return
	}
	age := env.now - earlier.sentAt
	outOfCell := class.DeduplicationScope == dispatch.ScopeCell && earlier.cell != endpoint.Cell
	outOfZone := class.DeduplicationScope == dispatch.ScopeZone && earlier.zone != endpoint.Zone
	if class.Idempotency == dispatch.NonIdempotent || outOfCell || outOfZone || age >= class.DeduplicationWindow {
		env.violation("%s of %+v is sent to %s, though it may have been executed at %x, %v ago",
			request.name, *class, endpoint.ID, earlier.worker, age)
	}
}

// checkResponse checks the response to a client.
func (env *environment) checkResponse(respondent *client, response string, _ time.Duration) {
	request := env.requestsByCall[respondent.name]
	if request == nil { // it is within admit
		env.after(0, func() { env.checkResponse(respondent, response, 0) })
		return
	}
	env.stats[response]++
	if len(request.responses) > 1 {
		env.violation("%s has a second response", request.name)
	}
	if request.disconnected {
		env.violation("%s has a response, and its client has disconnected", request.name)
	}
	if env.now > request.deadline {
		env.violation("%s has its response %v late", request.name, env.now-request.deadline)
	}
	if response == responseRejected && !request.canReject() {
		env.violation("%s is rejected, though it may have been executed", request.name)
	}
}

// canReject reports whether the request may be rejected, after which the client may retry it.
func (r *checkedRequest) canReject() bool {
	switch class := r.class; class.Idempotency {
	case dispatch.Idempotent:
		return true
	case dispatch.IdempotentWithKey:
		if class.DeduplicationScope == dispatch.ScopeAll {
			return true
		}
	}
	return !slices.ContainsFunc(r.attempts, func(attempt *checkedAttempt) bool { return !attempt.notExecuted })
}

// checkOffer checks that a request is offered to one planner at a time, within its credit.
func (env *environment) checkOffer(conn *connection, epoch message.Epoch, offer *message.RequestOffer) {
	request := env.requestsByID[offer.RequestID]
	if request.assignedEpoch != 0 {
		env.violation("%s is offered to %s while session %d has it", request.name, conn.name, request.assignedEpoch)
	}
	request.assignedEpoch = epoch
	delete(conn.reportedEnds, offer.RequestID)
	if count := env.countAssigned(epoch); count > conn.maxCredit {
		env.violation("%s has %d requests, of a credit of %d", conn.name, count, conn.maxCredit)
	}
}

// checkAttemptEnded checks that a planner is notified once of the end of an attempt.
func (env *environment) checkAttemptEnded(conn *connection, epoch message.Epoch, ended *message.AttemptEnded) {
	request := env.requestsByID[ended.RequestID]
	isStray := ended.Reason == message.ReasonUnknownRequest || ended.Reason == message.ReasonNotOwner
	if ended.Attempt >= 0 && request != nil && !isStray {
		if conn.reportedEnds[ended.RequestID] == nil {
			conn.reportedEnds[ended.RequestID] = map[int]bool{}
		}
		if conn.reportedEnds[ended.RequestID][ended.Attempt] {
			env.violation("attempt %d of %s ends twice for %s", ended.Attempt, request.name, conn.name)
		}
		conn.reportedEnds[ended.RequestID][ended.Attempt] = true
	}
	if ended.Result == dispatch.OK && request.assignedEpoch == epoch {
		request.assignedEpoch = 0
	}
}

// checkOffers checks the earlier attempts that the offers of a step list, once the step's actions are executed.
func (env *environment) checkOffers() {
	for _, outgoing := range env.offers {
		offer := outgoing.Message.(*message.RequestOffer)
		env.checkPastAttempts(outgoing.Planner, env.requestsByID[offer.RequestID], offer.Summary.Attempts)
	}
	env.offers = env.offers[:0]
}

// checkPastAttempts checks the list of attempts in the offer of a request: all that were sent, in their order, and between them
// those that the request table did not send.
func (env *environment) checkPastAttempts(planner string, request *checkedRequest, listed []message.PastAttempt) {
	sent := request.attempts
	for i, past := range listed {
		if len(sent) == 0 || past.WorkerID != sent[0].worker || past.SentAgo != env.now-sent[0].sentAt {
			if !isUnsent(past, listed[:i]) {
				env.violation("%s is notified of %+v of %s, which was not sent", planner, past, request.name)
			}
			continue
		}
		if past.PossiblyExecuted == sent[0].notExecuted {
			env.violation("%s is notified of %+v of %s, which is %+v", planner, past, request.name, sent[0])
		}
		sent = sent[1:]
	}
	if len(sent) > 0 {
		env.violation("%s is notified of %d attempts of %s, and not of %+v", planner, len(listed), request.name, sent[0])
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
func (env *environment) countAssigned(epoch message.Epoch) (count int) {
	for _, request := range env.requestsByID {
		if request.assignedEpoch == epoch {
			count++
		}
	}
	return count
}
