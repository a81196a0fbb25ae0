package simulation

import (
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

// clientConn is a client's connection, and the responder for the request in flight on it.
type clientConn struct {
	process    *process
	conn       simapi.Conn
	request    *requests.Request // in flight; nil: none
	requestID  string
	prev, next *clientConn // in the ring of idle connections
}

func (p *process) requestReceived(id simapi.Conn, clientRequest *simapi.ClientRequest) {
	conn := p.clients[id]
	switch {
	case conn == nil:
		// At the limit there is an idle connection to close, as fewer open requests than connections are allowed.
		if len(p.clients) >= p.maxClients && p.idleClients.next != &p.idleClients {
			p.idleClients.next.close()
		}
		conn = &clientConn{process: p, conn: id}
		p.clients[id] = conn
	case conn.prev == nil:
		panic("simulation: connection " + strconv.FormatUint(uint64(id), 16) + " has a request before the response to the previous one")
	default:
		conn.removeIdle()
	}
	conn.requestID = clientRequest.RequestID
	switch {
	case p.rejectsRequests:
		conn.respond(503, 0, "")
		return
	case p.requests.OpenCount() >= p.maxRequests || p.requests.PayloadBytes()+clientRequest.BodyLength > p.bodyBudget:
		conn.respond(503, min(fullRetryAfter, p.scheduler.settings.MaxRetryAfter), "")
		return
	}
	request, err := p.requests.Admit(p.now, requests.Arrival{
		CallID: clientRequest.RequestID, Responder: conn,
		Job: dispatch.Job{
			Class: clientRequest.Class, Tenant: clientRequest.Tenant, Remaining: clientRequest.Budget.Truncate(time.Millisecond),
			Hint: clientRequest.CostHint.Truncate(time.Microsecond), Slots: max(1, clientRequest.Slots), Retry: clientRequest.Retry,
		},
		Payload: requests.Payload{Method: "POST", IdempotencyKey: clientRequest.IdempotencyKey, Body: zeroBody[:min(clientRequest.BodyLength, len(zeroBody))]},
	})
	if err != nil {
		conn.respond(409, 0, "")
		return
	}
	conn.request = request
	if len(p.newRequestIDs) == 0 {
		p.firstRequest = request.ID
	}
	p.newRequestIDs = append(p.newRequestIDs, clientRequest.RequestID)
}

// zeroBody is the memory of every request body, as only the length of a body matters.
var zeroBody [64 << 10]byte

// RespondResult responds with a worker's result.
func (c *clientConn) RespondResult(result []byte) { c.respond(200, 0, string(result)) }

// RespondRejected rejects the request; the client may retry after the given time.
func (c *clientConn) RespondRejected(after time.Duration) {
	c.respond(503, after.Round(time.Millisecond), "")
}

// RespondFailed responds that the request has failed, possibly after it was executed.
func (c *clientConn) RespondFailed() { c.respond(500, 0, "") }

func (c *clientConn) respond(status int, after time.Duration, result string) {
	c.process.emit(simapi.ResponseWritten{Conn: c.conn, RequestID: c.requestID, Status: status, RetryAfter: after, Result: result})
	c.request = nil
	if c.process.rejectsRequests {
		c.close()
		return
	}
	last := c.process.idleClients.prev
	c.prev, c.next = last, &c.process.idleClients
	last.next, c.process.idleClients.prev = c, c
}

func (c *clientConn) removeIdle() {
	if c.prev != nil {
		c.prev.next, c.next.prev = c.next, c.prev
		c.prev, c.next = nil, nil
	}
}

func (c *clientConn) close() {
	c.removeIdle()
	delete(c.process.clients, c.conn)
	c.process.emit(simapi.ClientConnClosed{Conn: c.conn})
}

func (c *clientConn) clientClosed() {
	c.removeIdle()
	delete(c.process.clients, c.conn)
	if request := c.request; request != nil {
		c.request = nil
		c.process.requests.ClientDisconnected(request)
	}
}
