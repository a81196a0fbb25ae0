package process

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/http1"
	"valvecove/internal/testbed/simapi"
)

const (
	callbackTimeout     = time.Second     // a callback without a response by then has failed (driver.callbackTimeout)
	callbackIdleTimeout = 5 * time.Second // an idle connection is closed after this time
	maxCallbackCalls    = 4               // in flight from one worker to one scheduler; the queued ones time out too
)

// callbackPool holds a worker's connections to a scheduler, on which it sends callbacks.
type callbackPool struct {
	driver            *driver
	scheduler, worker int
	idle              []*callbackConn // most recently used last
	open              []*callbackConn // all connections, idle ones included
	waiting           []*callbackCall // queued until a connection is available
}

// callbackCall is one callback request to a scheduler, in flight or queued.
type callbackCall struct {
	id    uint64
	body  []byte
	timer *timer        // its timeout
	conn  *callbackConn // the connection on which it is in flight; nil while it is queued
}

// callbackConn is a connection from a worker to a scheduler. It carries one callback at a time.
type callbackConn struct {
	socketConn
	pool  *callbackPool
	call  *callbackCall // in flight; nil while the connection is idle
	timer *timer        // the idle timeout
}

// sendCallback sends a callback to a scheduler, as soon as a connection is available.
func (d *driver) sendCallback(sched int, message *simapi.CallbackReceived) {
	n := message.Callback
	body, err := jsoniter.ConfigDefault.Marshal(callbackForm{n.CallID, n.EndpointID, n.State, n.Progress, n.Result})
	if err != nil {
		d.fail(err)
		return
	}
	s := d.schedulers[sched]
	p := s.callbackPools[message.Worker]
	if p == nil {
		p = &callbackPool{driver: d, scheduler: sched, worker: message.Worker}
		s.callbackPools[message.Worker] = p
	}
	c := &callbackCall{id: message.CallbackID, body: body}
	c.timer = d.after(d.callbackTimeout, func() { p.callTimedOut(c) })
	p.waiting = append(p.waiting, c)
	p.startWaiting()
}

// callbackForm is the JSON form of a callback.
type callbackForm struct {
	ID     string  `json:"id"`
	From   string  `json:"from"`
	State  string  `json:"state"`
	Share  float64 `json:"share,omitempty"`
	Result *string `json:"result,omitempty"`
}

// startWaiting starts queued callbacks while there are idle connections, or new ones may be opened.
func (p *callbackPool) startWaiting() {
	for len(p.waiting) > 0 && (len(p.idle) > 0 || len(p.open) < maxCallbackCalls) {
		call := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		if n := len(p.idle); n > 0 {
			k := p.idle[n-1]
			p.idle = p.idle[:n-1]
			p.driver.stop(k.timer)
			k.sendCall(call)
			continue
		}
		k := &callbackConn{pool: p}
		if err := p.driver.dial(&k.socketConn, p.driver.addresses.client(uint64(p.worker)), p.driver.schedulers[p.scheduler].listen, k); err != nil {
			if !p.driver.failIfLocal(err) {
				p.callEnded(call, 0)
			}
			continue
		}
		p.open = append(p.open, k)
		k.sendCall(call)
	}
}

// callEnded reports the outcome of a callback to the environment; status 0: there was no response. A callback for a
// guest's request, which the environment has not sent, is not reported.
func (p *callbackPool) callEnded(c *callbackCall, status int) {
	p.driver.stop(c.timer)
	if c.id != guestCallbackID {
		p.driver.addOutput(p.scheduler, simapi.CallbackAnswered{Worker: p.worker, CallbackID: c.id, Status: status})
	}
}

// callTimedOut fails a callback that had no response in time, and resets its connection if it is in flight.
func (p *callbackPool) callTimedOut(c *callbackCall) {
	if k := c.conn; k != nil {
		k.reset()
		p.drop(k)
	} else if i := slices.Index(p.waiting, c); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	p.callEnded(c, 0)
	p.startWaiting()
}

// drop removes a closed connection from the pool.
func (p *callbackPool) drop(k *callbackConn) {
	p.driver.stop(k.timer)
	if i := slices.Index(p.open, k); i >= 0 {
		p.open = slices.Delete(p.open, i, i+1)
	}
	if i := slices.Index(p.idle, k); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

func (p *callbackPool) close() {
	for _, k := range p.open {
		k.reset()
	}
}

// sendCall writes a callback to the connection.
func (k *callbackConn) sendCall(c *callbackCall) {
	d := k.pool.driver
	k.call, c.conn = c, k
	b := http1.AppendRequestStart(d.writeBuffer[:0], http.MethodPost, "/v1/job-events", d.schedulers[k.pool.scheduler].listen.String())
	b = append(b, "Content-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(c.body)), 10)
	d.writeBuffer = append(append(b, "\r\n\r\n"...), c.body...)
	k.write(d.writeBuffer)
}

func (k *callbackConn) dataReceived(int) {
	pool := k.pool
	response, _, n, err := pool.driver.reader.response(k.received, false)
	switch {
	case err != nil || n > 0 && k.call == nil:
		k.reset()
		k.connClosed(err)
	case n > 0:
		k.consume(n)
		call := k.call
		if k.call = nil; response.Close {
			k.close()
			pool.drop(k)
		} else {
			k.timer = pool.driver.after(callbackIdleTimeout, func() {
				k.close()
				pool.drop(k)
			})
			pool.idle = append(pool.idle, k)
		}
		pool.callEnded(call, response.StatusCode)
		pool.startWaiting()
	}
}

func (k *callbackConn) connClosed(error) {
	p, c := k.pool, k.call
	p.drop(k)
	if c != nil {
		p.callEnded(c, 0)
	}
	p.startWaiting()
}
