package management

import (
	"bytes"
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/limits"
	"valvecove/internal/status"
)

const (
	statusIdleTimeout    = 10 * time.Second
	statusRequestTimeout = 2 * time.Second // for a request to be read, and for its response to be sent
)

// StatusConfig configures a Status.
type StatusConfig struct {
	Table *status.Table
	Log   *slog.Logger

	// IsAllowed reports whether an address may connect; nil: all may.
	IsAllowed func(from netip.AddrPort) bool
}

// Status serves the status call.
type Status struct {
	listener // the connection that has been idle longest first
	config   StatusConfig
}

// ServeStatus serves the status call from now on.
func ServeStatus(loop *eventloop.Loop, address netip.AddrPort, config StatusConfig) (*Status, error) {
	server := &Status{listener: newListener(loop, config.Log), config: config}
	if err := server.acceptor.Listen(address, server); err != nil {
		return nil, err
	}
	server.closeExpired()
	return server, nil
}

// HandleEvents accepts connections.
func (s *Status) HandleEvents(uint32) {
	s.acceptAll(limits.MaxStatusConnections, s.config.IsAllowed, s.addConnection)
}

// addConnection serves a socket, which it owns. If there are too many connections, the one that has been idle longest is ended.
func (s *Status) addConnection(socket int) {
	if s.connections.Len() >= limits.MaxStatusConnections {
		s.connections.Front().Value.(*statusConnection).terminate()
	}
	c := &statusConnection{status: s}
	s.open(socket, &c.connection, c)
}

// closeExpired ends, at each expiryInterval, the connections that are idle, and those whose request or response is late.
func (s *Status) closeExpired() {
	s.loop.StartTimer(expiryInterval, s, s.closeExpired)
	s.forEach(func(handler any) { handler.(*statusConnection).closeIfExpired() })
}

// statusConnection answers requests in the order in which they arrive.
type statusConnection struct {
	connection
	status *Status
}

func (c *statusConnection) closeIfExpired() {
	idle := c.status.loop.Now() - c.lastActivity
	isBusy := len(c.Input()) > 0 || len(c.Output()) > 0 || c.isLastResponse
	if idle >= statusIdleTimeout || isBusy && idle >= statusRequestTimeout {
		c.terminate()
	}
}

// HandleEvents reads requests and sends responses, one at a time.
func (c *statusConnection) HandleEvents(events uint32) {
	if events&^unix.EPOLLOUT != 0 && len(c.Input()) == 0 {
		c.recordActivity()
	}
	hasEnded, ok := c.transfer(events)
	if !ok {
		return
	}
	for !c.isLastResponse && len(c.Input()) > 0 && len(c.Output()) == 0 {
		if more := c.readRequest(); !more {
			break
		}
	}
	if hasEnded && len(c.Output()) == 0 {
		c.terminate()
	}
}

// readRequest answers the first request of the input. more is false if the input holds no complete request.
func (c *statusConnection) readRequest() (more bool) {
	request := &c.status.request
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
	body, known := c.status.config.Table.Find(id)
	if !known {
		c.respond(404, "", []byte("no such id\n"), keepAlive)
		return
	}
	c.respond(200, jsonText, body, keepAlive)
}

func (c *statusConnection) respond(statusCode int, fields string, body []byte, keepAlive bool) {
	c.recordActivity()
	c.sendResponse(statusCode, fields, body, keepAlive)
}

// recordActivity restarts the connection's time limits.
func (c *statusConnection) recordActivity() {
	c.lastActivity = c.status.loop.Now()
	c.status.connections.MoveToBack(c.element)
}
