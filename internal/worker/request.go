package worker

import (
	"strconv"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	healthCheckTimeout = 500 * time.Millisecond
	cancelTimeout      = time.Second

	// maxSingleWrite is the largest payload, in bytes, that is expected to fit into any socket's buffer at once.
	maxSingleWrite = 4 << 10
	// smallWriteTimeout limits the write of a payload of up to maxSingleWrite, which may wait for space in its socket's buffer.
	// It also limits the write of a large payload whose connection has used up the connect timeout, and of the rest of a request that
	// a predecessor had begun to write. The deduplication window, within which a retry must reach its worker, allows
	// for this time.
	smallWriteTimeout = 50 * time.Millisecond
	// budgetMargin is subtracted from the time budget of an attempt, for the network latency from the client and to the worker.
	budgetMargin = 20 * time.Millisecond
	// maxClockAge is the maximum age of the clock reading from which the time budget of an attempt is computed.
	maxClockAge = 5 * time.Millisecond
)

// appendRequest appends the request of the exchange to a buffer. timeout is how long the exchange, or the write of an attempt,
// may take from now on. ok is false if no time remains for the attempt.
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

// appendAttempt appends the request of an attempt. Its time budget is the time that remains now, however long connecting took. If
// formatting took more than maxClockAge, as when the process is suspended meanwhile, the request is formatted again.
func (c *connection) appendAttempt(buffer []byte, attempt *requests.Attempt, address string) (request []byte, timeout time.Duration, ok bool) {
	start, loop := len(buffer), c.pool.loop
	for {
		now := loop.Clock()
		remaining := attempt.At - now
		if remaining < time.Millisecond {
			return nil, 0, false
		}
		buffer, timeout = c.appendAttemptWithin(buffer[:start], attempt, address, remaining)
		if loop.Clock()-now <= maxClockAge {
			return buffer, timeout, true
		}
	}
}

// appendAttemptWithin appends the request of an attempt that has the remaining time. A large payload may be written in parts: the
// write may take what is left of the connect timeout, which is subtracted from the worker's time budget.
func (c *connection) appendAttemptWithin(buffer []byte, attempt *requests.Attempt, address string, remaining time.Duration) (request []byte, timeout time.Duration) {
	payload := &attempt.Request.Payload
	timeout = smallWriteTimeout
	if len(payload.Body) > maxSingleWrite {
		connectingFor := c.pool.loop.Now() - c.exchange.startedAt
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
