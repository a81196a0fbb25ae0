package world

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"valvecove/internal/lab/scenario"
)

// arrivals is when jobs fall due, and what they are. Each tenant's jobs of a class are a stream of their own with
// random numbers of its own, drawn one job ahead: nothing that schedulers do shifts them. Only a closed load waits
// for answers, as it must; there each client's n-th job is the same in every play of a seed.
type arrivals struct {
	c       *clients
	length  time.Duration
	shape   shape
	cells   []*cell
	reach   []float64 // by cell: the share of all jobs that are of it or of one before it
	closed  int
	streams int // streams of bursts so far
	buckets []bucket
}

// cell is the jobs of one class and one tenant.
type cell struct {
	class, tenant int
	rate          float64 // jobs a second on the mean
	quiet         []*float64
	drop          *rand.Rand // which of its jobs fall away while it is quiet
}

// stream is a Poisson process of jobs, thinned to the load's shape: candidates come at the rate of its peak, and as
// many of them are jobs as the shape has then.
type stream struct {
	a    *arrivals
	cell *cell
	rng  *rand.Rand
	rate float64 // candidates a second
	at   time.Duration
	off  bool
	fire func()
}

// asker is one client of a closed load.
type asker struct {
	a     *arrivals
	rng   *rand.Rand
	cells []*cell // that it draws its jobs from, by reach
	reach []float64
	last  time.Duration
	off   bool
}

// bucket meters what is within a tenant's share.
type bucket struct {
	rate, most, now float64
	at              time.Duration
}

// shareSpan is how far a tenant's jobs may run ahead of its share: what it asked too little of in so long a span, it
// may ask for later.
const shareSpan = 2 * time.Second

// askerPause is the least time between two jobs of one client of a closed load.
const askerPause = time.Millisecond

func newArrivals(c *clients) *arrivals {
	spec := c.w.Spec
	a := &arrivals{c: c, length: spec.Length.D(), closed: spec.Load.Closed}
	a.shape = newShape(&spec.Load, a.length, c.w.rng("shape", 0))
	classes, tenants := 0.0, 0.0
	for i := range spec.Classes {
		classes += spec.Classes[i].Share
	}
	for _, t := range spec.Tenants {
		tenants += t.Share
	}
	sum := 0.0
	for i := range spec.Classes {
		for j, t := range spec.Tenants {
			part := spec.Classes[i].Share / classes * t.Share / tenants * t.Usage
			if !(part > 0) { // nor where nobody has a share
				continue
			}
			sum += part
			a.reach = append(a.reach, sum)
			a.cells = append(a.cells, &cell{
				class: i, tenant: j, rate: part * spec.Rate(),
				drop: c.w.rng("quiet", i*len(spec.Tenants)+j),
			})
		}
	}
	for i := range a.reach {
		a.reach[i] /= sum
	}
	for i := range spec.Tenants {
		rate := spec.QuotaRate(i)
		most := max(1, rate*shareSpan.Seconds())
		a.buckets = append(a.buckets, bucket{rate, most, most, 0})
	}
	return a
}

func (a *arrivals) begin() {
	for _, k := range a.cells {
		if a.closed == 0 {
			a.run(k, a.c.w.rng("arrivals", k.class*len(a.c.w.Spec.Tenants)+k.tenant), 1)
		}
	}
	a.admit(a.cells, a.reach, a.closed, "closed", 0)
	a.c.w.at(a.length, func() {}) // the play isn't over before, whether or not jobs come
}

// run starts a stream of a cell's jobs, at so many times the cell's own rate.
func (a *arrivals) run(k *cell, rng *rand.Rand, times float64) *stream {
	s := &stream{a: a, cell: k, rng: rng, rate: k.rate * times * a.shape.peak(), at: a.c.w.now}
	s.fire = s.due
	if s.rate > 0 {
		s.next()
	}
	return s
}

func (s *stream) next() {
	gap := s.rng.ExpFloat64() / s.rate
	if left := (s.a.length - s.at).Seconds(); gap >= left {
		return
	}
	s.at += time.Duration(gap * float64(time.Second))
	s.a.c.w.at(s.at, s.fire)
}

func (s *stream) due() {
	if s.off {
		return
	}
	if level, peak := s.a.shape.level(s.at), s.a.shape.peak(); level >= peak || s.rng.Float64()*peak < level {
		j := s.a.draw(s.rng, s.cell)
		if s.cell.speaks() {
			s.a.c.due(j, s.at)
		}
	}
	s.next()
}

// speaks tells whether a job that would fall due does, as some don't while the cell is quiet.
func (k *cell) speaks() bool {
	for _, share := range k.quiet {
		if k.drop.Float64() >= *share {
			return false
		}
	}
	return true
}

// burst multiplies what a tenant (-1: all), and of a class (-1: all), asks for until undo. What comes on top has
// streams of its own, so that all else falls due as it would have. Bursts that overlap add up, those below 1
// multiply. To a closed load more clients come, as many as are a part of it; it never has fewer.
func (c *clients) burst(tenant, class int, factor float64) (undo func()) {
	a := c.arrivals
	var (
		struck []*cell
		reach  []float64
		share  float64
		before float64
	)
	for i, k := range a.cells {
		if (tenant < 0 || k.tenant == tenant) && (class < 0 || k.class == class) {
			struck = append(struck, k)
			share += a.reach[i] - before
			reach = append(reach, share)
		}
		before = a.reach[i]
	}
	if factor < 1 {
		for _, k := range struck {
			k.quiet = append(k.quiet, &factor)
		}
		return func() {
			for _, k := range struck {
				k.quiet = slices.DeleteFunc(k.quiet, func(f *float64) bool { return f == &factor })
			}
		}
	}
	a.streams++
	if a.closed > 0 {
		for i := range reach {
			reach[i] /= share
		}
		n := int(math.Round((factor - 1) * share * float64(a.closed)))
		more := a.admit(struck, reach, n, "burst", a.streams<<32)
		return func() {
			for _, s := range more {
				s.off = true
			}
		}
	}
	var more []*stream
	for i, k := range struck {
		more = append(more, a.run(k, c.w.rng("burst", a.streams<<32+i), factor-1))
	}
	return func() {
		for _, s := range more {
			s.off = true
		}
	}
}

// admit lets n clients of a closed load begin, spread over a tenth of a second.
func (a *arrivals) admit(cells []*cell, reach []float64, n int, name string, first int) []*asker {
	if len(cells) == 0 {
		return nil
	}
	list := make([]*asker, n)
	for i := range list {
		s := &asker{a: a, rng: a.c.w.rng(name, first+i), cells: cells, reach: reach}
		s.last = a.c.w.now + time.Duration(s.rng.Int64N(int64(100*time.Millisecond))) - askerPause
		list[i] = s
		s.again()
	}
	return list
}

// again has the client ask for its next job at once.
func (s *asker) again() {
	at := max(s.a.c.w.now, s.last+askerPause)
	if at >= s.a.length {
		return
	}
	s.last = at
	s.a.c.w.at(at, func() {
		if s.off {
			return
		}
		i := sort.SearchFloat64s(s.reach, s.rng.Float64())
		j := s.a.draw(s.rng, s.cells[min(i, len(s.cells)-1)])
		j.asker = s
		s.a.c.due(j, at)
	})
}

// draw draws a job.
func (a *arrivals) draw(rng *rand.Rand, k *cell) *job {
	spec := &a.c.w.Spec.Classes[k.class]
	load, acts := &a.c.w.Spec.Load, &a.c.w.Spec.Clients
	j := &job{class: k.class, tenant: k.tenant, risked: -1}
	j.work = drawWork(rng, spec)
	j.slots = drawSlots(rng, spec.Slots)
	hint := 0.0
	switch load.Hints {
	case "exact":
		hint = j.work
	case "rough":
		hint = j.work * math.Exp(load.HintFactor*rng.NormFloat64())
	case "wrong":
		hint = j.work * load.HintFactor
	}
	if hint > 0 {
		// Whole microseconds, as on the wire, and an hour at most.
		j.hint = time.Duration(max(1, min(hint, 3600)*1e6)) * time.Microsecond
	}
	j.body = 100 + rng.IntN(300)
	j.honours = rng.Float64() < acts.Honour
	if acts.Impatient > 0 && rng.Float64() < acts.Impatient {
		j.leaves = 1 + time.Duration(rng.Int64N(int64(spec.Deadline.D())))
	}
	return j
}

// over meters a tenant's jobs: whether one that falls due now is beyond its share.
func (a *arrivals) over(tenant int, now time.Duration) bool {
	b := &a.buckets[tenant]
	b.now = min(b.most, b.now+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.rate <= 0 { // shares mean nothing here
		return false
	}
	if b.now < 1 {
		return true
	}
	b.now--
	return false
}

// drawWork draws a job's run time on a standard core, in seconds; never 0.
func drawWork(rng *rand.Rand, c *scenario.Class) float64 {
	mean := c.Work.D().Seconds()
	work := mean
	switch {
	case c.Dist == "exp":
		work = mean * rng.ExpFloat64()
	case c.Dist == "lognormal" && c.CV > 0:
		v := math.Log1p(c.CV * c.CV)
		work = mean * math.Exp(math.Sqrt(v)*rng.NormFloat64()-v/2)
	case c.Dist == "pareto" && c.CV > 0:
		shape := 1 + math.Sqrt(1+1/(c.CV*c.CV))
		work = mean * (shape - 1) / shape * math.Pow(1-rng.Float64(), -1/shape)
	}
	return max(work, 1e-6)
}

// drawSlots draws 1, 2, 4, ... slots by their shares.
func drawSlots(rng *rand.Rand, shares []float64) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	if len(shares) <= 1 || sum <= 0 {
		return 1
	}
	at, last := rng.Float64()*sum, 1.0
	for i, s := range shares {
		if s > 0 {
			last = float64(uint64(1) << i)
		}
		if at -= s; at < 0 {
			break
		}
	}
	return last
}

// shape is how the load's level moves about its mean of 1 in the course of a play, swinging by so much at most.
//
//	steady       it does not
//	bursty       it jumps between 1+swing and 1-swing, and stays at each for a time drawn exponentially, 1 s on the
//	             mean: a Poisson process modulated by a chain of two states
//	swell        it rises from 1-swing to 1+swing at 2/3 of the length and falls back, along half cosines
//	month_start  it falls evenly from 1+swing to 1-swing
type shape struct {
	kind   string
	swing  float64
	length float64
	rng    *rand.Rand
	low    bool            // bursty begins with 1-swing
	jumps  []time.Duration // of bursty, as far as they are drawn
}

const burstyHold = time.Second

func newShape(l *scenario.Load, length time.Duration, rng *rand.Rand) shape {
	s := shape{kind: l.Shape, swing: max(0, min(l.Swing, 1)), length: max(length.Seconds(), 1e-9), rng: rng}
	if s.kind == "" || s.kind == "steady" {
		s.kind, s.swing = "steady", 0
	}
	s.low = rng.IntN(2) == 0
	return s
}

func (s *shape) peak() float64 { return 1 + s.swing }

// level is the level at an instant.
func (s *shape) level(at time.Duration) float64 {
	x := at.Seconds() / s.length
	switch s.kind {
	case "bursty":
		n := len(s.jumps)
		for n == 0 || s.jumps[n-1] <= at {
			last := time.Duration(0)
			if n > 0 {
				last = s.jumps[n-1]
			}
			s.jumps = append(s.jumps, last+1+time.Duration(s.rng.ExpFloat64()*float64(burstyHold)))
			n++
		}
		for n > 1 && s.jumps[n-2] > at { // a step of the play that was late asks of the past
			n--
		}
		if s.low == (n%2 == 1) {
			return 1 - s.swing
		}
		return 1 + s.swing
	case "swell":
		const peak = 2.0 / 3
		if x < peak {
			return 1 - s.swing*math.Cos(math.Pi*x/peak)
		}
		return 1 + s.swing*math.Cos(math.Pi*(x-peak)/(1-peak))
	case "month_start":
		return 1 + s.swing*(1-2*x)
	}
	return 1
}
