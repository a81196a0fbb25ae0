package forwarder

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
)

// maxHealthChecks is the maximum number of health checks in flight.
const maxHealthChecks = 4096

// pendingHealthChecks holds the health checks that have no result yet.
type pendingHealthChecks struct {
	requesters map[uint64][]message.Epoch // by worker ID: epochs of the sessions that commanded the checks, oldest first
	count      int
}

// add records a health check. It returns false if too many are in flight.
func (p *pendingHealthChecks) add(worker uint64, requester message.Epoch) bool {
	if p.count >= maxHealthChecks {
		return false
	}
	p.count++
	p.requesters[worker] = append(p.requesters[worker], requester)
	return true
}

// take removes the oldest health check of a worker, and returns the epoch of the session that commanded it.
func (p *pendingHealthChecks) take(worker uint64) (requester message.Epoch, ok bool) {
	requesters := p.requesters[worker]
	if len(requesters) == 0 {
		return 0, false
	}
	p.count--
	requester = requesters[0]
	if len(requesters) == 1 {
		delete(p.requesters, worker)
		return requester, true
	}
	copy(requesters, requesters[1:])
	p.requesters[worker] = requesters[:len(requesters)-1]
	return requester, true
}

// healthChecker starts health checks, and reports each result to the planner or local policy that commanded the check.
type healthChecker struct {
	step     *step
	planners *plannerSet
	local    *localPolicy
	pending  pendingHealthChecks
}

// start starts a health check of a worker, commanded by a session or by the local policy. It returns false if too many are in
// flight.
func (h *healthChecker) start(worker uint64, requester message.Epoch) bool {
	if !h.pending.add(worker, requester) {
		return false
	}
	h.step.emit(dispatch.HealthCheck{Worker: worker})
	return true
}

// finish reports the result of a health check to the planner or local policy that commanded it.
func (h *healthChecker) finish(event dispatch.HealthChecked) {
	requester, ok := h.pending.take(event.Worker)
	if !ok {
		return
	}
	if requester == validator.LocalEpoch {
		h.local.notify(event)
		return
	}
	if session := h.planners.findByEpoch(requester); session != nil {
		h.step.send(session, &message.HealthCheckResult{WorkerID: event.Worker, Result: event.Result})
	}
}
