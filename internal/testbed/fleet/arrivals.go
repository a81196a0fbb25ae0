package fleet

import (
	"net/netip"
	"time"
)

// arrivals send requests at a rate, whatever has become of earlier ones. Each goes out by a client that waits for nothing, or
// by a new one.
type arrivals struct {
	timer
	group    *clientGroup
	target   netip.AddrPort
	interval time.Duration
	idle     []*client
	nextID   int // of a new client
	step     int // between the numbers of two new clients, so that no other engine has them
}

// startArrivals begins to send requests of one engine of several.
func (g *clientGroup) startArrivals(index, engines int, rate float64, target netip.AddrPort) {
	interval := time.Duration(float64(time.Second) * float64(engines) / rate)
	g.arrivals = &arrivals{group: g, target: target, interval: interval, nextID: index, step: engines}
	first := g.startedAt + interval*time.Duration(index+1)/time.Duration(engines)
	g.engine.setTimer(&g.arrivals.timer, first, g.arrivals)
}

// timerExpired sends the next request.
func (a *arrivals) timerExpired() {
	if !a.group.sending {
		return
	}
	a.takeClient().nextRequest()
	a.group.engine.setTimer(&a.timer, a.At+a.interval, a)
}

// takeClient returns a client that waits for nothing, the one that was last used.
func (a *arrivals) takeClient() *client {
	if last := len(a.idle) - 1; last >= 0 {
		taken := a.idle[last]
		a.idle = a.idle[:last]
		return taken
	}
	added := &client{group: a.group, number: a.nextID, target: a.target}
	a.nextID += a.step
	a.group.clients = append(a.group.clients, added)
	return added
}
