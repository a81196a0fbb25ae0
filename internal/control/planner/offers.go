package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const (
	maxAttempts       = 64                    // of an offered request; twice as many with the commands of this planner
	maxReportedSpan   = time.Hour             // of any duration that a forwarder reports
	maxReportedSlots  = 1e9                   // exclusive; greater figures are replaced by defaultSlotDemand
	resumeThreshold   = 10 * time.Millisecond // a request that has waited this long is resumed by the policy, not new to it
	defaultSlotDemand = 1
)

// creditChecker reports whether a forwarder's credit covers one more open request.
type creditChecker interface{ covers(f *forwarder) bool }

// requestPlacer finds the peer that should have a request, and transfers the request to it.
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

// handle processes an offer. An offer of a known request replaces that request: the forwarder assumes that the
// records of both differ, and its own decide.
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
	o.referToWorkers(unread, 1) // otherwise the workers could be removed with the request
	o.requestLifecycle.abandon(known)
	o.decide(f, offer, unread)
	o.referToWorkers(unread, -1)
}

// referToWorkers adds count to the references to the workers of attempts that belong to no request.
func (o *offerHandler) referToWorkers(attempts []attempt, count int) {
	for i := range attempts {
		o.policySync.addReferences(attempts[i].worker, count)
	}
}

// decide accepts or rejects an offer of an unknown request. unread are attempts to add to those that the
// offer has.
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
	o.requests.settle(req, o.step.now())
	if len(req.attempts) == 0 && offer.Summary.Transfers == 0 && offer.Summary.Waited < resumeThreshold {
		o.policy.notify(req.job)
	} else {
		o.policySync.flush() // the attempts may refer to workers of which the policy is not notified yet
		o.policy.notify(req.resumedJob(o.step.now()))
	}
	req.knownToPolicy = true
}

// accepts reports whether the forwarder's credit covers one more request, and the summary is within the planner's bounds.
func (o *offerHandler) accepts(f *forwarder, summary *message.RequestSummary) bool {
	return o.credits.covers(f) &&
		summary.Class >= 0 && summary.Class < o.classCount &&
		len(summary.Attempts) <= maxAttempts
}

// reject replies to an offer that is not accepted: by a transfer to a peer with free slots if there is one, otherwise by a
// failure if the request was possibly executed, otherwise by a rejection.
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

// addRequest adds a request with the attempts of its summary.
func (o *offerHandler) addRequest(f *forwarder, offer *message.RequestOffer) *request {
	summary := &offer.Summary
	req := o.requests.allocate()
	req.forwarderID = offer.RequestID
	req.forwarder = f
	req.epoch = f.epoch
	req.arrivedAt = o.step.now() - clampSpan(summary.Waited)
	req.deadline = o.step.now() + clampSpan(summary.Remaining)
	req.transfers = max(0, summary.Transfers)
	req.slots = slotDemand(summary)
	req.job = dispatch.Job{
		ID:        req.id,
		Class:     summary.Class,
		Tenant:    summary.Tenant,
		Key:       summary.Key,
		Remaining: clampSpan(summary.Remaining),
		Hint:      clampSpan(summary.Hint),
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

// reportedAttempt returns an attempt that the forwarder has reported. If the result and the forwarder's records differ on
// whether it was possibly executed, the records decide.
func (o *offerHandler) reportedAttempt(past *message.PastAttempt) attempt {
	reported := attempt{
		state:  attemptConfirmed,
		worker: o.workers.ensure(past.WorkerID),
		sentAt: o.step.now() - clampSpan(past.SentAgo),
		result: knownResult(past.Result),
	}
	if past.StartedAgo > 0 {
		reported.startedAt = max(o.step.now()-clampSpan(past.StartedAgo), reported.sentAt)
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

// unreadCommands returns the attempts that were commanded in the session of an epoch and whose command the forwarder had
// not read when it reported its attempts. It reads them later.
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

// slotDemand returns the slots that an attempt occupies: the maximum of slots and memory, at least one.
func slotDemand(summary *message.RequestSummary) float64 {
	demand := float64(defaultSlotDemand)
	for _, figure := range []float64{summary.Slots, summary.Memory} {
		if figure > demand && figure < maxReportedSlots {
			demand = figure
		}
	}
	return demand
}
