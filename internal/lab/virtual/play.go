package virtual

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/control/planner"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
	"valvecove/internal/lab/world"
)

// Epoch is the Unix time at which every play starts: 2026-01-01.
const Epoch = 1767225600 * time.Second

// Linger is how long a play goes on once every job is settled: what worker nodes have been given shows by then.
const Linger = 2 * time.Second

// mostRounds is how often one instant may pass between world and schedulers. What needs more goes round in circles.
const mostRounds = 100_000

// Options are what a play is played with.
type Options struct {
	Model
	Wrap  func(s edge.Scheduler) edge.Scheduler // puts something before each scheduler; nil: nothing
	Watch []seen.Watcher                        // told what was seen, each in turn
	Until time.Duration                         // the play ends here at the latest; 0: at its length and settling time
	// Trace is told all that crossed the border, nil: nobody is; nothing of it may be kept.
	Trace  func(now time.Duration, ins []edge.In, outs []edge.Out)
	Digest bool // sum up all that crossed the border
	// Spoil is what a planner says instead of what it decided; nil: that. It may change the list that it is given.
	Spoil func(planner int, outs []planner.Action) []planner.Action
	// Plan puts something before a module of a planner; nil: nothing.
	Plan func(planner int, m planner.Policy) planner.Policy
}

// Outcome counts what a play came to.
type Outcome struct {
	End      time.Duration // when it ended
	Over     bool          // every job is settled
	Steps    uint64        // of the world
	Turns    uint64        // of schedulers
	Requests uint64        // queries that reached a scheduler
	Answers  uint64        // and answers that left one
	Attempts uint64        // sent to worker nodes
	Digest   uint64        // of all that crossed the border, if it was asked for
	Tiers    TierFigures   // where there are planners
}

// Play plays a checked scenario to its end. An error says that it could not be played.
func Play(spec *scenario.Scenario, seed uint64, opt Options) (*Outcome, error) {
	p := player{opt: &opt, got: &Outcome{}}
	shown := *spec
	shown.Bad = nil // see Unseen
	p.world = world.New(&shown, seed, Epoch, watchers(opt.Watch))
	if spec.Planners.Count > 0 {
		if opt.Module != nil {
			return nil, errors.New("where there are planners, the module is the one that is in service")
		}
		p.tiers = newTiers(spec, seed)
	}
	for n := range spec.Schedulers.Count {
		s, err := NewScheduler(spec, n, Epoch, opt.Model, p.world)
		if err != nil {
			return nil, err
		}
		if p.tiers != nil {
			s.tiers, s.figures, p.tiers.seats[n] = p.tiers, &p.got.Tiers, s
		}
		var side edge.Scheduler = s
		if opt.Wrap != nil {
			side = opt.Wrap(side)
		}
		p.sides = append(p.sides, side)
	}
	for n := range spec.Planners.Count {
		n += spec.Schedulers.Count
		s, err := newPlanSeat(spec, n, p.opt, p.tiers, &p.got.Tiers)
		if err != nil {
			return nil, err
		}
		p.tiers.seats[n], p.sides = s, append(p.sides, s)
	}
	p.next, p.ins = make([]time.Duration, len(p.sides)), make([][]edge.In, len(p.sides))
	for n := range p.next {
		p.next[n] = never
	}
	if opt.Digest {
		p.digest = xxhash.New()
	}
	end := spec.Length.D() + spec.Settle.D()
	if opt.Until > 0 {
		end = min(end, opt.Until)
	}
	p.least = never
	err := p.play(end)
	if p.tiers != nil {
		for _, s := range p.tiers.seats {
			s.end()
		}
	}
	if p.digest != nil {
		p.got.Digest = p.digest.Sum64()
	}
	return p.got, err
}

func watchers(all []seen.Watcher) seen.Watcher {
	switch len(all) {
	case 0:
		return nil
	case 1:
		return all[0]
	}
	return func(s *seen.Sight) {
		for _, w := range all {
			w(s)
		}
	}
}

const never = time.Duration(1<<63 - 1)

type player struct {
	opt    *Options
	got    *Outcome
	world  *world.World
	tiers  *tiers // nil: there are no planners
	sides  []edge.Scheduler
	next   []time.Duration // by scheduler: when it wants a turn
	least  time.Duration   // the first of these
	ins    [][]edge.In     // by scheduler, of this round
	met    []int           // schedulers that something has reached in this round
	passed []edge.In
	outs   []edge.Out
	digest *xxhash.Digest
	text   []byte
}

// play has the two sides take turns. What passes takes no time; at each instant it passes to and fro until nothing
// is left of it.
func (p *player) play(end time.Duration) error {
	now, rounds, over := time.Duration(0), 0, never
	for {
		at := p.earliest()
		if at > min(end, over) {
			p.got.End = min(end, over)
			return nil
		}
		if at > now {
			now, rounds = at, 0
		} else if rounds++; rounds > mostRounds {
			return fmt.Errorf("the play goes round in circles at %v", now)
		}
		p.round(now)
		if p.got.Over = p.world.Over(); !p.got.Over {
			over = never
		} else if over == never {
			over = now + Linger
		}
	}
}

// earliest is when something will happen next.
func (p *player) earliest() time.Duration {
	if len(p.outs) > 0 {
		return 0
	}
	first, ok := p.world.Next()
	if !ok {
		first = never
	}
	if p.tiers != nil {
		first = min(first, p.tiers.next())
	}
	return min(first, p.least)
}

// round is one turn of the world, and of each scheduler that something has reached or that is due.
func (p *player) round(now time.Duration) {
	p.passed = p.world.Step(now, p.outs, p.passed[:0])
	p.got.Steps++
	p.outs = p.outs[:0]
	p.met = p.met[:0]
	for i := range p.passed {
		in := &p.passed[i]
		if in.Kind == edge.Asked {
			p.got.Requests++
		}
		if len(p.ins[in.Sched]) == 0 {
			p.met = append(p.met, in.Sched)
		}
		p.ins[in.Sched] = append(p.ins[in.Sched], *in)
	}
	if p.tiers != nil {
		for _, n := range p.tiers.step(now) {
			if !slices.Contains(p.met, n) {
				p.met = append(p.met, n)
			}
		}
	}
	if p.least <= now {
		for n, at := range p.next {
			if at <= now && !slices.Contains(p.met, n) {
				p.met = append(p.met, n)
			}
		}
	}
	slices.Sort(p.met)
	for _, n := range p.met {
		p.turn(now, n)
	}
	p.least = never
	for _, at := range p.next {
		p.least = min(p.least, at)
	}
	for i := range p.outs {
		switch p.outs[i].Kind {
		case edge.Replied:
			p.got.Answers++
		case edge.Sent:
			p.got.Attempts++
		}
	}
	if p.opt.Trace != nil {
		p.opt.Trace(now, p.passed, p.outs)
	}
	if p.digest != nil {
		p.sum(now)
	}
}

// turn is a scheduler's.
func (p *player) turn(now time.Duration, n int) {
	p.got.Turns++
	p.outs = p.sides[n].Step(now, p.ins[n], p.outs)
	p.ins[n] = p.ins[n][:0]
	at, ok := p.sides[n].Next()
	if !ok {
		at = never
	}
	p.next[n] = at
}

// sum adds a round to the digest.
func (p *player) sum(now time.Duration) {
	b := p.text[:0]
	for i := range p.passed {
		b = AppendIn(b, now, &p.passed[i])
	}
	for i := range p.outs {
		b = AppendOut(b, now, &p.outs[i])
	}
	p.text = b
	_, _ = p.digest.Write(b) // never fails
}
