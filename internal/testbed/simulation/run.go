package simulation

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/control/planner"
	"valvecove/internal/testbed/environment"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// StartTime is the Unix time at which every run starts: 2026-01-01.
const StartTime = 1767225600 * time.Second

// LingerTime is how long a run continues after every job is settled, for workers to finish their attempts.
const LingerTime = 2 * time.Second

// maxRounds bounds the rounds of environment and schedulers at one instant. A run that needs more is in a loop.
const maxRounds = 100_000

// Options configure a run.
type Options struct {
	Model
	Wrap      func(s simapi.Scheduler) simapi.Scheduler // wraps each scheduler; may be nil
	Observers []trace.Observer                          // called with every event, in this order
	Until     time.Duration                             // latest end of the run; 0: its length and settling time
	// Trace is called with the inputs and outputs of each round, and must not retain them; may be nil.
	Trace  func(now time.Duration, ins []simapi.Input, outs []simapi.Output)
	Digest bool // compute the digest of all inputs and outputs
	// AlterPlanner replaces the actions of a planner, and may change the slice that it is given; may be nil.
	AlterPlanner func(planner int, outs []planner.Action) []planner.Action
	// WrapPlanner wraps each policy of a planner; may be nil.
	WrapPlanner func(planner int, m planner.Policy) planner.Policy
}

// Outcome is the result of a run.
type Outcome struct {
	End        time.Duration // when it ended
	Finished   bool          // every job is settled
	Steps      uint64        // of the environment
	Iterations uint64        // of schedulers
	Requests   uint64        // requests that reached a scheduler
	Responses  uint64        // responses that left one
	Attempts   uint64        // sent to workers
	Peers      PeerTraffic   // between schedulers
	Digest     uint64        // of all inputs and outputs, if Options.Digest is set
	Levels     LevelCounts   // if the scenario has planners
}

// PeerTraffic counts the datagrams of schedulers that reached a scheduler.
type PeerTraffic struct {
	Datagrams uint64
	Bytes     uint64
}

// Run runs a checked scenario to its end. An error means that the scenario could not be run, or loops.
func Run(spec *scenario.Scenario, seed uint64, opt Options) (*Outcome, error) {
	sim, err := newRunner(spec, seed, &opt)
	if err != nil {
		return nil, err
	}
	end := spec.Length.Std() + spec.Settle.Std()
	if opt.Until > 0 {
		end = min(end, opt.Until)
	}
	err = sim.run(end)
	if sim.levels != nil {
		for _, s := range sim.levels.seats {
			s.endProcess()
		}
	}
	if sim.digest != nil {
		sim.outcome.Digest = sim.digest.Sum64()
	}
	return sim.outcome, err
}

// newRunner makes the environment, the schedulers and the planners of a run.
func newRunner(spec *scenario.Scenario, seed uint64, opt *Options) (*runner, error) {
	sim := &runner{options: opt, outcome: &Outcome{}, earliestNext: never}
	shown := *spec
	shown.Misbehaving = nil // see Unsupported
	sim.environment = environment.New(&shown, seed, StartTime, combineObservers(opt.Observers))
	if spec.Planners.Count > 0 {
		if opt.Module != nil {
			return nil, errors.New("where there are planners, the dispatch policy is the one in service")
		}
		sim.levels = newLevelNetwork(spec, seed)
	}
	for n := range spec.Schedulers.Count {
		if err := sim.addScheduler(spec, n); err != nil {
			return nil, err
		}
	}
	for n := range spec.Planners.Count {
		if err := sim.addPlanner(spec, spec.Schedulers.Count+n); err != nil {
			return nil, err
		}
	}
	sim.inputs = make([][]simapi.Input, len(sim.schedulers))
	sim.nextAt = make([]time.Duration, len(sim.schedulers))
	for n := range sim.nextAt {
		sim.nextAt[n] = never
	}
	if opt.Digest {
		sim.digest = xxhash.New()
	}
	return sim, nil
}

func (p *runner) addScheduler(spec *scenario.Scenario, n int) error {
	s, err := NewScheduler(spec, n, StartTime, p.options.Model, p.environment)
	if err != nil {
		return err
	}
	if p.levels != nil {
		s.levels, s.counts, p.levels.seats[n] = p.levels, &p.outcome.Levels, s
	}
	var side simapi.Scheduler = s
	if p.options.Wrap != nil {
		side = p.options.Wrap(side)
	}
	p.schedulers = append(p.schedulers, side)
	return nil
}

// addPlanner adds the planner at a seat.
func (p *runner) addPlanner(spec *scenario.Scenario, seat int) error {
	node, err := newPlannerNode(spec, seat, p.options, p.levels, &p.outcome.Levels)
	if err != nil {
		return err
	}
	p.levels.seats[seat] = node
	p.schedulers = append(p.schedulers, node)
	return nil
}

func combineObservers(all []trace.Observer) trace.Observer {
	switch len(all) {
	case 0:
		return nil
	case 1:
		return all[0]
	}
	return func(s *trace.Event) {
		for _, w := range all {
			w(s)
		}
	}
}

// never is later than any time of a run.
const never = time.Duration(1<<63 - 1)

// runner steps the two sides of a run.
type runner struct {
	options      *Options
	outcome      *Outcome
	environment  *environment.Environment
	levels       *levelNetwork // nil: there are no planners
	schedulers   []simapi.Scheduler
	nextAt       []time.Duration  // by scheduler: when its next iteration is due
	earliestNext time.Duration    // the first of these
	inputs       [][]simapi.Input // by scheduler, of this round
	reached      []int            // schedulers to step in this round
	delivered    []simapi.Input
	outputs      []simapi.Output
	digest       *xxhash.Digest
	text         []byte
}

// run steps the environment and the schedulers in rounds. Passing inputs and outputs takes no simulated time: an instant
// has as many rounds as it takes until none are left.
func (p *runner) run(end time.Duration) error {
	now, rounds, ended := time.Duration(0), 0, never
	for {
		at := p.earliest()
		if at > min(end, ended) {
			p.outcome.End = min(end, ended)
			return nil
		}
		if at > now {
			now, rounds = at, 0
		} else if rounds++; rounds > maxRounds {
			return fmt.Errorf("the run goes round in circles at %v", now)
		}
		p.runRound(now)
		if p.outcome.Finished = p.environment.Finished(); !p.outcome.Finished {
			ended = never
		} else if ended == never {
			ended = now + LingerTime
		}
	}
}

// earliest returns the time of the next round.
func (p *runner) earliest() time.Duration {
	if len(p.outputs) > 0 {
		return 0
	}
	first, ok := p.environment.Next()
	if !ok {
		first = never
	}
	if p.levels != nil {
		first = min(first, p.levels.nextAt())
	}
	return min(first, p.earliestNext)
}

// runRound steps the environment, and each scheduler that has inputs or is due.
func (p *runner) runRound(now time.Duration) {
	p.delivered = p.environment.Step(now, p.outputs, p.delivered[:0])
	p.outcome.Steps++
	p.outputs = p.outputs[:0]
	p.reached = p.reached[:0]
	p.distributeInputs()
	p.markReached(now)
	slices.Sort(p.reached)
	for _, n := range p.reached {
		p.stepScheduler(now, n)
	}
	p.earliestNext = never
	for _, at := range p.nextAt {
		p.earliestNext = min(p.earliestNext, at)
	}
	p.countOutputs()
	if p.options.Trace != nil {
		p.options.Trace(now, p.delivered, p.outputs)
	}
	if p.digest != nil {
		p.addToDigest(now)
	}
}

// distributeInputs gives each scheduler its inputs of this round.
func (p *runner) distributeInputs() {
	for i := range p.delivered {
		input := &p.delivered[i]
		switch message := input.Message.(type) {
		case simapi.RequestReceived:
			p.outcome.Requests++
		case simapi.DatagramReceived:
			p.outcome.Peers.Datagrams++
			p.outcome.Peers.Bytes += uint64(len(message.Bytes))
		}
		if len(p.inputs[input.Scheduler]) == 0 {
			p.reached = append(p.reached, input.Scheduler)
		}
		p.inputs[input.Scheduler] = append(p.inputs[input.Scheduler], *input)
	}
}

// markReached adds the schedulers that a message between levels has reached, and those that are due.
func (p *runner) markReached(now time.Duration) {
	if p.levels != nil {
		for _, n := range p.levels.runDue(now) {
			p.markScheduler(n)
		}
	}
	if p.earliestNext > now {
		return
	}
	for n, at := range p.nextAt {
		if at <= now {
			p.markScheduler(n)
		}
	}
}

func (p *runner) markScheduler(n int) {
	if !slices.Contains(p.reached, n) {
		p.reached = append(p.reached, n)
	}
}

// countOutputs adds this round's outputs to the outcome.
func (p *runner) countOutputs() {
	for i := range p.outputs {
		switch p.outputs[i].Message.(type) {
		case simapi.ResponseWritten:
			p.outcome.Responses++
		case simapi.AttemptWritten:
			p.outcome.Attempts++
		}
	}
}

// stepScheduler runs one iteration of a scheduler.
func (p *runner) stepScheduler(now time.Duration, n int) {
	p.outcome.Iterations++
	p.outputs = p.schedulers[n].Step(now, p.inputs[n], p.outputs)
	p.inputs[n] = p.inputs[n][:0]
	at, ok := p.schedulers[n].Next()
	if !ok {
		at = never
	}
	p.nextAt[n] = at
}

// addToDigest adds a round to the digest.
func (p *runner) addToDigest(now time.Duration) {
	b := p.text[:0]
	for i := range p.delivered {
		b = AppendInput(b, now, &p.delivered[i])
	}
	for i := range p.outputs {
		b = AppendOutput(b, now, &p.outputs[i])
	}
	p.text = b
	_, _ = p.digest.Write(b) // never fails
}
