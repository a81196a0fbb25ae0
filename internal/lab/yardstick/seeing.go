package yardstick

import (
	"math"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
	"valvecove/internal/lab/world"
)

const (
	lookEvery   = 2 * time.Millisecond  // while a job is held: other schedulers' jobs end too
	lookPerNode = time.Microsecond      // longer in a large fleet, as each look goes through it
	rescueEvery = 50 * time.Millisecond // a look at worker nodes that have stopped answering
	flightMost  = 250 * time.Millisecond
	chunk       = 24   // worker nodes with room that are enough to choose from
	asideMost   = 32   // jobs that fit nowhere which one look goes past
	margin      = 1.15 // of a run's time, for its noise
	faulty      = 0.2  // share of attempts that end with an error at a worker node that is left alone
	spared      = 0.7  // part of what pushes a cold worker node over
)

// seeing is the policy that sees the true state of all worker nodes, and the true work of each job. It has no queue
// at any worker node: what can't start now is held, and the one whose start can wait least is sent first. (Shortest
// first earns less by up to 0.06 where more is asked for than can be done: worth is counted by work.)
type seeing struct {
	*base
	see    Oracle
	flight *inFlight
	held   []*job        // a heap, the shortest first
	pool   []*worker     // that have been found to have room, in this look
	looked int           // how many of the ready have been looked at
	from   int           // and where that began
	full   time.Duration // until then nothing but what is told of our own jobs is worth a look
	aside  []*job        // that fit nowhere, in this look
	fresh  []*job        // that came in this step
	latest deadline.Queue[*latest]
	freed  []*worker // where one of ours has ended since
	looks  uint64
	best   float64 // the greatest speed of a core that was seen
	kept   *worker // takes nothing but keptFor, a large job
	keptBy *job
	rescue time.Duration // when that is due
}

// inFlight is what all schedulers of a play share: what they have sent and no worker node has begun, as its truth does
// not show that yet, and what tenants have asked of them together.
type inFlight struct {
	nodes   []nodeFlight
	quota   []float64 // by tenant: jobs that are within its share still
	metered time.Duration
}

// quotaSpan is how much of its share a tenant may save up.
const quotaSpan = 2.0 // seconds

// over meters a tenant's jobs: whether one that has come now is beyond its share.
func (f *inFlight) over(b *base, j *job) bool {
	quotas := b.set.TenantQuota
	if j.Tenant < 0 || j.Tenant >= len(quotas) || quotas[j.Tenant] <= 0 {
		return false
	}
	for len(f.quota) < len(quotas) {
		f.quota = append(f.quota, quotaSpan*quotas[len(f.quota)])
	}
	for i, q := range quotas {
		f.quota[i] = min(f.quota[i]+q*(b.now-f.metered).Seconds(), quotaSpan*q)
	}
	f.metered = b.now
	if f.quota[j.Tenant] < 1 {
		return true
	}
	f.quota[j.Tenant]--
	return false
}

type nodeFlight struct {
	slots float64
	since time.Duration // when the last was sent
	spent []spend       // while it is cold
}

type spend struct {
	at   time.Duration
	work float64
}

// view is what is kept of a worker between looks.
type view struct {
	node int    // -1: none
	at   uint64 // the look in which that was
	now  world.View
	room float64 // slots that can begin at once
	way  int     // attempts on their way to it
	link bool    // an open connection should be there
}

func newSeeing(b *base, see Oracle, flight *inFlight) *seeing {
	return &seeing{base: b, see: see, flight: flight, best: 1}
}

func (p *seeing) of(w *worker) *nodeFlight {
	for len(p.flight.nodes) <= w.node {
		p.flight.nodes = append(p.flight.nodes, nodeFlight{})
	}
	f := &p.flight.nodes[w.node]
	if p.now-f.since > flightMost+w.now.Lag { // whoever sent it may be gone
		f.slots = 0
	}
	return f
}

// track finds a worker's node once it is ready.
func (p *seeing) track(w *worker) {
	if w.place > 0 && w.out == 0 {
		var ok bool
		if w.node, ok = p.see.Node(w.ID); !ok {
			w.node = -1
		}
		w.at = 0
	}
}

// over is told once an attempt is no longer on its way, and once it has ended.
func (p *seeing) over(a *attempt) {
	if w := a.worker; w.node >= 0 {
		if !a.ended || !a.started {
			f := p.of(w)
			f.slots = max(0, f.slots-a.job.Slots)
			w.way--
			w.link = a.started
		}
		if a.ended {
			p.freed = append(p.freed, w)
		}
	}
}

func (p *seeing) offer(j *job) {
	if j.work == 0 {
		work, slots, ok := p.see.Work(j.ID)
		if !ok || work <= 0 {
			work = max(j.Hint.Seconds(), 1e-3)
		}
		if j.work = work; slots >= 1 {
			j.Slots = slots
		}
		j.aim = min(j.came+j.class.LatencyObjective+seconds(j.class.ObjectiveStretch*work), j.At)
		j.beyond = j.came == p.now && p.flight.over(p.base, j) // of further tries nobody knows
	}
	p.held = append(p.held, j)
	p.up(len(p.held) - 1)
	p.fresh = append(p.fresh, j)
}

func (p *seeing) drop(j *job) {
	if p.keptBy == j {
		p.kept, p.keptBy = nil, nil
	}
	p.remove(j)
}

// remove takes a job from among the held.
func (p *seeing) remove(j *job) {
	if j.held == 0 {
		return
	}
	i, last := j.held-1, len(p.held)-1
	p.put(i, p.held[last])
	p.held[last] = nil
	p.held = p.held[:last]
	j.held = 0
	if i < last {
		p.up(i)
		p.down(i)
	}
}

// wake is when held jobs are looked at again, and those that are out at worker nodes.
func (p *seeing) wake() time.Duration {
	switch {
	case len(p.held) > 0:
		return p.full
	case len(p.out) > 0:
		return p.rescue
	}
	return 0
}

func (p *seeing) settle() {
	if p.now >= p.rescue {
		p.rescue = p.now + rescueEvery
		p.rescueAll()
	}
	for p.latest.Len() > 0 && p.latest.First().At <= p.now {
		l := p.latest.First()
		if p.latest.Remove(l); l.job.held > 0 && !l.job.closed {
			p.lapse(l.job)
		}
	}
	if len(p.held) > 0 {
		p.release()
	}
	for _, j := range p.fresh {
		if j.held > 0 {
			p.latest.Add(&latest{deadline.Item{At: j.aim - seconds(j.work/p.best) + 1}, j})
		}
	}
	clear(p.fresh)
	p.fresh, p.freed = p.fresh[:0], p.freed[:0]
}

// latest is when a held job can't be in time any more, whatever stands before it.
type latest struct {
	deadline.Item
	job *job
}

// lapse ends a job that can't be in time any more, unless an attempt is out that may yet bring an answer.
func (p *seeing) lapse(j *job) {
	if p.remove(j); j.out == 0 {
		p.end(j)
	}
}

// rescueAll has jobs that are out at a worker node which answers nothing go elsewhere too, where they may.
func (p *seeing) rescueAll() {
	for _, a := range p.out {
		if j := a.job; a.worker.node >= 0 && !j.closed && j.held == 0 && j.out == 1 && p.set.Hedging &&
			j.class.Idempotency != dispatch.NonIdempotent && p.open(j) && !reached(p.see.View(a.worker.node)) {
			p.offer(j)
		}
	}
}

// release sends what can start now.
func (p *seeing) release() {
	p.looks++
	p.pool, p.looked = p.pool[:0], 0
	for _, w := range p.freed {
		p.look(w)
	}
	blind := p.now < p.full
	if blind {
		p.looked = len(p.ready)
	} else if len(p.ready) > 0 {
		p.from = p.rng.IntN(len(p.ready))
	}
	aside := p.aside[:0]
	for len(p.held) > 0 && len(aside) < asideMost {
		j := p.held[0]
		if p.remove(j); !p.open(j) || p.now+seconds(j.work/p.best) > j.aim {
			p.lapse(j)
			continue
		}
		switch w := p.choose(j); {
		case w != nil:
			if p.keptBy == j {
				p.kept, p.keptBy = nil, nil
			}
			p.send(j, w)
			w.way++
			f := p.of(w)
			f.slots, f.since = f.slots+j.Slots, p.now
			if p.warm(w) < 1 {
				f.spent = append(f.spent, spend{p.now, j.work * j.Slots})
			}
			w.room -= j.Slots
		default:
			if p.keptBy == nil && j.Slots > 1 && p.now > j.aim-seconds(2*j.work/p.best) {
				p.keep(j)
			}
			aside = append(aside, j)
		}
	}
	if len(aside) == 0 {
		p.full = p.now
	} else if !blind {
		p.full = p.now + max(lookEvery, time.Duration(len(p.ready))*lookPerNode)
	}
	for _, j := range aside {
		p.held = append(p.held, j)
		p.up(len(p.held) - 1)
	}
	clear(aside)
	p.aside = aside[:0]
}

// reached tells whether a worker node has what was sent to it, and answers.
func reached(v world.View) bool { return v.Up && v.Met }

// well tells whether a worker node is worth sending to.
func well(v world.View) bool { return reached(v) && !v.Draining && v.Errors < faulty }

// look sees a worker's truth, once in a step, and whether it can begin anything.
func (p *seeing) look(w *worker) {
	if w.node < 0 || w.place == 0 || w.at == p.looks {
		return
	}
	w.at, w.now = p.looks, p.see.View(w.node)
	if !well(w.now) || !w.now.Knocks && (!w.link || w.way > 0) {
		return
	}
	p.best = max(p.best, w.now.Speed)
	if w.now.Waiting > 0 {
		return
	}
	// Slots beyond the cores only share them.
	w.room = min(w.now.Free, w.now.Free-w.now.Slots+w.now.Cores) - p.of(w).slots
	if w.room >= 1 {
		p.pool = append(p.pool, w)
	}
}

// choose picks a worker that can start the job now, and end it in time: of those that it fits best the fastest.
func (p *seeing) choose(j *job) (pick *worker) {
	for i := 0; ; i++ {
		for i >= len(p.pool) && p.looked < len(p.ready) {
			p.look(p.ready[(p.from+p.looked)%len(p.ready)])
			p.looked++
		}
		if i >= len(p.pool) || pick != nil && i >= chunk {
			break
		}
		w := p.pool[i]
		run := w.now.Lag + seconds(margin*j.work/w.now.Speed)
		if w.room < j.Slots || p.now+run > j.aim || w == p.kept && p.keptBy != j || !p.may(j, w) || !p.spares(j, w) {
			continue
		}
		if pick == nil || w.room < pick.room || w.room == pick.room && w.now.Speed > pick.now.Speed {
			pick = w
		}
	}
	return pick
}

// spares tells whether a worker that is cold has room for a job in what may be sent to it without pushing it over.
func (p *seeing) spares(j *job, w *worker) bool {
	if p.warm(w) == 1 {
		return true
	}
	f, sum := p.of(w), j.work*j.Slots
	f.spent = slices.DeleteFunc(f.spent, func(s spend) bool { return p.now-s.at > p.set.OverloadWindow })
	for _, s := range f.spent {
		sum += s.work
	}
	return sum <= spared*p.set.OverloadFactor*w.now.Cores*w.now.Speed*p.set.OverloadWindow.Seconds()
}

// keep holds the worker that has least to do free for a large job, past which smaller ones would slip for ever.
func (p *seeing) keep(j *job) {
	least := math.Inf(1)
	for _, w := range p.ready {
		if w.at == p.looks && well(w.now) && w.now.Slots >= j.Slots && p.may(j, w) {
			if busy := w.now.Backlog / w.now.Speed; busy < least {
				p.kept, p.keptBy, least = w, j, busy
			}
		}
	}
}

// ---- The heap of held jobs ----

// before puts jobs within their tenants' shares first, and of these the one whose start can wait least.
func before(a, b *job) bool {
	if a.beyond != b.beyond {
		return b.beyond
	}
	if x, y := a.aim-seconds(a.work), b.aim-seconds(b.work); x != y {
		return x < y
	}
	return a.ID < b.ID
}

func (p *seeing) put(i int, j *job) { p.held[i], j.held = j, i+1 }

func (p *seeing) up(i int) {
	j := p.held[i]
	for i > 0 && before(j, p.held[(i-1)/2]) {
		p.put(i, p.held[(i-1)/2])
		i = (i - 1) / 2
	}
	p.put(i, j)
}

func (p *seeing) down(i int) {
	j := p.held[i]
	for {
		least := 2*i + 1
		if least >= len(p.held) {
			break
		}
		if least+1 < len(p.held) && before(p.held[least+1], p.held[least]) {
			least++
		}
		if !before(p.held[least], j) {
			break
		}
		p.put(i, p.held[least])
		i = least
	}
	p.put(i, j)
}
