package environment

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// worker is a worker: a machine, and on it one process after another. Its parts are in files of their own:
// worker_conns.go has its connections, worker_attempts.go, worker_queue.go and worker_cores.go what it takes and runs,
// worker_warmup.go how it warms up and is overloaded, worker_keys.go what a group remembers of idempotency keys,
// worker_callbacks.go its callbacks, worker_lifecycle.go its processes and its faults.
//
// An attempt that it has received ends exactly once, as trace event AttemptRejected, AttemptFinished, AttemptReturned or
// AttemptDied.
type worker struct {
	env         *Environment
	shared      *workerShared
	number      int    // its index
	id          string // as discovery tells it; w-N, and w-N.1 and so on for machines that took its place
	incarnation int    // counts its processes; the first, 1, has run since long ago
	kind        *scenario.WorkerKind
	kindIndex   int // index of kind
	zone        int // index in Fleet.Zones
	cell        int // numbered through the fleet
	rng         *rand.Rand

	// The machine.
	machine         int     // counts machines; 0: the first
	coreSpeed       float64 // speed of a core, as drawn
	slowFactor      float64 // divides it
	errorRate       float64 // share of attempts that end with an error; < 0: the kind's
	refusing        bool
	acceptsSilently bool
	slowReads       bool // requests are read slowly
	resetBytes      int  // bytes after which new connections are reset
	reportedMode    int  // mode of accepting that was last told

	// Its process.
	state             workerState
	lifeTurn          int // counts turns of its life: what was planned before the last is void
	startedAt         time.Duration
	sincePast         bool // it has run since long before the run
	draining          bool
	leaving           bool // its process ends once it has nothing left
	restartAfter      time.Duration
	removed           bool // off the list for good
	overloaded        bool
	hanging           bool
	pausedUntil       time.Duration // nothing moves until then
	rejectsAll        bool          // it rejects all
	silencesCallbacks bool          // sends no callbacks
	diesAtAccept      bool          // at the next 202
	diesRestartAfter  time.Duration
	inbox             []func() // what came while it was paused

	// Its connections.
	conns      []*workerConn
	ghostConns []*workerConn // whose process ended without a word

	// What it has in hand.
	attemptsByRequest map[string]*attempt
	attempts          []*attempt
	queue             []*attempt // its waiting room, in order
	running           runningHeap
	usedSlots         float64 // slots
	progressPerSlot   float64 // work done for each slot since the process began, in seconds at speed 1
	progressRate      float64 // at which v grows, a second
	progressAt        time.Duration
	nextTick          time.Duration // the earliest entry of tick on the event queue; 0: none
	tick              func()
	queuedWork        float64 // work that waits
	runningEnds       float64 // sum over the running of slots x end
	attemptCount      uint64  // counts attempts taken
	resultCount       uint64  // counts results made
	progressPlanned   bool    // an entry for progress callbacks is on the event queue

	warming   warmUpState
	callbacks callbackQueue
}

type workerState uint8

const (
	workerUp     workerState = iota
	workerDead               // its process has ended, and the machine says so
	workerSilent             // the machine says nothing
)

// workerShared is what workers share.
type workerShared struct {
	env           *Environment
	classes       []classRules
	keys          keyStore
	dice          drawSource
	overloadSlack float64 // what may arrive at a cold worker beyond its budget, in seconds of work

	findRequest func(call string) *request
	knowsStart  func(sched int, n *worker) bool
	onLifeEvent func(n *worker, what lifeEvent)
}

// classRules is what a worker goes by of a class.
type classRules struct {
	idempotentWithKey bool
	scope             string
	window            time.Duration
	kind              int // index of the only kind that runs it; -1: any
	noise             float64
}

func newWorkers(environment *Environment) []*worker {
	spec := environment.Spec
	f := &workerShared{
		env: environment, dice: newDrawSource(environment.seed, "attempts"), keys: newKeyStore(len(spec.Classes)),
		overloadSlack: overloadSlack * spec.MeanCost(),
	}
	f.findRequest = func(call string) *request { return environment.clients.findRequest(call) }
	f.knowsStart = func(sched int, n *worker) bool { return environment.discovery.knowsStart(sched, n) }
	f.onLifeEvent = func(n *worker, what lifeEvent) { environment.discovery.workerEvent(n, what) }
	for i := range spec.Classes {
		c := &spec.Classes[i]
		f.classes = append(f.classes, classRules{
			idempotentWithKey: c.Idempotency == "keyed", scope: c.DeduplicationScope, window: c.DeduplicationWindow.Std(),
			kind:  slices.IndexFunc(spec.Fleet.Kinds, func(k scenario.WorkerKind) bool { return c.Kind != "" && k.Name == c.Kind }),
			noise: c.Noise,
		})
	}
	kinds := dealKinds(spec, environment.rng("kinds", 0))
	zones, size := max(1, len(spec.Fleet.Zones)), max(1, spec.Fleet.CellSize)
	nodes := make([]*worker, spec.Fleet.Workers)
	for i := range nodes {
		n := &worker{
			env: environment, shared: f, number: i, id: "w-" + strconv.Itoa(i), incarnation: 1, kindIndex: kinds[i],
			kind: &spec.Fleet.Kinds[kinds[i]], zone: i % zones, rng: environment.rng("node", i), slowFactor: 1, errorRate: -1, sincePast: true,
			attemptsByRequest: map[string]*attempt{},
		}
		// Cells are racks: each takes its workers from one zone, apart from those in which a zone ends.
		place := i / zones
		for z := range n.zone {
			place += (len(nodes) - z + zones - 1) / zones
		}
		n.cell = place / size
		n.coreSpeed = n.drawSpeed()
		n.tick = n.tickDue
		n.warming.warm = true
		nodes[i] = n
	}
	return nodes
}

// dealKinds gives each kind its share of the fleet, to the nearest worker, in a drawn order.
func dealKinds(spec *scenario.Scenario, rng *rand.Rand) []int {
	kinds, total := make([]int, spec.Fleet.Workers), 0.0
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

// drawSpeed draws the speed of its cores: evenly, so that there is a slowest and a fastest even in a large fleet.
func (w *worker) drawSpeed() float64 {
	return w.kind.Speed * max(0.1, 1+w.kind.Spread*math.Sqrt(3)*(2*w.rng.Float64()-1))
}

func (w *worker) begin() {
	w.env.record(trace.Event{Kind: trace.WorkerPresent, Worker: w.number, Incarnation: w.incarnation, Slots: float64(w.kind.Slots), Text: w.kind.Name})
	if w.kind.PauseEvery > 0 && w.kind.Pause > 0 {
		w.planPause(w.env.rng("pauses", w.number))
	}
}

// planPause has it pause now and then. The pauses are drawn whatever else befalls it.
func (w *worker) planPause(rng *rand.Rand) {
	every, long := rng.ExpFloat64()*float64(w.kind.PauseEvery), rng.ExpFloat64()*float64(w.kind.Pause)
	w.env.after(time.Duration(every), func() {
		if w.state == workerUp {
			w.env.record(trace.Event{Kind: trace.WorkerFaultStarted, Worker: w.number, Text: "pause"})
			w.pauseFor(time.Duration(long))
			w.env.after(time.Duration(long), func() { w.env.record(trace.Event{Kind: trace.WorkerFaultEnded, Worker: w.number, Text: "pause"}) })
		}
		w.planPause(rng)
	})
}

func (w *worker) endpoint() endpoint { return endpoint{workerEndpoint, w.number} }

// startedMs is its last start as discovery tells it; 0: long ago.
func (w *worker) startedMs() int64 {
	if w.sincePast {
		return 0
	}
	return (w.env.Epoch + w.startedAt).Milliseconds()
}

// capacity is the work that it does a second once it is warm, on standard cores, were it not slowed.
func (w *worker) capacity() float64 { return min(w.kind.Cores, float64(w.kind.Slots)) * w.coreSpeed }

// placeIndex numbers machines: the first ones as their workers, those that took their places after all of these.
func (w *worker) placeIndex() int { return w.number + w.machine*len(w.env.workers) }

// WorkerAddr is where a machine listens, by its place (see placeIndex; of the first ones: their worker's number): a
// loopback address of its own.
func (e *Environment) WorkerAddr(i int) string {
	if e.WorkerAddrs != nil {
		return e.WorkerAddrs(i)
	}
	return "127." + strconv.Itoa(64+i/(254*254)) + "." + strconv.Itoa(1+i/254%254) + "." + strconv.Itoa(1+i%254) + ":9000"
}

// WorkerState is the true state of a worker, for baseline policies that see everything.
type WorkerState struct {
	Up             bool // takes work, and will answer
	Draining       bool
	Cores          float64
	Speed          float64 // of a core, now: cold and slow included
	Slots          float64 // that it has
	Free           float64 // slots free
	Queued         int     // jobs in its waiting room
	QueueLimit     int     // and room for so many
	BacklogSeconds float64 // seconds of work at speed 1 that it has not done yet, running and waiting
}

// WorkerState tells the true state of worker i. Speed is 0 while nothing moves in it. One that rejects all, tells
// nothing, is about to die or can't be connected to is not up. What the network does to it is not in it.
func (e *Environment) WorkerState(i int) WorkerState {
	n := e.workers[i]
	t := WorkerState{Draining: n.draining, Cores: n.kind.Cores, Slots: float64(n.kind.Slots), QueueLimit: n.kind.Queue}
	if n.state != workerUp {
		return t
	}
	t.Up = !n.hanging && !n.rejectsAll && !n.silencesCallbacks && !n.diesAtAccept && !n.refusing && !n.acceptsSilently
	if t.Speed = n.coreSpeed / n.slowFactor * n.capacityShare(); n.isPaused() {
		t.Speed = 0
	}
	t.Free, t.Queued = t.Slots-n.usedSlots, len(n.queue)
	v := n.progressPerSlot + n.progressRate*(e.now-n.progressAt).Seconds()
	t.BacklogSeconds = max(0, n.queuedWork+n.runningEnds-v*n.usedSlots)
	return t
}

// Work tells the true work of a client's request: seconds on a standard core, and slots.
func (e *Environment) Work(call string) (work, slots float64, ok bool) {
	t := e.clients.findRequest(call)
	if t == nil {
		return 0, 0, false
	}
	return t.work, t.slots, true
}
