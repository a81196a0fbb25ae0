package baseline

import (
	"math"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
	"valvecove/internal/testbed/environment"
)

const (
	scanInterval          = 2 * time.Millisecond  // while a job is held: other schedulers' jobs end too
	scanIntervalPerWorker = time.Microsecond      // longer in a large fleet, as each look goes through it
	rescueInterval        = 50 * time.Millisecond // a look at workers that have stopped answering
	maxFlightAge          = 250 * time.Millisecond
	scanChunk             = 24   // workers with room that are enough to choose from
	maxDeferred           = 32   // jobs that fit nowhere which one look goes past
	sizeMargin            = 1.15 // of a run's time, for its noise
	faultyErrorRate       = 0.2  // share of attempts that end with an error at a worker that is left alone
	reserveMargin         = 0.7  // part of what pushes a cold worker over
)

// omniscient is the policy that sees the true state of all workers, and the true work of each job. It has no queue
// at any worker: what can't start now is held, and the one whose start can wait least is sent first. (Shortest
// first earns less by up to 0.06 where more is asked for than can be done: worth is counted by work.)
type omniscient struct {
	*base
	oracle       Oracle
	shared       *sharedFlight
	queue        []*job        // a heap, the shortest first
	candidates   []*worker     // that have been found to have room, in this look
	scanned      int           // how many of the ready have been looked at
	scanStart    int           // and where that began
	full         time.Duration // until then nothing but what is told of our own jobs is worth a look
	deferred     []*job        // that fit nowhere, in this look
	arrived      []*job        // that came in this step
	latestStarts deadline.Queue[*latestStart]
	freedWorkers []*worker // where one of ours has ended since
	scanID       uint64
	maxSpeed     float64 // the greatest speed of a core that was seen
	reserved     *worker // takes nothing but keptFor, a large job
	reservedFor  *job
	rescueAt     time.Duration // when that is due
}

// sharedFlight is what all schedulers of a run share: what they have sent and no worker has begun, as its truth does
// not show that yet, and what tenants have asked of them together.
type sharedFlight struct {
	workers   []workerFlight
	quota     []float64 // by tenant: jobs that are within its share still
	meteredAt time.Duration
}

// quotaWindow is how much of its share a tenant may save up.
const quotaWindow = 2.0 // seconds

// isOverQuota meters a tenant's jobs: whether one that has come now is beyond its share.
func (f *sharedFlight) isOverQuota(b *base, job *job) bool {
	quotas := b.settings.TenantQuota
	if job.Tenant < 0 || job.Tenant >= len(quotas) || quotas[job.Tenant] <= 0 {
		return false
	}
	for len(f.quota) < len(quotas) {
		f.quota = append(f.quota, quotaWindow*quotas[len(f.quota)])
	}
	for i, q := range quotas {
		f.quota[i] = min(f.quota[i]+q*(b.now-f.meteredAt).Seconds(), quotaWindow*q)
	}
	f.meteredAt = b.now
	if f.quota[job.Tenant] < 1 {
		return true
	}
	f.quota[job.Tenant]--
	return false
}

type workerFlight struct {
	slots        float64
	since        time.Duration // when the last was sent
	coldSpending []coldSpend   // while it is cold
}

type coldSpend struct {
	at   time.Duration
	work float64
}

// workerView is what is kept of a worker between looks.
type workerView struct {
	index       int    // -1: none
	seenIn      uint64 // the look in which that was
	state       environment.View
	freeSlots   float64 // slots that can begin at once
	usableConns int     // attempts on their way to it
	connected   bool    // an open connection should be there
}

func newOmniscient(b *base, see Oracle, flight *sharedFlight) *omniscient {
	return &omniscient{base: b, oracle: see, shared: flight, maxSpeed: 1}
}

func (p *omniscient) flightOf(w *worker) *workerFlight {
	for len(p.shared.workers) <= w.index {
		p.shared.workers = append(p.shared.workers, workerFlight{})
	}
	f := &p.shared.workers[w.index]
	if p.now-f.since > maxFlightAge+w.state.ReadDelay { // whoever sent it may be gone
		f.slots = 0
	}
	return f
}

// track finds a worker's node once it is ready.
func (p *omniscient) track(w *worker) {
	if w.readyIndex > 0 && w.inFlight == 0 {
		var ok bool
		if w.index, ok = p.oracle.WorkerIndex(w.ID); !ok {
			w.index = -1
		}
		w.seenIn = 0
	}
}

// attemptEnded is told once an attempt is no longer on its way, and once it has ended.
func (p *omniscient) attemptEnded(a *attempt) {
	if w := a.worker; w.index >= 0 {
		if !a.ended || !a.started {
			f := p.flightOf(w)
			f.slots = max(0, f.slots-a.job.Slots)
			w.usableConns--
			w.connected = a.started
		}
		if a.ended {
			p.freedWorkers = append(p.freedWorkers, w)
		}
	}
}

func (p *omniscient) offer(job *job) {
	if job.work == 0 {
		work, slots, ok := p.oracle.Work(job.ID)
		if !ok || work <= 0 {
			work = max(job.Hint.Seconds(), 1e-3)
		}
		if job.work = work; slots >= 1 {
			job.Slots = slots
		}
		job.objective = min(job.arrivedAt+job.class.LatencyObjective+seconds(job.class.ObjectiveStretch*work), job.At)
		job.overQuota = job.arrivedAt == p.now && p.shared.isOverQuota(p.base, job) // of further tries nobody knows
	}
	p.queue = append(p.queue, job)
	p.up(len(p.queue) - 1)
	p.arrived = append(p.arrived, job)
}

func (p *omniscient) drop(j *job) {
	if p.reservedFor == j {
		p.reserved, p.reservedFor = nil, nil
	}
	p.remove(j)
}

// remove takes a job from among the held.
func (p *omniscient) remove(j *job) {
	if j.heldIndex == 0 {
		return
	}
	i, last := j.heldIndex-1, len(p.queue)-1
	p.place(i, p.queue[last])
	p.queue[last] = nil
	p.queue = p.queue[:last]
	j.heldIndex = 0
	if i < last {
		p.up(i)
		p.down(i)
	}
}

// wake is when held jobs are looked at again, and those that are out at workers.
func (p *omniscient) wake() time.Duration {
	switch {
	case len(p.queue) > 0:
		return p.full
	case len(p.inFlight) > 0:
		return p.rescueAt
	}
	return 0
}

func (p *omniscient) settle() {
	if p.now >= p.rescueAt {
		p.rescueAt = p.now + rescueInterval
		p.rescueAll()
	}
	for p.latestStarts.Len() > 0 && p.latestStarts.First().At <= p.now {
		l := p.latestStarts.First()
		if p.latestStarts.Remove(l); l.job.heldIndex > 0 && !l.job.closed {
			p.expire(l.job)
		}
	}
	if len(p.queue) > 0 {
		p.release()
	}
	for _, j := range p.arrived {
		if j.heldIndex > 0 {
			p.latestStarts.Add(&latestStart{deadline.Item{At: j.objective - seconds(j.work/p.maxSpeed) + 1}, j})
		}
	}
	clear(p.arrived)
	p.arrived, p.freedWorkers = p.arrived[:0], p.freedWorkers[:0]
}

// latestStart is when a held job can't be in time any more, whatever stands before it.
type latestStart struct {
	deadline.Item
	job *job
}

// expire ends a job that can't be in time any more, unless an attempt is out that may yet bring an answer.
func (p *omniscient) expire(j *job) {
	if p.remove(j); j.inFlight == 0 {
		p.failJob(j)
	}
}

// rescueAll has jobs that are out at a worker which answers nothing go elsewhere too, where they may.
func (p *omniscient) rescueAll() {
	for _, a := range p.inFlight {
		if j := a.job; a.worker.index >= 0 && !j.closed && j.heldIndex == 0 && j.inFlight == 1 && p.settings.Hedging &&
			j.class.Idempotency != dispatch.NonIdempotent && p.hasRoom(j) && !isReachable(p.oracle.View(a.worker.index)) {
			p.offer(j)
		}
	}
}

// release sends what can start now.
func (p *omniscient) release() {
	p.scanID++
	p.candidates, p.scanned = p.candidates[:0], 0
	for _, w := range p.freedWorkers {
		p.inspect(w)
	}
	blind := p.now < p.full
	if blind {
		p.scanned = len(p.ready)
	} else if len(p.ready) > 0 {
		p.scanStart = p.rng.IntN(len(p.ready))
	}
	aside := p.deferred[:0]
	for len(p.queue) > 0 && len(aside) < maxDeferred {
		job := p.queue[0]
		if p.remove(job); !p.hasRoom(job) || p.now+seconds(job.work/p.maxSpeed) > job.objective {
			p.expire(job)
			continue
		}
		if worker := p.choose(job); worker != nil {
			p.sendNow(job, worker)
			continue
		}
		if p.reservedFor == nil && job.Slots > 1 && p.now > job.objective-seconds(2*job.work/p.maxSpeed) {
			p.reserveWorker(job)
		}
		aside = append(aside, job)
	}
	if len(aside) == 0 {
		p.full = p.now
	} else if !blind {
		p.full = p.now + max(scanInterval, time.Duration(len(p.ready))*scanIntervalPerWorker)
	}
	for _, j := range aside {
		p.queue = append(p.queue, j)
		p.up(len(p.queue) - 1)
	}
	clear(aside)
	p.deferred = aside[:0]
}

// sendNow sends a job to a worker, and accounts for it until the worker's state shows it.
func (p *omniscient) sendNow(job *job, worker *worker) {
	if p.reservedFor == job {
		p.reserved, p.reservedFor = nil, nil
	}
	p.send(job, worker)
	worker.usableConns++
	f := p.flightOf(worker)
	f.slots, f.since = f.slots+job.Slots, p.now
	if p.warmUpShare(worker) < 1 {
		f.coldSpending = append(f.coldSpending, coldSpend{p.now, job.work * job.Slots})
	}
	worker.freeSlots -= job.Slots
}

// isReachable tells whether a worker has what was sent to it, and answers.
func isReachable(v environment.View) bool { return v.Up && v.Reachable }

// isHealthy tells whether a worker is worth sending to.
func isHealthy(v environment.View) bool {
	return isReachable(v) && !v.Draining && v.ErrorRate < faultyErrorRate
}

// inspect sees a worker's truth, once in a step, and whether it can begin anything.
func (p *omniscient) inspect(worker *worker) {
	if worker.index < 0 || worker.readyIndex == 0 || worker.seenIn == p.scanID {
		return
	}
	worker.seenIn, worker.state = p.scanID, p.oracle.View(worker.index)
	if !isHealthy(worker.state) || !worker.state.Connectable && (!worker.connected || worker.usableConns > 0) {
		return
	}
	p.maxSpeed = max(p.maxSpeed, worker.state.Speed)
	if worker.state.Queued > 0 {
		return
	}
	// Slots beyond the cores only share them.
	worker.freeSlots = min(worker.state.Free, worker.state.Free-worker.state.Slots+worker.state.Cores) - p.flightOf(worker).slots
	if worker.freeSlots >= 1 {
		p.candidates = append(p.candidates, worker)
	}
}

// choose picks a worker that can start the job now, and end it in time: of those that it fits best the fastest.
func (p *omniscient) choose(job *job) (pick *worker) {
	for i := 0; ; i++ {
		for i >= len(p.candidates) && p.scanned < len(p.ready) {
			p.inspect(p.ready[(p.scanStart+p.scanned)%len(p.ready)])
			p.scanned++
		}
		if i >= len(p.candidates) || pick != nil && i >= scanChunk {
			break
		}
		w := p.candidates[i]
		run := w.state.ReadDelay + seconds(sizeMargin*job.work/w.state.Speed)
		if w.freeSlots < job.Slots || p.now+run > job.objective || w == p.reserved && p.reservedFor != job || !p.isAllowed(job, w) || !p.mayUse(job, w) {
			continue
		}
		if pick == nil || fitsBetter(w, pick) {
			pick = w
		}
	}
	return pick
}

// fitsBetter reports whether a worker has fewer free slots than another, or as many and is faster.
func fitsBetter(w, other *worker) bool {
	return w.freeSlots < other.freeSlots || w.freeSlots == other.freeSlots && w.state.Speed > other.state.Speed
}

// mayUse tells whether a worker that is cold has room for a job in what may be sent to it without pushing it over.
func (p *omniscient) mayUse(j *job, w *worker) bool {
	if p.warmUpShare(w) == 1 {
		return true
	}
	f, sum := p.flightOf(w), j.work*j.Slots
	f.coldSpending = slices.DeleteFunc(f.coldSpending, func(s coldSpend) bool { return p.now-s.at > p.settings.OverloadWindow })
	for _, s := range f.coldSpending {
		sum += s.work
	}
	return sum <= reserveMargin*p.settings.OverloadFactor*w.state.Cores*w.state.Speed*p.settings.OverloadWindow.Seconds()
}

// reserveWorker holds the worker that has least to do free for a large job, past which smaller ones would slip for ever.
func (p *omniscient) reserveWorker(j *job) {
	least := math.Inf(1)
	for _, w := range p.ready {
		if w.seenIn == p.scanID && isHealthy(w.state) && w.state.Slots >= j.Slots && p.isAllowed(j, w) {
			if busy := w.state.BacklogSeconds / w.state.Speed; busy < least {
				p.reserved, p.reservedFor, least = w, j, busy
			}
		}
	}
}

// ---- The heap of held jobs ----

// before puts jobs within their tenants' shares first, and of these the one whose start can wait least.
func before(a, b *job) bool {
	if a.overQuota != b.overQuota {
		return b.overQuota
	}
	if x, y := a.objective-seconds(a.work), b.objective-seconds(b.work); x != y {
		return x < y
	}
	return a.ID < b.ID
}

func (p *omniscient) place(i int, j *job) { p.queue[i], j.heldIndex = j, i+1 }

func (p *omniscient) up(i int) {
	j := p.queue[i]
	for i > 0 && before(j, p.queue[(i-1)/2]) {
		p.place(i, p.queue[(i-1)/2])
		i = (i - 1) / 2
	}
	p.place(i, j)
}

func (p *omniscient) down(i int) {
	job := p.queue[i]
	for {
		least := 2*i + 1
		if least >= len(p.queue) {
			break
		}
		if least+1 < len(p.queue) && before(p.queue[least+1], p.queue[least]) {
			least++
		}
		if !before(p.queue[least], job) {
			break
		}
		p.place(i, p.queue[least])
		i = least
	}
	p.place(i, job)
}
