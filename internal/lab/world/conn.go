package world

import (
	"time"

	"valvecove/internal/lab/edge"
)

// The sides of a connection.
const (
	schedSide = iota // the scheduler's
	farSide          // the client's or the worker node's
)

// conn is a connection between a scheduler and a client or a worker node. Each side closes for itself; the other
// learns of it as of anything else, after the network's delay and in order.
type conn struct {
	id     edge.Conn
	sched  int
	sprout int // which of the scheduler's processes it belongs to
	node   int // of a link
	boot   int // of a link: which of the worker node's processes it leads to
	up     bool
	over   [2]bool          // by side: closed there, or known there to be closed
	torn   [2]bool          // by side: closed there by a reset that the other side knows nothing of
	away   [2]time.Duration // when the last thing sent to that side arrives
	used   time.Duration    // when something last went over it, either way
	far    farEnd
	part   any // what the far end keeps with it
}

// farEnd is a client or a worker node, at its end of a connection.
type farEnd interface {
	party() party
	ended(c *conn) // the scheduler has closed it, or its process is gone
}

func (w *World) open(c *conn) *conn {
	c.sprout, c.used = w.scheds[c.sched].sprout, w.now
	w.conns[c.id] = c
	return c
}

// toSched brings something over a connection to its scheduler: do runs when it arrives there, in order, unless that
// side is closed by then. What a cut holds up arrives after that. What the network swallows never arrives: whoever
// waits for it has patience of its own.
func (w *World) toSched(c *conn, do func()) { w.carry(c, schedSide, do) }

// toFar is the same the other way.
func (w *World) toFar(c *conn, do func()) { w.carry(c, farSide, do) }

func (w *World) carry(c *conn, side int, do func()) {
	from, to := party{aSched, c.sched}, c.far.party()
	if side == schedSide {
		from, to = to, from
	}
	if cut := w.net.cutBy(from, to); cut != nil {
		cut.held = append(cut.held, func() { w.carry(c, side, do) })
		return
	}
	if d := w.net.forgets(from, to); d > 0 && w.now-c.used > d {
		c.torn[1-side] = c.over[1-side] // its close has come to nobody's knowledge
		w.tear(c, 1-side)
		return
	}
	c.used = w.now
	c.away[side] = max(c.away[side], w.now+w.net.delay(from, to))
	w.at(c.away[side], func() {
		switch {
		case !c.over[side]:
			do()
		case c.torn[side]:
			w.tear(c, 1-side)
		}
	})
}

// tear has a side that has sent something learn that its connection is known no more where that went. The other side,
// if that did not close it itself, learns nothing.
func (w *World) tear(c *conn, side int) {
	from, to := c.far.party(), party{aSched, c.sched}
	if side == farSide {
		from, to = to, from
	}
	arrive, ok := w.net.arrival(from, to)
	if !ok {
		return
	}
	c.away[side] = max(c.away[side], arrive)
	w.at(c.away[side], func() {
		if c.over[side] {
			return
		}
		c.torn[side] = !c.over[1-side]
		w.lost(c, side)
	})
}

// lost tells a side that its connection is over.
func (w *World) lost(c *conn, side int) {
	c.over[side] = true
	if c.over[1-side] {
		delete(w.conns, c.id)
	}
	if side == farSide {
		c.far.ended(c)
		return
	}
	kind := edge.Left
	if l, ok := c.part.(*nodeLink); ok {
		kind = edge.LinkDown
		l.parted()
	}
	w.in(edge.In{Kind: kind, Sched: c.sched, Node: c.node, Conn: c.id, Reset: c.up})
}

// shut closes a connection at one side. The other side hears of it, unless it has closed too: a scheduler by an In
// (Left or LinkDown), the far end by ended.
func (w *World) shut(c *conn, side int) {
	if c.over[side] {
		return
	}
	c.over[side] = true
	if c.over[1-side] {
		delete(w.conns, c.id)
		return
	}
	w.carry(c, 1-side, func() { w.lost(c, 1-side) })
}

// drop ends all connections of a scheduler's process that is gone. Its kernel resets them.
func (w *World) drop(sched int) {
	var own []*conn
	for _, c := range w.conns {
		if c.sched == sched && c.sprout == w.scheds[sched].sprout && !c.over[schedSide] {
			own = append(own, c)
		}
	}
	sortConns(own) // map order decides nothing
	for _, c := range own {
		w.shut(c, schedSide)
	}
}
