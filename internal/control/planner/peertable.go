package planner

import (
	"slices"
	"time"

	"valvecove/internal/control/message"
)

const maxPeers = 64

// peerTable holds the other planners.
type peerTable struct {
	list     []*peer // sorted by name
	anyAlive bool
	epoch    message.Epoch // sent with the newest connection
}

// find returns the peer with a name, or nil.
func (p *peerTable) find(name string) *peer {
	if i, ok := slices.BinarySearchFunc(p.list, name, comparePeer); ok {
		return p.list[i]
	}
	return nil
}

// findOrAdd returns the peer with a name, and adds it if it is unknown. It returns nil if there are maxPeers already.
func (p *peerTable) findOrAdd(name string) *peer {
	i, ok := slices.BinarySearchFunc(p.list, name, comparePeer)
	if !ok {
		if len(p.list) >= maxPeers {
			return nil
		}
		p.list = slices.Insert(p.list, i, &peer{name: name})
	}
	return p.list[i]
}

// ifAlive returns the name if a peer with that name is alive, otherwise an empty string.
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

// withMostFreeSlots returns the name of the peer with the most free slots, if its free slots exceed the given number by more
// than transferSlotMargin, otherwise an empty string.
func (p *peerTable) withMostFreeSlots(now time.Duration, slots float64) string {
	best, bestFree := "", slots+transferSlotMargin
	for _, peer := range p.list {
		if !peer.alive || !peer.hasRecentLoad(now) {
			continue
		}
		free := peer.load.FreeSlots - float64(peer.load.QueuedRequests) - peer.reservedSlots
		if free > bestFree {
			best, bestFree = peer.name, free
		}
	}
	return best
}

// countAlive returns the number of peers that are alive.
func (p *peerTable) countAlive() (count int) {
	for _, peer := range p.list {
		if peer.alive {
			count++
		}
	}
	return count
}
