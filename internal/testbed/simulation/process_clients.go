package simulation

import (
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

// clientConn is a client's connection, and the responder of the request in flight on it.
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
		// Fewer requests than connections are allowed, so at the limit there is an idle connection to close.
		if len(p.clients) >= p.maxClients && p.idleClients.next != &p.idleClients {
			p.idleClients.next.close()
		}
		conn = &clientConn{process: p, conn: id}
		p.clients[id] = conn
	case conn.prev == nil:
		panic("simulation: connection " + strconv.FormatUint(uint64(id), 16) + " asks again before its answer")
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

// zeroBody backs every request body: only its length counts.
var zeroBody [64 << 10]byte

// RespondResult responds with a worker's result.
func (k *clientConn) RespondResult(result []byte) { k.respond(200, 0, string(result)) }

// RespondRejected rejects the request; the client may retry after the given time.
func (k *clientConn) RespondRejected(after time.Duration) {
	k.respond(503, after.Round(time.Millisecond), "")
}

// RespondFailed responds that the request has failed, possibly after it was executed.
func (k *clientConn) RespondFailed() { k.respond(500, 0, "") }

func (k *clientConn) respond(status int, after time.Duration, result string) {
	k.process.emit(simapi.ResponseWritten{Conn: k.conn, RequestID: k.requestID, Status: status, RetryAfter: after, Result: result})
	k.request = nil
	if k.process.rejectsRequests {
		k.close()
		return
	}
	last := k.process.idleClients.prev
	k.prev, k.next = last, &k.process.idleClients
	last.next, k.process.idleClients.prev = k, k
}

func (k *clientConn) removeIdle() {
	if k.prev != nil {
		k.prev.next, k.next.prev = k.next, k.prev
		k.prev, k.next = nil, nil
	}
}

func (k *clientConn) close() {
	k.removeIdle()
	delete(k.process.clients, k.conn)
	k.process.emit(simapi.ClientConnClosed{Conn: k.conn})
}

func (k *clientConn) clientClosed() {
	k.removeIdle()
	delete(k.process.clients, k.conn)
	if q := k.request; q != nil {
		k.request = nil
		k.process.requests.ClientDisconnected(q)
	}
}
