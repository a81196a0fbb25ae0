package dispatch

// The picker chooses the worker for a job. The design says: the ready worker with the fewest of this
// dispatcher's slots in use, random among ties, among those able to start the job now. A worker's score is
// its slots in use plus penalties in the same unit, and the lowest score is chosen.

import (
	"cmp"
	"math"
	"slices"
)

// Terms of a score, in slots in use.
const (
	busyZonePenalty      = 3.0    // times the probability in its zone that a worker has no free slot
	retriedWorkerPenalty = 1000.0 // for a worker that was sent the job before: it is chosen last
	uncordonedBonus      = 0.5    // subtracted for an uncordoned worker: among equals it is chosen first
	crossZoneCostPerSlot = 0.05   // Settings.CrossZoneCost that counts as one slot
	handshakeCostPerSlot = 0.2    // Settings.HandshakeCost that counts as one slot
)

// Bounds of one selection, in workers.
const (
	maxLevelScan = 48  // a level of the index with at most this many is scanned whole
	levelSample  = 16  // scanned of a larger level, from a random position on
	maxScanned   = 256 // in all
)

// selection is the state of one choice of a worker for a job.
type selection struct {
	score         float64     // of the best candidate so far
	totalWeight   float64     // of the candidates with that score
	worker        *workerInfo // drawn among them by weight
	isLoadKnown   bool        // a health check would show no more about its load
	warmingUp     *workerInfo // a worker in slow start whose ticket the job has drawn
	scanned       int
	suitable      int  // scanned workers that could be sent the job
	lacksCapacity bool // all that were scanned lack capacity
}

// chooseWorker returns the worker that a job is to be sent to now, or nil. lacksCapacity reports that all
// available workers were scanned and each lacks capacity: no job with the same demand can be sent now.
func (d *Dispatcher) chooseWorker(job *jobInfo) (worker *workerInfo, lacksCapacity bool) {
	selected := selection{score: math.Inf(1), lacksCapacity: true}
	d.scoreBuckets(job)
	for selected.scanned < maxScanned {
		bucket, level, minScore := d.fleet.available.nextLevel()
		if bucket == nil || minScore > selected.score { // no other level holds a better candidate
			break
		}
		d.scanLevel(&selected, job, bucket, level, minScore)
	}
	switch {
	case selected.worker == nil:
		return nil, selected.lacksCapacity && selected.scanned < maxScanned
	case selected.warmingUp != nil: // it gets only jobs that could be sent to another worker now
		return selected.warmingUp, false
	case d.now < job.checksUntil && !selected.isLoadKnown: // workers checked for the job may still answer
		return nil, false
	}
	return selected.worker, false
}

// scanLevel evaluates the workers of a level of the index. If levels are ordered by preference, it evaluates
// the preferred workers first, and others only if none of them is suitable. Of a large level it evaluates a
// sample.
func (d *Dispatcher) scanLevel(
	selected *selection, job *jobInfo, bucket *bucket, level []*workerInfo, minScore float64,
) {
	isOrdered := d.fleet.available.isOrdered() && bucket.isSteady()
	if isOrdered && d.scanPreferred(selected, job, bucket, level, minScore) {
		return
	}
	from, count := d.sample(len(level), maxLevelScan, levelSample)
	for i := range count {
		d.evaluateCandidate(selected, job, level[(from+i)%len(level)], minScore)
	}
	selected.scanned += count
}

// scanPreferred evaluates the workers of a level that this dispatcher prefers, and reports whether one is
// suitable. For each earlier attempt it evaluates one worker more, to replace the one that had the attempt.
func (d *Dispatcher) scanPreferred(
	selected *selection, job *jobInfo, bucket *bucket, level []*workerInfo, minScore float64,
) bool {
	var buffer [preferredWorkers]*workerInfo
	suitableBefore := selected.suitable
	count := min(d.fleet.available.preferredCount(bucket)+len(job.attempts), preferredWorkers)
	preferred := appendPreferred(buffer[:0], level, count)
	for _, worker := range preferred {
		d.evaluateCandidate(selected, job, worker, minScore)
	}
	selected.scanned += len(preferred)
	return selected.suitable > suitableBefore
}

// scoreBuckets sets the part of the score that the workers of a bucket have in common, and excludes the
// buckets that the job's class does not allow.
func (d *Dispatcher) scoreBuckets(job *jobInfo) {
	for _, b := range d.fleet.available.buckets {
		b.nextLevel = 0
		b.baseScore = 0
		if !job.class.allows(b.kind, b.zone) {
			b.baseScore = math.Inf(1)
			continue
		}
		if b.zone != d.settings.Zone {
			b.baseScore = d.settings.CrossZoneCost / crossZoneCostPerSlot
		}
		if len(d.settings.ReportFields) == 0 {
			b.baseScore += busyZonePenalty * d.fleet.zoneBusy[b.zone]
		}
	}
}

// evaluateCandidate compares a worker with the best candidate so far: by score, then by whether the worker
// can be sent the job, then by a weighted random draw among equals.
func (d *Dispatcher) evaluateCandidate(
	selected *selection, job *jobInfo, worker *workerInfo, minScore float64,
) {
	score, weight, isFresh := d.scoreWorker(worker, minScore)
	if job.wasSentTo(worker) {
		score += retriedWorkerPenalty
	}
	if score > selected.score || !d.hasCapacity(job, worker) {
		return
	}
	selected.lacksCapacity = false
	if !d.canMeetObjective(job, worker) || !d.mayAttempt(job, worker) || !d.allowsOutlier(job, worker) {
		return
	}
	selected.suitable++
	if !d.slowStart.allows(job, worker, d.replicaGroup(), d.now) {
		if d.slowStart.drawsTicketOf(worker, job, d.now) {
			selected.warmingUp = worker
		}
		return
	}
	if worker.uncordonedAt > 0 {
		score -= uncordonedBonus
	}
	if score < selected.score {
		selected.score = score
		selected.totalWeight = 0
	}
	selected.totalWeight += weight
	if d.rng.Float64()*selected.totalWeight < weight {
		selected.worker = worker
		selected.isLoadKnown = isFresh || len(d.settings.ReportFields) == 0 && !worker.awaitsCheck()
	}
}

// scoreWorker returns the score of a worker, its weight among equals, which is proportional to its size and
// speed, and whether its load report is fresh. minScore is the least score of its level.
func (d *Dispatcher) scoreWorker(worker *workerInfo, minScore float64) (score, weight float64, isFresh bool) {
	score = minScore - math.Floor(worker.slots.used) + worker.slots.used
	weight = cmp.Or(finiteOrZero(worker.Size), 1) * worker.speed.factor
	hasIdleConnection := len(worker.inFlight) < worker.connections.open
	if !hasIdleConnection {
		score += d.settings.HandshakeCost / handshakeCostPerSlot
	}
	if len(d.settings.ReportFields) == 0 {
		return score, weight, false
	}
	free, isFresh := worker.reportedFreeSlots(d.now)
	if isFresh {
		weight *= max(free, 1)
	} else {
		score += busyZonePenalty * d.fleet.zoneBusy[worker.Zone]
	}
	return score, weight, isFresh
}

// allows reports whether the jobs of a class may be sent to workers of a kind and zone. Every attempt is
// subject to it, even if all allowed workers have failed or are full.
func (c *Class) allows(kind, zone int) bool {
	return (c.Kinds == nil || slices.Contains(c.Kinds, kind)) && c.allowsZone(zone)
}

func (c *Class) allowsZone(zone int) bool { return c.Zones == nil || slices.Contains(c.Zones, zone) }
