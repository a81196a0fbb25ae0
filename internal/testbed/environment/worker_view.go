package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
)

// This file holds the true state of workers, for baseline policies that see everything.

// WorkerState is the true state of a worker.
type WorkerState struct {
	Up             bool // admits attempts, and will report their end
	Draining       bool
	Cores          float64
	Speed          float64 // of a core at present, warm-up and faults included; 0 while paused
	Slots          float64
	Free           float64 // free slots
	Queued         int     // queued attempts
	QueueLimit     int
	BacklogSeconds float64 // work in seconds at speed 1 that is not done yet, running and queued
}

// WorkerState returns the true state of worker i. A worker that rejects all, drops its callbacks, is about to crash or
// refuses connections is not up. Faults of the network don't count.
func (e *Environment) WorkerState(i int) WorkerState {
	worker := e.workers[i]
	state := WorkerState{
		Draining: worker.process.draining, Cores: worker.kind.Cores, Slots: float64(worker.kind.Slots), QueueLimit: worker.kind.Queue,
	}
	if worker.process.state != workerUp {
		return state
	}
	state.Up = worker.process.completesWork() && !worker.machine.refusesConns && !worker.machine.acceptsSilently
	state.Speed = worker.machine.speed() * worker.capacityShare()
	if worker.isPaused() {
		state.Speed = 0
	}
	state.Free = state.Slots - worker.jobs.usedSlots
	state.Queued = len(worker.jobs.queue)
	state.BacklogSeconds = worker.jobs.backlog(e.now)
	return state
}

// View is a worker's true state from the point of view of one scheduler.
type View struct {
	WorkerState               // Up: it admits attempts that reach it, and will report their end
	Reachable   bool          // the network delivers between the two, both ways
	Connectable bool          // a new connection from that scheduler is accepted
	ReadDelay   time.Duration // delay of the last byte of a request
	ErrorRate   float64       // share of attempts that end with an error
}

// View returns the true state of the machine at a place (see WorkerAddr) for a scheduler; that of a machine that has been
// replaced is zero.
func (e *Environment) View(sched, place int) View {
	number := place % len(e.workers)
	worker := e.workers[number]
	if worker.placeIndex() != place {
		return View{}
	}
	view := View{
		WorkerState: e.WorkerState(number),
		ErrorRate:   worker.machine.effectiveErrorRate(worker.kind.ErrorRate),
		ReadDelay:   worker.machine.readDelay(),
	}
	view.Up = worker.process.completesWork()
	viewer := endpoint{schedulerEndpoint, sched}
	view.Reachable = e.network.partitionBetween(viewer, worker.endpoint()) == nil &&
		e.network.partitionBetween(worker.endpoint(), viewer) == nil
	view.Connectable = view.Reachable && worker.acceptMode() == simapi.AcceptAll && !worker.isAtConnLimit()
	return view
}
