package link

import (
	"valvecove/internal/config"
	"valvecove/internal/management"
)

const (
	// ownDescriptors are besides connections: standard ones, epoll, eventfd, listener, watch, and what the runtime opens.
	ownDescriptors = 24

	listenerDescriptors  = 2 // of a listener, and of one connection more than its limit, accepted before another makes room
	metricsDescriptors   = 2 // a socket and a file
	captureDescriptors   = 2 // two files for a moment
	gossipDescriptors    = 1 // a socket
	workerFraction       = 6 // one of so many descriptors is for connections to workers
	minWorkerConnections = 8
	minConnections       = 16 // of a process beside another one, however small the machine
	bufferFraction       = 6  // one of so many bytes of memory is for buffers
)

// ResourceShares is what a loop makes of its limits.
type ResourceShares struct {
	Own      int // descriptors besides connections
	Features int // descriptors
	Workers  int // connections to workers
	Clients  int // connections of clients
	Requests int // open at once
	Buffers  int // bytes in the buffers of client connections; payloads of requests may take up as much
}

// SharesOf returns what Open would make of the limits.
func SharesOf(c config.Config, ops config.Ops) ResourceShares {
	features := countFeatureDescriptors(c, ops)
	workers, clients := splitDescriptors(c.Limits.Sockets, features)
	return ResourceShares{
		Own:      ownDescriptors,
		Features: features,
		Workers:  workers,
		Clients:  clients,
		Requests: maxRequestsFor(clients),
		Buffers:  bufferBudget(c.Limits),
	}
}

// countFeatureDescriptors counts the descriptors that features take up.
func countFeatureDescriptors(conf config.Config, ops config.Ops) (n int) {
	if conf.Management.IsValid() {
		n += management.MaxOperatorConnections + listenerDescriptors
	}
	if ops.Status != nil {
		n += management.MaxStatusConnections + listenerDescriptors
	}
	if ops.Metrics != nil {
		n += metricsDescriptors
	}
	if ops.Capture != nil && ops.Capture.Dir != "" {
		n += captureDescriptors
	}
	if conf.Settings.PeerMessages && ops.Gossip != nil {
		n += gossipDescriptors
	}
	return n
}

// splitDescriptors splits the descriptors that features leave. A connection to a worker is in use only until an attempt is
// accepted, one of a client for as long as its request runs.
func splitDescriptors(descriptors, features int) (workers, clients int) {
	connections := descriptors - ownDescriptors - features
	workers = max(minWorkerConnections, connections/workerFraction)
	return workers, connections - workers
}

// bufferBudget returns how many bytes the buffers of client connections may take up, and payloads of requests as many again.
// Twice a sixth, and as much garbage at most, leaves room on the smallest machine for the program itself.
func bufferBudget(limits config.Limits) int { return limits.MemoryMB << 20 / bufferFraction }

// shareLimits has this process do with half of the limits while another one runs beside it, as both count as one, or with all
// of them. Idle client connections over that are closed.
func (l *Loop) shareLimits(half bool) {
	workers, clients := splitDescriptors(l.limits.Sockets, l.featureDescriptors)
	buffers := bufferBudget(l.limits)
	if half { // each has its own descriptors besides
		connections := max(minConnections, (workers+clients-ownDescriptors-l.featureDescriptors)/2)
		workers = max(minConnections/2, connections/workerFraction)
		clients = connections - workers
		buffers /= 2
	}
	l.sharesLimits = half
	l.workers.SetMaxConnections(workers)
	l.clients.setLimits(clients, buffers)
	if l.onShareLimits != nil {
		l.onShareLimits(half)
	}
}

// OnShareLimits sets what is done about memory when the process begins or ceases to share its machine with another one. It is
// called at once with how things are.
func (l *Loop) OnShareLimits(act func(half bool)) {
	l.onShareLimits = act
	act(l.sharesLimits)
}
