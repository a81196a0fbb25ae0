package dispatch

import (
	"slices"
	"time"
)

// What the client reports about the leases in use. The design's limit of a worker "grows by one when a job
// starts promptly and halves on 'full' or failure", so a coordinator needs the starts and results. The
// periodic reports make up for lost messages.

// recordUnleased records an attempt that was sent without a lease. The next report includes it.
func (l *leaseClient) recordUnleased(now time.Duration, attempt *attemptInfo) {
	if !l.settings.UsesLeases() {
		return
	}
	lease := l.newLease(l.directory.shardOf(&attempt.worker.Worker), attempt.job.demand)
	lease.isGranted = true
	lease.worker = attempt.worker.ID
	lease.attempt = attempt
	if peer, ok := l.directory.coordinatorOf(lease.shard, now); ok {
		lease.peer = peer
	}
	attempt.lease = lease
	l.reportAt = now
}

// reportStart reports whether an attempt has started promptly.
func (l *leaseClient) reportStart(attempt *attemptInfo, isPrompt bool) {
	if attempt.lease != nil {
		l.peers.send(attempt.lease.peer, LeaseStarted{ID: attempt.lease.id, Prompt: isPrompt})
	}
}

// endAttempt releases the lease of an attempt that takes no slots any more.
func (l *leaseClient) endAttempt(attempt *attemptInfo, result Result) {
	lease := attempt.lease
	if lease == nil {
		return
	}
	attempt.lease = nil
	l.drop(lease)
	l.release(lease, result)
}

// report sends each coordinator the leases in use in its shards, every leaseReportInterval.
func (l *leaseClient) report(now time.Duration) {
	if !l.settings.UsesLeases() || now < l.reportAt {
		return
	}
	l.reportAt = now + leaseReportInterval
	reports := map[int][]HeldLease{}
	var peers []int // in the order in which reports are sent
	for _, lease := range l.filter((*leaseInfo).isUsed) {
		if peer, ok := l.directory.coordinatorOf(lease.shard, now); ok {
			lease.peer = peer
		}
		if reports[lease.peer] == nil {
			peers = append(peers, lease.peer)
		}
		held := HeldLease{
			ID:      lease.id,
			Worker:  lease.worker,
			Demand:  lease.demand,
			Started: lease.attempt.started,
		}
		reports[lease.peer] = append(reports[lease.peer], held)
	}
	for _, peer := range peers {
		l.sendReport(peer, reports[peer])
	}
}

func (l *leaseClient) sendReport(peer int, held []HeldLease) {
	isComplete := len(held) <= MaxReported
	for part := range slices.Chunk(held, MaxReported) {
		l.peers.send(peer, LeaseReport{Complete: isComplete, Leases: part})
	}
}

// handlePeerRestart makes the requests that a restarted dispatcher has lost due at once, and the report of
// the leases in use due at the next maintenance.
func (l *leaseClient) handlePeerRestart(now time.Duration, peer int) {
	l.reportAt = now
	isLost := func(lease *leaseInfo) bool {
		return lease.job != nil && !lease.isGranted && lease.peer == peer
	}
	for _, lease := range l.filter(isLost) {
		lease.isQueued = false
		l.timers.set(&lease.timer, now, now)
	}
}
