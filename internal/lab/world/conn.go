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
// side is closed by then. What the network swallows never arrives: whoever waits for it has patience of its own.
func (w *World) toSched(c *conn, do func()) {
	w.carry(c, schedSide, c.far.party(), party{aSched, c.sched}, do)
}

// toFar is the same the other way.
func (w *World) toFar(c *conn, do func()) {
	w.carry(c, farSide, party{aSched, c.sched}, c.far.party(), do)
}

func (w *World) carry(c *conn, side int, from, to party, do func()) {
	arrive, ok := w.net.arrival(from, to)
	if !ok {
		return
	}
	c.used = w.now
	c.away[side] = max(c.away[side], arrive)
	w.at(c.away[side], func() {
		if !c.over[side] {
			do()
		}
	})
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
	if side == schedSide {
		w.toFar(c, func() {
			c.over[farSide] = true
			delete(w.conns, c.id)
			c.far.ended(c)
		})
		return
	}
	w.toSched(c, func() {
		c.over[schedSide] = true
		delete(w.conns, c.id)
		kind := edge.Left
		if c.id.Link() {
			kind = edge.LinkDown
		}
		w.in(edge.In{Kind: kind, Sched: c.sched, Node: c.node, Conn: c.id, Reset: c.up})
	})
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
