package forwarder

import (
	"time"

	"valvecove/internal/deadline"
)

// inFlightCounter counts the attempts of a request that are in flight.
type inFlightCounter interface{ InFlight(id uint64) int }

// checkSchedule knows when each request is to be checked for a deadline, an objective, or a planner that gives no command.
type checkSchedule struct {
	step           *step
	attempts       inFlightCounter
	commandTimeout time.Duration
	queue          deadline.Queue[*openRequest]
}

// next returns when the next check is due; 0: there is none.
func (c *checkSchedule) next() time.Duration {
	if c.queue.Len() == 0 {
		return 0
	}
	return c.queue.First().At
}

// takeDue removes the request whose check is due first from the schedule and returns it; nil: no check is due.
func (c *checkSchedule) takeDue(now time.Duration) *openRequest {
	if c.queue.Len() == 0 || c.queue.First().At > now {
		return nil
	}
	request := c.queue.First()
	c.remove(request)
	return request
}

// schedule sets when a request is checked next. A check that is due earlier is kept, as most requests end before it.
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

// nextCheck returns when a request is to be checked next; 0: never.
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

// awaitCommand starts the wait for a planner's command for a request that is offered to it.
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
