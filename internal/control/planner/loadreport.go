package planner

import (
	"math"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const (
	loadReportValidity   = time.Second
	openAverageDivisor   = 4   // the newest sample has the weight 1/openAverageDivisor in the moving average
	quotaShareDivisor    = 10  // the policy is notified if the quota share changes by more than 1/quotaShareDivisor
	maxLoadReportedSlots = 1e9 // exclusive upper bound of valid slot numbers in a load report
)

// capacityEstimator passes events to the policy, and returns the policy's estimate of free slots if it has one.
type capacityEstimator interface {
	notifier
	availableSlots() (slots float64, ok bool)
}

// loadReporter exchanges load reports with the peers and computes this planner's share of the quotas.
type loadReporter struct {
	interval   time.Duration
	stats      *Stats
	step       *step
	forwarders *forwarderTable
	peers      *peerTable
	policy     capacityEstimator
	requests   *requestTable
	timer      *stepTimer
	workers    *workerTable

	nextReportAt time.Duration
	averageOpen  float64 // moving average of this planner's open requests
	quotaShare   float64 // the share last sent to the policy; 0 if none was sent
}

// report returns this planner's load.
func (l *loadReporter) report() *message.LoadReport {
	return &message.LoadReport{
		OpenRequests:   l.requests.openCount,
		QueuedRequests: l.requests.queued.length,
		Forwarders:     len(l.forwarders.connected),
		TimerLag:       l.timer.lag,
		UsedSlots:      max(0, l.requests.slotsInUse),
		FreeSlots:      l.freeSlots(),
	}
}

// freeSlots returns the policy's estimate of free slots or, without an estimate, the number of ready workers without attempts.
func (l *loadReporter) freeSlots() (slots float64) {
	if available, ok := l.policy.availableSlots(); ok {
		return available
	}
	for _, worker := range l.workers.list {
		if worker.knownToPolicy && worker.policyView.Ready && worker.references == 0 {
			slots++
		}
	}
	return slots
}

// receive records a peer's load report.
func (l *loadReporter) receive(from *peer, report *message.LoadReport) {
	if !isValidLoadReport(report) {
		l.stats.InvalidMessages++
		return
	}
	from.load = *report
	from.loadAt = l.step.now()
	from.reservedSlots = 0
}

// send sends this planner's load to the peers and its quota share to the policy, once per interval.
func (l *loadReporter) send() {
	if l.step.now() < l.nextReportAt {
		return
	}
	l.nextReportAt = l.step.now() + l.interval
	l.averageOpen += (float64(l.requests.openCount) - l.averageOpen) / openAverageDivisor
	if l.peers.anyAlive || l.quotaShare > 0 {
		l.updateQuotaShare()
	}
	if len(l.peers.list) > 0 {
		l.step.sendToPeers(l.peers.list, l.report())
	}
}

// updateQuotaShare computes this planner's share of the quotas: its fraction of the open requests of all planners. A peer
// without a recent load report is assumed to have as many open requests as this planner.
func (l *loadReporter) updateQuotaShare() {
	own := l.averageOpen + 1
	sum := own
	for _, peer := range l.peers.list {
		switch {
		case !peer.alive:
		case peer.hasRecentLoad(l.step.now()):
			sum += float64(peer.load.OpenRequests) + 1
		default:
			sum += own
		}
	}
	share := own / sum
	if math.Abs(share-l.quotaShare) > l.quotaShare/quotaShareDivisor {
		l.quotaShare = share
		l.notifyShare()
	}
}

// notifyShare notifies the policy of this planner's quota share, if it is known.
func (l *loadReporter) notifyShare() {
	if l.quotaShare > 0 {
		l.policy.notify(dispatch.ReplicasChanged{Replicas: 1, QuotaShare: l.quotaShare})
	}
}

func isValidLoadReport(report *message.LoadReport) bool {
	return report.OpenRequests >= 0 && report.QueuedRequests >= 0 && report.TimerLag >= 0 &&
		report.UsedSlots >= 0 && report.UsedSlots < maxLoadReportedSlots &&
		report.FreeSlots >= 0 && report.FreeSlots < maxLoadReportedSlots
}
