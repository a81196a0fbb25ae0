package starvation

import (
	"math"
	"slices"
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// minSpeedShare bounds how slow a worker may be, as a part of its kind's speed.
const minSpeedShare = 0.1

// workerKind is a kind of workers of the scenario.
type workerKind struct {
	warmUp             time.Duration
	omitsStarts        bool // its workers send no callbacks of starts
	minSpeed, maxSpeed float64
}

// newWorkerKind returns a kind of workers of the scenario.
func newWorkerKind(spec *scenario.WorkerKind) workerKind {
	deviation := spec.Speed * math.Sqrt(3) * spec.Spread // speeds are distributed uniformly, with this deviation at most
	return workerKind{
		warmUp:      spec.WarmUp.Std(),
		omitsStarts: spec.OmitsStartNotifications,
		minSpeed:    max(minSpeedShare*spec.Speed, spec.Speed-deviation),
		maxSpeed:    spec.Speed + deviation,
	}
}

// worker is the state of a worker. Its deadline.Item holds the instant at which it is healthy again, in the queue of recovering
// workers.
type worker struct {
	deadline.Item
	number      int
	kind        int
	cell        int
	zone        int
	incarnation int
	slots       float64
	usedSlots   float64 // by attempts that occupy it
	up          bool
	faults      int                        // faults of the scenario that affect it now
	healthyFrom time.Duration              // it is unhealthy until then
	idleBuckets int                        // number of buckets, from the first, for which it is idle
	idleSince   [slotBuckets]time.Duration // for those buckets
	idleIndex   [slotBuckets]int           // index plus one in the set of those idle for the idle window; 0: it is in none
}

// idleEntry is a worker that became idle for a bucket at an instant, and may still be idle.
type idleEntry struct {
	since  time.Duration
	worker int
	bucket int
}

// isWorker reports whether the scenario has a worker of this number.
func (c *Checker) isWorker(number int) bool { return number >= 0 && number < len(c.workers) }

// workerEvent handles an event of a worker's process, or of a fault that affects it.
func (c *Checker) workerEvent(event *trace.Event) {
	if !c.isWorker(event.Worker) {
		return
	}
	affected := &c.workers[event.Worker]
	switch event.Kind {
	case trace.WorkerFaultStarted:
		affected.faults++
	case trace.WorkerFaultEnded:
		affected.faults = max(0, affected.faults-1)
		c.markUnhealthy(event.Worker)
	case trace.WorkerPresent, trace.WorkerStarted:
		c.workerStarted(affected, event)
	case trace.WorkerStopped, trace.WorkerDraining, trace.WorkerOverloaded:
		affected.up = false
	case trace.WorkerHung, trace.WorkerRecovered:
		c.markUnhealthy(event.Worker)
	}
	c.updateIdle(affected)
}

// workerStarted handles the start of a worker's process, or a process that runs from the start of the run. A worker of an unknown
// kind stays down.
func (c *Checker) workerStarted(started *worker, event *trace.Event) {
	started.up = false
	c.updateIdle(started) // removes it from the sets of its former kind
	isKind := func(kind scenario.WorkerKind) bool { return kind.Name == event.Text }
	kind := slices.IndexFunc(c.spec.Fleet.Kinds, isKind)
	if kind < 0 {
		return
	}
	started.up = true
	started.kind = kind
	started.incarnation = event.Incarnation
	started.slots = event.Slots
	if event.Kind == trace.WorkerStarted {
		c.setHealthyFrom(started, event.At+max(healthyAfter, c.kinds[kind].warmUp))
	}
}

// markUnhealthy records a sign of a fault of a worker.
func (c *Checker) markUnhealthy(number int) {
	if c.isWorker(number) {
		c.setHealthyFrom(&c.workers[number], c.now+healthyAfter)
	}
}

// setHealthyFrom marks a worker as unhealthy until an instant, unless it is unhealthy for longer already.
func (c *Checker) setHealthyFrom(affected *worker, at time.Duration) {
	if at <= affected.healthyFrom {
		return
	}
	c.recovering.Remove(affected)
	affected.healthyFrom = at
	affected.At = at
	c.recovering.Add(affected)
	c.updateIdle(affected)
}

// recoverWorkers marks workers as healthy whose time of recovery has passed. They count as idle from that time on.
func (c *Checker) recoverWorkers() {
	now := c.now
	for c.recovering.Len() > 0 && c.recovering.First().At <= now {
		recovered := c.recovering.First()
		c.recovering.Remove(recovered)
		c.now = recovered.At
		c.updateIdle(recovered)
	}
	c.now = now
}

// addUse adds to the used slots of a worker, or releases slots if the number is negative.
func (c *Checker) addUse(used *worker, slots float64) {
	used.usedSlots += slots
	c.updateIdle(used)
}

// updateIdle updates the buckets for which a worker is idle from now on.
func (c *Checker) updateIdle(changed *worker) {
	idleBuckets := 0
	if changed.up && changed.faults == 0 && changed.healthyFrom <= c.now {
		free := changed.slots - changed.usedSlots
		for idleBuckets < slotBuckets && free >= bucketSlots(idleBuckets) {
			idleBuckets++
		}
	}
	for changed.idleBuckets < idleBuckets {
		bucket := changed.idleBuckets
		changed.idleSince[bucket] = c.now
		c.newlyIdle.push(idleEntry{since: c.now, worker: changed.number, bucket: bucket})
		changed.idleBuckets++
	}
	for changed.idleBuckets > idleBuckets {
		changed.idleBuckets--
		c.removeIdle(changed, changed.idleBuckets)
	}
}

// addIdleWorkers adds the workers that have been idle for the idle window to their sets.
func (c *Checker) addIdleWorkers() {
	for c.newlyIdle.size > 0 && c.now-c.newlyIdle.first().since >= idleWindow {
		entry := c.newlyIdle.pop()
		idle := &c.workers[entry.worker]
		if idle.idleBuckets <= entry.bucket || idle.idleSince[entry.bucket] != entry.since || idle.idleIndex[entry.bucket] != 0 {
			continue
		}
		set := &c.idleWorkers[idle.kind][entry.bucket]
		*set = append(*set, int32(idle.number))
		idle.idleIndex[entry.bucket] = len(*set)
	}
}

// removeIdle removes a worker from the set of those idle for a bucket, if it is in it.
func (c *Checker) removeIdle(busy *worker, bucket int) {
	index := busy.idleIndex[bucket] - 1
	if index < 0 {
		return
	}
	set := &c.idleWorkers[busy.kind][bucket]
	*set = swapRemove(*set, index, func(moved int32) { c.workers[moved].idleIndex[bucket] = index + 1 })
	busy.idleIndex[bucket] = 0
}

// anyIdle reports whether a worker of a kind has been idle for a bucket for the idle window.
func (c *Checker) anyIdle(kind, bucket int) bool {
	for i := range c.idleWorkers {
		if (kind == anyKind || kind == i) && len(c.idleWorkers[i][bucket]) > 0 {
			return true
		}
	}
	return false
}
