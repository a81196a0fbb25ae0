package forwarder

import (
	"time"

	"valvecove/internal/deadline"
)

// inFlightCounter counts the attempts of a request that are in flight.
type inFlightCounter interface{ InFlight(id uint64) int }

// checkSchedule records when each request is next checked: for its deadline, for its latency objective, or for a planner that
// sends no command.
type checkSchedule struct {
	step           *step
	attempts       inFlightCounter
	commandTimeout time.Duration
	queue          deadline.Queue[*openRequest]
}

// next returns when the next check is due, or 0 if there is none.
func (c *checkSchedule) next() time.Duration {
	if c.queue.Len() == 0 {
		return 0
	}
	return c.queue.First().At
}

// takeDue removes the request with the earliest check from the schedule and returns it, or nil if no check is due.
func (c *checkSchedule) takeDue(now time.Duration) *openRequest {
	if c.queue.Len() == 0 || c.queue.First().At > now {
		return nil
	}
	request := c.queue.First()
	c.remove(request)
	return request
}

// schedule sets when a request is checked next. A check that is already scheduled for an earlier time is kept rather than
// moved: most requests end before it is due.
func (c *checkSchedule) schedule(request *openRequest) {
	at := c.nextCheck(request)
	if request.scheduled {
		if at > 0 && request.At <= at {
			return
		}
		c.remove(request)
	}
	if at > 0 {
		request.At = at
		request.scheduled = true
		c.queue.Add(request)
	}
}

func (c *checkSchedule) remove(request *openRequest) {
	c.queue.Remove(request)
	request.scheduled = false
}

// nextCheck returns when a request must be checked next, or 0 for never.
func (c *checkSchedule) nextCheck(request *openRequest) time.Duration {
	switch request.state {
	case requestClosed:
		return 0
	case requestWaiting:
		if !request.objectiveWaived && !c.hasAttempts(request) {
			return request.nextObjectiveCheck(c.step.now())
		}
	case requestOffered:
		if request.command.dueAt > 0 {
			return min(request.deadline, request.command.dueAt)
		}
	}
	return request.deadline
}

// hasAttempts reports whether attempts of a request are in flight.
func (c *checkSchedule) hasAttempts(request *openRequest) bool {
	return c.attempts.InFlight(request.job.ID) > 0
}

// awaitCommand starts the wait for the command of the planner that a request is assigned to.
func (c *checkSchedule) awaitCommand(request *openRequest) {
	now := c.step.now()
	request.command = awaitedCommand{awaitedSince: now, dueAt: now + c.commandTimeout}
	if request.session.isSuspected() {
		request.command.dueAt = request.objectiveAtRisk(now)
	}
	c.schedule(request)
}

// expediteCommands shortens the wait for commands of a planner that is now suspected.
func (c *checkSchedule) expediteCommands(session *plannerSession) {
	for _, request := range session.requests {
		if !request.command.given && !c.hasAttempts(request) {
			request.command.dueAt = request.objectiveAtRisk(c.step.now())
			c.schedule(request)
		}
	}
}
