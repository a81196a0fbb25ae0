package link

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/limits"
	"valvecove/internal/metrics"
)

const (
	operatorCallTimeout       = 2 * time.Second        // for a call to come: a caller waits 1 s, and sends nothing after that
	operatorResultTimeout     = 600 * time.Millisecond // for what it asks for to be done: later, it is told that it was not
	operatorConnectionTimeout = 3 * time.Second        // for the response to be taken
)

// operatorListener accepts operators at the management address. In each iteration its events come first: an operator gets a
// response however busy the scheduler is.
type operatorListener struct {
	managementListener // the oldest connection first
	counters           *metrics.Counters
	metricsText        []byte // that was sent last
}

// operatorCallState says how far an operator's call is. It only ever advances.
type operatorCallState int

const (
	callReading  operatorCallState = iota
	callPending                    // it is read, and being done
	callAnswered                   // its response is sent, or being sent
)

func (s operatorCallState) String() string {
	switch s {
	case callReading:
		return "reading"
	case callPending:
		return "pending"
	case callAnswered:
		return "answered"
	}
	return fmt.Sprintf("operatorCallState(%d)", int(s))
}

// operatorConnection carries one call.
type operatorConnection struct {
	managementConnection
	listener     *operatorListener
	state        operatorCallState
	continueSent bool
}

// serveOperators serves the operators' calls at their own address.
func (l *Loop) serveOperators(address netip.AddrPort, counters *metrics.Counters) error {
	listener := &operatorListener{managementListener: l.newManagementListener(), counters: counters}
	if err := listener.acceptor.Listen(address, listener); err != nil {
		return err
	}
	l.operators = listener
	listener.closeExpired()
	return nil
}

// Priority puts operators first.
func (l *operatorListener) Priority() eventloop.Priority { return eventloop.PriorityUrgent }

// Priority puts operators first.
func (c *operatorConnection) Priority() eventloop.Priority { return eventloop.PriorityUrgent }

// HandleEvents accepts whoever connects: the address is the operators' alone.
func (l *operatorListener) HandleEvents(uint32) {
	l.acceptAll(limits.MaxOperatorConnections, func(int, netip.AddrPort) bool { return true }, l.addConnection)
}

// addConnection serves a socket, which it owns.
func (l *operatorListener) addConnection(socket int) {
	if l.connections.Len() >= limits.MaxOperatorConnections {
		l.evict()
	}
	c := &operatorConnection{listener: l}
	if l.open(socket, &c.managementConnection, c) {
		// The call has most likely come with the connection, and the next iteration may be late.
		l.loop.Protect(c, func() { c.HandleEvents(unix.EPOLLIN) })
	}
}

// evict ends the oldest connection that does not wait for a response, or else the oldest: one that stalls never keeps out
// another.
func (l *operatorListener) evict() {
	evicted := l.connections.Front().Value.(*operatorConnection)
	for element := l.connections.Front(); element != nil; element = element.Next() {
		if c := element.Value.(*operatorConnection); c.state != callPending {
			evicted = c
			break
		}
	}
	evicted.terminate()
}

// closeExpired ends connections on which a call does not come, is not done, or its response is not taken, again and again.
func (l *operatorListener) closeExpired() {
	l.loop.StartTimer(managementExpiryInterval, l, l.closeExpired)
	l.forEach(func(handler any) { handler.(*operatorConnection).closeIfExpired() })
}

func (c *operatorConnection) closeIfExpired() {
	age := c.listener.loop.Now() - c.lastActivity
	switch {
	case c.state == callReading && age >= operatorCallTimeout:
		c.respond(408, "", []byte("call not whole\n"))
	case c.state == callPending && age >= operatorResultTimeout: // for a file, or another process
		c.respond(503, "", []byte("not done in time\n"))
	case age >= operatorConnectionTimeout:
		c.terminate()
	}
}

// HandleEvents reads the call, and sends its response.
func (c *operatorConnection) HandleEvents(events uint32) {
	ended, ok := c.transfer(events)
	if !ok {
		return
	}
	switch {
	case c.state != callReading:
		c.DropInput() // of what follows the call nothing is read
	case len(c.Input()) > 0:
		c.readCall(ended)
	}
	if ended && len(c.Output()) == 0 && c.state != callPending {
		c.terminate()
	}
}

func (c *operatorConnection) readCall(inputEnded bool) {
	request := &c.listener.loop.request
	_, err := request.Parse(c.Input())
	var parseError *http1.ParseError
	switch {
	case errors.As(err, &parseError):
		c.respond(parseError.StatusCode, "", []byte(parseError.Reason+"\n"))
	case err == nil:
		c.handleCall(string(request.Method), string(request.Target))
	case request.ExpectContinue && !inputEnded && !c.continueSent:
		c.continueSent = true
		_ = c.Send([]byte(http1.ContinueResponse))
	}
}

// respond ends the call, unless it has its response.
func (c *operatorConnection) respond(statusCode int, fields string, body []byte) {
	if c.IsOpen() && c.state != callAnswered {
		c.state = callAnswered
		c.sendResponse(statusCode, fields, body, false)
	}
}
