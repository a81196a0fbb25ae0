package client

import (
	"errors"
	"log/slog"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
)

// Limits of the input, in bytes, that a connection buffers ahead of responses: a complete request and part of another one, or
// more while the buffers of all connections are within half of their limit. Input beyond the limit is read and discarded, so that
// the client's disconnect is noticed. The buffered requests get their responses, one more is rejected, and the connection ends.
const (
	maxReadAhead           = http1.MaxHeaderSize + http1.MaxBodySize
	maxReadAheadWithMemory = 8 * maxReadAhead
)

// readRequests handles the complete requests in the input, and updates the state of the connection.
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
		c.inputArrivals = nil
	}
	c.recordInputArrival()
	c.inputOverrun = c.inputOverrun || c.exceedsReadAhead()
	if c.halfClosed && len(c.slots) > 0 {
		c.probeHalfClosed()
		if !c.IsOpen() {
			return
		}
	}
	c.updateInputEvents()
	c.finishOrEnterIdleList()
}

// canReadRequest reports whether the next request of the input may be handled now. If only memory is missing, the connection waits
// for it.
func (c *connection) canReadRequest() bool {
	isWanted := c.isReading() && c.IsOpen() && len(c.Input()) > 0
	hasRoom := len(c.slots) < maxResponseSlots && len(c.Output()) <= maxUnreadOutput
	if !isWanted || !hasRoom {
		return false
	}
	if !c.hasMemoryForResponse() {
		c.awaitMemory()
		return false
	}
	return true
}

// readRequest handles the first request of the input. more is false if it is not complete, or ends the connection.
func (c *connection) readRequest() (more bool) {
	request := &c.listener.request
	size, err := request.Resume(c.Input(), &c.parsed)
	var parseError *http1.ParseError
	if errors.As(err, &parseError) {
		c.rejectInput(parseError.StatusCode, parseError.Reason+"\n")
		return false
	}
	if err != nil {
		c.handlePartialRequest(request)
		return false
	}
	c.leaveList()
	if c.history == historyNoRequest && c.isLogEnabled(slog.LevelInfo) {
		c.logEvent(slog.LevelInfo, "client connection open")
	}
	c.advanceHistory(historyRequest)
	c.continueSent = false
	c.lastActivity = c.loop().Now()
	c.currentRequestSize = size
	c.currentArrival = c.inputArrivalTime(size)
	c.handleRequest(request, c.reserveSlot(request.KeepAlive))
	c.currentRequestSize = 0
	if c.IsOpen() {
		c.Consume(size)
		c.updateHeldBytes()
	}
	return true
}

// handlePartialRequest rejects a partial request that can't be buffered, or sends the interim response that the client expects
// before the body.
func (c *connection) handlePartialRequest(request *http1.Request) {
	if c.history == historyUsefulRequest { // such a connection is not evicted while a request is being received
		c.leaveList()
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

// finishOrEnterIdleList ends a connection that has no further requests, or puts one that is between requests on its list.
func (c *connection) finishOrEnterIdleList() {
	switch {
	case len(c.slots) > 0 || len(c.Output()) > 0:
	case c.inputEnded:
		c.terminate()
		return
	case c.phase == phaseFinishing:
		c.linger(&c.listener.finished)
	case c.isReading() && len(c.Input()) == 0:
		c.enterIdleList()
		if c.closesAfterResponse() && c.history != historyNoRequest {
			c.linger(&c.listener.finished)
		}
	}
	c.updateBufferedBytes()
}

// rejectInput rejects input that is malformed, incomplete or too large, and stops reading. The connection ends with the response.
func (c *connection) rejectInput(statusCode int, reason string) {
	c.leaveList()
	c.listener.table.ReportRejection(nil, statusCode)
	c.reserveSlot(false).respond(statusCode, reason)
}

func (c *connection) rejectOverrun() { c.rejectInput(503, "too much sent ahead of answers\n") }

// readAheadRoom returns how many bytes may be read, apart from the limits of exceedsReadAhead. While the buffers of all connections
// exceed their limit, a connection that awaits a response keeps little more than one that is idle: it would add a read otherwise.
func (c *connection) readAheadRoom() int {
	if len(c.slots) == 0 || c.listener.bufferedBytes <= c.listener.maxBufferedBytes {
		return maxReadAhead
	}
	return eventloop.MaxIdleBuffer - len(c.Input())
}

// exceedsReadAhead reports whether more input was read ahead of responses than may be buffered.
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
