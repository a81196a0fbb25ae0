package environment

import (
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// This file holds the timeline of faults, and the life of one: it starts, strikes each of its targets, and ends with
// the last of them.

// faultTimeline is the timeline of what goes wrong; package scenario says what each fault does.
//
// Whom a fault strikes is settled at the run's start, by the seed and the fault's place in the timeline alone. What
// workers suffer is counted for each, so that faults may overlap: what each adds is taken away at its end, in
// whatever order they end, and the worker is as it was once all are over.
type faultTimeline struct {
	env            *Environment
	workers        []workerFaults // by worker
	restartWaiters [][]func()     // by worker: who waits for its next process
}

func newFaultTimeline(w *Environment) *faultTimeline {
	return &faultTimeline{env: w, workers: make([]workerFaults, len(w.workers)), restartWaiters: make([][]func(), len(w.workers))}
}

func (f *faultTimeline) start() {
	for i := range f.env.Spec.Faults {
		x := &activeFault{Fault: &f.env.Spec.Faults[i], timeline: f}
		x.chooseTargets(i)
		f.env.schedule(x.At.Std(), x.start)
	}
}

// activeFault is one of the timeline, as it is played.
type activeFault struct {
	*scenario.Fault
	timeline     *faultTimeline
	onWorkers    bool  // it is done to workers
	workers      []int // and to these
	onSchedulers bool
	schedulers   []int
	// Planners count on after the schedulers.
	onPlanners bool
	planners   []int
	remaining  int // strikes that are not over
}

// start strikes its targets, in turn where it is to spread. It ends with the last strike's end.
func (a *activeFault) start() {
	w := a.timeline.env
	w.record(trace.Event{Kind: trace.FaultStarted, Text: a.describe()})
	switch kind := scenario.FaultKinds[a.Kind]; {
	case kind == "sched":
		a.spread(a.schedulers, a.applyToScheduler)
	case kind == "planner":
		a.spread(a.planners, a.applyToScheduler)
	case kind == "node" && a.Kind != "half_open":
		a.spread(a.workers, a.applyToWorker)
	default:
		a.remaining = 1
		struck := a.applyToAll()
		a.recordWorkers(trace.WorkerFaultStarted, a.workers)
		a.endLater(func() {
			struck()
			a.recordWorkers(trace.WorkerFaultEnded, a.workers)
		})
	}
}

// recordWorkers says of workers that it strikes them, or no longer does.
func (a *activeFault) recordWorkers(what trace.Kind, nodes []int) {
	for _, n := range nodes {
		a.timeline.env.record(trace.Event{Kind: what, Worker: n, Text: a.Kind})
	}
}

func (a *activeFault) spread(targets []int, apply func(n int)) {
	if a.remaining = len(targets); a.remaining == 0 {
		a.remaining = 1
		a.end()
	}
	for i, n := range targets {
		a.timeline.env.after(a.Spread.Std()*time.Duration(i)/time.Duration(len(targets)), func() { apply(n) })
	}
}

// endLater ends a strike after For, if it ever ends.
func (a *activeFault) endLater(undo func()) {
	if a.Duration > 0 {
		a.timeline.env.after(a.Duration.Std(), func() {
			undo()
			a.end()
		})
	}
}

// end is the end of a strike.
func (a *activeFault) end() {
	if a.remaining--; a.remaining == 0 {
		a.timeline.env.record(trace.Event{Kind: trace.FaultEnded, Text: a.describe()})
	}
}

// workerStarted is told that a worker has a new process.
func (f *faultTimeline) workerStarted(node int) {
	waits := f.restartWaiters[node]
	f.restartWaiters[node] = nil
	for _, do := range waits {
		do()
	}
}
