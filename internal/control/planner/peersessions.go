package planner

import "valvecove/internal/control/message"

// loadExchanger reports this planner's load and records that of peers.
type loadExchanger interface {
	report() *message.LoadReport
	receive(from *peer, report *message.LoadReport)
}

// statusReceiver processes worker statuses reported by peers.
type statusReceiver interface {
	receive(status message.WorkerStatus, source statusSource)
}

// peerSessions handles the connections to the other planners and the messages received on them.
type peerSessions struct {
	config   *Config
	stats    *Stats
	step     *step
	loads    loadExchanger
	peers    *peerTable
	statuses statusReceiver
	workers  *workerTable
}

// findOrAdd returns the peer with a name, and adds it if it is unknown. It returns nil for an invalid name, the name of this
// planner, and if there are too many peers.
func (p *peerSessions) findOrAdd(name string) *peer {
	if name == "" || len(name) > maxNameLength || name == p.config.Name {
		return nil
	}
	return p.peers.findOrAdd(name)
}

// processMembers records which planners are alive.
func (p *peerSessions) processMembers(names []string) {
	for _, peer := range p.peers.list {
		peer.alive = false
	}
	for _, name := range names {
		if peer := p.findOrAdd(name); peer != nil {
			peer.alive = true
		}
	}
	p.peers.removeStale()
}

// connect opens the session with a peer: it sends the handshake, this planner's load and the unavailable workers.
func (p *peerSessions) connect(name string) {
	peer := p.findOrAdd(name)
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

// disconnect records that the connection to a peer has ended.
func (p *peerSessions) disconnect(name string) {
	if peer := p.peers.find(name); peer != nil {
		peer.transition(peerDisconnected, 0)
		p.peers.removeStale()
	}
}

// receive processes a message from a peer.
func (p *peerSessions) receive(name string, envelope message.Envelope) {
	if envelope.Message == nil {
		return
	}
	peer := p.peers.find(name)
	if peer == nil || peer.state == peerDisconnected {
		p.stats.StrayMessages++
		return
	}
	if handshake, ok := envelope.Message.(*message.PeerHandshake); ok {
		isProcessed := p.receiveHandshake(peer, envelope.Epoch, handshake)
		if isProcessed {
			return
		}
	}
	if peer.state != peerEstablished || envelope.Epoch != peer.remoteEpoch {
		p.stats.StrayMessages++
		return
	}
	switch received := envelope.Message.(type) {
	case *message.WorkerStatus:
		p.statuses.receive(*received, statusSource{peer: peer})
	case *message.LoadReport:
		p.loads.receive(peer, received)
	default:
		p.stats.InvalidMessages++
	}
}

// receiveHandshake processes a peer's handshake. It returns true if the handshake establishes the session, or ends it because
// the protocol version is incompatible. The caller handles any other handshake as an unexpected message.
func (p *peerSessions) receiveHandshake(from *peer, epoch message.Epoch, handshake *message.PeerHandshake) bool {
	switch {
	case !p.config.compatible(handshake.Version):
		from.transition(peerConnected, 0)
		p.step.log("planner ignored: another major version of the protocol", "planner", from.name,
			"version", versionText(handshake.Version), "own_version", versionText(p.config.Version))
		return true
	case epoch > from.remoteEpoch && handshake.Name == from.name:
		from.transition(peerEstablished, epoch)
		return true
	}
	return false
}
