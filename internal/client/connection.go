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
	phaseLingering              // all responses are sent; further input is discarded
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

// requestHistory is the most useful kind of request that a connection has sent. It only advances.
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

// connection is an accepted connection. It responds to requests in the order in which they arrived.
type connection struct {
	eventloop.Stream
	listener       *Listener
	phase          phase
	history        requestHistory
	slots          []*responseSlot // of the requests whose response is not sent yet, in order of arrival
	sendsCallbacks bool            // the last useful request was a callback: the peer is a worker
	continueSent   bool            // the interim response to the request that is being read

	halfClosed      bool          // the peer has closed its sending side
	halfCloseProbed bool          // probe was called since then
	probedAt        time.Duration // the time of the last probe
	inputEnded      bool          // everything that the peer sent before it closed its sending side was read
	panicked        bool          // a handler panicked
	inputOverrun    bool          // more was sent ahead of responses than may be buffered: further input is discarded

	parsed             http1.Progress // of the request at the start of the input
	inputArrivals      []inputArrival // of the unconsumed input
	currentRequestSize int            // bytes of the request being handled, at the start of the input; 0: none
	currentArrival     time.Duration  // when the request being handled arrived

	lastActivity  time.Duration // when a request last began or a transfer last progressed; see closeIfExpired
	lingerStart   time.Duration
	countedBytes  int           // size of the buffers, as included in Listener.bufferedBytes
	heldBytes     int           // as included in Listener.heldBytes
	currentList   *list.List    // one of the listener's lists, or nil
	listElement   *list.Element // in currentList
	memoryElement *list.Element // in Listener.awaitingMemory; nil: the connection does not wait for memory

	clientAddress   netip.AddrPort
	proxyAddress    netip.AddrPort // of the proxy that forwards the client's connection; not valid: none
	proxyHeaderDone bool           // a PROXY header was read, or there is none
}

func (c *connection) loop() *eventloop.Loop { return c.listener.loop }

// isReading reports whether further requests are read.
func (c *connection) isReading() bool { return c.phase == phaseReading }

// advancePhase enters a phase, unless the connection is past it.
func (c *connection) advancePhase(next phase) { c.phase = max(c.phase, next) }

// advanceHistory records a kind of request, unless a more useful one is recorded.
func (c *connection) advanceHistory(history requestHistory) { c.history = max(c.history, history) }

// Priority is higher than that of connections to workers, so that the disconnect of a client is noticed before its request is
// written to a worker, and a worker's callback is applied before the end of the connection that carried its attempt.
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

// HandleEvents sends pending output, reads input, and handles requests.
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
	// EPOLLRDHUP is reported even while input that was sent before the end is unread.
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
	ended, err := c.fillOrDiscard()
	if err != nil {
		return err
	}
	c.inputEnded = c.inputEnded || ended
	return nil
}

// fillOrDiscard reads input once, or discards it if it will not be handled.
func (c *connection) fillOrDiscard() (ended bool, err error) {
	if c.isReading() && c.readAheadRoom() <= 0 {
		c.inputOverrun = true
	}
	if !c.isReading() || c.inputOverrun {
		return c.discardInput()
	}
	if c.history != historyNoRequest && len(c.Input()) == 0 { // a request begins after an idle time
		c.lastActivity = c.loop().Now()
	}
	return c.FillUpTo(c.readAheadRoom())
}

// discardInput reads input that is not handled. Closing a connection with unread input would reset it, and its last response
// might be lost.
func (c *connection) discardInput() (ended bool, err error) {
	n, ended, err := c.Discard()
	if n > 0 {
		c.lastActivity = c.loop().Now()
	}
	return ended, err
}

// handleReset ends a connection that the peer has reset or closed in both directions. Requests in the remaining input are not
// admitted, as no client waits for their responses; callbacks are applied.
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

// probeHalfClosed probes, once, a client that has closed its sending side. A client that has closed the whole connection can't be
// told apart until something is written to it: it then responds with a reset, while one that still waits for its response ignores
// the interim response, as HTTP requires. If the reset arrives in time, the connection ends before its request is sent to a
// worker.
func (c *connection) probeHalfClosed() {
	if c.halfCloseProbed {
		return
	}
	c.probe()
}

// probe writes an interim response, to which a client that has closed the connection responds with a reset.
func (c *connection) probe() {
	c.halfCloseProbed = true
	c.probedAt = c.loop().Clock()
	if c.Send([]byte(http1.ContinueResponse)) != nil || c.ConnectError() != nil {
		c.terminate()
	}
}

// updateInputEvents requests the events for input that are still needed: EPOLLIN until the end of the input is read, and
// EPOLLRDHUP until it was reported once, as it is level-triggered. A reset is always reported.
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

// updateBufferedBytes updates the listener's counts of bytes in buffers, and of those held for responses.
func (c *connection) updateBufferedBytes() {
	size := c.BufferSize()
	c.listener.bufferedBytes += size - c.countedBytes
	c.countedBytes = size
	c.updateHeldBytes()
}

// linger closes the sending side of the connection, and puts it on a list. Input is discarded until the peer closes its side or
// the connection expires: closing the connection with unread input would reset it, and the peer would lose responses that it has
// not read.
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

// terminate closes the connection. Its open requests are reported as abandoned by the client.
func (c *connection) terminate() {
	if !c.IsOpen() {
		return
	}
	c.leaveList()
	c.stopAwaitingMemory()
	c.Close()
	delete(c.listener.connections, c)
	for _, slot := range c.slots {
		slot.abandon()
	}
	c.slots = nil
	c.updateBufferedBytes()
}
