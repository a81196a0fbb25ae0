package planner

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// execute sends the commands that the policy's actions ask for. The actions' array becomes the buffer for its next ones.
func (p *Planner) execute(actions []dispatch.Action) {
	for i, action := range actions {
		switch action := action.(type) {
		case dispatch.Send:
			p.sendAttempt(action)
		case dispatch.Reject:
			p.reject(action)
		case dispatch.Fail:
			p.fail(action)
		case dispatch.Cancel:
			p.cancel(action)
		case dispatch.HealthCheck:
			p.startHealthCheck(action.Worker)
		case dispatch.CloseIdleConnections:
			p.closeIdleConnections(action.Worker, actions[i+1:])
		case dispatch.SetTimer:
			p.policy.setTimer(p.now + max(action.After, 1))
		case dispatch.Subscribe:
			p.policy.subscribing = true
			p.emit(WatchEndpoints{Revision: p.workers.revision})
		case dispatch.Log:
			p.log(action.Text)
		case dispatch.WorkerEjected:
			p.log("worker ejected", "worker", action.Worker, "reason", action.Reason.String(), "ejection_time", action.EjectionTime)
		}
	}
	clear(actions)
	p.policy.actions = actions[:0]
}

// sendAttempt commands an attempt. Each Send of the policy has its outcome: that of one that can't be commanded is at once
// that it was not sent.
func (p *Planner) sendAttempt(send dispatch.Send) {
	req := p.requests.byID[send.Job]
	if req == nil {
		p.notifyPolicy(dispatch.Outcome{Job: send.Job, Worker: send.Worker, Result: dispatch.NotSent, Closed: true})
		return
	}
	number := len(req.attempts)
	added := attempt{state: attemptCommanded, worker: p.ensureWorker(send.Worker), sentAt: p.now}
	if !req.state.isOpen() || number >= 2*maxAttempts {
		added.advanceTo(attemptEnded)
		added.result = dispatch.NotSent
		p.addAttempt(req, added)
		p.notifyPolicy(dispatch.Outcome{
			Job: send.Job, Attempt: number, Worker: send.Worker, Result: dispatch.NotSent, Closed: !req.state.isOpen(),
		})
		return
	}
	p.addAttempt(req, added)
	p.requests.settle(req, p.now)
	p.stats.Commands++
	p.send(req.forwarder, &message.SendCommand{
		RequestID: req.forwarderID, Attempt: number, WorkerID: send.Worker, Timeout: send.AttemptTimeout,
	})
}

func (p *Planner) reject(action dispatch.Reject) {
	if req := p.requests.open(action.Job); req != nil {
		p.send(req.forwarder, &message.RejectCommand{RequestID: req.forwarderID, RetryAfter: action.RetryAfter})
		p.stats.Rejected++
		p.closeRequest(req)
	}
}

func (p *Planner) fail(action dispatch.Fail) {
	if req := p.requests.open(action.Job); req != nil {
		p.send(req.forwarder, &message.FailCommand{RequestID: req.forwarderID})
		p.stats.Failed++
		p.closeRequest(req)
	}
}

func (p *Planner) cancel(action dispatch.Cancel) {
	req := p.requests.byID[action.Job]
	if req == nil || req.forwarder == nil || action.Attempt < 0 || action.Attempt >= len(req.attempts) {
		return
	}
	if req.attempts[action.Attempt].inFlight() {
		p.send(req.forwarder, &message.CancelCommand{RequestID: req.forwarderID, Attempt: action.Attempt})
	}
}

// closeIdleConnections has idle connections to a worker closed: those of the forwarder that is to send there by the action
// after this one, if that is so, else those of all.
func (p *Planner) closeIdleConnections(workerID uint64, next []dispatch.Action) {
	if len(next) > 0 {
		if send, ok := next[0].(dispatch.Send); ok && send.Worker == workerID {
			if req := p.requests.open(send.Job); req != nil {
				p.send(req.forwarder, &message.CloseIdleCommand{WorkerID: workerID})
				return
			}
		}
	}
	for _, f := range p.forwarders.connected {
		p.send(f, &message.CloseIdleCommand{WorkerID: workerID})
	}
}
