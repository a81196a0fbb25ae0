package world

import "time"

// party is one end of a way through the network.
type party struct {
	kind partyKind
	n    int
}

type partyKind uint8

const (
	aClient partyKind = iota // n: any
	aSched
	aNode
	theDisco
)

// network says how long things take from party to party, and which never arrive.
type network struct{ w *World }

func newNetwork(w *World) *network { return &network{w: w} }

// arrival is when something sent now arrives; not ok: never.
func (n *network) arrival(from, to party) (at time.Duration, ok bool) { panic("todo") }

// reach is how an attempt to connect fares, apart from what the far end's process does with it.
func (n *network) reach(from, to party) (way, back time.Duration, ok bool) { panic("todo") }

// crowd is some of the parties of a kind; only nil: all of them.
type crowd struct {
	kind partyKind
	only map[int]bool
}

// cut holds up all that goes between two crowds (oneWay: from a to b only) until undo. What a connection's peer sent
// meanwhile arrives then, unless the connection is over; new connections never come up.
func (n *network) cut(a, b crowd, oneWay bool) (undo func()) { panic("todo") }

// lag adds to delays between two crowds, both ways, a mean of d, spread evenly from 0 to twice that, until undo.
func (n *network) lag(a, b crowd, d time.Duration) (undo func()) { panic("todo") }

// dropIdle forgets connections between two crowds that have been idle for longer than d, unseen: what is sent over one
// from then on is answered by a reset, until undo.
func (n *network) dropIdle(a, b crowd, d time.Duration) (undo func()) { panic("todo") }
