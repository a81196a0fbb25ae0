package environment

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"valvecove/internal/testbed/scenario"
)

// arrivals is when jobs fall due, and what they are. Each tenant's jobs of a class are a stream of their own with
// random numbers of its own, drawn one job ahead: nothing that schedulers do shifts them. Only a closed load waits
// for answers, as it must; there each client's n-th job is the same in every run of a seed.
type arrivals struct {
	clients       *clients
	length        time.Duration
	shape         loadShape
	sources       []*jobSource
	cumulative    []float64 // by cell: the share of all jobs that are of it or of one before it
	closedClients int
	burstStreams  int // streams of bursts so far
	buckets       []quotaBucket
}

// jobSource is the jobs of one class and one tenant.
type jobSource struct {
	class, tenant int
	rate          float64 // jobs a second on the mean
	quietFactors  []*float64
	thinning      *rand.Rand // which of its jobs fall away while it is quiet
}

// arrivalStream is a Poisson process of jobs, thinned to the load's shape: candidates come at the rate of its peak, and as
// many of them are jobs as the shape has then.
type arrivalStream struct {
	arrivals *arrivals
	source   *jobSource
	rng      *rand.Rand
	rate     float64 // candidates a second
	at       time.Duration
	stopped  bool
	fire     func()
}

// closedClient is one client of a closed load.
type closedClient struct {
	arrivals   *arrivals
	rng        *rand.Rand
	sources    []*jobSource // that it draws its jobs from, by reach
	cumulative []float64
	last       time.Duration
	stopped    bool
}

// quotaBucket meters what is within a tenant's share.
type quotaBucket struct {
	rate, capacity, tokens float64
	updatedAt              time.Duration
}

// quotaWindow is how far a tenant's jobs may run ahead of its share: what it asked too little of in so long a span, it
// may ask for later.
const quotaWindow = 2 * time.Second

// thinkTime is the least time between two jobs of one client of a closed load.
const thinkTime = time.Millisecond

func newArrivals(clients *clients) *arrivals {
	spec := clients.env.Spec
	arrivals := &arrivals{clients: clients, length: spec.Length.Std(), closedClients: spec.Load.ClosedClients}
	arrivals.shape = newLoadShape(&spec.Load, arrivals.length, clients.env.rng("shape", 0))
	classes, tenants := 0.0, 0.0
	for i := range spec.Classes {
		classes += spec.Classes[i].Share
	}
	for _, t := range spec.Tenants {
		tenants += t.Quota
	}
	sum := 0.0
	for i := range spec.Classes {
		for j, t := range spec.Tenants {
			part := spec.Classes[i].Share / classes * t.Quota / tenants * t.Usage
			if !(part > 0) { // nor where nobody has a share
				continue
			}
			sum += part
			arrivals.cumulative = append(arrivals.cumulative, sum)
			arrivals.sources = append(arrivals.sources, &jobSource{
				class: i, tenant: j, rate: part * spec.Rate(),
				thinning: clients.env.rng("quiet", i*len(spec.Tenants)+j),
			})
		}
	}
	for i := range arrivals.cumulative {
		arrivals.cumulative[i] /= sum
	}
	for i := range spec.Tenants {
		rate := spec.QuotaRate(i)
		most := max(1, rate*quotaWindow.Seconds())
		arrivals.buckets = append(arrivals.buckets, quotaBucket{rate, most, most, 0})
	}
	return arrivals
}

func (a *arrivals) start() {
	for _, k := range a.sources {
		if a.closedClients == 0 {
			a.startStream(k, a.clients.env.rng("arrivals", k.class*len(a.clients.env.Spec.Tenants)+k.tenant), 1)
		}
	}
	a.addClosedClients(a.sources, a.cumulative, a.closedClients, "closed", 0)
	a.clients.env.schedule(a.length, func() {}) // the run isn't over before, whether or not jobs come
}

// startStream starts a stream of a cell's jobs, at so many times the cell's own rate.
func (a *arrivals) startStream(k *jobSource, rng *rand.Rand, times float64) *arrivalStream {
	s := &arrivalStream{arrivals: a, source: k, rng: rng, rate: k.rate * times * a.shape.peak(), at: a.clients.env.now}
	s.fire = s.arrive
	if s.rate > 0 {
		s.scheduleNext()
	}
	return s
}

func (a *arrivalStream) scheduleNext() {
	gap := a.rng.ExpFloat64() / a.rate
	if remaining := (a.arrivals.length - a.at).Seconds(); gap >= remaining {
		return
	}
	a.at += time.Duration(gap * float64(time.Second))
	a.arrivals.clients.env.schedule(a.at, a.fire)
}

func (a *arrivalStream) arrive() {
	if a.stopped {
		return
	}
	if level, peak := a.arrivals.shape.level(a.at), a.arrivals.shape.peak(); level >= peak || a.rng.Float64()*peak < level {
		j := a.arrivals.drawJob(a.rng, a.source)
		if a.source.keepsJob() {
			a.arrivals.clients.jobDue(j, a.at)
		}
	}
	a.scheduleNext()
}

// keepsJob tells whether a job that would fall due does, as some don't while the cell is quiet.
func (j *jobSource) keepsJob() bool {
	for _, share := range j.quietFactors {
		if j.thinning.Float64() >= *share {
			return false
		}
	}
	return true
}

// startBurst multiplies what a tenant (-1: all), and of a class (-1: all), asks for until undo. What comes on top has
// streams of its own, so that all else falls due as it would have. Bursts that overlap add up, those below 1
// multiply. To a closed load more clients come, as many as are a part of it; it never has fewer.
func (c *clients) startBurst(tenant, class int, factor float64) (undo func()) {
	struck, cumulative := c.arrivals.matchingSources(tenant, class)
	if factor < 1 {
		return startQuiet(struck, factor)
	}
	c.arrivals.burstStreams++
	if c.arrivals.closedClients > 0 {
		return c.arrivals.addBurstClients(struck, cumulative, factor)
	}
	return c.arrivals.addBurstStreams(struck, factor)
}

// matchingSources is the sources of a tenant's jobs (-1: all) of a class (-1: all), and their cumulative shares of the
// load.
func (a *arrivals) matchingSources(tenant, class int) (sources []*jobSource, cumulative []float64) {
	share, before := 0.0, 0.0
	for i, source := range a.sources {
		if (tenant < 0 || source.tenant == tenant) && (class < 0 || source.class == class) {
			share += a.cumulative[i] - before
			sources = append(sources, source)
			cumulative = append(cumulative, share)
		}
		before = a.cumulative[i]
	}
	return sources, cumulative
}

// startQuiet multiplies what sources ask for by a factor below 1, until undo.
func startQuiet(sources []*jobSource, factor float64) (undo func()) {
	for _, source := range sources {
		source.quietFactors = append(source.quietFactors, &factor)
	}
	return func() {
		for _, source := range sources {
			source.quietFactors = slices.DeleteFunc(source.quietFactors, func(f *float64) bool { return f == &factor })
		}
	}
}

// addBurstClients adds clients to a closed load until undo: what sources have of it, times factor-1.
func (a *arrivals) addBurstClients(sources []*jobSource, cumulative []float64, factor float64) (undo func()) {
	share := 0.0
	if len(cumulative) > 0 {
		share = cumulative[len(cumulative)-1]
	}
	for i := range cumulative {
		cumulative[i] /= share
	}
	count := int(math.Round((factor - 1) * share * float64(a.closedClients)))
	added := a.addClosedClients(sources, cumulative, count, "burst", a.burstStreams<<32)
	return func() {
		for _, client := range added {
			client.stopped = true
		}
	}
}

// addBurstStreams adds streams of jobs to an open load until undo: of each source one at factor-1 times its rate.
func (a *arrivals) addBurstStreams(sources []*jobSource, factor float64) (undo func()) {
	var added []*arrivalStream
	for i, source := range sources {
		rng := a.clients.env.rng("burst", a.burstStreams<<32+i)
		added = append(added, a.startStream(source, rng, factor-1))
	}
	return func() {
		for _, stream := range added {
			stream.stopped = true
		}
	}
}

// addClosedClients lets n clients of a closed load begin, spread over a tenth of a second.
func (a *arrivals) addClosedClients(cells []*jobSource, reach []float64, n int, name string, first int) []*closedClient {
	if len(cells) == 0 {
		return nil
	}
	list := make([]*closedClient, n)
	for i := range list {
		s := &closedClient{arrivals: a, rng: a.clients.env.rng(name, first+i), sources: cells, cumulative: reach}
		s.last = a.clients.env.now + time.Duration(s.rng.Int64N(int64(100*time.Millisecond))) - thinkTime
		list[i] = s
		s.sendNext()
	}
	return list
}

// sendNext has the client ask for its next job at once.
func (c *closedClient) sendNext() {
	start := max(c.arrivals.clients.env.now, c.last+thinkTime)
	if start >= c.arrivals.length {
		return
	}
	c.last = start
	c.arrivals.clients.env.schedule(start, func() {
		if c.stopped {
			return
		}
		i := sort.SearchFloat64s(c.cumulative, c.rng.Float64())
		j := c.arrivals.drawJob(c.rng, c.sources[min(i, len(c.sources)-1)])
		j.client = c
		c.arrivals.clients.jobDue(j, start)
	})
}

// drawJob draws a job.
func (a *arrivals) drawJob(rng *rand.Rand, k *jobSource) *job {
	spec := &a.clients.env.Spec.Classes[k.class]
	load, acts := &a.clients.env.Spec.Load, &a.clients.env.Spec.Clients
	job := &job{class: k.class, tenant: k.tenant, firstRiskAt: -1}
	job.work = drawWork(rng, spec)
	job.slots = drawSlots(rng, spec.Slots)
	hint := 0.0
	switch load.Hints {
	case "exact":
		hint = job.work
	case "rough":
		hint = job.work * math.Exp(load.HintFactor*rng.NormFloat64())
	case "wrong":
		hint = job.work * load.HintFactor
	}
	if hint > 0 {
		// Whole microseconds, as on the wire, and an hour at most.
		job.costHint = time.Duration(max(1, min(hint, 3600)*1e6)) * time.Microsecond
	}
	job.bodyLength = 100 + rng.IntN(300)
	job.honoursRetryAfter = rng.Float64() < acts.HonourRetryAfter
	if acts.Impatient > 0 && rng.Float64() < acts.Impatient {
		job.leavesAfter = 1 + time.Duration(rng.Int64N(int64(spec.Deadline.Std())))
	}
	return job
}

// isOverQuota meters a tenant's jobs: whether one that falls due now is beyond its share.
func (a *arrivals) isOverQuota(tenant int, now time.Duration) bool {
	b := &a.buckets[tenant]
	b.tokens = min(b.capacity, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.rate <= 0 { // shares mean nothing here
		return false
	}
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}

// drawWork draws a job's run time on a standard core, in seconds; never 0.
func drawWork(rng *rand.Rand, c *scenario.Class) float64 {
	mean := c.Work.Std().Seconds()
	work := mean
	switch {
	case c.Distribution == "exp":
		work = mean * rng.ExpFloat64()
	case c.Distribution == "lognormal" && c.CV > 0:
		v := math.Log1p(c.CV * c.CV)
		work = mean * math.Exp(math.Sqrt(v)*rng.NormFloat64()-v/2)
	case c.Distribution == "pareto" && c.CV > 0:
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

// loadShape is how the load's level moves about its mean of 1 in the course of a run, swinging by so much at most.
//
//	steady       it does not
//	bursty       it jumps between 1+swing and 1-swing, and stays at each for a time drawn exponentially, 1 s on the
//	             mean: a Poisson process modulated by a chain of two states
//	swell        it rises from 1-swing to 1+swing at 2/3 of the length and falls back, along half cosines
//	month_start  it falls evenly from 1+swing to 1-swing
type loadShape struct {
	kind      string
	swing     float64
	length    float64
	rng       *rand.Rand
	startsLow bool            // bursty begins with 1-swing
	jumps     []time.Duration // of bursty, as far as they are drawn
}

const burstyHold = time.Second

func newLoadShape(l *scenario.Load, length time.Duration, rng *rand.Rand) loadShape {
	s := loadShape{kind: l.Shape, swing: max(0, min(l.Swing, 1)), length: max(length.Seconds(), 1e-9), rng: rng}
	if s.kind == "" || s.kind == "steady" {
		s.kind, s.swing = "steady", 0
	}
	s.startsLow = rng.IntN(2) == 0
	return s
}

func (l *loadShape) peak() float64 { return 1 + l.swing }

// level is the level at an instant.
func (l *loadShape) level(instant time.Duration) float64 {
	progress := instant.Seconds() / l.length
	switch l.kind {
	case "bursty":
		n := len(l.jumps)
		for n == 0 || l.jumps[n-1] <= instant {
			last := time.Duration(0)
			if n > 0 {
				last = l.jumps[n-1]
			}
			l.jumps = append(l.jumps, last+1+time.Duration(l.rng.ExpFloat64()*float64(burstyHold)))
			n++
		}
		for n > 1 && l.jumps[n-2] > instant { // a step of the run that was late asks of the past
			n--
		}
		if l.startsLow == (n%2 == 1) {
			return 1 - l.swing
		}
		return 1 + l.swing
	case "swell":
		const peak = 2.0 / 3
		if progress < peak {
			return 1 - l.swing*math.Cos(math.Pi*progress/peak)
		}
		return 1 + l.swing*math.Cos(math.Pi*(progress-peak)/(1-peak))
	case "month_start":
		return 1 + l.swing*(1-2*progress)
	}
	return 1
}
