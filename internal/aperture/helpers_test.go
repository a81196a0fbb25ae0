package aperture

import (
	"math/rand/v2"
	"testing"
	"time"

	"valvecove/dispatch"
)

// errorReporter is implemented by testing.TB and by rapid's T.
type errorReporter interface {
	Errorf(format string, args ...any)
}

// recordingPolicy maintains an endpoint list as the dispatch policy does, and returns the actions that a test decides on.
type recordingPolicy struct {
	reporter   errorReporter
	workers    map[uint64]dispatch.Worker
	inFlight   map[uint64]int                                  // number of attempts, by worker
	subscribed bool                                            // has requested the list, and not received it yet
	listKnown  bool                                            // has received a list from discovery, which is still available
	act        func(events []dispatch.Event) []dispatch.Action // nil: no actions
}

func newRecordingPolicy(reporter errorReporter) *recordingPolicy {
	return &recordingPolicy{reporter: reporter, workers: map[uint64]dispatch.Worker{}, inFlight: map[uint64]int{}}
}

func (r *recordingPolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, event := range events {
		switch event := event.(type) {
		case dispatch.Outcome:
			r.inFlight[event.Worker]--
		case dispatch.JobResumed:
			for _, attempt := range event.Attempts {
				if !attempt.Ended {
					r.inFlight[attempt.Worker]++
				}
			}
		case dispatch.WorkerList:
			r.applyList(event)
		}
	}
	if r.act != nil {
		dst = append(dst, r.act(events)...)
	}
	return dst
}

func (r *recordingPolicy) applyList(list dispatch.WorkerList) {
	if list.Kind == dispatch.ListUnavailable {
		r.subscribed = false
		r.listKnown = false
		return
	}
	if list.Kind != dispatch.ListCached { // as in the dispatch policy, any other update answers the subscription
		r.subscribed = false
		r.listKnown = true
	}
	if list.Kind != dispatch.ListDelta {
		r.workers = map[uint64]dispatch.Worker{}
	}
	for _, worker := range list.Workers {
		if _, known := r.workers[worker.ID]; worker.Removed && !known {
			r.reporter.Errorf("worker %d is removed, and is not in the list", worker.ID)
		}
		if worker.Removed {
			delete(r.workers, worker.ID)
		} else {
			r.workers[worker.ID] = worker
		}
	}
}

// hasWorker reports whether a worker is in the policy's list.
func (r *recordingPolicy) hasWorker(id uint64) bool {
	_, known := r.workers[id]
	return known
}

// countReady counts the ready workers.
func (r *recordingPolicy) countReady() (ready int) {
	for _, worker := range r.workers {
		if worker.Ready {
			ready++
		}
	}
	return ready
}

// policyOf returns the recording policy behind an aperture.
func policyOf(a *Aperture) *recordingPolicy { return a.policy.(*recordingPolicy) }

var classes = []dispatch.Class{
	{LatencyObjective: 400 * time.Millisecond, ClientTimeout: 5 * time.Second, Idempotency: dispatch.Idempotent},
	{LatencyObjective: 400 * time.Millisecond, ClientTimeout: 5 * time.Second, Idempotency: dispatch.IdempotentWithKey, DeduplicationScope: dispatch.ScopeCell},
}

// settingsFunc returns the settings of one scheduler.
type settingsFunc func(index, schedulers int) dispatch.Settings

// cellSettings returns settings with which units are cells, and workerSettings settings with which units are workers.
func cellSettings(index, schedulers int) dispatch.Settings {
	return dispatch.Settings{Replicas: schedulers, ReplicaIndex: index, Classes: classes, StartNotifications: true}
}

func workerSettings(index, schedulers int) dispatch.Settings {
	return dispatch.Settings{Replicas: schedulers, ReplicaIndex: index, Classes: classes[:1], StartNotifications: true}
}

var testConfig = Config{MinWorkers: 40, Coverage: 4, MaxWidening: 4, WidenThreshold: 0.1, Retention: 30 * time.Second}

// testFleet returns workers in cells of cellSize.
func testFleet(workers, cellSize int) []dispatch.Worker {
	return fleetInCells(workers, func(*rand.Rand) int { return cellSize })
}

// unevenFleet returns workers in cells of sizes from 1 to maxCellSize.
func unevenFleet(workers, maxCellSize int) []dispatch.Worker {
	return fleetInCells(workers, func(random *rand.Rand) int { return 1 + random.IntN(maxCellSize) })
}

func fleetInCells(workers int, nextSize func(random *rand.Rand) int) (list []dispatch.Worker) {
	random := rand.New(rand.NewPCG(1, uint64(workers)))
	for cell := 0; len(list) < workers; cell++ {
		size := nextSize(random)
		for i := 0; i < size && len(list) < workers; i++ {
			kind := len(list) % 100 / 99 // one worker in a hundred is of kind 1
			list = append(list, dispatch.Worker{ID: hash(uint64(len(list) + 1)), Ready: true, Cell: cell, Kind: kind})
		}
	}
	return list
}

// deployment contains the apertures of schedulers that receive the same endpoint list.
type deployment struct {
	apertures []*Aperture
	now       time.Duration
	list      []dispatch.Worker
}

// deploy returns a deployment of which only every n-th scheduler has an aperture, with n = every.
func deploy(tb testing.TB, schedulers, every int, settings settingsFunc, config Config, list []dispatch.Worker) *deployment {
	tb.Helper()
	d := &deployment{now: time.Minute, list: list}
	for index := 0; index < schedulers; index += every {
		d.apertures = append(d.apertures, New(newRecordingPolicy(tb), settings(index, schedulers), config))
	}
	d.applyList(dispatch.ListFull, list)
	return d
}

func (d *deployment) applyList(kind dispatch.ListKind, list []dispatch.Worker) {
	d.now += refreshInterval
	for _, a := range d.apertures {
		a.Step(d.now, []dispatch.Event{dispatch.WorkerList{Kind: kind, Workers: list}}, nil)
	}
}

func (d *deployment) advance(span time.Duration) {
	for end := d.now + span; d.now < end; d.now += evaluationInterval {
		for _, a := range d.apertures {
			a.Step(d.now, []dispatch.Event{dispatch.TimerFired{}}, nil)
		}
	}
}

// applyChange applies a list update with the affected workers, after the change of their status.
func (d *deployment) applyChange(isAffected func(worker *dispatch.Worker) bool, change func(worker *dispatch.Worker)) {
	var changed []dispatch.Worker
	for _, worker := range d.list {
		if isAffected(&worker) {
			change(&worker)
			changed = append(changed, worker)
		}
	}
	d.applyList(dispatch.ListDelta, changed)
}

// desiredUnits returns, for each aperture, the sizes of its desired units by unit ID.
func (d *deployment) desiredUnits() (sizes []map[uint64]int) {
	for _, a := range d.apertures {
		desired := map[uint64]int{}
		for _, u := range a.fleet.units {
			if u.desired {
				desired[u.id] = len(u.workers)
			}
		}
		sizes = append(sizes, desired)
	}
	return sizes
}

// countMoves returns the number of workers that are added to or removed from subsets between two states, and the maximum at one
// scheduler.
func countMoves(before, after []map[uint64]int) (total, maxAtOne int) {
	for i := range after {
		moved := sizeWithout(after[i], before[i]) + sizeWithout(before[i], after[i])
		total += moved
		maxAtOne = max(maxAtOne, moved)
	}
	return total, maxAtOne
}

// sizeWithout returns the total size of the units that are not among the others.
func sizeWithout(units, others map[uint64]int) (total int) {
	for id, size := range units {
		if others[id] == 0 {
			total += size
		}
	}
	return total
}
