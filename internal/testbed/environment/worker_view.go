package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
)

// View is a worker node's true state as it matters to one scheduler: what only a yardstick may know.
type View struct {
	WorkerState               // Up: it takes work that reaches it, and answers
	Reachable   bool          // what passes between the two arrives, both ways
	Connectable bool          // a new connection from that scheduler comes up
	ReadDelay   time.Duration // requests are read so late
	ErrorRate   float64       // share of attempts that end with an error
}

// View shows the machine at a place (see NodeAddr) to a scheduler. One whose place another took is never met.
func (w *Environment) View(sched, place int) View {
	i := place % len(w.workers)
	n := w.workers[i]
	if n.placeIndex() != place {
		return View{}
	}
	v := View{WorkerState: w.WorkerState(i), ErrorRate: n.kind.ErrorRate}
	if n.errorRate >= 0 {
		v.ErrorRate = n.errorRate
	}
	if n.slowReads {
		v.ReadDelay = slowReadFor
	}
	v.Up = n.state == workerUp && !n.hanging && !n.rejectsAll && !n.silencesCallbacks && !n.diesAtAccept
	me := endpoint{schedulerEndpoint, sched}
	v.Reachable = w.network.partitionBetween(me, n.endpoint()) == nil && w.network.partitionBetween(n.endpoint(), me) == nil
	v.Connectable = v.Reachable && n.acceptMode() == simapi.AcceptAll && (n.kind.ConnLimit <= 0 || len(n.conns) < n.kind.ConnLimit)
	return v
}
