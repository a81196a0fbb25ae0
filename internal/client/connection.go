package client

import (
	"bytes"
	"container/list"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
)

// phase is the phase of an open connection. It only advances.
type phase int

const (
	phaseReading   phase = iota // requests are read
	phaseFinishing              // no further request is read; the connection ends with its last response
	phaseLingering              // all responses are sent; what the peer still sends is discarded
)

func (p phase) String() string {
	switch p {
	case phaseReading:
		return "reading"
	case phaseFinishing:
		return "finishing"
	case phaseLingering:
		return "lingering"
	}
	return fmt.Sprintf("phase(%d)", int(p))
}

// requestHistory is the best request that a connection has had. It only advances.
type requestHistory int

const (
	historyNoRequest     requestHistory = iota
	historyRequest                      // complete requests that anybody may send: readiness checks, rejected ones
	historyUsefulRequest                // an admitted request, or a callback about a known attempt
)

func (h requestHistory) String() string {
	switch h {
	case historyNoRequest:
		return "no request"
	case historyRequest:
		return "request"
	case historyUsefulRequest:
		return "useful request"
	}
	return fmt.Sprintf("requestHistory(%d)", int(h))
}

// connection is an accepted connection. Its requests are answered in the order in which they arrived.
type connection struct {
	eventloop.Stream
	listener       *Listener
	phase          phase
	history        requestHistory
	slots          []*responseSlot // of requests whose response is not sent, in order of arrival
	sendsCallbacks bool            // the last useful request was a callback: the peer is a worker
	continueSent   bool            // for the request that is being read

	halfClosed      bool          // the peer has closed its sending side
	halfCloseProbed bool          // the peer was probed since
	probedAt        time.Duration // of the last probe
	inputEnded      bool          // all that the peer sent before its end was read
	panicked        bool          // a handler panicked
	inputOverrun    bool          // more was sent ahead of responses than is kept: further input is discarded

	inputArrivals      []inputArrival // of the input that is not consumed
	currentRequestSize int            // bytes at the start of the input that are the request being handled; 0: none is
	currentArrival     time.Duration  // of the request being handled

	lastActivity time.Duration // when a request last began or a transfer last progressed; see closeIfExpired
	lingerStart  time.Duration
	countedBytes int           // of the buffers, in the listener's count
	currentList  *list.List    // one of the listener's lists, or nil
	listElement  *list.Element // in currentList

	clientAddress   netip.AddrPort
	proxyAddress    netip.AddrPort // of the proxy that the client is connected to; not valid: none
	proxyHeaderDone bool           // a PROXY header was read, or there is none
}

func (c *connection) loop() *eventloop.Loop { return c.listener.loop }

// isReading reports whether further requests are read.
func (c *connection) isReading() bool { return c.phase == phaseReading }

// advancePhase enters a phase, unless the connection is past it.
func (c *connection) advancePhase(next phase) { c.phase = max(c.phase, next) }

// advanceHistory records a request.
func (c *connection) advanceHistory(history requestHistory) { c.history = max(c.history, history) }

// Priority puts the events of clients before those of workers: a disconnected client is known before its request is written to
// a worker, and a worker's callback before the end of the connection that carried its attempt.
func (c *connection) Priority() eventloop.Priority { return eventloop.PriorityHigh }

// HandlePanic ends the connection, with a response to each request that was read. A second panic ends it at once.
func (c *connection) HandlePanic() {
	if c.panicked {
		c.terminate()
		return
	}
	c.panicked = true
	c.loop().Protect(c, c.failAll)
}

// HandleEvents sends what waits, reads input, and handles requests.
func (c *connection) HandleEvents(events uint32) {
	if events&(unix.EPOLLHUP|unix.EPOLLERR) != 0 && c.phase != phaseLingering {
		c.handleReset()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		if err := c.flushOutput(); err != nil {
			c.terminate()
			return
		}
	}
	// EPOLLRDHUP is reported while input that was sent before the end is still unread.
	c.halfClosed = c.halfClosed || events&unix.EPOLLRDHUP != 0
	if events&^unix.EPOLLOUT != 0 && !c.inputEnded {
		if err := c.readInput(); err != nil {
			c.terminate()
			return
		}
	}
	c.readRequests()
}

func (c *connection) flushOutput() error {
	before := len(c.Output())
	if err := c.Flush(); err != nil {
		return err
	}
	if len(c.Output()) < before {
		c.lastActivity = c.loop().Now()
	}
	return nil
}

func (c *connection) readInput() error {
	read := c.Fill
	if !c.isReading() || c.inputOverrun {
		read = c.discardInput
	} else if c.history != historyNoRequest && len(c.Input()) == 0 { // a request begins after an idle time
		c.lastActivity = c.loop().Now()
	}
	ended, err := read()
	if err != nil {
		return err
	}
	c.inputEnded = c.inputEnded || ended
	return nil
}

// discardInput reads input that is not handled. A connection that is closed over unread input is reset, and its last response
// may be lost.
func (c *connection) discardInput() (ended bool, err error) {
	n, ended, err := c.Discard()
	if n > 0 {
		c.lastActivity = c.loop().Now()
	}
	return ended, err
}

// handleReset ends a connection that the peer has closed in both directions. No request in the remaining input is admitted, as
// nobody waits for its response; callbacks are applied.
func (c *connection) handleReset() {
	for c.isReading() && len(c.slots) == 0 && len(c.Input()) <= maxReadAhead {
		before := len(c.Input())
		if _, err := c.Fill(); err != nil || len(c.Input()) == before {
			break
		}
	}
	for c.isReading() && len(c.slots) == 0 && len(c.Input()) > 0 && c.readProxyHeader() {
		request := &c.listener.request
		size, err := request.Parse(c.Input())
		if err != nil {
			break
		}
		path, _, _ := bytes.Cut(request.Target, []byte("?"))
		if string(path) == pathCallbacks && string(request.Method) == "POST" {
			_ = c.applyCallback(request.Body)
		}
		c.Consume(size)
	}
	c.terminate()
}

// probeHalfClosed probes, once, a client that has closed its sending side. A client that has closed the whole connection looks
// the same until something is written: then it responds with a reset, while one that still waits skips the interim response, as
// each client must. If the reset arrives in time, the connection ends before its request is sent to a worker.
func (c *connection) probeHalfClosed() {
	if c.halfCloseProbed {
		return
	}
	c.probe()
}

func (c *connection) probe() {
	c.halfCloseProbed = true
	c.probedAt = c.loop().Clock()
	if c.Send([]byte(http1.ContinueResponse)) != nil || c.ConnectError() != nil {
		c.terminate()
	}
}

// updateInputEvents sets the events that the connection waits for. Input is read up to the peer's end, which follows all that
// the peer has sent. The event for that end is level-triggered, so it is not waited for again; one for a reset always is.
func (c *connection) updateInputEvents() {
	events := c.Events() &^ eventloop.StreamEvents
	if !c.halfClosed {
		events |= unix.EPOLLRDHUP
	}
	if !c.inputEnded {
		events |= unix.EPOLLIN
	}
	c.SetEvents(events)
}

// updateBufferedBytes updates the listener's count of buffered bytes.
func (c *connection) updateBufferedBytes() {
	size := c.BufferSize()
	c.listener.bufferedBytes += size - c.countedBytes
	c.countedBytes = size
}

// linger closes the sending side of the connection, and puts it on a list. Input is discarded until the peer closes its side or
// the connection expires: closed over unread input, the connection would be reset, and the peer lose responses that it has not
// read.
func (c *connection) linger(target *list.List) {
	if c.phase != phaseLingering {
		c.advancePhase(phaseLingering)
		c.DropInput()
		c.lingerStart = c.loop().Now()
		c.lastActivity = c.loop().Now()
		c.CloseWrite()
	}
	c.enterList(target)
	c.updateInputEvents()
	c.updateBufferedBytes()
}

// terminate closes the connection. Its open requests are abandoned.
func (c *connection) terminate() {
	if !c.IsOpen() {
		return
	}
	c.leaveList()
	c.Close()
	c.updateBufferedBytes()
	delete(c.listener.connections, c)
	for _, slot := range c.slots {
		slot.abandon()
	}
	c.slots = nil
}
