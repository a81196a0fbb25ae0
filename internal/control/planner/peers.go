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
	b.sendToPeer(p, message.Message{Kind: message.KindPeerHandshake, Name: b.config.Name, Incarnation: b.config.Incarnation, Version: b.config.Version})
	b.sendToPeer(p, b.loadReport())
	for _, h := range b.workerList {
		if h.hasStatus && h.status.State != message.WorkerUp {
			w := h.status
			b.sendToPeer(p, message.Message{Kind: message.KindWorkerStatus, Status: &w})
		}
	}
}

func (b *Planner) peerDisconnected(name string) {
	if p := b.findPeer(name); p != nil {
		p.connected, p.remoteEpoch, p.loadAt = false, 0, 0
		b.removeStalePeers()
	}
}

func (b *Planner) sendToPeer(p *peer, m message.Message) {
	if p.connected {
		m.Epoch = p.epoch
		b.output = append(b.output, Action{Kind: SendToPeer, Peer: p.name, Message: m})
	}
}

// receiveFromPeer takes what a peer says.
func (b *Planner) receiveFromPeer(name string, m *message.Message) {
	p := b.findPeer(name)
	switch {
	case p == nil || !p.connected:
		b.statistics.StrayMessages++
	case m.Kind == message.KindPeerHandshake && m.Version>>8 != b.config.Version>>8:
		p.remoteEpoch = 0
		b.log("planner %q is not listened to: it speaks version %d.%d, this is %d.%d", name, m.Version>>8, m.Version&0xff,
			b.config.Version>>8, b.config.Version&0xff)
	case m.Kind == message.KindPeerHandshake && m.Epoch > p.remoteEpoch && m.Name == name:
		p.remoteEpoch = m.Epoch
	case p.remoteEpoch == 0 || m.Epoch != p.remoteEpoch:
		b.statistics.StrayMessages++
	case m.Kind == message.KindWorkerStatus && m.Status != nil:
		b.statusReceived(*m.Status, nil, p)
	case m.Kind == message.KindLoadReport && m.LoadReport != nil && isValidLoadReport(m.LoadReport):
		p.load, p.loadAt, p.claimedSlots = *m.LoadReport, b.now, 0
	default:
		b.statistics.InvalidMessages++
	}
}

func isValidLoadReport(l *message.LoadReport) bool {
	return l.OpenRequests >= 0 && l.QueuedRequests >= 0 && l.UsedSlots >= 0 && l.UsedSlots < 1e9 && l.FreeSlots >= 0 && l.FreeSlots < 1e9 && l.TimerLag >= 0
}

// loadReport is how this planner does.
func (b *Planner) loadReport() message.Message {
	held := 0
	for h := b.queued.first; h != nil; h = h.links[queuedList].next {
		held++
	}
	return message.Message{Kind: message.KindLoadReport, LoadReport: &message.LoadReport{OpenRequests: b.openCount, QueuedRequests: held, Forwarders: len(b.connected),
		TimerLag: b.timerLag, UsedSlots: max(0, b.slotsInUse), FreeSlots: b.freeSlots()}}
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
	b.sendTo(h.forwarder, message.Message{Kind: message.KindTransferCommand, RequestID: h.forwarderID, Name: to})
	if told {
		b.notifyPolicy(dispatch.ClientDisconnected{Job: h.id})
	}
	b.closeRequest(h)
}
