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
	callbackTimeout     = time.Second     // a call that has no answer by then has failed (driver.callbackTimeout)
	callbackIdleTimeout = 5 * time.Second // a connection without a call is closed then
	maxCallbackCalls    = 4               // of one worker to one scheduler at once; further ones wait, within their time
)

// callbackPool is a worker's connections to a scheduler, for its callbacks.
type callbackPool struct {
	driver            *driver
	scheduler, worker int
	idle              []*callbackConn // the last one used last
	open              []*callbackConn
	waiting           []*callbackCall
}

// callbackCall is one call.
type callbackCall struct {
	id    uint64
	body  []byte
	timer *timer
	link  *callbackConn // that carries it; nil: it waits
}

// callbackConn is one connection.
type callbackConn struct {
	socketConn
	pool  *callbackPool
	call  *callbackCall // nil: it is idle
	timer *timer        // while it is
}

// sendCallback calls a scheduler with a callback.
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
	p.proceed()
}

// callbackForm is a callback as the protocol writes it.
type callbackForm struct {
	ID     string  `json:"id"`
	From   string  `json:"from"`
	State  string  `json:"state"`
	Share  float64 `json:"share,omitempty"`
	Result *string `json:"result,omitempty"`
}

func (p *callbackPool) proceed() {
	for len(p.waiting) > 0 && (len(p.idle) > 0 || len(p.open) < maxCallbackCalls) {
		callbackCall := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		if n := len(p.idle); n > 0 {
			k := p.idle[n-1]
			p.idle = p.idle[:n-1]
			p.driver.stop(k.timer)
			k.sendCall(callbackCall)
			continue
		}
		k := &callbackConn{pool: p}
		if err := p.driver.dial(&k.socketConn, p.driver.addresses.client(uint64(p.worker)), p.driver.schedulers[p.scheduler].listen, k); err != nil {
			if !p.driver.failIfLocal(err) {
				p.callEnded(callbackCall, 0)
			}
			continue
		}
		p.open = append(p.open, k)
		k.sendCall(callbackCall)
	}
}

// callEnded ends a call.
func (p *callbackPool) callEnded(c *callbackCall, status int) {
	p.driver.stop(c.timer)
	if c.id != guestCallbackID {
		p.driver.addOutput(p.scheduler, simapi.CallbackAnswered{Worker: p.worker, CallbackID: c.id, Status: status})
	}
}

// callTimedOut is the end of a call's time.
func (p *callbackPool) callTimedOut(c *callbackCall) {
	if k := c.link; k != nil {
		k.reset()
		p.drop(k)
	} else if i := slices.Index(p.waiting, c); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	p.callEnded(c, 0)
	p.proceed()
}

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

func (k *callbackConn) sendCall(c *callbackCall) {
	d := k.pool.driver
	k.call, c.link = c, k
	b := http1.AppendRequestStart(d.writeBuffer[:0], http.MethodPost, "/v1/job-events", d.schedulers[k.pool.scheduler].listen.String())
	b = append(b, "Content-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(c.body)), 10)
	d.writeBuffer = append(append(b, "\r\n\r\n"...), c.body...)
	k.write(d.writeBuffer)
}

func (k *callbackConn) dataReceived(int) {
	callbackPool := k.pool
	response, _, n, err := callbackPool.driver.reader.response(k.received, false)
	switch {
	case err != nil || n > 0 && k.call == nil:
		k.reset()
		k.connClosed(err)
	case n > 0:
		k.consume(n)
		callbackCall := k.call
		if k.call = nil; response.Close {
			k.close()
			callbackPool.drop(k)
		} else {
			k.timer = callbackPool.driver.after(callbackIdleTimeout, func() {
				k.close()
				callbackPool.drop(k)
			})
			callbackPool.idle = append(callbackPool.idle, k)
		}
		callbackPool.callEnded(callbackCall, response.StatusCode)
		callbackPool.proceed()
	}
}

func (k *callbackConn) connClosed(error) {
	p, c := k.pool, k.call
	p.drop(k)
	if c != nil {
		p.callEnded(c, 0)
	}
	p.proceed()
}
