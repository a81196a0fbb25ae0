package simulation

import (
	"valvecove/internal/testbed/environment"
)

// WorkerIndex returns the environment's number of a worker's machine; ok is false if it is unknown.
func (p *process) WorkerIndex(worker uint64) (node int, ok bool) {
	node, machine := ParseWorkerID(p.requests.Endpoint(worker).ID)
	workers := p.scheduler.spec.Fleet.Workers
	return node + machine*workers, node >= 0 && node < workers && p.scheduler.model.source != nil
}

// View returns the true state of a machine.
func (p *process) View(node int) environment.View {
	return p.scheduler.model.source.View(p.scheduler.number, node)
}

// Work returns the true work of a request that was admitted since the last step; ok is false for any other.
func (p *process) Work(job uint64) (work, slots float64, ok bool) {
	if p.scheduler.model.source == nil || job < p.firstRequest || job-p.firstRequest >= uint64(len(p.newRequestIDs)) {
		return 0, 0, false
	}
	return p.scheduler.model.source.Work(p.newRequestIDs[job-p.firstRequest])
}
