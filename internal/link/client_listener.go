package link

import (
	"container/list"
	"net/netip"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/requests"
)

const (
	acceptRetryDelay   = 50 * time.Millisecond // while no connection can be evicted
	maxAcceptsPerEvent = 128                   // in a flood of new connections, the present ones are served too

	evictedFraction            = 32 // one of so many descriptors is for connections that are evicted and not closed yet
	callbackConnectionFraction = 10 // one of so many is kept free of requests, for the callbacks that end them
	minCallbackConnections     = 8
)

// clientListener accepts the connections of clients, and of workers that send callbacks, and keeps account of them.
type clientListener struct {
	loop             *Loop
	acceptor         *eventloop.Acceptor // without a socket while another process has it
	connections      map[*clientConnection]struct{}
	maxConnections   int // without those that are evicted
	maxRequests      int // open at once; fewer than connections, as the callbacks that end requests need connections too
	bufferedBytes    int // in the connections' buffers
	maxBufferedBytes int // and for the payloads of open requests as much again

	// Connections without a request in flight, the one that has waited longest first. They are evicted in the order of these
	// lists.
	rejectedOnly list.List // had nothing but error responses
	finished     list.List // had their last response
	silent       list.List // have sent no request
	idle         list.List // had a request of use

	evicted    list.List // shut down to make room, and not closed yet
	maxEvicted int

	draining bool // not ready, though requests are still admitted
	closing  bool // no request is admitted

	settings *dispatch.Settings
	classes  map[string]int // indexes by name
	tenants  map[string]int
}

// openClientListener makes the listener, which has no socket yet, with limits on descriptors and on bytes of buffers.
func (l *Loop) openClientListener(connections, bufferBytes int, settings *dispatch.Settings, names requests.NameTable) {
	l.clients = &clientListener{
		loop:        l,
		acceptor:    eventloop.NewAcceptor(l.Loop, l.log),
		connections: map[*clientConnection]struct{}{},
		settings:    settings,
		classes:     indexByName(names.Classes),
		tenants:     indexByName(names.Tenants),
	}
	l.clients.setLimits(connections, bufferBytes)
	l.clients.closeExpired()
}

func indexByName(names []string) map[string]int {
	indexes := map[string]int{}
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// setLimits sets how many connections there may be, and how many bytes of buffers. Where there are more connections, idle
// ones are evicted.
func (l *clientListener) setLimits(connections, bufferBytes int) {
	l.maxEvicted = connections / evictedFraction
	l.maxConnections = connections - l.maxEvicted
	l.maxRequests = maxRequestsFor(connections)
	l.maxBufferedBytes = bufferBytes
	for l.activeCount() > l.maxConnections && l.evict() {
	}
	l.closeExcessEvicted()
	l.resumeIfRoom()
}

// activeCount counts the connections that are not evicted.
func (l *clientListener) activeCount() int { return len(l.connections) - l.evicted.Len() }

// maxRequestsFor returns how many requests may be open, given how many connections there may be.
func maxRequestsFor(connections int) int {
	return connections - max(minCallbackConnections, connections/callbackConnectionFraction)
}

// HandleEvents accepts connections. Where descriptors run out, the connection that has been idle longest is evicted; where
// none is idle, new connections wait in the backlog: rejected there, their requests would be lost.
func (l *clientListener) HandleEvents(uint32) {
	for range maxAcceptsPerEvent {
		if l.activeCount() >= l.maxConnections && !l.evict() {
			l.acceptor.Pause(acceptRetryDelay)
			return
		}
		if len(l.connections)+l.loop.ClosingCount() >= l.maxConnections+l.maxEvicted {
			return // there is another event, once the descriptors removed in this iteration are closed
		}
		if more := l.acceptOne(); !more {
			return
		}
	}
}

// acceptOne accepts a connection. more is false if there is none, or it can't be accepted now: of what may be lacking, only
// descriptors of this process are there again for an eviction.
func (l *clientListener) acceptOne() (more bool) {
	socket, from, result := l.acceptor.Accept()
	if result == eventloop.AcceptNoDescriptor {
		l.evict()
	}
	if result != eventloop.Accepted {
		return false
	}
	if l.loop.admitAddress(socket, from) {
		l.addConnection(socket, from)
	}
	return true
}

// addConnection serves a socket, which it owns, from here on.
func (l *clientListener) addConnection(socket int, from netip.AddrPort) {
	connection := &clientConnection{
		listener:        l,
		lastActivity:    l.loop.Now(),
		clientAddress:   from,
		proxyHeaderDone: l.loop.addressLists == nil,
	}
	var err error
	if connection.Stream, err = l.loop.OpenStream(socket, eventloop.StreamEvents, connection); err != nil {
		l.loop.log.Error("accepting failed", "error", err)
		_ = l.loop.Syscalls().Close(socket)
		return
	}
	l.connections[connection] = struct{}{}
	connection.becomeIdle()
}

// HandlePanic has nothing to end: the listener goes on.
func (l *clientListener) HandlePanic() {}

func (l *clientListener) resumeIfRoom() {
	if l.activeCount() < l.maxConnections {
		l.acceptor.Resume()
	}
}

// hasSentAll reports whether no response waits to be sent.
func (l *clientListener) hasSentAll() bool {
	for c := range l.connections {
		if len(c.Output()) > 0 {
			return false
		}
	}
	return true
}
