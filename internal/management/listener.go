package management

import (
	"container/list"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
)

// expiryInterval is the time between two checks for expired connections.
const expiryInterval = 250 * time.Millisecond

// listener accepts connections, and keeps them in the order in which they are evicted at the limit of connections. It is embedded
// in Operators and Status.
type listener struct {
	loop        *eventloop.Loop
	acceptor    *eventloop.Acceptor
	connections list.List     // the handlers of the connections
	request     http1.Request // scratch buffer of the connections, for parsing
}

// newListener returns a listener without a socket.
func newListener(loop *eventloop.Loop, log *slog.Logger) listener {
	return listener{loop: loop, acceptor: eventloop.NewAcceptor(loop, log)}
}

// Addr returns the address that the listener listens at.
func (l *listener) Addr() netip.AddrPort { return l.acceptor.Addr() }

// HandlePanic does nothing: the listener keeps working.
func (l *listener) HandlePanic() {}

// acceptAll accepts at most maxConnections connections, and passes each socket to add, which owns it. isAllowed reports whether
// the address may connect; nil: all may.
func (l *listener) acceptAll(maxConnections int, isAllowed func(from netip.AddrPort) bool, add func(socket int)) {
	for range maxConnections {
		socket, from, result := l.acceptor.Accept()
		if result != eventloop.Accepted { // there is another event once a connection can be accepted
			return
		}
		if isAllowed != nil && !isAllowed(from) {
			_ = l.loop.Syscalls().Close(socket)
			continue
		}
		add(socket)
	}
}

// open opens a connection on a socket, which the connection owns from then on. handler is the value that embeds the connection.
// It reports whether opening succeeded; if not, the socket is closed.
func (l *listener) open(socket int, c *connection, handler eventloop.Handler) bool {
	c.listener = l
	c.lastActivity = l.loop.Now()
	var err error
	if c.Stream, err = l.loop.OpenStream(socket, eventloop.StreamEvents, handler); err != nil {
		_ = l.loop.Syscalls().Close(socket)
		return false
	}
	c.element = l.connections.PushBack(handler)
	return true
}

// forEach calls act for the handler of each connection; act may end the connection.
func (l *listener) forEach(act func(handler any)) {
	for element := l.connections.Front(); element != nil; {
		next := element.Next()
		act(element.Value)
		element = next
	}
}

// connection is the part that is common to both kinds of connections.
type connection struct {
	eventloop.Stream
	listener       *listener
	element        *list.Element // of listener.connections
	lastActivity   time.Duration // when the current phase began
	isLastResponse bool          // no further request is read: the connection ends after the response that is being sent
	hasInputEnded  bool          // the peer has closed its sending side, and all input was read
}

// HandlePanic ends the connection.
func (c *connection) HandlePanic() { c.terminate() }

func (c *connection) terminate() {
	if c.IsOpen() {
		c.listener.connections.Remove(c.element)
		c.Close()
	}
}

// transfer sends queued output and reads input. hasEnded reports that the end of the input was read; it stays true, as no further
// input events are requested then. If ok is false the connection is closed.
func (c *connection) transfer(events uint32) (hasEnded, ok bool) {
	var err error
	if events&unix.EPOLLOUT != 0 {
		err = c.Flush()
		c.closeWriteOnceSent()
	}
	switch {
	case err != nil || events&^unix.EPOLLOUT == 0:
	case c.isLastResponse: // closing with unread input would reset the connection, and the response would be lost
		_, hasEnded, err = c.Discard()
	default:
		hasEnded, err = c.Fill()
	}
	if err != nil {
		c.terminate()
	}
	c.hasInputEnded = c.hasInputEnded || hasEnded
	if c.hasInputEnded {
		c.SetEvents(c.Events() &^ eventloop.StreamEvents)
	}
	return c.hasInputEnded, err == nil
}

// sendResponse sends a response. fields are complete header lines. Without keepAlive it is the last response of the connection.
func (c *connection) sendResponse(statusCode int, fields string, body []byte, keepAlive bool) {
	c.isLastResponse = !keepAlive
	if c.Send(http1.AppendResponse(nil, statusCode, fields, body, keepAlive)) != nil {
		c.terminate()
		return
	}
	if c.isLastResponse {
		c.DropInput()
	}
	c.closeWriteOnceSent()
}

// closeWriteOnceSent closes this side for writing once the last response is sent.
func (c *connection) closeWriteOnceSent() {
	if c.isLastResponse && len(c.Output()) == 0 && c.IsOpen() {
		c.CloseWrite()
	}
}
