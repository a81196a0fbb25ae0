package baseline

import "time"

// chooser selects a worker for a job from those that the rules allow, or nil if there is none. Its track is called as that of
// a policy.
type chooser interface {
	choose(j *job) *worker
	track(w *worker)
}

// immediate is a policy that sends each job as soon as it arrives. It queues only jobs that the rules allow at no worker.
type immediate struct {
	*base
	chooser
	queue []*job // may hold dropped jobs, whose queueIndex is 0
}

func (i *immediate) track(worker *worker)  { i.chooser.track(worker) }
func (i *immediate) attemptEnded(*attempt) {}

// wake returns the earliest objective of all queued jobs.
func (i *immediate) wake() (at time.Duration) {
	for _, job := range i.queue {
		if job.queueIndex > 0 && (at == 0 || job.objective < at) {
			at = job.objective
		}
	}
	return at
}

func (i *immediate) offer(job *job) {
	if target := i.choose(job); target != nil {
		i.send(job, target)
		return
	}
	i.queue = append(i.queue, job)
	job.queueIndex = len(i.queue)
}

func (i *immediate) drop(job *job) { job.queueIndex = 0 }

// settle offers the queued jobs again if the worker list was updated, and fails those whose objective has passed.
func (i *immediate) settle() {
	queued := i.queue
	i.queue = i.queue[:0]
	for _, job := range queued {
		switch {
		case job.queueIndex == 0: // dropped
		case !i.allowsAttempt(job):
			i.failJob(job)
		case i.listUpdated:
			job.queueIndex = 0
			i.offer(job)
		default:
			i.queue = append(i.queue, job)
			job.queueIndex = len(i.queue)
		}
	}
	clear(i.queue[len(i.queue):len(queued)])
}

// maxDraws is how many workers a choice tries before it searches all of them.
const maxDraws = 8

// drawWorker returns a random worker that the rules allow for a job, if possible one to which the job was not sent before. A
// worker that is warming up is drawn less often.
func (b *base) drawWorker(job *job) *worker {
	count := len(b.ready)
	if count == 0 {
		return nil
	}
	for range maxDraws {
		if drawn := b.ready[b.rng.IntN(count)]; b.isAllowed(job, drawn) && !job.wasSentTo(drawn) && !b.skipsWarmingUp(drawn) {
			return drawn
		}
	}
	return b.firstUsable(job, b.rng.IntN(count))
}

// firstUsable returns the first ready worker, from an index on, that the rules allow for a job, if possible one to which the
// job was not sent before. It returns nil if there is none.
func (b *base) firstUsable(job *job, from int) (fallback *worker) {
	for i := range b.ready {
		candidate := b.ready[(from+i)%len(b.ready)]
		if !b.isAllowed(job, candidate) {
			continue
		}
		if !job.wasSentTo(candidate) {
			return candidate
		}
		if fallback == nil {
			fallback = candidate
		}
	}
	return fallback
}

// random selects any worker with equal probability.
type random struct{ *base }

func (r random) choose(job *job) *worker { return r.drawWorker(job) }
func (r random) track(*worker)           {}

// roundRobin selects the workers in turn, beginning with a random one: schedulers that all begin with the same worker would
// keep sending to the same worker at the same time.
type roundRobin struct {
	*base
	next    int // index in base.ready of the worker that was selected last
	started bool
}

func (r *roundRobin) track(*worker) {}

func (r *roundRobin) choose(job *job) *worker {
	if len(r.ready) > 0 && !r.started {
		r.next = r.rng.IntN(len(r.ready))
		r.started = true
	}
	for range min(len(r.ready), maxDraws) {
		r.next = (r.next + 1) % len(r.ready)
		if candidate := r.ready[r.next]; r.isAllowed(job, candidate) && !job.wasSentTo(candidate) && !r.skipsWarmingUp(candidate) {
			return candidate
		}
	}
	if len(r.ready) == 0 {
		return nil
	}
	candidate := r.firstUsable(job, (r.next+1)%len(r.ready))
	if candidate != nil {
		r.next = candidate.readyIndex - 1
	}
	return candidate
}

// twoChoices draws two random workers and selects the one with fewer attempts in flight.
type twoChoices struct{ *base }

func (t twoChoices) track(*worker) {}

func (t twoChoices) choose(job *job) *worker {
	first := t.drawWorker(job)
	second := t.drawWorker(job)
	if first == nil || second.inFlight >= first.inFlight {
		return first
	}
	return second
}

// leastOutstanding selects a worker with the fewest attempts in flight.
type leastOutstanding struct {
	*base
	levels [][]*worker // the ready workers, by attempts in flight
}

// track moves a worker to the level of its attempts in flight, or to none if it is not ready.
func (l *leastOutstanding) track(worker *worker) {
	if worker.level > 0 {
		level := l.levels[worker.level-1]
		last := level[len(level)-1]
		level[worker.levelIndex] = last
		last.levelIndex = worker.levelIndex
		level[len(level)-1] = nil
		l.levels[worker.level-1] = level[:len(level)-1]
		worker.level = 0
	}
	if worker.readyIndex == 0 {
		return
	}
	for len(l.levels) <= worker.inFlight {
		l.levels = append(l.levels, nil)
	}
	worker.level = worker.inFlight + 1
	worker.levelIndex = len(l.levels[worker.inFlight])
	l.levels[worker.inFlight] = append(l.levels[worker.inFlight], worker)
}

func (l *leastOutstanding) choose(job *job) *worker {
	for _, level := range l.levels {
		for range min(len(level), maxDraws) {
			candidate := level[l.rng.IntN(len(level))]
			if l.isAllowed(job, candidate) && !job.wasSentTo(candidate) && !l.skipsWarmingUp(candidate) {
				return candidate
			}
		}
	}
	if len(l.ready) == 0 {
		return nil
	}
	return l.firstUsable(job, l.rng.IntN(len(l.ready)))
}
