package dispatch

import (
	"math"
	"time"
)

// The slots of a worker as its coordinator counts them, over all dispatchers, by the design's room rule:
// each worker starts with room for one job; the limit grows by one when a job that it bounded starts
// promptly, and halves on a rejection or failure.

// warmUpLeaseMargin is the part of a warming worker's budget that leases may take. Two coordinators may do
// so at once while dispatchers disagree, and what is sent without a lease takes warmUpMargin more.
const warmUpLeaseMargin = 0.25

// workerSlots are the slots of a worker that all dispatchers have.
type workerSlots struct {
	limit          float64
	leases         int
	used           float64
	running        float64 // of those used, on which an attempt has started
	decreasedAt    time.Duration
	failures       int // in a row, each told by another dispatcher than the one before
	lastFailedPeer int // that has told the last one
	suspension     time.Duration
	suspendedUntil time.Duration
	warmUpWork     workWindow // leased while the worker is warming up
}

// slotsOf is what is known of a worker's slots.
func (c *leaseCoordinator) slotsOf(worker uint64) *workerSlots {
	slots := c.slots[worker]
	if slots == nil {
		slots = &workerSlots{limit: 1}
		c.slots[worker] = slots
	}
	return slots
}

// leaseStarted takes in a prompt start.
func (d *Dispatcher) leaseStarted(lease *grantedLease, slots *workerSlots, worker *workerInfo) {
	if lease.isStarted {
		return
	}
	lease.isStarted = true
	slots.running += lease.demand
	if worker != nil {
		d.observeSlots(worker, slots.running)
	}
	if lease.isLimitBound {
		slots.limit = max(slots.limit, slots.running+lease.demand) + 1
		d.coordinator.nothingFreed = false
	}
}

// leaseIsLate takes in that an attempt has not started promptly: it waits behind others at the worker.
func (d *Dispatcher) leaseIsLate(lease *grantedLease, slots *workerSlots, worker *workerInfo) {
	if lease.grantedAt < slots.decreasedAt { // an older one tells nothing new
		return
	}
	if worker != nil {
		if machine := d.workload.machineKind(worker.Kind); slots.running >= machine.maxSlots {
			machine.lateOverflows++
		}
	}
	slots.decreasedAt = d.now
	slots.limit = max(1, slots.limit-1)
}

// leaseHasEnded takes in the end of an attempt. A worker that fails several in a row is left alone for a
// while.
func (d *Dispatcher) leaseHasEnded(lease *grantedLease, result Result) {
	slots := d.coordinator.slotsOf(lease.worker)
	switch result {
	case OK:
		slots.failures = 0
		slots.suspension = 0
	case WorkerFull, Failed, TimedOut, ConnectFailed, ConnectionReset:
		if lease.grantedAt >= slots.decreasedAt {
			slots.decreasedAt = d.now
			slots.limit = max(1, math.Floor(slots.limit/2))
		}
		if slots.failures > 0 && slots.lastFailedPeer == lease.key.peer { // one alone may be at fault itself
			return
		}
		slots.failures++
		slots.lastFailedPeer = lease.key.peer
		if slots.failures > maxConsecutiveFailures && d.now >= slots.suspendedUntil {
			slots.suspension = min(max(minEjectionTime, 2*slots.suspension), maxEjectionTime)
			slots.suspendedUntil = d.now + slots.suspension
		}
	case Cancelled, NotSent:
	}
}

// warmUpLeaseAllows keeps what is leased of a warming worker under the leases' part of its budget. A
// coordinator that is new does not know yet what others were granted.
func (d *Dispatcher) warmUpLeaseAllows(request *LeaseRequest, worker *workerInfo, slots *workerSlots) bool {
	if d.warmUpShare(worker) >= 1 {
		slots.warmUpWork = nil
		return true
	}
	window := d.settings.OverloadWindow
	if d.now-d.coordinator.since <= window {
		return false
	}
	slots.warmUpWork.expire(window, d.now)
	work := slots.warmUpWork.plus(request.Work, window, d.now)
	return work <= d.warmUpBudget(worker)*warmUpLeaseMargin/warmUpBudgetFraction
}
