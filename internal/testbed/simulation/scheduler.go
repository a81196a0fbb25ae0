// Package simulation plays a scenario in simulated time: one environment and its schedulers, taking turns on one goroutine and
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
package simulation

import (
	"log/slog"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/control/codec"
	"valvecove/internal/control/message"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/baseline"
	"valvecove/internal/testbed/environment"
	"valvecove/internal/testbed/platform"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// StateSource is the environment as far as baseline policies may see it; *environment.Environment is one.
type StateSource interface {
	View(sched, place int) environment.View
	Work(call string) (work, slots float64, ok bool)
}

// Model says what a scheduler runs.
type Model struct {
	// Module makes a module that knows nothing; nil: dispatch.New.
	Module func(set dispatch.Settings, seed uint64, o baseline.Oracle) requests.Policy
	// Log is where scheduler n writes its lines; nil: nowhere.
	Log func(n int) *slog.Logger

	source StateSource
}

func (m *Model) logger(n int) *slog.Logger {
	if m.Log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return m.Log(n)
}

// Scheduler is one scheduler, over all of its processes: an edge.Scheduler.
type Scheduler struct {
	number        int
	spec          *scenario.Scenario
	settings      config.Settings
	epoch         time.Duration
	model         Model
	now           time.Duration
	process       *process // nil: none runs
	frozen        bool
	pendingInputs []simapi.Input // at the sockets of a frozen process, and its signals
	connCount     uint64         // opened so far, by all its processes
	outputs       []simapi.Output

	// Where there are planners.
	levels          *levelNetwork // nil: there are none
	incarnation     int           // counts processes
	pendingMessages []levelMessage
	counts          *LevelCounts
}

// NewScheduler returns scheduler n of a checked scenario, whose play starts at the Unix time epoch. see is what an
// Oracle answers by; nil: it knows nothing.
func NewScheduler(spec *scenario.Scenario, n int, epoch time.Duration, model Model, see StateSource) (*Scheduler, error) {
	set, err := platform.Settings(spec, n)
	model.source = see
	return &Scheduler{number: n, spec: spec, settings: set, epoch: epoch, model: model}, err
}

// Step is one turn of the process's loop.
func (s *Scheduler) Step(now time.Duration, ins []simapi.Input, dst []simapi.Output) []simapi.Output {
	s.now, s.outputs = max(now, s.now), dst
	if s.process != nil {
		s.process.now = s.epoch + s.now
	}
	for i := range ins {
		s.handleInput(&ins[i])
	}
	if s.process != nil && !s.frozen && s.process.runIteration() {
		s.endProcess()
	}
	dst, s.outputs = s.outputs, nil
	return dst
}

func (s *Scheduler) handleInput(input *simapi.Input) {
	switch input.Kind {
	case simapi.Start:
		s.incarnation++
		s.process, s.frozen, s.pendingMessages = newProcess(s, input.Start), false, s.pendingMessages[:0]
		clear(s.pendingInputs)
		s.pendingInputs = s.pendingInputs[:0]
	case simapi.Kill:
		s.endProcess()
	case simapi.Freeze:
		s.frozen = s.process != nil
	case simapi.Resume:
		s.frozen = false
		waiting := s.pendingInputs
		for i := range waiting {
			s.process.handleInput(&waiting[i])
		}
		clear(waiting)
		s.pendingInputs = waiting[:0]
	default:
		switch {
		case s.process == nil: // what reaches a process that is gone is lost
		case s.frozen:
			s.pendingInputs = append(s.pendingInputs, *input)
		default:
			s.process.handleInput(input)
		}
	}
}

// endProcess is that of its process.
func (s *Scheduler) endProcess() {
	if s.process != nil && s.process.forwarder != nil {
		s.counts.addForwarder(s.process.forwarder)
		s.levels.processEnded(s.number)
	}
	s.process, s.frozen = nil, false
}

func (s *Scheduler) status() (sprout int, runs, frozen bool) {
	return s.incarnation, s.process != nil, s.frozen
}

// deliver has something come from a planner, or by gossip.
func (s *Scheduler) deliver(n levelMessage) {
	if s.process != nil {
		s.pendingMessages = append(s.pendingMessages, n)
	}
}

// send writes a message. What can't be written is left out, as it would be in a real process.
func (s *Scheduler) send(w *codec.Writer, envelope message.Envelope) {
	if w.Add(envelope) != nil {
		s.counts.Unwritten++
	}
}

// Next tells when the process wants a turn at the latest.
func (s *Scheduler) Next() (at time.Duration, ok bool) {
	if s.process == nil || s.frozen {
		return 0, false
	}
	at, ok = s.process.nextAt()
	return max(at-s.epoch, s.now), ok
}
