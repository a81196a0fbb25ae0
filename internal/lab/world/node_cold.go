package world

import (
	"time"

	"valvecove/internal/lab/seen"
)

// cold is how a process warms up, and what has arrived at it meanwhile.
type cold struct {
	warm    bool
	done    float64 // work that the process has done, in seconds at speed 1
	arrived []pressure
	first   int // in arrived: the oldest that counts
	sum     float64
	known   float64 // part of sum that came from schedulers that knew of its start
}

type pressure struct {
	at   time.Duration
	work float64
	told bool
}

const (
	// It warms up in so many steps, each counting from its beginning as what it is at its end: never more slowly than
	// evenly, and its speed is constant between two.
	coldSteps = 64
	// One that warms up by work is warm once it has done what it could do in this part of its kind's Cold when warm, and
	// never later than one that warms up by time. Kept busy, that takes it less than half as long.
	warmWork = 0.25
	// What may arrive at a cold worker node beyond its budget, in mean jobs: a budget that chance breaks says nothing.
	fallSlack = 1.25
)

func (n *node) warmUp() { n.cold = cold{warm: n.kind.Cold <= 0 || n.kind.ColdFrom >= 1} }

// share is the share of its capacity that it has now.
func (n *node) share() float64 {
	c := &n.cold
	if c.warm {
		return 1
	}
	part := float64(n.step()+1) / coldSteps
	if n.kind.WarmBy == "work" {
		part = max(part, c.done/(n.size()*n.kind.Cold.D().Seconds()*warmWork))
	}
	if part >= 1 {
		*c = cold{warm: true, done: c.done}
		return 1
	}
	from := n.kind.ColdFrom
	return from + (1-from)*part
}

func (n *node) step() time.Duration { return (n.w.now - n.started) * coldSteps / n.kind.Cold.D() }

// nextStep is when a cold one gets faster by itself; not ok: it is warm.
func (n *node) nextStep() (at time.Duration, ok bool) {
	if n.cold.warm {
		return 0, false
	}
	return n.started + ((n.step()+1)*n.kind.Cold.D()+coldSteps-1)/coldSteps, true
}

// pressed counts the work of an attempt that has arrived, taken or not, if it is cold. Where within one span of
// Rules.Fall more than Rules.FallFactor times what it can do in that at its present capacity has come, and a little
// more, it falls over: its process dies, and none starts again. A fault that slows it takes nothing off its capacity.
func (n *node) pressed(a *attempt, work float64) (fell bool) {
	c, rules := &n.cold, &n.w.Spec.Rules
	share := n.share()
	if c.warm {
		return false
	}
	capacity, now := n.size()*share, n.w.now
	n.w.tell(seen.Sight{
		What: seen.Pushed, Call: a.call, Node: n.n, Sched: a.sched, Slots: a.slots,
		Work: work / a.slots, Share: capacity,
	})
	for c.first < len(c.arrived) && c.arrived[c.first].at <= now-rules.Fall.D() {
		old := c.arrived[c.first]
		if c.sum -= old.work; old.told {
			c.known -= old.work
		}
		c.first++
	}
	if c.first == len(c.arrived) {
		c.arrived, c.first, c.sum, c.known = c.arrived[:0], 0, 0, 0
	}
	c.arrived = append(c.arrived, pressure{now, work, a.told})
	if c.sum += work; a.told {
		c.known += work
	}
	if rules.FallFactor <= 0 || c.sum <= rules.FallFactor*capacity*rules.Fall.D().Seconds()+n.fleet.slack {
		return false
	}
	n.w.tell(seen.Sight{What: seen.Fell, Node: n.n, Share: max(0, c.known) / c.sum})
	n.w.tell(seen.Sight{What: seen.Died, Call: a.call, Node: n.n, Text: "fell"})
	n.end(nodeDead, "fell", 0)
	n.fallen = true
	return true
}
