package client

import "time"

const (
	expiryInterval        = 250 * time.Millisecond
	requestReadTimeout    = 2 * time.Second // from a request's first byte to its last; for the first request, since connecting
	responseUnreadTimeout = 5 * time.Second // for a peer to read any part of a response
	lingerIdleTimeout     = time.Second     // without input after the last response
	maxLingerTime         = 5 * time.Second // after the last response, whatever the peer sends
)

// closeExpired ends expired connections, which hold a descriptor and possibly buffers, and runs again every expiryInterval.
func (l *Listener) closeExpired() {
	l.loop.StartTimer(expiryInterval, l, l.closeExpired)
	for c := range l.connections {
		c.closeIfExpired()
	}
}

// closeIfExpired ends the connection if its peer has exceeded a timeout. None applies to a connection that awaits a response, or
// that is idle after a complete request.
func (c *connection) closeIfExpired() {
	now := c.loop().Now()
	inactive := now - c.lastActivity
	switch {
	case c.phase == phaseLingering:
		if inactive >= lingerIdleTimeout || now-c.lingerStart >= maxLingerTime {
			c.terminate()
		}
	case len(c.Output()) > 0:
		if inactive >= responseUnreadTimeout {
			c.terminate()
		}
	case len(c.slots) == 0 && inactive >= requestReadTimeout:
		c.closeUnlessIdle()
	}
}

// closeUnlessIdle ends a connection without a request in flight, unless it is idle between requests.
func (c *connection) closeUnlessIdle() {
	switch {
	case len(c.Input()) > 0 && !c.proxyHeaderDone: // nothing is written: the input may be part of a PROXY header
		c.linger(&c.listener.finished)
	case len(c.Input()) > 0 && c.phase == phaseReading:
		c.rejectInput(408, "request not whole\n")
	case len(c.Input()) == 0 && c.history == historyUsefulRequest:
	case c.history == historyNoRequest:
		c.shutDownIdle(&c.listener.finished)
	}
}
