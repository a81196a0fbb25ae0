package link

import (
	"valvecove/internal/config"
)

// Own descriptors besides links: standard ones, epoll, eventfd, listener, watch, and what the runtime opens.
const ownDescriptors = 24

// countFeatureDescriptors counts the descriptors that features take up.
func countFeatureDescriptors(c config.Config, ops config.Ops) (n int) {
	if c.Management.IsValid() {
		n += maxOperatorConnections + 2 // and the listener; one more is accepted before another makes room
	}
	if ops.Status != nil {
		n += maxStatusConnections + 2 // and the listener; one more is accepted before another makes room
	}
	if ops.Metrics != nil {
		n += 2 // a socket and a file
	}
	if ops.Capture != nil && ops.Capture.Dir != "" {
		n += 2 // two files for a moment
	}
	return n
}

// splitDescriptors parts the descriptors. Server links hold one only until a job is accepted; clients hold theirs for as
// long as it runs.
func splitDescriptors(sockets, side int) (servers, clients int) {
	most := sockets - ownDescriptors - side
	servers = max(8, most/6)
	return servers, most - servers
}

// ResourceShares is what a loop makes of its limits.
type ResourceShares struct {
	Own, Features, Workers, Clients int // descriptors
	Requests                        int // open at once
	Buffers                         int // bytes in the buffers of client links; the bodies of queries take up as much
}

// SharesOf tells what Open would make of the limits.
func SharesOf(c config.Config, ops config.Ops) ResourceShares {
	s := ResourceShares{Own: ownDescriptors, Features: countFeatureDescriptors(c, ops), Buffers: bufferBudget(c)}
	s.Workers, s.Clients = splitDescriptors(c.Limits.Sockets, s.Features)
	s.Requests = maxRequestsFor(s.Clients)
	return s
}

// bufferBudget is how many bytes the buffers of client links may take up, and the bodies of queries as much again.
// Twice a sixth, and as much garbage at most, leaves room on the smallest machine for the program itself.
func bufferBudget(c config.Config) int { return bufferBudgetOf(c.Limits) }

func bufferBudgetOf(l config.Limits) int { return l.MemoryMB << 20 / 6 }

const minConnections = 16 // of a process beside another one, however small the machine

// shareLimits has this process do with half of the limits while another one runs beside it, as both count as one, or with all of
// them. Idle client links over that are closed.
func (l *Loop) shareLimits(half bool) {
	servers, clients := splitDescriptors(l.limits.Sockets, l.featureDescriptors)
	budget := bufferBudgetOf(l.limits)
	if half { // each has its own descriptors besides
		most := max(minConnections, (servers+clients-ownDescriptors-l.featureDescriptors)/2)
		servers = max(minConnections/2, most/6)
		clients, budget = most-servers, budget/2
	}
	l.sharesMachine, l.workers.maxConnections = half, servers
	l.clients.setLimits(clients, budget)
	if l.onShareLimits != nil {
		l.onShareLimits(half)
	}
}

// OnShareLimits sets what is done about memory when a process begins or ceases to share its machine with another one.
func (l *Loop) OnShareLimits(act func(half bool)) {
	l.onShareLimits = act
	act(l.sharesMachine)
}
