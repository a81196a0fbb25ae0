package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// singleRequestCloser closes one request.
type singleRequestCloser interface{ close(req *request) }

// placer decides which planner a request belongs to, and transfers requests to other planners.
type placer struct {
	classes   []dispatch.Class
	stats     *Stats
	step      *step
	closer    singleRequestCloser
	locations *locationIndex
	peers     *peerTable
	policy    notifier
	requests  *requestTable
	workers   *workerTable
}

// maxTransfers limits how often a request is transferred between planners.
const maxTransfers = 2

// preferredPeer returns the name of the planner to transfer a request to because no worker of this planner may execute it. It
// returns an empty string if a worker of this planner may, or if no peer is suitable. A request that was possibly executed is
// placed only at the workers that deduplicate it.
func (p *placer) preferredPeer(req *request) string {
	if !p.peers.anyAlive || req.inFlight > 0 || req.transfers >= maxTransfers {
		return ""
	}
	class := req.job.Class
	if attempt := p.restrictingAttempt(req); attempt != nil {
		return p.preferredPeerAfter(attempt, class)
	}
	if p.locations.canPlaceLocally(class) {
		return ""
	}
	return p.bestPeerFor(class, anywhere)
}

// preferredPeerAfter is preferredPeer for a request of a class with an attempt that was possibly executed.
func (p *placer) preferredPeerAfter(a *attempt, class int) string {
	settings := &p.classes[class]
	switch {
	case settings.Idempotency == dispatch.NonIdempotent:
		return "" // it must not be sent again
	case !a.worker.listed:
		return "" // the worker's owner is unknown
	case settings.DeduplicationScope == dispatch.ScopeCell:
		return p.peers.ifAlive(p.workers.partition.owner(a.worker))
	}
	sameZone := inZone(a.worker.Zone)
	if p.locations.availableFor(class, p.locations.local, sameZone) > 0 {
		return ""
	}
	return p.bestPeerFor(class, sameZone)
}

// restrictingAttempt returns the first attempt that restricts where a request may be sent, or nil. An attempt does so if it was
// possibly executed, and the class is not idempotent or is deduplicated only within a cell or zone.
func (p *placer) restrictingAttempt(req *request) *attempt {
	class := &p.classes[req.job.Class]
	if class.Idempotency == dispatch.Idempotent ||
		class.Idempotency == dispatch.IdempotentWithKey && class.DeduplicationScope == dispatch.ScopeAll {
		return nil
	}
	for i := range req.attempts {
		if attempt := &req.attempts[i]; !provesNotExecuted(attempt.result) {
			return attempt
		}
	}
	return nil
}

// bestPeerFor returns the name of the peer with the most workers that are up and accept a class, among the locations that
// match. It returns an empty string if no peer has any.
func (p *placer) bestPeerFor(class int, matches func(at *location) bool) string {
	best, bestAvailable := "", 0
	for _, peer := range p.peers.list {
		if !peer.alive {
			continue
		}
		if available := p.locations.availableFor(class, peer.name, matches); available > bestAvailable {
			best, bestAvailable = peer.name, available
		}
	}
	return best
}

const (
	minTransferWait          = 50 * time.Millisecond
	transferObjectiveDivisor = 4   // a request is queued for latency objective / divisor before its transfer
	transferSlotMargin       = 1.0 // slots that must be free at the peer in addition to the request's
	transferScanLimit        = 64  // queued requests examined per tick
)

// transferQueued transfers queued requests that no worker of this planner may execute, and requests that have been queued for
// a fraction of their latency objective if a peer has capacity.
func (p *placer) transferQueued() {
	if !p.peers.anyAlive {
		return
	}
	planners := float64(1 + p.peers.countAlive())
	scanned := 0
	for req := range p.requests.queued.all() {
		scanned++
		if scanned > transferScanLimit {
			return
		}
		if to := p.preferredPeer(req); to != "" { // workers may have changed since the offer
			p.transfer(req, to)
			continue
		}
		if !p.hasWaitedForTransfer(req) {
			continue
		}
		if to := p.peers.withMostFreeSlots(p.step.now(), req.slots); to != "" {
			p.peers.find(to).reservedSlots += req.slots * planners // all planners may claim the same free slots
			p.transfer(req, to)
		}
	}
}

// hasWaitedForTransfer reports whether a queued request may be transferred for lack of capacity. Requests that were
// transferred before may not, so that planners don't transfer them back and forth.
func (p *placer) hasWaitedForTransfer(req *request) bool {
	objective := p.classes[req.job.Class].LatencyObjective
	wait := max(minTransferWait, objective/transferObjectiveDivisor)
	return req.transfers == 0 && p.step.now()-req.queuedSince >= wait && p.restrictingAttempt(req) == nil
}

// transfer commands the forwarder to offer a request to another planner, and closes it here.
func (p *placer) transfer(req *request, to string) {
	p.stats.Transferred++
	p.step.send(req.forwarder, &message.TransferCommand{RequestID: req.forwarderID, Planner: to})
	if req.knownToPolicy {
		p.policy.notify(dispatch.ClientDisconnected{Job: req.id})
	}
	p.closer.close(req)
}
