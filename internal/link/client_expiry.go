package link

import (
	"container/list"
	"time"

	"golang.org/x/sys/unix"
)

const (
	requestReadTimeout    = 2 * time.Second // a request must be whole: counted from its first byte, the first one's from connecting
	responseUnreadTimeout = 5 * time.Second // a peer must take in some of an answer
	lingerIdleTimeout     = time.Second     // after the last answer of a link: for the peer to close, or to send on
	maxLingerTime         = 5 * time.Second
	expiryInterval        = 250 * time.Millisecond
	evictionGrace         = 250 * time.Millisecond // a link is not closed to make room sooner than this after its start
)

// closeExpired ends links on which nothing goes on that should: each holds a descriptor, and some hold a buffer. One that
// awaits an answer of ours, or has had one and is idle, is let be.
func (c *clientListener) closeExpired() {
	c.loop.StartTimer(expiryInterval, c, c.closeExpired)
	for k := range c.connections {
		age := c.loop.Now() - k.lastActivity
		switch {
		case k.lingering:
			if age >= lingerIdleTimeout || c.loop.Now()-k.lingerStart >= maxLingerTime {
				k.terminate()
			}
		case len(k.Output()) > 0:
			if age >= responseUnreadTimeout {
				k.terminate()
			}
		case len(k.slots) > 0 || k.usefulRequestSeen && len(k.Input()) == 0 || age < requestReadTimeout:
		case len(k.Input()) > 0 && k.proxyHeaderDone && !k.lastRequestRead:
			k.rejectInput(408, "request not whole\n")
		case !k.proxyHeaderDone && len(k.Input()) > 0: // it may be the start of a PROXY header, so nothing is written
			k.linger(&c.finished)
		case !k.requestSeen: // has connected and says nothing
			k.dismiss(&c.finished)
		}
	}
}

// evict has the link that is missed least make room, and tells whether there was one. What had just come in on it is
// taken first; what comes from then on its client asks again elsewhere. A link that has just connected, or just had its
// last answer, is let be: it may be a usual client's or a worker node's, whose request is on its way.
func (c *clientListener) evict() bool {
	for _, from := range []*list.List{&c.rejectedOnly, &c.finished, &c.silent, &c.idle} {
		for e := from.Front(); e != nil; e = from.Front() {
			k := e.Value.(*clientConnection)
			if from != &c.idle && from != &c.rejectedOnly && c.loop.Now()-k.lastActivity < evictionGrace {
				break
			}
			if k.dismiss(&c.evicted) {
				c.closeExcessEvicted()
				return true
			}
		}
	}
	return false
}

// closeExcessEvicted closes links that have made room where there are too many of those, the first ones first.
func (c *clientListener) closeExcessEvicted() {
	for c.evicted.Len() > c.maxEvicted {
		c.evicted.Front().Value.(*clientConnection).terminate()
	}
}

// close closes links between queries from now on; queries that come all the same are refused. Links that worker nodes have
// stay open, as do those that they open: each note is an answer that some client waits for.
func (c *clientListener) close() {
	c.closing = true
	var resting []*clientConnection // one that is shut may bring about that others move
	for _, among := range []*list.List{&c.rejectedOnly, &c.silent, &c.idle} {
		for e := among.Front(); e != nil; e = e.Next() {
			resting = append(resting, e.Value.(*clientConnection))
		}
	}
	for _, k := range resting {
		if k.waitingElement != nil && !k.sendsCallbacks {
			k.dismiss(&c.finished)
		}
	}
}

// enterWaitingList puts the link among those without a request in hand.
func (k *clientConnection) enterWaitingList(among *list.List) {
	if !k.IsOpen() || k.waitingList == among {
		return
	}
	k.leaveWaitingList()
	k.waitingList, k.waitingElement = among, among.PushBack(k)
}

// becomeIdle marks the link as being between requests.
func (k *clientConnection) becomeIdle() {
	switch {
	case k.usefulRequestSeen:
		k.enterWaitingList(&k.listener.idle)
	case k.requestSeen:
		k.enterWaitingList(&k.listener.rejectedOnly)
	default:
		k.enterWaitingList(&k.listener.silent)
	}
}

// leaveWaitingList takes the link from among those without a request in hand.
func (k *clientConnection) leaveWaitingList() {
	if k.waitingElement != nil {
		k.waitingList.Remove(k.waitingElement)
		k.waitingList, k.waitingElement = nil, nil
	}
}

// dismiss shuts a link without a request in hand, unless one has just come in. It tells whether the link makes room.
func (k *clientConnection) dismiss(among *list.List) bool {
	place := k.waitingElement
	if k.listener.loop.Protect(k, func() { k.HandleEvents(unix.EPOLLIN) }); k.IsOpen() && place != nil && k.waitingElement == place {
		k.linger(among)
	}
	return !k.IsOpen() || k.waitingList == among
}

// closesAfterResponse tells whether the link ends with what is answered on it now.
func (k *clientConnection) closesAfterResponse() bool { return k.listener.closing && !k.sendsCallbacks }
