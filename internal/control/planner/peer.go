package planner

import (
	"cmp"
	"slices"
	"time"

	"valvecove/internal/control/message"
)

const maxPeers = 64

// peerState is the state of the connection to a peer. It changes by peer.transition only.
type peerState uint8

const (
	peerDisconnected peerState = iota
	peerConnected              // what it sends is ignored but for its handshake
	peerEstablished
)

func (s peerState) String() string {
	switch s {
	case peerDisconnected:
		return "disconnected"
	case peerConnected:
		return "connected"
	case peerEstablished:
		return "established"
	}
	return "unknown"
}

// peer is another planner.
type peer struct {
	name         string
	alive        bool // as a member; that is known otherwise than by the connection
	state        peerState
	epoch        message.Epoch // of the messages to it
	remoteEpoch  message.Epoch // of the messages from it, if established, else 0
	load         message.LoadReport
	loadAt       time.Duration // when it reported that; 0: it has not
	claimedSlots float64       // of the free slots that it reported, those that may be taken by now
}

// transition moves the connection to a state. The epoch is that of an established peer, else 0.
func (p *peer) transition(to peerState, remoteEpoch message.Epoch) {
	p.state = to
	p.remoteEpoch = remoteEpoch
	if to == peerDisconnected {
		p.loadAt = 0
	}
}

// hasRecentLoad reports whether the peer's load report is still valid.
func (p *peer) hasRecentLoad(now time.Duration) bool {
	return p.loadAt > 0 && now-p.loadAt <= loadReportValidity
}

// peerTable is the other planners.
type peerTable struct {
	list             []*peer // by name
	anyAlive         bool
	epoch            message.Epoch // of the newest connection
	nextLoadReportAt time.Duration
	averageOpen      float64 // moving average of this planner's open requests
	quotaShare       float64 // this planner's, as the policy was told; 0: it was not
}

func comparePeer(peer *peer, name string) int { return cmp.Compare(peer.name, name) }

// find returns the peer of a name, or nil.
func (t *peerTable) find(name string) *peer {
	if i, ok := slices.BinarySearchFunc(t.list, name, comparePeer); ok {
		return t.list[i]
	}
	return nil
}

// ensure returns the peer of a name, and enters it if it is not known; nil: there are too many.
func (t *peerTable) ensure(name string) *peer {
	i, ok := slices.BinarySearchFunc(t.list, name, comparePeer)
	if !ok {
		if len(t.list) >= maxPeers {
			return nil
		}
		t.list = slices.Insert(t.list, i, &peer{name: name})
	}
	return t.list[i]
}

// ifAlive returns the name if it is that of a peer that is alive, else an empty one.
func (t *peerTable) ifAlive(name string) string {
	if peer := t.find(name); peer != nil && peer.alive {
		return name
	}
	return ""
}

// removeStale forgets the peers that are neither alive nor connected.
func (t *peerTable) removeStale() {
	t.list = slices.DeleteFunc(t.list, func(peer *peer) bool { return !peer.alive && peer.state == peerDisconnected })
	t.anyAlive = slices.ContainsFunc(t.list, func(peer *peer) bool { return peer.alive })
}

// countAlive returns how many peers are alive.
func (t *peerTable) countAlive() (count int) {
	for _, peer := range t.list {
		if peer.alive {
			count++
		}
	}
	return count
}

// ensurePeer returns the peer of a name, and enters it if it is not known; nil: the name is not that of a peer, or there are
// too many.
func (p *Planner) ensurePeer(name string) *peer {
	if name == "" || len(name) > maxNameLength || name == p.config.Name {
		return nil
	}
	return p.peers.ensure(name)
}

// peersChanged takes in which planners are alive.
func (p *Planner) peersChanged(names []string) {
	for _, peer := range p.peers.list {
		peer.alive = false
	}
	for _, name := range names {
		if peer := p.ensurePeer(name); peer != nil {
			peer.alive = true
		}
	}
	p.peers.removeStale()
}

// peerConnected greets a peer, and tells it this planner's load and which workers are not available.
func (p *Planner) peerConnected(name string) {
	peer := p.ensurePeer(name)
	if peer == nil {
		return
	}
	p.peers.epoch++
	peer.epoch = p.peers.epoch
	peer.transition(peerConnected, 0)
	p.sendToPeer(peer, &message.PeerHandshake{
		Name: p.config.Name, Incarnation: p.config.Incarnation, Version: p.config.Version,
	})
	p.sendToPeer(peer, p.loadReport())
	for _, worker := range p.workers.list {
		if worker.isUnavailable() {
			status := worker.status
			p.sendToPeer(peer, &status)
		}
	}
}

func (p *Planner) peerDisconnected(name string) {
	if peer := p.peers.find(name); peer != nil {
		peer.transition(peerDisconnected, 0)
		p.peers.removeStale()
	}
}

// sendToPeer sends a message to a peer, if there is a connection.
func (p *Planner) sendToPeer(to *peer, m message.Message) {
	if to.state != peerDisconnected {
		p.emit(SendToPeer{Peer: to.name, Envelope: message.Envelope{Epoch: to.epoch, Message: m}})
	}
}

func (p *Planner) sendToPeers(m message.Message) {
	for _, peer := range p.peers.list {
		p.sendToPeer(peer, m)
	}
}

// receiveFromPeer takes in a message of a peer.
func (p *Planner) receiveFromPeer(name string, envelope message.Envelope) {
	if envelope.Message == nil {
		return
	}
	peer := p.peers.find(name)
	if peer == nil || peer.state == peerDisconnected {
		p.stats.StrayMessages++
		return
	}
	if handshake, ok := envelope.Message.(*message.PeerHandshake); ok && p.peerHandshake(peer, envelope.Epoch, handshake) {
		return
	}
	if peer.state != peerEstablished || envelope.Epoch != peer.remoteEpoch {
		p.stats.StrayMessages++
		return
	}
	switch m := envelope.Message.(type) {
	case *message.WorkerStatus:
		p.statusReceived(*m, statusSource{peer: peer})
	case *message.LoadReport:
		p.loadReported(peer, m)
	default:
		p.stats.InvalidMessages++
	}
}

// peerHandshake takes in a peer's handshake, and reports whether it opens the session, or ends it for its version. Any other
// one is treated like a message that is not a handshake.
func (p *Planner) peerHandshake(from *peer, epoch message.Epoch, m *message.PeerHandshake) bool {
	switch {
	case !p.config.compatible(m.Version):
		from.transition(peerConnected, 0)
		p.log("planner ignored: another major version of the protocol", "planner", from.name,
			"version", versionText(m.Version), "own_version", versionText(p.config.Version))
		return true
	case epoch > from.remoteEpoch && m.Name == from.name:
		from.transition(peerEstablished, epoch)
		return true
	}
	return false
}
