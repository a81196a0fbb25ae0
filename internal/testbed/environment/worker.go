package environment

import (
	"math"
	"math/rand/v2"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// worker is a worker: a machine, and on it one process after another. Its state is divided into machine, workerProcess,
// workerJobs, workerConnSet, warmUpState and callbackQueue.
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

// drawSpeed draws the speed of a machine's cores. The distribution is uniform, so that the speed is bounded in a fleet of any
// size.
func (w *worker) drawSpeed() float64 {
	return w.kind.Speed * max(0.1, 1+w.kind.Spread*math.Sqrt(3)*(2*w.rng.Float64()-1))
}

// beginRun records the worker at the start of a run, and plans its pauses.
func (w *worker) beginRun() {
	w.env.record(trace.Event{
		Kind: trace.WorkerPresent, Worker: w.number, Incarnation: w.process.incarnation, Slots: float64(w.kind.Slots), Text: w.kind.Name,
	})
	if w.kind.PauseEvery > 0 && w.kind.Pause > 0 {
		w.planPause(w.env.rng("pauses", w.number))
	}
}

// planPause plans the next pause of the worker's kind. The draws don't depend on the state of the worker.
func (w *worker) planPause(rng *rand.Rand) {
	delay := time.Duration(rng.ExpFloat64() * float64(w.kind.PauseEvery))
	duration := time.Duration(rng.ExpFloat64() * float64(w.kind.Pause))
	w.env.after(delay, func() {
		if w.process.state == workerUp {
			w.env.record(trace.Event{Kind: trace.WorkerFaultStarted, Worker: w.number, Text: "pause"})
			w.pauseFor(duration)
			w.env.after(duration, func() {
				w.env.record(trace.Event{Kind: trace.WorkerFaultEnded, Worker: w.number, Text: "pause"})
			})
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

// capacity returns the work, in seconds at speed 1, that a warm worker does in a second if no fault slows it.
func (w *worker) capacity() float64 {
	return min(w.kind.Cores, float64(w.kind.Slots)) * w.machine.coreSpeed
}

// placeIndex returns the index of the present machine among all: those of the first machines are their workers' numbers,
// and replacements follow.
func (w *worker) placeIndex() int { return w.number + w.machine.number*len(w.env.workers) }
