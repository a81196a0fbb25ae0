package client

import (
	"container/list"
	"time"

	"golang.org/x/sys/unix"
)

// evictionGrace is how long a connection after its last response is not evicted.
const evictionGrace = 250 * time.Millisecond

// evict shuts down an idle connection to make room for another one, and reports whether it found one. Input that has arrived is
// handled first; requests that arrive later are not, and the client retries them on another connection. A connection that has sent
// nothing goes at once, however new it is: the requests of those that wait to be accepted have most likely arrived. One that received
// its last response is not evicted within evictionGrace: its client may still read. A partial request is rejected.
func (l *Listener) evict() bool {
	for _, candidates := range []*list.List{&l.useless, &l.finished, &l.silent, &l.idle} {
		hasGrace := candidates == &l.finished
		for first := candidates.Front(); first != nil; first = candidates.Front() {
			c := first.Value.(*connection)
			if hasGrace && l.loop.Now()-c.lastActivity < evictionGrace {
				break
			}
			c.shutDownIdle(&l.evicted)
			if c.hasPartialRequest() {
				c.rejectPartialRequest()
			}
			if !c.IsOpen() || c.currentList == &l.evicted {
				l.closeExcessEvicted()
				return true
			}
		}
	}
	return false
}

// closeExcessEvicted closes evicted connections above their limit, in the order of their eviction.
func (l *Listener) closeExcessEvicted() {
	for l.evicted.Len() > l.maxEvicted {
		l.evicted.Front().Value.(*connection).terminate()
	}
}

// Close ends connections without a request in flight, and from then on each connection after its last response; further requests
// are rejected. Connections of workers stay open, and new ones are accepted: a callback may complete a request that a client
// waits for.
func (l *Listener) Close() {
	l.closing = true
	var idle []*connection // collected first, as the end of one may change the lists
	for _, candidates := range []*list.List{&l.useless, &l.silent, &l.idle} {
		for element := candidates.Front(); element != nil; element = element.Next() {
			idle = append(idle, element.Value.(*connection))
		}
	}
	for _, c := range idle {
		if c.listElement != nil && !c.sendsCallbacks {
			c.shutDownIdle(&l.finished)
		}
	}
}

// closesAfterResponse reports whether the connection ends after the responses to the requests that were read.
func (c *connection) closesAfterResponse() bool { return c.listener.closing && !c.sendsCallbacks }

// enterIdleList puts a connection without a request in flight on the list for its history.
func (c *connection) enterIdleList() {
	switch c.history {
	case historyUsefulRequest:
		c.enterList(&c.listener.idle)
	case historyRequest:
		c.enterList(&c.listener.useless)
	case historyNoRequest:
		c.enterList(&c.listener.silent)
	}
}

// enterList moves the connection from the list that it is on, if any, to the end of another one.
func (c *connection) enterList(target *list.List) {
	if !c.IsOpen() || c.currentList == target {
		return
	}
	c.leaveList()
	c.currentList = target
	c.listElement = target.PushBack(c)
}

// leaveList removes the connection from its list, if it is on one.
func (c *connection) leaveList() {
	if c.listElement == nil {
		return
	}
	c.currentList.Remove(c.listElement)
	c.currentList = nil
	c.listElement = nil
}

// shutDownIdle handles the input that has arrived, and shuts the connection down unless a request has begun.
func (c *connection) shutDownIdle(target *list.List) {
	element := c.listElement
	c.loop().Protect(c, c.readAvailable)
	if c.IsOpen() && element != nil && c.listElement == element && !c.hasPartialRequest() {
		c.linger(target)
	}
}

// hasPartialRequest reports whether part of a request was read, and no request is in flight.
func (c *connection) hasPartialRequest() bool {
	return c.IsOpen() && c.isReading() && c.proxyHeaderDone && len(c.slots) == 0 && len(c.Input()) > 0
}

// rejectPartialRequest rejects a partially read request, and evicts the connection if the response is sent at once.
func (c *connection) rejectPartialRequest() {
	c.rejectInput(503, "no room for the connection\n")
	if c.IsOpen() && len(c.slots) == 0 && len(c.Output()) == 0 {
		c.linger(&c.listener.evicted)
	}
}

// readAvailable handles all input that has arrived, which may take several reads.
func (c *connection) readAvailable() {
	for before := -1; c.IsOpen() && c.listElement != nil && len(c.Input()) > before; {
		before = len(c.Input())
		c.HandleEvents(unix.EPOLLIN)
	}
}
