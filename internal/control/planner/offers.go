package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const (
	maxAttempts         = 64                    // in an offer; a request has at most twice as many, with those commanded here
	maxReportedDuration = time.Hour             // upper bound of any duration that a forwarder reports
	maxReportedSlots    = 1e9                   // exclusive; greater values are replaced by defaultSlotDemand
	resumeThreshold     = 10 * time.Millisecond // a request that has waited this long is passed as JobResumed, not as Job
	defaultSlotDemand   = 1
)

// creditChecker reports whether a forwarder's credit covers one more open request.
type creditChecker interface{ covers(f *forwarder) bool }

// requestPlacer finds the peer that should decide on a request, and transfers the request to it.
type requestPlacer interface {
	preferredPeer(req *request) string
	transfer(req *request, to string)
}

// offerHandler decides on the forwarders' offers of requests.
type offerHandler struct {
	classCount       int
	stats            *Stats
	step             *step
	credits          creditChecker
	requestLifecycle *requestLifecycle
	peers            *peerTable
	phase            decider
	placer           requestPlacer
	policy           notifier
	policySync       *policySync
	requests         *requestTable
	workers          *workerTable
}

// handle processes an offer. An offer of a known request replaces that request: the forwarder offers it again because the
// records of both sides may differ, and the forwarder's are authoritative.
func (o *offerHandler) handle(f *forwarder, offer *message.RequestOffer) {
	if !o.phase.decides() {
		return // the forwarder offers its requests to other planners when it reads the goodbye
	}
	o.stats.Offers++
	known := f.requests[offer.RequestID]
	if known == nil {
		o.decide(f, offer, nil)
		return
	}
	unread := unreadCommands(known, f.epoch, len(offer.Summary.Attempts))
	o.adjustWorkerReferences(unread, 1) // keeps the workers while the request is removed
	o.requestLifecycle.abandon(known)
	o.decide(f, offer, unread)
	o.adjustWorkerReferences(unread, -1)
}

// adjustWorkerReferences adds count to the reference counts of the workers of some attempts, which belong to no request.
func (o *offerHandler) adjustWorkerReferences(attempts []attempt, count int) {
	for i := range attempts {
		o.policySync.addReferences(attempts[i].worker, count)
	}
}

// decide accepts or rejects an offer of an unknown request. The unread attempts are added to those of the offer.
func (o *offerHandler) decide(f *forwarder, offer *message.RequestOffer, unread []attempt) {
	if !o.accepts(f, &offer.Summary) {
		o.reject(f, offer)
		return
	}
	req := o.addRequest(f, offer)
	for _, attempt := range unread {
		o.requestLifecycle.addAttempt(req, attempt)
	}
	if to := o.placer.preferredPeer(req); to != "" {
		o.placer.transfer(req, to)
		return
	}
	o.requests.updateOpenState(req, o.step.now())
	if len(req.attempts) == 0 && offer.Summary.Transfers == 0 && offer.Summary.Waited < resumeThreshold {
		o.policy.notify(req.job)
	} else {
		o.policySync.flush() // attempts may refer to workers that the policy doesn't have yet
		o.policy.notify(req.resumedJob(o.step.now()))
	}
	req.knownToPolicy = true
}

// accepts reports whether the forwarder's credit covers one more request and the summary is within the planner's bounds.
func (o *offerHandler) accepts(f *forwarder, summary *message.RequestSummary) bool {
	return o.credits.covers(f) &&
		summary.Class >= 0 && summary.Class < o.classCount &&
		len(summary.Attempts) <= maxAttempts
}

// reject replies to an offer that is not accepted: with a transfer if a peer has free slots, otherwise with a failure if the
// request was possibly executed, otherwise with a rejection.
func (o *offerHandler) reject(f *forwarder, offer *message.RequestOffer) {
	o.stats.OffersRejected++
	if offer.Summary.Transfers < maxTransfers {
		if to := o.peers.withMostFreeSlots(o.step.now(), defaultSlotDemand); to != "" {
			o.stats.Transferred++
			o.step.send(f, &message.TransferCommand{RequestID: offer.RequestID, Planner: to})
			return
		}
	}
	for i := range offer.Summary.Attempts {
		if offer.Summary.Attempts[i].PossiblyExecuted {
			o.step.send(f, &message.FailCommand{RequestID: offer.RequestID})
			return
		}
	}
	o.step.send(f, &message.RejectCommand{RequestID: offer.RequestID})
}

// addRequest adds an offered request to the table, with the attempts of its summary.
func (o *offerHandler) addRequest(f *forwarder, offer *message.RequestOffer) *request {
	summary := &offer.Summary
	req := o.requests.allocate()
	req.forwarderID = offer.RequestID
	req.forwarder = f
	req.epoch = f.epoch
	req.arrivedAt = o.step.now() - clampDuration(summary.Waited)
	req.deadline = o.step.now() + clampDuration(summary.Remaining)
	req.transfers = max(0, summary.Transfers)
	req.slots = slotDemand(summary)
	req.job = dispatch.Job{
		ID:        req.id,
		Class:     summary.Class,
		Tenant:    summary.Tenant,
		Key:       summary.Key,
		Remaining: clampDuration(summary.Remaining),
		Hint:      clampDuration(summary.Hint),
		Slots:     summary.Slots,
		Memory:    summary.Memory,
		Retry:     summary.Retry,
	}
	o.requests.byID[req.id] = req
	f.requests[req.forwarderID] = req
	f.offered.push(req)
	o.requests.transition(req, requestOffered, o.step.now())
	for i := range summary.Attempts {
		o.requestLifecycle.addAttempt(req, o.reportedAttempt(&summary.Attempts[i]))
	}
	return req
}

// reportedAttempt returns an attempt that the forwarder has reported. If the result contradicts the forwarder's record of
// whether the attempt was possibly executed, the result is replaced by one that matches the record.
func (o *offerHandler) reportedAttempt(past *message.PastAttempt) attempt {
	reported := attempt{
		state:  attemptConfirmed,
		worker: o.workers.findOrAdd(past.WorkerID),
		sentAt: o.step.now() - clampDuration(past.SentAgo),
		result: normalizeResult(past.Result),
	}
	if past.StartedAgo > 0 {
		reported.startedAt = max(o.step.now()-clampDuration(past.StartedAgo), reported.sentAt)
	}
	if !past.Ended {
		return reported
	}
	reported.advanceTo(attemptEnded)
	switch notExecuted := provesNotExecuted(reported.result); {
	case notExecuted && past.PossiblyExecuted:
		reported.result = dispatch.ConnectionReset
	case !notExecuted && !past.PossiblyExecuted:
		reported.result = dispatch.NotSent
	}
	return reported
}

// unreadCommands returns the attempts whose send commands were sent in the session with the given epoch, and which the
// forwarder had not read when it made the offer. The forwarder will still read and execute these commands.
func unreadCommands(req *request, epoch message.Epoch, reported int) (unread []attempt) {
	if req.epoch != epoch {
		return nil
	}
	for i := reported; i < len(req.attempts); i++ {
		if req.attempts[i].state == attemptCommanded {
			unread = append(unread, req.attempts[i])
		}
	}
	return unread
}

// slotDemand returns the number of slots that an attempt occupies: the maximum of its slots and memory, and at least one.
func slotDemand(summary *message.RequestSummary) float64 {
	demand := float64(defaultSlotDemand)
	for _, reported := range []float64{summary.Slots, summary.Memory} {
		if reported > demand && reported < maxReportedSlots {
			demand = reported
		}
	}
	return demand
}
