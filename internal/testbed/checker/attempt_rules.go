package checker

import (
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the rules for attempts, as workers see them: where and when a request may be sent, and sent again.

func (j *Checker) attemptReceived(b *job, t *request, n int, event *trace.Event) {
	j.counts.Attempts++
	j.checkCounts[ruleDrain]++
	j.checkDrain(b, t, event)
	t.attemptCount++
	j.checkCounts[ruleAttempts]++
	if t.attemptCount > j.attemptLimit {
		j.report(ruleAttempts, b, t.id, "sent %d times, of %d allowed", t.attemptCount, j.attemptLimit)
	}
	j.checkSending(b, t, event)
	at := len(b.attempts)
	b.attempts = append(b.attempts, attempt{firstByteAt: min(event.FirstByteAt, event.At), request: n, worker: event.Worker})
	for i := range at {
		early, late := i, at
		if b.attempts[at].firstByteAt < b.attempts[i].firstByteAt {
			early, late = at, i
		}
		j.checkPair(b, t, early, late, event.Scheduler)
	}
}

// checkDrain checks that the scheduler did not send to a worker that it had to know to drain.
func (j *Checker) checkDrain(b *job, t *request, s *trace.Event) {
	if c := j.scheduler(s.Scheduler); len(c.drainNotifiedAt) > 0 {
		if notified, ok := c.drainNotifiedAt[s.Worker]; ok && s.FirstByteAt > j.noticedAt(c, notified)+j.drainGrace+j.observationLateness() {
			j.report(ruleDrain, b, t.id, "sent to w-%d %v after scheduler %d was notified that it drains or is gone",
				s.Worker, s.FirstByteAt-notified, s.Scheduler)
		}
	}
}

// checkSending checks the key of an attempt, and that its request was still open.
func (j *Checker) checkSending(b *job, t *request, s *trace.Event) {
	if b.class.idempotentWithKey && s.IdempotencyKey != t.key {
		j.report(ruleKeyScope, b, t.id, "came to w-%d with key %q, its client's is %q", s.Worker, s.IdempotencyKey, t.key)
	}
	if t.state != requestOpen && s.FirstByteAt > t.endedAt+j.lateSend+j.observationLateness() && !j.scheduler(t.scheduler).frozenDuring(t.endedAt, s.FirstByteAt) &&
		!anyOverlaps(j.clientsCut, t.endedAt, s.FirstByteAt) {
		j.report(ruleOneAnswer, b, t.id, "sent to w-%d %v after it was over", s.Worker, s.FirstByteAt-t.endedAt)
	}
	if t.state == requestAnswered && isRejection(t.status) && !b.class.isRepeatable() {
		j.report(ruleRefusalHarmless, b, t.id, "came to w-%d after it had been rejected", s.Worker)
	}
}

// noticedAt is when a scheduler can have heard what was written to it: one that is frozen reads nothing, and what it had
// begun before goes on when it wakes.
func (j *Checker) noticedAt(c *scheduler, notified time.Duration) time.Duration {
	for _, f := range c.freezes {
		if notified+j.drainGrace >= f.start && notified < f.end && f.end < forever {
			notified = f.end
		}
	}
	return notified
}

// isRepeatable tells whether trying again is harmless whatever has run.
func (c *class) isRepeatable() bool { return c.idempotent || c.idempotentWithKey && c.scope == "all" }

// checkPair holds two attempts of a job against each other.
func (j *Checker) checkPair(b *job, t *request, early, late, scheduler int) {
	first, second := &b.attempts[early], &b.attempts[late]
	if first.request != second.request {
		j.checkRetryAfterRejection(b, t, first, second)
		return
	}
	if first.possiblyExecuted(second.firstByteAt) {
		j.checkRepeat(b, t, first, second)
	}
	if b.class.nonIdempotent {
		j.checkCounts[rulePayoutOnce]++
	} else if b.class.idempotentWithKey {
		j.checkCounts[ruleKeyScope]++
	}
	if (first.worker == second.worker || !j.hedging) && first.inFlight(second.firstByteAt) &&
		!anyOverlaps(j.workersImpaired, second.firstByteAt, second.firstByteAt) && len(j.overlaps) < maxOverlaps {
		r := ruleAttempts
		if first.worker == second.worker {
			r = ruleOnePerWorker
		}
		j.checkCounts[r]++
		j.counts.Overlaps++
		j.overlaps = append(j.overlaps, overlap{job: b, rule: r, early: early, late: late, scheduler: scheduler, worker: first.worker})
	}
}

// checkRetryAfterRejection checks an attempt at a non-idempotent job whose earlier request was rejected.
func (j *Checker) checkRetryAfterRejection(b *job, t *request, first, second *attempt) {
	earlier := &b.requests[min(first.request, second.request)]
	if !b.class.nonIdempotent || earlier.state != requestAnswered || !isRejection(earlier.status) {
		return
	}
	j.checkCounts[rulePayoutOnce]++
	if first.possiblyExecuted(second.firstByteAt) {
		j.report(rulePayoutOnce, b, t.id,
			"tried again after a rejection and sent to w-%d, though it may have run at w-%d", second.worker, first.worker)
	}
}

// checkRepeat checks the second of two attempts at one request, of which the first was possibly executed.
func (j *Checker) checkRepeat(b *job, t *request, first, second *attempt) {
	switch c := b.class; {
	case c.nonIdempotent:
		j.report(rulePayoutOnce, b, t.id, "sent to w-%d, though it may have run at w-%d", second.worker, first.worker)
	case c.idempotentWithKey && !j.shareScope(c.scope, first.worker, second.worker):
		j.report(ruleKeyScope, b, t.id, "sent to w-%d, which is not of the %s of w-%d, where it may have run",
			second.worker, c.scope, first.worker)
	case c.idempotentWithKey && second.firstByteAt-first.firstByteAt >= c.window:
		j.report(ruleKeyScope, b, t.id, "sent again %v after it may have run, in a window of %v",
			second.firstByteAt-first.firstByteAt, c.window)
	}
}

// shareScope tells whether two workers drop each other's repeats.
func (j *Checker) shareScope(group string, x, y int) bool {
	switch group {
	case "cell":
		return elementAt(j.cells, x) == elementAt(j.cells, y)
	case "zone":
		return elementAt(j.zones, x) == elementAt(j.zones, y)
	}
	return true
}

func elementAt(list []int, i int) int {
	if i < 0 || i >= len(list) {
		return -1
	}
	return list[i]
}

// attemptEvent takes what became of an attempt.
func (j *Checker) attemptEvent(b *job, t *request, attempt *attempt, event *trace.Event) {
	switch event.Kind {
	case trace.AttemptRejected:
		j.attemptRejected(b, event)
		attempt.notExecuted = true
		attempt.markEnded(event.At)
		attempt.markEndKnown(j.responseSeenBy(event.At))
		j.updateExhausted(b, t)
	case trace.AttemptStarted:
		if event.Text == "repeat" {
			j.counts.Duplicates++
			return
		}
		j.counts.Started++
		j.attemptStarted(b, t, attempt)
	case trace.AttemptAccepted:
		attempt.accepted = true
	case trace.AttemptFinished:
		j.attemptFinished(b, t, attempt, event)
	case trace.AttemptReturned:
		attempt.notExecuted = true
		attempt.markEnded(event.At)
	case trace.AttemptDied:
		attempt.markEnded(event.At)
	case trace.AttemptCancelled:
		if attempt.markEnded(event.At); event.Text == "" {
			attempt.markEndKnown(event.At)
		}
	case trace.CallbackAnswered:
		j.callbackAnswered(b, t, attempt, event)
	}
}

// attemptFinished handles the end of an attempt that ran, or an error in place of the 202.
func (j *Checker) attemptFinished(b *job, t *request, a *attempt, s *trace.Event) {
	a.markEnded(s.At)
	a.result, a.succeeded = s.Text, s.Status == http.StatusOK
	if !a.succeeded && !a.accepted { // an error in place of the 202
		a.markEndKnown(j.responseSeenBy(s.At))
		if b.class.nonIdempotent && t.exhaustedAt == 0 {
			t.exhaustedAt = a.endKnownAt
		}
		j.updateExhausted(b, t)
	}
}

// callbackAnswered handles a callback that its scheduler has answered, which knows the state from then on.
func (j *Checker) callbackAnswered(b *job, t *request, attempt *attempt, event *trace.Event) {
	if event.Status/100 != 2 || event.Scheduler != t.scheduler || t.incarnation != j.scheduler(event.Scheduler).incarnation {
		return
	}
	switch event.Text {
	case "failed", "lost":
		attempt.markEndKnown(event.At)
		if b.class.nonIdempotent && t.exhaustedAt == 0 {
			t.exhaustedAt = event.At
		}
	case "returned":
		attempt.markEndKnown(event.At)
	}
	j.updateExhausted(b, t)
}

// responseSeenBy is when a scheduler has heard what a worker has answered at an instant.
func (j *Checker) responseSeenBy(at time.Duration) time.Duration {
	for _, s := range j.workersCut {
		if s.start <= at+j.workerDelay && at < s.end {
			at = s.end
		}
	}
	return min(at, forever-j.workerDelay) + j.workerDelay
}

// attemptStarted takes the begin of a run.
func (j *Checker) attemptStarted(b *job, t *request, attempt *attempt) {
	if attempt.started {
		return
	}
	if attempt.started = true; !b.class.nonIdempotent {
		return
	}
	j.checkCounts[rulePayoutOnce]++
	for i := range b.attempts {
		x := &b.attempts[i]
		if x == attempt || !x.started {
			continue
		}
		if first := &b.requests[min(x.request, attempt.request)]; x.request == attempt.request || first.state == requestAnswered && isRejection(first.status) {
			j.report(rulePayoutOnce, b, t.id, "begins at w-%d, and had begun at w-%d", attempt.worker, x.worker)
		}
	}
}

// attemptRejected looks at why a worker turned a request away.
func (j *Checker) attemptRejected(b *job, s *trace.Event) {
	switch s.Status {
	case http.StatusBadRequest:
		j.report(ruleIDUnknown, b, s.RequestID, "w-%d got request %q, which no client sent in this form", s.Worker, s.RequestID)
	case http.StatusNotFound:
		j.report(ruleIDUnknown, b, s.RequestID, "w-%d got a request without an id", s.Worker)
	}
}
