package planner

import (
	"slices"
	"time"

	"valvecove/internal/control/message"
)

const maxPeers = 64

// peerTable has the other planners.
type peerTable struct {
	list     []*peer // by name
	anyAlive bool
	epoch    message.Epoch // of the newest connection
}

// find returns the peer of a name, or nil.
func (p *peerTable) find(name string) *peer {
	if i, ok := slices.BinarySearchFunc(p.list, name, comparePeer); ok {
		return p.list[i]
	}
	return nil
}

// ensure returns the peer of a name, and adds it if it is not known; nil: there are maxPeers already.
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

// removeStale removes the peers that are neither alive nor connected.
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
