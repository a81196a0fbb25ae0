package client

import (
	"bytes"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// Paths that belong to no class.
const (
	pathReadiness = "/up"
	pathCallbacks = "/v1/job-events"
)

// overloadRetryAfter is the Retry-After of requests that are rejected at a limit, unless the settings allow less.
const overloadRetryAfter = time.Second

// handleRequest responds to a request, or admits it to the request table.
func (c *connection) handleRequest(request *http1.Request, slot *responseSlot) {
	path, _, _ := bytes.Cut(request.Target, []byte("?"))
	switch string(path) {
	case pathReadiness:
		c.handleReadiness(request, slot)
	case pathCallbacks:
		c.handleCallback(request, slot)
	default:
		c.admitRequest(request, path, slot)
	}
}

// handleReadiness responds to a load balancer's check of whether this process is ready for requests.
func (c *connection) handleReadiness(request *http1.Request, slot *responseSlot) {
	switch {
	case string(request.Method) != "GET":
		slot.respond(405, "GET only\n")
	case c.listener.draining || !c.listener.table.Ready():
		slot.respond(503, "not ready\n")
	default:
		slot.respond(200, "ready\n")
	}
}

// handleCallback applies a worker's callback about an attempt.
func (c *connection) handleCallback(request *http1.Request, slot *responseSlot) {
	if string(request.Method) != "POST" {
		slot.respond(405, "POST only\n")
		return
	}
	if err := c.applyCallback(request.Body); err != nil {
		slot.respond(400, "bad note\n")
		return
	}
	slot.respond(204, "")
}

func (c *connection) applyCallback(body []byte) error {
	var callback requests.Callback
	if err := jsoniter.ConfigDefault.Unmarshal(body, &callback); err != nil {
		return err
	}
	known, err := c.listener.table.HandleCallback(callback)
	if known {
		c.advanceHistory(historyUsefulRequest)
		c.sendsCallbacks = true
	}
	return err
}

// admitRequest admits a request of a class, or rejects it.
func (c *connection) admitRequest(request *http1.Request, path []byte, slot *responseSlot) {
	pathClass, pathRest, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	class, rejected := c.listener.parser.findClass(request, pathClass)
	if rejected != nil {
		c.reject(slot, nil, rejected)
		return
	}
	arrival, rejected := c.listener.parser.parseArrival(request, class, pathRest)
	if rejected != nil {
		c.reject(slot, nil, rejected)
		return
	}
	if err := c.listener.table.CheckCallID(c.loop().Now(), arrival.CallID, class); err != nil { // before a rejection: it may have run
		c.reject(slot, &arrival, &rejection{409, "X-Call-Id: " + err.Error()})
		return
	}
	if c.rejectOverload(slot, &arrival) {
		return
	}
	if waited := c.loop().Now() - c.currentArrival; waited > 0 { // the client's timeout began when it sent the request
		arrival.Job.Remaining = max(arrival.Job.Remaining-waited, time.Millisecond)
	}
	arrival.Responder = slot
	admitted, err := c.listener.table.Admit(c.loop().Now(), arrival)
	if err != nil {
		c.reject(slot, &arrival, &rejection{409, "X-Call-Id: " + err.Error()})
		return
	}
	slot.request = admitted
	c.advanceHistory(historyUsefulRequest)
	c.sendsCallbacks = false
}

// rejectOverload rejects a request if the process is closing or at a limit, and reports whether it did. The client may retry:
// nothing was sent to a worker.
func (c *connection) rejectOverload(slot *responseSlot, arrival *requests.Arrival) bool {
	listener, table := c.listener, c.listener.table
	switch {
	case listener.closing:
		listener.reportRejection(arrival, 503)
		slot.RespondRejected(0)
		return true
	case table.OpenCount() >= listener.maxRequests,
		!listener.hasMemoryForPayload(len(arrival.Payload.Body)),
		!table.CanRemember(c.loop().Now(), arrival.Job.Class):
		listener.reportRejection(arrival, 503)
		slot.RespondRejected(min(overloadRetryAfter, listener.parser.settings.MaxRetryAfter))
		return true
	}
	return false
}

// reject responds to a request that is not admitted; arrival is nil if it could not be parsed.
func (c *connection) reject(slot *responseSlot, arrival *requests.Arrival, rejected *rejection) {
	c.listener.reportRejection(arrival, rejected.statusCode)
	slot.respond(rejected.statusCode, rejected.reason+"\n")
}

// reportRejection reports a rejected request; arrival is nil if it could not be parsed. The arrival is copied: a pointer to a
// local variable that is passed through the interface of the table would allocate memory for each request.
func (l *Listener) reportRejection(arrival *requests.Arrival, statusCode int) {
	if arrival == nil {
		l.table.ReportRejection(nil, statusCode)
		return
	}
	l.rejectedArrival = *arrival
	l.table.ReportRejection(&l.rejectedArrival, statusCode)
	l.rejectedArrival = requests.Arrival{}
}
