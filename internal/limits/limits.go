// Package limits divides the limits of a process on descriptors and memory among the connections to workers, the connections of
// clients, and the features. It only computes the shares: the packages that use them are notified of changes, and enforce them.
package limits

import "valvecove/internal/config"

// Maximum numbers of connections that are open at the same time, by feature.
const (
	MaxOperatorConnections = 16
	MaxStatusConnections   = 8
)

const (
	// ownDescriptors is the number of descriptors for the standard streams, epoll, eventfd, the listener for clients, the watch
	// of the endpoint list, and the Go runtime.
	ownDescriptors = 24

	listenerDescriptors = 2 // per feature: its listener, and a connection that is accepted before another one is closed for it
	metricsDescriptors  = 2 // a socket and a file
	captureDescriptors  = 2 // two files while one replaces the other
	gossipDescriptors   = 1 // a socket

	workerConnectionDivisor = 6 // workers get 1/6 of all connections
	minWorkerConnections    = 8
	minHalvedConnections    = 16 // of a process with half of the limits, however low these are

	callbackConnectionDivisor = 10 // 1/10 of the clients' connections is reserved for callbacks, which end requests
	minCallbackConnections    = 8

	bytesPerMBShift = 20
)

// Memory. During a hot restart two processes hold what clients have sent, and stay within the limit together.
const (
	processBytes = 7 << bytesPerMBShift // of a process that holds nothing for clients

	// heldNumerator/heldDenominator of the memory limit is for one process during a hot restart, apart from garbage: the other one
	// has the same share, and the rest is for the garbage of both and for files.
	heldNumerator   = 3
	heldDenominator = 8

	executedDivisor = 64 // 1/64 of the memory limit is for call IDs of requests that must not be executed again
	executedIDBytes = 64 // of one of them, in a map and a list

	minHeldDivisor = 8 // at least 1/8 of the memory limit is for what clients have sent, however low it is

	// heldKinds is the number of kinds of what is held for clients: buffers of connections, responses that wait for their turn, and
	// payloads of open requests.
	heldKinds = 3
)

// Shares contains the shares of the limits of a process.
type Shares struct {
	OwnDescriptors     int // used regardless of connections and features
	FeatureDescriptors int
	WorkerConnections  int
	ClientConnections  int
	OpenRequests       int // maximum number at the same time; see MaxRequests
	ExecutedIDs        int // call IDs of requests that must not be executed again
	BufferBytes        int // of client connections; responses that wait, and payloads of open requests, may use as much each
}

// SharesOf returns the shares of a process that does not share the limits of the configuration with another process.
func SharesOf(conf config.Config, ops config.Ops) Shares {
	return NewBudget(conf.Limits, FeatureDescriptors(conf, ops)).Shares()
}

// FeatureDescriptors returns the number of descriptors that the features of a configuration use.
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

// MaxRequests returns the maximum number of requests that are open at the same time, given a limit on client connections. It is
// less than that limit, because the callbacks that end requests need connections too.
func MaxRequests(clientConnections int) int {
	return clientConnections - max(minCallbackConnections, clientConnections/callbackConnectionDivisor)
}

// Budget computes the shares of a process that uses all or half of its limits. It is not safe for concurrent use.
type Budget struct {
	limits             config.Limits
	featureDescriptors int
	isHalved           bool
	onChange           func(shares Shares)
}

// NewBudget returns a budget with the full limits. featureDescriptors is the number of descriptors that are reserved for
// features.
func NewBudget(limits config.Limits, featureDescriptors int) *Budget {
	return &Budget{limits: limits, featureDescriptors: featureDescriptors, onChange: func(Shares) {}}
}

// OnChange sets the function that is called with the shares after each SetLimits and SetHalved.
func (b *Budget) OnChange(onChange func(shares Shares)) { b.onChange = onChange }

// SetLimits replaces the limits, for example after a reload of the configuration. The descriptors of features stay unchanged.
func (b *Budget) SetLimits(limits config.Limits) {
	b.limits = limits
	b.onChange(b.Shares())
}

// SetHalved sets whether the process has half of the limits, because it shares them with its predecessor or successor in a hot
// restart.
func (b *Budget) SetHalved(halved bool) {
	b.isHalved = halved
	b.onChange(b.Shares())
}

// IsHalved reports whether the process has half of the limits.
func (b *Budget) IsHalved() bool { return b.isHalved }

// heldBytes returns how much a process may hold for its clients: as much as fits into the memory limit twice, beside two processes.
func heldBytes(limits config.Limits) int {
	memory := limits.MemoryMB << bytesPerMBShift
	return max(memory*heldNumerator/heldDenominator-processBytes, memory/minHeldDivisor)
}

// Shares returns the current shares.
func (b *Budget) Shares() Shares {
	connections := b.limits.Sockets - ownDescriptors - b.featureDescriptors
	bufferBytes := heldBytes(b.limits) / heldKinds
	if b.isHalved {
		// The other process also needs descriptors for itself and for its features.
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
		ExecutedIDs:        b.limits.MemoryMB << bytesPerMBShift / executedDivisor / executedIDBytes,
		BufferBytes:        bufferBytes,
	}
}
