package planner

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// healthCheckStarter starts health checks of workers.
type healthCheckStarter interface{ start(workerID uint64) }

// attemptAdder adds attempts to requests, and closes requests.
type attemptAdder interface {
	addAttempt(req *request, added attempt)
	close(req *request)
}

// commandExecutor executes the policy's actions, mostly by sending commands to forwarders.
type commandExecutor struct {
	stats            *Stats
	step             *step
	forwarders       *forwarderTable
	healthChecks     healthCheckStarter
	requestLifecycle attemptAdder
	policy           *policyRunner
	requests         *requestTable
	workers          *workerTable
}

// execute executes the policy's actions, and then reuses their slice as the buffer for its next actions.
func (c *commandExecutor) execute(actions []dispatch.Action) {
	for i, action := range actions {
		switch action := action.(type) {
		case dispatch.Send:
			c.sendAttempt(action)
		case dispatch.Reject:
			c.reject(action)
		case dispatch.Fail:
			c.fail(action)
		case dispatch.Cancel:
			c.cancel(action)
		case dispatch.HealthCheck:
			c.healthChecks.start(action.Worker)
		case dispatch.CloseIdleConnections:
			c.closeIdleConnections(action.Worker, actions[i+1:])
		case dispatch.SetTimer:
			c.policy.setTimer(c.step.now() + max(action.After, 1))
		case dispatch.Subscribe:
			c.policy.subscribe()
			c.step.emit(WatchEndpoints{Revision: c.workers.revision})
		case dispatch.Log:
			c.step.log(action.Text)
		case dispatch.WorkerEjected:
			c.step.log("worker ejected", "worker", action.Worker, "reason", action.Reason.String(),
				"ejection_time", action.EjectionTime)
		}
	}
	c.policy.reuseActions(actions)
}

// sendAttempt commands the forwarder to send an attempt. The policy receives an outcome for each Send: if no command can be
// sent, it is notified at once of the result NotSent.
func (c *commandExecutor) sendAttempt(send dispatch.Send) {
	req := c.requests.byID[send.Job]
	if req == nil {
		c.policy.notify(dispatch.Outcome{Job: send.Job, Worker: send.Worker, Result: dispatch.NotSent, Closed: true})
		return
	}
	number := len(req.attempts)
	added := attempt{state: attemptCommanded, worker: c.workers.findOrAdd(send.Worker), sentAt: c.step.now()}
	if !req.state.isOpen() || number >= 2*maxAttempts {
		added.advanceTo(attemptEnded)
		added.result = dispatch.NotSent
		c.requestLifecycle.addAttempt(req, added)
		c.policy.notify(dispatch.Outcome{
			Job: send.Job, Attempt: number, Worker: send.Worker, Result: dispatch.NotSent, Closed: !req.state.isOpen(),
		})
		return
	}
	c.requestLifecycle.addAttempt(req, added)
	c.requests.updateOpenState(req, c.step.now())
	c.stats.Commands++
	c.step.send(req.forwarder, &message.SendCommand{
		RequestID: req.forwarderID, Attempt: number, WorkerID: send.Worker, Timeout: send.AttemptTimeout,
	})
}

// reject commands the forwarder to reject an open request, and closes it.
func (c *commandExecutor) reject(action dispatch.Reject) {
	if req := c.requests.open(action.Job); req != nil {
		c.step.send(req.forwarder, &message.RejectCommand{RequestID: req.forwarderID, RetryAfter: action.RetryAfter})
		c.stats.Rejected++
		c.requestLifecycle.close(req)
	}
}

// fail commands the forwarder to fail an open request, and closes it.
func (c *commandExecutor) fail(action dispatch.Fail) {
	if req := c.requests.open(action.Job); req != nil {
		c.step.send(req.forwarder, &message.FailCommand{RequestID: req.forwarderID})
		c.stats.Failed++
		c.requestLifecycle.close(req)
	}
}

// cancel commands the forwarder to cancel an attempt in flight.
func (c *commandExecutor) cancel(action dispatch.Cancel) {
	req := c.requests.byID[action.Job]
	if req == nil || req.forwarder == nil || action.Attempt < 0 || action.Attempt >= len(req.attempts) {
		return
	}
	if req.attempts[action.Attempt].inFlight() {
		c.step.send(req.forwarder, &message.CancelCommand{RequestID: req.forwarderID, Attempt: action.Attempt})
	}
}

// closeIdleConnections closes idle connections to a worker. If the next action is a send to that worker, only the sending
// forwarder closes its connections; otherwise all forwarders do.
func (c *commandExecutor) closeIdleConnections(workerID uint64, next []dispatch.Action) {
	if len(next) > 0 {
		if send, ok := next[0].(dispatch.Send); ok && send.Worker == workerID {
			if req := c.requests.open(send.Job); req != nil {
				c.step.send(req.forwarder, &message.CloseIdleCommand{WorkerID: workerID})
				return
			}
		}
	}
	for _, f := range c.forwarders.connected {
		c.step.send(f, &message.CloseIdleCommand{WorkerID: workerID})
	}
}
