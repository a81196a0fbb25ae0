package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const (
	maxAttempts       = 64                    // of a request that is offered; twice as many by the commands of this planner
	maxReportedSpan   = time.Hour             // of any duration that a forwarder reports
	maxReportedSlots  = 1e9                   // less than that; a greater figure counts as 1
	resumeThreshold   = 10 * time.Millisecond // a request that has waited for so long is no new one to the policy
	defaultSlotDemand = 1
)

// requestOffered takes in an offer. One of a request that is known replaces it: the forwarder has reason to think that
// the two know different things, and its records decide.
func (p *Planner) requestOffered(f *forwarder, offer *message.RequestOffer) {
	if !p.decides() {
		return // the forwarder offers all of them to others once it reads the goodbye
	}
	p.stats.Offers++
	known := f.requests[offer.RequestID]
	if known == nil {
		p.decideOnOffer(f, offer, nil)
		return
	}
	unread := unreadCommands(known, f.epoch, len(offer.Summary.Attempts))
	p.referToWorkers(unread, 1) // else they could be forgotten with the request
	p.abandonRequest(known)
	p.decideOnOffer(f, offer, unread)
	p.referToWorkers(unread, -1)
}

// referToWorkers counts attempts that are in no request, each so many times.
func (p *Planner) referToWorkers(attempts []attempt, count int) {
	for i := range attempts {
		p.addReferences(attempts[i].worker, count)
	}
}

// decideOnOffer accepts an offer of a request that is not known, or doesn't. unread are attempts to add to those that the
// offer has.
func (p *Planner) decideOnOffer(f *forwarder, offer *message.RequestOffer, unread []attempt) {
	if !p.acceptsOffer(f, &offer.Summary) {
		p.rejectOffer(f, offer)
		return
	}
	req := p.addRequest(f, offer)
	for _, attempt := range unread {
		p.addAttempt(req, attempt)
	}
	if to := p.preferredPeer(req); to != "" {
		p.transfer(req, to)
		return
	}
	p.requests.settle(req, p.now)
	if len(req.attempts) == 0 && offer.Summary.Transfers == 0 && offer.Summary.Waited < resumeThreshold {
		p.notifyPolicy(req.job)
	} else {
		p.flushWorkerUpdates() // the attempts may name workers that the policy was not told of
		p.notifyPolicy(p.resumedJob(req))
	}
	req.knownToPolicy = true
}

// unreadCommands returns the attempts that were commanded in the session of an epoch and that the forwarder had not read of
// when it reported so many attempts. It will.
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

// acceptsOffer reports whether the forwarder's credit covers one more request, and this planner can plan for it.
func (p *Planner) acceptsOffer(f *forwarder, summary *message.RequestSummary) bool {
	return p.withinCredit(f) &&
		summary.Class >= 0 && summary.Class < len(p.config.Settings.Classes) &&
		len(summary.Attempts) <= maxAttempts
}

// rejectOffer answers an offer that is not accepted.
func (p *Planner) rejectOffer(f *forwarder, offer *message.RequestOffer) {
	p.stats.OffersRejected++
	if offer.Summary.Transfers < maxTransfers {
		if to := p.peerWithMostFreeSlots(defaultSlotDemand); to != "" {
			p.stats.Transferred++
			p.send(f, &message.TransferCommand{RequestID: offer.RequestID, Planner: to})
			return
		}
	}
	for i := range offer.Summary.Attempts {
		if offer.Summary.Attempts[i].PossiblyExecuted {
			p.send(f, &message.FailCommand{RequestID: offer.RequestID})
			return
		}
	}
	p.send(f, &message.RejectCommand{RequestID: offer.RequestID})
}

// addRequest enters a request with the attempts that its summary has.
func (p *Planner) addRequest(f *forwarder, offer *message.RequestOffer) *request {
	summary := &offer.Summary
	req := p.requests.allocate()
	req.forwarderID = offer.RequestID
	req.forwarder = f
	req.epoch = f.epoch
	req.arrivedAt = p.now - clampSpan(summary.Waited)
	req.deadline = p.now + clampSpan(summary.Remaining)
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
	p.requests.byID[req.id] = req
	f.requests[req.forwarderID] = req
	f.offered.push(req)
	p.requests.transition(req, requestOffered, p.now)
	for i := range summary.Attempts {
		p.addAttempt(req, p.reportedAttempt(&summary.Attempts[i]))
	}
	return req
}

// slotDemand returns the slots that an attempt takes: the greater one of slots and memory, and one at least.
func slotDemand(summary *message.RequestSummary) float64 {
	demand := float64(defaultSlotDemand)
	for _, figure := range []float64{summary.Slots, summary.Memory} {
		if figure > demand && figure < maxReportedSlots {
			demand = figure
		}
	}
	return demand
}

// reportedAttempt returns an attempt as the forwarder reports it. Where the result and the forwarder's records differ on
// whether it was possibly executed, the records decide.
func (p *Planner) reportedAttempt(past *message.PastAttempt) attempt {
	reported := attempt{
		state:  attemptConfirmed,
		worker: p.ensureWorker(past.WorkerID),
		sentAt: p.now - clampSpan(past.SentAgo),
		result: knownResult(past.Result),
	}
	if past.StartedAgo > 0 {
		reported.startedAt = max(p.now-clampSpan(past.StartedAgo), reported.sentAt)
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

// resumedJob returns a request with its attempts as the policy is told of it.
func (p *Planner) resumedJob(req *request) dispatch.JobResumed {
	resumed := dispatch.JobResumed{
		Job:          req.job,
		Age:          p.now - req.arrivedAt,
		QuotaCharged: req.knownToPolicy || req.transfers > 0,
	}
	resumed.Job.Remaining = max(0, req.deadline-p.now)
	for i := range req.attempts {
		attempt := &req.attempts[i]
		past := dispatch.PastAttempt{
			Worker:  attempt.worker.ID,
			SentAgo: p.now - attempt.sentAt,
			Ended:   !attempt.inFlight(),
			Result:  attempt.result,
		}
		if attempt.startedAt != 0 {
			past.StartedAgo = max(1, p.now-attempt.startedAt)
		}
		resumed.Attempts = append(resumed.Attempts, past)
	}
	return resumed
}

// clampSpan returns a reported duration within its bounds.
func clampSpan(d time.Duration) time.Duration { return min(max(d, 0), maxReportedSpan) }
