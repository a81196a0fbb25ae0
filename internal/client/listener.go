// Package client serves the connections of clients, and of workers that send callbacks. It accepts them, parses requests and
// admits them to the request table, responds in the order of the requests of a connection, and ends connections that have
// expired or are evicted for others.
//
// It never decides which worker a request is sent to or whether it is retried: the request table and its policy do. All of it
// runs on the goroutine of its event loop.
package client

import (
	"container/list"
	"log/slog"
	"net/netip"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	acceptRetryDelay   = 50 * time.Millisecond // while no connection can be evicted
	maxAcceptsPerEvent = 128                   // in a flood of new connections, the present ones are served too

	evictedFraction = 32 // one of so many descriptors is for connections that are evicted and not closed yet
)

// RequestTable is what a client listener needs of the request table. *requests.Table implements it.
type RequestTable interface {
	Admitter
	CallbackHandler
	// Ready reports whether a new request could be sent to a worker.
	Ready() bool
	// ClientDisconnected ends a request whose client no longer waits for the response.
	ClientDisconnected(request *requests.Request)
}

// Admitter admits requests, and is notified of those that are rejected before that.
type Admitter interface {
	Admit(now time.Duration, arrival requests.Arrival) (*requests.Request, error)
	ReportRejection(arrival *requests.Arrival, statusCode int)
	OpenCount() int
	PayloadBytes() int
}

// CallbackHandler applies what workers report about their attempts.
type CallbackHandler interface {
	HandleCallback(callback requests.Callback) (known bool, err error)
}

// AccessLists say which addresses may connect, and which are proxies. *address.AccessLists implements it.
type AccessLists interface {
	// Admits reports whether an address may connect; a rejection is logged.
	Admits(from netip.AddrPort, log *slog.Logger) bool
	TrustsProxy(address netip.Addr) bool
}

// Config is what a client listener is made of.
type Config struct {
	Loop          *eventloop.Loop
	Table         RequestTable
	AccessLists   AccessLists // nil: every address may connect, and there are no proxies
	Log           *slog.Logger
	ConnectionLog *slog.Logger // lines about single connections and requests, while there are access lists
	Settings      *dispatch.Settings
	Names         requests.NameTable
	Limits        Limits
}

// Limits are the limits on what clients use.
type Limits struct {
	Connections int // open at once
	Requests    int // open at once
	BufferBytes int // of connections; payloads of open requests may take up as much again
}

// Listener accepts the connections of clients, and of workers that send callbacks, and keeps account of them.
type Listener struct {
	loop             *eventloop.Loop
	table            RequestTable
	accessLists      AccessLists // nil: off
	log              *slog.Logger
	connectionLog    *slog.Logger
	acceptor         *eventloop.Acceptor // without a socket while another process has it
	request          http1.Request       // that was parsed last
	writeBuffer      []byte              // for the response that is being written
	connections      map[*connection]struct{}
	limits           Limits
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

// NewListener returns a listener that has no socket yet.
func NewListener(config Config) *Listener {
	listener := &Listener{
		loop:          config.Loop,
		table:         config.Table,
		accessLists:   config.AccessLists,
		log:           config.Log,
		connectionLog: config.ConnectionLog,
		acceptor:      eventloop.NewAcceptor(config.Loop, config.Log),
		connections:   map[*connection]struct{}{},
		settings:      config.Settings,
		classes:       indexByName(config.Names.Classes),
		tenants:       indexByName(config.Names.Tenants),
	}
	listener.SetLimits(config.Limits)
	listener.closeExpired()
	return listener
}

// Listen opens a socket for clients to connect to, at an address, with options such as SO_REUSEPORT.
func (l *Listener) Listen(address netip.AddrPort, options ...int) error {
	return l.acceptor.Listen(address, l, options...)
}

// AddSocket has clients accepted at a socket that listens already. On an error the caller owns the socket.
func (l *Listener) AddSocket(fd int) error { return l.acceptor.Add(fd, l) }

// Socket returns the listening socket, which stays the listener's, or eventloop.NoDescriptor.
func (l *Listener) Socket() int { return l.acceptor.FD() }

// Addr returns the address that clients connect to; without a socket it is not valid.
func (l *Listener) Addr() netip.AddrPort { return l.acceptor.Addr() }

// Drain has /up respond that the scheduler is not ready. Requests are admitted as before: clients keep the connections that
// they have, and may have no other scheduler to connect to.
func (l *Listener) Drain() { l.draining = true }

// IsDraining reports whether Drain was called.
func (l *Listener) IsDraining() bool { return l.draining }

func indexByName(names []string) map[string]int {
	indexes := map[string]int{}
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// SetLimits replaces the limits. Where there are more connections, idle ones are evicted.
func (l *Listener) SetLimits(limits Limits) {
	l.limits = limits
	l.maxEvicted = limits.Connections / evictedFraction
	l.maxConnections = limits.Connections - l.maxEvicted
	l.maxRequests = limits.Requests
	l.maxBufferedBytes = limits.BufferBytes
	for l.activeCount() > l.maxConnections && l.evict() {
	}
	l.closeExcessEvicted()
	l.HandleDescriptorsClosed()
}

// Limits returns the present limits.
func (l *Listener) Limits() Limits { return l.limits }

// activeCount counts the connections that are not evicted.
func (l *Listener) activeCount() int { return len(l.connections) - l.evicted.Len() }

// HandleEvents accepts connections. Where descriptors run out, the connection that has been idle longest is evicted; where
// none is idle, new connections wait in the backlog: rejected there, their requests would be lost.
func (l *Listener) HandleEvents(uint32) {
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
func (l *Listener) acceptOne() (more bool) {
	socket, from, result := l.acceptor.Accept()
	if result == eventloop.AcceptNoDescriptor {
		l.evict()
	}
	if result != eventloop.Accepted {
		return false
	}
	if l.accessLists != nil && !l.accessLists.Admits(from, l.connectionLog) {
		_ = l.loop.Syscalls().Close(socket)
		return true
	}
	l.AddConnection(socket, from)
	return true
}

// AddConnection serves an accepted socket, which it owns, from here on.
func (l *Listener) AddConnection(socket int, from netip.AddrPort) {
	conn := &connection{
		listener:        l,
		lastActivity:    l.loop.Now(),
		clientAddress:   from,
		proxyHeaderDone: l.accessLists == nil,
	}
	var err error
	if conn.Stream, err = l.loop.OpenStream(socket, eventloop.StreamEvents, conn); err != nil {
		l.log.Error("accepting failed", "error", err)
		_ = l.loop.Syscalls().Close(socket)
		return
	}
	l.connections[conn] = struct{}{}
	conn.becomeIdle()
}

// HandlePanic has nothing to end: the listener goes on.
func (l *Listener) HandlePanic() {}

// HandleDescriptorsClosed accepts again, if there is room for a connection. It is called whenever descriptors were closed.
func (l *Listener) HandleDescriptorsClosed() {
	if l.activeCount() < l.maxConnections {
		l.acceptor.Resume()
	}
}

// HasSentAll reports whether no response waits to be sent.
func (l *Listener) HasSentAll() bool {
	for c := range l.connections {
		if len(c.Output()) > 0 {
			return false
		}
	}
	return true
}

// ConnectionCount returns how many connections are open, with those that are ending.
func (l *Listener) ConnectionCount() int { return len(l.connections) }
