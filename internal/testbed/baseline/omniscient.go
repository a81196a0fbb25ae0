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
	scanInterval          = 2 * time.Millisecond   // between scans with queued jobs: other schedulers' jobs free slots too
	scanIntervalPerWorker = time.Microsecond       // for each ready worker, if that is longer: a scan examines all of them
	hedgeCheckInterval    = 50 * time.Millisecond  // between checks for unreachable workers
	maxFlightAge          = 250 * time.Millisecond // after this time, slots of attempts that have not started count as free
	enoughCandidates      = 24                     // a choice that has found a worker ends after this many candidates
	maxSkipped            = 32                     // a scan ends after this many jobs that no worker can start
	durationMargin        = 1.15                   // factor of an execution time, as execution times vary
	faultyErrorRate       = 0.2                    // a worker is not used if this share of its attempts fails, or more
	overloadMargin        = 0.7                    // share of the overload limit that a worker that is warming up may be given
)

// omniscient is the policy that sees the true state of all workers and the true work of each job. Jobs are not queued at
// workers: a job that can't start now is queued here, in the order of startsBefore.
type omniscient struct {
	*base
	oracle        Oracle
	shared        *sharedFlight
	queue         []*job        // a heap in the order of startsBefore
	candidates    []*worker     // workers with free slots, found in this scan
	scanned       int           // ready workers examined in this scan
	scanStart     int           // index of the first of them in base.ready
	nextScanAt    time.Duration // until then only freedWorkers are examined
	skippedBuffer []*job        // reused memory for the jobs that a scan skips
	arrived       []*job        // offered in this step
	latestStarts  deadline.Queue[*latestStart]
	freedWorkers  []*worker // workers at which an attempt of this scheduler ended in this step
	scanID        uint64
	maxSpeed      float64 // the largest speed of a core of any worker examined
	reserved      *worker // reserved for reservedFor, a large job
	reservedFor   *job
	nextHedgeAt   time.Duration // when to look for attempts at unreachable workers again
}

// newOmniscient returns the policy of one scheduler; flight is shared by all policies of a run.
func newOmniscient(b *base, oracle Oracle, flight *sharedFlight) *omniscient {
	return &omniscient{base: b, oracle: oracle, shared: flight, maxSpeed: 1}
}

// flightOf returns the work sent to a worker that its state may not show yet.
func (o *omniscient) flightOf(worker *worker) *workerFlight {
	for len(o.shared.workers) <= worker.index {
		o.shared.workers = append(o.shared.workers, workerFlight{})
	}
	flight := &o.shared.workers[worker.index]
	if o.now-flight.since > maxFlightAge+worker.state.ReadDelay { // the scheduler that sent them may have ended
		flight.slots = 0
	}
	return flight
}

// track looks up the environment's number of a worker that becomes ready.
func (o *omniscient) track(worker *worker) {
	if worker.readyIndex > 0 && worker.inFlight == 0 {
		index, isKnown := o.oracle.WorkerIndex(worker.ID)
		if !isKnown {
			index = -1
		}
		worker.index = index
		worker.inspectedIn = 0
	}
}

// attemptEnded accounts for an attempt that has started or ended.
func (o *omniscient) attemptEnded(attempt *attempt) {
	worker := attempt.worker
	if worker.index < 0 {
		return
	}
	if !attempt.ended || !attempt.started {
		flight := o.flightOf(worker)
		flight.slots = max(0, flight.slots-attempt.job.Slots)
		worker.pendingConns--
		worker.connected = attempt.started
	}
	if attempt.ended {
		o.freedWorkers = append(o.freedWorkers, worker)
	}
}

// offer queues a job, with its true work and the objective that follows from it.
func (o *omniscient) offer(job *job) {
	if job.work == 0 {
		work, slots, ok := o.oracle.Work(job.ID)
		if !ok || work <= 0 {
			work = max(job.Hint.Seconds(), 1e-3)
		}
		job.work = work
		if slots >= 1 {
			job.Slots = slots
		}
		job.objective = min(job.arrivedAt+job.class.LatencyObjective+seconds(job.class.ObjectiveStretch*work), job.At)
		job.overQuota = job.arrivedAt == o.now && o.shared.isOverQuota(o.base, job) // retries are not charged to the quota
	}
	o.queue = append(o.queue, job)
	o.siftUp(len(o.queue) - 1)
	o.arrived = append(o.arrived, job)
}

// drop removes a job that no longer needs a worker, and its reservation.
func (o *omniscient) drop(job *job) {
	o.releaseReserved(job)
	o.remove(job)
}

// releaseReserved releases the worker that is reserved for a job, if one is.
func (o *omniscient) releaseReserved(job *job) {
	if o.reservedFor == job {
		o.reserved = nil
		o.reservedFor = nil
	}
}

// remove removes a job from the queue, if it is queued.
func (o *omniscient) remove(job *job) {
	if job.queueIndex == 0 {
		return
	}
	index := job.queueIndex - 1
	last := len(o.queue) - 1
	o.placeAt(index, o.queue[last])
	o.queue[last] = nil
	o.queue = o.queue[:last]
	job.queueIndex = 0
	if index < last {
		o.siftUp(index)
		o.siftDown(index)
	}
}

// wake returns the time of the next scan of queued jobs, or of the next check of attempts in flight.
func (o *omniscient) wake() time.Duration {
	switch {
	case len(o.queue) > 0:
		return o.nextScanAt
	case len(o.inFlight) > 0:
		return o.nextHedgeAt
	}
	return 0
}

// settle ends each step: it offers jobs at unreachable workers again, expires jobs, and sends those that can start.
func (o *omniscient) settle() {
	if o.now >= o.nextHedgeAt {
		o.nextHedgeAt = o.now + hedgeCheckInterval
		o.hedgeUnreachable()
	}
	for o.latestStarts.Len() > 0 && o.latestStarts.First().At <= o.now {
		latest := o.latestStarts.First()
		o.latestStarts.Remove(latest)
		if latest.job.queueIndex > 0 && !latest.job.closed {
			o.expire(latest.job)
		}
	}
	if len(o.queue) > 0 {
		o.sendStartable()
	}
	for _, job := range o.arrived {
		if job.queueIndex > 0 {
			lastStart := job.objective - seconds(job.work/o.maxSpeed)
			o.latestStarts.Add(&latestStart{deadline.Item{At: lastStart + 1}, job})
		}
	}
	clear(o.arrived)
	o.arrived = o.arrived[:0]
	o.freedWorkers = o.freedWorkers[:0]
}

// latestStart is when a queued job can no longer meet its objective, even at the fastest worker.
type latestStart struct {
	deadline.Item
	job *job
}

// expire fails a job that can no longer meet its objective, unless an attempt in flight may still end with a result.
func (o *omniscient) expire(job *job) {
	o.remove(job)
	if job.inFlight == 0 {
		o.failJob(job)
	}
}

// hedgeUnreachable offers jobs whose only attempt is at an unreachable worker again, if the rules allow a hedged request.
func (o *omniscient) hedgeUnreachable() {
	for _, attempt := range o.inFlight {
		job := attempt.job
		isOnlyAttempt := !job.closed && job.queueIndex == 0 && job.inFlight == 1
		mayHedge := o.settings.Hedging && job.class.Idempotency != dispatch.NonIdempotent && o.allowsAttempt(job)
		if attempt.worker.index >= 0 && isOnlyAttempt && mayHedge && !isReachable(o.oracle.View(attempt.worker.index)) {
			o.offer(job)
		}
	}
}

// sendStartable sends the queued jobs that can start now.
func (o *omniscient) sendStartable() {
	o.scanID++
	o.candidates = o.candidates[:0]
	o.scanned = 0
	for _, worker := range o.freedWorkers {
		o.inspect(worker)
	}
	freedOnly := o.now < o.nextScanAt
	if freedOnly {
		o.scanned = len(o.ready)
	} else if len(o.ready) > 0 {
		o.scanStart = o.rng.IntN(len(o.ready))
	}
	skipped := o.skippedBuffer[:0]
	for len(o.queue) > 0 && len(skipped) < maxSkipped {
		job := o.queue[0]
		o.remove(job)
		if !o.allowsAttempt(job) || o.now+seconds(job.work/o.maxSpeed) > job.objective {
			o.expire(job)
			continue
		}
		if worker := o.choose(job); worker != nil {
			o.sendNow(job, worker)
			continue
		}
		if o.reservedFor == nil && job.Slots > 1 && o.now > job.objective-seconds(2*job.work/o.maxSpeed) {
			o.reserveWorker(job)
		}
		skipped = append(skipped, job)
	}
	if len(skipped) == 0 {
		o.nextScanAt = o.now
	} else if !freedOnly {
		o.nextScanAt = o.now + max(scanInterval, time.Duration(len(o.ready))*scanIntervalPerWorker)
	}
	for _, job := range skipped {
		o.queue = append(o.queue, job)
		o.siftUp(len(o.queue) - 1)
	}
	clear(skipped)
	o.skippedBuffer = skipped[:0]
}

// sendNow sends a job to a worker, and accounts for it until the worker's state shows it.
func (o *omniscient) sendNow(job *job, worker *worker) {
	o.releaseReserved(job)
	o.send(job, worker)
	worker.pendingConns++
	flight := o.flightOf(worker)
	flight.slots += job.Slots
	flight.since = o.now
	if o.warmUpShare(worker) < 1 {
		flight.warmUpWork = append(flight.warmUpWork, workSample{o.now, job.work * job.Slots})
	}
	worker.freeSlots -= job.Slots
}

// isReachable reports whether a worker receives requests and responds.
func isReachable(view environment.View) bool { return view.Up && view.Reachable }

// isHealthy reports whether attempts may be sent to a worker.
func isHealthy(view environment.View) bool {
	return isReachable(view) && !view.Draining && view.ErrorRate < faultyErrorRate
}

// inspect reads the true state of a worker, once in a scan, and adds it to the candidates if it has free slots.
func (o *omniscient) inspect(worker *worker) {
	if worker.index < 0 || worker.readyIndex == 0 || worker.inspectedIn == o.scanID {
		return
	}
	worker.inspectedIn = o.scanID
	worker.state = o.oracle.View(worker.index)
	if !isHealthy(worker.state) || !worker.state.Connectable && (!worker.connected || worker.pendingConns > 0) {
		return
	}
	o.maxSpeed = max(o.maxSpeed, worker.state.Speed)
	if worker.state.Queued > 0 {
		return
	}
	// A worker with more slots than cores counts as full once all cores are busy: further jobs would share cores.
	worker.freeSlots = min(worker.state.Free, worker.state.Free-worker.state.Slots+worker.state.Cores) - o.flightOf(worker).slots
	if worker.freeSlots >= 1 {
		o.candidates = append(o.candidates, worker)
	}
}

// choose returns a worker that can start the job now and meet its objective, or nil if there is none. It prefers the worker
// with the fewest free slots, and among those the fastest.
func (o *omniscient) choose(job *job) (pick *worker) {
	for next := 0; ; next++ {
		for next >= len(o.candidates) && o.scanned < len(o.ready) {
			o.inspect(o.ready[(o.scanStart+o.scanned)%len(o.ready)])
			o.scanned++
		}
		if next >= len(o.candidates) || pick != nil && next >= enoughCandidates {
			break
		}
		candidate := o.candidates[next]
		duration := candidate.state.ReadDelay + seconds(durationMargin*job.work/candidate.state.Speed)
		isReservedForOther := candidate == o.reserved && o.reservedFor != job
		if candidate.freeSlots < job.Slots || o.now+duration > job.objective || isReservedForOther ||
			!o.isAllowed(job, candidate) || !o.fitsWarmUp(job, candidate) {
			continue
		}
		if pick == nil || fitsBetter(candidate, pick) {
			pick = candidate
		}
	}
	return pick
}

// fitsBetter reports whether a worker has fewer free slots than another, or as many and is faster.
func fitsBetter(worker, other *worker) bool {
	return worker.freeSlots < other.freeSlots || worker.freeSlots == other.freeSlots && worker.state.Speed > other.state.Speed
}

// fitsWarmUp reports whether a job may be sent to a worker without overloading it while it is warming up.
func (o *omniscient) fitsWarmUp(job *job, worker *worker) bool {
	if o.warmUpShare(worker) == 1 {
		return true
	}
	flight := o.flightOf(worker)
	work := job.work * job.Slots
	flight.warmUpWork = slices.DeleteFunc(flight.warmUpWork, func(sample workSample) bool {
		return o.now-sample.at > o.settings.OverloadWindow
	})
	for _, sample := range flight.warmUpWork {
		work += sample.work
	}
	return work <= overloadMargin*o.settings.OverloadFactor*worker.state.Cores*worker.state.Speed*o.settings.OverloadWindow.Seconds()
}

// reserveWorker reserves the worker with the least backlog for a large job. Without that, smaller jobs would take each free
// slot, and the large job would starve.
func (o *omniscient) reserveWorker(job *job) {
	minBacklog := math.Inf(1)
	for _, worker := range o.ready {
		isUsable := worker.inspectedIn == o.scanID && isHealthy(worker.state) && worker.state.Slots >= job.Slots
		if !isUsable || !o.isAllowed(job, worker) {
			continue
		}
		backlog := worker.state.BacklogSeconds / worker.state.Speed
		if backlog < minBacklog {
			o.reserved = worker
			o.reservedFor = job
			minBacklog = backlog
		}
	}
}
