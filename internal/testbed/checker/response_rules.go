package checker

import (
	"fmt"
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the rules for responses: exactly one final answer, prompt, with a result that a worker made.

// isRejection reports whether a status rejects a request.
func isRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// responseReceived handles a response that a client received, and checks that it is the only one, in time and allowed.
func (c *Checker) responseReceived(job *job, request *request, event *trace.Event) {
	request.responseBody = event.Text
	request.responses++
	switch {
	case request.responses > 1:
		c.report(ruleOneAnswer, job, request.id, "its client had a second answer to one request")
		return
	case request.state != requestOpen: // its client had left, and received the response nevertheless
		return
	}
	request.state = requestAnswered
	request.endedAt = event.At
	request.status = event.Status
	late := event.At - request.deadline
	if late > c.slack+2*c.clientDelay+c.observationLateness() && !c.isExcused(request, event.At) {
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

// requestEnded handles the end of a request without a response.
func (c *Checker) requestEnded(job *job, request *request, state requestState, endedAt time.Duration) {
	if request.state != requestOpen {
		return
	}
	request.state = state
	request.endedAt = endedAt
	lastResponseAt := request.deadline + 2*(c.clientDelay+c.observationLateness())
	if state == requestClientLeft || state == requestTimedOut && endedAt < lastResponseAt {
		c.counts.Excused++
		return
	}
	c.checkUnanswered(job, request, endedAt, state == requestConnLost, &c.counts)
}

// checkUnanswered checks whether a request may end without a response. If cut is set its connection has ended, else its
// deadline has passed. An excused request is added to counts.
func (c *Checker) checkUnanswered(job *job, request *request, endedAt time.Duration, cut bool, counts *Counts) {
	exit := c.scheduler(request.scheduler).exits[request.incarnation]
	idle := request.attemptCount == 0 && cut && endedAt-request.sentAt <= 2*c.clientDelay+c.observationLateness()
	fault := ""
	switch {
	case exit.exitedAt > 0:
		fault = c.unansweredAtExit(request, exit, idle)
	case cut && idle, c.isExcused(request, endedAt):
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
// excused. With idle set, the scheduler had sent no attempt of the request and may not have read it.
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

// isExcusedByKill reports whether a request may stay unanswered because SIGKILL followed SIGTERM.
func (c *Checker) isExcusedByKill(request *request, exit processExit) bool {
	return request.sentAt <= exit.terminatedAt+termGrace+c.clientDelay || request.sentAt+c.clientDelay+c.slack >= exit.exitedAt ||
		exit.exitedAt < exit.terminatedAt+c.killDelay ||
		c.scheduler(request.scheduler).frozenDuring(exit.terminatedAt, exit.exitedAt) ||
		anyOverlaps(c.clientsCut, request.sentAt, exit.exitedAt)
}

// isExcused reports whether a request may lack a response at an instant because its scheduler was frozen or disconnected from
// the client.
func (c *Checker) isExcused(request *request, endedAt time.Duration) bool {
	for _, freeze := range c.scheduler(request.scheduler).freezes {
		if freeze.start > endedAt || request.sentAt-c.clientDelay > freeze.end {
			continue
		}
		// The scheduler may have read the request only when it was resumed, and counts the budget from then.
		isReadLate := freeze.start <= request.sentAt+c.clientDelay
		if isReadLate || freeze.end >= request.deadline-c.slack {
			return true
		}
	}
	return anyOverlaps(c.clientsCut, request.sentAt, endedAt)
}

// checkRejection checks that a rejected request has no attempt that was possibly executed.
func (c *Checker) checkRejection(job *job, request *request, at time.Duration) {
	c.checkCounts[ruleRefusalHarmless]++
	if job.class.isRepeatable() {
		return
	}
	requestIndex := request.indexIn(job)
	for i := range job.attempts {
		if attempt := &job.attempts[i]; attempt.request == requestIndex && attempt.possiblyExecuted(at) {
			c.report(ruleRefusalHarmless, job, request.id, "rejected with %d, though it may have run at w-%d",
				request.status, attempt.worker)
			return
		}
	}
}

// indexIn returns the index of the request in its job.
func (r *request) indexIn(job *job) int {
	_, index := job.findRequest(r.id)
	return index
}

// checkResult checks that the result in a 200 is one that a worker returned for this request.
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

// updateExhausted sets exhaustedAt once the scheduler knows the end of the last attempt allowed.
func (c *Checker) updateExhausted(job *job, request *request) {
	if request.attemptCount < c.attemptLimit || request.exhaustedAt > 0 || request.state != requestOpen {
		return
	}
	requestIndex := request.indexIn(job)
	last := time.Duration(0)
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

// checkPromptness checks that a request is answered as soon as its scheduler has no reason to retain it: see Prompt
// rejections in the package's documentation.
func (c *Checker) checkPromptness(job *job, request *request, answeredAt time.Duration) {
	if c.scheduler(request.scheduler).frozenDuring(request.sentAt, answeredAt) ||
		anyOverlaps(c.clientsCut, request.sentAt, answeredAt) {
		return
	}
	c.checkCounts[rulePromptRefusal]++
	within := c.rejectionDeadline + c.clientDelay + c.observationLateness()
	if request.exhaustedAt > 0 && answeredAt > request.exhaustedAt+within {
		c.report(rulePromptRefusal, job, request.id, "answered with %d %v after its scheduler knew that no attempt was left to it",
			request.status, answeredAt-request.exhaustedAt)
		return
	}
	if !isRejection(request.status) {
		return
	}
	requestIndex := request.indexIn(job)
	last := max(request.sentAt, request.unreadUntil)
	for i := range job.attempts {
		switch attempt := &job.attempts[i]; {
		case attempt.request != requestIndex:
		case attempt.endKnownAt == 0: // the scheduler may have waited for its end
			return
		default:
			last = max(last, attempt.endKnownAt)
		}
	}
	if anyOverlaps(c.connectsImpaired, answeredAt-c.dialDelay, answeredAt) { // an attempt may have waited for a connection
		within += c.dialDelay
	}
	horizon := request.sentAt + c.objectiveHorizon(job, request)
	if answeredAt > max(horizon, last)+within {
		c.report(rulePromptRefusal, job, request.id,
			"rejected %v after it was sent, when no attempt of it had been in flight for %v, and nothing to hope for after %v",
			answeredAt-request.sentAt, answeredAt-last, horizon-request.sentAt)
	}
}

// objectiveHorizon returns how long after a request was sent its scheduler may have expected to meet its objective, given how
// wrong the estimate of its work may be. Where the objective grows with the work, an objective near the end of the budget
// implies a large estimate; the horizon then leaves the time that the fastest worker needs for that work.
func (c *Checker) objectiveHorizon(job *job, request *request) time.Duration {
	class := job.class
	budget := request.deadline - request.sentAt
	work := float64(max(job.work, class.meanWork)) * c.workEstimateFactor
	objective := float64(class.objective) + class.objectiveStretch*work
	if class.objectiveStretch > 0 {
		fastestRun := float64(budget-class.objective) / (c.speedEstimateFactor * c.maxSpeed * class.objectiveStretch)
		objective = min(objective, float64(budget)-fastestRun)
	}
	return min(time.Duration(objective), budget)
}
