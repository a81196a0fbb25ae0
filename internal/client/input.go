package client

import (
	"errors"
	"log/slog"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
)

// What is read ahead of responses: a whole request and the start of another; more where there is memory. What comes beyond
// that is discarded, so that the client's end is noticed all the same: the requests that are kept are answered, one more is
// rejected, and the connection ends.
const (
	maxReadAhead           = http1.MaxHeaderSize + http1.MaxBodySize
	maxReadAheadWithMemory = 8 * maxReadAhead
)

// readRequests handles what there is of whole requests, and then sees to what is to become of the connection.
func (c *connection) readRequests() {
	for c.canReadRequest() && c.readProxyHeader() {
		if more := c.readRequest(); !more {
			break
		}
	}
	if c.inputOverrun && c.isReading() && len(c.Input()) == 0 && len(c.slots) < maxResponseSlots {
		c.rejectOverrun()
	}
	if !c.IsOpen() {
		return
	}
	if !c.isReading() {
		c.DropInput()
		c.arrivals = nil
	}
	c.recordArrival()
	c.inputOverrun = c.inputOverrun || c.exceedsReadAhead()
	if c.halfClosed && len(c.slots) > 0 {
		c.probeHalfClosed()
		if !c.IsOpen() {
			return
		}
	}
	c.updateInputEvents()
	c.finishOrBecomeIdle()
}

func (c *connection) canReadRequest() bool {
	return c.isReading() && c.IsOpen() && len(c.slots) < maxResponseSlots && len(c.Output()) <= maxUnreadOutput && len(c.Input()) > 0
}

// readRequest handles the first request of the input. more is false if there is none that is whole.
func (c *connection) readRequest() (more bool) {
	request := &c.listener.request
	size, err := request.Parse(c.Input())
	var parseError *http1.ParseError
	if errors.As(err, &parseError) {
		c.rejectInput(parseError.StatusCode, parseError.Reason+"\n")
		return false
	}
	if err != nil {
		c.awaitRest(request)
		return false
	}
	c.leaveWaitingList()
	if c.history == historyNoRequest && c.isLogEnabled(slog.LevelInfo) {
		c.logEvent(slog.LevelInfo, "client connection open")
	}
	c.advanceHistory(historyRequest)
	c.continueSent = false
	c.lastActivity = c.loop().Now()
	c.currentRequestSize = size
	c.currentArrival = c.arrivalTime(size)
	c.handleRequest(request, c.reserveSlot(request.KeepAlive))
	c.currentRequestSize = 0
	if c.IsOpen() {
		c.Consume(size)
	}
	return true
}

// awaitRest sees to a request of which the rest is to come.
func (c *connection) awaitRest(request *http1.Request) {
	if c.history == historyUsefulRequest {
		c.leaveWaitingList()
	}
	switch {
	case c.inputOverrun:
		c.rejectOverrun()
	case c.listener.bufferedBytes > c.listener.maxBufferedBytes && len(c.Input()) > eventloop.MaxIdleBuffer:
		c.rejectInput(503, "no memory for a large request now\n")
	case request.ExpectContinue && !c.continueSent && len(c.slots) == 0:
		c.continueSent = true
		_ = c.Send([]byte(http1.ContinueResponse))
	}
}

// finishOrBecomeIdle ends a connection on which nothing is to come any more, or puts it among those between requests.
func (c *connection) finishOrBecomeIdle() {
	switch {
	case len(c.slots) > 0 || len(c.Output()) > 0:
	case c.inputEnded:
		c.terminate()
		return
	case c.phase == phaseFinishing:
		c.linger(&c.listener.finished)
	case c.isReading() && len(c.Input()) == 0:
		c.becomeIdle()
		if c.closesAfterResponse() && c.history != historyNoRequest {
			c.linger(&c.listener.finished)
		}
	}
	c.updateBufferedBytes()
}

// rejectInput responds to what can't be read any further; the connection ends with that.
func (c *connection) rejectInput(statusCode int, reason string) {
	c.leaveWaitingList()
	c.listener.table.ReportRejection(nil, statusCode)
	c.reserveSlot(false).respond(statusCode, reason)
}

func (c *connection) rejectOverrun() { c.rejectInput(503, "too much sent ahead of answers\n") }

// exceedsReadAhead reports whether more was read ahead of responses than is kept.
func (c *connection) exceedsReadAhead() bool {
	size := len(c.Input())
	buffered, limit := c.listener.bufferedBytes, c.listener.maxBufferedBytes
	switch {
	case size > maxReadAheadWithMemory:
		return true
	case size > maxReadAhead && buffered > limit/2:
		return true
	default:
		return size > eventloop.MaxIdleBuffer && buffered > limit && len(c.slots) > 0
	}
}
