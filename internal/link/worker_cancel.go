package link

import (
	"time"

	"valvecove/internal/requests"
)

const (
	maxCancelTries   = 4 // connections are tried for a DELETE before it is given up
	cancelRetryDelay = 50 * time.Millisecond
)

// Cancel sends a DELETE for an attempt, unless one is on its way.
func (p *workerPool) Cancel(attempt *requests.Attempt) {
	if _, isCancelling := p.cancelTries[attempt]; !isCancelling {
		p.tryCancel(attempt)
	}
}

func (p *workerPool) tryCancel(attempt *requests.Attempt) {
	p.cancelTries[attempt]++
	p.startExchange(attempt.Worker, exchange{kind: exchangeCancel, attempt: attempt})
}

// handleCancelResult takes in how a DELETE ended. Where its connection was lost it is sent again, on another one: the first may
// not have come up in time, or was reset or dropped unseen, and the DELETE with it. A worker that responds knows. One that
// does not may be cut off, and go on with the attempt, which then ends by its timeout.
func (p *workerPool) handleCancelResult(attempt *requests.Attempt, failure *requests.AttemptError) {
	neverSent := failure != nil && failure.Reason == requests.ReasonNotSent // this machine lacked something: that passes
	isLost := failure != nil && failure.Reason == requests.ReasonConnectionLost || neverSent
	if neverSent {
		p.cancelTries[attempt]--
	}
	isOfUse := !attempt.HasEnded() || failure != nil && failure.Stage >= requests.StageWritten
	if !isLost || !isOfUse || attempt.EndedByWorker() || p.cancelTries[attempt] >= maxCancelTries {
		delete(p.cancelTries, attempt)
		workerKnows := failure == nil || !isLost && failure.Reason != requests.ReasonTimeout
		p.loop.Requests.CancelCompleted(attempt, workerKnows)
		return
	}
	p.loop.StartTimer(cancelRetryDelay, p, func() {
		if attempt.EndedByWorker() || p.loop.hasRelinquished() {
			delete(p.cancelTries, attempt)
			return
		}
		p.tryCancel(attempt)
	})
}
