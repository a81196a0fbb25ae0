// Package simulation runs a scenario in simulated time. It owns the clock, and steps one environment and its schedulers in
// turn on one goroutine. A simulated scheduler consists of the request table and the policy of the real program, and of
// models of its connections (internal/client, internal/worker) and of its reaction to signals (internal/server). A scenario
// and a seed determine a run byte for byte, on any machine.
//
// If a scenario has planners, its schedulers are forwarders: their policy is package forwarder, and each planner runs
// package planner with a dispatch policy of its own, as in the real programs. They are connected by a model of streams,
// which carry the frames of package codec in order and may be cut or broken, and by a model of gossip, which supplies
// package membership with events.
//
// Parsing, writing and deciding take no simulated time; in a real process they take little. The package opens no socket,
// starts no process and reads no wall clock. Unsupported lists what it does not simulate of a scenario; verdicts don't cover
// that.
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

// StateSource gives baseline policies the true state of workers and requests. *environment.Environment implements it.
type StateSource interface {
	View(scheduler, worker int) environment.View
	Work(requestID string) (work, slots float64, ok bool)
}

// Model selects the policy and the log of each scheduler.
type Model struct {
	// NewPolicy returns a new policy without any state; nil: dispatch.New.
	NewPolicy func(settings dispatch.Settings, seed uint64, oracle baseline.Oracle) requests.Policy
	// Log returns the logger of scheduler n; nil: nothing is logged.
	Log func(n int) *slog.Logger

	source StateSource
}

func (m *Model) logger(n int) *slog.Logger {
	if m.Log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return m.Log(n)
}

// Scheduler is one simulated scheduler over all of its processes. It implements simapi.Scheduler.
type Scheduler struct {
	number        int
	spec          *scenario.Scenario
	settings      config.Settings
	epoch         time.Duration
	model         Model
	now           time.Duration
	process       *process // nil: none runs
	frozen        bool
	pendingInputs []simapi.InputMessage // inputs and signals that arrived while the process was frozen
	connCount     uint64                // connections to workers that all of its processes have opened
	outputs       []simapi.Output

	// The fields below are used if there are planners.
	network         *controlNetwork // nil: there are none
	incarnation     int             // counts processes
	pendingMessages []controlMessage
	counts          *ControlCounts
}

// NewScheduler returns scheduler n of a checked scenario whose run starts at the Unix time epoch. The oracle of baseline
// policies reads from source. If source is nil, the oracle has no information.
func NewScheduler(spec *scenario.Scenario, n int, epoch time.Duration, model Model, source StateSource) (*Scheduler, error) {
	settings, err := platform.Settings(spec, n)
	model.source = source
	return &Scheduler{number: n, spec: spec, settings: settings, epoch: epoch, model: model}, err
}

// Step runs one iteration of the process and appends its outputs to dst. now is the time since the start of the run.
func (s *Scheduler) Step(now time.Duration, ins []simapi.Input, dst []simapi.Output) []simapi.Output {
	s.now, s.outputs = max(now, s.now), dst
	if s.process != nil {
		s.process.now = s.epoch + s.now
	}
	for i := range ins {
		s.handleInput(ins[i].Message)
	}
	if s.process != nil && !s.frozen && s.process.runIteration() {
		s.endProcess()
	}
	dst, s.outputs = s.outputs, nil
	return dst
}

func (s *Scheduler) handleInput(input simapi.InputMessage) {
	switch message := input.(type) {
	case simapi.Start:
		s.incarnation++
		s.process, s.frozen, s.pendingMessages = newProcess(s, &message), false, s.pendingMessages[:0]
		clear(s.pendingInputs)
		s.pendingInputs = s.pendingInputs[:0]
	case simapi.Kill:
		s.endProcess()
	case simapi.Freeze:
		s.frozen = s.process != nil
	case simapi.Resume:
		s.frozen = false
		waiting := s.pendingInputs
		for _, input := range waiting {
			s.process.handleInput(input)
		}
		clear(waiting)
		s.pendingInputs = waiting[:0]
	default:
		switch {
		case s.process == nil: // inputs of a process that has ended are lost
		case s.frozen:
			_, isDatagram := input.(simapi.DatagramReceived)
			if isDatagram && countDatagrams(s.pendingInputs) >= maxWaitingDatagrams {
				return
			}
			s.pendingInputs = append(s.pendingInputs, input)
		default:
			s.process.handleInput(input)
		}
	}
}

// endProcess ends the process, if one runs.
func (s *Scheduler) endProcess() {
	if s.process != nil && s.process.forwarder != nil {
		s.counts.addForwarder(s.process.forwarder)
		s.network.processEnded(s.number)
	}
	s.process, s.frozen = nil, false
}

func (s *Scheduler) status() (incarnation int, runs, frozen bool) {
	return s.incarnation, s.process != nil, s.frozen
}

// deliver queues a message of a planner or of gossip for the next iteration.
func (s *Scheduler) deliver(n controlMessage) {
	if s.process != nil {
		s.pendingMessages = append(s.pendingMessages, n)
	}
}

// send encodes a message. A message that cannot be encoded is counted and dropped, as in a real process.
func (s *Scheduler) send(w *codec.Writer, envelope message.Envelope) {
	if w.Add(envelope) != nil {
		s.counts.EncodingFailures++
	}
}

// Next returns the latest time of the next iteration. ok is false if no process runs or it is frozen.
func (s *Scheduler) Next() (at time.Duration, ok bool) {
	if s.process == nil || s.frozen {
		return 0, false
	}
	at, ok = s.process.nextAt()
	return max(at-s.epoch, s.now), ok
}
