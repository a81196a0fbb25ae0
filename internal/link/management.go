package link

import (
	"container/list"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/address"
	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
)

// managementExpiryInterval is the time between two looks for connections that have expired.
const managementExpiryInterval = 250 * time.Millisecond

// managementListener accepts connections at an address beside the clients': few, and each of them timed. It is part of the
// listener of a kind of connection.
type managementListener struct {
	loop        *Loop
	acceptor    *eventloop.Acceptor
	connections list.List // of handlers, in the order in which they are evicted
}

// admitAddress reports whether a new connection may go on. It closes the socket, unread, of an address that may not connect.
func (l *Loop) admitAddress(socket int, from netip.AddrPort) bool {
	if l.addressLists == nil {
		return true
	}
	reason := l.addressLists.RejectionReason(from.Addr())
	if reason == "" {
		return true
	}
	_ = l.Syscalls().Close(socket)
	address.LogRejection(l.connectionLog, from, reason)
	return false
}

// newManagementListener returns a listener that has no socket yet.
func (l *Loop) newManagementListener() managementListener {
	return managementListener{loop: l, acceptor: eventloop.NewAcceptor(l.Loop, l.log)}
}

// managementConnection is what such connections have in common.
type managementConnection struct {
	eventloop.Stream
	owner        *managementListener
	element      *list.Element // among the owner's connections
	lastActivity time.Duration // when something last began
	lastResponse bool          // no further request is read: the connection ends with what is being sent
	inputEnded   bool          // the peer sends no more
}

// HandlePanic has nothing to end: the listener goes on.
func (l *managementListener) HandlePanic() {}

// acceptAll accepts connections, so many at a time at most. admit closes those that it does not admit; add owns the socket.
func (l *managementListener) acceptAll(maxConnections int, admit func(socket int, from netip.AddrPort) bool, add func(socket int)) {
	for range maxConnections {
		socket, from, result := l.acceptor.Accept()
		if result != eventloop.Accepted { // none waits, or there is another event once the acceptor goes on
			return
		}
		if admit(socket, from) {
			add(socket)
		}
	}
}

// open serves a socket, which it owns, on a connection that is part of a handler. It reports whether that worked.
func (l *managementListener) open(socket int, c *managementConnection, handler eventloop.Handler) bool {
	c.owner = l
	c.lastActivity = l.loop.Now()
	var err error
	if c.Stream, err = l.loop.OpenStream(socket, eventloop.StreamEvents, handler); err != nil {
		_ = l.loop.Syscalls().Close(socket)
		return false
	}
	c.element = l.connections.PushBack(handler)
	return true
}

// forEach calls act for each connection's handler; act may end the connection.
func (l *managementListener) forEach(act func(handler any)) {
	for element := l.connections.Front(); element != nil; {
		next := element.Next()
		act(element.Value)
		element = next
	}
}

// HandlePanic ends the connection.
func (c *managementConnection) HandlePanic() { c.terminate() }

func (c *managementConnection) terminate() {
	if c.IsOpen() {
		c.owner.connections.Remove(c.element)
		c.Close()
	}
}

// transfer sends what waits and reads what has come. ended reports that the peer sends no more; it goes on doing so, as there
// are no further events for it. If ok is false the connection has ended.
func (c *managementConnection) transfer(events uint32) (ended, ok bool) {
	var err error
	if events&unix.EPOLLOUT != 0 {
		err = c.Flush()
		c.closeWriteOnceSent()
	}
	switch {
	case err != nil || events&^unix.EPOLLOUT == 0:
	case c.lastResponse:
		_, ended, err = c.Discard() // closed over unread bytes, the connection would be reset, and the response lost
	default:
		ended, err = c.Fill()
	}
	if err != nil {
		c.terminate()
	}
	c.inputEnded = c.inputEnded || ended
	if c.inputEnded {
		c.SetEvents(c.Events() &^ eventloop.StreamEvents)
	}
	return c.inputEnded, err == nil
}

// sendResponse responds to a request. fields are whole lines. Unless keepAlive is set it is the last response.
func (c *managementConnection) sendResponse(statusCode int, fields string, body []byte, keepAlive bool) {
	c.lastResponse = !keepAlive
	if c.Send(http1.AppendResponse(nil, statusCode, fields, body, keepAlive)) != nil {
		c.terminate()
		return
	}
	if c.lastResponse {
		c.DropInput()
	}
	c.closeWriteOnceSent()
}

// closeWriteOnceSent ends this side once the last response is sent.
func (c *managementConnection) closeWriteOnceSent() {
	if c.lastResponse && len(c.Output()) == 0 && c.IsOpen() {
		c.CloseWrite()
	}
}
