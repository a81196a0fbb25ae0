package world

import "valvecove/internal/lab/edge"

// clients is all clients.
type clients struct{ w *World }

func newClients(w *World) *clients { return &clients{w: w} }

func (c *clients) begin()          { panic("todo") }
func (c *clients) did(o *edge.Out) { panic("todo") }
func (c *clients) over() bool      { panic("todo") }

// try is a client's query, as the world knows it.
type try struct {
	call  string
	job   uint64
	n     int // which of the job's tries
	class int
	key   string
	work  float64 // s on a standard core, before the noise of a run
	slots float64
}

// find finds a query by its id; nil: no client sent it. Queries are known for as long as an attempt of theirs may be
// anywhere.
func (c *clients) find(call string) *try { panic("todo") }

// front spreads clients' connections over the schedulers that it takes to be there.
type front struct{ w *World }

func newFront(w *World) *front { return &front{w: w} }

// changed is told that a scheduler became ready, unready, died or ended.
func (f *front) changed(s *sched) { panic("todo") }

// burst multiplies what a tenant (-1: all), and of a class (-1: all), asks for until undo.
func (c *clients) burst(tenant, class int, factor float64) (undo func()) { panic("todo") }

// storm has clients retry at once, factor times as often, and heed no Retry-After, until undo.
func (c *clients) storm(factor float64) (undo func()) { panic("todo") }

// ended: see farEnd; each client connection's far end is told of its loss.
