package link

import (
	"errors"
	"fmt"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const maxResponseSize = 2 * (http1.MaxHeaderSize + http1.MaxBodySize) // with interim answers, and with what frames chunks

func (k *workerConnection) readResponse() {
	ended, err := k.Fill()
	if err != nil {
		k.terminate(err)
		return
	}
	m := &k.pool.loop.response
	n, err := m.Parse(k.Input(), ended)
	switch {
	case err == nil:
		keep := m.KeepAlive && !ended && n == len(k.Input()) && len(k.Output()) == 0
		if k.isStrayResponse(m.StatusCode) {
			k.terminate(errStrayResponse)
			return
		}
		k.handleResponse(m)
		if !k.IsOpen() {
			return
		}
		if k.Consume(n); keep && k.incarnation == k.pool.endpoint(k.endpoint.worker).incarnation {
			k.becomeIdle()
		} else {
			k.terminate(nil)
		}
	case ended:
		k.terminate(errClosedByWorker)
	case !errors.Is(err, http1.ErrIncomplete):
		k.terminate(err)
	case len(k.Input()) > maxResponseSize:
		k.terminate(errResponseTooLarge)
	}
}

var (
	errClosedByWorker   = errors.New("ended by the worker node")
	errResponseTimeout  = errors.New("no answer in time")
	errResponseTooLarge = errors.New("an answer without end")
	errStrayResponse    = errors.New("an answer to what the link was used for before")
	errEarlyResponse    = errors.New("an answer before the last byte was written")
)

// isStrayResponse tells whether an answer that says yes is the second one to what the link was used for before: each kind of errand
// has a word of its own for that. On a new link it is taken as it is meant.
func (k *workerConnection) isStrayResponse(status int) bool {
	if k.idleBefore == 0 || status/100 != 2 {
		return false
	}
	return k.exchange.kind == exchangeAttempt && status != 202 || k.exchange.kind == exchangeHealthCheck && status != 200
}

// handleResponse settles the errand by the answer's status.
func (k *workerConnection) handleResponse(m *http1.Response) {
	fault := &requests.AttemptError{Stage: k.stage, Reason: requests.ReasonWorkerError, Cause: fmt.Errorf("status %d", m.StatusCode)}
	switch refused := m.StatusCode == 503 || m.StatusCode == 504; {
	case m.StatusCode/100 == 2:
		fault = nil
	case refused && (k.exchange.kind == exchangeHealthCheck || string(m.Get("X-Rejected")) == "1"):
		fault.Reason = requests.ReasonRejected
	case m.StatusCode/100 == 4 && k.exchange.kind == exchangeAttempt:
		fault.Reason = requests.ReasonInvalidRequest
	}
	if k.exchange.kind == exchangeAttempt {
		k.pool.loop.Requests.ReportResponse(k.exchange.attempt, m.StatusCode)
		if k.stage < requests.StageWritten && (fault == nil || fault.Reason == requests.ReasonWorkerError) {
			// It never has all of it, as the link ends with this answer. So it can't run, whatever the answer says.
			fault = &requests.AttemptError{Stage: k.stage, Reason: requests.ReasonConnectionLost, Cause: errEarlyResponse}
		}
	}
	if k.exchange.kind == exchangeAttempt && fault == nil {
		k.setStage(requests.StageAccepted)
		delete(k.pool.byAttempt, k.exchange.attempt)
		k.exchange = exchange{kind: exchangeCancel} // nothing hangs on it any more
		return
	}
	k.finishExchange(fault)
}
