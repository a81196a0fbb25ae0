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
	listener // connections in order of their last activity, the earliest first
	config   StatusConfig
}

// ServeStatus starts to serve the status call at an address.
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

// addConnection serves a socket, which it owns. At the limit of connections, the one that has been idle longest is closed.
func (s *Status) addConnection(socket int) {
	if s.connections.Len() >= limits.MaxStatusConnections {
		s.connections.Front().Value.(*statusConnection).terminate()
	}
	c := &statusConnection{status: s}
	s.open(socket, &c.connection, c)
}

// closeExpired ends the connections that are idle, or whose request or response takes too long, and runs again every
// expiryInterval.
func (s *Status) closeExpired() {
	s.loop.StartTimer(expiryInterval, s, s.closeExpired)
	s.forEach(func(handler any) { handler.(*statusConnection).closeIfExpired() })
}

// statusConnection responds to requests in the order in which they arrive.
type statusConnection struct {
	connection
	status *Status
}

func (s *statusConnection) closeIfExpired() {
	idle := s.status.loop.Now() - s.lastActivity
	isBusy := len(s.Input()) > 0 || len(s.Output()) > 0 || s.isLastResponse
	if idle >= statusIdleTimeout || isBusy && idle >= statusRequestTimeout {
		s.terminate()
	}
}

// HandleEvents reads requests and sends responses, one at a time.
func (s *statusConnection) HandleEvents(events uint32) {
	if events&^unix.EPOLLOUT != 0 && len(s.Input()) == 0 {
		s.recordActivity()
	}
	hasEnded, ok := s.transfer(events)
	if !ok {
		return
	}
	for !s.isLastResponse && len(s.Input()) > 0 && len(s.Output()) == 0 {
		if more := s.readRequest(); !more {
			break
		}
	}
	if hasEnded && len(s.Output()) == 0 {
		s.terminate()
	}
}

// readRequest responds to the first request of the input. more is false if the input holds no complete request.
func (s *statusConnection) readRequest() (more bool) {
	request := &s.status.request
	size, err := request.Parse(s.Input())
	var parseError *http1.ParseError
	if errors.As(err, &parseError) {
		s.respond(parseError.StatusCode, "", []byte(parseError.Reason+"\n"), false)
		return false
	}
	if err != nil {
		return false
	}
	s.handleRequest(request)
	if !s.IsOpen() {
		return false
	}
	s.Consume(size)
	return true
}

func (s *statusConnection) handleRequest(request *http1.Request) {
	id, ok := bytes.CutPrefix(request.Target, []byte(status.Path))
	switch {
	case !ok || len(id) == 0:
		s.respond(http1.StatusNotFound, "", []byte("no such path\n"), request.KeepAlive)
	case string(request.Method) != "GET":
		s.respond(http1.StatusMethodNotAllowed, "Allow: GET\r\n", []byte("GET only\n"), request.KeepAlive)
	default:
		s.respondStatus(string(id), request.KeepAlive)
	}
}

func (s *statusConnection) respondStatus(id string, keepAlive bool) {
	body, known := s.status.config.Table.Find(id)
	if !known {
		s.respond(http1.StatusNotFound, "", []byte("no such id\n"), keepAlive)
		return
	}
	s.respond(http1.StatusOK, jsonText, body, keepAlive)
}

func (s *statusConnection) respond(statusCode int, fields string, body []byte, keepAlive bool) {
	s.recordActivity()
	s.sendResponse(statusCode, fields, body, keepAlive)
}

// recordActivity restarts the connection's time limits, and makes it the last one to be evicted.
func (s *statusConnection) recordActivity() {
	s.lastActivity = s.status.loop.Now()
	s.status.connections.MoveToBack(s.element)
}
