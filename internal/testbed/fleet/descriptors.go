package fleet

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	maxSockets        = 40_000         // a scheduler's limit on descriptors in its configuration
	maxWorkerConns    = maxSockets / 6 // connections that a scheduler then opens to workers, at most
	connsPerWorker    = 4              // connections that a scheduler opens to one worker, besides one for each client
	maxCallbackConns  = 16             // connections of one worker for callbacks
	spareDescriptors  = 256            // of the rig's process, for anything else
	maxRigDescriptors = 1 << 24        // used in place of a higher or infinite limit
)

// descriptorPlan is the division of the descriptors that the rig's process may open.
type descriptorPlan struct {
	limit         int // of the process
	workerConns   int // connections to all workers
	callbackConns int // connections of one worker for callbacks
}

var errDescriptors = errors.New("too few descriptors or addresses for the rig")

// planDescriptors divides the descriptors for a number of workers and clients. It returns errDescriptors if there are too
// few, or too few addresses. Each worker needs a listener, and at least one connection for callbacks; the scheduler or
// the proxy has connections to the workers.
func planDescriptors(workers, clients int) (descriptorPlan, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return descriptorPlan{}, fmt.Errorf("descriptors: %w", err)
	}
	plan := descriptorPlan{limit: int(min(limit.Cur, maxRigDescriptors))}
	plan.workerConns = min(connsPerWorker*workers+clients, maxWorkerConns)
	remaining := plan.limit - spareDescriptors - clients - workers - plan.workerConns
	plan.callbackConns = min(maxCallbackConns, remaining/max(1, workers))
	if workers > maxWorkers || plan.callbackConns < 1 {
		return plan, fmt.Errorf("%d workers, %d clients: %w: the limit of %d descriptors allows up to %d workers, "+
			"the addresses up to %d", workers, clients, errDescriptors, plan.limit, plan.workerLimit(clients), maxWorkers)
	}
	return plan, nil
}

// workerLimit returns the number of workers for which the descriptors are sufficient.
func (p descriptorPlan) workerLimit(clients int) int {
	const perWorker = 2 // a listener and one connection for callbacks
	remaining := p.limit - spareDescriptors - clients
	workers := (remaining - maxWorkerConns) / perWorker
	if connsPerWorker*workers+clients >= maxWorkerConns {
		return workers
	}
	return max(0, (remaining-clients)/(perWorker+connsPerWorker))
}
