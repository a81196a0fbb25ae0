package yardstick

import "time"

// chooser picks a worker for a job, of those that may have it; nil: there is none.
type chooser interface {
	choose(j *job) *worker
	track(w *worker)
}

// atOnce is a policy that sends each job as soon as it comes, and holds only what no worker may have.
type atOnce struct {
	*base
	chooser
	held []*job // some may want none any more
}

func (p *atOnce) track(w *worker) { p.chooser.track(w) }
func (p *atOnce) over(*attempt)   {}

// wake is when the first of the held is past its aim.
func (p *atOnce) wake() (at time.Duration) {
	for _, j := range p.held {
		if j.held > 0 && (at == 0 || j.aim < at) {
			at = j.aim
		}
	}
	return at
}

func (p *atOnce) offer(j *job) {
	if w := p.choose(j); w != nil {
		p.send(j, w)
		return
	}
	p.held = append(p.held, j)
	j.held = len(p.held)
}

func (p *atOnce) drop(j *job) { j.held = 0 }

// settle offers again what is held, if there is news of workers, and ends what is past its aim.
func (p *atOnce) settle() {
	held := p.held
	p.held = p.held[:0]
	for _, j := range held {
		switch {
		case j.held == 0: // it wants none any more
		case !p.open(j):
			p.end(j)
		case p.listed:
			j.held = 0
			p.offer(j)
		default:
			p.held = append(p.held, j)
			j.held = len(p.held)
		}
	}
	clear(p.held[len(p.held):len(held)])
}

// draws is how often a worker is drawn before all are looked through.
const draws = 8

// drawn draws a worker that may have the job: one that has not had it if there is any, and a cold one less often.
func (b *base) drawn(j *job) *worker {
	n := len(b.ready)
	if n == 0 {
		return nil
	}
	for range draws {
		if w := b.ready[b.rng.IntN(n)]; b.may(j, w) && !j.had(w) && !b.passes(w) {
			return w
		}
	}
	return b.first(j, b.rng.IntN(n))
}

// first is the first worker from a place on that may have the job, if possible one that has not had it.
func (b *base) first(j *job, from int) (second *worker) {
	for i := range b.ready {
		w := b.ready[(from+i)%len(b.ready)]
		if !b.may(j, w) {
			continue
		}
		if !j.had(w) {
			return w
		}
		if second == nil {
			second = w
		}
	}
	return second
}

type random struct{ *base }

func (c random) choose(j *job) *worker { return c.drawn(j) }
func (c random) track(*worker)         {}

// roundRobin begins anywhere: many that all began with the same worker would go on side by side.
type roundRobin struct {
	*base
	next  int
	begun bool
}

func (c *roundRobin) track(*worker) {}

func (c *roundRobin) choose(j *job) *worker {
	if len(c.ready) > 0 && !c.begun {
		c.next, c.begun = c.rng.IntN(len(c.ready)), true
	}
	for range min(len(c.ready), draws) {
		c.next = (c.next + 1) % len(c.ready)
		if w := c.ready[c.next]; c.may(j, w) && !j.had(w) && !c.passes(w) {
			return w
		}
	}
	if len(c.ready) == 0 {
		return nil
	}
	w := c.first(j, (c.next+1)%len(c.ready))
	if w != nil {
		c.next = w.place - 1
	}
	return w
}

type twoChoices struct{ *base }

func (c twoChoices) track(*worker) {}

func (c twoChoices) choose(j *job) *worker {
	one, other := c.drawn(j), c.drawn(j)
	if one == nil || other.out >= one.out {
		return one
	}
	return other
}

// leastOutstanding keeps the ready workers by how many attempts are out at them.
type leastOutstanding struct {
	*base
	levels [][]*worker
}

// track moves a worker to its level.
func (c *leastOutstanding) track(w *worker) {
	if w.level > 0 {
		at := c.levels[w.level-1]
		last := at[len(at)-1]
		at[w.spot], last.spot = last, w.spot
		at[len(at)-1] = nil
		c.levels[w.level-1] = at[:len(at)-1]
		w.level = 0
	}
	if w.place == 0 {
		return
	}
	for len(c.levels) <= w.out {
		c.levels = append(c.levels, nil)
	}
	w.level, w.spot = w.out+1, len(c.levels[w.out])
	c.levels[w.out] = append(c.levels[w.out], w)
}

func (c *leastOutstanding) choose(j *job) *worker {
	for _, at := range c.levels {
		for range min(len(at), draws) {
			if w := at[c.rng.IntN(len(at))]; c.may(j, w) && !j.had(w) && !c.passes(w) {
				return w
			}
		}
	}
	if len(c.ready) == 0 {
		return nil
	}
	return c.first(j, c.rng.IntN(len(c.ready)))
}
