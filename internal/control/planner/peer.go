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
	peerConnected              // of its messages only the handshake is processed
	peerEstablished
)

// peer is another planner.
type peer struct {
	name         string
	alive        bool // by the membership, not by the connection
	state        peerState
	epoch        message.Epoch // of the messages to it
	remoteEpoch  message.Epoch // of the messages from it, if established, else 0
	load         message.LoadReport
	loadAt       time.Duration // when load was received; 0: there is none
	claimedSlots float64       // of the reported free slots, those that transfers since then may have occupied
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
