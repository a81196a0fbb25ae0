package worker

import (
	"fmt"
	"strconv"
	"time"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	healthCheckTimeout = 500 * time.Millisecond // a response to a health check is worth nothing later
	cancelTimeout      = time.Second
	responseGrace      = time.Second // a connection outlasts its attempt by so long, in case the response still comes

	maxSingleWrite = 4 << 10 // bytes of a payload that any socket's buffer takes whole

	// budgetMargin is taken off the time that a worker is given: what passes unseen on the way from the client and to the worker.
	// The slack that the rules leave is for a process that is held up after its last look at the clock.
	budgetMargin = 20 * time.Millisecond
	// smallWriteTimeout is how long a payload of maxSingleWrite may wait for its socket's buffer all the same, what another
	// process had begun to write, and a large payload whose connection has taken all the time for one. A repeat has to arrive
	// within its window, and leaves so much time for it.
	smallWriteTimeout = 50 * time.Millisecond
	// maxClockAge is how old a reading of the clock may be when an attempt is written by it.
	maxClockAge = 5 * time.Millisecond
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
	begunAt time.Duration
}

// assign gives the connection its exchange.
func (c *connection) assign(next exchange) {
	c.exchange = next
	c.exchange.begunAt = c.pool.loop.Now()
	c.lastKind = next.kind
	c.stage = requests.StageNotConnected
	if next.kind == exchangeAttempt {
		c.pool.byAttempt[next.attempt] = c
	}
}

// setStage sets how far the exchange has come, and the attempt with it.
func (c *connection) setStage(stage requests.Stage) {
	c.stage = stage
	if c.exchange.kind == exchangeAttempt {
		c.exchange.attempt.Stage = stage
	}
}

// writeRequest sends the exchange's request, once it is known that somebody waits for it.
func (c *connection) writeRequest() {
	pool, loop := c.pool, c.pool.loop
	buffer, timeout, ok := c.appendRequest(pool.writeBuffer[:0])
	if !ok { // the request table gives the attempt up in a moment, and the connection ends with it
		loop.StopTimer(c.timer)
		return
	}
	pool.writeBuffer = buffer
	c.writeUntil = loop.Clock() + timeout
	if c.isHeld() { // the last look at the clock before the write
		return
	}
	c.setTimeout(timeout)
	c.state = stateAwaitingResponse
	c.setStage(requests.StagePartlyWritten)
	if err := c.Send(buffer); err != nil {
		c.terminate(err)
		return
	}
	if len(c.Output()) > 0 && c.IsOutputPaused() {
		c.awaitMemory(len(c.Output()) == len(buffer), timeout)
		return
	}
	c.reportIfWritten()
}

// awaitMemory sees to a request that the machine lacked memory to write. Of one of which nothing was taken it is made anew once
// there is some: the time that the worker is told would not be true by then. The rest of another one is written in what that time
// has to spare, or never, so long as it was made for a single write.
func (c *connection) awaitMemory(isUntouched bool, timeout time.Duration) {
	c.dialDelayed = true
	if isUntouched {
		c.TakeOutput()
		c.state = stateConnecting
		c.setStage(requests.StageNotConnected)
		c.setTimeout(max(0, c.connectDeadline()-c.pool.loop.Now()))
		return
	}
	if timeout <= smallWriteTimeout {
		c.writeUntil -= timeout - budgetMargin
		c.setTimeout(budgetMargin)
	}
}

// isHeld holds an attempt for which it is not certain that its client still waits, and reports whether it does, or has ended it.
func (c *connection) isHeld() bool {
	if c.exchange.kind != exchangeAttempt {
		return false
	}
	hold := c.pool.attemptHold(c.exchange.attempt)
	if c.state == stateClosed { // its client turned out to be gone
		return true
	}
	if hold > 0 {
		c.hold(hold)
	}
	return hold > 0
}

// hold has the request written a moment later.
func (c *connection) hold(span time.Duration) {
	c.state = stateHolding
	c.SetEvents(eventloop.StreamEvents)
	c.pool.loop.StopTimer(c.timer)
	c.timer = c.pool.loop.StartTimer(span, c, c.writeRequestLate)
}

// writeRequestLate sends the request of an exchange that was begun in an earlier iteration. Its worker may have begun to drain
// since: it gets no attempt then, which says nothing about it.
func (c *connection) writeRequestLate() {
	attempt, table := c.exchange.attempt, c.pool.table
	if c.exchange.kind == exchangeAttempt && !table.MayReceive(attempt.Worker) {
		table.EndAttempt(attempt, nil, &requests.AttemptError{Stage: c.stage, Reason: requests.ReasonNotSent})
		c.terminate(nil)
		return
	}
	c.writeRequest()
}

// appendRequest returns how long the exchange may take from now on; ok is false if it is too late for it.
func (c *connection) appendRequest(buffer []byte) (request []byte, timeout time.Duration, ok bool) {
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
// connection came up, and also if the process is held up meanwhile.
func (c *connection) appendAttempt(buffer []byte, attempt *requests.Attempt, address string) (request []byte, timeout time.Duration, ok bool) {
	start, loop := len(buffer), c.pool.loop
	for {
		now := loop.Clock()
		remaining := attempt.At - now
		if remaining < time.Millisecond {
			return nil, 0, false
		}
		buffer, timeout = c.appendAttemptAt(buffer[:start], attempt, address, remaining)
		if loop.Clock()-now <= maxClockAge {
			return buffer, timeout, true
		}
	}
}

// appendAttemptAt appends the request of an attempt for which so much time remains. A large payload may go in parts: that it
// takes what its connection has left of the time for one at most is taken off.
func (c *connection) appendAttemptAt(buffer []byte, attempt *requests.Attempt, address string, remaining time.Duration) (request []byte, timeout time.Duration) {
	payload := &attempt.Request.Payload
	timeout = smallWriteTimeout
	if len(payload.Body) > maxSingleWrite {
		connectingFor := c.pool.loop.Now() - c.exchange.begunAt
		timeout = min(max(c.pool.connectTimeout-connectingFor, smallWriteTimeout), remaining/2)
		remaining -= timeout
	}
	remaining -= min(budgetMargin, remaining/2)
	buffer = http1.AppendRequestStart(buffer, payload.Method, payload.Path, address)
	buffer = http1.AppendField(buffer, "X-Call-Id", attempt.Request.CallID)
	buffer = http1.AppendField(buffer, "Idempotency-Key", payload.IdempotencyKey)
	buffer = append(buffer, "X-Budget-Ms: "...)
	buffer = strconv.AppendInt(buffer, max(1, remaining.Milliseconds()), 10)
	buffer = append(buffer, "\r\nContent-Length: "...)
	buffer = strconv.AppendInt(buffer, int64(len(payload.Body)), 10)
	buffer = append(buffer, "\r\n\r\n"...)
	buffer = append(buffer, payload.Body...)
	return buffer, timeout
}

// reportIfWritten takes in that the last byte was sent, if it was: from there on, an attempt is possibly executed.
func (c *connection) reportIfWritten() {
	if len(c.Output()) > 0 || c.stage >= requests.StageWritten {
		return
	}
	c.setStage(requests.StageWritten)
	if c.exchange.kind == exchangeAttempt {
		attempt := c.exchange.attempt
		c.setTimeout(attempt.At - c.pool.loop.Now() + responseGrace)
		c.pool.table.ReportWritten(attempt)
	}
}

// isObsolete reports whether the exchange is of no use any more before its request was wholly written. An attempt may have
// ended meanwhile, by a late callback of an earlier one: written on, it would run after the request was over, or be one more
// than the dispatcher knows of. Nor is a DELETE of any use once the worker has said how the attempt ended.
func (c *connection) isObsolete() bool {
	attempt := c.exchange.attempt
	if attempt == nil || c.stage >= requests.StageWritten {
		return false
	}
	return c.exchange.kind == exchangeAttempt && attempt.HasEnded() || attempt.EndedByWorker()
}

// finishExchange ends the exchange; the failure is nil if it went well.
func (c *connection) finishExchange(failure *requests.AttemptError) {
	finished := c.exchange
	c.exchange = exchange{}
	switch finished.kind {
	case exchangeAttempt:
		delete(c.pool.byAttempt, finished.attempt)
		c.pool.table.EndAttempt(finished.attempt, nil, failure)
	case exchangeHealthCheck:
		c.pool.table.HealthChecked(c.endpoint.worker, failure)
	case exchangeCancel:
		c.pool.handleCancelResult(finished.attempt, failure)
	case exchangeNone:
	}
}
