// Package virtual plays a scenario in virtual time: one world and its schedulers, taking turns on one goroutine and
// a clock of their own. A scheduler here is the ledger and a module as in the real program, round them a model of
// what internal/link does with connections and of what internal/run does on signals. The same scenario and seed are
// the same play, byte for byte, whatever the machine.
//
// What takes no time here takes little in a real process: parsing, writing, deciding. What this driver can't show
// (Unseen) is to be left out of its verdicts.
package virtual

import (
	"log/slog"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/platform"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/world"
	"valvecove/internal/lab/yardstick"
	"valvecove/internal/ledger"
	"valvecove/logic"
)

// Seer is the world as far as yardsticks may see it; *world.World is one.
type Seer interface {
	View(sched, place int) world.View
	Work(call string) (work, slots float64, ok bool)
}

// Model says what a scheduler runs.
type Model struct {
	// Module makes a module that knows nothing; nil: logic.New.
	Module func(set logic.Settings, seed uint64, o yardstick.Oracle) ledger.Module
	// Log is where scheduler n writes its lines; nil: nowhere.
	Log func(n int) *slog.Logger

	see Seer
}

func (m *Model) log(n int) *slog.Logger {
	if m.Log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return m.Log(n)
}

// Scheduler is one scheduler, over all of its processes: an edge.Scheduler.
type Scheduler struct {
	n       int
	spec    *scenario.Scenario
	set     config.Settings
	epoch   time.Duration
	model   Model
	now     time.Duration
	p       *process // nil: none runs
	frozen  bool
	waiting []edge.In // at the sockets of a frozen process, and its signals
	links   uint64    // opened so far, by all its processes
	out     []edge.Out
}

// NewScheduler returns scheduler n of a checked scenario, whose play starts at the Unix time epoch. see is what an
// Oracle answers by; nil: it knows nothing.
func NewScheduler(spec *scenario.Scenario, n int, epoch time.Duration, model Model, see Seer) (*Scheduler, error) {
	set, err := platform.Settings(spec, n)
	model.see = see
	return &Scheduler{n: n, spec: spec, set: set, epoch: epoch, model: model}, err
}

// Step is one turn of the process's loop.
func (s *Scheduler) Step(now time.Duration, ins []edge.In, dst []edge.Out) []edge.Out {
	s.now, s.out = max(now, s.now), dst
	if s.p != nil {
		s.p.now = s.epoch + s.now
	}
	for i := range ins {
		s.take(&ins[i])
	}
	if s.p != nil && !s.frozen && s.p.turn() {
		s.p = nil
	}
	dst, s.out = s.out, nil
	return dst
}

func (s *Scheduler) take(in *edge.In) {
	switch in.Kind {
	case edge.Start:
		s.p, s.frozen = newProcess(s, in.Boot), false
		clear(s.waiting)
		s.waiting = s.waiting[:0]
	case edge.Kill:
		s.p, s.frozen = nil, false
	case edge.Freeze:
		s.frozen = s.p != nil
	case edge.Resume:
		s.frozen = false
		waiting := s.waiting
		for i := range waiting {
			s.p.take(&waiting[i])
		}
		clear(waiting)
		s.waiting = waiting[:0]
	default:
		switch {
		case s.p == nil: // what reaches a process that is gone is lost
		case s.frozen:
			s.waiting = append(s.waiting, *in)
		default:
			s.p.take(in)
		}
	}
}

// Next tells when the process wants a turn at the latest.
func (s *Scheduler) Next() (at time.Duration, ok bool) {
	if s.p == nil || s.frozen {
		return 0, false
	}
	at, ok = s.p.next()
	return max(at-s.epoch, s.now), ok
}
