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

// phase says what is still to come of a client connection that is open. It only ever advances.
type phase int

const (
	phaseReading   phase = iota // requests are read
	phaseFinishing              // no further request is read; the connection ends with its last response
	phaseLingering              // all responses are sent, and what the peer still sends is discarded
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
	return fmt.Sprintf("clientPhase(%d)", int(p))
}

// requestHistory says what requests a client connection has had so far. It only ever advances.
type requestHistory int

const (
	historyNoRequest     requestHistory = iota
	historyRequest                      // whole ones, of no use: anybody can ask whether the scheduler is up
	historyUsefulRequest                // one was admitted, or was a callback of one
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

// connection is one accepted connection. Its requests are answered in the order in which they came.
type connection struct {
	eventloop.Stream
	listener       *Listener
	phase          phase
	history        requestHistory
	slots          []*responseSlot // of requests without a response, the first one first
	sendsCallbacks bool            // the last useful request was a callback: the peer is a worker
	continueSent   bool            // for the request that is being read

	halfClosed      bool          // the peer has ended its side
	halfCloseProbed bool          // and has been sent something to find out whether it still reads
	probedAt        time.Duration // when it last was
	inputEnded      bool          // and all that it sent was read
	panicked        bool          // what it is in the midst of can't be gone on with
	inputOverrun    bool          // it has sent too much ahead of its responses: what still comes is discarded

	arrivals           []arrival     // of the input
	currentRequestSize int           // bytes at the start of the input that are the request being handled; 0: none is
	currentArrival     time.Duration // of that request

	lastActivity   time.Duration // when something last began or went on, see closeIfExpired
	lingerStart    time.Duration
	countedBytes   int           // that the listener has counted for the buffers
	waitingList    *list.List    // of the listener, if the connection is on one
	waitingElement *list.Element // there

	clientAddress   netip.AddrPort
	proxyAddress    netip.AddrPort // of the proxy that the client came by; not valid: none
	proxyHeaderDone bool           // it is known whether a PROXY header comes first
}

func (c *connection) loop() *eventloop.Loop { return c.listener.loop }

// isReading reports whether further requests are read.
func (c *connection) isReading() bool { return c.phase == phaseReading }

// advancePhase goes on to a phase, unless the connection is past it.
func (c *connection) advancePhase(phase phase) { c.phase = max(c.phase, phase) }

// advanceHistory takes in that a request has come.
func (c *connection) advanceHistory(history requestHistory) {
	c.history = max(c.history, history)
}

// Priority puts the events of clients before those of workers. A client that has left is known before a connection that has
// just come up is written to, and what a worker says of an attempt before the end of the connection that carried it.
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

// HandleEvents sends and reads what can be, and handles requests.
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
	// The event for the peer's end comes however much it has sent before that.
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
	} else if c.history != historyNoRequest && len(c.Input()) == 0 { // a request begins, however long the connection was idle
		c.lastActivity = c.loop().Now()
	}
	ended, err := read()
	if err != nil {
		return err
	}
	c.inputEnded = c.inputEnded || ended
	return nil
}

// discardInput reads what nobody needs: closed over unread bytes, the connection would be reset, and the response lost.
func (c *connection) discardInput() (ended bool, err error) {
	n, ended, err := c.Discard()
	if n > 0 {
		c.lastActivity = c.loop().Now()
	}
	return ended, err
}

// handleReset ends a connection that is gone both ways. Nobody waits for a response, so no request is admitted of what came
// before that; callbacks are applied all the same.
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

// probeHalfClosed finds out whether a client that has ended its side still reads. One that has closed its connection is gone,
// one that has only finished writing still waits, and both look alike until something is written: a closed connection answers
// an interim response with a reset, and any client must skip one. Where the reset is there at once, the connection ends
// before its request is sent to a worker.
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

// updateInputEvents asks epoll for what matters now. A client is read from up to its end, as that lies behind all that it has
// sent; there are events for that end for as long as they are asked for, and for a reset always.
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

// updateBufferedBytes keeps the listener's count right.
func (c *connection) updateBufferedBytes() {
	size := c.BufferSize()
	c.listener.bufferedBytes += size - c.countedBytes
	c.countedBytes = size
}

// linger ends this side of the connection, and puts it on a list. What the peer still sends is discarded up to its own end,
// for a while: closed over unread bytes, a connection is reset, and the peer loses what it has not read of the responses.
func (c *connection) linger(waiting *list.List) {
	if c.phase != phaseLingering {
		c.advancePhase(phaseLingering)
		c.DropInput()
		c.lingerStart = c.loop().Now()
		c.lastActivity = c.loop().Now()
		c.CloseWrite()
	}
	c.enterWaitingList(waiting)
	c.updateInputEvents()
	c.updateBufferedBytes()
}

// terminate closes the connection; the requests on it have lost their client.
func (c *connection) terminate() {
	if !c.IsOpen() {
		return
	}
	c.leaveWaitingList()
	c.Close()
	c.updateBufferedBytes()
	delete(c.listener.connections, c)
	for _, slot := range c.slots {
		slot.abandon()
	}
	c.slots = nil
}
