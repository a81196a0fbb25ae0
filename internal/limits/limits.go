// Package limits divides the limits of a process, its descriptors and its memory, among the parts that use them: connections
// to workers, connections of clients, and features. It knows nothing of those parts: they are given their shares when these
// change, and keep within them.
package limits

import "valvecove/internal/config"

// Numbers of connections that features may have open at once.
const (
	MaxOperatorConnections = 16
	MaxStatusConnections   = 8
)

const (
	// ownDescriptors are the standard streams, epoll, eventfd, the clients' listener, the watch, and what the runtime opens.
	ownDescriptors = 24

	listenerDescriptors = 2 // of a feature: its listener, and a connection accepted before another one is evicted for it
	metricsDescriptors  = 2 // a socket and a file
	captureDescriptors  = 2 // two files, while one replaces the other
	gossipDescriptors   = 1 // a socket

	workerConnectionDivisor = 6 // workers have 1/6 of all connections
	minWorkerConnections    = 8
	minHalvedConnections    = 16 // of a process that has half of the limits, however low these are

	callbackConnectionDivisor = 10 // 1/10 of the clients' connections is kept free of requests, for callbacks that end them
	minCallbackConnections    = 8

	bufferMemoryDivisor = 6 // 1/6 of the memory is for buffers, and as much for payloads
	bytesPerMBShift     = 20
)

// Shares is how the limits of a process are divided.
type Shares struct {
	OwnDescriptors     int // used whatever is connected
	FeatureDescriptors int
	WorkerConnections  int
	ClientConnections  int
	OpenRequests       int // at once; see MaxRequests
	BufferBytes        int // of client connections; payloads of open requests may take up as much again
}

// SharesOf returns the shares of a process with a configuration that has all of its limits to itself.
func SharesOf(conf config.Config, ops config.Ops) Shares {
	return NewBudget(conf.Limits, FeatureDescriptors(conf, ops)).Shares()
}

// FeatureDescriptors returns how many descriptors the features of a configuration use.
func FeatureDescriptors(conf config.Config, ops config.Ops) (count int) {
	if conf.Management.IsValid() {
		count += MaxOperatorConnections + listenerDescriptors
	}
	if ops.Status != nil {
		count += MaxStatusConnections + listenerDescriptors
	}
	if ops.Metrics != nil {
		count += metricsDescriptors
	}
	if ops.Capture != nil && ops.Capture.Dir != "" {
		count += captureDescriptors
	}
	if conf.Settings.PeerMessages && ops.Gossip != nil {
		count += gossipDescriptors
	}
	return count
}

// MaxRequests returns how many requests may be open at once with a limit on client connections. There are fewer than
// connections, since the callbacks that end requests need connections too.
func MaxRequests(clientConnections int) int {
	return clientConnections - max(minCallbackConnections, clientConnections/callbackConnectionDivisor)
}

// Budget owns the limits of a process, and whether it has all of them or half. It is for one goroutine only.
type Budget struct {
	limits             config.Limits
	featureDescriptors int
	isHalved           bool
	onChange           func(shares Shares)
}

// NewBudget returns a budget with the full limits. featureDescriptors are reserved for features.
func NewBudget(limits config.Limits, featureDescriptors int) *Budget {
	return &Budget{limits: limits, featureDescriptors: featureDescriptors, onChange: func(Shares) {}}
}

// OnChange sets what is called with the shares after each SetLimits and SetHalved.
func (b *Budget) OnChange(act func(shares Shares)) { b.onChange = act }

// SetLimits replaces the limits, as after a reload of the configuration. Features keep their descriptors.
func (b *Budget) SetLimits(limits config.Limits) {
	b.limits = limits
	b.onChange(b.Shares())
}

// SetHalved sets whether the process has half of the limits, because it shares them with another process beside it: during a
// hot restart both count as one.
func (b *Budget) SetHalved(halved bool) {
	b.isHalved = halved
	b.onChange(b.Shares())
}

// IsHalved reports whether the process has half of the limits.
func (b *Budget) IsHalved() bool { return b.isHalved }

// Shares returns the present shares.
func (b *Budget) Shares() Shares {
	connections := b.limits.Sockets - ownDescriptors - b.featureDescriptors
	bufferBytes := b.limits.MemoryMB << bytesPerMBShift / bufferMemoryDivisor
	if b.isHalved {
		// The other process has descriptors of its own and of its features besides.
		connections = max(minHalvedConnections, (connections-ownDescriptors-b.featureDescriptors)/2)
		bufferBytes /= 2
	}
	workers := max(minWorkerConnections, connections/workerConnectionDivisor)
	clients := connections - workers
	return Shares{
		OwnDescriptors:     ownDescriptors,
		FeatureDescriptors: b.featureDescriptors,
		WorkerConnections:  workers,
		ClientConnections:  clients,
		OpenRequests:       MaxRequests(clients),
		BufferBytes:        bufferBytes,
	}
}
