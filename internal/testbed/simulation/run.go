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

// maxRounds bounds the rounds of environment and schedulers at one instant. A run that needs more never advances.
const maxRounds = 100_000

// Options configure a run.
type Options struct {
	Model
	Wrap      func(s simapi.Scheduler) simapi.Scheduler // wraps each scheduler; may be nil
	Observers []trace.Observer                          // called with every event, in this order
	Until     time.Duration                             // latest end of the run; 0: the scenario's length and settling time
	// Trace is called with the inputs and outputs of each round, which it must not retain; may be nil.
	Trace  func(now time.Duration, ins []simapi.Input, outs []simapi.Output)
	Digest bool // whether to compute the digest of all inputs and outputs
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
	Responses  uint64        // responses that schedulers wrote
	Attempts   uint64        // sent to workers
	Peers      PeerTraffic   // between schedulers
	Digest     uint64        // of all inputs and outputs, if Options.Digest is set
	Control    ControlCounts // if the scenario has planners
}

// PeerTraffic counts the datagrams of schedulers that reached a scheduler.
type PeerTraffic struct {
	Datagrams uint64
	Bytes     uint64
}

// Run runs a checked scenario to its end. An error means that the scenario cannot be run, or that the run never ends.
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
	if sim.network != nil {
		for _, s := range sim.network.nodes {
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
	supported := *spec
	supported.Misbehaving = nil // see Unsupported
	sim.environment = environment.New(&supported, seed, StartTime, combineObservers(opt.Observers))
	if spec.Planners.Count > 0 {
		if opt.NewPolicy != nil {
			return nil, errors.New("a scenario with planners runs only with the dispatch policy of the real program")
		}
		sim.network = newControlNetwork(spec, seed)
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

func (r *runner) addScheduler(spec *scenario.Scenario, n int) error {
	s, err := NewScheduler(spec, n, StartTime, r.options.Model, r.environment)
	if err != nil {
		return err
	}
	if r.network != nil {
		s.network, s.counts, r.network.nodes[n] = r.network, &r.outcome.Control, s
	}
	var wrapped simapi.Scheduler = s
	if r.options.Wrap != nil {
		wrapped = r.options.Wrap(wrapped)
	}
	r.schedulers = append(r.schedulers, wrapped)
	return nil
}

// addPlanner adds the planner with a number in the control network.
func (r *runner) addPlanner(spec *scenario.Scenario, nodeIndex int) error {
	node, err := newPlannerNode(spec, nodeIndex, r.options, r.network, &r.outcome.Control)
	if err != nil {
		return err
	}
	r.network.nodes[nodeIndex] = node
	r.schedulers = append(r.schedulers, node)
	return nil
}

func combineObservers(all []trace.Observer) trace.Observer {
	switch len(all) {
	case 0:
		return nil
	case 1:
		return all[0]
	}
	return func(event *trace.Event) {
		for _, observe := range all {
			observe(event)
		}
	}
}

// never is later than any time of a run.
const never = time.Duration(1<<63 - 1)

// runner steps the environment and the schedulers of a run.
type runner struct {
	options      *Options
	outcome      *Outcome
	environment  *environment.Environment
	network      *controlNetwork // nil: there are no planners
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

// run steps the environment and the schedulers in rounds. Passing inputs and outputs takes no simulated time: rounds repeat at
// one instant until no input or output is left.
func (r *runner) run(end time.Duration) error {
	now, rounds, ended := time.Duration(0), 0, never
	for {
		at := r.earliest()
		if at > min(end, ended) {
			r.outcome.End = min(end, ended)
			return nil
		}
		if at > now {
			now, rounds = at, 0
		} else if rounds++; rounds > maxRounds {
			return fmt.Errorf("the run is in a loop at %v", now)
		}
		r.runRound(now)
		if r.outcome.Finished = r.environment.Finished(); !r.outcome.Finished {
			ended = never
		} else if ended == never {
			ended = now + LingerTime
		}
	}
}

// earliest returns the time of the next round.
func (r *runner) earliest() time.Duration {
	if len(r.outputs) > 0 {
		return 0
	}
	first, ok := r.environment.Next()
	if !ok {
		first = never
	}
	if r.network != nil {
		first = min(first, r.network.nextAt())
	}
	return min(first, r.earliestNext)
}

// runRound steps the environment, and each scheduler that has inputs or is due.
func (r *runner) runRound(now time.Duration) {
	r.delivered = r.environment.Step(now, r.outputs, r.delivered[:0])
	r.outcome.Steps++
	r.outputs = r.outputs[:0]
	r.reached = r.reached[:0]
	r.distributeInputs()
	r.markReached(now)
	slices.Sort(r.reached)
	for _, n := range r.reached {
		r.stepScheduler(now, n)
	}
	r.earliestNext = never
	for _, at := range r.nextAt {
		r.earliestNext = min(r.earliestNext, at)
	}
	r.countOutputs()
	if r.options.Trace != nil {
		r.options.Trace(now, r.delivered, r.outputs)
	}
	if r.digest != nil {
		r.addToDigest(now)
	}
}

// distributeInputs distributes the inputs of this round among the schedulers.
func (r *runner) distributeInputs() {
	for i := range r.delivered {
		input := &r.delivered[i]
		switch message := input.Message.(type) {
		case simapi.RequestReceived:
			r.outcome.Requests++
		case simapi.DatagramReceived:
			r.outcome.Peers.Datagrams++
			r.outcome.Peers.Bytes += uint64(len(message.Bytes))
		}
		if len(r.inputs[input.Scheduler]) == 0 {
			r.reached = append(r.reached, input.Scheduler)
		}
		r.inputs[input.Scheduler] = append(r.inputs[input.Scheduler], *input)
	}
}

// markReached adds the schedulers and planners that a message between them has reached, and those that are due.
func (r *runner) markReached(now time.Duration) {
	if r.network != nil {
		for _, n := range r.network.runDue(now) {
			r.markScheduler(n)
		}
	}
	if r.earliestNext > now {
		return
	}
	for n, at := range r.nextAt {
		if at <= now {
			r.markScheduler(n)
		}
	}
}

func (r *runner) markScheduler(n int) {
	if !slices.Contains(r.reached, n) {
		r.reached = append(r.reached, n)
	}
}

// countOutputs adds this round's outputs to the outcome.
func (r *runner) countOutputs() {
	for i := range r.outputs {
		switch r.outputs[i].Message.(type) {
		case simapi.ResponseWritten:
			r.outcome.Responses++
		case simapi.AttemptWritten:
			r.outcome.Attempts++
		}
	}
}

// stepScheduler runs one iteration of a scheduler.
func (r *runner) stepScheduler(now time.Duration, n int) {
	r.outcome.Iterations++
	r.outputs = r.schedulers[n].Step(now, r.inputs[n], r.outputs)
	r.inputs[n] = r.inputs[n][:0]
	at, ok := r.schedulers[n].Next()
	if !ok {
		at = never
	}
	r.nextAt[n] = at
}

// addToDigest adds a round to the digest.
func (r *runner) addToDigest(now time.Duration) {
	b := r.text[:0]
	for i := range r.delivered {
		b = AppendInput(b, now, &r.delivered[i])
	}
	for i := range r.outputs {
		b = AppendOutput(b, now, &r.outputs[i])
	}
	r.text = b
	_, _ = r.digest.Write(b) // never fails
}
