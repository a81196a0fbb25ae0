package planner

import (
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const healthCheckTimeout = 5 * time.Second

// healthCheck is a pending health check that was assigned to a forwarder.
type healthCheck struct {
	forwarder *forwarder
	startedAt time.Duration
}

// healthCheckCanceller cancels pending health checks. The policy is notified of the result NotSent.
type healthCheckCanceller interface {
	cancel(matches func(check healthCheck) bool)
}

// healthChecker assigns the policy's health checks to the connected forwarders in round-robin order.
type healthChecker struct {
	step       *step
	forwarders *forwarderTable
	policy     notifier

	pending      map[uint64]healthCheck // by worker ID, at most one per worker
	startedCount int                    // checks commanded since the planner started
}

// start commands the next forwarder to check a worker. Without a forwarder, or if a check is pending, the result is NotSent.
func (h *healthChecker) start(workerID uint64) {
	connected := h.forwarders.connected
	_, isPending := h.pending[workerID]
	if len(connected) == 0 || isPending {
		h.policy.notify(dispatch.HealthChecked{Worker: workerID, Result: dispatch.NotSent})
		return
	}
	h.startedCount++
	f := connected[h.startedCount%len(connected)]
	h.pending[workerID] = healthCheck{f, h.step.now()}
	h.step.send(f, &message.HealthCheckCommand{WorkerID: workerID})
}

// finish processes the result of a health check, if the check is pending and assigned to this forwarder.
func (h *healthChecker) finish(f *forwarder, report *message.HealthCheckResult) {
	if h.pending[report.WorkerID].forwarder != f {
		return
	}
	delete(h.pending, report.WorkerID)
	h.policy.notify(dispatch.HealthChecked{Worker: report.WorkerID, Result: normalizeResult(report.Result)})
}

// expire cancels the health checks without a result after healthCheckTimeout.
func (h *healthChecker) expire() {
	h.cancel(func(check healthCheck) bool { return h.step.now()-check.startedAt >= healthCheckTimeout })
}

// cancel cancels the health checks that match, and notifies the policy of the result NotSent.
func (h *healthChecker) cancel(matches func(check healthCheck) bool) {
	for _, workerID := range slices.Sorted(maps.Keys(h.pending)) {
		if matches(h.pending[workerID]) {
			delete(h.pending, workerID)
			h.policy.notify(dispatch.HealthChecked{Worker: workerID, Result: dispatch.NotSent})
		}
	}
}
