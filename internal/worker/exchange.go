package worker

import (
	"fmt"
	"time"

	"valvecove/internal/eventloop"
	"valvecove/internal/requests"
)

// responseGrace is how long a connection is kept after its attempt has expired, in case the response still arrives.
const responseGrace = time.Second

// exchangeKind is the purpose of an exchange.
type exchangeKind int

const (
	exchangeNone        exchangeKind = iota
	exchangeAttempt                  // sends an attempt
	exchangeHealthCheck              // checks that the worker is alive
	exchangeCancel                   // cancels an attempt that the worker has accepted
)

func (e exchangeKind) String() string {
	switch e {
	case exchangeNone:
		return "none"
	case exchangeAttempt:
		return "attempt"
	case exchangeHealthCheck:
		return "health check"
	case exchangeCancel:
		return "cancel"
	}
	return fmt.Sprintf("exchangeKind(%d)", int(e))
}

// exchange is a request to a worker and its response.
type exchange struct {
	kind      exchangeKind
	attempt   *requests.Attempt // the attempt that is sent or cancelled; nil for a health check
	startedAt time.Duration
}

// assign starts an exchange on the connection. Nothing is written yet.
func (c *connection) assign(next exchange) {
	c.exchange = next
	c.exchange.startedAt = c.pool.loop.Now()
	c.lastKind = next.kind
	c.stage = requests.StageNotConnected
	switch next.kind {
	case exchangeAttempt:
		c.pool.byAttempt[next.attempt] = c
	case exchangeHealthCheck:
		c.pool.healthChecks[c] = struct{}{}
	case exchangeCancel, exchangeNone:
	}
}

// setStage sets the stage of the exchange and of the attempt that it sends.
func (c *connection) setStage(stage requests.Stage) {
	c.stage = stage
	if c.exchange.kind == exchangeAttempt {
		c.exchange.attempt.Stage = stage
	}
}

// writeRequest writes the request of the exchange, unless no time remains for it or the write is delayed.
func (c *connection) writeRequest() {
	pool, loop := c.pool, c.pool.loop
	buffer, timeout, ok := c.appendRequest(pool.writeBuffer[:0])
	if !ok { // the request table ends the attempt at its deadline, which closes the connection
		loop.StopTimer(c.timer)
		return
	}
	pool.writeBuffer = buffer
	c.writeDeadline = loop.Clock() + timeout
	if c.delayWrite() { // called last: it checks the client's connection, and the write must follow immediately
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
		nothingWritten := len(c.Output()) == len(buffer)
		c.handleMemoryShortage(nothingWritten, timeout)
		return
	}
	c.reportIfWritten()
}

// handleMemoryShortage handles a request that was not completely written because the kernel lacked memory. If nothing was
// written, the request is formatted again when memory is available, as its time budget would be outdated by then. Otherwise the
// rest must be written within budgetMargin, unless the time budget already allows for writing in parts.
func (c *connection) handleMemoryShortage(nothingWritten bool, timeout time.Duration) {
	c.delayedLocally = true
	if nothingWritten {
		c.TakeOutput()
		c.state = stateConnecting
		c.setStage(requests.StageNotConnected)
		c.setTimeout(max(0, c.connectDeadline()-c.pool.loop.Now()))
		return
	}
	if timeout <= smallWriteTimeout {
		c.writeDeadline -= timeout - budgetMargin
		c.setTimeout(budgetMargin)
	}
}

// delayWrite delays the write of an attempt by the time that Config.WriteDelay returns. It reports whether the request must not
// be written now: it is delayed, or the attempt has ended and its connection is closed.
func (c *connection) delayWrite() bool {
	if c.exchange.kind != exchangeAttempt {
		return false
	}
	delay := c.pool.writeDelay(c.exchange.attempt)
	if c.state == stateClosed {
		return true
	}
	if delay <= 0 {
		return false
	}
	c.state = stateDelayed
	c.SetEvents(eventloop.StreamEvents)
	c.pool.loop.StopTimer(c.timer)
	c.timer = c.pool.loop.StartTimer(delay, c, c.writeDelayedRequest)
	return true
}

// writeDelayedRequest writes the request of an exchange that was started in an earlier iteration. If the worker may not receive
// attempts any more, the attempt ends as not sent.
func (c *connection) writeDelayedRequest() {
	attempt, table := c.exchange.attempt, c.pool.table
	if c.exchange.kind == exchangeAttempt && !table.IsAvailable(attempt.Worker) {
		table.EndAttempt(attempt, nil, &requests.AttemptError{Stage: c.stage, Reason: requests.ReasonNotSent})
		c.terminate(nil)
		return
	}
	c.writeRequest()
}

// reportIfWritten reports an attempt as written once its last byte is. The worker may execute it from then on.
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

// isObsolete reports whether the rest of the request must not be written: its attempt has ended, for instance by a late callback
// about an earlier attempt, or the attempt that it cancels was ended by its worker. If the rest were written, the worker could
// execute an ended attempt after its request is closed, without the policy's knowledge.
func (c *connection) isObsolete() bool {
	attempt := c.exchange.attempt
	if attempt == nil || c.stage >= requests.StageWritten {
		return false
	}
	isEndedAttempt := c.exchange.kind == exchangeAttempt && attempt.HasEnded()
	return isEndedAttempt || attempt.EndedByWorker()
}

// finishExchange ends the exchange and reports its result; failure is nil if it succeeded. An accepted attempt is not ended here.
func (c *connection) finishExchange(failure *requests.AttemptError) {
	finished := c.exchange
	c.exchange = exchange{}
	switch finished.kind {
	case exchangeAttempt:
		delete(c.pool.byAttempt, finished.attempt)
		c.pool.table.EndAttempt(finished.attempt, nil, failure)
	case exchangeHealthCheck:
		delete(c.pool.healthChecks, c)
		c.pool.table.HealthChecked(c.endpoint.worker, failure)
	case exchangeCancel:
		c.pool.handleCancelResult(finished.attempt, failure)
	case exchangeNone:
	}
}

// endHealthCheck ends a health check in progress as one that was not sent, and closes the connection.
func (c *connection) endHealthCheck() {
	c.finishExchange(&requests.AttemptError{Stage: c.stage, Reason: requests.ReasonNotSent})
	c.terminate(nil)
}
