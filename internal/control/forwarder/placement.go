package forwarder

import (
	"time"

	"valvecove/internal/control/message"
)

const (
	returnInterval = 5 * time.Millisecond // between two batches of requests that go back to planners
	returnBatch    = 32                   // requests
	maxDeferred    = 12                   // waiting requests that find no planner and let others pass

	// Requests that may be revoked from planners that reply: a token bucket that each offer fills a little.
	reofferTokensPerRequest = 0.05
	maxReofferTokens        = 10.0

	maxRevokedSessions = 4 // sessions that a request remembers
)

// placeWaiting places the requests that wait, those that came first, first.
func (f *Forwarder) placeWaiting() {
	if f.retryPlacementAt <= f.now {
		f.retryPlacementAt = 0
	}
	f.refreshOrder()
	if f.mode == modeStandalone {
		f.placeLocally()
		return
	}
	f.placeFrom(&f.poisonCandidates)
	f.placeFrom(&f.waiting)
	if f.waiting.Len() == 0 {
		f.placeReturning()
	}
}

// placeReturning offers requests of the local policy to planners, a batch at a time.
func (f *Forwarder) placeReturning() {
	for n := 0; f.returning.Len() > 0 && n < returnBatch && f.anyCredit(); n++ {
		request := f.returning.first()
		f.dequeue(request)
		f.reclaimFromLocal(request)
		f.enqueue(request)
		f.placeFrom(f.waitingQueue(request))
		if request.state == requestWaiting {
			break
		}
	}
	if f.returning.Len() > 0 && f.anyCredit() {
		f.retryPlacement(f.now + returnInterval)
	}
}

// placeFrom offers the requests of a queue to planners. Those that find none stay in the queue, and let some others pass.
func (f *Forwarder) placeFrom(queue *requestQueue) {
	var deferred [maxDeferred]*openRequest
	count := 0
	for queue.Len() > 0 && count < maxDeferred && f.anyCredit() {
		request := queue.first()
		if f.place(request) {
			continue
		}
		f.dequeue(request)
		deferred[count] = request
		count++
	}
	for _, request := range deferred[:count] {
		f.enqueueIn(request, queue)
	}
}

// place offers a waiting request to a planner, if there is one for it now.
func (f *Forwarder) place(request *openRequest) bool {
	if request.notBefore > f.now {
		f.retryPlacement(request.notBefore)
		return false
	}
	session := f.selectPlanner(request, nil)
	if session == nil {
		return false
	}
	f.offer(request, session)
	return true
}

// retryPlacement has waiting requests looked at again at an instant.
func (f *Forwarder) retryPlacement(at time.Duration) {
	if f.retryPlacementAt == 0 || at < f.retryPlacementAt {
		f.retryPlacementAt = at
	}
}

// selectPlanner returns the planner that a request is to be offered to, other than the one excluded; nil: there is none
// now. The target of a transfer goes first. A planner that is under suspicion, or has just transferred the request, is taken
// only if there is no other and none is excluded.
func (f *Forwarder) selectPlanner(request *openRequest, excluded *plannerSession) *plannerSession {
	if target := f.availableTarget(request); target != nil && target != excluded {
		return target
	}
	var fallback *plannerSession
	for _, session := range f.preferred {
		switch {
		case session == excluded || !f.canOffer(session, request):
		case !session.isSuspected() && session != request.transferredBy:
			return session
		case fallback == nil && excluded == nil:
			fallback = session
		}
	}
	return fallback
}

// availableTarget returns the planner that a request was transferred to, if it can be offered there.
func (f *Forwarder) availableTarget(request *openRequest) *plannerSession {
	if request.transferTarget == "" {
		return nil
	}
	session := f.findSession(request.transferTarget)
	if session == nil || session.isSuspected() || !f.canOffer(session, request) {
		return nil
	}
	return session
}

// canOffer reports whether a request may be offered in a planner's session. One that may have ended a session is offered
// only while no other such request is unconfirmed there, so that no other is taken for the cause.
func (f *Forwarder) canOffer(session *plannerSession, request *openRequest) bool {
	return session.hasCredit() && (request.failures == 0 || session.poisonCandidate == nil) && !request.isRevokedFrom(session)
}

// anyCredit reports whether any planner takes a request now.
func (f *Forwarder) anyCredit() bool {
	for _, session := range f.preferred {
		if session.hasCredit() {
			return true
		}
	}
	return false
}

// offer assigns a waiting request to a planner.
func (f *Forwarder) offer(request *openRequest, session *plannerSession) {
	f.dequeue(request)
	f.validator.Assign(request.job.ID, session.epoch)
	request.transition(eventOffered)
	request.session = session
	request.epoch = session.epoch
	request.sessionIndex = len(session.requests)
	request.offeredSequence = session.heartbeat.sequence + 1
	request.transferredBy = nil
	request.transferTarget = ""
	session.requests = append(session.requests, request)
	session.heartbeat.offersSent = true
	if request.failures > 0 {
		session.poisonCandidate = request
	}
	f.send(session, f.newOffer(request))
	if f.now > request.arrivedAt {
		f.stats.Reoffered++
	}
	f.reofferTokens = min(f.reofferTokens+reofferTokensPerRequest, maxReofferTokens)
	f.awaitCommand(request)
}

// newOffer returns the offer of a request. It is valid until the next step.
func (f *Forwarder) newOffer(request *openRequest) *message.RequestOffer {
	offer := f.offers.next()
	job := &request.job
	offer.RequestID = job.ID
	offer.Summary = message.RequestSummary{
		Class:     job.Class,
		Tenant:    job.Tenant,
		Key:       job.Key,
		Remaining: request.deadline - f.now,
		Waited:    f.now - request.arrivedAt,
		Hint:      job.Hint,
		Slots:     job.Slots,
		Memory:    job.Memory,
		Retry:     job.Retry,
		Transfers: request.transfers,
		Attempts:  f.validator.AppendAttempts(f.now, job.ID, offer.Summary.Attempts),
	}
	return offer
}

// revoke takes a request back from a planner whose session goes on. It is not offered in that session again.
func (f *Forwarder) revoke(request *openRequest) {
	session := request.session
	f.send(session, &message.RequestClosed{RequestID: request.job.ID})
	if len(request.revokedEpochs) == maxRevokedSessions {
		request.revokedEpochs = append(request.revokedEpochs[:0], request.revokedEpochs[1:]...)
	}
	request.revokedEpochs = append(request.revokedEpochs, session.epoch)
	f.unassign(request)
}

// unassign takes a request from its planner, so that nobody has it.
func (f *Forwarder) unassign(request *openRequest) {
	f.removeFromSession(request)
	request.transition(eventUnassigned)
	request.session = nil
	f.validator.Unassign(request.job.ID)
}

// removeFromSession takes a request out of its planner's list, which is what credit counts.
func (f *Forwarder) removeFromSession(request *openRequest) {
	session := request.session
	last := len(session.requests) - 1
	moved := session.requests[last]
	session.requests[request.sessionIndex] = moved
	moved.sessionIndex = request.sessionIndex
	session.requests[last] = nil
	session.requests = session.requests[:last]
	if session.poisonCandidate == request {
		session.poisonCandidate = nil
	}
	request.command.dueAt = 0
}
