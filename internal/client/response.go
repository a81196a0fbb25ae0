package client

import (
	"log/slog"
	"strconv"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	maxResponseSlots = 16                    // requests of a connection that are handled ahead of responses
	maxUnreadOutput  = http1.MaxBodySize     // bytes of responses; while more wait to be sent, no request is handled
	maxWriteBuffer   = 4 * http1.MaxBodySize // bytes; a larger write buffer is not kept
)

// responseSlot holds the place of a request in the order of a connection's responses (HTTP pipelining). It is the responder of an
// admitted request.
type responseSlot struct {
	connection *connection
	request    *requests.Request // while it is open; nil: it was not admitted, or its response is set
	keepAlive  bool              // the request allows the connection to stay open
	isComplete bool              // the response, in the fields below, is set
	statusCode int
	body       []byte
	retryAfter time.Duration // 0: none
}

// reserveSlot appends a slot for a request. Without keep-alive it is the last slot of the connection.
func (c *connection) reserveSlot(keepAlive bool) *responseSlot {
	slot := &responseSlot{connection: c, keepAlive: keepAlive}
	c.slots = append(c.slots, slot)
	if !keepAlive {
		c.advancePhase(phaseFinishing)
	}
	return slot
}

// RespondResult responds with the result of a worker.
func (s *responseSlot) RespondResult(result []byte) { s.complete(200, result, 0) }

// RespondRejected responds that the request was not executed and may be retried, after retryAfter unless that is 0.
func (s *responseSlot) RespondRejected(retryAfter time.Duration) { s.complete(503, nil, retryAfter) }

// RespondFailed responds that the request failed; it may have been executed.
func (s *responseSlot) RespondFailed() { s.complete(500, nil, 0) }

// respond responds to a request that is not admitted.
func (s *responseSlot) respond(statusCode int, body string) { s.complete(statusCode, []byte(body), 0) }

// complete sets the response, and sends the responses that are due in order.
func (s *responseSlot) complete(statusCode int, body []byte, retryAfter time.Duration) {
	conn := s.connection
	if s.request != nil && conn.isLogEnabled(slog.LevelInfo) {
		conn.logEvent(slog.LevelInfo, "request answered", slog.String("request", s.request.CallID), slog.Int("status", statusCode))
	}
	s.request = nil
	if s.isComplete || !conn.IsOpen() {
		return
	}
	s.isComplete = true
	s.statusCode = statusCode
	s.body = body
	s.retryAfter = retryAfter
	conn.loop().Protect(conn, conn.sendResponses)
}

// abandon reports that the client of an open request has disconnected.
func (s *responseSlot) abandon() {
	request := s.request
	if request == nil {
		return
	}
	c := s.connection
	if c.isLogEnabled(slog.LevelInfo) {
		c.logEvent(slog.LevelInfo, "request abandoned by its client", slog.String("request", request.CallID))
	}
	s.request = nil
	c.listener.table.ClientDisconnected(request)
}

// failAll responds to all requests that were read, including the one whose handling panicked, and ends the connection.
func (c *connection) failAll() {
	if !c.IsOpen() || c.phase == phaseLingering {
		c.terminate()
		return
	}
	if len(c.Input()) > 0 && c.currentRequestSize == 0 && c.isReading() { // the request that panicked has no slot yet
		c.reserveSlot(false)
	}
	unsent := c.slots
	c.slots = nil
	c.advancePhase(phaseFinishing)
	for i, slot := range unsent {
		c.slots = unsent[i+1:] // so that only the last response has Connection: close
		if !slot.isComplete {
			slot.isComplete = true
			slot.statusCode = 500
			slot.body = nil
			slot.retryAfter = 0
		}
		if err := c.sendResponse(slot); err != nil {
			c.terminate()
			break
		}
	}
	c.slots = nil
	for _, slot := range unsent {
		slot.abandon()
	}
	c.readRequests()
}

// sendResponses sends the responses that are complete, in order, up to the first one that is not.
func (c *connection) sendResponses() {
	for c.IsOpen() && len(c.slots) > 0 && c.slots[0].isComplete {
		slot := c.slots[0]
		c.slots = c.slots[1:]
		if len(c.slots) == 0 {
			c.slots = nil
		}
		c.lastActivity = c.loop().Now()
		// The last response of a connection that ends has Connection: close.
		if c.closesAfterResponse() && len(c.slots) == 0 && len(c.Input()) == c.currentRequestSize {
			c.advancePhase(phaseFinishing)
		}
		if err := c.sendResponse(slot); err != nil {
			c.terminate()
			return
		}
	}
	c.updateBufferedBytes()
	if c.IsOpen() && (len(c.slots) == 0 || len(c.Input()) > 0) {
		c.loop().StartTimer(0, c, c.readRequests) // buffered input is handled by a timer, as this may run within a step
	}
}

func (c *connection) sendResponse(slot *responseSlot) error {
	fields := ""
	if slot.retryAfter > 0 {
		fields = "Retry-After: " + strconv.FormatFloat(slot.retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	keepAlive := c.isReading() || len(c.slots) > 0
	buffer := http1.AppendResponse(c.listener.writeBuffer[:0], slot.statusCode, fields, slot.body, keepAlive)
	c.listener.writeBuffer = buffer[:0]
	if cap(buffer) > maxWriteBuffer {
		c.listener.writeBuffer = nil
	}
	return c.Send(buffer)
}
