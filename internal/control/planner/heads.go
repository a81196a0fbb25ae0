package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/due"
)

// requestTable are the queries that forwarders have open here, and those that are over while attempts of theirs may be out.
type requestTable struct {
	requests      map[uint64]*request // by the module's number, which is the book's own
	lastRequestID uint64
	openCount     int
	slotsInUse    float64     // of attempts that are out
	queued        requestList // open ones without an attempt out, as they came to be that
	expiries      due.Queue[*request]
	freeRequests  []*request
}

// request is one.
type request struct {
	due.Item      // when the attempts of one that is closed are taken to be over
	expires       bool
	id            uint64
	forwarderID   uint64        // by its forwarder's count
	forwarder     *forwarder    // nil: its process is gone
	epoch         message.Epoch // of the session in which it was offered
	links         [2]listLinks
	open          bool // it is open
	knownToPolicy bool // to the module, or the one before it
	job           dispatch.Job
	arrivedAt     time.Duration // to its forwarder
	deadline      time.Duration
	queuedSince   time.Duration // it has no attempt out
	slots         float64
	transfers     int
	failures      int
	attempts      []attempt
	inFlight      int
}

// attempt is one sending of a query.
type attempt struct {
	worker       *worker
	sentAt       time.Duration
	startedAt    time.Duration // 0: it was not told to have
	ended        bool
	commanded    bool // ordered here; else the head told of it
	acknowledged bool // and something was heard of it since: the order has come there
	result       dispatch.Result
}

// listLinks is a head's place in a ring.
type listLinks struct {
	next, prev *request
	linked     bool
}

// Rings.
const (
	forwarderList = iota
	queuedList
)

// requestList is a list of heads, the oldest first.
type requestList struct{ first, last *request }

func (r *requestList) push(h *request, which int) {
	l := &h.links[which]
	if l.linked {
		return
	}
	*l = listLinks{prev: r.last, linked: true}
	if r.last == nil {
		r.first = h
	} else {
		r.last.links[which].next = h
	}
	r.last = h
}

func (r *requestList) remove(h *request, which int) {
	l := h.links[which]
	if !l.linked {
		return
	}
	if l.prev == nil {
		r.first = l.next
	} else {
		l.prev.links[which].next = l.next
	}
	if l.next == nil {
		r.last = l.prev
	} else {
		l.next.links[which].prev = l.prev
	}
	h.links[which] = listLinks{}
}

// clampSpan holds a span that somebody tells to what can be meant.
func clampSpan(d time.Duration) time.Duration { return min(max(d, 0), maxReportedSpan) }

// knownResult reads a result that this build doesn't know as one that says nothing of whether it ran.
func knownResult(r dispatch.Result) dispatch.Result {
	if r < dispatch.OK || r > dispatch.NotSent {
		return dispatch.ConnectionReset
	}
	return r
}

// provesNotExecuted tells which results do.
func provesNotExecuted(r dispatch.Result) bool {
	return r == dispatch.WorkerFull || r == dispatch.ConnectFailed || r == dispatch.NotSent
}

// ---- What a forwarder says of queries ----

// requestOffered takes in a head. One that is known comes again: its forwarder has reason to think that the two know
// different things, and its word wins.
func (b *Planner) requestOffered(f *forwarder, m *message.RequestOffer) {
	if b.stopDeadline > 0 {
		return // it offers all of them elsewhere once it reads that
	}
	x := &m.Summary
	b.statistics.Offers++
	var onTheWay []attempt
	if old := f.requests[m.RequestID]; old != nil {
		if old.epoch == f.epoch { // what was ordered in this session and was not read yet will be
			for i := len(x.Attempts); i < len(old.attempts); i++ {
				if a := old.attempts[i]; a.commanded && !a.acknowledged && !a.ended {
					onTheWay = append(onTheWay, a)
				}
			}
		}
		b.abandonRequest(old)
	}
	if !b.withinCredit(f) || x.Class < 0 || x.Class >= len(b.config.Settings.Classes) || len(x.Attempts) > maxAttempts {
		b.rejectOffer(f, m)
		return
	}
	h := b.addRequest(f, m)
	for i := range onTheWay {
		b.addAttempt(h, onTheWay[i])
	}
	if to := b.preferredPeer(h); to != "" {
		b.transfer(h, to, false)
		return
	}
	b.enqueue(h)
	if len(h.attempts) == 0 && x.Transfers == 0 && x.Waited < resumedThreshold {
		b.notifyPolicy(h.job)
		h.knownToPolicy = true
		return
	}
	b.flushWorkerUpdates() // it may name worker nodes that the module was not told of
	b.notifyPolicy(b.resumedJob(h))
	h.knownToPolicy = true
}

// addRequest makes a head of what was told.
func (b *Planner) addRequest(f *forwarder, m *message.RequestOffer) *request {
	x := &m.Summary
	h := &request{}
	if last := len(b.freeRequests) - 1; last >= 0 {
		h, b.freeRequests = b.freeRequests[last], b.freeRequests[:last]
	}
	b.lastRequestID++
	*h = request{id: b.lastRequestID, forwarderID: m.RequestID, forwarder: f, epoch: f.epoch, open: true, arrivedAt: b.now - clampSpan(x.Waited),
		deadline: b.now + clampSpan(x.Remaining), transfers: max(0, x.Transfers), attempts: h.attempts[:0]}
	h.job = dispatch.Job{ID: h.id, Class: x.Class, Tenant: x.Tenant, Key: x.Key, Remaining: clampSpan(x.Remaining), Hint: clampSpan(x.Hint),
		Slots: x.Slots, Memory: x.Memory, Retry: x.Retry}
	h.slots = 1
	for _, s := range []float64{x.Slots, x.Memory} {
		if s > h.slots && s < 1e9 {
			h.slots = s
		}
	}
	b.requests[h.id], f.requests[h.forwarderID] = h, h
	f.ordered.push(h, forwarderList)
	f.openCount++
	b.openCount++
	for i := range x.Attempts {
		p := &x.Attempts[i]
		a := attempt{worker: b.workerByID(p.WorkerID), sentAt: b.now - clampSpan(p.SentAgo), ended: p.Ended, result: knownResult(p.Result)}
		if p.StartedAgo > 0 {
			a.startedAt = max(b.now-clampSpan(p.StartedAgo), a.sentAt)
		}
		if a.ended && p.PossiblyExecuted == provesNotExecuted(a.result) { // the forwarder's book knows better than a word
			if a.result = dispatch.NotSent; p.PossiblyExecuted {
				a.result = dispatch.ConnectionReset
			}
		}
		b.addAttempt(h, a)
	}
	return h
}

// addAttempt adds an attempt to a head.
func (b *Planner) addAttempt(h *request, a attempt) {
	if b.addReferences(a.worker, 1); !a.ended {
		h.inFlight++
		b.slotsInUse += h.slots
	}
	h.attempts = append(h.attempts, a)
}

// resumedJob is a head with its attempts as the module is told it.
func (b *Planner) resumedJob(h *request) dispatch.JobResumed {
	e := dispatch.JobResumed{Job: h.job, Age: b.now - h.arrivedAt, QuotaCharged: h.knownToPolicy || h.transfers > 0}
	e.Job.Remaining = max(0, h.deadline-b.now)
	for i := range h.attempts {
		a := &h.attempts[i]
		p := dispatch.PastAttempt{Worker: a.worker.ID, SentAgo: b.now - a.sentAt, Ended: a.ended, Result: a.result}
		if a.startedAt != 0 {
			p.StartedAgo = max(1, b.now-a.startedAt)
		}
		e.Attempts = append(e.Attempts, p)
	}
	return e
}

// enqueue has an open head without an attempt out among those that wait.
func (b *Planner) enqueue(h *request) {
	if h.open && h.inFlight == 0 {
		h.queuedSince = b.now
		b.queued.push(h, queuedList)
	}
}

// closeRequest takes in that a head is not open any more. What is out of it is still counted.
func (b *Planner) closeRequest(h *request) {
	if !h.open {
		return
	}
	h.open = false
	b.openCount--
	if h.forwarder != nil {
		h.forwarder.openCount--
	}
	b.queued.remove(h, queuedList)
	if h.inFlight == 0 {
		b.removeRequest(h)
		return
	}
	b.expireAt(h, max(h.deadline, b.now)+reportGrace) // its forwarder tells of each end by then
}

// removeRequest forgets a head that is closed.
func (b *Planner) removeRequest(h *request) {
	if h.expires {
		b.expiries.Remove(h)
		h.expires = false
	}
	for i := range h.attempts {
		a := &h.attempts[i]
		if !a.ended {
			b.slotsInUse -= h.slots
		}
		b.addReferences(a.worker, -1)
		a.worker = nil
	}
	if f := h.forwarder; f != nil {
		f.ordered.remove(h, forwarderList)
		if f.requests[h.forwarderID] == h {
			delete(f.requests, h.forwarderID)
		}
		h.forwarder = nil
	}
	delete(b.requests, h.id)
	if len(b.requests) == 0 {
		b.slotsInUse = 0 // what sums of fractions leave
	}
	if len(b.freeRequests) < b.config.MaxOpenRequests {
		b.freeRequests = append(b.freeRequests, h)
	}
}

// abandonRequest ends a head with all that is out of it: the module is told anew.
func (b *Planner) abandonRequest(h *request) {
	if h.open {
		b.notifyPolicy(dispatch.ClientDisconnected{Job: h.id})
	}
	b.cancelAttempts(h)
	b.closeRequest(h)
	if b.requests[h.id] == h {
		b.removeRequest(h)
	}
}

// cancelAttempts has the module take all attempts for over that are out, without a word on how they did.
func (b *Planner) cancelAttempts(h *request) {
	for i := range h.attempts {
		if a := &h.attempts[i]; !a.ended {
			b.endAttempt(h, i, dispatch.Cancelled)
			b.notifyPolicy(dispatch.Outcome{Job: h.id, Attempt: i, Worker: a.worker.ID, Result: dispatch.Cancelled, Closed: true})
		}
	}
}

func (b *Planner) endAttempt(h *request, i int, r dispatch.Result) {
	a := &h.attempts[i]
	a.ended, a.acknowledged, a.result = true, true, r
	h.inFlight--
	b.slotsInUse -= h.slots
}

// openAttempt is a request of a forwarder and an attempt of it that is in flight; nil: there is none.
func (f *forwarder) openAttempt(requestID uint64, number int) (*request, *attempt) {
	h := f.requests[requestID]
	if h == nil || number < 0 || number >= len(h.attempts) || h.attempts[number].ended {
		return h, nil
	}
	return h, &h.attempts[number]
}

// attemptEnded takes in how an attempt has ended, or why its guard did not let it go.
func (b *Planner) attemptEnded(f *forwarder, m *message.AttemptEnded) {
	if m.Reason != message.ReasonNone {
		b.recordRejection(f, m.Reason)
	}
	h, a := f.openAttempt(m.RequestID, m.Attempt)
	if a == nil || m.Reason != message.ReasonNone && (!a.commanded || a.acknowledged) {
		b.statistics.StrayMessages++
		return
	}
	result := knownResult(m.Result)
	if m.Reason != message.ReasonNone {
		result = dispatch.NotSent
	}
	b.endAttempt(h, m.Attempt, result)
	lost := m.Reason == message.ReasonUnknownRequest || m.Reason == message.ReasonNotOwner
	b.notifyPolicy(dispatch.Outcome{Job: h.id, Attempt: m.Attempt, Worker: a.worker.ID, Result: result,
		Closed: !h.open || result == dispatch.OK})
	switch {
	case h.open && lost:
		b.notifyPolicy(dispatch.ClientDisconnected{Job: h.id})
		b.closeRequest(h)
	case h.open && result == dispatch.OK:
		b.statistics.Served++
		b.closeRequest(h)
	case !h.open && h.inFlight == 0:
		b.removeRequest(h)
	default:
		b.enqueue(h)
	}
}

func (b *Planner) attemptStarted(f *forwarder, m *message.AttemptStarted) {
	h, a := f.openAttempt(m.RequestID, m.Attempt)
	if a == nil {
		b.statistics.StrayMessages++
		return
	}
	if a.acknowledged = true; a.startedAt == 0 {
		a.startedAt = b.now
	}
	b.notifyPolicy(dispatch.Started{Job: h.id, Attempt: m.Attempt, Worker: a.worker.ID})
}

func (b *Planner) attemptProgressed(f *forwarder, m *message.AttemptProgress) {
	h, a := f.openAttempt(m.RequestID, m.Attempt)
	if a == nil {
		b.statistics.StrayMessages++
		return
	}
	if a.acknowledged = true; a.startedAt == 0 {
		a.startedAt = b.now
	}
	if share := m.Fraction; share >= 0 && share <= 1 { // else it says nothing
		b.notifyPolicy(dispatch.Progressed{Job: h.id, Attempt: m.Attempt, Worker: a.worker.ID, Share: share})
	}
}

// requestClosed takes in that nothing is owed for a query any more, or that it is not this planner's.
func (b *Planner) requestClosed(f *forwarder, m *message.RequestClosed) {
	if h := f.requests[m.RequestID]; h != nil && h.open {
		b.notifyPolicy(dispatch.ClientDisconnected{Job: h.id})
		if b.closeRequest(h); h.inFlight > 0 { // where it is another's now, nothing more is told of it
			b.expireUnobserved(h)
		}
	}
}

// ---- What nobody will tell of ----

// expireAt is when what is out of a closed head is taken to be over, unless it is heard of before. The earlier holds.
func (b *Planner) expireAt(h *request, at time.Duration) {
	if h.expires {
		if h.At <= at {
			return
		}
		b.expiries.Remove(h)
	}
	h.At, h.expires = at, true
	b.expiries.Add(h)
}

// expireUnobserved is lapseAt for a head of whose attempts nobody may tell: they are over by the query's deadline, and before
// that once they have taken longer than can be explained.
func (b *Planner) expireUnobserved(h *request) {
	left := max(h.deadline-b.now, 0)
	if m, ok := b.policy.(runtimeEstimator); ok {
		most := time.Duration(0)
		for i := range h.attempts {
			if long, ok := m.TimeUntilOverdue(h.id, i); ok && !h.attempts[i].ended {
				most = max(most, long)
			}
		}
		if most > 0 {
			left = min(left, most)
		}
	}
	b.expireAt(h, b.now+max(left, minExpiryGrace))
}

// expireAttempts ends what was to be over by now.
func (b *Planner) expireAttempts() {
	for b.expiries.Len() > 0 && (b.expiries.First().At <= b.now || len(b.requests) > 4*b.config.MaxOpenRequests) {
		h := b.expiries.First()
		b.statistics.Expired += h.inFlight
		b.cancelAttempts(h)
		b.removeRequest(h)
	}
}

// ---- What the module wants ----

// execute gives the module's orders.
func (b *Planner) execute(actions []dispatch.Action) {
	for i, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			b.sendAttempt(a)
		case dispatch.Reject:
			if h := b.requests[a.Job]; h != nil && h.open {
				b.sendTo(h.forwarder, &message.RejectCommand{RequestID: h.forwarderID, RetryAfter: a.RetryAfter})
				b.statistics.Rejected++
				b.closeRequest(h)
			}
		case dispatch.Fail:
			if h := b.requests[a.Job]; h != nil && h.open {
				b.sendTo(h.forwarder, &message.FailCommand{RequestID: h.forwarderID})
				b.statistics.Failed++
				b.closeRequest(h)
			}
		case dispatch.Cancel:
			if h := b.requests[a.Job]; h != nil && h.forwarder != nil && a.Attempt >= 0 && a.Attempt < len(h.attempts) &&
				!h.attempts[a.Attempt].ended {
				b.sendTo(h.forwarder, &message.CancelCommand{RequestID: h.forwarderID, Attempt: a.Attempt})
			}
		case dispatch.HealthCheck:
			b.startHealthCheck(a.Worker)
		case dispatch.CloseIdleConnections:
			b.closeIdle(a.Worker, actions[i+1:])
		case dispatch.SetTimer:
			if at := b.now + max(a.After, 1); b.policyTimerAt == 0 || at < b.policyTimerAt {
				b.policyTimerAt = at
			}
		case dispatch.Subscribe:
			b.subscribing = true
			b.output = append(b.output, Action{Kind: WatchEndpoints, Revision: b.revision})
		case dispatch.Log:
			b.output = append(b.output, Action{Kind: LogLine, Text: a.Text})
		}
	}
	clear(actions)
	b.actions = actions[:0]
}

// sendAttempt orders an attempt. Each order that a module gives has its outcome, be it at once.
func (b *Planner) sendAttempt(a dispatch.Send) {
	h := b.requests[a.Job]
	if h == nil {
		b.notifyPolicy(dispatch.Outcome{Job: a.Job, Worker: a.Worker, Result: dispatch.NotSent, Closed: true})
		return
	}
	n := len(h.attempts)
	if !h.open || n >= 2*maxAttempts {
		b.addAttempt(h, attempt{worker: b.workerByID(a.Worker), sentAt: b.now, ended: true, acknowledged: true, result: dispatch.NotSent})
		b.notifyPolicy(dispatch.Outcome{Job: a.Job, Attempt: n, Worker: a.Worker, Result: dispatch.NotSent, Closed: !h.open})
		return
	}
	b.addAttempt(h, attempt{worker: b.workerByID(a.Worker), sentAt: b.now, commanded: true})
	b.queued.remove(h, queuedList)
	b.statistics.Commands++
	b.sendTo(h.forwarder, &message.SendCommand{RequestID: h.forwarderID, Attempt: n, WorkerID: a.Worker, Timeout: a.AttemptTimeout})
}

// closeIdle closes idle links to a worker node: those of the forwarder that is to send there next, if that is why; else all.
func (b *Planner) closeIdle(worker uint64, then []dispatch.Action) {
	if len(then) > 0 {
		if s, ok := then[0].(dispatch.Send); ok && s.Worker == worker {
			if h := b.requests[s.Job]; h != nil && h.open {
				b.sendTo(h.forwarder, &message.CloseIdleCommand{WorkerID: worker})
				return
			}
		}
	}
	for _, f := range b.connected {
		b.sendTo(f, &message.CloseIdleCommand{WorkerID: worker})
	}
}

// rejectOffer ends a query that can't be taken in: there is no room for it, or its class is not known here.
func (b *Planner) rejectOffer(f *forwarder, m *message.RequestOffer) {
	b.statistics.OffersRejected++
	x := &m.Summary
	if to := b.peerWithMostRoom(1); to != "" && x.Transfers < maxTransfers {
		b.statistics.Transferred++
		b.sendTo(f, &message.TransferCommand{RequestID: m.RequestID, Planner: to})
		return
	}
	for i := range x.Attempts {
		if x.Attempts[i].PossiblyExecuted {
			b.sendTo(f, &message.FailCommand{RequestID: m.RequestID})
			return
		}
	}
	b.sendTo(f, &message.RejectCommand{RequestID: m.RequestID})
}
