package fleet

import (
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// States of a job that callbacks report.
const (
	stateStarted = "started"
	stateDone    = "done"
	stateLost    = "lost"
)

const (
	maxCallbackAttempts = 10
	callbackTimeout     = time.Second // an attempt without a response by then has failed
	callbackRetryDelay  = 100 * time.Millisecond
)

// callbackSender sends a worker's callbacks to the scheduler.
type callbackSender struct {
	worker  *worker
	idle    []*callbackConn // the most recently used last
	open    map[*callbackConn]struct{}
	waiting fifo[*callback]
}

// callback is one request to the scheduler, with its retries.
type callback struct {
	timer    // the attempt's timeout, or the next attempt
	sender   *callbackSender
	body     []byte
	attempts int
	conn     *callbackConn // of the attempt in flight; nil between attempts
}

// callbackConn is a worker's connection to the scheduler.
type callbackConn struct {
	conn
	sender   *callbackSender
	callback *callback // in flight; nil while it is idle
}

// notify sends a callback that reports a job's state.
func (s *callbackSender) notify(requestID []byte, state string) {
	body := make([]byte, 0, 128)
	body = append(append(body, `{"id":"`...), requestID...)
	body = append(append(body, `","from":"`...), s.worker.id...)
	body = append(append(body, `","state":"`...), state...)
	if state == stateDone {
		body = append(append(body, `","result":"`...), requestID...)
		body = append(append(body, " ran on "...), s.worker.id...)
	}
	body = append(body, `"}`...)
	s.waiting.push(&callback{sender: s, body: body})
	s.sendWaiting()
}

// sendWaiting sends waiting callbacks while there are connections for them.
func (s *callbackSender) sendWaiting() {
	for s.waiting.len() > 0 && !s.worker.silent {
		conn, err := s.acquireConn()
		if err != nil {
			s.retryLater(s.waiting.pop())
			continue
		}
		if conn == nil {
			return
		}
		conn.send(s.waiting.pop())
	}
}

// acquireConn returns an idle connection or opens one. It returns nil if the worker may not open any more: each worker may
// always have one, and further ones as the rig's descriptors allow.
func (s *callbackSender) acquireConn() (*callbackConn, error) {
	if last := len(s.idle) - 1; last >= 0 {
		conn := s.idle[last]
		s.idle = s.idle[:last]
		return conn, nil
	}
	worker := s.worker
	if len(s.open) > 0 && len(s.open) >= worker.rig.descriptors.callbackConns {
		return nil, nil
	}
	opened := &callbackConn{sender: s}
	from := netip.AddrPortFrom(worker.address.Addr(), 0)
	if err := worker.engine.dial(&opened.conn, from, worker.rig.addresses.scheduler(), opened); err != nil {
		return nil, err
	}
	if s.open == nil {
		s.open = map[*callbackConn]struct{}{}
	}
	s.open[opened] = struct{}{}
	return opened, nil
}

// retryLater schedules the next attempt, or gives the callback up after the last.
func (s *callbackSender) retryLater(failed *callback) {
	engine := s.worker.engine
	engine.timers.Remove(&failed.timer)
	failed.conn = nil
	if failed.attempts < maxCallbackAttempts {
		engine.setTimer(&failed.timer, engine.now+callbackRetryDelay, failed)
	} else {
		s.worker.rig.callbacksLost.Add(1)
	}
}

// setPaused pauses the connections while the worker is silent, or resumes them and sends what waits.
func (s *callbackSender) setPaused(paused bool) {
	for conn := range s.open {
		conn.setPaused(paused)
	}
	s.sendWaiting()
}

// timerExpired fails an attempt that had no response in time, or begins the next one.
func (c *callback) timerExpired() {
	engine := c.sender.worker.engine
	switch {
	case c.conn == nil:
		c.sender.waiting.push(c)
		c.sender.sendWaiting()
	case c.sender.worker.silent: // the timeout starts again, until the worker is back
		engine.setTimer(&c.timer, engine.now+callbackTimeout, c)
	default:
		conn := c.conn
		conn.reset()
		conn.connClosed(nil)
	}
}

// send begins an attempt.
func (c *callbackConn) send(sent *callback) {
	engine := c.sender.worker.engine
	sent.attempts++
	sent.conn = c
	c.callback = sent
	b := engine.writeBuffer[:0]
	b = append(b, "POST /v1/job-events HTTP/1.1\r\nHost: "...)
	b = append(b, c.sender.worker.rig.schedulerAddress...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(sent.body)), 10)
	b = append(b, "\r\n\r\n"...)
	b = append(b, sent.body...)
	engine.writeBuffer = b
	c.write(engine.writeBuffer)
	engine.setTimer(&sent.timer, engine.now+callbackTimeout, sent)
}

func (c *callbackConn) dataReceived(b []byte) int {
	sender, answered := c.sender, c.callback
	engine := sender.worker.engine
	var response message
	size, err := engine.reader.read(b, &response)
	if err == nil && size == 0 {
		return 0
	}
	if err != nil || answered == nil || response.status == 0 {
		c.reset()
		c.connClosed(err)
		return size
	}
	engine.timers.Remove(&answered.timer)
	answered.conn, c.callback = nil, nil
	if response.lastOnConn {
		c.close()
		delete(sender.open, c)
	} else {
		sender.idle = append(sender.idle, c)
	}
	if response.status != http.StatusOK && response.status != http.StatusNoContent {
		sender.retryLater(answered)
	}
	sender.sendWaiting()
	return size
}

// connClosed retries the callback in flight.
func (c *callbackConn) connClosed(error) {
	sender, failed := c.sender, c.callback
	delete(sender.open, c)
	c.callback = nil
	if failed != nil {
		sender.retryLater(failed)
	} else {
		sender.idle = slices.DeleteFunc(sender.idle, func(other *callbackConn) bool { return other == c })
	}
	sender.sendWaiting()
}
