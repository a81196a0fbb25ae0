package link

import (
	"time"

	"valvecove/internal/requests"
)

const (
	maxCancelTries   = 4 // connections are tried for a DELETE before it is given up
	cancelRetryDelay = 50 * time.Millisecond
)

// Cancel sends a DELETE, unless one is on its way.
func (s *workerPool) Cancel(a *requests.Attempt) {
	if _, is := s.cancelTries[a]; !is {
		s.cancelTries[a] = 1
		s.startExchange(a.Worker, exchange{kind: exchangeCancel, attempt: a})
	}
}

// handleCancelResult takes in how a DELETE ended. What broke is tried again, on another connection: the first may not have come up
// in time, or may have been reset or dropped unseen, and the DELETE with it. Its worker node is told once it answers. Where it
// does not, it may be cut off, and run what it has: the attempt is out as before.
func (s *workerPool) handleCancelResult(a *requests.Attempt, fault *requests.AttemptError) {
	broke := fault != nil && fault.Reason == requests.ReasonConnectionLost
	wanted := !a.HasEnded() || fault != nil && fault.Stage >= requests.StageWritten
	if !broke || !wanted || a.EndedByWorker() || s.cancelTries[a] >= maxCancelTries {
		delete(s.cancelTries, a)
		s.loop.Requests.CancelCompleted(a, !broke && (fault == nil || fault.Reason != requests.ReasonTimeout))
		return
	}
	s.loop.StartTimer(cancelRetryDelay, s, func() {
		if a.EndedByWorker() || s.loop.hasRelinquished() {
			delete(s.cancelTries, a)
			return
		}
		s.cancelTries[a]++
		s.startExchange(a.Worker, exchange{kind: exchangeCancel, attempt: a})
	})
}
