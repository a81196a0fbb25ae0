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
	peerConnected              // what it sends is ignored but for its handshake
	peerEstablished
)

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

func comparePeer(peer *peer, name string) int { return cmp.Compare(peer.name, name) }
