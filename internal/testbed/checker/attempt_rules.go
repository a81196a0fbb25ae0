package checker

import (
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the rules for attempts, as workers see them: where and when a request may be sent, and sent again.

// attemptReceived adds an attempt that reached a worker to its job, and checks it alone and against each earlier attempt.
func (c *Checker) attemptReceived(job *job, request *request, requestIndex int, event *trace.Event) {
	c.counts.Attempts++
	c.checkCounts[ruleDrain]++
	c.checkDrain(job, request, event)
	request.attemptCount++
	c.checkCounts[ruleAttempts]++
	if request.attemptCount > c.attemptLimit {
		c.report(ruleAttempts, job, request.id, "sent %d times, of %d allowed", request.attemptCount, c.attemptLimit)
	}
	c.checkSending(job, request, event)
	newest := len(job.attempts)
	job.attempts = append(job.attempts, attempt{
		firstByteAt: min(event.FirstByteAt, event.At),
		request:     requestIndex,
		worker:      event.Worker,
	})
	for i := range newest {
		early, late := i, newest
		if job.attempts[newest].firstByteAt < job.attempts[i].firstByteAt {
			early, late = newest, i
		}
		c.checkPair(job, request, early, late, event.Scheduler)
	}
}

// checkDrain checks that the scheduler did not send to a worker after it was notified that the worker drains.
func (c *Checker) checkDrain(job *job, request *request, event *trace.Event) {
	scheduler := c.scheduler(event.Scheduler)
	notified, isNotified := scheduler.drainNotifiedAt[event.Worker]
	if !isNotified {
		return
	}
	latest := c.noticedAt(scheduler, notified) + c.drainGrace + c.observationLateness()
	if event.FirstByteAt > latest {
		c.report(ruleDrain, job, request.id, "sent to w-%d %v after scheduler %d was notified that it drains or is gone",
			event.Worker, event.FirstByteAt-notified, event.Scheduler)
	}
}

// checkSending checks the key of an attempt, and that its request was still open.
func (c *Checker) checkSending(job *job, request *request, event *trace.Event) {
	if job.class.idempotentWithKey && event.IdempotencyKey != request.key {
		c.report(ruleKeyScope, job, request.id, "came to w-%d with key %q, its client's is %q",
			event.Worker, event.IdempotencyKey, request.key)
	}
	isLate := request.state != requestOpen && event.FirstByteAt > request.endedAt+c.lateSend+c.observationLateness()
	if isLate && !c.scheduler(request.scheduler).frozenDuring(request.endedAt, event.FirstByteAt) &&
		!anyOverlaps(c.clientsCut, request.endedAt, event.FirstByteAt) {
		c.report(ruleOneAnswer, job, request.id, "sent to w-%d %v after it was over",
			event.Worker, event.FirstByteAt-request.endedAt)
	}
	if request.state == requestAnswered && isRejection(request.status) && !job.class.isRepeatable() {
		c.report(ruleRefusalHarmless, job, request.id, "came to w-%d after it had been rejected", event.Worker)
	}
}

// noticedAt returns the time by which a scheduler can have read a notification that was written to it at notified: a frozen
// scheduler reads nothing until it is resumed, and then continues what it had begun.
func (c *Checker) noticedAt(scheduler *scheduler, notified time.Duration) time.Duration {
	for _, freeze := range scheduler.freezes {
		if notified+c.drainGrace >= freeze.start && notified < freeze.end && freeze.end < forever {
			notified = freeze.end
		}
	}
	return notified
}

// isRepeatable reports whether a job of the class may be retried regardless of which attempts were executed.
func (c *class) isRepeatable() bool { return c.idempotent || c.idempotentWithKey && c.scope == "all" }

// checkPair checks two attempts of a job, given by their indexes, against each other.
func (c *Checker) checkPair(job *job, request *request, early, late, scheduler int) {
	first := &job.attempts[early]
	second := &job.attempts[late]
	if first.request != second.request {
		c.checkRetryAfterRejection(job, request, first, second)
		return
	}
	if first.possiblyExecuted(second.firstByteAt) {
		c.checkRepeat(job, request, first, second)
	}
	if job.class.nonIdempotent {
		c.checkCounts[rulePayoutOnce]++
	} else if job.class.idempotentWithKey {
		c.checkCounts[ruleKeyScope]++
	}
	if (first.worker == second.worker || !c.hedging) && first.inFlight(second.firstByteAt) &&
		!anyOverlaps(c.workersImpaired, second.firstByteAt, second.firstByteAt) && len(c.overlaps) < maxOverlaps {
		overlapRule := ruleAttempts
		if first.worker == second.worker {
			overlapRule = ruleOnePerWorker
		}
		c.checkCounts[overlapRule]++
		c.counts.Overlaps++
		c.overlaps = append(c.overlaps, overlap{
			job:       job,
			rule:      overlapRule,
			early:     early,
			late:      late,
			scheduler: scheduler,
			worker:    first.worker,
		})
	}
}

// checkRetryAfterRejection checks an attempt at a non-idempotent job whose earlier request was rejected.
func (c *Checker) checkRetryAfterRejection(job *job, request *request, first, second *attempt) {
	earlier := &job.requests[min(first.request, second.request)]
	if !job.class.nonIdempotent || earlier.state != requestAnswered || !isRejection(earlier.status) {
		return
	}
	c.checkCounts[rulePayoutOnce]++
	if first.possiblyExecuted(second.firstByteAt) {
		c.report(rulePayoutOnce, job, request.id,
			"tried again after a rejection and sent to w-%d, though it may have run at w-%d", second.worker, first.worker)
	}
}

// checkRepeat checks the second of two attempts at one request, of which the first was possibly executed.
func (c *Checker) checkRepeat(job *job, request *request, first, second *attempt) {
	switch class := job.class; {
	case class.nonIdempotent:
		c.report(rulePayoutOnce, job, request.id, "sent to w-%d, though it may have run at w-%d", second.worker, first.worker)
	case class.idempotentWithKey && !c.shareScope(class.scope, first.worker, second.worker):
		c.report(ruleKeyScope, job, request.id, "sent to w-%d, which is not of the %s of w-%d, where it may have run",
			second.worker, class.scope, first.worker)
	case class.idempotentWithKey && second.firstByteAt-first.firstByteAt >= class.window:
		c.report(ruleKeyScope, job, request.id, "sent again %v after it may have run, in a window of %v",
			second.firstByteAt-first.firstByteAt, class.window)
	}
}

// shareScope reports whether two workers are in one deduplication scope, so that each drops duplicates of the other's requests.
func (c *Checker) shareScope(scope string, first, second int) bool {
	switch scope {
	case "cell":
		return elementAt(c.cells, first) == elementAt(c.cells, second)
	case "zone":
		return elementAt(c.zones, first) == elementAt(c.zones, second)
	}
	return true
}

// elementAt returns the value at an index, or -1 if the index is out of range.
func elementAt(values []int, index int) int {
	if index < 0 || index >= len(values) {
		return -1
	}
	return values[index]
}

// attemptEvent handles an event of an attempt that has reached its worker.
func (c *Checker) attemptEvent(job *job, request *request, attempt *attempt, event *trace.Event) {
	switch event.Kind {
	case trace.AttemptRejected:
		c.attemptRejected(job, event)
		attempt.notExecuted = true
		attempt.markEnded(event.At)
		attempt.markEndKnown(c.responseSeenBy(event.At))
		c.updateExhausted(job, request)
	case trace.AttemptStarted:
		if event.Text == "repeat" {
			c.counts.Duplicates++
			return
		}
		c.counts.Started++
		c.attemptStarted(job, request, attempt)
	case trace.AttemptAccepted:
		attempt.accepted = true
	case trace.AttemptFinished:
		c.attemptFinished(job, request, attempt, event)
	case trace.AttemptReturned:
		attempt.notExecuted = true
		attempt.markEnded(event.At)
	case trace.AttemptDied:
		attempt.markEnded(event.At)
	case trace.AttemptCancelled:
		attempt.markEnded(event.At)
		if event.Text == "" {
			attempt.markEndKnown(event.At)
		}
	case trace.CallbackAnswered:
		c.callbackAnswered(job, request, attempt, event)
	}
}

// attemptFinished handles the result of an executed attempt, or an error that its worker returned in place of the 202.
func (c *Checker) attemptFinished(job *job, request *request, attempt *attempt, event *trace.Event) {
	attempt.markEnded(event.At)
	attempt.result = event.Text
	attempt.succeeded = event.Status == http.StatusOK
	if !attempt.succeeded && !attempt.accepted { // an error in place of the 202
		attempt.markEndKnown(c.responseSeenBy(event.At))
		if job.class.nonIdempotent && request.exhaustedAt == 0 {
			request.exhaustedAt = attempt.endKnownAt
		}
		c.updateExhausted(job, request)
	}
}

// callbackAnswered handles a callback that its scheduler has answered; from then on the scheduler knows the reported state.
func (c *Checker) callbackAnswered(job *job, request *request, attempt *attempt, event *trace.Event) {
	isAdmitter := event.Scheduler == request.scheduler && request.incarnation == c.scheduler(event.Scheduler).incarnation
	if event.Status/100 != 2 || !isAdmitter {
		return
	}
	switch event.Text {
	case "failed", "lost":
		attempt.markEndKnown(event.At)
		if job.class.nonIdempotent && request.exhaustedAt == 0 {
			request.exhaustedAt = event.At
		}
	case "returned":
		attempt.markEndKnown(event.At)
	}
	c.updateExhausted(job, request)
}

// responseSeenBy returns the time by which a scheduler has received a response that a worker sent at an instant.
func (c *Checker) responseSeenBy(at time.Duration) time.Duration {
	for _, cut := range c.workersCut {
		if cut.start <= at+c.workerDelay && at < cut.end {
			at = cut.end
		}
	}
	return min(at, forever-c.workerDelay) + c.workerDelay
}

// attemptStarted handles the start of an attempt's execution: a non-idempotent job is executed once at most.
func (c *Checker) attemptStarted(job *job, request *request, attempt *attempt) {
	if attempt.started {
		return
	}
	attempt.started = true
	if !job.class.nonIdempotent {
		return
	}
	c.checkCounts[rulePayoutOnce]++
	for i := range job.attempts {
		other := &job.attempts[i]
		if other == attempt || !other.started {
			continue
		}
		earlier := &job.requests[min(other.request, attempt.request)]
		if other.request == attempt.request || earlier.state == requestAnswered && isRejection(earlier.status) {
			c.report(rulePayoutOnce, job, request.id, "begins at w-%d, and had begun at w-%d", attempt.worker, other.worker)
		}
	}
}

// attemptRejected checks the status with which a worker rejected a request. The job is nil if no client sent the request.
func (c *Checker) attemptRejected(job *job, event *trace.Event) {
	switch event.Status {
	case http.StatusBadRequest:
		c.report(ruleIDUnknown, job, event.RequestID, "w-%d got request %q, which no client sent in this form",
			event.Worker, event.RequestID)
	case http.StatusNotFound:
		c.report(ruleIDUnknown, job, event.RequestID, "w-%d got a request without an id", event.Worker)
	}
}
