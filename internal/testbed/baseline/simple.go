package baseline

import "time"

// chooser picks a worker for a job, of those that may have it; nil: there is none.
type chooser interface {
	choose(j *job) *worker
	track(w *worker)
}

// immediate is a policy that sends each job as soon as it comes, and holds only what no worker may have.
type immediate struct {
	*base
	chooser
	queue []*job // some may want none any more
}

func (p *immediate) track(w *worker)       { p.chooser.track(w) }
func (p *immediate) attemptEnded(*attempt) {}

// wake is when the first of the held is past its objective.
func (p *immediate) wake() (at time.Duration) {
	for _, j := range p.queue {
		if j.heldIndex > 0 && (at == 0 || j.objective < at) {
			at = j.objective
		}
	}
	return at
}

func (p *immediate) offer(j *job) {
	if w := p.choose(j); w != nil {
		p.send(j, w)
		return
	}
	p.queue = append(p.queue, j)
	j.heldIndex = len(p.queue)
}

func (p *immediate) drop(j *job) { j.heldIndex = 0 }

// settle offers again what is held, if there is news of workers, and ends what is past its objective.
func (p *immediate) settle() {
	held := p.queue
	p.queue = p.queue[:0]
	for _, j := range held {
		switch {
		case j.heldIndex == 0: // it wants none any more
		case !p.hasRoom(j):
			p.failJob(j)
		case p.listed:
			j.heldIndex = 0
			p.offer(j)
		default:
			p.queue = append(p.queue, j)
			j.heldIndex = len(p.queue)
		}
	}
	clear(p.queue[len(p.queue):len(held)])
}

// maxDraws is how often a worker is drawn before all are looked through.
const maxDraws = 8

// drawWorker draws a worker that may have the job: one that has not had it if there is any, and a cold one less often.
func (b *base) drawWorker(j *job) *worker {
	n := len(b.ready)
	if n == 0 {
		return nil
	}
	for range maxDraws {
		if w := b.ready[b.rng.IntN(n)]; b.isAllowed(j, w) && !j.wasSentTo(w) && !b.isUsable(w) {
			return w
		}
	}
	return b.firstUsable(j, b.rng.IntN(n))
}

// firstUsable is the first worker from a place on that may have the job, if possible one that has not had it.
func (b *base) firstUsable(j *job, from int) (second *worker) {
	for i := range b.ready {
		w := b.ready[(from+i)%len(b.ready)]
		if !b.isAllowed(j, w) {
			continue
		}
		if !j.wasSentTo(w) {
			return w
		}
		if second == nil {
			second = w
		}
	}
	return second
}

type random struct{ *base }

func (c random) choose(j *job) *worker { return c.drawWorker(j) }
func (c random) track(*worker)         {}

// roundRobin begins anywhere: many that all began with the same worker would go on side by side.
type roundRobin struct {
	*base
	next    int
	started bool
}

func (c *roundRobin) track(*worker) {}

func (c *roundRobin) choose(job *job) *worker {
	if len(c.ready) > 0 && !c.started {
		c.next, c.started = c.rng.IntN(len(c.ready)), true
	}
	for range min(len(c.ready), maxDraws) {
		c.next = (c.next + 1) % len(c.ready)
		if w := c.ready[c.next]; c.isAllowed(job, w) && !job.wasSentTo(w) && !c.isUsable(w) {
			return w
		}
	}
	if len(c.ready) == 0 {
		return nil
	}
	w := c.firstUsable(job, (c.next+1)%len(c.ready))
	if w != nil {
		c.next = w.readyIndex - 1
	}
	return w
}

type twoChoices struct{ *base }

func (c twoChoices) track(*worker) {}

func (c twoChoices) choose(j *job) *worker {
	one, other := c.drawWorker(j), c.drawWorker(j)
	if one == nil || other.inFlight >= one.inFlight {
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
func (c *leastOutstanding) track(worker *worker) {
	if worker.level > 0 {
		at := c.levels[worker.level-1]
		last := at[len(at)-1]
		at[worker.levelIndex], last.levelIndex = last, worker.levelIndex
		at[len(at)-1] = nil
		c.levels[worker.level-1] = at[:len(at)-1]
		worker.level = 0
	}
	if worker.readyIndex == 0 {
		return
	}
	for len(c.levels) <= worker.inFlight {
		c.levels = append(c.levels, nil)
	}
	worker.level, worker.levelIndex = worker.inFlight+1, len(c.levels[worker.inFlight])
	c.levels[worker.inFlight] = append(c.levels[worker.inFlight], worker)
}

func (c *leastOutstanding) choose(job *job) *worker {
	for _, at := range c.levels {
		for range min(len(at), maxDraws) {
			if w := at[c.rng.IntN(len(at))]; c.isAllowed(job, w) && !job.wasSentTo(w) && !c.isUsable(w) {
				return w
			}
		}
	}
	if len(c.ready) == 0 {
		return nil
	}
	return c.firstUsable(job, c.rng.IntN(len(c.ready)))
}
