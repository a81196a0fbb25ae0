package world

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

// node is a worker node: a machine, and on it one process after another. Its parts are in files of their own:
// node_links.go has its connections, node_work.go what it takes and runs, node_cold.go how it warms up and falls over,
// node_keys.go what a group remembers of transfer keys, node_notes.go what it tells.
//
// An attempt that it has reached ends exactly once, as a Rejected, Finished, Returned or Died sight.
type node struct {
	w     *World
	fleet *fleet
	n     int    // its index
	id    string // as discovery tells it; w-N, and w-N.1 and so on for machines that took its place
	boot  int    // counts its processes; the first, 1, has run since long ago
	kind  *scenario.Kind
	which int // index of kind
	zone  int // index in Fleet.Zones
	cell  int // numbered through the fleet
	rng   *rand.Rand

	// The machine.
	machine  int     // counts machines; 0: the first
	pace     float64 // speed of a core, as drawn
	drag     float64 // divides it
	errors   float64 // share of attempts that end with an error; < 0: the kind's
	refusing bool
	never    bool
	slowly   bool // requests are read slowly
	resets   int  // bytes after which new connections are reset
	heard    int  // mode of accepting that was last told

	// Its process.
	state    nodeState
	turn     int // counts turns of its life: what was planned before the last is void
	started  time.Duration
	sinceOld bool // it has run since long before the play
	draining bool
	leaving  bool // its process ends once it has nothing left
	back     time.Duration
	gone     bool // off the list for good
	fallen   bool
	hung     bool
	paused   time.Duration // nothing moves until then
	shut     bool          // it turns away all
	muted    bool          // tells no notes
	dies     bool          // at the next 202
	diesBack time.Duration
	inbox    []func() // what came while it was paused

	// Its connections.
	links  []*nodeLink
	ghosts []*nodeLink // whose process ended without a word

	// What it has in hand.
	hand    map[string]*attempt
	all     []*attempt
	wait    []*attempt // its waiting room, in order
	running runHeap
	used    float64 // slots
	v       float64 // work done for each slot since the process began, in seconds at speed 1
	rate    float64 // at which v grows, a second
	settled time.Duration
	pending time.Duration // the earliest entry of tick on the agenda; 0: none
	tick    func()
	waiting float64 // work that waits
	ends    float64 // sum over the running of slots x end
	seq     uint64  // counts attempts taken
	runs    uint64  // counts results made
	ticking bool    // an entry for progress notes is on the agenda

	cold cold
	post post
}

type nodeState uint8

const (
	nodeUp     nodeState = iota
	nodeDead             // its process has ended, and the machine says so
	nodeSilent           // the machine says nothing
)

// fleet is what worker nodes share.
type fleet struct {
	w       *World
	classes []classRules
	keys    keyMemory
	dice    dice
	slack   float64 // what may arrive at a cold worker node beyond its budget, in seconds of work

	find func(call string) *try
	told func(sched int, n *node) bool
	saw  func(n *node, what lifeEvent)
}

// classRules is what a worker node goes by of a class.
type classRules struct {
	keyed  bool
	group  string
	window time.Duration
	kind   int // index of the only kind that runs it; -1: any
	noise  float64
}

func newNodes(w *World) []*node {
	spec := w.Spec
	f := &fleet{
		w: w, dice: newDice(w.seed, "attempts"), keys: newKeyMemory(len(spec.Classes)),
		slack: fallSlack * spec.MeanCost(),
	}
	f.find = func(call string) *try { return w.clients.find(call) }
	f.told = func(sched int, n *node) bool { return w.disco.told(sched, n) }
	f.saw = func(n *node, what lifeEvent) { w.disco.saw(n, what) }
	for i := range spec.Classes {
		c := &spec.Classes[i]
		f.classes = append(f.classes, classRules{
			keyed: c.Effect == "keyed", group: c.Group, window: c.Window.D(),
			kind:  slices.IndexFunc(spec.Fleet.Kinds, func(k scenario.Kind) bool { return c.Kind != "" && k.Name == c.Kind }),
			noise: c.Noise,
		})
	}
	kinds := dealKinds(spec, w.rng("kinds", 0))
	zones, size := max(1, len(spec.Fleet.Zones)), max(1, spec.Fleet.CellSize)
	nodes := make([]*node, spec.Fleet.Nodes)
	for i := range nodes {
		n := &node{
			w: w, fleet: f, n: i, id: "w-" + strconv.Itoa(i), boot: 1, which: kinds[i],
			kind: &spec.Fleet.Kinds[kinds[i]], zone: i % zones, rng: w.rng("node", i), drag: 1, errors: -1, sinceOld: true,
			hand: map[string]*attempt{},
		}
		// Cells are racks: each takes its worker nodes from one zone, apart from those in which a zone ends.
		place := i / zones
		for z := range n.zone {
			place += (len(nodes) - z + zones - 1) / zones
		}
		n.cell = place / size
		n.pace = n.drawPace()
		n.tick = n.due
		n.cold.warm = true
		nodes[i] = n
	}
	return nodes
}

// dealKinds gives each kind its share of the fleet, to the nearest worker node, in a drawn order.
func dealKinds(spec *scenario.Scenario, rng *rand.Rand) []int {
	kinds, total := make([]int, spec.Fleet.Nodes), 0.0
	for i := range spec.Fleet.Kinds {
		total += spec.Fleet.Kinds[i].Share
	}
	upTo, at := 0.0, 0
	for i := range spec.Fleet.Kinds {
		upTo += spec.Fleet.Kinds[i].Share / max(total, 1e-9)
		end := min(len(kinds), int(math.Round(upTo*float64(len(kinds)))))
		for ; at < end; at++ {
			kinds[at] = i
		}
	}
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds
}

// drawPace draws the speed of its cores: evenly, so that there is a slowest and a fastest even in a large fleet.
func (n *node) drawPace() float64 {
	return n.kind.Speed * max(0.1, 1+n.kind.Spread*math.Sqrt(3)*(2*n.rng.Float64()-1))
}

func (n *node) begin() {
	n.w.tell(seen.Sight{What: seen.Stands, Node: n.n, Boot: n.boot, Slots: float64(n.kind.Slots), Text: n.kind.Name})
	if n.kind.PauseEvery > 0 && n.kind.Pause > 0 {
		n.planPause(n.w.rng("pauses", n.n))
	}
}

// planPause has it pause now and then. The pauses are drawn whatever else befalls it.
func (n *node) planPause(rng *rand.Rand) {
	every, long := rng.ExpFloat64()*float64(n.kind.PauseEvery), rng.ExpFloat64()*float64(n.kind.Pause)
	n.w.after(time.Duration(every), func() {
		if n.state == nodeUp {
			n.w.tell(seen.Sight{What: seen.Struck, Node: n.n, Text: "pause"})
			n.stall(time.Duration(long))
			n.w.after(time.Duration(long), func() { n.w.tell(seen.Sight{What: seen.Spared, Node: n.n, Text: "pause"}) })
		}
		n.planPause(rng)
	})
}

func (n *node) party() party { return party{aNode, n.n} }

// startedMs is its last start as discovery tells it; 0: long ago.
func (n *node) startedMs() int64 {
	if n.sinceOld {
		return 0
	}
	return (n.w.Epoch + n.started).Milliseconds()
}

// size is the work that it does a second once it is warm, on standard cores, were it not slowed.
func (n *node) size() float64 { return min(n.kind.Cores, float64(n.kind.Slots)) * n.pace }

// place numbers machines: the first ones as their worker nodes, those that took their places after all of these.
func (n *node) place() int { return n.n + n.machine*len(n.w.nodes) }

// NodeAddr is where a machine listens, by its place (see node.place; of the first ones: their worker node's number): a
// loopback address of its own.
func (w *World) NodeAddr(i int) string {
	if w.Addrs != nil {
		return w.Addrs(i)
	}
	return "127." + strconv.Itoa(64+i/(254*254)) + "." + strconv.Itoa(1+i/254%254) + "." + strconv.Itoa(1+i%254) + ":9000"
}

// did takes what a scheduler has done to the worker node. It arrives later.
func (n *node) did(o *edge.Out) {
	if o.Kind == edge.Dial {
		n.w.tell(seen.Sight{What: seen.Dialled, Node: n.n, Sched: o.Sched, Conn: uint64(o.Conn)})
		n.dialled(o)
		return
	}
	if o.Kind == edge.Acked {
		n.acknowledged(o)
		return
	}
	c := n.w.conns[o.Conn]
	if c == nil || c.far != farEnd(n) || c.sched != o.Sched {
		return // it is over
	}
	l, kind := c.part.(*nodeLink), o.Kind
	if kind == edge.Hangup {
		l.parted()
		n.w.shut(c, schedSide)
		return
	}
	a := &attempt{n: n, call: o.Call, key: o.Key, sched: o.Sched, budget: o.Budget, first: o.First}
	a.told = kind == edge.Sent && !n.cold.warm && n.fleet.told(o.Sched, n)
	if kind == edge.Sent {
		n.w.tell(seen.Sight{What: seen.Sent, Call: a.call, Node: n.n, Sched: a.sched})
		l.sent = a
	}
	n.w.toFar(c, func() { n.came(l, kind, a) })
}

// Truth is the true state of a worker node, for yardsticks that see everything.
type Truth struct {
	Up       bool // takes work, and will answer
	Draining bool
	Cores    float64
	Speed    float64 // of a core, now: cold and slow included
	Slots    float64 // that it has
	Free     float64 // slots free
	Waiting  int     // jobs in its waiting room
	Queue    int     // and room for so many
	Backlog  float64 // seconds of work at speed 1 that it has not done yet, running and waiting
}

// Truth tells the true state of worker node i. Speed is 0 while nothing moves in it. One that turns away all, tells
// nothing, is about to die or can't be connected to is not up. What the network does to it is not in it.
func (w *World) Truth(i int) Truth {
	n := w.nodes[i]
	t := Truth{Draining: n.draining, Cores: n.kind.Cores, Slots: float64(n.kind.Slots), Queue: n.kind.Queue}
	if n.state != nodeUp {
		return t
	}
	t.Up = !n.hung && !n.shut && !n.muted && !n.dies && !n.refusing && !n.never
	if t.Speed = n.pace / n.drag * n.share(); n.stalled() {
		t.Speed = 0
	}
	t.Free, t.Waiting = t.Slots-n.used, len(n.wait)
	v := n.v + n.rate*(w.now-n.settled).Seconds()
	t.Backlog = max(0, n.waiting+n.ends-v*n.used)
	return t
}

// Work tells the true work of a client's query: seconds on a standard core, and slots.
func (w *World) Work(call string) (work, slots float64, ok bool) {
	t := w.clients.find(call)
	if t == nil {
		return 0, 0, false
	}
	return t.work, t.slots, true
}
