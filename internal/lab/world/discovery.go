package world

import (
	"time"

	"valvecove/internal/lab/edge"
)

// discovery is the list of worker nodes.
type discovery struct{ w *World }

func newDiscovery(w *World) *discovery { return &discovery{w: w} }

func (d *discovery) begin()          { panic("todo") }
func (d *discovery) did(o *edge.Out) { panic("todo") }

// What a worker node does that discovery comes to know of.
type lifeEvent uint8

const (
	lifeUp     lifeEvent = iota // a process has started
	lifeDown                    // its process has ended: the machine says so
	lifeSilent                  // it can't be reached, and nobody says so
	lifeDrain                   // it began to drain
	lifeGone                    // it is removed
)

// saw is told by a worker node of a turn in its life, when that happens.
func (d *discovery) saw(n *node, what lifeEvent) { panic("todo") }

// What may be done to discovery, until undo.

func (d *discovery) down() (undo func())                 { panic("todo") } // it answers nothing, watches end
func (d *discovery) late(by time.Duration) (undo func()) { panic("todo") } // it comes to know of everything so much later
func (d *discovery) wrong(nodes []int) (undo func())     { panic("todo") } // it lists these as up though they are down, draining or silent
func (d *discovery) old() (undo func())                  { panic("todo") } // it answers with the list and generation of this moment, whatever happens after
func (d *discovery) slow(factor float64) (undo func())   { panic("todo") } // its capacity is divided by this
func (d *discovery) move() (index int)                   { panic("todo") } // it answers at another address from now on; the old one ends its watches 1.5 s later
