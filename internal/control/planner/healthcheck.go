package planner

import (
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const healthCheckTimeout = 5 * time.Second

// healthCheck is one that a forwarder was told to make.
type healthCheck struct {
	forwarder *forwarder
	startedAt time.Duration
}

// healthChecker has forwarders make the policy's health checks in turn.
type healthChecker struct {
	pending map[uint64]healthCheck // by worker, one each
	started int                    // so far
}

// startHealthCheck has the next forwarder check a worker.
func (p *Planner) startHealthCheck(workerID uint64) {
	connected := p.forwarders.connected
	_, isPending := p.healthChecks.pending[workerID]
	if len(connected) == 0 || isPending {
		p.notifyPolicy(dispatch.HealthChecked{Worker: workerID, Result: dispatch.NotSent})
		return
	}
	p.healthChecks.started++
	f := connected[p.healthChecks.started%len(connected)]
	p.healthChecks.pending[workerID] = healthCheck{f, p.now}
	p.send(f, &message.HealthCheckCommand{WorkerID: workerID})
}

// healthChecked takes in the result of a health check, if it is the one that the forwarder was to make.
func (p *Planner) healthChecked(f *forwarder, report *message.HealthCheckResult) {
	if p.healthChecks.pending[report.WorkerID].forwarder != f {
		return
	}
	delete(p.healthChecks.pending, report.WorkerID)
	p.notifyPolicy(dispatch.HealthChecked{Worker: report.WorkerID, Result: knownResult(report.Result)})
}

// expireHealthChecks ends the health checks without a result in time.
func (p *Planner) expireHealthChecks() {
	p.cancelHealthChecks(func(check healthCheck) bool { return p.now-check.startedAt >= healthCheckTimeout })
}

// cancelHealthChecks ends the health checks that match, for the policy as ones that were not sent.
func (p *Planner) cancelHealthChecks(matches func(check healthCheck) bool) {
	for _, workerID := range slices.Sorted(maps.Keys(p.healthChecks.pending)) {
		if matches(p.healthChecks.pending[workerID]) {
			delete(p.healthChecks.pending, workerID)
			p.notifyPolicy(dispatch.HealthChecked{Worker: workerID, Result: dispatch.NotSent})
		}
	}
}
