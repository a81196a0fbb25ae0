package environment

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"valvecove/internal/testbed/scenario"
)

// workerShared is the state and the callbacks that all workers share.
type workerShared struct {
	env           *Environment
	classes       []classRules
	keys          keyStore
	keyedRand     keyedRand
	overloadSlack float64 // work that a cold worker tolerates beyond its budget, in seconds at speed 1

	findRequest func(id string) *request
	knowsStart  func(sched int, worker *worker) bool
	onLifeEvent func(worker *worker, event lifeEvent)
}

// classRules is what a worker needs of a class's settings.
type classRules struct {
	idempotentWithKey bool
	scope             string
	window            time.Duration
	kind              int // index of the only worker kind that runs the class; -1: all kinds do
	noise             float64
}

func newWorkers(environment *Environment) []*worker {
	spec := environment.Spec
	shared := &workerShared{
		env: environment, keyedRand: newKeyedRand(environment.seed, "attempts"), keys: newKeyStore(len(spec.Classes)),
		overloadSlack: overloadSlack * spec.MeanCost(),
	}
	shared.findRequest = func(id string) *request { return environment.clients.findRequest(id) }
	shared.knowsStart = func(sched int, worker *worker) bool { return environment.discovery.knowsStart(sched, worker) }
	shared.onLifeEvent = func(worker *worker, event lifeEvent) { environment.discovery.workerEvent(worker, event) }
	for i := range spec.Classes {
		class := &spec.Classes[i]
		shared.classes = append(shared.classes, classRules{
			idempotentWithKey: class.Idempotency == "keyed", scope: class.DeduplicationScope, window: class.DeduplicationWindow.Std(),
			kind:  slices.IndexFunc(spec.Fleet.Kinds, func(k scenario.WorkerKind) bool { return class.Kind != "" && k.Name == class.Kind }),
			noise: class.Noise,
		})
	}
	kinds := assignKinds(spec, environment.rng("kinds", 0))
	zones := max(1, len(spec.Fleet.Zones))
	cellSize := max(1, spec.Fleet.CellSize)
	workers := make([]*worker, spec.Fleet.Workers)
	for i := range workers {
		worker := &worker{
			env: environment, shared: shared, number: i, id: "w-" + strconv.Itoa(i), kindIndex: kinds[i],
			kind: &spec.Fleet.Kinds[kinds[i]], zone: i % zones, rng: environment.rng("node", i),
			process: workerProcess{incarnation: 1, startedBeforeRun: true}, jobs: workerJobs{byRequest: map[string]*attempt{}},
		}
		// Cells are racks: the workers of each are in one zone, except in cells where one zone ends and the next begins.
		place := i / zones
		for z := range worker.zone {
			place += (len(workers) - z + zones - 1) / zones
		}
		worker.cell = place / cellSize
		worker.machine = newMachine(0, worker.drawSpeed())
		worker.tick = worker.tickDue
		worker.warming.warm = true
		workers[i] = worker
	}
	return workers
}

// assignKinds returns the index of the kind of each worker: each kind has its share of the fleet, rounded to whole workers, in
// random order.
func assignKinds(spec *scenario.Scenario, rng *rand.Rand) []int {
	kinds := make([]int, spec.Fleet.Workers)
	total := 0.0
	for i := range spec.Fleet.Kinds {
		total += spec.Fleet.Kinds[i].Share
	}
	upTo := 0.0 // share of the fleet of the kinds so far
	next := 0   // worker
	for i := range spec.Fleet.Kinds {
		upTo += spec.Fleet.Kinds[i].Share / max(total, 1e-9)
		end := min(len(kinds), int(math.Round(upTo*float64(len(kinds)))))
		for ; next < end; next++ {
			kinds[next] = i
		}
	}
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds
}

// WorkerAddr returns the address at which the machine at a place listens: a loopback address of its own. The place of a
// worker's first machine is the worker's number; see placeIndex.
func (e *Environment) WorkerAddr(i int) string {
	if e.WorkerAddrs != nil {
		return e.WorkerAddrs(i)
	}
	return "127." + strconv.Itoa(64+i/(254*254)) + "." + strconv.Itoa(1+i/254%254) + "." + strconv.Itoa(1+i%254) + ":9000"
}

// Work returns the true work of a client's request, in seconds on a standard core, and its slots.
func (e *Environment) Work(id string) (work, slots float64, ok bool) {
	request := e.clients.findRequest(id)
	if request == nil {
		return 0, 0, false
	}
	return request.work, request.slots, true
}
