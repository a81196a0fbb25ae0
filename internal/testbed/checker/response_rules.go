package checker

import (
	"fmt"
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the rules for responses: exactly one final answer, prompt, with a result that a worker made.

func isRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func (j *Checker) responseReceived(b *job, t *request, event *trace.Event) {
	t.responseBody = event.Text
	switch t.responses++; {
	case t.responses > 1:
		j.report(ruleOneAnswer, b, t.id, "its client had a second answer to one request")
		return
	case t.state != requestOpen: // its client had gone, and heard it all the same
		return
	}
	t.state, t.endedAt, t.status = requestAnswered, event.At, event.Status
	if late := event.At - t.deadline; late > j.slack+2*j.clientDelay+j.observationLateness() && !j.isExcused(t, event.At) {
		j.report(ruleOneAnswer, b, t.id, "its answer came %v after its budget was over", late)
	}
	switch {
	case event.Status == http.StatusOK:
		j.counts.Served++
		j.checkResult(b, t, event)
		return
	case isRejection(event.Status):
		j.counts.Rejected++
		j.checkRejection(b, t, event.At)
	default:
		j.counts.Failed++
	}
	j.checkPromptness(b, t, event.At)
}

// requestEnded takes the end of a try without an answer.
func (j *Checker) requestEnded(b *job, t *request, how requestState, at time.Duration) {
	if t.state != requestOpen {
		return
	}
	if t.state, t.endedAt = how, at; how == requestClientLeft || how == requestTimedOut && at < t.deadline+2*(j.clientDelay+j.observationLateness()) {
		j.counts.Excused++
		return
	}
	j.checkUnanswered(b, t, at, how == requestConnLost, &j.counts)
}

// checkUnanswered says whether an answer was owed. cut: the connection has ended; else its time is up.
func (j *Checker) checkUnanswered(b *job, t *request, at time.Duration, cut bool, counts *Counts) {
	exit := j.scheduler(t.scheduler).exits[t.incarnation]
	idle := t.attemptCount == 0 && cut && at-t.sentAt <= 2*j.clientDelay+j.observationLateness()
	fault := ""
	switch {
	case exit.exitedAt > 0:
		fault = j.unansweredAtExit(t, exit, idle)
	case cut && idle, j.isExcused(t, at):
	case cut:
		fault = "its connection ended without an answer"
	default:
		fault = "no answer by the end of its budget"
	}
	if fault == "" {
		counts.Excused++
		return
	}
	j.report(ruleOneAnswer, b, t.id, "%s", fault)
}

// unansweredAtExit returns what is wrong with a request that its scheduler's exit left unanswered, or nothing if it is
// excused. idle: the scheduler had sent nothing for it, and may not have read it.
func (j *Checker) unansweredAtExit(t *request, exit processExit, idle bool) string {
	switch {
	case t.sentAt+j.clientDelay >= exit.exitedAt: // not admitted by then
	case exit.terminatedAt == 0: // killed, or a crash
	case exit.killed:
		if !j.isExcusedByKill(t, exit) {
			return fmt.Sprintf("SIGKILL found it unanswered, though it came %v after SIGTERM", t.sentAt-exit.terminatedAt)
		}
	case idle, anyOverlaps(j.clientsCut, t.sentAt, exit.exitedAt):
	default:
		return "its scheduler ended after SIGTERM without having answered it"
	}
	return ""
}

// isExcusedByKill reports whether a request may go unanswered as SIGKILL followed a SIGTERM.
func (j *Checker) isExcusedByKill(t *request, exit processExit) bool {
	return t.sentAt <= exit.terminatedAt+termGrace+j.clientDelay || t.sentAt+j.clientDelay+j.slack >= exit.exitedAt ||
		exit.exitedAt < exit.terminatedAt+j.killDelay ||
		j.scheduler(t.scheduler).frozenDuring(exit.terminatedAt, exit.exitedAt) ||
		anyOverlaps(j.clientsCut, t.sentAt, exit.exitedAt)
}

// isExcused tells whether a try that ended at an instant had met a freeze or a cut that excuses a missing answer.
func (j *Checker) isExcused(t *request, at time.Duration) bool {
	for _, f := range j.scheduler(t.scheduler).freezes {
		// Its scheduler may have read it only when it woke, and counts from there; or woke when time was up.
		if f.start <= at && t.sentAt-j.clientDelay <= f.end && (f.start <= t.sentAt+j.clientDelay || f.end >= t.deadline-j.slack) {
			return true
		}
	}
	return anyOverlaps(j.clientsCut, t.sentAt, at)
}

func (j *Checker) checkRejection(b *job, t *request, at time.Duration) {
	j.checkCounts[ruleRefusalHarmless]++
	if b.class.isRepeatable() {
		return
	}
	n := t.indexIn(b)
	for i := range b.attempts {
		if a := &b.attempts[i]; a.request == n && a.possiblyExecuted(at) {
			j.report(ruleRefusalHarmless, b, t.id, "rejected with %d, though it may have run at w-%d", t.status, a.worker)
			return
		}
	}
}

func (t *request) indexIn(b *job) int {
	_, n := b.findRequest(t.id)
	return n
}

func (j *Checker) checkResult(b *job, t *request, s *trace.Event) {
	j.checkCounts[ruleMadeByWorker]++
	n := t.indexIn(b)
	for i := range b.attempts {
		if a := &b.attempts[i]; a.request == n && a.succeeded && a.result == s.Text {
			return
		}
	}
	j.report(ruleMadeByWorker, b, t.id, "served with %q, which no worker made for it", truncate(s.Text))
}

// updateExhausted notes when a scheduler knows that no attempt is left to it.
func (j *Checker) updateExhausted(b *job, t *request) {
	if t.attemptCount < j.attemptLimit || t.exhaustedAt > 0 || t.state != requestOpen {
		return
	}
	n, last := t.indexIn(b), time.Duration(0)
	for i := range b.attempts {
		if a := &b.attempts[i]; a.request == n {
			if a.endKnownAt == 0 {
				return
			}
			last = max(last, a.endKnownAt)
		}
	}
	t.exhaustedAt = last
}

// checkPromptness is the rule that what was given up is answered at once; see the package's doc.
func (j *Checker) checkPromptness(b *job, t *request, answeredAt time.Duration) {
	if j.scheduler(t.scheduler).frozenDuring(t.sentAt, answeredAt) || anyOverlaps(j.clientsCut, t.sentAt, answeredAt) {
		return
	}
	j.checkCounts[rulePromptRefusal]++
	if t.exhaustedAt > 0 && answeredAt > t.exhaustedAt+j.rejectionDeadline+j.clientDelay+j.observationLateness() {
		j.report(rulePromptRefusal, b, t.id, "answered with %d %v after its scheduler knew that no attempt was left to it",
			t.status, answeredAt-t.exhaustedAt)
		return
	}
	if !isRejection(t.status) {
		return
	}
	n, last := t.indexIn(b), max(t.sentAt, t.unreadUntil)
	for i := range b.attempts {
		switch a := &b.attempts[i]; {
		case a.request != n:
		case a.endKnownAt == 0: // its scheduler may have waited for it
			return
		default:
			last = max(last, a.endKnownAt)
		}
	}
	within := j.rejectionDeadline + j.clientDelay + j.observationLateness()
	if anyOverlaps(j.connectsImpaired, answeredAt-j.dialDelay, answeredAt) { // it may have waited for a connection
		within += j.dialDelay
	}
	hope := t.sentAt + j.objectiveHorizon(b, t)
	if answeredAt > max(hope, last)+within {
		j.report(rulePromptRefusal, b, t.id,
			"rejected %v after it was sent, when no attempt of it had been in flight for %v, and nothing to hope for after %v",
			answeredAt-t.sentAt, answeredAt-last, hope-t.sentAt)
	}
}

// objectiveHorizon is how long after it was asked a scheduler may have hoped to bring a request in by its objective, however wrong its
// idea of the work. Of one held for heavy it knows that even the fastest worker needs a good part of the work.
func (j *Checker) objectiveHorizon(b *job, t *request) time.Duration {
	c, budget := b.class, t.deadline-t.sentAt
	work := float64(max(b.work, c.meanWork)) * j.estimateFactor
	objective := float64(c.objective) + c.objectiveStretch*work
	if c.objectiveStretch > 0 {
		objective = min(objective, float64(budget)-float64(budget-c.objective)/(j.heavyFactor*j.maxSpeed*c.objectiveStretch))
	}
	return min(time.Duration(objective), budget)
}
