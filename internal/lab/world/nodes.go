package world

import (
	"time"

	"valvecove/internal/lab/edge"
)

// node is a worker node.
type node struct {
	w    *World
	n    int    // its index; Names says w-N
	id   string // as discovery tells it
	boot int    // counts its processes
}

func newNodes(w *World) []*node { panic("todo") }

func (n *node) begin()          { panic("todo") }
func (n *node) did(o *edge.Out) { panic("todo") }
func (n *node) party() party    { return party{aNode, n.n} }
func (n *node) ended(c *conn)   { panic("todo") }

// Truth is the true state of a worker node, for yardsticks that see everything.
type Truth struct {
	Up       bool // takes work, and will answer
	Draining bool
	Cores    float64
	Speed    float64 // of a core, now: cold and slow included
	Slots    float64 // that it has
	Free     float64 // slots free
	Waiting  int     // jobs in its waiting room
	Queue    int     // and room for so many
	Backlog  float64 // seconds of work at speed 1 that it has not done yet, running and waiting
}

// Truth tells the true state of worker node i.
func (w *World) Truth(i int) Truth { panic("todo") }

// Work tells the true work of a client's query: seconds on a standard core, and slots.
func (w *World) Work(call string) (work, slots float64, ok bool) { panic("todo") }

// What may be done to a worker node. back is when after this its process starts again, cold; 0: never.

func (n *node) crash(back time.Duration)       { panic("todo") } // its process dies: connections reset, new ones refused
func (n *node) vanish(back time.Duration)      { panic("todo") } // the machine says nothing more: silence, no connection comes up
func (n *node) hang(on bool)                   { panic("todo") } // it takes work, and neither begins nor answers nor tells
func (n *node) pause(d time.Duration)          { panic("todo") } // nothing in it moves for so long
func (n *node) slow(factor float64)            { panic("todo") } // speed is divided by this; 1: as ever
func (n *node) failing(rate float64)           { panic("todo") } // share of jobs that run and end with an error; < 0: its kind's own
func (n *node) full(on bool)                   { panic("todo") } // it turns away all
func (n *node) drain()                         { panic("todo") } // it finishes what it has, takes nothing new, until its process ends
func (n *node) handBack()                      { panic("todo") } // what waits is returned
func (n *node) restart(back time.Duration)     { panic("todo") } // drain; its process ends once it has nothing left, 30 s at most
func (n *node) remove()                        { panic("todo") } // drain, and off the list for good
func (n *node) replace(back time.Duration)     { panic("todo") } // the machine vanishes for good, another with a new id takes its place
func (n *node) mute(on bool)                   { panic("todo") } // no notes are told; what was not told stays untold
func (n *node) dieAtAccept(back time.Duration) { panic("todo") } // it answers 202 to the next job and dies at that instant
func (n *node) refuse(on bool)                 { panic("todo") } // connections are refused, those there go on
func (n *node) neverUp(on bool)                { panic("todo") } // connections never come up, those there go on
func (n *node) resetAt(bytes int)              { panic("todo") } // each new connection is reset after it has read so many bytes; < 0: so many of its answer are written; 0: as ever
func (n *node) slowRead(on bool)               { panic("todo") } // requests are read so slowly that their last byte comes 1 s late
