package forwarder

import "time"

// checkRequests checks the requests for which something is due.
func (f *Forwarder) checkRequests() {
	for f.checks.Len() > 0 && f.checks.First().At <= f.now {
		f.checkRequest(f.checks.First())
	}
}

// scheduleCheck sets when a request is checked next. A check that is due sooner stays: most requests end before it.
func (f *Forwarder) scheduleCheck(request *openRequest) {
	at := f.nextCheck(request)
	if request.scheduled {
		if at > 0 && request.At <= at {
			return
		}
		f.unscheduleCheck(request)
	}
	if at > 0 {
		request.At = at
		request.scheduled = true
		f.checks.Add(request)
	}
}

func (f *Forwarder) unscheduleCheck(request *openRequest) {
	f.checks.Remove(request)
	request.scheduled = false
}

// nextCheck returns when a request is to be checked next; 0: not at all.
func (f *Forwarder) nextCheck(request *openRequest) time.Duration {
	switch request.state {
	case requestClosed:
		return 0
	case requestWaiting:
		if !request.objectiveWaived && f.validator.InFlight(request.job.ID) == 0 {
			return min(request.deadline, request.objective)
		}
	case requestOffered:
		if request.command.dueAt > 0 {
			return min(request.deadline, request.command.dueAt)
		}
	}
	return request.deadline
}

// checkRequest does what is due for a request: it has reached its deadline, or its objective without being placed, or its
// planner is silent.
func (f *Forwarder) checkRequest(request *openRequest) {
	f.unscheduleCheck(request)
	switch {
	case f.now >= request.deadline:
		f.stats.Expired++
		f.giveUp(request)
	case request.state == requestWaiting && f.now >= request.objective && f.validator.InFlight(request.job.ID) == 0:
		f.objectiveMissed(request)
	case request.state == requestOffered && request.command.dueAt > 0 && f.now >= request.command.dueAt:
		f.checkSilence(request)
	}
	if request.state != requestClosed {
		f.scheduleCheck(request)
	}
}

// objectiveMissed decides on a request that was not placed by its objective. If there are planners, none has capacity, and
// whoever waits behind it has a chance yet. Else it waits for a planner.
func (f *Forwarder) objectiveMissed(request *openRequest) {
	if f.plannerAvailable {
		f.stats.Unplaced++
		f.giveUp(request)
		return
	}
	request.objectiveWaived = true
}

// awaitCommand begins to wait for a planner's command for a request.
func (f *Forwarder) awaitCommand(request *openRequest) {
	request.command = awaitedCommand{awaitedSince: f.now, dueAt: f.now + f.config.CommandTimeout}
	if request.session.isSuspected() {
		request.command.dueAt = f.objectiveAtRisk(request)
	}
	f.scheduleCheck(request)
}

// objectiveAtRisk returns when a request that is not sent begins to risk its objective: halfway to it.
func (f *Forwarder) objectiveAtRisk(request *openRequest) time.Duration {
	return max(f.now, request.objective-(request.objective-request.arrivedAt)/2)
}

// checkSilence decides on a request for which its planner has given no command for long. A planner under suspicion loses it
// if there is another one. From a planner that replies only a few requests are revoked: it may keep them with reason, and
// other planners would have that load too.
func (f *Forwarder) checkSilence(request *openRequest) {
	session := request.session
	request.command.dueAt = 0
	switch timeoutAt := request.command.awaitedSince + f.config.CommandTimeout; {
	case request.command.given || f.validator.InFlight(request.job.ID) > 0:
		return
	case !session.isSuspected() && f.now < timeoutAt:
		request.command.dueAt = timeoutAt
		return
	case f.lastLateAt == f.now: // the planner may have sent something that is yet to be read
		request.command.dueAt = f.now + f.config.SuspicionTimeout
		return
	case !session.isSuspected() && f.reofferTokens < 1:
		return
	}
	next := f.selectPlanner(request, session)
	switch {
	case next != nil:
		f.reoffer(request, next)
	case session.isSuspected(): // looked at again until the planner loses its session, or another takes requests
		request.command.dueAt = f.now + f.config.SuspicionTimeout
	}
}

// reoffer revokes a request from its planner, and offers it to the next one.
func (f *Forwarder) reoffer(request *openRequest, next *plannerSession) {
	if !request.session.isSuspected() {
		f.reofferTokens--
	}
	f.stats.Revoked++
	f.revoke(request)
	f.offer(request, next)
}
