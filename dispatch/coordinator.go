package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// The coordinator, the side of a dispatcher that leases the slots of a shard's workers to all dispatchers.
// It goes by the design's sentences: requests that have waited for over tau are granted first, the oldest
// of them first; otherwise the lowest score is, ties to the oldest; each gets the ready worker with the
// fewest slots in use, drawn among equals, of those able to start the job now. Only whose slots are counted
// differs: those of all dispatchers.
const (
	waitingSpan = time.Second            // a request that is not repeated for so long is forgotten
	leaseSpan   = 4 * time.Second        // a lease that is not reported for so long is free
	reportDelay = 250 * time.Millisecond // a complete report may be older than what was granted so long ago
	maxWaiting  = 4096                   // requests; further ones are told that they wait, and are forgotten
	maxGranted  = 1 << 15                // leases
)

// leaseKey names a lease at its coordinator.
type leaseKey struct {
	peer int
	id   LeaseID
}

// slotCoordinator is what a dispatcher knows of the shards that it coordinates.
type slotCoordinator struct {
	slots     map[uint64]*workerSlots // by worker
	leases    map[leaseKey]*grantedLease
	byGrant   []*grantedLease // all of them; each that goes leaves its place to the last
	waiting   []*waitingRequest
	members   map[Shard][]*workerInfo // nil: the list has changed
	since     time.Duration           // when the first message came; 0: none has
	unchanged bool                    // nothing has become free since waiting requests were last tried
}

// grantedLease is a lease that a dispatcher has.
type grantedLease struct {
	key      leaseKey
	worker   uint64
	demand   float64 // slots
	position int     // in slotCoordinator.byGrant
	at       time.Duration
	seenAt   time.Duration // last reported
	bound    bool          // the limit was what bound the worker when it was granted
	started  bool
}

// waitingRequest is a request that no worker could be found for.
type waitingRequest struct {
	key       leaseKey
	request   LeaseRequest
	at        time.Duration
	promoteAt time.Duration
	seenAt    time.Duration // last repeated
}

func newCoordinator() slotCoordinator {
	return slotCoordinator{slots: map[uint64]*workerSlots{}, leases: map[leaseKey]*grantedLease{}}
}

func (d *Dispatcher) onLeaseRequest(from int, message LeaseRequest) {
	if message.Class < 0 || message.Class >= len(d.settings.Classes) || !(message.Demand > 0) {
		return
	}
	coordinator := &d.coordinator
	if coordinator.since == 0 {
		coordinator.since = d.now
	}
	key := leaseKey{peer: from, id: message.ID}
	if lease := coordinator.leases[key]; lease != nil { // its grant was lost, or is on its way
		d.tellGranted(lease, message.Shard)
		return
	}
	if waiting := coordinator.findWaiting(key); waiting != nil {
		waiting.seenAt = d.now
		waiting.request.Demoted = message.Demoted
	} else if lease := d.grantLease(key, &message); lease != nil {
		d.tellGranted(lease, message.Shard)
		return
	} else if len(coordinator.waiting) < maxWaiting {
		coordinator.waiting = append(coordinator.waiting, &waitingRequest{
			key:       key,
			request:   message,
			at:        d.now,
			promoteAt: d.now + message.PromoteIn,
			seenAt:    d.now,
		})
	}
	d.tell(from, LeaseQueued{ID: message.ID, FreeSlots: d.freeSlotsOf(message.Shard)})
}

func (d *Dispatcher) tellGranted(lease *grantedLease, shard Shard) {
	free := d.freeSlotsOf(shard)
	d.tell(lease.key.peer, LeaseGranted{ID: lease.key.id, Worker: lease.worker, FreeSlots: free})
}

func (c *slotCoordinator) findWaiting(key leaseKey) *waitingRequest {
	i := slices.IndexFunc(c.waiting, func(w *waitingRequest) bool { return w.key == key })
	if i < 0 {
		return nil
	}
	return c.waiting[i]
}

// grantWaiting grants what waits, in the design's order, as far as slots have become free.
func (d *Dispatcher) grantWaiting() {
	coordinator := &d.coordinator
	if coordinator.unchanged || len(coordinator.waiting) == 0 {
		return
	}
	coordinator.unchanged = true
	slices.SortStableFunc(coordinator.waiting, d.compareWaiting)
	coordinator.waiting = slices.DeleteFunc(coordinator.waiting, func(w *waitingRequest) bool {
		if d.now-w.seenAt > waitingSpan {
			return true
		}
		lease := d.grantLease(w.key, &w.request)
		if lease == nil {
			return false
		}
		d.tellGranted(lease, w.request.Shard)
		return true
	})
}

// compareWaiting is the order in which requests are granted.
func (d *Dispatcher) compareWaiting(a, b *waitingRequest) int {
	if a.request.Demoted != b.request.Demoted {
		if b.request.Demoted {
			return -1
		}
		return 1
	}
	isPromoted := a.promoteAt < d.now && !a.request.Demoted
	isOtherPromoted := b.promoteAt < d.now && !b.request.Demoted
	switch {
	case isPromoted && isOtherPromoted:
		return cmp.Compare(a.promoteAt, b.promoteAt)
	case isPromoted:
		return -1
	case isOtherPromoted:
		return 1
	}
	return cmp.Or(cmp.Compare(a.request.LongChance, b.request.LongChance), cmp.Compare(a.at, b.at))
}

// grantLease leases slots of the least-occupied worker that can start a job; nil: there is none.
func (d *Dispatcher) grantLease(key leaseKey, request *LeaseRequest) *grantedLease {
	coordinator := &d.coordinator
	worker := d.chooseLeasedWorker(request)
	if worker == nil || len(coordinator.leases) >= maxGranted {
		return nil
	}
	slots := coordinator.slotsOf(worker.ID)
	isBound := slots.used+request.Demand+1 > slots.limit
	if d.warmUpShare(worker) < 1 {
		slots.warmUpSpends = append(slots.warmUpSpends, spend{at: d.now, work: request.Work})
	}
	lease := &grantedLease{
		key:    key,
		worker: worker.ID,
		demand: request.Demand,
		at:     d.now,
		seenAt: d.now,
		bound:  isBound,
	}
	coordinator.addLease(lease)
	return lease
}

// chooseLeasedWorker is the least-occupied worker of a shard that can start a job now, drawn among equals
// by speed.
func (d *Dispatcher) chooseLeasedWorker(request *LeaseRequest) (chosen *workerInfo) {
	least, weights := 0.0, 0.0
	for _, worker := range d.membersOf(request.Shard) {
		slots := d.coordinator.slotsOf(worker.ID)
		if chosen != nil && slots.used > least || !d.canLease(request, worker, slots) {
			continue
		}
		if chosen == nil || slots.used < least {
			least, weights = slots.used, 0
		}
		weights += worker.speed
		if d.rng.Float64()*weights < worker.speed {
			chosen = worker
		}
	}
	return chosen
}

// canLease tells whether a worker may be leased for a job, as far as its coordinator knows.
func (d *Dispatcher) canLease(request *LeaseRequest, worker *workerInfo, slots *workerSlots) bool {
	class := &d.settings.Classes[request.Class]
	if !worker.Ready || d.isEjected(worker) || d.now < slots.suspendedUntil {
		return false
	}
	if !class.allows(worker.Kind, worker.Zone) || slices.Contains(request.Excluded, worker.ID) {
		return false
	}
	hasRoom := slots.used == 0 || slots.used+request.Demand <= min(slots.limit, d.maxSlots(worker))
	return hasRoom && d.warmUpLeaseAllows(request, worker, slots)
}

// membersOf are the workers of a shard, by the list that this dispatcher has.
func (d *Dispatcher) membersOf(shard Shard) []*workerInfo {
	coordinator := &d.coordinator
	if coordinator.members == nil {
		coordinator.members = map[Shard][]*workerInfo{}
		for _, worker := range d.workerList {
			of := d.directory.shardOf(worker)
			coordinator.members[of] = append(coordinator.members[of], worker)
		}
	}
	return coordinator.members[shard]
}

// freeSlotsOf are the slots that a shard has free, less those that are waited for.
func (d *Dispatcher) freeSlotsOf(shard Shard) int {
	free := 0.0
	for _, worker := range d.membersOf(shard) {
		slots := d.coordinator.slotsOf(worker.ID)
		if worker.Ready && d.now >= slots.suspendedUntil {
			free += max(0, min(slots.limit, d.maxSlots(worker))-slots.used)
		}
	}
	for _, waiting := range d.coordinator.waiting {
		if waiting.request.Shard == shard {
			free -= waiting.request.Demand
		}
	}
	return int(free)
}

// onLeaseStarted learns from a start whether a worker has room for more.
func (d *Dispatcher) onLeaseStarted(from int, message LeaseStarted) {
	lease := d.coordinator.leases[leaseKey{peer: from, id: message.ID}]
	if lease == nil {
		return
	}
	slots, worker := d.coordinator.slotsOf(lease.worker), d.workers[lease.worker]
	if message.Prompt {
		d.leaseStarted(lease, slots, worker)
	} else {
		d.leaseIsLate(lease, slots, worker)
	}
}

// onLeaseReleased frees what a dispatcher does not need any more, and learns from how its attempt ended.
func (d *Dispatcher) onLeaseReleased(from int, message LeaseReleased) {
	coordinator := &d.coordinator
	key := leaseKey{peer: from, id: message.ID}
	coordinator.withdraw(func(waiting *waitingRequest) bool { return waiting.key == key })
	lease := coordinator.leases[key]
	if lease == nil {
		return
	}
	d.leaseHasEnded(lease, coordinator.slotsOf(lease.worker), message.Result)
	coordinator.freeLease(lease)
}

// onLeaseReport brings what is known of a dispatcher's leases in line with what it says. Leases that are
// not known were granted by an earlier coordinator, or their slots were taken without one.
func (d *Dispatcher) onLeaseReport(from int, message LeaseReport) {
	coordinator := &d.coordinator
	if coordinator.since == 0 {
		coordinator.since = d.now
	}
	for _, held := range message.Leases {
		key := leaseKey{peer: from, id: held.ID}
		lease := coordinator.leases[key]
		if lease == nil {
			if len(coordinator.leases) >= maxGranted || !(held.Demand > 0) {
				continue
			}
			lease = &grantedLease{key: key, worker: held.Worker, demand: held.Demand, at: d.now}
			coordinator.addLease(lease)
		}
		if held.Started && !lease.started {
			lease.started = true
			coordinator.slotsOf(lease.worker).running += lease.demand
		}
		lease.seenAt = d.now
	}
	if message.Complete {
		coordinator.freeWhere(func(lease *grantedLease) bool {
			return lease.key.peer == from && lease.seenAt != d.now && d.now-lease.at > reportDelay
		})
	}
}

// freeLeasesOf frees all that a dispatcher had.
func (d *Dispatcher) freeLeasesOf(peer int) {
	coordinator := &d.coordinator
	coordinator.withdraw(func(waiting *waitingRequest) bool { return waiting.key.peer == peer })
	coordinator.freeWhere(func(lease *grantedLease) bool { return lease.key.peer == peer })
}

// expireLeases frees what is not reported any more, and forgets workers that are not listed and have no
// lease.
func (d *Dispatcher) expireLeases() {
	coordinator := &d.coordinator
	coordinator.freeWhere(func(lease *grantedLease) bool { return d.now-lease.seenAt > leaseSpan })
	for id, slots := range coordinator.slots {
		if slots.used == 0 && d.workers[id] == nil {
			delete(coordinator.slots, id)
		}
	}
	coordinator.unchanged = false // workers warm up, and are trusted again
	d.grantWaiting()
}

// withdraw forgets requests that wait.
func (c *slotCoordinator) withdraw(isMeant func(waiting *waitingRequest) bool) {
	c.waiting = slices.DeleteFunc(c.waiting, isMeant)
}

func (c *slotCoordinator) addLease(lease *grantedLease) {
	lease.position = len(c.byGrant)
	c.byGrant = append(c.byGrant, lease)
	c.leases[lease.key] = lease
	c.slotsOf(lease.worker).used += lease.demand
}

func (c *slotCoordinator) freeLease(lease *grantedLease) {
	slots := c.slotsOf(lease.worker)
	slots.used = max(0, slots.used-lease.demand)
	if lease.started {
		slots.running = max(0, slots.running-lease.demand)
	}
	last := c.byGrant[len(c.byGrant)-1]
	c.byGrant[lease.position], last.position = last, lease.position
	c.byGrant[len(c.byGrant)-1] = nil
	c.byGrant = c.byGrant[:len(c.byGrant)-1]
	delete(c.leases, lease.key)
	c.unchanged = false
}

func (c *slotCoordinator) freeWhere(isOver func(lease *grantedLease) bool) {
	for i := len(c.byGrant) - 1; i >= 0; i-- { // the last takes the place of each that goes
		if lease := c.byGrant[i]; isOver(lease) {
			c.freeLease(lease)
		}
	}
}
