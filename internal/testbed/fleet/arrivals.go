package fleet

import (
	"net/netip"
	"time"
)

// arrivals sends requests at a fixed rate, independent of the outcomes of earlier ones (an open load). Each request is sent
// by an idle client, or by a new one if all clients are waiting for responses.
type arrivals struct {
	timer
	group      *clientGroup
	target     netip.AddrPort
	interval   time.Duration
	idle       []*client
	nextNumber int // number of the next new client
	numberStep int // between the numbers of two new clients; no other engine uses the same numbers
}

// startArrivals starts to send one engine's share of the requests. The engines take turns.
func (g *clientGroup) startArrivals(index, engines int, rate float64, target netip.AddrPort) {
	interval := time.Duration(float64(time.Second) * float64(engines) / rate)
	g.arrivals = &arrivals{group: g, target: target, interval: interval, nextNumber: index, numberStep: engines}
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

// takeClient returns the most recently used idle client, or a new one.
func (a *arrivals) takeClient() *client {
	if last := len(a.idle) - 1; last >= 0 {
		taken := a.idle[last]
		a.idle = a.idle[:last]
		return taken
	}
	added := &client{group: a.group, number: a.nextNumber, target: a.target}
	a.nextNumber += a.numberStep
	a.group.clients = append(a.group.clients, added)
	return added
}
