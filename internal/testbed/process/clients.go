package process

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"valvecove/internal/testbed/simapi"
)

// client is the connection of a well-behaved client to a scheduler. It carries one request at a time.
type client struct {
	socketConn
	driver    *driver
	id        simapi.Conn
	target    netip.AddrPort
	scheduler int
	request   *simapi.ClientRequest // in flight; nil while the connection is idle
	resent    bool                  // the request was sent again, as the scheduler closed the connection before reading it
}

// sendRequest sends a client's request on its connection, and opens the connection for the first request.
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

// closeClient closes a client's connection, also while a request is in flight.
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
		if err != nil || n > 0 && c.request == nil { // malformed, or a response without a request
			c.reset()
			c.reportClosed()
			return
		}
		if n == 0 {
			return
		}
		c.responseReceived(a, body)
		if c.consume(n); a.Close { // Connection: close; no need to wait until the scheduler closes
			c.close()
			c.reportClosed()
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

// retryAfter returns the Retry-After of a response: whole or decimal seconds. It returns 0 if there is none, or a date or
// an invalid value.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s > 0 && s < 1e6) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// reportClosed reports to the environment that the scheduler has closed the connection.
func (c *client) reportClosed() {
	delete(c.driver.clients, c.id)
	c.driver.addOutput(c.scheduler, simapi.ClientConnClosed{Conn: c.id})
}

// connFailed reports to the environment that the connection could not be established.
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
	case c.request != nil && err == nil && len(c.received) > 0: // a response may end with the connection
		if a, body, n, wrong := c.driver.reader.response(c.received, true); wrong == nil && n > 0 {
			c.responseReceived(a, body)
		}
	case c.request != nil && err != nil && !c.resent && c.driver.schedulers[c.scheduler].alive:
		// A reset means that the scheduler closed the connection before it read the request; if it had read it, the
		// connection would have ended without a reset. So the request is sent once more, on a new connection.
		c.resent = true
		if err := c.driver.dial(&c.socketConn, c.driver.addresses.client(uint64(c.id)), c.target, c); err == nil {
			c.sendRequest()
			return
		} else if c.driver.failIfLocal(err) {
			return
		}
	}
	c.reportClosed()
}
