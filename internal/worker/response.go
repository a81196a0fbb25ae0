package worker

import (
	"errors"
	"fmt"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// maxResponseSize limits the bytes of a response, including interim responses and the framing of chunks.
const maxResponseSize = 2 * (http1.MaxHeaderSize + http1.MaxBodySize)

// readResponse reads what was received of the response, and ends the exchange once it is complete.
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

// completeExchange handles a complete response of size bytes. The connection is kept if keepAlive allows it and the worker's
// process has not been replaced.
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
	if keepAlive && c.incarnation == c.pool.updateEndpoint(c.endpoint.worker).incarnation {
		c.becomeIdle()
		return
	}
	c.terminate(nil)
}

// isStrayResponse reports whether a successful response is a second one to the previous exchange of the connection: attempts and
// health checks succeed with different status codes. A new connection has no previous exchange.
func (c *connection) isStrayResponse(statusCode int) bool {
	if c.idleBefore == 0 || !isSuccess(statusCode) {
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

// isSuccess reports whether a status code means success.
func isSuccess(statusCode int) bool { return statusCode/100 == 2 }

// handleResponse ends the exchange according to the status code of the response. An accepted attempt stays in flight without the
// connection.
func (c *connection) handleResponse(response *http1.Response) {
	failure := c.responseFailure(response)
	if c.exchange.kind != exchangeAttempt {
		c.finishExchange(failure)
		return
	}
	attempt := c.exchange.attempt
	c.pool.table.ReportResponse(attempt, response.StatusCode)
	isWorkerError := failure != nil && failure.Reason == requests.ReasonWorkerError
	if c.stage < requests.StageWritten && (failure == nil || isWorkerError) {
		// The connection is closed with this response, so the worker never receives the rest and can't execute the attempt.
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

// statusError is the status code of an unsuccessful response.
type statusError int

func (s statusError) Error() string { return fmt.Sprintf("status %d", int(s)) }

// responseFailure returns the failure that a response reports, or nil.
func (c *connection) responseFailure(response *http1.Response) *requests.AttemptError {
	statusCode := response.StatusCode
	if isSuccess(statusCode) {
		return nil
	}
	failure := &requests.AttemptError{
		Stage:  c.stage,
		Reason: requests.ReasonWorkerError,
		Cause:  statusError(statusCode),
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
