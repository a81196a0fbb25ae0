package link

import (
	"bytes"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/http1"
	"valvecove/internal/limits"
	"valvecove/internal/status"
)

const (
	statusIdleTimeout    = 10 * time.Second
	statusRequestTimeout = 2 * time.Second // for a request to come whole, and its response to be taken
)

// statusListener accepts those who ask for the status of requests, at an address of their own.
type statusListener struct {
	managementListener // the connection that has been quiet longest first
	table              *status.Table
}

// statusConnection has its requests answered as they are read.
type statusConnection struct {
	managementConnection
	listener *statusListener
}

// serveStatus serves the status call.
func (l *Loop) serveStatus(address netip.AddrPort, table *status.Table) error {
	listener := &statusListener{managementListener: l.newManagementListener(), table: table}
	if err := listener.acceptor.Listen(address, listener); err != nil {
		return err
	}
	l.status = listener
	listener.closeExpired()
	return nil
}

// HandleEvents accepts connections.
func (l *statusListener) HandleEvents(uint32) {
	l.acceptAll(limits.MaxStatusConnections, l.loop.admitAddress, l.addConnection)
}

// addConnection serves a socket, which it owns. Where there are too many, the one that has been quiet longest is ended.
func (l *statusListener) addConnection(socket int) {
	if l.connections.Len() >= limits.MaxStatusConnections {
		l.connections.Front().Value.(*statusConnection).terminate()
	}
	c := &statusConnection{listener: l}
	l.open(socket, &c.managementConnection, c)
}

// closeExpired ends connections on which a request does not come whole, a response is not taken, or nothing comes, again and
// again.
func (l *statusListener) closeExpired() {
	l.loop.StartTimer(managementExpiryInterval, l, l.closeExpired)
	l.forEach(func(handler any) { handler.(*statusConnection).closeIfExpired() })
}

func (c *statusConnection) closeIfExpired() {
	quiet := c.listener.loop.Now() - c.lastActivity
	isBusy := len(c.Input()) > 0 || len(c.Output()) > 0 || c.lastResponse
	if quiet >= statusIdleTimeout || isBusy && quiet >= statusRequestTimeout {
		c.terminate()
	}
}

// HandleEvents reads requests and sends responses, one at a time.
func (c *statusConnection) HandleEvents(events uint32) {
	if events&^unix.EPOLLOUT != 0 && len(c.Input()) == 0 {
		c.recordActivity()
	}
	ended, ok := c.transfer(events)
	if !ok {
		return
	}
	for !c.lastResponse && len(c.Input()) > 0 && len(c.Output()) == 0 {
		if more := c.readRequest(); !more {
			break
		}
	}
	if ended && len(c.Output()) == 0 {
		c.terminate()
	}
}

// readRequest handles the first request of the input. more is false if there is none that is whole.
func (c *statusConnection) readRequest() (more bool) {
	request := &c.listener.loop.request
	size, err := request.Parse(c.Input())
	var parseError *http1.ParseError
	if errors.As(err, &parseError) {
		c.respond(parseError.StatusCode, "", []byte(parseError.Reason+"\n"), false)
		return false
	}
	if err != nil {
		return false
	}
	c.handleRequest(request)
	if !c.IsOpen() {
		return false
	}
	c.Consume(size)
	return true
}

func (c *statusConnection) handleRequest(request *http1.Request) {
	id, ok := bytes.CutPrefix(request.Target, []byte(status.Path))
	switch {
	case !ok || len(id) == 0:
		c.respond(404, "", []byte("no such path\n"), request.KeepAlive)
	case string(request.Method) != "GET":
		c.respond(405, "Allow: GET\r\n", []byte("GET only\n"), request.KeepAlive)
	default:
		c.respondStatus(string(id), request.KeepAlive)
	}
}

func (c *statusConnection) respondStatus(id string, keepAlive bool) {
	body, known := c.listener.table.Find(id)
	if !known {
		c.respond(404, "", []byte("no such id\n"), keepAlive)
		return
	}
	c.respond(200, "Content-Type: application/json\r\nCache-Control: no-store\r\n", body, keepAlive)
}

func (c *statusConnection) respond(statusCode int, fields string, body []byte, keepAlive bool) {
	c.recordActivity()
	c.sendResponse(statusCode, fields, body, keepAlive)
}

// recordActivity starts the connection's time anew.
func (c *statusConnection) recordActivity() {
	c.lastActivity = c.listener.loop.Now()
	c.listener.connections.MoveToBack(c.element)
}
