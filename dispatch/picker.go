package dispatch

// The picker, by the design's sentence: the ready worker with the fewest of this dispatcher's slots in
// use, of those able to start the job now, drawn among equals.

import (
	"cmp"
	"math"
	"slices"
)

// Costs of a worker, in slots in use: the fewest of ours decide, and what else speaks against it adds.
const (
	busyZoneCost         = 3.0    // times the chance in its zone that a worker has no free slot
	retriedWorkerCost    = 1000.0 // of a worker that was sent the job before: it comes last
	uncordonedBonus      = 0.5    // off for an uncordoned worker: among equals it is tried first
	crossCostPerSlot     = 0.05   // this much of Settings.CrossZoneCost weighs like one slot
	handshakeCostPerSlot = 0.2    // so does this much of Settings.HandshakeCost
	maxLevelScan         = 48     // workers of one level of the index that are all looked at
	levelSample          = 16     // and of a longer one, as a random sample is as good
	maxScanned           = 256    // and in one search
)

// chooseWorker picks the ready worker with the lowest cost of those that can start the job now, drawn among
// equals by strength. lacksCapacity: it has looked at all, and nothing but capacity is missing.
func (d *Dispatcher) chooseWorker(job *jobInfo) (worker *workerInfo, lacksCapacity bool) {
	search := choice{cost: math.Inf(1), lacksCapacity: true}
	d.priceBuckets(job)
	for search.scanned < maxScanned {
		bucket, level, levelCost := d.fleet.available.cheapest()
		if bucket == nil || levelCost > search.cost { // no other level holds a better one
			break
		}
		isOrdered := d.fleet.available.isOrdered() && bucket.isSteady()
		if isOrdered && d.considerPreferred(&search, job, bucket, level, levelCost) {
			continue
		}
		from, n := d.sample(len(level), maxLevelScan, levelSample)
		for i := range n {
			d.consider(&search, job, level[(from+i)%len(level)], levelCost)
		}
		search.scanned += n
	}
	switch {
	case search.worker == nil:
		return nil, search.lacksCapacity && search.scanned < maxScanned
	case search.warming != nil: // it takes its part only of jobs that could go elsewhere now
		return search.warming, false
	case d.now < job.checksUntil && !search.isInformed: // the workers checked for the job may answer yet
		return nil, false
	}
	return search.worker, false
}

// considerPreferred compares the workers of a level that this dispatcher prefers, and tells whether one will
// do: else others are drawn. One more for each earlier attempt makes up for the worker that had it.
func (d *Dispatcher) considerPreferred(
	search *choice, job *jobInfo, bucket *bucket, level []*workerInfo, levelCost float64,
) bool {
	var buffer [preferredWorkers]*workerInfo
	before := search.suitable
	count := min(d.fleet.available.preferredCount(bucket)+len(job.attempts), preferredWorkers)
	preferred := appendPreferred(buffer[:0], level, count)
	for _, worker := range preferred {
		d.consider(search, job, worker, levelCost)
	}
	search.scanned += len(preferred)
	return search.suitable > before
}

// priceBuckets prices what the workers of a bucket have in common, and leaves out those barred to the job.
func (d *Dispatcher) priceBuckets(j *jobInfo) {
	for _, b := range d.fleet.available.buckets {
		b.nextLevel, b.baseCost = 0, 0
		if !j.class.allows(b.kind, b.zone) {
			b.baseCost = math.Inf(1)
			continue
		}
		if b.zone != d.settings.Zone {
			b.baseCost = d.settings.CrossZoneCost / crossCostPerSlot
		}
		if len(d.settings.ReportFields) == 0 {
			b.baseCost += busyZoneCost * d.fleet.zoneBusy[b.zone]
		}
	}
}

// consider compares one candidate with the best so far: cost, filters, draw.
func (d *Dispatcher) consider(search *choice, job *jobInfo, worker *workerInfo, levelCost float64) {
	cost, weight, fresh := d.price(worker, levelCost)
	if job.wasSentTo(worker) {
		cost += retriedWorkerCost
	}
	if cost > search.cost || !d.hasCapacity(job, worker) {
		return
	}
	search.lacksCapacity = false
	if !d.canMeetObjective(job, worker) || !d.mayAttempt(job, worker) || !d.healthAllows(job, worker) {
		return
	}
	search.suitable++
	if !d.warmUpAllows(job, worker) {
		if d.drawsWorker(job, worker) {
			search.warming = worker
		}
		return
	}
	if worker.uncordonedAt > 0 {
		cost -= uncordonedBonus
	}
	if cost < search.cost {
		search.cost, search.weights = cost, 0
	}
	search.weights += weight
	if d.rng.Float64()*search.weights < weight {
		search.worker = worker
		search.isInformed = fresh || len(d.settings.ReportFields) == 0 && !worker.awaitsCheck()
	}
}

// price is the cost of a worker, its weight among equals, and whether its load report is fresh.
func (d *Dispatcher) price(worker *workerInfo, base float64) (cost, weight float64, fresh bool) {
	cost = base - math.Floor(worker.slots.used) + worker.slots.used
	weight = cmp.Or(finite(worker.Size), 1) * worker.speed.factor
	if len(worker.inFlight) >= worker.connections.open { // none is idle
		cost += d.settings.HandshakeCost / handshakeCostPerSlot
	}
	if len(d.settings.ReportFields) > 0 {
		var free float64
		if free, fresh = d.reportedFreeSlots(worker); fresh {
			weight *= max(free, 1)
		} else {
			cost += busyZoneCost * d.fleet.zoneBusy[worker.Zone]
		}
	}
	return cost, weight, fresh
}

// allows binds a class to kinds and zones of workers at every attempt, whatever is down or full.
func (c *Class) allows(kind, zone int) bool {
	return (c.Kinds == nil || slices.Contains(c.Kinds, kind)) && c.allowsZone(zone)
}

func (c *Class) allowsZone(zone int) bool { return c.Zones == nil || slices.Contains(c.Zones, zone) }
