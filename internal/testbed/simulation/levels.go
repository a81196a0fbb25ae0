package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/control/membership"
	"valvecove/internal/testbed/scenario"
)

// controlNetwork models the network between forwarders and planners: streams that carry bytes in order, and gossip. It applies
// the scenario's partitions and connection breaks to them. The environment has no part in it. A node is a forwarder or a
// planner over all of its processes. Forwarders are numbered as schedulers, planners after them. Each node has a random
// generator of its own.
type controlNetwork struct {
	spec        *scenario.Scenario
	now         time.Duration
	nodes       []controlNode
	rngs        []*rand.Rand
	events      actionQueue
	eventCount  uint64
	streamCount uint64
	streams     [][]*stream // by node: those that it has an end of
	partitions  []*networkPartition
	sigma       float64 // log-normal spread of delays
	gossip      gossip
	reached     []int // nodes that got a message since the last call of runDue
	freeBuffers [][]byte
}

// controlNode is a node of the network. It keeps the messages to a frozen process.
type controlNode interface {
	// status returns the incarnation of the process, and whether it runs and is frozen.
	status() (incarnation int, runs, frozen bool)
	deliver(n controlMessage)
	endProcess() // at the end of the run
}

// controlMessage is an event of a stream or of gossip for a node's process.
type controlMessage struct {
	kind     controlMessageKind
	stream   *stream
	bytes    []byte
	timedOut bool // of streamLost: nothing was received for streamTimeout
	event    membership.Event
	takenAt  time.Duration // earliest time at which the node processes it
}

type controlMessageKind uint8

const (
	streamAccepted  controlMessageKind = iota // another node has connected
	streamConnected                           // the dialed node has accepted
	streamRefused                             // the dialed node has not accepted
	streamData
	streamLost
	memberEvent
)

const (
	dialTimeout   = 250 * time.Millisecond // of a dial that gets no answer
	streamTimeout = 5 * time.Second        // of data that a partition delays
)

// stream is a connection between two nodes. The first one has dialed.
type stream struct {
	id         uint64
	nodes      [2]int
	open       [2]bool
	directions [2]streamDirection // by the end that sends
}

// streamDirection is one direction of a stream.
type streamDirection struct {
	queue       []segment
	lastArrival time.Duration // of the last queued segment
	stalled     bool          // by a partition
	stallCount  uint64
}

type segment struct {
	arrivesAt time.Duration
	kind      controlMessageKind
	bytes     []byte
}

// networkPartition is a fault that separates nodes.
type networkPartition struct {
	a, b   []bool // the two sides, by node
	oneWay bool
	active bool
}

func (c *networkPartition) separates(from, to int) bool {
	return c.active && (c.a[from] && c.b[to] || !c.oneWay && c.a[to] && c.b[from])
}

func newControlNetwork(spec *scenario.Scenario, seed uint64) *controlNetwork {
	n := spec.Schedulers.Count + spec.Planners.Count
	t := &controlNetwork{spec: spec, nodes: make([]controlNode, n), rngs: make([]*rand.Rand, n), streams: make([][]*stream, n)}
	for i := range t.rngs {
		t.rngs[i] = rand.New(rand.NewPCG(seed^xxhash.Sum64String("tiers"), uint64(i)))
	}
	if cv := spec.Network.Jitter; cv > 0 {
		t.sigma = math.Sqrt(math.Log1p(cv * cv))
	}
	for i := range spec.Faults {
		f := &spec.Faults[i]
		if scenario.FaultKinds[f.Kind] == "planners" && f.Between != "discovery" && f.And != "discovery" {
			t.planPartition(f)
		}
	}
	t.gossip.start(t)
	return t
}

// planPartition schedules the start and the end of a partition.
func (n *controlNetwork) planPartition(f *scenario.Fault) {
	partition := &networkPartition{oneWay: f.Kind == "planner_cut_one_way"}
	partition.a, partition.b = n.sideOf(f, f.Between), n.sideOf(f, f.And)
	if f.Between == f.And { // the targets are separated from the others of their group
		for i := range partition.b {
			partition.b[i] = n.isPlanner(i) == (f.Between == "planners") && (!partition.a[i] || !n.isNarrowed(f))
		}
	}
	n.partitions = append(n.partitions, partition)
	n.schedule(f.At.Std(), func() { partition.active = true })
	if f.Duration > 0 {
		n.schedule((f.At + f.Duration).Std(), func() {
			partition.active = false
			n.resumeStalled()
		})
	}
}

// isNarrowed reports whether a fault names targets on its side.
func (n *controlNetwork) isNarrowed(f *scenario.Fault) bool {
	if f.Between == "planners" {
		return len(f.Target.Planners) > 0
	}
	return len(f.Target.Schedulers) > 0
}

// sideOf returns, by node, which nodes are on one side of a partition.
func (n *controlNetwork) sideOf(f *scenario.Fault, name string) []bool {
	side, from, targets := make([]bool, len(n.nodes)), 0, f.Target.Schedulers
	to := n.spec.Schedulers.Count
	if name == "planners" {
		from, to, targets = to, len(n.nodes), f.Target.Planners
	}
	for i := from; i < to; i++ {
		side[i] = len(targets) == 0
	}
	for _, i := range targets {
		side[from+i] = true
	}
	return side
}

func (n *controlNetwork) isPlanner(nodeIndex int) bool { return nodeIndex >= n.spec.Schedulers.Count }

func (n *controlNetwork) isCut(from, to int) bool {
	for _, c := range n.partitions {
		if c.separates(from, to) {
			return true
		}
	}
	return false
}
