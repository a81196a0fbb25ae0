package process

import (
	"bytes"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/testbed/simapi"
)

// client is a usual client's connection to a scheduler. It carries one request at a time.
type client struct {
	socketConn
	driver    *driver
	id        simapi.Conn
	target    netip.AddrPort
	scheduler int
	request   *simapi.ClientRequest // that awaits its answer; nil: none does
	resent    bool                  // the request crossed a close, and has been sent once more
}

// sendRequest carries a client's request over its connection, which begins with the first.
func (d *driver) sendRequest(sched int, message *simapi.RequestReceived) {
	conn := d.clients[message.Conn]
	if conn == nil {
		conn = &client{driver: d, id: message.Conn, scheduler: sched, target: d.addresses.scheduler(sched)}
		d.clients[message.Conn] = conn
		if err := d.dial(&conn.socketConn, d.addresses.client(uint64(message.Conn)), conn.target, conn); err != nil {
			conn.connFailed(err)
			return
		}
	}
	conn.request, conn.resent = message.Request, false
	d.requestForms.add(message.Request, d.now)
	conn.sendRequest()
}

func (c *client) sendRequest() {
	c.driver.writeBuffer = c.driver.appendRequest(c.driver.writeBuffer[:0], c.target, c.request)
	c.write(c.driver.writeBuffer)
}

// closeClient closes a client's connection, whatever awaits an answer on it.
func (d *driver) closeClient(id simapi.Conn) {
	if c := d.clients[id]; c != nil {
		delete(d.clients, id)
		c.close()
	}
	if o := d.misbehaving[id]; o != nil {
		o.close()
	}
}

func (c *client) dataReceived(int) {
	for len(c.received) > 0 && !c.closed {
		a, body, n, err := c.driver.reader.response(c.received, false)
		if err != nil || n > 0 && c.request == nil { // it can't be read, or nobody has asked for it
			c.reset()
			c.connCut()
			return
		}
		if n == 0 {
			return
		}
		c.responseReceived(a, body)
		if c.consume(n); a.Close { // so it says; there is no need to wait for it
			c.close()
			c.connCut()
		}
	}
}

func (c *client) responseReceived(a *http.Response, body []byte) {
	message := simapi.ResponseWritten{
		Conn: c.id, RequestID: c.request.RequestID, Status: a.StatusCode, Result: string(body), RetryAfter: retryAfter(a.Header),
	}
	c.request = nil
	c.driver.addOutput(c.scheduler, message)
}

// retryAfter is the advice in an answer: seconds, whole or decimal. A date, or what makes no sense, is none.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s > 0 && s < 1e6) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// connCut tells that the scheduler has ended the connection.
func (c *client) connCut() {
	delete(c.driver.clients, c.id)
	c.driver.addOutput(c.scheduler, simapi.ClientConnClosed{Conn: c.id})
}

// connFailed tells that it never came up.
func (c *client) connFailed(err error) {
	if !c.driver.failIfLocal(err) {
		delete(c.driver.clients, c.id)
		c.driver.addOutput(c.scheduler, simapi.ClientConnFailed{Conn: c.id})
	}
}

func (c *client) connClosed(err error) {
	switch {
	case !c.connected:
		c.connFailed(err)
		return
	case c.request != nil && err == nil && len(c.received) > 0: // an answer may end with its connection
		if a, body, n, wrong := c.driver.reader.response(c.received, true); wrong == nil && n > 0 {
			c.responseReceived(a, body)
		}
	case c.request != nil && err != nil && !c.resent && c.driver.schedulers[c.scheduler].alive:
		// Closed by a scheduler that had not read the request, the connection is reset; had it read it, it would end
		// without one. Such a request is sent once more, on a new connection.
		c.resent = true
		if err := c.driver.dial(&c.socketConn, c.driver.addresses.client(uint64(c.id)), c.target, c); err == nil {
			c.sendRequest()
			return
		} else if c.driver.failIfLocal(err) {
			return
		}
	}
	c.connCut()
}

// ---- The request as it is written ----

// appendRequest writes a request as the protocol shows it.
func (d *driver) appendRequest(b []byte, to netip.AddrPort, clientRequest *simapi.ClientRequest) []byte {
	class, tenant := d.spec.Classes[clientRequest.Class].Name, ""
	if clientRequest.Tenant < len(d.spec.Tenants) {
		tenant = d.spec.Tenants[clientRequest.Tenant].Name
	}
	b = append(append(b, "POST /"...), class...)
	b = append(append(b, '/'), requestSubject(clientRequest)...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", to.String())
	b = http1.AppendField(b, "X-Call-Id", clientRequest.RequestID)
	b = http1.AppendField(b, "X-Call-Class", class)
	b = http1.AppendField(b, "X-Caller", tenant)
	b = append(b, "X-Budget-Ms: "...)
	b = strconv.AppendInt(b, clientRequest.Budget.Milliseconds(), 10)
	b = append(b, "\r\n"...)
	b = http1.AppendField(b, "Idempotency-Key", clientRequest.IdempotencyKey)
	if clientRequest.Retry {
		b = http1.AppendField(b, "X-Again", "1")
	}
	if clientRequest.CostHint > 0 {
		b = append(b, "X-Call-Cost: "...)
		b = strconv.AppendInt(b, max(1, clientRequest.CostHint.Microseconds()), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "X-Call-Info: slots="...)
	b = strconv.AppendFloat(b, clientRequest.Slots, 'f', -1, 64)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(clientRequest.BodyLength), 10)
	b = append(b, "\r\n\r\n"...)
	return appendBody(b, clientRequest.RequestID, clientRequest.BodyLength)
}

// requestSubject is the last part of a request's path: what it is about, or else its id.
func requestSubject(a *simapi.ClientRequest) string {
	if a.IdempotencyKey != "" {
		return a.IdempotencyKey
	}
	return a.RequestID
}

// appendBody writes a request's body, which follows from its id and length.
func appendBody(b []byte, call string, n int) []byte {
	for end := len(b) + n; len(b) < end; {
		b = append(b, call[:min(len(call), end-len(b))]...)
		if len(b) < end {
			b = append(b, '\n')
		}
	}
	return b
}

// formTable remembers in what form requests were sent, so that a worker can tell one that no client sent like that.
// What is older than keepForms may be forgotten: no request is out for that long.
type formTable struct {
	current, before map[string]*simapi.ClientRequest
	since           time.Duration
}

const formRetention = time.Minute

func (f *formTable) add(a *simapi.ClientRequest, now time.Duration) {
	if f.current == nil || now-f.since > formRetention {
		f.before, f.current, f.since = f.current, map[string]*simapi.ClientRequest{}, now
	}
	f.current[a.RequestID] = a
}

func (f *formTable) find(call string) *simapi.ClientRequest {
	if a := f.current[call]; a != nil {
		return a
	}
	return f.before[call]
}

// describeAlteration names what a worker was sent otherwise than a client sent it; empty: nothing.
func (d *driver) describeAlteration(a *simapi.ClientRequest, q *http.Request, key string, body []byte) string {
	path, ok := strings.CutPrefix(q.RequestURI, "/"+d.spec.Classes[a.Class].Name+"/")
	switch {
	case q.Method != http.MethodPost:
		return "method"
	case !ok || path != requestSubject(a):
		return "path"
	case key != a.IdempotencyKey:
		return "Idempotency-Key"
	case !bytes.Equal(body, appendBody(nil, a.RequestID, a.BodyLength)):
		return "body"
	}
	return ""
}
