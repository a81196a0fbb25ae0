package environment

import (
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// This file holds the timeline of faults, and how a fault starts, is applied to its targets, and ends with the last of
// them.

// faultTimeline runs the faults of a scenario; package scenario describes each kind.
//
// The targets of a fault are chosen at the start of the run, and depend on the seed and the fault's index in the scenario
// alone. Faults may overlap: the active ones are counted for each worker, so that they may end in any order, and the worker
// is without faults once all have ended.
type faultTimeline struct {
	env            *Environment
	workers        []workerFaults // by worker
	restartWaiters [][]func()     // by worker: called once when its next process starts
}

func newFaultTimeline(environment *Environment) *faultTimeline {
	return &faultTimeline{
		env:            environment,
		workers:        make([]workerFaults, len(environment.workers)),
		restartWaiters: make([][]func(), len(environment.workers)),
	}
}

// start chooses the targets of all faults, and plans their starts.
func (f *faultTimeline) start() {
	for i := range f.env.Spec.Faults {
		fault := &activeFault{Fault: &f.env.Spec.Faults[i], timeline: f}
		fault.chooseTargets(i)
		f.env.schedule(fault.At.Std(), fault.start)
	}
}

// activeFault is a fault of the scenario in a run, with its targets.
type activeFault struct {
	*scenario.Fault
	timeline     *faultTimeline
	onWorkers    bool  // its targets are workers
	workers      []int // their numbers
	onSchedulers bool
	schedulers   []int
	onPlanners   bool
	planners     []int // numbered after the schedulers
	remaining    int   // number of targets at which it has not ended
}

// start applies the fault to its targets, spread over time if it has a spread.
func (a *activeFault) start() {
	a.timeline.env.record(trace.Event{Kind: trace.FaultStarted, Text: a.describe()})
	scope := scenario.FaultKinds[a.Kind]
	switch {
	case scope == scenario.FaultScopeScheduler:
		a.spread(a.schedulers, a.applyToScheduler)
	case scope == scenario.FaultScopePlanner:
		a.spread(a.planners, a.applyToScheduler)
	case scope == scenario.FaultScopeWorker && a.Kind != "half_open":
		a.spread(a.workers, a.applyToWorker)
	default:
		a.remaining = 1
		undo := a.applyToAll()
		a.recordWorkers(trace.WorkerFaultStarted, a.workers)
		a.endLater(func() {
			undo()
			a.recordWorkers(trace.WorkerFaultEnded, a.workers)
		})
	}
}

// recordWorkers records that the fault starts or ends at workers.
func (a *activeFault) recordWorkers(kind trace.Kind, workers []int) {
	for _, worker := range workers {
		a.timeline.env.record(trace.Event{Kind: kind, Worker: worker, Text: a.Kind})
	}
}

// spread applies the fault to its targets in order, evenly over Spread. Without targets it ends at once.
func (a *activeFault) spread(targets []int, apply func(target int)) {
	a.remaining = len(targets)
	if a.remaining == 0 {
		a.remaining = 1
		a.end()
	}
	for i, target := range targets {
		delay := a.Spread.Std() * time.Duration(i) / time.Duration(len(targets))
		a.timeline.env.after(delay, func() { apply(target) })
	}
}

// endLater ends the fault at one target after its duration; 0: it never ends.
func (a *activeFault) endLater(undo func()) {
	if a.Duration > 0 {
		a.timeline.env.after(a.Duration.Std(), func() {
			undo()
			a.end()
		})
	}
}

// end ends the fault at one target, and the whole fault with the last.
func (a *activeFault) end() {
	a.remaining--
	if a.remaining == 0 {
		a.timeline.env.record(trace.Event{Kind: trace.FaultEnded, Text: a.describe()})
	}
}

// workerStarted handles the start of a worker's process.
func (f *faultTimeline) workerStarted(worker int) {
	waiters := f.restartWaiters[worker]
	f.restartWaiters[worker] = nil
	for _, notify := range waiters {
		notify()
	}
}
