package world

import (
	"time"

	"valvecove/internal/lab/edge"
)

// sched is a scheduler's process, as the world deals with it.
type sched struct {
	w        *World
	n        int
	alive    bool
	ready    bool // /up has answered 200 since its start
	frozen   bool
	draining bool
	sprout   int // counts processes
}

func newScheds(w *World) []*sched { panic("todo") }

func (s *sched) begin()          { panic("todo") }
func (s *sched) did(o *edge.Out) { panic("todo") }

// What may be done to a scheduler. back is when after its end its process starts again; 0: never.

func (s *sched) kill(back time.Duration) { panic("todo") } // SIGKILL
func (s *sched) term(back time.Duration) { panic("todo") } // SIGTERM, new connections for a moment longer, SIGKILL as PROTOCOL says
func (s *sched) freeze(d time.Duration)  { panic("todo") } // SIGSTOP, and SIGCONT after d
func (s *sched) reload(disco int)        { panic("todo") } // its configuration names another discovery address; SIGHUP
