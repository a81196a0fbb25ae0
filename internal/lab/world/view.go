package world

import (
	"time"

	"valvecove/internal/lab/edge"
)

// View is a worker node's true state as it matters to one scheduler: what only a yardstick may know.
type View struct {
	Truth                // Up: it takes work that reaches it, and answers
	Met    bool          // what passes between the two arrives, both ways
	Knocks bool          // a new connection from that scheduler comes up
	Lag    time.Duration // requests are read so late
	Errors float64       // share of attempts that end with an error
}

// View shows the machine at a place (see NodeAddr) to a scheduler. One whose place another took is never met.
func (w *World) View(sched, place int) View {
	i := place % len(w.nodes)
	n := w.nodes[i]
	if n.place() != place {
		return View{}
	}
	v := View{Truth: w.Truth(i), Errors: n.kind.ErrorRate}
	if n.errors >= 0 {
		v.Errors = n.errors
	}
	if n.slowly {
		v.Lag = slowReadFor
	}
	v.Up = n.state == nodeUp && !n.hung && !n.shut && !n.muted && !n.dies
	me := party{aSched, sched}
	v.Met = w.net.cutBy(me, n.party()) == nil && w.net.cutBy(n.party(), me) == nil
	v.Knocks = v.Met && n.mode() == edge.Open && (n.kind.Conns <= 0 || len(n.links) < n.kind.Conns)
	return v
}
