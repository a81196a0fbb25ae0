package simulation

import (
	"strconv"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/testbed/platform"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// This file holds a planner as a node of the simulation: its successive processes, and the inputs that reach them.

func plannerName(n int) string { return "p" + strconv.Itoa(n+1) }

// maxMessagesPerIteration bounds the inputs that a planner processes in one iteration.
const maxMessagesPerIteration = 16

// plannerNode is one planner over all of its processes. For the environment it is a simapi.Scheduler to which no client and no
// worker connects.
type plannerNode struct {
	number      int // the environment's number, after those of the schedulers
	name        string
	spec        *scenario.Scenario
	settings    config.Settings
	epoch       time.Duration
	model       Model
	options     *Options
	network     *controlNetwork
	now         time.Duration
	incarnation int
	process     *plannerProcess // nil: none runs
	frozen      bool
	delay       time.Duration // added to the time of everything that the planner does
	pending     []plannerInput
	lastTakenAt time.Duration // takenAt of the last pending input
	outputs     []simapi.Output
	counts      *ControlCounts
}

// plannerInput is an input of the environment, or a message of the network.
type plannerInput struct {
	controlMessage
	input simapi.InputMessage // nil: it is a message of the network
}

func newPlannerNode(spec *scenario.Scenario, n int, opt *Options, network *controlNetwork, counts *ControlCounts) (*plannerNode, error) {
	settings, err := platform.Settings(spec, 0)
	settings.Replicas, settings.ReplicaIndex, settings.Zone = 1, 0, spec.ZoneOf(n)
	return &plannerNode{
		number: n, name: plannerName(n - spec.Schedulers.Count), spec: spec, settings: settings, epoch: StartTime,
		model: opt.Model, options: opt, network: network, counts: counts,
	}, err
}

func (s *plannerNode) status() (incarnation int, runs, frozen bool) {
	return s.incarnation, s.process != nil, s.frozen
}

func (s *plannerNode) deliver(n controlMessage) {
	if s.process != nil {
		s.enqueue(plannerInput{controlMessage: n}, s.network.now)
	}
}

func (s *plannerNode) enqueue(n plannerInput, now time.Duration) {
	s.lastTakenAt = max(s.lastTakenAt, now+s.delay)
	n.takenAt = s.lastTakenAt
	s.pending = append(s.pending, n)
}

// Step runs one iteration of the process and appends its outputs to dst. now is the time since the start of the run.
func (s *plannerNode) Step(now time.Duration, ins []simapi.Input, dst []simapi.Output) []simapi.Output {
	s.now, s.outputs = max(now, s.now), dst
	for i := range ins {
		s.handleInput(ins[i].Message)
	}
	if s.process != nil && !s.frozen && s.process.runIteration() {
		s.emit(simapi.Exited{})
		s.endProcess()
	}
	dst, s.outputs = s.outputs, nil
	return dst
}

// Next returns the latest time of the next iteration. ok is false if no process runs or it is frozen.
func (s *plannerNode) Next() (at time.Duration, ok bool) {
	if s.process == nil || s.frozen {
		return 0, false
	}
	at = s.process.nextAt() - s.epoch
	if len(s.pending) > 0 {
		at = min(at, s.pending[0].takenAt)
	}
	return max(at, s.now), true
}

func (s *plannerNode) emit(message simapi.OutputMessage) {
	s.outputs = append(s.outputs, simapi.Output{Scheduler: s.number, Message: message})
}

func (s *plannerNode) handleInput(input simapi.InputMessage) {
	switch message := input.(type) {
	case simapi.Start:
		s.incarnation++
		s.frozen, s.lastTakenAt = false, s.now
		s.pending = s.pending[:0]
		s.process = newPlannerProcess(s, &message)
	case simapi.Kill:
		s.endProcess()
	case simapi.Freeze:
		s.frozen = s.process != nil
	case simapi.Resume:
		s.frozen = false
	case simapi.SlowDown:
		s.delay = message.Delay
	case simapi.BreakConnections:
		s.network.breakStreams(s.number)
	default:
		if s.process != nil {
			s.enqueue(plannerInput{input: input}, s.now)
		}
	}
}

func (s *plannerNode) endProcess() {
	if s.process != nil {
		s.counts.addPlanner(s.process.planner)
		s.process, s.frozen = nil, false
		s.network.processEnded(s.number)
	}
}
