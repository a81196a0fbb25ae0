package link

import (
	"fmt"
	"strconv"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	healthCheckTimeout = 500 * time.Millisecond // a response to a health check is worth nothing later
	cancelTimeout      = time.Second
	responseGrace      = time.Second // a connection outlasts its attempt by so long, in case the response still comes

	maxSingleWrite     = 4 << 10                // bytes of a payload that any socket's buffer takes whole
	singleWriteTimeout = 100 * time.Millisecond // for one that goes in parts all the same, as the machine lacked memory
)

// exchangeKind says what a connection to a worker is used for.
type exchangeKind int

const (
	exchangeNone        exchangeKind = iota
	exchangeAttempt                  // a request of a client is sent
	exchangeHealthCheck              // the worker is asked whether it is alive
	exchangeCancel                   // an attempt that the worker has accepted is cancelled
)

func (k exchangeKind) String() string {
	switch k {
	case exchangeNone:
		return "none"
	case exchangeAttempt:
		return "attempt"
	case exchangeHealthCheck:
		return "health check"
	case exchangeCancel:
		return "cancel"
	}
	return fmt.Sprintf("exchangeKind(%d)", int(k))
}

// exchange is a request to a worker and its response.
type exchange struct {
	kind    exchangeKind
	attempt *requests.Attempt // that is sent or cancelled
}

// assign gives the connection its exchange.
func (c *workerConnection) assign(next exchange) {
	c.exchange = next
	c.lastKind = next.kind
	c.stage = requests.StageNotConnected
	c.connectUntil = c.pool.loop.Now() + c.pool.connectTimeout
	if next.kind == exchangeAttempt {
		c.pool.byAttempt[next.attempt] = c
	}
}

// setStage sets how far the exchange has come, and the attempt with it.
func (c *workerConnection) setStage(stage requests.Stage) {
	c.stage = stage
	if c.exchange.kind == exchangeAttempt {
		c.exchange.attempt.Stage = stage
	}
}

// writeRequest sends the exchange's request.
func (c *workerConnection) writeRequest() {
	loop := c.pool.loop
	buffer, timeout, ok := c.appendRequest(loop.writeBuffer[:0])
	if !ok { // the request table gives the attempt up in a moment, and the connection ends with it
		loop.StopTimer(c.timer)
		return
	}
	c.setTimeout(timeout)
	loop.writeBuffer = buffer
	c.state = workerAwaitingResponse
	c.setStage(requests.StagePartlyWritten)
	if err := c.Send(buffer); err != nil {
		c.terminate(err)
		return
	}
	if len(c.Output()) == len(buffer) {
		c.deferRequest()
		return
	}
	c.reportIfWritten()
}

// deferRequest has the request made anew once the socket takes something: it has taken nothing, and the time that the worker is
// told would not be true by then.
func (c *workerConnection) deferRequest() {
	c.TakeOutput()
	c.state = workerConnecting
	c.setStage(requests.StageNotConnected)
	c.dialDelayed = true
	c.setTimeout(max(0, c.connectUntil-c.pool.loop.Now()))
}

// appendRequest returns how long the exchange may take from now on; ok is false if it is too late for it.
func (c *workerConnection) appendRequest(buffer []byte) (request []byte, timeout time.Duration, ok bool) {
	attempt, address := c.exchange.attempt, c.endpoint.address.String()
	switch c.exchange.kind {
	case exchangeAttempt:
		return c.appendAttempt(buffer, attempt, address)
	case exchangeHealthCheck:
		buffer = http1.AppendRequestStart(buffer, "GET", "/alive", address)
		return append(buffer, "\r\n"...), healthCheckTimeout, true
	case exchangeCancel:
		buffer = http1.AppendRequestStart(buffer, "DELETE", "/jobs/"+attempt.Request.CallID, address)
		return append(buffer, "\r\n"...), cancelTimeout, true
	case exchangeNone:
	}
	return nil, 0, false
}

// appendAttempt appends the request of an attempt. The time that the worker is given is what remains now, however late the
// connection came up. A large payload may go in parts: that it takes the time for a connection at most is taken off.
func (c *workerConnection) appendAttempt(buffer []byte, attempt *requests.Attempt, address string) (request []byte, timeout time.Duration, ok bool) {
	remaining := attempt.At - c.pool.loop.Clock()
	if remaining < time.Millisecond {
		return nil, 0, false
	}
	payload := &attempt.Request.Payload
	timeout = min(c.pool.connectTimeout, remaining/2)
	if len(payload.Body) > maxSingleWrite {
		remaining -= timeout
	} else {
		timeout = min(timeout, singleWriteTimeout)
	}
	buffer = http1.AppendRequestStart(buffer, payload.Method, payload.Path, address)
	buffer = http1.AppendField(buffer, "X-Call-Id", attempt.Request.CallID)
	buffer = http1.AppendField(buffer, "Idempotency-Key", payload.IdempotencyKey)
	buffer = append(buffer, "X-Budget-Ms: "...)
	buffer = strconv.AppendInt(buffer, max(1, remaining.Milliseconds()), 10)
	buffer = append(buffer, "\r\nContent-Length: "...)
	buffer = strconv.AppendInt(buffer, int64(len(payload.Body)), 10)
	buffer = append(buffer, "\r\n\r\n"...)
	buffer = append(buffer, payload.Body...)
	return buffer, timeout, true
}

// reportIfWritten takes in that the last byte was sent, if it was: from there on, an attempt is possibly executed.
func (c *workerConnection) reportIfWritten() {
	if len(c.Output()) > 0 || c.stage >= requests.StageWritten {
		return
	}
	c.setStage(requests.StageWritten)
	if c.exchange.kind == exchangeAttempt {
		attempt := c.exchange.attempt
		c.setTimeout(attempt.At - c.pool.loop.Now() + responseGrace)
		c.pool.loop.Requests.ReportWritten(attempt)
	}
}

// isObsolete reports whether the exchange is of no use any more before its request was wholly written. An attempt may have
// ended meanwhile, by a late callback of an earlier one: written on, it would run after the request was over, or be one more
// than the dispatcher knows of. Nor is a DELETE of any use once the worker has said how the attempt ended.
func (c *workerConnection) isObsolete() bool {
	attempt := c.exchange.attempt
	if attempt == nil || c.stage >= requests.StageWritten {
		return false
	}
	return c.exchange.kind == exchangeAttempt && attempt.HasEnded() || attempt.EndedByWorker()
}

// finishExchange ends the exchange; the failure is nil if it went well.
func (c *workerConnection) finishExchange(failure *requests.AttemptError) {
	finished := c.exchange
	c.exchange = exchange{}
	switch finished.kind {
	case exchangeAttempt:
		delete(c.pool.byAttempt, finished.attempt)
		c.pool.loop.Requests.EndAttempt(finished.attempt, nil, failure)
	case exchangeHealthCheck:
		c.pool.loop.Requests.HealthChecked(c.endpoint.worker, failure)
	case exchangeCancel:
		c.pool.handleCancelResult(finished.attempt, failure)
	case exchangeNone:
	}
}
