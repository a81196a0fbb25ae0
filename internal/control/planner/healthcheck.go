package planner

import (
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const healthCheckTimeout = 5 * time.Second

// healthCheck is a health check that a forwarder was commanded to make.
type healthCheck struct {
	forwarder *forwarder
	startedAt time.Duration
}

// healthCheckCanceller ends health checks for the policy as ones that were not sent.
type healthCheckCanceller interface {
	cancel(matches func(check healthCheck) bool)
}

// healthChecker has forwarders make the policy's health checks in turn.
type healthChecker struct {
	step       *step
	forwarders *forwarderTable
	policy     notifier

	pending map[uint64]healthCheck // by worker, one each
	started int                    // count since the planner started
}

// start commands the next forwarder to check a worker.
func (h *healthChecker) start(workerID uint64) {
	connected := h.forwarders.connected
	_, isPending := h.pending[workerID]
	if len(connected) == 0 || isPending {
		h.policy.notify(dispatch.HealthChecked{Worker: workerID, Result: dispatch.NotSent})
		return
	}
	h.started++
	f := connected[h.started%len(connected)]
	h.pending[workerID] = healthCheck{f, h.step.now()}
	h.step.send(f, &message.HealthCheckCommand{WorkerID: workerID})
}

// finish processes the result of a health check, if it is the one that the forwarder was commanded to make.
func (h *healthChecker) finish(f *forwarder, report *message.HealthCheckResult) {
	if h.pending[report.WorkerID].forwarder != f {
		return
	}
	delete(h.pending, report.WorkerID)
	h.policy.notify(dispatch.HealthChecked{Worker: report.WorkerID, Result: knownResult(report.Result)})
}

// expire ends the health checks that have no result after healthCheckTimeout.
func (h *healthChecker) expire() {
	h.cancel(func(check healthCheck) bool { return h.step.now()-check.startedAt >= healthCheckTimeout })
}

// cancel ends the health checks that match, for the policy as ones that were not sent.
func (h *healthChecker) cancel(matches func(check healthCheck) bool) {
	for _, workerID := range slices.Sorted(maps.Keys(h.pending)) {
		if matches(h.pending[workerID]) {
			delete(h.pending, workerID)
			h.policy.notify(dispatch.HealthChecked{Worker: workerID, Result: dispatch.NotSent})
		}
	}
}
