package worker

import (
	"errors"
	"fmt"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// maxResponseSize is how much of a response is read, with interim ones and with what frames chunks.
const maxResponseSize = 2 * (http1.MaxHeaderSize + http1.MaxBodySize)

// readResponse reads what has come of the response, and ends the exchange if that is all of it.
func (c *connection) readResponse() {
	ended, err := c.Fill()
	if err != nil {
		c.terminate(err)
		return
	}
	response := &c.pool.response
	size, err := response.Parse(c.Input(), ended)
	switch {
	case err == nil:
		keepAlive := response.KeepAlive && !ended && size == len(c.Input()) && len(c.Output()) == 0
		c.completeExchange(response, size, keepAlive)
	case ended:
		c.terminate(errClosedByWorker)
	case !errors.Is(err, http1.ErrIncomplete):
		c.terminate(err)
	case len(c.Input()) > maxResponseSize:
		c.terminate(errResponseTooLarge)
	}
}

// completeExchange takes in a whole response. The connection goes on only to the worker's present process.
func (c *connection) completeExchange(response *http1.Response, size int, keepAlive bool) {
	if c.isStrayResponse(response.StatusCode) {
		c.terminate(errStrayResponse)
		return
	}
	c.handleResponse(response)
	if !c.IsOpen() {
		return
	}
	c.Consume(size)
	if keepAlive && c.incarnation == c.pool.endpoint(c.endpoint.worker).incarnation {
		c.becomeIdle()
		return
	}
	c.terminate(nil)
}

// isStrayResponse reports whether a successful response is a second one to the connection's last exchange: each kind has a
// status of its own for success. On a new connection any is taken as it is meant.
func (c *connection) isStrayResponse(statusCode int) bool {
	if c.idleBefore == 0 || statusCode/100 != 2 {
		return false
	}
	switch c.exchange.kind {
	case exchangeAttempt:
		return statusCode != 202
	case exchangeHealthCheck:
		return statusCode != 200
	default:
		return false
	}
}

// handleResponse ends the exchange by the response's status. An accepted attempt goes on without the connection.
func (c *connection) handleResponse(response *http1.Response) {
	failure := c.responseFailure(response)
	if c.exchange.kind != exchangeAttempt {
		c.finishExchange(failure)
		return
	}
	attempt := c.exchange.attempt
	c.pool.table.ReportResponse(attempt, response.StatusCode)
	if c.stage < requests.StageWritten && (failure == nil || failure.Reason == requests.ReasonWorkerError) {
		// The worker never has all of it, as the connection ends with this response: it can't run, whatever the response says.
		failure = &requests.AttemptError{Stage: c.stage, Reason: requests.ReasonConnectionLost, Cause: errEarlyResponse}
	}
	if failure != nil {
		c.finishExchange(failure)
		return
	}
	c.setStage(requests.StageAccepted)
	delete(c.pool.byAttempt, attempt)
	c.exchange = exchange{}
	c.pool.handleAccepted(attempt)
}

// responseFailure returns what a response says went wrong; nil: nothing did.
func (c *connection) responseFailure(response *http1.Response) *requests.AttemptError {
	statusCode := response.StatusCode
	if statusCode/100 == 2 {
		return nil
	}
	failure := &requests.AttemptError{
		Stage:  c.stage,
		Reason: requests.ReasonWorkerError,
		Cause:  fmt.Errorf("status %d", statusCode),
	}
	mayReject := statusCode == 503 || statusCode == 504
	switch {
	case mayReject && (c.exchange.kind == exchangeHealthCheck || string(response.Get("X-Rejected")) == "1"):
		failure.Reason = requests.ReasonRejected
	case statusCode/100 == 4 && c.exchange.kind == exchangeAttempt:
		failure.Reason = requests.ReasonInvalidRequest
	}
	return failure
}
