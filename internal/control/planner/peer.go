package planner

import (
	"cmp"
	"time"

	"valvecove/internal/control/message"
)

// peerState is the state of the connection to a peer. It changes by peer.transition only.
type peerState uint8

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

const (
	peerDisconnected peerState = iota
	peerConnected              // the peer's handshake is pending; its other messages are ignored
	peerEstablished
)

// peer is another planner.
type peer struct {
	name          string
	alive         bool // according to PeersChanged, independent of the connection
	state         peerState
	epoch         message.Epoch // of messages sent to the peer
	remoteEpoch   message.Epoch // of messages received from the peer; 0 unless established
	load          message.LoadReport
	loadAt        time.Duration // when load was received; 0 without a load report
	reservedSlots float64       // free slots that transfers since the load report may have used
}

// transition moves the connection to a state. remoteEpoch is 0 unless the new state is peerEstablished.
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

func comparePeer(peer *peer, name string) int { return cmp.Compare(peer.name, name) }
