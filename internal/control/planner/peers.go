package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// peerTable are the other planners.
type peerTable struct {
	peers            []*peer // by name
	hasAlivePeer     bool    // one is alive
	peerEpoch        message.Epoch
	nextLoadReportAt time.Duration // when they are told next how this planner stands
	averageOpen      float64       // heads open here, of late
	quotaShare       float64       // of the quotas; 0: not told
}

// peer is one.
type peer struct {
	name         string
	alive        bool
	connected    bool
	epoch        message.Epoch // of what is said to it
	remoteEpoch  message.Epoch // of what it says; 0: it has not greeted
	load         message.LoadReport
	loadAt       time.Duration // 0: none was told
	claimedSlots float64       // of the room that it told, what may be claimed by now
}

func comparePeer(p *peer, name string) int { return cmp.Compare(p.name, name) }

func (b *Planner) findPeer(name string) *peer {
	if i, ok := slices.BinarySearchFunc(b.peerTable.peers, name, comparePeer); ok {
		return b.peerTable.peers[i]
	}
	return nil
}

// addPeer is findPeer that enters one; nil: there are too many, or it is this one's own name.
func (b *Planner) addPeer(name string) *peer {
	i, ok := slices.BinarySearchFunc(b.peerTable.peers, name, comparePeer)
	if !ok {
		if len(b.peerTable.peers) >= maxPeers || name == "" || len(name) > maxNameLength || name == b.config.Name {
			return nil
		}
		b.peerTable.peers = slices.Insert(b.peerTable.peers, i, &peer{name: name})
	}
	return b.peerTable.peers[i]
}

// peersChanged takes in who is.
func (b *Planner) peersChanged(names []string) {
	for _, p := range b.peerTable.peers {
		p.alive = false
	}
	for _, name := range names {
		if p := b.addPeer(name); p != nil {
			p.alive = true
		}
	}
	b.removeStalePeers()
}

func (b *Planner) removeStalePeers() {
	b.peerTable.peers = slices.DeleteFunc(b.peerTable.peers, func(p *peer) bool { return !p.alive && !p.connected })
	b.hasAlivePeer = slices.ContainsFunc(b.peerTable.peers, func(p *peer) bool { return p.alive })
}

// peerConnected greets a peer, and tells it how this planner stands and which worker nodes are shut.
func (b *Planner) peerConnected(name string) {
	p := b.addPeer(name)
	if p == nil {
		return
	}
	b.peerEpoch++
	p.connected, p.remoteEpoch, p.epoch = true, 0, b.peerEpoch
	b.sendToPeer(p, &message.PeerHandshake{Name: b.config.Name, Incarnation: b.config.Incarnation, Version: b.config.Version})
	b.sendToPeer(p, b.loadReport())
	for _, h := range b.workerList {
		if h.hasStatus && h.status.State != message.WorkerUp {
			w := h.status
			b.sendToPeer(p, &w)
		}
	}
}

func (b *Planner) peerDisconnected(name string) {
	if p := b.findPeer(name); p != nil {
		p.connected, p.remoteEpoch, p.loadAt = false, 0, 0
		b.removeStalePeers()
	}
}

// sendToPeer has a message sent to a peer, if there is a connection.
func (b *Planner) sendToPeer(p *peer, m message.Message) {
	if p.connected {
		b.output = append(b.output, Action{Kind: SendToPeer, Peer: p.name, Envelope: message.Envelope{Epoch: p.epoch, Message: m}})
	}
}

// receiveFromPeer takes in a message of a peer.
func (b *Planner) receiveFromPeer(name string, envelope message.Envelope) {
	p := b.findPeer(name)
	if p == nil || !p.connected {
		b.statistics.StrayMessages++
		return
	}
	if m, ok := envelope.Message.(*message.PeerHandshake); ok && b.peerHandshake(p, envelope.Epoch, m) {
		return
	}
	if p.remoteEpoch == 0 || envelope.Epoch != p.remoteEpoch {
		b.statistics.StrayMessages++
		return
	}
	switch m := envelope.Message.(type) {
	case *message.WorkerStatus:
		b.statusReceived(*m, nil, p)
	case *message.LoadReport:
		if !isValidLoadReport(m) {
			b.statistics.InvalidMessages++
			return
		}
		p.load, p.loadAt, p.claimedSlots = *m, b.now, 0
	default:
		b.statistics.InvalidMessages++
	}
}

// peerHandshake opens a peer's session. It reports whether the handshake was valid or of another version; any other one is
// treated like a message that is not a handshake.
func (b *Planner) peerHandshake(p *peer, epoch message.Epoch, m *message.PeerHandshake) bool {
	switch {
	case m.Version>>8 != b.config.Version>>8:
		p.remoteEpoch = 0
		b.log("planner %q is not listened to: it speaks version %d.%d, this is %d.%d", p.name, m.Version>>8, m.Version&0xff,
			b.config.Version>>8, b.config.Version&0xff)
		return true
	case epoch > p.remoteEpoch && m.Name == p.name:
		p.remoteEpoch = epoch
		return true
	}
	return false
}

func isValidLoadReport(l *message.LoadReport) bool {
	return l.OpenRequests >= 0 && l.QueuedRequests >= 0 && l.UsedSlots >= 0 && l.UsedSlots < 1e9 && l.FreeSlots >= 0 && l.FreeSlots < 1e9 && l.TimerLag >= 0
}

// loadReport is how this planner does.
func (b *Planner) loadReport() *message.LoadReport {
	queued := 0
	for h := b.queued.first; h != nil; h = h.links[queuedList].next {
		queued++
	}
	return &message.LoadReport{
		OpenRequests:   b.openCount,
		QueuedRequests: queued,
		Forwarders:     len(b.connected),
		TimerLag:       b.timerLag,
		UsedSlots:      max(0, b.slotsInUse),
		FreeSlots:      b.freeSlots(),
	}
}

// freeSlots is how many slots are free, as far as is known: the module's word, or the worker nodes at which nothing is.
func (b *Planner) freeSlots() (slots float64) {
	if m, ok := b.policy.(capacityReporter); ok {
		return m.AvailableSlots()
	}
	for _, h := range b.workerList {
		if h.reported && h.reportedAs.Ready && h.references == 0 {
			slots++
		}
	}
	return slots
}

// sendLoadReports has peers know how this planner stands, and the module what its part of the quotas is: that of the heads.
func (b *Planner) sendLoadReports() {
	if b.now < b.nextLoadReportAt {
		return
	}
	b.nextLoadReportAt = b.now + b.config.LoadReportInterval
	b.averageOpen += (float64(b.openCount) - b.averageOpen) / 4
	if b.hasAlivePeer || b.quotaShare > 0 {
		b.updateQuotaShare()
	}
	if len(b.peerTable.peers) > 0 {
		m := b.loadReport()
		for _, p := range b.peerTable.peers {
			b.sendToPeer(p, m)
		}
	}
}

// updateQuotaShare finds out which part of the quotas is this planner's. A peer that says nothing of itself counts as alike.
func (b *Planner) updateQuotaShare() {
	mine := b.averageOpen + 1
	sum := mine
	for _, p := range b.peerTable.peers {
		switch {
		case !p.alive:
		case p.loadAt > 0 && b.now-p.loadAt <= loadReportValidity:
			sum += float64(p.load.OpenRequests) + 1
		default:
			sum += mine
		}
	}
	if part := mine / sum; math.Abs(part-b.quotaShare) > b.quotaShare/10 {
		b.quotaShare = part
		b.notifyPolicy(dispatch.ReplicasChanged{Replicas: 1, QuotaShare: part})
	}
}

// ---- Queries that others had better have ----

// peerWithMostRoom is the peer with the most room that is left, if that is room enough for so many slots; empty: there is none.
func (b *Planner) peerWithMostRoom(slots float64) string {
	best, most := "", slots+transferSlotMargin
	for _, p := range b.peerTable.peers {
		free := p.load.FreeSlots - float64(p.load.QueuedRequests) - p.claimedSlots
		if p.alive && p.loadAt > 0 && b.now-p.loadAt <= loadReportValidity && free > most {
			best, most = p.name, free
		}
	}
	return best
}

// transferQueued hands on heads that were held for a part of their aim, to where there is room. A head that was moved before
// stays: there is no to and fro. All planners may think of the same room, so each takes but its part.
func (b *Planner) transferQueued() {
	if !b.hasAlivePeer {
		return
	}
	planners := 1.0
	for _, p := range b.peerTable.peers {
		if p.alive {
			planners++
		}
	}
	h := b.queued.first
	for n := 0; n < transferScanLimit && h != nil; n++ {
		next := h.links[queuedList].next
		aim := b.config.Settings.Classes[h.job.Class].LatencyObjective
		if to := b.preferredPeer(h); to != "" { // worker nodes have come and gone since
			b.transfer(h, to, true)
		} else if h.transfers == 0 && b.now-h.queuedSince >= max(minTransferWait, aim/transferObjectiveDivisor) && !b.isBound(h) {
			if to = b.peerWithMostRoom(h.slots); to != "" {
				b.findPeer(to).claimedSlots += h.slots * planners
				b.transfer(h, to, true)
			}
		}
		h = next
	}
}

// isBound tells whether a head may have run where only worker nodes of this part know of it, or nobody may send it.
func (b *Planner) isBound(h *request) bool {
	c := &b.config.Settings.Classes[h.job.Class]
	for i := range h.attempts {
		free := c.Idempotency == dispatch.Idempotent || c.Idempotency == dispatch.IdempotentWithKey && c.DeduplicationScope == dispatch.ScopeAll
		if !free && !provesNotExecuted(h.attempts[i].result) {
			return true
		}
	}
	return false
}

// transfer hands a head on. told: the module has it.
func (b *Planner) transfer(h *request, to string, told bool) {
	b.statistics.Transferred++
	b.sendTo(h.forwarder, &message.TransferCommand{RequestID: h.forwarderID, Planner: to})
	if told {
		b.notifyPolicy(dispatch.ClientDisconnected{Job: h.id})
	}
	b.closeRequest(h)
}
