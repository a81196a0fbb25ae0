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

func (c *Checker) responseReceived(job *job, request *request, event *trace.Event) {
	request.responseBody = event.Text
	switch request.responses++; {
	case request.responses > 1:
		c.report(ruleOneAnswer, job, request.id, "its client had a second answer to one request")
		return
	case request.state != requestOpen: // its client had gone, and heard it all the same
		return
	}
	request.state, request.endedAt, request.status = requestAnswered, event.At, event.Status
	if late := event.At - request.deadline; late > c.slack+2*c.clientDelay+c.observationLateness() && !c.isExcused(request, event.At) {
		c.report(ruleOneAnswer, job, request.id, "its answer came %v after its budget was over", late)
	}
	switch {
	case event.Status == http.StatusOK:
		c.counts.Served++
		c.checkResult(job, request, event)
		return
	case isRejection(event.Status):
		c.counts.Rejected++
		c.checkRejection(job, request, event.At)
	default:
		c.counts.Failed++
	}
	c.checkPromptness(job, request, event.At)
}

// requestEnded takes the end of a try without an answer.
func (c *Checker) requestEnded(job *job, request *request, state requestState, at time.Duration) {
	if request.state != requestOpen {
		return
	}
	if request.state, request.endedAt = state, at; state == requestClientLeft || state == requestTimedOut && at < request.deadline+2*(c.clientDelay+c.observationLateness()) {
		c.counts.Excused++
		return
	}
	c.checkUnanswered(job, request, at, state == requestConnLost, &c.counts)
}

// checkUnanswered says whether an answer was owed. cut: the connection has ended; else its time is up.
func (c *Checker) checkUnanswered(job *job, request *request, at time.Duration, cut bool, counts *Counts) {
	exit := c.scheduler(request.scheduler).exits[request.incarnation]
	idle := request.attemptCount == 0 && cut && at-request.sentAt <= 2*c.clientDelay+c.observationLateness()
	fault := ""
	switch {
	case exit.exitedAt > 0:
		fault = c.unansweredAtExit(request, exit, idle)
	case cut && idle, c.isExcused(request, at):
	case cut:
		fault = "its connection ended without an answer"
	default:
		fault = "no answer by the end of its budget"
	}
	if fault == "" {
		counts.Excused++
		return
	}
	c.report(ruleOneAnswer, job, request.id, "%s", fault)
}

// unansweredAtExit returns what is wrong with a request that its scheduler's exit left unanswered, or nothing if it is
// excused. idle: the scheduler had sent nothing for it, and may not have read it.
func (c *Checker) unansweredAtExit(request *request, exit processExit, idle bool) string {
	switch {
	case request.sentAt+c.clientDelay >= exit.exitedAt: // not admitted by then
	case exit.terminatedAt == 0: // killed, or a crash
	case exit.killed:
		if !c.isExcusedByKill(request, exit) {
			return fmt.Sprintf("SIGKILL found it unanswered, though it came %v after SIGTERM", request.sentAt-exit.terminatedAt)
		}
	case idle, anyOverlaps(c.clientsCut, request.sentAt, exit.exitedAt):
	default:
		return "its scheduler ended after SIGTERM without having answered it"
	}
	return ""
}

// isExcusedByKill reports whether a request may go unanswered as SIGKILL followed a SIGTERM.
func (c *Checker) isExcusedByKill(request *request, exit processExit) bool {
	return request.sentAt <= exit.terminatedAt+termGrace+c.clientDelay || request.sentAt+c.clientDelay+c.slack >= exit.exitedAt ||
		exit.exitedAt < exit.terminatedAt+c.killDelay ||
		c.scheduler(request.scheduler).frozenDuring(exit.terminatedAt, exit.exitedAt) ||
		anyOverlaps(c.clientsCut, request.sentAt, exit.exitedAt)
}

// isExcused tells whether a try that ended at an instant had met a freeze or a cut that excuses a missing answer.
func (c *Checker) isExcused(request *request, at time.Duration) bool {
	for _, freeze := range c.scheduler(request.scheduler).freezes {
		// Its scheduler may have read it only when it woke, and counts from there; or woke when time was up.
		if freeze.start <= at && request.sentAt-c.clientDelay <= freeze.end && (freeze.start <= request.sentAt+c.clientDelay || freeze.end >= request.deadline-c.slack) {
			return true
		}
	}
	return anyOverlaps(c.clientsCut, request.sentAt, at)
}

func (c *Checker) checkRejection(job *job, request *request, at time.Duration) {
	c.checkCounts[ruleRefusalHarmless]++
	if job.class.isRepeatable() {
		return
	}
	requestIndex := request.indexIn(job)
	for i := range job.attempts {
		if attempt := &job.attempts[i]; attempt.request == requestIndex && attempt.possiblyExecuted(at) {
			c.report(ruleRefusalHarmless, job, request.id, "rejected with %d, though it may have run at w-%d", request.status, attempt.worker)
			return
		}
	}
}

func (r *request) indexIn(job *job) int {
	_, n := job.findRequest(r.id)
	return n
}

func (c *Checker) checkResult(job *job, request *request, event *trace.Event) {
	c.checkCounts[ruleMadeByWorker]++
	requestIndex := request.indexIn(job)
	for i := range job.attempts {
		if attempt := &job.attempts[i]; attempt.request == requestIndex && attempt.succeeded && attempt.result == event.Text {
			return
		}
	}
	c.report(ruleMadeByWorker, job, request.id, "served with %q, which no worker made for it", truncate(event.Text))
}

// updateExhausted notes when a scheduler knows that no attempt is left to it.
func (c *Checker) updateExhausted(job *job, request *request) {
	if request.attemptCount < c.attemptLimit || request.exhaustedAt > 0 || request.state != requestOpen {
		return
	}
	requestIndex, last := request.indexIn(job), time.Duration(0)
	for i := range job.attempts {
		if attempt := &job.attempts[i]; attempt.request == requestIndex {
			if attempt.endKnownAt == 0 {
				return
			}
			last = max(last, attempt.endKnownAt)
		}
	}
	request.exhaustedAt = last
}

// checkPromptness is the rule that what was given up is answered at once; see the package's doc.
func (c *Checker) checkPromptness(job *job, request *request, answeredAt time.Duration) {
	if c.scheduler(request.scheduler).frozenDuring(request.sentAt, answeredAt) || anyOverlaps(c.clientsCut, request.sentAt, answeredAt) {
		return
	}
	c.checkCounts[rulePromptRefusal]++
	if request.exhaustedAt > 0 && answeredAt > request.exhaustedAt+c.rejectionDeadline+c.clientDelay+c.observationLateness() {
		c.report(rulePromptRefusal, job, request.id, "answered with %d %v after its scheduler knew that no attempt was left to it",
			request.status, answeredAt-request.exhaustedAt)
		return
	}
	if !isRejection(request.status) {
		return
	}
	requestIndex, last := request.indexIn(job), max(request.sentAt, request.unreadUntil)
	for i := range job.attempts {
		switch attempt := &job.attempts[i]; {
		case attempt.request != requestIndex:
		case attempt.endKnownAt == 0: // its scheduler may have waited for it
			return
		default:
			last = max(last, attempt.endKnownAt)
		}
	}
	within := c.rejectionDeadline + c.clientDelay + c.observationLateness()
	if anyOverlaps(c.connectsImpaired, answeredAt-c.dialDelay, answeredAt) { // it may have waited for a connection
		within += c.dialDelay
	}
	hope := request.sentAt + c.objectiveHorizon(job, request)
	if answeredAt > max(hope, last)+within {
		c.report(rulePromptRefusal, job, request.id,
			"rejected %v after it was sent, when no attempt of it had been in flight for %v, and nothing to hope for after %v",
			answeredAt-request.sentAt, answeredAt-last, hope-request.sentAt)
	}
}

// objectiveHorizon is how long after it was asked a scheduler may have hoped to bring a request in by its objective, however wrong its
// idea of the work. Of one held for heavy it knows that even the fastest worker needs a good part of the work.
func (c *Checker) objectiveHorizon(job *job, request *request) time.Duration {
	class, budget := job.class, request.deadline-request.sentAt
	work := float64(max(job.work, class.meanWork)) * c.estimateFactor
	objective := float64(class.objective) + class.objectiveStretch*work
	if class.objectiveStretch > 0 {
		objective = min(objective, float64(budget)-float64(budget-class.objective)/(c.heavyFactor*c.maxSpeed*class.objectiveStretch))
	}
	return min(time.Duration(objective), budget)
}
