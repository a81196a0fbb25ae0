// Package virtual plays a scenario in virtual time: one world and its schedulers, taking turns on one goroutine and
// a clock of their own. A scheduler here is the ledger and a module as in the real program, round them a model of
// what internal/link does with connections and of what internal/server does on signals. The same scenario and seed are
// the same play, byte for byte, whatever the machine.
//
// Where a scenario has planners, schedulers are forwarders: their module is package follow, as in the real program, and
// planners are package planner's books, each with a module of its own. Between them lies a model of connections, which
// carry frames (package frame) in order and may be cut or break, and one of the gossip that package membership goes by.
//
// What takes no time here takes little in a real process: parsing, writing, deciding. What this driver can't show
// (Unseen) is to be left out of its verdicts.
package virtual

import (
	"log/slog"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/control/codec"
	"valvecove/internal/control/message"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/platform"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/world"
	"valvecove/internal/lab/yardstick"
	"valvecove/internal/requests"
)

// Seer is the world as far as yardsticks may see it; *world.World is one.
type Seer interface {
	View(sched, place int) world.View
	Work(call string) (work, slots float64, ok bool)
}

// Model says what a scheduler runs.
type Model struct {
	// Module makes a module that knows nothing; nil: logic.New.
	Module func(set dispatch.Settings, seed uint64, o yardstick.Oracle) requests.Policy
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

	// Where there are planners.
	tiers   *tiers // nil: there are none
	sprout  int    // counts processes
	news    []tierNews
	figures *TierFigures
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
		s.end()
	}
	dst, s.out = s.out, nil
	return dst
}

func (s *Scheduler) take(in *edge.In) {
	switch in.Kind {
	case edge.Start:
		s.sprout++
		s.p, s.frozen, s.news = newProcess(s, in.Boot), false, s.news[:0]
		clear(s.waiting)
		s.waiting = s.waiting[:0]
	case edge.Kill:
		s.end()
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

// end is that of its process.
func (s *Scheduler) end() {
	if s.p != nil && s.p.up != nil {
		s.figures.addForwarder(s.p.up)
		s.tiers.gone(s.n)
	}
	s.p, s.frozen = nil, false
}

func (s *Scheduler) alive() (sprout int, runs, frozen bool) { return s.sprout, s.p != nil, s.frozen }

// reach has something come from a planner, or by gossip.
func (s *Scheduler) reach(n tierNews) {
	if s.p != nil {
		s.news = append(s.news, n)
	}
}

// say writes a message. What can't be written is left out, as it would be in a real process.
func (s *Scheduler) say(w *codec.Writer, envelope message.Envelope) {
	if w.Add(envelope) != nil {
		s.figures.Unwritten++
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
