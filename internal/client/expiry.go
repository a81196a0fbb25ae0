package client

import (
	"container/list"
	"time"

	"golang.org/x/sys/unix"
)

const (
	expiryInterval        = 250 * time.Millisecond
	requestReadTimeout    = 2 * time.Second        // from a request's first byte to its last; for the first one, from connecting
	responseUnreadTimeout = 5 * time.Second        // for a peer to take some of a response
	lingerIdleTimeout     = time.Second            // after the last response: for the peer to close, or to send on
	maxLingerTime         = 5 * time.Second        // however much the peer sends
	evictionGrace         = 250 * time.Millisecond // before a new connection, or one that had its last response, is evicted
)

// closeExpired ends connections on which nothing goes on that should, again and again: each takes up a descriptor, and some
// a buffer.
func (l *Listener) closeExpired() {
	l.loop.StartTimer(expiryInterval, l, l.closeExpired)
	for c := range l.connections {
		c.closeIfExpired()
	}
}

// closeIfExpired ends the connection if it has been waited for long enough. One that awaits a response, or had one of use and
// is idle, may wait for ever.
func (c *connection) closeIfExpired() {
	now := c.loop().Now()
	quiet := now - c.lastActivity
	switch {
	case c.phase == phaseLingering:
		if quiet >= lingerIdleTimeout || now-c.lingerStart >= maxLingerTime {
			c.terminate()
		}
	case len(c.Output()) > 0:
		if quiet >= responseUnreadTimeout {
			c.terminate()
		}
	case len(c.slots) == 0 && quiet >= requestReadTimeout:
		c.closeUnlessIdle()
	}
}

// closeUnlessIdle ends a connection that has no response to wait for, unless it is idle after a request of use.
func (c *connection) closeUnlessIdle() {
	switch {
	case len(c.Input()) > 0 && !c.proxyHeaderDone: // it may be the start of a PROXY header, so nothing is written
		c.linger(&c.listener.finished)
	case len(c.Input()) > 0 && c.phase == phaseReading:
		c.rejectInput(408, "request not whole\n")
	case len(c.Input()) == 0 && c.history == historyUsefulRequest:
	case c.history == historyNoRequest:
		c.dismiss(&c.listener.finished)
	}
}

// evict shuts down the connection that is missed least to make room, and reports whether there was one. What had just come in
// on it is handled first; what comes later its client sends again elsewhere. A connection that is new, or just had its last
// response, is spared: it may be a usual client's or a worker's, whose request is on its way. A request of which a part has
// come is rejected.
func (l *Listener) evict() bool {
	for _, waiting := range []*list.List{&l.rejectedOnly, &l.finished, &l.silent, &l.idle} {
		hasGrace := waiting == &l.finished || waiting == &l.silent
		for first := waiting.Front(); first != nil; first = waiting.Front() {
			c := first.Value.(*connection)
			if hasGrace && l.loop.Now()-c.lastActivity < evictionGrace {
				break
			}
			c.dismiss(&l.evicted)
			if c.isAmidRequest() {
				c.rejectForRoom()
			}
			if !c.IsOpen() || c.waitingList == &l.evicted {
				l.closeExcessEvicted()
				return true
			}
		}
	}
	return false
}

// closeExcessEvicted closes evicted connections where there are too many, the first ones first.
func (l *Listener) closeExcessEvicted() {
	for l.evicted.Len() > l.maxEvicted {
		l.evicted.Front().Value.(*connection).terminate()
	}
}

// Close closes connections between requests from now on; requests that come all the same are rejected. Connections that
// workers have stay open, as do those that they open: each callback is a response that some client waits for.
func (l *Listener) Close() {
	l.closing = true
	var waiting []*connection // shutting one down may move others from list to list
	for _, list := range []*list.List{&l.rejectedOnly, &l.silent, &l.idle} {
		for element := list.Front(); element != nil; element = element.Next() {
			waiting = append(waiting, element.Value.(*connection))
		}
	}
	for _, c := range waiting {
		if c.waitingElement != nil && !c.sendsCallbacks {
			c.dismiss(&l.finished)
		}
	}
}

// becomeIdle puts the connection on the list that it belongs to between requests.
func (c *connection) becomeIdle() {
	switch c.history {
	case historyUsefulRequest:
		c.enterWaitingList(&c.listener.idle)
	case historyRequest:
		c.enterWaitingList(&c.listener.rejectedOnly)
	case historyNoRequest:
		c.enterWaitingList(&c.listener.silent)
	}
}

// enterWaitingList puts the connection last on a list; it is on one at most.
func (c *connection) enterWaitingList(waiting *list.List) {
	if !c.IsOpen() || c.waitingList == waiting {
		return
	}
	c.leaveWaitingList()
	c.waitingList = waiting
	c.waitingElement = waiting.PushBack(c)
}

// leaveWaitingList takes the connection off its list, if it is on one.
func (c *connection) leaveWaitingList() {
	if c.waitingElement != nil {
		c.waitingList.Remove(c.waitingElement)
		c.waitingList, c.waitingElement = nil, nil
	}
}

// dismiss shuts down a connection without a request in flight, unless one, or a part of one, has come in.
func (c *connection) dismiss(waiting *list.List) {
	element := c.waitingElement
	c.loop().Protect(c, c.readAll)
	if c.IsOpen() && element != nil && c.waitingElement == element && !c.isAmidRequest() {
		c.linger(waiting)
	}
}

// isAmidRequest reports whether the connection is between requests but for a part of one.
func (c *connection) isAmidRequest() bool {
	return c.IsOpen() && c.isReading() && c.proxyHeaderDone && len(c.slots) == 0 && len(c.Input()) > 0
}

// rejectForRoom rejects a request of which a part has come, and evicts the connection if it takes the response at once.
func (c *connection) rejectForRoom() {
	c.rejectInput(503, "no room for the connection\n")
	if c.IsOpen() && len(c.slots) == 0 && len(c.Output()) == 0 {
		c.linger(&c.listener.evicted)
	}
}

// readAll handles all that has come. One read takes less than the largest request.
func (c *connection) readAll() {
	for before := -1; c.IsOpen() && c.waitingElement != nil && len(c.Input()) > before; {
		before = len(c.Input())
		c.HandleEvents(unix.EPOLLIN)
	}
}

// closesAfterResponse reports whether the connection is to end with the responses that are due on it now.
func (c *connection) closesAfterResponse() bool { return c.listener.closing && !c.sendsCallbacks }
