package client

import (
	"log/slog"
	"strconv"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	// maxResponseSlots is how many requests of a connection are read ahead of responses. A client sends one at a time; one
	// that does not wait for its responses is served in order, and the time of each request counts from when it came.
	maxResponseSlots = 16
	// maxUnreadOutput is how much of a connection's responses may wait to be sent before no request is read any more.
	maxUnreadOutput = http1.MaxBodySize
	// maxWriteBuffer is how large a buffer is kept to write responses in.
	maxWriteBuffer = 4 * http1.MaxBodySize
)

// responseSlot is a request's place in the order of a connection's responses. It is the responder of an admitted request.
type responseSlot struct {
	connection *connection
	request    *requests.Request // while it is served; nil: it was not admitted, or is over
	keepAlive  bool              // by the request, the connection may go on
	isComplete bool              // what follows is set
	statusCode int
	body       []byte
	retryAfter time.Duration // 0: no advice
}

// reserveSlot gives a request the next slot; one that does not keep the connection alive is the last.
func (c *connection) reserveSlot(keepAlive bool) *responseSlot {
	slot := &responseSlot{connection: c, keepAlive: keepAlive}
	c.slots = append(c.slots, slot)
	if !keepAlive {
		c.advancePhase(phaseFinishing)
	}
	return slot
}

// RespondResult responds with what a worker has made.
func (s *responseSlot) RespondResult(result []byte) { s.complete(200, result, 0) }

// RespondRejected tells the client that it may come back.
func (s *responseSlot) RespondRejected(retryAfter time.Duration) { s.complete(503, nil, retryAfter) }

// RespondFailed promises nothing.
func (s *responseSlot) RespondFailed() { s.complete(500, nil, 0) }

// respond responds to a request that was not admitted.
func (s *responseSlot) respond(statusCode int, body string) { s.complete(statusCode, []byte(body), 0) }

// complete sets the response, and sends what is next in order.
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

// abandon takes in that the client is gone.
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

// failAll responds to all requests that were read, also to one in the midst of which a panic came, and ends the connection.
func (c *connection) failAll() {
	if !c.IsOpen() || c.phase == phaseLingering {
		c.terminate()
		return
	}
	if len(c.Input()) > 0 && c.currentRequestSize == 0 && c.isReading() { // it has no slot yet
		c.reserveSlot(false)
	}
	unsent := c.slots
	c.slots = nil
	c.advancePhase(phaseFinishing)
	for i, slot := range unsent {
		c.slots = unsent[i+1:] // the last response says that the connection ends
		if !slot.isComplete {
			slot.isComplete, slot.statusCode, slot.body, slot.retryAfter = true, 500, nil, 0
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

// sendResponses sends the responses that are next in order and complete.
func (c *connection) sendResponses() {
	for c.IsOpen() && len(c.slots) > 0 && c.slots[0].isComplete {
		slot := c.slots[0]
		c.slots = c.slots[1:]
		if len(c.slots) == 0 {
			c.slots = nil
		}
		c.lastActivity = c.loop().Now()
		// A connection that ends says so with its last response.
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
		c.loop().StartTimer(0, c, c.readRequests) // what came meanwhile is handled next, though not amid a step
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
