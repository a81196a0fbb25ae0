package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/control/membership"
	"valvecove/internal/testbed/scenario"
)

// levelNetwork models the network between forwarders and planners: streams that carry bytes in order, and gossip. It also
// applies the scenario's partitions and connection breaks to them. The environment knows nothing of it. A process takes
// part under the number of its seat: forwarders have their numbers as schedulers, planners follow. Each seat has a
// random generator of its own.
type levelNetwork struct {
	spec        *scenario.Scenario
	now         time.Duration
	seats       []levelNode
	rngs        []*rand.Rand
	events      actionQueue
	eventCount  uint64
	streamCount uint64
	streams     [][]*stream // by seat: those that it has an end of
	partitions  []*levelPartition
	sigma       float64 // log-normal spread of delays
	gossip      gossip
	reached     []int // seats that got a message since the last call of runDue
	freeBuffers [][]byte
}

// levelNode is a seat as the network sees it. Messages to a frozen process wait in its node.
type levelNode interface {
	// status returns the incarnation of the process, and whether it runs and is frozen.
	status() (incarnation int, runs, frozen bool)
	deliver(n levelMessage)
	endProcess() // at the end of the run
}

// levelMessage is an event of a stream or of gossip for a seat's process.
type levelMessage struct {
	kind     levelMessageKind
	stream   *stream
	bytes    []byte
	timedOut bool // of streamLost: nothing was heard for streamTimeout
	event    membership.Event
	takenAt  time.Duration // when the node processes it
}

type levelMessageKind uint8

const (
	streamAccepted  levelMessageKind = iota // another seat has connected
	streamConnected                         // the dialed seat has accepted
	streamRefused                           // it has not
	streamData
	streamLost
	memberEvent
)

const (
	dialTimeout   = 250 * time.Millisecond // of a dial that gets no answer
	streamTimeout = 5 * time.Second        // of data that a partition holds up
)

// stream is a connection between two seats. The first one has dialed.
type stream struct {
	id         uint64
	seats      [2]int
	open       [2]bool
	directions [2]streamDirection // by the end that sends
}

// streamDirection is one direction of a stream.
type streamDirection struct {
	queue       []segment
	lastArrival time.Duration // of the last queued segment
	stalled     bool          // by a partition
	stallCount  uint64        // counts stalls
}

type segment struct {
	arrivesAt time.Duration
	kind      levelMessageKind
	bytes     []byte
}

// levelPartition is a network fault that separates seats.
type levelPartition struct {
	a, b   []bool // by seat
	oneWay bool
	active bool
}

func (c *levelPartition) separates(from, to int) bool {
	return c.active && (c.a[from] && c.b[to] || !c.oneWay && c.a[to] && c.b[from])
}

func newLevelNetwork(spec *scenario.Scenario, seed uint64) *levelNetwork {
	n := spec.Schedulers.Count + spec.Planners.Count
	t := &levelNetwork{spec: spec, seats: make([]levelNode, n), rngs: make([]*rand.Rand, n), streams: make([][]*stream, n)}
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
func (t *levelNetwork) planPartition(f *scenario.Fault) {
	partition := &levelPartition{oneWay: f.Kind == "planner_cut_one_way"}
	partition.a, partition.b = t.sideOf(f, f.Between), t.sideOf(f, f.And)
	if f.Between == f.And { // the targets are separated from the others
		for i := range partition.b {
			partition.b[i] = t.isPlanner(i) == (f.Between == "planners") && (!partition.a[i] || !t.isNarrowed(f))
		}
	}
	t.partitions = append(t.partitions, partition)
	t.schedule(f.At.Std(), func() { partition.active = true })
	if f.Duration > 0 {
		t.schedule((f.At + f.Duration).Std(), func() {
			partition.active = false
			t.resumeStalled()
		})
	}
}

func (t *levelNetwork) isNarrowed(f *scenario.Fault) bool {
	if f.Between == "planners" {
		return len(f.Target.Planners) > 0
	}
	return len(f.Target.Schedulers) > 0
}

// sideOf returns, by seat, who is on one side of a partition.
func (t *levelNetwork) sideOf(f *scenario.Fault, name string) []bool {
	some, from, only := make([]bool, len(t.seats)), 0, f.Target.Schedulers
	to := t.spec.Schedulers.Count
	if name == "planners" {
		from, to, only = to, len(t.seats), f.Target.Planners
	}
	for i := from; i < to; i++ {
		some[i] = len(only) == 0
	}
	for _, i := range only {
		some[from+i] = true
	}
	return some
}

func (t *levelNetwork) isPlanner(seat int) bool { return seat >= t.spec.Schedulers.Count }

func (t *levelNetwork) isCut(from, to int) bool {
	for _, c := range t.partitions {
		if c.separates(from, to) {
			return true
		}
	}
	return false
}
