package dispatch

import (
	"cmp"
	"slices"
)

// What a dispatcher tells coordinators of the leases that it uses, and the exchange of messages about
// leases.

// takeSlots has the coordinator told, with the next report, of an attempt that was sent without a lease.
func (d *Dispatcher) takeSlots(attempt *attemptInfo) {
	if !d.usesLeases() {
		return
	}
	lease := d.newLease(d.directory.shardOf(attempt.worker), attempt.job.demand)
	lease.isGranted = true
	lease.worker = attempt.worker.ID
	lease.attempt = attempt
	if peer, ok := d.directory.coordinatorOf(lease.shard, d.now); ok {
		lease.peer = peer
	}
	attempt.lease = lease
	d.client.reportAt = d.now
}

// reportStart tells the coordinator whether an attempt has started promptly.
func (d *Dispatcher) reportStart(attempt *attemptInfo, isPrompt bool) {
	if attempt.lease != nil {
		d.tell(attempt.lease.peer, LeaseStarted{ID: attempt.lease.id, Prompt: isPrompt})
	}
}

// releaseLease ends the lease of an attempt that takes no slots any more.
func (d *Dispatcher) releaseLease(attempt *attemptInfo, result Result) {
	lease := attempt.lease
	if lease == nil {
		return
	}
	attempt.lease = nil
	d.dropLease(lease)
	d.tell(lease.peer, LeaseReleased{ID: lease.id, Result: result})
}

// reportLeases tells each coordinator, now and then, what is in use of its shards.
func (d *Dispatcher) reportLeases() {
	if !d.usesLeases() || d.now < d.client.reportAt {
		return
	}
	d.client.reportAt = d.now + leaseReportInterval
	reports := map[int][]HeldLease{}
	var peers []int // in the order in which reports are sent
	for _, lease := range d.leasesWhere((*leaseInfo).isUsed) {
		if peer, ok := d.directory.coordinatorOf(lease.shard, d.now); ok {
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
		d.sendReport(peer, reports[peer])
	}
}

func (l *leaseInfo) isUsed() bool { return l.attempt != nil }

// leasesWhere are some of the leases, by their ids: the order of the map decides nothing.
func (d *Dispatcher) leasesWhere(isMeant func(lease *leaseInfo) bool) []*leaseInfo {
	var found []*leaseInfo
	for _, lease := range d.client.byID {
		if isMeant(lease) {
			found = append(found, lease)
		}
	}
	slices.SortFunc(found, func(a, b *leaseInfo) int { return cmp.Compare(a.id, b.id) })
	return found
}

func (d *Dispatcher) sendReport(peer int, held []HeldLease) {
	isComplete := len(held) <= MaxReported
	for part := range slices.Chunk(held, MaxReported) {
		d.tell(peer, LeaseReport{Complete: isComplete, Leases: part})
	}
}

// onPeerRestarted takes in that a peer is a new process: as a coordinator it knows of no lease, as a client
// it has none.
func (d *Dispatcher) onPeerRestarted(peer int) {
	d.freeLeasesOf(peer)
	d.client.reportAt = d.now
	isAsked := func(lease *leaseInfo) bool {
		return lease.job != nil && !lease.isGranted && lease.peer == peer
	}
	for _, lease := range d.leasesWhere(isAsked) {
		lease.isQueued = false
		d.setTimer(&lease.timer, d.now)
	}
}

// noPeer is the coordinator of a lease that none is known for.
const noPeer = -1

// tell sends a message to a peer, or handles it where this dispatcher is its own coordinator.
func (d *Dispatcher) tell(peer int, message PeerMessage) {
	switch peer {
	case noPeer:
	case d.settings.ReplicaIndex:
		d.ownMessages = append(d.ownMessages, message)
	default:
		d.emit(SendPeerMessage{To: peer, Message: message})
	}
}

// deliverOwnMessages handles what this dispatcher has told itself.
func (d *Dispatcher) deliverOwnMessages() {
	for len(d.ownMessages) > 0 {
		message := d.ownMessages[0]
		d.ownMessages = d.ownMessages[1:]
		d.handlePeerMessage(d.settings.ReplicaIndex, message)
	}
	d.ownMessages = nil
}

// exchangeLeases grants what waits, and uses what was granted.
func (d *Dispatcher) exchangeLeases() {
	for {
		d.deliverOwnMessages()
		d.grantWaiting()
		if len(d.ownMessages) == 0 && len(d.client.granted) == 0 {
			return
		}
		d.deliverOwnMessages()
		d.useGrants()
	}
}

// onPeerMessage takes in a message of a peer.
func (d *Dispatcher) onPeerMessage(event PeerMessageReceived) {
	isPeer := event.From >= 0 && event.From < d.settings.Replicas && event.From != d.settings.ReplicaIndex
	if !d.usesLeases() || !isPeer {
		return
	}
	d.directory.hasAnswered(event.From)
	d.handlePeerMessage(event.From, event.Message)
}

func (d *Dispatcher) handlePeerMessage(from int, message PeerMessage) {
	switch message := message.(type) {
	case LeaseRequest:
		d.onLeaseRequest(from, message)
	case LeaseStarted:
		d.onLeaseStarted(from, message)
	case LeaseReleased:
		d.onLeaseReleased(from, message)
	case LeaseReport:
		d.onLeaseReport(from, message)
	case LeaseGranted:
		d.onLeaseGranted(from, message)
	case LeaseQueued:
		d.onLeaseQueued(from, message)
	case PeerRestarted:
		d.onPeerRestarted(from)
	}
}
