package worker

import (
	"time"

	"valvecove/internal/requests"
)

const (
	maxCancelTries    = 4 // connections are tried for a DELETE before it is given up
	cancelRetryDelay  = 50 * time.Millisecond
	acceptanceTimeout = 100 * time.Millisecond // a worker that has not accepted by then is taken not to: a 202 follows the last byte
)

// Cancel sends a DELETE for an attempt, unless one is on its way. For an attempt that is written and not accepted yet it waits a
// moment: closing the connection gives up nothing if the worker's 202 is on its way.
func (p *Pool) Cancel(attempt *requests.Attempt) {
	if _, isCancelling := p.cancelTries[attempt]; isCancelling {
		return
	}
	if attempt.Stage >= requests.StageAccepted {
		p.tryCancel(attempt)
		return
	}
	p.cancelTries[attempt] = 0
	p.loop.StartTimer(acceptanceTimeout, p, func() {
		tries, isWaiting := p.cancelTries[attempt]
		if isWaiting && tries == 0 && attempt.Stage < requests.StageAccepted {
			delete(p.cancelTries, attempt)
			p.table.CancelUnaccepted(attempt)
		}
	})
}

// handleAccepted sends the DELETE that has waited for an attempt to be accepted, if one has.
func (p *Pool) handleAccepted(attempt *requests.Attempt) {
	if tries, isWaiting := p.cancelTries[attempt]; !isWaiting || tries > 0 {
		return
	}
	if attempt.EndedByWorker() {
		delete(p.cancelTries, attempt)
		return
	}
	p.tryCancel(attempt)
}

func (p *Pool) tryCancel(attempt *requests.Attempt) {
	p.cancelTries[attempt]++
	p.startExchange(attempt.Worker, exchange{kind: exchangeCancel, attempt: attempt})
}

// handleCancelResult takes in how a DELETE ended. Where its connection was lost it is sent again, on another one: the first may
// not have come up in time, or was reset or dropped unseen, and the DELETE with it. A worker that responds knows. One that
// does not may be cut off, and go on with the attempt, which then ends by its timeout.
func (p *Pool) handleCancelResult(attempt *requests.Attempt, failure *requests.AttemptError) {
	neverSent := failure != nil && failure.Reason == requests.ReasonNotSent // this machine lacked something: that passes
	isLost := failure != nil && failure.Reason == requests.ReasonConnectionLost || neverSent
	if neverSent {
		p.cancelTries[attempt]--
	}
	isOfUse := !attempt.HasEnded() || failure != nil && failure.Stage >= requests.StageWritten
	if !isLost || !isOfUse || attempt.EndedByWorker() || p.cancelTries[attempt] >= maxCancelTries {
		delete(p.cancelTries, attempt)
		workerKnows := failure == nil || !isLost && failure.Reason != requests.ReasonTimeout
		p.table.CancelCompleted(attempt, workerKnows)
		return
	}
	p.loop.StartTimer(cancelRetryDelay, p, func() {
		if attempt.EndedByWorker() || p.hasRelinquished() {
			delete(p.cancelTries, attempt)
			return
		}
		p.tryCancel(attempt)
	})
}
