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

// worker is a worker: a machine, and on it one process after another. It joins the parts that own their state: machine,
// workerProcess, workerJobs, workerConnSet, warmUpState and callbackQueue.
//
// An attempt that it has received ends exactly once, as trace event AttemptRejected, AttemptFinished, AttemptReturned or
// AttemptDied.
type worker struct {
	env       *Environment
	shared    *workerShared
	number    int    // its index
	id        string // in the endpoint list; w-N, and w-N.1 and so on for machines that replaced the first
	kind      *scenario.WorkerKind
	kindIndex int // index of kind
	zone      int // index in Fleet.Zones
	cell      int // numbered through the fleet
	rng       *rand.Rand

	removed    bool // from the endpoint list, for good
	overloaded bool // its process died of overload: none starts again

	machine   machine
	process   workerProcess
	conns     workerConnSet
	jobs      workerJobs
	warming   warmUpState
	callbacks callbackQueue

	tick            func()
	nextTick        time.Duration // the earliest entry of tick on the event queue; 0: none
	progressPlanned bool          // an entry for progress callbacks is on the event queue
	resultCount     uint64        // results made by all processes
}

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

// classRules is what a worker needs of a class's settings.
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
			env: environment, shared: f, number: i, id: "w-" + strconv.Itoa(i), kindIndex: kinds[i],
			kind: &spec.Fleet.Kinds[kinds[i]], zone: i % zones, rng: environment.rng("node", i),
			process: workerProcess{incarnation: 1, startedBeforeRun: true}, jobs: workerJobs{byRequest: map[string]*attempt{}},
		}
		// Cells are racks: each takes its workers from one zone, apart from those in which a zone ends.
		place := i / zones
		for z := range n.zone {
			place += (len(nodes) - z + zones - 1) / zones
		}
		n.cell = place / size
		n.machine = newMachine(0, n.drawSpeed())
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
	w.env.record(trace.Event{Kind: trace.WorkerPresent, Worker: w.number, Incarnation: w.process.incarnation, Slots: float64(w.kind.Slots), Text: w.kind.Name})
	if w.kind.PauseEvery > 0 && w.kind.Pause > 0 {
		w.planPause(w.env.rng("pauses", w.number))
	}
}

// planPause has it pause now and then. The pauses are drawn whatever else befalls it.
func (w *worker) planPause(rng *rand.Rand) {
	every, long := rng.ExpFloat64()*float64(w.kind.PauseEvery), rng.ExpFloat64()*float64(w.kind.Pause)
	w.env.after(time.Duration(every), func() {
		if w.process.state == workerUp {
			w.env.record(trace.Event{Kind: trace.WorkerFaultStarted, Worker: w.number, Text: "pause"})
			w.pauseFor(time.Duration(long))
			w.env.after(time.Duration(long), func() { w.env.record(trace.Event{Kind: trace.WorkerFaultEnded, Worker: w.number, Text: "pause"}) })
		}
		w.planPause(rng)
	})
}

func (w *worker) endpoint() endpoint { return endpoint{workerEndpoint, w.number} }

// startedMs returns the start of the last process as discovery publishes it, in Unix milliseconds; 0: long ago.
func (w *worker) startedMs() int64 {
	if w.process.startedBeforeRun {
		return 0
	}
	return (w.env.Epoch + w.process.startedAt).Milliseconds()
}

// capacity is the work that it does a second once it is warm, on standard cores, were it not slowed.
func (w *worker) capacity() float64 {
	return min(w.kind.Cores, float64(w.kind.Slots)) * w.machine.coreSpeed
}

// placeIndex numbers machines: the first ones as their workers, those that took their places after all of these.
func (w *worker) placeIndex() int { return w.number + w.machine.number*len(w.env.workers) }

// WorkerAddr is where a machine listens, by its place (see placeIndex; of the first ones: their worker's number): a
// loopback address of its own.
func (e *Environment) WorkerAddr(i int) string {
	if e.WorkerAddrs != nil {
		return e.WorkerAddrs(i)
	}
	return "127." + strconv.Itoa(64+i/(254*254)) + "." + strconv.Itoa(1+i/254%254) + "." + strconv.Itoa(1+i%254) + ":9000"
}

// Work returns the true work of a client's request, in seconds on a standard core, and its slots.
func (e *Environment) Work(call string) (work, slots float64, ok bool) {
	t := e.clients.findRequest(call)
	if t == nil {
		return 0, 0, false
	}
	return t.work, t.slots, true
}
