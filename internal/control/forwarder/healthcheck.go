package forwarder

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
)

const maxHealthChecks = 4096 // in flight

// pendingHealthChecks are the health checks that have no result yet.
type pendingHealthChecks struct {
	requesters map[uint64][]message.Epoch // by worker: the sessions that commanded them, the oldest first
	count      int
}

// add notes a health check. It returns false if there are too many.
func (p *pendingHealthChecks) add(worker uint64, requester message.Epoch) bool {
	if p.count >= maxHealthChecks {
		return false
	}
	p.count++
	p.requesters[worker] = append(p.requesters[worker], requester)
	return true
}

// take returns who commanded the oldest health check of a worker, and forgets it.
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

// checkHealth has the health of a worker checked for a session, or for the local policy. It returns false if there are too
// many checks.
func (f *Forwarder) checkHealth(worker uint64, requester message.Epoch) bool {
	if !f.healthChecks.add(worker, requester) {
		return false
	}
	f.emit(dispatch.HealthCheck{Worker: worker})
	return true
}

// healthChecked tells whoever commanded a health check of its result.
func (f *Forwarder) healthChecked(event dispatch.HealthChecked) {
	requester, ok := f.healthChecks.take(event.Worker)
	if !ok {
		return
	}
	if requester == validator.LocalEpoch {
		f.notifyLocal(event)
		return
	}
	if session := f.sessionByEpoch(requester); session != nil {
		f.send(session, &message.HealthCheckResult{WorkerID: event.Worker, Result: event.Result})
	}
}
