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

func (p peerState) String() string {
	switch p {
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
func (p *peerTable) find(name string) *peer {
	if i, ok := slices.BinarySearchFunc(p.list, name, comparePeer); ok {
		return p.list[i]
	}
	return nil
}

// ensure returns the peer of a name, and enters it if it is not known; nil: there are too many.
func (p *peerTable) ensure(name string) *peer {
	i, ok := slices.BinarySearchFunc(p.list, name, comparePeer)
	if !ok {
		if len(p.list) >= maxPeers {
			return nil
		}
		p.list = slices.Insert(p.list, i, &peer{name: name})
	}
	return p.list[i]
}

// ifAlive returns the name if it is that of a peer that is alive, else an empty one.
func (p *peerTable) ifAlive(name string) string {
	if peer := p.find(name); peer != nil && peer.alive {
		return name
	}
	return ""
}

// removeStale forgets the peers that are neither alive nor connected.
func (p *peerTable) removeStale() {
	p.list = slices.DeleteFunc(p.list, func(peer *peer) bool { return !peer.alive && peer.state == peerDisconnected })
	p.anyAlive = slices.ContainsFunc(p.list, func(peer *peer) bool { return peer.alive })
}

// withMostFreeSlots returns the peer with the most free slots, if these are enough for a request that takes so many;
// empty: there is none.
func (p *peerTable) withMostFreeSlots(now time.Duration, slots float64) string {
	best, bestFree := "", slots+transferSlotMargin
	for _, peer := range p.list {
		if !peer.alive || !peer.hasRecentLoad(now) {
			continue
		}
		free := peer.load.FreeSlots - float64(peer.load.QueuedRequests) - peer.claimedSlots
		if free > bestFree {
			best, bestFree = peer.name, free
		}
	}
	return best
}

// countAlive returns how many peers are alive.
func (p *peerTable) countAlive() (count int) {
	for _, peer := range p.list {
		if peer.alive {
			count++
		}
	}
	return count
}

// peerSessions handles the connections to the other planners.
type peerSessions struct {
	config   *Config
	stats    *Stats
	step     *step
	loads    *loadReporter
	peers    *peerTable
	statuses *statusHandler
	workers  *workerTable
}

// ensure returns the peer of a name, and enters it if it is not known; nil: the name is not that of a peer, or there are
// too many.
func (p *peerSessions) ensure(name string) *peer {
	if name == "" || len(name) > maxNameLength || name == p.config.Name {
		return nil
	}
	return p.peers.ensure(name)
}

// processMembers takes in which planners are alive.
func (p *peerSessions) processMembers(names []string) {
	for _, peer := range p.peers.list {
		peer.alive = false
	}
	for _, name := range names {
		if peer := p.ensure(name); peer != nil {
			peer.alive = true
		}
	}
	p.peers.removeStale()
}

// connect greets a peer, and tells it this planner's load and which workers are not available.
func (p *peerSessions) connect(name string) {
	peer := p.ensure(name)
	if peer == nil {
		return
	}
	p.peers.epoch++
	peer.epoch = p.peers.epoch
	peer.transition(peerConnected, 0)
	p.step.sendToPeer(peer, &message.PeerHandshake{
		Name: p.config.Name, Incarnation: p.config.Incarnation, Version: p.config.Version,
	})
	p.step.sendToPeer(peer, p.loads.report())
	for _, worker := range p.workers.list {
		if worker.isUnavailable() {
			status := worker.status
			p.step.sendToPeer(peer, &status)
		}
	}
}

func (p *peerSessions) disconnect(name string) {
	if peer := p.peers.find(name); peer != nil {
		peer.transition(peerDisconnected, 0)
		p.peers.removeStale()
	}
}

// receive takes in a message of a peer.
func (p *peerSessions) receive(name string, envelope message.Envelope) {
	if envelope.Message == nil {
		return
	}
	peer := p.peers.find(name)
	if peer == nil || peer.state == peerDisconnected {
		p.stats.StrayMessages++
		return
	}
	if handshake, ok := envelope.Message.(*message.PeerHandshake); ok && p.receiveHandshake(peer, envelope.Epoch, handshake) {
		return
	}
	if peer.state != peerEstablished || envelope.Epoch != peer.remoteEpoch {
		p.stats.StrayMessages++
		return
	}
	switch m := envelope.Message.(type) {
	case *message.WorkerStatus:
		p.statuses.receive(*m, statusSource{peer: peer})
	case *message.LoadReport:
		p.loads.receive(peer, m)
	default:
		p.stats.InvalidMessages++
	}
}

// receiveHandshake takes in a peer's handshake, and reports whether it opens the session, or ends it for its version. Any other
// one is treated like a message that is not a handshake.
func (p *peerSessions) receiveHandshake(from *peer, epoch message.Epoch, m *message.PeerHandshake) bool {
	switch {
	case !p.config.compatible(m.Version):
		from.transition(peerConnected, 0)
		p.step.log("planner ignored: another major version of the protocol", "planner", from.name,
			"version", versionText(m.Version), "own_version", versionText(p.config.Version))
		return true
	case epoch > from.remoteEpoch && m.Name == from.name:
		from.transition(peerEstablished, epoch)
		return true
	}
	return false
}
