package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
)

// View is a worker's true state as it matters to one scheduler: what only a baseline policy may know.
type View struct {
	WorkerState               // Up: it takes work that reaches it, and answers
	Reachable   bool          // what passes between the two arrives, both ways
	Connectable bool          // a new connection from that scheduler comes up
	ReadDelay   time.Duration // requests are read so late
	ErrorRate   float64       // share of attempts that end with an error
}

// View shows the machine at a place (see NodeAddr) to a scheduler. One whose place another took is never met.
func (e *Environment) View(sched, place int) View {
	i := place % len(e.workers)
	n := e.workers[i]
	if n.placeIndex() != place {
		return View{}
	}
	view := View{WorkerState: e.WorkerState(i), ErrorRate: n.kind.ErrorRate}
	if n.errorRate >= 0 {
		view.ErrorRate = n.errorRate
	}
	if n.slowReads {
		view.ReadDelay = slowReadFor
	}
	view.Up = n.state == workerUp && !n.hanging && !n.rejectsAll && !n.silencesCallbacks && !n.diesAtAccept
	me := endpoint{schedulerEndpoint, sched}
	view.Reachable = e.network.partitionBetween(me, n.endpoint()) == nil && e.network.partitionBetween(n.endpoint(), me) == nil
	view.Connectable = view.Reachable && n.acceptMode() == simapi.AcceptAll && (n.kind.ConnLimit <= 0 || len(n.conns) < n.kind.ConnLimit)
	return view
}
