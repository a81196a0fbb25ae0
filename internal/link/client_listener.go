package link

import (
	"container/list"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/requests"
)

const (
	acceptRetryDelay   = 50 * time.Millisecond // after no descriptor was left
	maxAcceptsPerEvent = 128                   // in a flood of connections, the links that are there have their turns too
)

// clientListener accepts connections. Clients come in here, and so do worker nodes with their notes.
type clientListener struct {
	loop           *Loop
	fd             int
	maxConnections int // links held at once, but for those in parting
	maxRequests    int // and queries, which is fewer: what ends them, worker nodes' notes, needs links too
	connections    map[*clientConnection]struct{}
	// Links without a request in hand, longest first, in the order in which they make room: those that have only
	// had errors for an answer, those that have had their last, those that have not asked yet, and the useful ones.
	rejectedOnly, finished, silent, idle list.List
	evicted                              list.List // those that have made room, while they are shut but not closed yet
	maxEvicted                           int       // and how many there may be, besides most
	bufferedBytes                        int       // bytes in the links' buffers
	maxBufferedBytes                     int       // and how many there may be; as much again may wait in queries
	acceptPaused                         bool
	resumeTimer                          *eventloop.Timer
	draining                             bool
	closing                              bool // takes no query any more
	settings                             *dispatch.Settings
	classes                              map[string]int
	tenants                              map[string]int
}

func (l *Loop) openClientListener(most, budget int, set *dispatch.Settings, names requests.NameTable) {
	l.clients = &clientListener{
		loop: l, fd: -1, connections: map[*clientConnection]struct{}{}, settings: set,
		classes: index(names.Classes), tenants: index(names.Tenants),
	}
	l.clients.setLimits(most, budget)
	l.clients.closeExpired()
}

// setLimits sets how many links are held, and how many bytes. Where there are more links, idle ones make room.
func (c *clientListener) setLimits(links, budget int) {
	c.maxEvicted = links / 32 // out of those that queries leave
	c.maxConnections = links - c.maxEvicted
	c.maxRequests, c.maxBufferedBytes = maxRequestsFor(links), budget
	for c.activeCount() > c.maxConnections && c.evict() {
	}
	c.closeExcessEvicted()
	c.resumeIfRoom()
}

// activeCount counts the links but for those that have made room.
func (c *clientListener) activeCount() int { return len(c.connections) - c.evicted.Len() }

// maxRequestsFor leaves links for what ends queries.
func maxRequestsFor(links int) int { return links - max(8, links/10) }

func index(names []string) map[string]int {
	m := map[string]int{}
	for i, name := range names {
		m[name] = i
	}
	return m
}

// HandleEvents accepts what waits. Where descriptors run out, the link that has been idle longest makes room; where
// none is idle, new connections wait in the backlog: turned away there, their queries would be lost.
func (c *clientListener) HandleEvents(uint32) {
	for range maxAcceptsPerEvent {
		if c.activeCount() >= c.maxConnections && !c.evict() {
			c.pauseAccepting()
			return
		}
		if len(c.connections)+c.loop.ClosingCount() >= c.maxConnections+c.maxEvicted {
			return // told again, once descriptors given up in this turn are closed
		}
		fd, sa, err := unix.Accept4(c.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED):
			continue
		case errors.Is(err, unix.EAGAIN):
			return
		case err != nil: // EMFILE, ENFILE, ENOMEM
			c.loop.log.Error("accepting failed", "error", err)
			c.evict()
			c.pauseAccepting()
			return
		}
		if from := eventloop.AddrPort(sa); c.loop.isAddressAdmitted(fd, from) {
			c.addConnection(fd, from)
		}
	}
}

// addConnection makes a link of a connection.
func (c *clientListener) addConnection(fd int, from netip.AddrPort) {
	k := &clientConnection{listener: c, lastActivity: c.loop.Now(), clientAddress: from, proxyHeaderDone: c.loop.addressLists == nil}
	var err error
	if k.Stream, err = c.loop.OpenStream(fd, eventloop.StreamEvents, k); err != nil {
		c.loop.log.Error("accepting failed", "error", err)
		_ = unix.Close(fd)
		return
	}
	c.connections[k] = struct{}{}
	k.becomeIdle()
}

func (c *clientListener) HandlePanic() {}

func (c *clientListener) pauseAccepting() {
	if !c.acceptPaused {
		c.acceptPaused = true
		c.setListenerEvents(0)
		c.loop.StopTimer(c.resumeTimer)
		c.resumeTimer = c.loop.StartTimer(acceptRetryDelay, c, c.resumeAccepting) // some link may make room by then
	}
}

func (c *clientListener) resumeAccepting() {
	if c.acceptPaused {
		c.acceptPaused = false
		c.setListenerEvents(unix.EPOLLIN)
	}
}

func (c *clientListener) resumeIfRoom() {
	if c.activeCount() < c.maxConnections {
		c.resumeAccepting()
	}
}

func (c *clientListener) setListenerEvents(events uint32) {
	c.loop.Modify(c.fd, events)
}

// hasSentAll tells whether all that was answered has left.
func (c *clientListener) hasSentAll() bool {
	for k := range c.connections {
		if len(k.Output()) > 0 {
			return false
		}
	}
	return true
}
