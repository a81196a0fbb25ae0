package starvation

import (
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// States that callbacks report, and the text of a cancellation that a fault of the network caused: the attempt's scheduler is
// not notified of it.
const (
	stateStarted     = "started"
	stateRunning     = "running"
	stateDone        = "done"
	cancelledByFault = "forgotten"
)

// attempt is an attempt to execute a request on a worker.
type attempt struct {
	worker        int
	sentAt        time.Duration
	receivedAt    time.Duration // when its worker had read it
	inFlight      bool          // it has not ended for its scheduler
	atWorker      bool          // it occupies slots of its worker
	received      bool          // its worker has read it
	finished      bool          // its execution has ended
	startNotified bool          // its scheduler was notified that it runs
	notExecuted   bool          // its scheduler was notified that it was not executed
}

// isInFlight reports whether the attempt has not ended for its scheduler.
func (a *attempt) isInFlight() bool { return a.inFlight }

// occupiesWorker reports whether the attempt occupies slots of its worker.
func (a *attempt) occupiesWorker() bool { return a.atWorker }

// isUnread reports whether the attempt occupies its worker and was not read yet.
func (a *attempt) isUnread() bool { return a.atWorker && !a.received }

// isUnresolved reports whether the attempt is in flight or occupies its worker.
func (a *attempt) isUnresolved() bool { return a.inFlight || a.atWorker }

// startedAttempt is an attempt that has started, of which its scheduler may not have been notified.
type startedAttempt struct {
	at      time.Duration
	attempt *attempt
}

// findAttempt returns the request of an event and its first attempt at the event's worker for which matches holds.
// Either is nil if there is none.
func (c *Checker) findAttempt(event *trace.Event, matches func(candidate *attempt) bool) (*request, *attempt) {
	owner := c.requests[event.RequestID]
	if owner == nil {
		return nil, nil
	}
	for _, candidate := range owner.attempts {
		if candidate.worker == event.Worker && matches(candidate) {
			return owner, candidate
		}
	}
	return owner, nil
}

// attemptSent adds an attempt, which occupies its worker, to its request.
func (c *Checker) attemptSent(event *trace.Event) {
	owner := c.requests[event.RequestID]
	if owner == nil || !c.isWorker(event.Worker) {
		return
	}
	if owner.isQueued() {
		c.stopWaiting(owner)
	}
	owner.attempts = append(owner.attempts, &attempt{worker: event.Worker, sentAt: event.At, inFlight: true, atWorker: true})
	owner.inFlight++
	owner.atWorkers++
	c.addUse(&c.workers[event.Worker], owner.job.slots)
}

// attemptReceived handles an attempt that its worker has read.
func (c *Checker) attemptReceived(event *trace.Event) {
	if _, received := c.findAttempt(event, (*attempt).isUnread); received != nil {
		received.received = true
		received.receivedAt = event.At
	}
}

// attemptRejected ends an attempt that its worker rejected: it was not executed.
func (c *Checker) attemptRejected(event *trace.Event) {
	c.markUnhealthy(event.Worker)
	if owner, rejected := c.findAttempt(event, (*attempt).occupiesWorker); rejected != nil {
		rejected.notExecuted = true
		c.resolveAttempt(owner, rejected)
	}
}

// attemptReturned ends an attempt at its worker only: its scheduler is notified of it by a callback.
func (c *Checker) attemptReturned(event *trace.Event) {
	c.markUnhealthy(event.Worker)
	if owner, returned := c.findAttempt(event, (*attempt).occupiesWorker); returned != nil {
		returned.notExecuted = true
		c.releaseWorker(owner, returned)
	}
}

// attemptStarted handles the start of an execution, of which the scheduler has to be notified in time.
func (c *Checker) attemptStarted(event *trace.Event) {
	_, started := c.findAttempt(event, (*attempt).occupiesWorker)
	isRepeat := event.Text != ""
	if started == nil || isRepeat || c.kinds[c.workers[event.Worker].kind].omitsStarts {
		return
	}
	c.started.push(startedAttempt{at: event.At, attempt: started})
}

// checkStartNotifications marks workers as unhealthy that have not sent the callback of a start in time.
func (c *Checker) checkStartNotifications() {
	for c.started.size > 0 && c.now-c.started.first().at >= notificationWindow {
		started := c.started.pop().attempt
		if !started.startNotified && started.atWorker {
			c.markUnhealthy(started.worker)
		}
	}
}

// attemptFinished handles the end of an execution. The attempt occupies its worker until its scheduler is notified.
func (c *Checker) attemptFinished(event *trace.Event) {
	failed := event.Status != http.StatusOK
	if failed {
		c.markUnhealthy(event.Worker)
	}
	owner, finished := c.findAttempt(event, (*attempt).occupiesWorker)
	if finished == nil {
		return
	}
	finished.finished = true
	failedOnReceipt := failed && finished.receivedAt == event.At
	switch {
	case failedOnReceipt: // the response to the attempt is the error: no callback follows
		c.resolveAttempt(owner, finished)
	case !finished.inFlight:
		c.releaseWorker(owner, finished)
	}
}

// attemptDied ends an attempt at its worker, with the worker's process. Its scheduler is not notified.
func (c *Checker) attemptDied(event *trace.Event) {
	c.markUnhealthy(event.Worker)
	if owner, died := c.findAttempt(event, (*attempt).occupiesWorker); died != nil {
		c.releaseWorker(owner, died)
	}
}

// attemptCancelled ends an attempt for its scheduler. The attempt occupies its worker until its execution has ended.
func (c *Checker) attemptCancelled(event *trace.Event) {
	owner, cancelled := c.findAttempt(event, (*attempt).isInFlight)
	if cancelled == nil || event.Text == cancelledByFault {
		return
	}
	if cancelled.finished {
		c.releaseWorker(owner, cancelled)
	}
	c.endForScheduler(owner, cancelled)
}

// attemptUnread ends an attempt that no worker has read before its connection ended.
func (c *Checker) attemptUnread(event *trace.Event) {
	c.markUnhealthy(event.Worker)
	if owner, unread := c.findAttempt(event, (*attempt).isUnread); unread != nil {
		c.resolveAttempt(owner, unread)
	}
}

// callbackAnswered handles a callback that its scheduler has answered: the start or the end of an attempt.
func (c *Checker) callbackAnswered(event *trace.Event) {
	if event.Number > 1 {
		c.markUnhealthy(event.Worker)
	}
	if !isFinalState(event.Text) {
		if _, running := c.findAttempt(event, (*attempt).occupiesWorker); running != nil {
			running.startNotified = true
		}
		return
	}
	if event.Text != stateDone {
		c.markUnhealthy(event.Worker)
	}
	owner, ended := c.findAttempt(event, (*attempt).isUnresolved)
	if ended == nil {
		return
	}
	if ended.inFlight && event.Text == stateDone {
		c.schedulers[event.Scheduler].classEnds[owner.job.class]++
	}
	c.resolveAttempt(owner, ended)
}

// callbackLost handles a callback that its worker has abandoned. The attempt ends at the worker only.
func (c *Checker) callbackLost(event *trace.Event) {
	c.markUnhealthy(event.Worker)
	if owner, ended := c.findAttempt(event, (*attempt).occupiesWorker); ended != nil && isFinalState(event.Text) {
		c.releaseWorker(owner, ended)
	}
}

// isFinalState reports whether a callback with this state reports the end of an attempt.
func isFinalState(state string) bool { return state != stateStarted && state != stateRunning }

// resolveAttempt ends an attempt at its worker and for its scheduler.
func (c *Checker) resolveAttempt(owner *request, ended *attempt) {
	c.releaseWorker(owner, ended)
	c.endForScheduler(owner, ended)
}

// releaseWorker ends an attempt at its worker.
func (c *Checker) releaseWorker(owner *request, ended *attempt) {
	if !ended.atWorker {
		return
	}
	ended.atWorker = false
	owner.atWorkers--
	c.addUse(&c.workers[ended.worker], -owner.job.slots)
	c.dropIfFinished(owner)
}

// endForScheduler ends an attempt for its scheduler, whose request is queued again if no other attempt is in flight.
func (c *Checker) endForScheduler(owner *request, ended *attempt) {
	if !ended.inFlight {
		return
	}
	ended.inFlight = false
	owner.inFlight--
	if owner.isQueued() {
		c.startWaiting(owner)
	}
}
