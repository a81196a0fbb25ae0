package worker

import (
	"time"

	"valvecove/internal/requests"
)

const (
	maxCancelAttempts = 4 // connections on which the DELETE of an attempt is tried
	cancelRetryDelay  = 50 * time.Millisecond
	acceptanceTimeout = 100 * time.Millisecond // after this, a worker is assumed not to accept a written attempt
)

// Cancel sends a DELETE for an attempt, unless the attempt is being cancelled already. For one that is written and not accepted
// it first waits up to acceptanceTimeout: the 202 may be on its way, and closing the connection would not cancel it then. The
// result is passed to CancelCompleted of the table, or to CancelUnaccepted if the attempt is not accepted in time.
func (p *Pool) Cancel(attempt *requests.Attempt) {
	if _, isCancelling := p.cancelAttempts[attempt]; isCancelling {
		return
	}
	if attempt.Stage >= requests.StageAccepted {
		p.sendCancel(attempt)
		return
	}
	p.cancelAttempts[attempt] = 0
	p.loop.StartTimer(acceptanceTimeout, p, func() { p.handleAcceptanceTimeout(attempt) })
}

// handleAcceptanceTimeout ends a cancellation whose attempt was not accepted in time.
func (p *Pool) handleAcceptanceTimeout(attempt *requests.Attempt) {
	if p.isCancelWaiting(attempt) && attempt.Stage < requests.StageAccepted {
		delete(p.cancelAttempts, attempt)
		p.table.CancelUnaccepted(attempt)
	}
}

// handleAccepted sends the DELETE that waited for an attempt to be accepted, if there is one.
func (p *Pool) handleAccepted(attempt *requests.Attempt) {
	if !p.isCancelWaiting(attempt) {
		return
	}
	if attempt.EndedByWorker() {
		delete(p.cancelAttempts, attempt)
		return
	}
	p.sendCancel(attempt)
}

// isCancelWaiting reports whether an attempt is being cancelled and no DELETE was sent yet.
func (p *Pool) isCancelWaiting(attempt *requests.Attempt) bool {
	count, isCancelling := p.cancelAttempts[attempt]
	return isCancelling && count == 0
}

// sendCancel sends a DELETE for an attempt.
func (p *Pool) sendCancel(attempt *requests.Attempt) {
	p.cancelAttempts[attempt]++
	p.startExchange(attempt.Worker, exchange{kind: exchangeCancel, attempt: attempt})
}

// handleCancelResult ends a cancellation, or schedules another DELETE, by the result of its DELETE. Any response confirms the
// cancellation. A DELETE whose connection was lost may not have reached the worker, and is sent again on another one. A worker
// that does not respond in time may be partitioned and still execute the attempt, so nothing is confirmed, and the attempt ends
// by its timeout.
func (p *Pool) handleCancelResult(attempt *requests.Attempt, failure *requests.AttemptError) {
	isNotSent := failure != nil && failure.Reason == requests.ReasonNotSent
	isLost := isNotSent || failure != nil && failure.Reason == requests.ReasonConnectionLost
	if isNotSent { // for lack of local resources: it does not count as a try
		p.cancelAttempts[attempt]--
	}
	isNeeded := !attempt.HasEnded() || failure != nil && failure.Stage >= requests.StageWritten
	if !isLost || !isNeeded || attempt.EndedByWorker() || p.cancelAttempts[attempt] >= maxCancelAttempts {
		delete(p.cancelAttempts, attempt)
		isConfirmed := failure == nil || !isLost && failure.Reason != requests.ReasonTimeout
		p.table.CancelCompleted(attempt, isConfirmed)
		return
	}
	p.loop.StartTimer(cancelRetryDelay, p, func() { p.retryCancel(attempt) })
}

// retryCancel sends a DELETE again, unless the worker has ended the attempt meanwhile or a successor owns it.
func (p *Pool) retryCancel(attempt *requests.Attempt) {
	if attempt.EndedByWorker() || p.hasRelinquished() {
		delete(p.cancelAttempts, attempt)
		return
	}
	p.sendCancel(attempt)
}
