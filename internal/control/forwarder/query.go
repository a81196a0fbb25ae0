package forwarder

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
	"valvecove/internal/due"
)

// request is one that is owed an answer, or has attempts out.
type request struct {
	due.Item                 // when it is looked at next
	scheduled     bool       // it is among the alarms
	queuePosition queueEntry // in the queue that it is in
	job           dispatch.Job
	arrivedAt     time.Duration
	deadline      time.Duration
	objective     time.Duration
	state         requestState
	pastObjective bool // its aim was past while no planner was there

	// While it is a planner's, and after its answer for as long as attempts are out.
	planner       *plannerLink
	session       message.Epoch
	plannerIndex  int           // among the planner's
	offeredSeq    uint64        // the planner has read of it once it has answered this number
	commanded     bool          // it has ordered something for it since
	awaitingSince time.Duration // it is for the planner to say something
	silentAt      time.Duration // when it has not said anything for too long; 0: nothing is expected

	knownLocally   bool            // the own module knows it
	revokedEpochs  []message.Epoch // sessions in which it was taken back
	transferredBy  *plannerLink    // who has handed it on
	transferTarget string          // to whom
	transfers      int
	notBefore      time.Duration
	failures       int // sessions that have ended on it, or planners that have given it back
}

type requestState uint8

const (
	stateWaiting requestState = iota // here
	stateOffered                     // with a planner
	stateLocal                       // with the own module
	stateClosed                      // answered, or left by its client
)

// queueEntry is a query's place in a queue, by when it came.
type queueEntry struct {
	due.Item
	request *request
	queue   *due.Queue[*queueEntry]
}

// admit takes in a query.
func (f *Forwarder) admit(e dispatch.Job) {
	if f.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(f.settings.Classes) {
		return
	}
	q := &request{}
	if last := len(f.freeRequests) - 1; last >= 0 {
		q, f.freeRequests = f.freeRequests[last], f.freeRequests[:last]
	}
	c := &f.settings.Classes[e.Class]
	*q = request{job: e, arrivedAt: f.now, deadline: f.now + max(e.Remaining, 0), state: stateWaiting, revokedEpochs: q.revokedEpochs[:0]}
	q.queuePosition.request = q
	work := e.Hint
	if work <= 0 {
		work = c.LatencyObjective
	}
	if q.objective = q.deadline; c.LatencyObjective > 0 {
		q.objective = min(q.deadline, f.now+c.LatencyObjective+time.Duration(min(max(c.ObjectiveStretch, 0), 1e3)*float64(min(work, time.Hour))))
	}
	f.requests[e.ID] = q
	f.stats.Requests++
	if f.standalone.standaloneMode {
		f.assignLocally(q, true)
		return
	}
	if f.waiting.Len() == 0 && !f.sessionsChange { // nobody comes before it
		f.refreshOrder()
		if p := f.selectPlanner(q, nil); p != nil {
			f.offer(q, p)
			return
		}
	}
	if f.waiting.Len() >= f.config.MaxWaiting {
		if f.placeWaiting(); f.waiting.Len() >= f.config.MaxWaiting {
			f.stats.QueueFull++
			f.giveUp(q)
			return
		}
	}
	f.enqueue(q)
}

// enqueue puts a query that nobody has among those that wait for a planner.
func (f *Forwarder) enqueue(q *request) {
	q.state = stateWaiting
	if q.failures > 0 {
		f.enqueueIn(q, &f.poisonSuspects)
	} else {
		f.enqueueIn(q, &f.waiting)
	}
	f.scheduleCheck(q)
}

func (f *Forwarder) enqueueIn(q *request, in *due.Queue[*queueEntry]) {
	f.dequeue(q)
	q.queuePosition.At, q.queuePosition.queue = time.Duration(q.job.ID), in
	in.Add(&q.queuePosition)
}

func (f *Forwarder) dequeue(q *request) {
	if q.queuePosition.queue != nil {
		q.queuePosition.queue.Remove(&q.queuePosition)
		q.queuePosition.queue = nil
	}
}

// scheduleCheck sets when a query is looked at next. One that is set for sooner is let be: most end before it.
func (f *Forwarder) scheduleCheck(q *request) {
	at := q.deadline
	switch q.state {
	case stateWaiting:
		if !q.pastObjective && f.validator.InFlight(q.job.ID) == 0 {
			at = min(at, q.objective)
		}
	case stateOffered:
		if q.silentAt > 0 {
			at = min(at, q.silentAt)
		}
	case stateClosed:
		at = 0
	}
	if q.scheduled {
		if at > 0 && q.At <= at {
			return
		}
		f.deadlines.Remove(q)
		q.scheduled = false
	}
	if at > 0 {
		q.At, q.scheduled = at, true
		f.deadlines.Add(q)
	}
}

// checkRequest is a query's alarm.
func (f *Forwarder) checkRequest(q *request) {
	f.deadlines.Remove(q)
	q.scheduled = false
	switch {
	case f.now >= q.deadline:
		f.stats.Expired++
		f.giveUp(q)
		return
	case q.state == stateWaiting && f.now >= q.objective && f.validator.InFlight(q.job.ID) == 0:
		if f.plannerPresent { // and they have no room: whoever waits behind it has a chance yet
			f.stats.Unplaced++
			f.giveUp(q)
			return
		}
		q.pastObjective = true
	case q.state == stateOffered && q.silentAt > 0 && f.now >= q.silentAt:
		f.checkSilence(q)
	}
	if q.state != stateClosed {
		f.scheduleCheck(q)
	}
}

// checkSilence decides on a query about which its planner has said nothing for long. One that does not answer at all has it
// no longer; from one that does only a few are taken, as it may hold them with reason, and others would have that load
// too.
func (f *Forwarder) checkSilence(q *request) {
	p := q.planner
	q.silentAt = 0
	switch {
	case q.commanded || f.validator.InFlight(q.job.ID) > 0:
		return
	case !p.suspected && f.now < q.awaitingSince+f.config.CommandTimeout:
		q.silentAt = q.awaitingSince + f.config.CommandTimeout
		return
	case f.lastLateAt == f.now: // it may have said something that is yet to be read
		q.silentAt = f.now + f.config.SuspectAfter
		return
	case !p.suspected && f.reofferTokens < 1:
		return
	}
	next := f.selectPlanner(q, p)
	if next == nil {
		if p.suspected { // until it is frozen, or another comes
			q.silentAt = f.now + f.config.SuspectAfter
		}
		return
	}
	if !p.suspected {
		f.reofferTokens--
	}
	f.stats.Revoked++
	f.revoke(q)
	f.offer(q, next)
}

// ---- Answers ----

// giveUp gives a query up: it is refused where that is harmless, and failed elsewhere.
func (f *Forwarder) giveUp(q *request) {
	id := q.job.ID
	if f.validator.CanReject(id) {
		f.stats.Rejected++
		f.respond(dispatch.Reject{Job: id, RetryAfter: min(max(0, q.deadline-f.now), f.settings.MaxRetryAfter)})
	} else {
		f.stats.Failed++
		f.respond(dispatch.Fail{Job: id})
	}
	f.closeRequest(q, true)
}

// respond has the ledger answer.
func (f *Forwarder) respond(a dispatch.Action) {
	f.emit(a)
	f.validator.Apply(f.now, a)
}

// closeRequest takes in that nothing is owed for a query any more. tell: whoever has it does not know that.
func (f *Forwarder) closeRequest(q *request, tell bool) {
	if q.state == stateClosed {
		return
	}
	f.dequeue(q)
	switch q.state {
	case stateOffered:
		f.removeFromPlanner(q)
		if tell {
			f.send(q.planner, &message.RequestClosed{RequestID: q.job.ID})
		}
	case stateLocal:
		if tell {
			f.notifyLocal(dispatch.ClientDisconnected{Job: q.job.ID})
		}
	case stateWaiting:
		q.planner = nil
	}
	q.state = stateClosed
	f.scheduleCheck(q)
	f.releaseRequest(q)
}

// releaseRequest lets go of a query that is over, once nothing of it is out.
func (f *Forwarder) releaseRequest(q *request) {
	if q.state != stateClosed || f.validator.InFlight(q.job.ID) > 0 || f.requests[q.job.ID] != q {
		return
	}
	delete(f.requests, q.job.ID)
	if q.knownLocally {
		q.knownLocally = false
		f.standalone.localRequests--
	}
	q.planner = nil
	f.freeRequests = append(f.freeRequests, q)
}

// ---- Who has it ----

// offer gives a query to a planner.
func (f *Forwarder) offer(q *request, p *plannerLink) {
	id := q.job.ID
	f.dequeue(q)
	f.validator.Assign(id, p.epoch)
	q.state, q.planner, q.session, q.plannerIndex = stateOffered, p, p.epoch, len(p.requests)
	q.offeredSeq, q.transferredBy, q.transferTarget = p.heartbeatSeq+1, nil, ""
	p.requests = append(p.requests, q)
	p.needsHeartbeat = true
	if q.failures > 0 {
		p.poisonSuspect = q
	}
	offer := f.offers.next()
	offer.RequestID = id
	h := &offer.Summary
	j := &q.job
	h.Class, h.Tenant, h.Key, h.Hint = j.Class, j.Tenant, j.Key, j.Hint
	h.Slots, h.Memory, h.Retry = j.Slots, j.Memory, j.Retry
	h.Remaining, h.Waited, h.Transfers = q.deadline-f.now, f.now-q.arrivedAt, q.transfers
	h.Attempts = f.validator.AppendAttempts(f.now, id, h.Attempts)
	if f.send(p, offer); f.now > q.arrivedAt {
		f.stats.Reoffered++
	}
	f.reofferTokens = min(f.reofferTokens+reofferTokensPerRequest, maxReofferTokens)
	f.awaitCommand(q)
}

// awaitCommand begins to wait for a planner's word about a query.
func (f *Forwarder) awaitCommand(q *request) {
	q.commanded, q.awaitingSince = false, f.now
	if q.silentAt = f.now + f.config.CommandTimeout; q.planner.suspected {
		q.silentAt = f.objectiveAtRisk(q)
	}
	f.scheduleCheck(q)
}

// objectiveAtRisk is when a query that is not placed begins to endanger its aim.
func (f *Forwarder) objectiveAtRisk(q *request) time.Duration {
	return max(f.now, q.objective-(q.objective-q.arrivedAt)/2)
}

// removeFromPlanner takes a query out of its planner's list, which is what credit counts.
func (f *Forwarder) removeFromPlanner(q *request) {
	p := q.planner
	last := len(p.requests) - 1
	p.requests[q.plannerIndex] = p.requests[last]
	p.requests[q.plannerIndex].plannerIndex = q.plannerIndex
	p.requests[last] = nil
	p.requests = p.requests[:last]
	if p.poisonSuspect == q {
		p.poisonSuspect = nil
	}
	q.silentAt = 0
}

// revoke takes an open query back from a planner whose session lives, for good.
func (f *Forwarder) revoke(q *request) {
	p := q.planner
	f.send(p, &message.RequestClosed{RequestID: q.job.ID})
	if len(q.revokedEpochs) == maxRevokedSessions {
		q.revokedEpochs = append(q.revokedEpochs[:0], q.revokedEpochs[1:]...)
	}
	q.revokedEpochs = append(q.revokedEpochs, p.epoch)
	f.unassign(q)
}

// unassign leaves a query with nobody.
func (f *Forwarder) unassign(q *request) {
	f.removeFromPlanner(q)
	q.planner, q.state = nil, stateWaiting
	f.validator.Unassign(q.job.ID)
}

// isRevokedFrom tells whether a query may not be offered in a planner's session.
func (q *request) isRevokedFrom(p *plannerLink) bool {
	for _, e := range q.revokedEpochs {
		if e == p.epoch {
			return true
		}
	}
	return false
}

// selectPlanner finds the planner for a query, other than one; nil: there is none now. One that is in doubt, or has just handed
// the query on, is taken where there is no other.
func (f *Forwarder) selectPlanner(q *request, but *plannerLink) (second *plannerLink) {
	if q.transferTarget != "" {
		if p := f.findPlanner(q.transferTarget); p != nil && p != but && !p.suspected && f.canOffer(p, q) {
			return p
		}
	}
	for _, p := range f.preferred {
		switch {
		case p == but || !f.canOffer(p, q):
		case !p.suspected && p != q.transferredBy:
			return p
		case second == nil && but == nil:
			second = p
		}
	}
	return second
}

func (f *Forwarder) canOffer(p *plannerLink, q *request) bool {
	return p.acceptsRequests() && len(p.requests) < p.credit && (q.failures == 0 || p.poisonSuspect == nil) && !q.isRevokedFrom(p)
}

// anyCredit tells whether any planner takes a query now.
func (f *Forwarder) anyCredit() bool {
	for _, p := range f.preferred {
		if p.acceptsRequests() && len(p.requests) < p.credit {
			return true
		}
	}
	return false
}

// placeWaiting offers what waits: those that came first, first. One that may have brought a planner down is offered alone,
// until the planner has read of it and still answers: so no other is taken for it.
func (f *Forwarder) placeWaiting() {
	if f.retryPlacementAt <= f.now {
		f.retryPlacementAt = 0
	}
	f.refreshOrder()
	if f.standalone.standaloneMode {
		for f.waiting.Len() > 0 && !f.isolatingSuspect {
			f.assignLocally(f.waiting.First().request, false)
		}
		if f.poisonSuspects.Len() > 0 && len(f.newlyLocal) == 0 {
			f.isolatingSuspect = true
			f.assignLocally(f.poisonSuspects.First().request, false)
		}
		return
	}
	f.placeFrom(&f.poisonSuspects)
	f.placeFrom(&f.waiting)
	if f.waiting.Len() > 0 {
		return
	}
	for n := 0; f.returning.Len() > 0 && n < returnBatch && f.anyCredit(); n++ {
		q := f.returning.First().request
		f.dequeue(q)
		f.reclaimFromLocal(q)
		f.enqueue(q)
		if f.placeFrom(q.queuePosition.queue); q.state == stateWaiting {
			break
		}
	}
	if f.returning.Len() > 0 && f.anyCredit() {
		f.retryPlacement(f.now + returnInterval)
	}
}

func (f *Forwarder) retryPlacement(at time.Duration) {
	if f.retryPlacementAt == 0 || at < f.retryPlacementAt {
		f.retryPlacementAt = at
	}
}

func (f *Forwarder) placeFrom(queue *due.Queue[*queueEntry]) {
	for queue.Len() > 0 && len(f.deferred) < maxDeferred && f.anyCredit() {
		q := queue.First().request
		if q.notBefore > f.now {
			f.retryPlacement(q.notBefore)
		} else if p := f.selectPlanner(q, nil); p != nil {
			f.offer(q, p)
			continue
		}
		f.dequeue(q)
		f.deferred = append(f.deferred, q)
	}
	for i, q := range f.deferred {
		f.enqueueIn(q, queue)
		f.deferred[i] = nil
	}
	f.deferred = f.deferred[:0]
}

// offerPool holds the offers of a step's outgoing messages, with their lists of attempts.
type offerPool struct {
	batches [][]message.RequestOffer
	used    int
}

const offerBatch = 64

// reset takes all offers back.
func (s *offerPool) reset() { s.used = 0 }

// next returns an offer that is zero but for the capacity of its list of attempts.
func (s *offerPool) next() *message.RequestOffer {
	batch := s.used / offerBatch
	if batch == len(s.batches) {
		s.batches = append(s.batches, make([]message.RequestOffer, offerBatch))
	}
	offer := &s.batches[batch][s.used%offerBatch]
	s.used++
	*offer = message.RequestOffer{Summary: message.RequestSummary{Attempts: offer.Summary.Attempts[:0]}}
	return offer
}

// ---- What the ledger tells ----

func (f *Forwarder) observe(e dispatch.Event) {
	switch e := e.(type) {
	case dispatch.Job:
		f.validator.Observe(f.now, e)
		f.admit(e)
	case dispatch.Outcome:
		f.attemptEnded(e)
	case dispatch.Started:
		f.validator.Observe(f.now, e)
		if q, n := f.requestOfAttempt(e.Job, e.Attempt); q != nil && q.planner != nil {
			f.sendAbout(q, &message.AttemptStarted{RequestID: e.Job, Attempt: n})
		} else if q != nil && q.knownLocally {
			e.Attempt = n
			f.notifyLocal(e)
		}
	case dispatch.Progressed:
		f.validator.Observe(f.now, e)
		if q, n := f.requestOfAttempt(e.Job, e.Attempt); q != nil && q.planner != nil {
			f.sendAbout(q, &message.AttemptProgress{RequestID: e.Job, Attempt: n, Fraction: e.Share})
		} else if q != nil && q.knownLocally {
			e.Attempt = n
			f.notifyLocal(e)
		}
	case dispatch.ResponseStarted:
		f.responseStarted(e)
	case dispatch.ClientDisconnected:
		f.validator.Observe(f.now, e)
		if q := f.requests[e.Job]; q != nil {
			f.closeRequest(q, true)
		}
	case dispatch.HealthChecked:
		f.healthCheckEnded(e)
	case dispatch.TimerFired: // what is due is found by the time
	case dispatch.WorkerList:
		f.endpointsChanged(e)
	}
}

// requestOfAttempt is a query, and how whoever has it counts an attempt.
func (f *Forwarder) requestOfAttempt(id uint64, attempt int) (*request, int) {
	n, ok := f.validator.CommandNumber(id, attempt)
	if !ok {
		return nil, 0
	}
	return f.requests[id], n
}

func (f *Forwarder) attemptEnded(e dispatch.Outcome) {
	n, ended := f.validator.Observe(f.now, e)
	q := f.requests[e.Job]
	if q == nil {
		return
	}
	if ended && q.planner != nil {
		f.sendAbout(q, &message.AttemptEnded{RequestID: e.Job, Attempt: n, Result: e.Result})
	} else if ended && q.knownLocally {
		e.Attempt = n
		f.notifyLocal(e)
	}
	switch {
	case e.Closed || e.Result == dispatch.OK:
		f.closeRequest(q, !ended || q.state == stateOffered && e.Result != dispatch.OK)
		f.releaseRequest(q)
	case q.state == stateClosed:
		f.releaseRequest(q)
	case f.validator.InFlight(e.Job) > 0:
	case q.state == stateLocal && !f.standalone.standaloneMode:
		f.enqueueIn(q, &f.returning)
	case q.state == stateOffered: // it is for the planner to say something again
		f.awaitCommand(q)
	default:
		f.scheduleCheck(q)
	}
}

// responseStarted takes in that an answer has begun to reach the client: it has no deadline any more, and nothing is decided
// about it.
func (f *Forwarder) responseStarted(e dispatch.ResponseStarted) {
	f.validator.Observe(f.now, e)
	q, n := f.requestOfAttempt(e.Job, e.Attempt)
	if q == nil {
		return
	}
	if q.knownLocally {
		e.Attempt = n
		f.notifyLocal(e)
	}
	f.closeRequest(q, q.state == stateOffered)
}

func (f *Forwarder) healthCheckEnded(e dispatch.HealthChecked) {
	who := f.healthChecks[e.Worker]
	if len(who) == 0 {
		return
	}
	asker := who[0]
	if copy(who, who[1:]); len(who) == 1 {
		delete(f.healthChecks, e.Worker)
	} else {
		f.healthChecks[e.Worker] = who[:len(who)-1]
	}
	f.healthChecksOut--
	if asker == validator.LocalEpoch {
		f.notifyLocal(e)
	} else if p := f.plannerByEpoch(asker); p != nil {
		f.send(p, &message.HealthCheckResult{WorkerID: e.Worker, Result: e.Result})
	}
}

// healthCheck has the ledger probe a worker node for somebody.
func (f *Forwarder) healthCheck(worker uint64, asker message.Epoch) (ok bool) {
	if f.healthChecksOut >= maxHealthChecks {
		return false
	}
	f.healthChecksOut++
	f.healthChecks[worker] = append(f.healthChecks[worker], asker)
	f.emit(dispatch.HealthCheck{Worker: worker})
	return true
}
