package environment

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"valvecove/internal/testbed/scenario"
)

// arrivals generates the jobs of a run. The jobs of each tenant and class are a separate stream with its own random numbers,
// drawn one job ahead, so that the behaviour of schedulers does not change them. In a closed load a client sends its next job
// only after the previous one is settled; there the n-th job of each client is the same in every run with a seed.
type arrivals struct {
	clients       *clients
	runLength     time.Duration
	shape         loadShape
	sources       []*jobSource
	cumulative    []float64 // by source: the share of all jobs that come from it or an earlier one
	closedClients int
	burstStreams  int // bursts started so far, which number their random streams
	buckets       []quotaBucket
}

// jobSource generates the jobs of one class and one tenant.
type jobSource struct {
	class, tenant int
	rate          float64    // mean jobs per second
	quietFactors  []*float64 // of the active bursts with a factor below 1
	thinning      *rand.Rand // draws which jobs are skipped while quietFactors apply
}

// arrivalStream generates jobs as an inhomogeneous Poisson process by thinning: candidates arrive at the peak rate of the load's
// shape, and each becomes a job with the probability level / peak.
type arrivalStream struct {
	arrivals *arrivals
	source   *jobSource
	rng      *rand.Rand
	rate     float64 // candidates per second
	at       time.Duration
	stopped  bool
	fire     func()
}

// closedClient is one client of a closed load.
type closedClient struct {
	arrivals   *arrivals
	rng        *rand.Rand
	sources    []*jobSource // of its jobs, drawn by cumulative
	cumulative []float64
	lastDueAt  time.Duration
	stopped    bool
}

// quotaBucket is a token bucket that meters which of a tenant's jobs are within its quota.
type quotaBucket struct {
	rate, capacity, tokens float64
	updatedAt              time.Duration
}

// quotaBurstWindow sets the capacity of a tenant's token bucket: quota that was unused over this time may be used later.
const quotaBurstWindow = 2 * time.Second

// minThinkTime is the minimum time between two jobs of one client of a closed load.
const minThinkTime = time.Millisecond

func newArrivals(clients *clients) *arrivals {
	spec := clients.env.Spec
	arrivals := &arrivals{clients: clients, runLength: spec.Length.Std(), closedClients: spec.Load.ClosedClients}
	arrivals.shape = newLoadShape(&spec.Load, arrivals.runLength, clients.env.rng("shape", 0))
	classShares, quotas := 0.0, 0.0
	for i := range spec.Classes {
		classShares += spec.Classes[i].Share
	}
	for _, t := range spec.Tenants {
		quotas += t.Quota
	}
	sum := 0.0
	for i := range spec.Classes {
		for j, t := range spec.Tenants {
			share := spec.Classes[i].Share / classShares * t.Quota / quotas * t.Usage
			if !(share > 0) { // also true for NaN, if all shares are 0
				continue
			}
			sum += share
			arrivals.cumulative = append(arrivals.cumulative, sum)
			arrivals.sources = append(arrivals.sources, &jobSource{
				class: i, tenant: j, rate: share * spec.Rate(),
				thinning: clients.env.rng("quiet", i*len(spec.Tenants)+j),
			})
		}
	}
	for i := range arrivals.cumulative {
		arrivals.cumulative[i] /= sum
	}
	for i := range spec.Tenants {
		rate := spec.QuotaRate(i)
		capacity := max(1, rate*quotaBurstWindow.Seconds())
		arrivals.buckets = append(arrivals.buckets, quotaBucket{rate, capacity, capacity, 0})
	}
	return arrivals
}

func (a *arrivals) start() {
	for _, source := range a.sources {
		if a.closedClients == 0 {
			a.startStream(source, a.clients.env.rng("arrivals", source.class*len(a.clients.env.Spec.Tenants)+source.tenant), 1)
		}
	}
	a.addClosedClients(a.sources, a.cumulative, a.closedClients, "closed", 0)
	a.clients.env.schedule(a.runLength, func() {}) // keeps the run going until then even if no jobs arrive
}

// startStream starts a stream of a source's jobs, at rateFactor times the rate of the source.
func (a *arrivals) startStream(source *jobSource, rng *rand.Rand, rateFactor float64) *arrivalStream {
	stream := &arrivalStream{arrivals: a, source: source, rng: rng, rate: source.rate * rateFactor * a.shape.peak(), at: a.clients.env.now}
	stream.fire = stream.arrive
	if stream.rate > 0 {
		stream.scheduleNext()
	}
	return stream
}

func (a *arrivalStream) scheduleNext() {
	gap := a.rng.ExpFloat64() / a.rate
	if remaining := (a.arrivals.runLength - a.at).Seconds(); gap >= remaining {
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

// keepsJob draws whether a job is kept, as some are skipped while quietFactors apply.
func (j *jobSource) keepsJob() bool {
	for _, share := range j.quietFactors {
		if j.thinning.Float64() >= *share {
			return false
		}
	}
	return true
}

// startBurst multiplies the load of a tenant (-1: all) and a class (-1: all) by factor until undo is called. The additional
// jobs come from separate streams, so that the other jobs arrive as without the burst. Overlapping bursts add up; factors below
// 1 multiply. To a closed load it adds clients in proportion; a factor below 1 removes none of them.
func (c *clients) startBurst(tenant, class int, factor float64) (undo func()) {
	sources, cumulative := c.arrivals.matchingSources(tenant, class)
	if factor < 1 {
		return startQuiet(sources, factor)
	}
	c.arrivals.burstStreams++
	if c.arrivals.closedClients > 0 {
		return c.arrivals.addBurstClients(sources, cumulative, factor)
	}
	return c.arrivals.addBurstStreams(sources, factor)
}

// matchingSources returns the sources of the jobs of a tenant (-1: all) and a class (-1: all), and their cumulative shares of
// the load.
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

// startQuiet multiplies the load of sources by a factor below 1 until undo is called.
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

// addBurstClients adds clients to a closed load until undo is called: the number that corresponds to the sources' share of the
// load, times factor-1.
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

// addBurstStreams adds streams of jobs to an open load until undo is called: one for each source, at factor-1 times its rate.
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

// addClosedClients starts n clients of a closed load, spread over a tenth of a second.
func (a *arrivals) addClosedClients(sources []*jobSource, cumulative []float64, n int, name string, first int) []*closedClient {
	if len(sources) == 0 {
		return nil
	}
	list := make([]*closedClient, n)
	for i := range list {
		client := &closedClient{arrivals: a, rng: a.clients.env.rng(name, first+i), sources: sources, cumulative: cumulative}
		client.lastDueAt = a.clients.env.now + time.Duration(client.rng.Int64N(int64(100*time.Millisecond))) - minThinkTime
		list[i] = client
		client.sendNext()
	}
	return list
}

// sendNext schedules the client's next job, minThinkTime after the previous one at the earliest.
func (c *closedClient) sendNext() {
	start := max(c.arrivals.clients.env.now, c.lastDueAt+minThinkTime)
	if start >= c.arrivals.runLength {
		return
	}
	c.lastDueAt = start
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

// drawJob draws the properties of a job from a source.
func (a *arrivals) drawJob(rng *rand.Rand, source *jobSource) *job {
	spec := &a.clients.env.Spec.Classes[source.class]
	load, clientSpec := &a.clients.env.Spec.Load, &a.clients.env.Spec.Clients
	job := &job{class: source.class, tenant: source.tenant, firstUncertainAt: -1}
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
		// Whole microseconds, the unit on the wire, and at most an hour.
		job.costHint = time.Duration(max(1, min(hint, 3600)*1e6)) * time.Microsecond
	}
	job.bodyLength = 100 + rng.IntN(300)
	job.honoursRetryAfter = rng.Float64() < clientSpec.HonourRetryAfter
	if clientSpec.Impatient > 0 && rng.Float64() < clientSpec.Impatient {
		job.leavesAfter = 1 + time.Duration(rng.Int64N(int64(spec.Deadline.Std())))
	}
	return job
}

// isOverQuota takes a token for a job of a tenant that arrives now, and reports whether the job is over the tenant's quota.
func (a *arrivals) isOverQuota(tenant int, now time.Duration) bool {
	bucket := &a.buckets[tenant]
	bucket.tokens = min(bucket.capacity, bucket.tokens+bucket.rate*(now-bucket.updatedAt).Seconds())
	bucket.updatedAt = now
	if bucket.rate <= 0 { // no quota applies
		return false
	}
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}

// drawWork draws the run time of a job on a standard core, in seconds, at least 1e-6.
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

// drawSlots draws a number of slots: 1<<i with a probability proportional to shares[i].
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

// loadShape is how the level of the load varies around its mean of 1 during a run, by at most swing.
//
//	steady       constant
//	bursty       alternates between 1+swing and 1-swing, and stays at each for an exponentially distributed time with a mean
//	             of 1 s: a Markov-modulated Poisson process with two states
//	swell        rises from 1-swing to 1+swing at 2/3 of the length and falls back, along half cosines
//	month_start  falls linearly from 1+swing to 1-swing
type loadShape struct {
	kind            string
	swing           float64
	length          float64
	rng             *rand.Rand
	burstyStartsLow bool            // the first level is 1-swing
	burstyJumps     []time.Duration // changes of level that have been drawn so far
}

const burstyMeanHold = time.Second

func newLoadShape(l *scenario.Load, length time.Duration, rng *rand.Rand) loadShape {
	s := loadShape{kind: l.Shape, swing: max(0, min(l.Swing, 1)), length: max(length.Seconds(), 1e-9), rng: rng}
	if s.kind == "" || s.kind == "steady" {
		s.kind, s.swing = "steady", 0
	}
	s.burstyStartsLow = rng.IntN(2) == 0
	return s
}

func (l *loadShape) peak() float64 { return 1 + l.swing }

// level returns the level at a time.
func (l *loadShape) level(instant time.Duration) float64 {
	progress := instant.Seconds() / l.length
	switch l.kind {
	case "bursty":
		n := len(l.burstyJumps)
		for n == 0 || l.burstyJumps[n-1] <= instant {
			last := time.Duration(0)
			if n > 0 {
				last = l.burstyJumps[n-1]
			}
			l.burstyJumps = append(l.burstyJumps, last+1+time.Duration(l.rng.ExpFloat64()*float64(burstyMeanHold)))
			n++
		}
		for n > 1 && l.burstyJumps[n-2] > instant { // a late step may ask for a time before changes that are drawn already
			n--
		}
		if l.burstyStartsLow == (n%2 == 1) {
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
