package planner

import (
	"math"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const (
	loadReportValidity   = time.Second
	openAverageWeight    = 4   // the newest count of open requests is this part of the moving average
	quotaShareTolerance  = 10  // the policy is told of changes by more than this part of the share that it was told
	maxLoadReportedSlots = 1e9 // less than that
)

// loadReport returns this planner's load.
func (p *Planner) loadReport() *message.LoadReport {
	return &message.LoadReport{
		OpenRequests:   p.requests.openCount,
		QueuedRequests: p.requests.queued.length,
		Forwarders:     len(p.forwarders.connected),
		TimerLag:       p.timerLag,
		UsedSlots:      max(0, p.requests.slotsInUse),
		FreeSlots:      p.freeSlots(),
	}
}

// freeSlots returns how many slots are free as the policy knows it, or else the workers that have no attempt.
func (p *Planner) freeSlots() (slots float64) {
	if reporter, ok := p.policy.policy.(capacityReporter); ok {
		return reporter.AvailableSlots()
	}
	for _, worker := range p.workers.list {
		if worker.announced && worker.announcedAs.Ready && worker.references == 0 {
			slots++
		}
	}
	return slots
}

// loadReported takes in a peer's load.
func (p *Planner) loadReported(from *peer, report *message.LoadReport) {
	if !isValidLoadReport(report) {
		p.stats.InvalidMessages++
		return
	}
	from.load = *report
	from.loadAt = p.now
	from.claimedSlots = 0
}

func isValidLoadReport(report *message.LoadReport) bool {
	return report.OpenRequests >= 0 && report.QueuedRequests >= 0 && report.TimerLag >= 0 &&
		report.UsedSlots >= 0 && report.UsedSlots < maxLoadReportedSlots &&
		report.FreeSlots >= 0 && report.FreeSlots < maxLoadReportedSlots
}

// sendLoadReports tells the peers this planner's load, and the policy its share of the quotas.
func (p *Planner) sendLoadReports() {
	if p.now < p.peers.nextLoadReportAt {
		return
	}
	p.peers.nextLoadReportAt = p.now + p.config.LoadReportInterval
	p.peers.averageOpen += (float64(p.requests.openCount) - p.peers.averageOpen) / openAverageWeight
	if p.peers.anyAlive || p.peers.quotaShare > 0 {
		p.updateQuotaShare()
	}
	if len(p.peers.list) > 0 {
		p.sendToPeers(p.loadReport())
	}
}

// updateQuotaShare finds out this planner's share of the quotas: that of the open requests of all planners. A peer without
// a valid load report counts as having as many as this one.
func (p *Planner) updateQuotaShare() {
	own := p.peers.averageOpen + 1
	sum := own
	for _, peer := range p.peers.list {
		switch {
		case !peer.alive:
		case peer.hasRecentLoad(p.now):
			sum += float64(peer.load.OpenRequests) + 1
		default:
			sum += own
		}
	}
	share := own / sum
	if math.Abs(share-p.peers.quotaShare) > p.peers.quotaShare/quotaShareTolerance {
		p.peers.quotaShare = share
		p.notifyPolicy(dispatch.ReplicasChanged{Replicas: 1, QuotaShare: share})
	}
}
