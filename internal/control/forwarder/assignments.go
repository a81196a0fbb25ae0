package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
)

const (
	// maxRevokedSessions is the number of sessions that a request remembers having been revoked from.
	maxRevokedSessions = 4

	// Revoking a request from a planner that replies to heartbeats takes one token from a bucket; each offer adds
	// reofferTokensPerRequest.
	reofferTokensPerRequest = 0.05
	maxReofferTokens        = 10.0
)

// assignmentValidator is notified which session may send commands for a request, and lists the request's attempts.
type assignmentValidator interface {
	Assign(id uint64, owner message.Epoch)
	Unassign(id uint64)
	AppendAttempts(now time.Duration, id uint64, dst []message.PastAttempt) []message.PastAttempt
}

// assignments assigns requests to planners or to the local policy, and revokes assignments. It reports each change to the
// validator and to the planner.
type assignments struct {
	step          *step
	stats         *Stats
	validator     assignmentValidator
	queues        *requestQueues
	checks        *checkSchedule
	local         *localPolicy
	offers        offerPool
	reofferTokens float64
}

// beginStep makes the memory of the last step's offers available for reuse.
func (a *assignments) beginStep() { a.offers.reset() }

// enqueue adds an unassigned request to the queue of requests that wait for a planner. If an attempt of the request was sent
// in this step, the request is not offered before the next step: the request table has not yet confirmed the attempt, and
// may refuse to send it.
func (a *assignments) enqueue(request *openRequest) {
	if request.sentInStep == a.step.number {
		a.queues.unconfirmed.add(request)
	} else {
		a.queues.enqueue(request)
	}
	a.checks.schedule(request)
}

// offer assigns a waiting request to a planner.
func (a *assignments) offer(request *openRequest, session *plannerSession) {
	dequeue(request)
	a.validator.Assign(request.job.ID, session.epoch)
	request.transition(eventOffered)
	session.addRequest(request)
	a.step.send(session, a.newOffer(request))
	if a.step.now() > request.arrivedAt {
		a.stats.Reoffered++
	}
	a.reofferTokens = min(a.reofferTokens+reofferTokensPerRequest, maxReofferTokens)
	a.checks.awaitCommand(request)
}

// newOffer returns the offer of a request. It is valid until the next step.
func (a *assignments) newOffer(request *openRequest) *message.RequestOffer {
	now := a.step.now()
	offer := a.offers.next()
	job := &request.job
	offer.RequestID = job.ID
	offer.Summary = message.RequestSummary{
		Class:     job.Class,
		Tenant:    job.Tenant,
		Key:       job.Key,
		Remaining: request.deadline - now,
		Waited:    now - request.arrivedAt,
		Hint:      job.Hint,
		Slots:     job.Slots,
		Memory:    job.Memory,
		Retry:     job.Retry,
		Transfers: request.transfers,
		Attempts:  a.validator.AppendAttempts(now, job.ID, offer.Summary.Attempts),
	}
	return offer
}

// mayReoffer reports whether the token bucket allows a request to be revoked from a planner that replies to heartbeats.
func (a *assignments) mayReoffer() bool { return a.reofferTokens >= 1 }

// reoffer revokes a request from its planner and offers it to the next one.
func (a *assignments) reoffer(request *openRequest, next *plannerSession) {
	if !request.session.isSuspected() {
		a.reofferTokens--
	}
	a.stats.Revoked++
	a.revoke(request)
	a.offer(request, next)
}

// revoke ends the assignment of a request to a planner whose session has not ended. The request is not offered in that
// session again.
func (a *assignments) revoke(request *openRequest) {
	session := request.session
	a.step.send(session, &message.RequestClosed{RequestID: request.job.ID})
	if len(request.revokedEpochs) == maxRevokedSessions {
		request.revokedEpochs = append(request.revokedEpochs[:0], request.revokedEpochs[1:]...)
	}
	request.revokedEpochs = append(request.revokedEpochs, session.epoch)
	a.unassign(request)
}

// unassign removes the assignment of a request to its planner. The caller must then enqueue the request or respond to it.
func (a *assignments) unassign(request *openRequest) {
	request.session.removeRequest(request)
	request.transition(eventUnassigned)
	request.session = nil
	a.validator.Unassign(request.job.ID)
}

// assignLocal assigns a waiting request to the local policy. The caller must notify the policy of the request.
func (a *assignments) assignLocal(request *openRequest) {
	dequeue(request)
	a.validator.Assign(request.job.ID, validator.LocalEpoch)
	request.transition(eventAssignedLocal)
	request.session = nil
	a.local.addRequest(request)
	a.checks.schedule(request)
}

// reclaimFromLocal takes a request without attempts in flight back from the local policy, notifies the policy, and enqueues
// the request for planners.
func (a *assignments) reclaimFromLocal(request *openRequest) {
	dequeue(request)
	a.local.notify(dispatch.ClientDisconnected{Job: request.job.ID})
	a.unassignLocal(request)
	a.enqueue(request)
}

// unassignLocal removes the assignment of a request to the local policy.
func (a *assignments) unassignLocal(request *openRequest) {
	a.validator.Unassign(request.job.ID)
	a.local.removeRequest(request)
	request.transition(eventUnassigned)
}
