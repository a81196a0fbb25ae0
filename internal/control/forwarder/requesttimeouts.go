package forwarder

import "time"

// plannerAvailability reports whether a planner accepts requests, and enters standalone mode for requests that can't wait for
// one.
type plannerAvailability interface {
	hasPlanner() bool
	enterForObjective()
}

// requestTimeouts handles requests that have reached their deadline, that were not offered by their objective, or for which
// their planner gives no command.
type requestTimeouts struct {
	step        *step
	stats       *Stats
	timer       *stepTimer
	checks      *checkSchedule
	placer      *placer
	assignments *assignments
	responder   *responder
	mode        plannerAvailability

	commandTimeout time.Duration
	retryDelay     time.Duration // to the next check if the request can't be revoked from its planner now
}

// run checks the requests whose check is due.
func (r *requestTimeouts) run() {
	for {
		request := r.checks.takeDue(r.step.now())
		if request == nil {
			return
		}
		r.check(request)
		if request.state != requestClosed {
			r.checks.schedule(request)
		}
	}
}

// check handles the timeout of a request that is due.
func (r *requestTimeouts) check(request *openRequest) {
	now := r.step.now()
	switch {
	case now >= request.deadline:
		r.stats.Expired++
		r.responder.giveUp(request)
	case request.state == requestWaiting && now >= request.objective && !r.checks.hasAttempts(request):
		r.objectiveMissed(request)
	case request.state == requestWaiting && !r.mode.hasPlanner() && !r.checks.hasAttempts(request):
		r.mode.enterForObjective()
	case request.state == requestOffered && request.command.dueAt > 0 && now >= request.command.dueAt:
		r.commandOverdue(request)
	}
}

// objectiveMissed handles a request that was not offered by its objective. If a planner is available, it lacks capacity, and the
// request is given up in favour of those that wait behind it. Otherwise the request waits for a planner until its deadline.
func (r *requestTimeouts) objectiveMissed(request *openRequest) {
	if r.mode.hasPlanner() {
		r.stats.Unplaced++
		r.responder.giveUp(request)
		return
	}
	request.objectiveWaived = true
}

// commandOverdue handles a request for which its planner has given no command in time. If the planner is suspected, the request
// is revoked if another planner can take it. If the planner replies to heartbeats, only a few requests are revoked: it may have
// a reason to queue them, and revoking many would add its load to the other planners.
func (r *requestTimeouts) commandOverdue(request *openRequest) {
	now := r.step.now()
	session := request.session
	request.command.dueAt = 0
	switch timeoutAt := request.command.awaitedSince + r.commandTimeout; {
	case request.command.given || r.checks.hasAttempts(request):
		return
	case !session.isSuspected() && now < timeoutAt:
		request.command.dueAt = timeoutAt
		return
	case r.timer.isLate(now): // the command may have arrived but not been read yet
		request.command.dueAt = now + r.retryDelay
		return
	case !session.isSuspected() && !r.assignments.mayReoffer():
		return
	}
	next := r.placer.selectPlanner(request, session)
	switch {
	case next != nil:
		r.assignments.reoffer(request, next)
	case session.isSuspected(): // checked again until the session is reset, or another planner has credit
		request.command.dueAt = now + r.retryDelay
	}
}
