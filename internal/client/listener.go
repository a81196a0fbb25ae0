// Package client serves the connections of clients, and of workers that send callbacks. It accepts them, parses requests and
// admits them to the request table, responds in the order of the requests of a connection, and ends connections that have expired
// or are evicted to make room for others.
//
// It never decides which worker a request is sent to or whether it is retried: the request table and its policy do. All of it
// runs on the goroutine of its event loop.
//
// # Files
//
//   - listener.go, config.go: the Listener with its limits, and the interfaces that it uses
//   - connection.go: a connection: its phases, its events, and its end
//   - input.go: splits the input into requests, and limits the input that is read ahead of responses
//   - request.go, parse.go: handles one request; parses the fields of a job and rejects invalid ones
//   - response.go: response slots, and responses in their order
//   - memory.go: the memory for responses, which is reserved before a pipelined request is handled
//   - presence.go: detects clients that have closed their connection, and delays attempts until that is known
//   - arrivaltime.go: when the bytes of a request arrived
//   - expiry.go, eviction.go: time limits of connections; evictions that make room, and the close of all connections
//   - proxy.go: the PROXY header of a connection
//   - transfer.go: snapshot and restoration of connections in a hot restart
//   - log.go: log lines about connections
package client

import (
	"container/list"
	"log/slog"
	"net/netip"
	"time"

	"valvecove/internal/address"
	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	acceptRetryDelay         = 50 * time.Millisecond // before the next accept, while no connection can be evicted
	maxAcceptsPerEvent       = 128                   // so that existing connections are served during a flood of new ones
	evictedConnectionDivisor = 32                    // 1/32 of the connections may be evicted ones that are not closed yet
)

// Listener accepts connections, owns them, and keeps their number and buffers within limits.
type Listener struct {
	loop            *eventloop.Loop
	table           RequestTable
	accessLists     AccessLists // nil: off
	log             *slog.Logger
	connectionLog   *slog.Logger
	acceptor        *eventloop.Acceptor // has no socket while another process serves
	parser          requestParser
	request         http1.Request    // the last one that was parsed
	writeBuffer     []byte           // for the response that is being written
	rejectedArrival requests.Arrival // copy for the table, while it is reported; see reportRejection

	connections      map[*connection]struct{}
	limits           Limits
	maxConnections   int // without those that are evicted
	maxEvicted       int
	maxRequests      int // open at once
	bufferedBytes    int // in the buffers of connections
	heldBytes        int // held or reserved for responses; see connection.updateHeldBytes
	maxBufferedBytes int // limits bufferedBytes and heldBytes, each separately; see memory.go for the payloads of open requests

	awaitingMemory list.List // connections whose next request waits for memory for its response
	isResuming     bool      // a timer for resumeAwaiting is running

	// Connections without a request in flight are on one of these lists, in the order in which they were added to it. They are
	// evicted list by list, in the order below, the first of each list first.
	useless  list.List // sent only readiness checks and rejected requests
	finished list.List // received their last response
	silent   list.List // sent no request
	idle     list.List // had a request admitted, or a callback applied

	evicted list.List // shut down to make room, and not closed yet

	draining bool // not ready, but requests are admitted
	closing  bool // no request is admitted
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
		parser:        newRequestParser(config.Settings, config.Names),
		connections:   map[*connection]struct{}{},
	}
	listener.SetLimits(config.Limits)
	listener.closeExpired()
	return listener
}

// Listen opens a listening socket for clients at an address, with socket options such as SO_REUSEPORT.
func (l *Listener) Listen(at netip.AddrPort, options ...int) error {
	return l.acceptor.Listen(at, l, options...)
}

// AddSocket accepts clients at a socket that is listening already. On an error the caller owns the socket.
func (l *Listener) AddSocket(fd int) error { return l.acceptor.Add(fd, l) }

// Socket returns the listening socket, which the listener still owns, or eventloop.NoDescriptor.
func (l *Listener) Socket() int { return l.acceptor.FD() }

// CloseSocket closes the listening socket. Connections stay open.
func (l *Listener) CloseSocket() { l.acceptor.Close() }

// Addr returns the address that clients connect to; without a socket it is not valid.
func (l *Listener) Addr() netip.AddrPort { return l.acceptor.Addr() }

// Drain makes the readiness check respond that the scheduler is not ready. Requests are admitted as before: clients keep the
// connections that they have, and may have no other scheduler to connect to.
func (l *Listener) Drain() { l.draining = true }

// IsDraining reports whether Drain was called.
func (l *Listener) IsDraining() bool { return l.draining }

// SetLimits replaces the limits. If more connections are open than allowed, idle ones are evicted.
func (l *Listener) SetLimits(limits Limits) {
	l.limits = limits
	l.maxEvicted = limits.Connections / evictedConnectionDivisor
	l.maxConnections = limits.Connections - l.maxEvicted
	l.maxRequests = limits.Requests
	l.maxBufferedBytes = limits.BufferBytes
	for l.activeCount() > l.maxConnections && l.evict() {
	}
	l.closeExcessEvicted()
	l.HandleDescriptorsClosed()
	l.resumeWhenMemoryIsFree()
}

// Limits returns the current limits.
func (l *Listener) Limits() Limits { return l.limits }

// ConnectionCount returns how many connections are open, including those that are being closed.
func (l *Listener) ConnectionCount() int { return len(l.connections) }

// activeCount returns how many connections are open and not evicted.
func (l *Listener) activeCount() int { return len(l.connections) - l.evicted.Len() }

// HasSentAll reports whether all responses are sent.
func (l *Listener) HasSentAll() bool {
	for c := range l.connections {
		if len(c.Output()) > 0 {
			return false
		}
	}
	return true
}

// HandleEvents accepts connections. At the limit an idle connection is evicted for each new one. If none is idle, new connections
// wait in the kernel's backlog: closing them would lose the requests that were sent on them.
func (l *Listener) HandleEvents(uint32) {
	for range maxAcceptsPerEvent {
		if l.activeCount() >= l.maxConnections && !l.evict() {
			l.acceptor.Pause(acceptRetryDelay)
			return
		}
		if len(l.connections)+l.loop.ClosingCount() >= l.maxConnections+l.maxEvicted {
			return // descriptors that were removed in this iteration are closed before the next event
		}
		if more := l.acceptOne(); !more {
			return
		}
	}
}

// acceptOne accepts a connection. more is false if none waits, or none can be accepted now. If this process has no descriptor
// left, it evicts an idle connection; no other failure is remedied by that.
func (l *Listener) acceptOne() (more bool) {
	socket, from, result := l.acceptor.Accept()
	if result == eventloop.AcceptNoDescriptor {
		l.evict()
	}
	if result != eventloop.Accepted {
		return false
	}
	if l.admitsAddress(socket, from) {
		l.AddConnection(socket, from)
	}
	return true
}

// admitsAddress reports whether an address may connect. The socket of a rejected address is closed without reading from it.
func (l *Listener) admitsAddress(socket int, from netip.AddrPort) bool {
	if l.accessLists == nil {
		return true
	}
	reason := l.accessLists.RejectionReason(from.Addr())
	if reason == "" {
		return true
	}
	_ = l.loop.Syscalls().Close(socket)
	address.LogRejection(l.connectionLog, from, reason)
	return false
}

// AddConnection serves an accepted socket, which the listener owns from then on.
func (l *Listener) AddConnection(socket int, from netip.AddrPort) {
	conn := &connection{
		listener:        l,
		lastActivity:    l.loop.Now(),
		clientAddress:   from,
		proxyHeaderDone: l.accessLists == nil,
	}
	var err error
	if conn.Stream, err = l.loop.OpenStream(socket, eventloop.StreamEvents, conn); err != nil {
		l.log.Error("client connection not opened", "error", err)
		_ = l.loop.Syscalls().Close(socket)
		return
	}
	l.connections[conn] = struct{}{}
	conn.enterIdleList()
}

// HandlePanic does nothing: the listener continues.
func (l *Listener) HandlePanic() {}

// HandleDescriptorsClosed resumes accepting if the connections are below their limit. It must be called whenever descriptors were
// closed.
func (l *Listener) HandleDescriptorsClosed() {
	if l.activeCount() < l.maxConnections {
		l.acceptor.Resume()
	}
}
