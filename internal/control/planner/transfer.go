package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const (
	minTransferWait          = 50 * time.Millisecond
	transferObjectiveDivisor = 4   // a request is queued for this part of its latency objective before it is transferred
	transferSlotMargin       = 1.0 // slots that have to be free beyond what the request takes
	transferScanLimit        = 64  // queued requests that are looked at in a tick
)

// transferQueued transfers queued requests that no worker of this planner may have, or that have been queued for a part of
// their latency objective while a peer has capacity.
func (p *placer) transferQueued() {
	if !p.peers.anyAlive {
		return
	}
	planners := float64(1 + p.peers.countAlive())
	scanned := 0
	for req := range p.requests.queued.all() {
		if scanned++; scanned > transferScanLimit {
			return
		}
		if to := p.preferredPeer(req); to != "" { // workers have changed since the offer
			p.transfer(req, to)
			continue
		}
		if !p.hasWaitedForTransfer(req) {
			continue
		}
		if to := p.peers.withMostFreeSlots(p.step.now(), req.slots); to != "" {
			p.peers.find(to).claimedSlots += req.slots * planners // all planners may count on the same free slots
			p.transfer(req, to)
		}
	}
}

// hasWaitedForTransfer reports whether a queued request may be transferred for lack of capacity. One that was transferred
// before may not: it is not sent to and fro.
func (p *placer) hasWaitedForTransfer(req *request) bool {
	objective := p.config.Settings.Classes[req.job.Class].LatencyObjective
	wait := max(minTransferWait, objective/transferObjectiveDivisor)
	return req.transfers == 0 && p.step.now()-req.queuedSince >= wait && p.bindingAttempt(req) == nil
}

// transfer has the forwarder offer a request to another planner.
func (p *placer) transfer(req *request, to string) {
	p.stats.Transferred++
	p.step.send(req.forwarder, &message.TransferCommand{RequestID: req.forwarderID, Planner: to})
	if req.knownToPolicy {
		p.policy.notify(dispatch.ClientDisconnected{Job: req.id})
	}
	p.requestLifecycle.close(req)
}
