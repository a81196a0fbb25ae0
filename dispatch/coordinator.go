package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The coordinator, the side of a dispatcher that leases the slots of a shard's workers to all dispatchers.
// It goes by the design's sentences: requests that have waited for over tau are granted first, the oldest
// of them first; otherwise the lowest score is, ties to the oldest; each gets the ready worker with the
// fewest slots in use, drawn among equals, of those able to start the job now. Only whose slots are counted
// differs: those of all dispatchers.
const (
	waitingRequestExpiry = time.Second            // a request that is not repeated for so long is forgotten
	leaseExpiry          = 4 * time.Second        // a lease that is not reported for so long is free
	reportDelay          = 250 * time.Millisecond // a complete report may predate such a grant
	maxWaiting           = 4096                   // requests; further ones are forgotten
	maxGranted           = 1 << 17                // leases
	minPeersPerTable     = 8                      // the part of one dispatcher is 1/8 at most

	maxLeaseSlots       = 1 << 10 // slots of one lease
	maxLeaseWorkSeconds = 1e6     // seconds of work of one lease
	maxPromoteIn        = time.Hour

	freeSlotsMaxAge = 20 * time.Millisecond // the free slots of a shard are counted again after this
)

// leaseKey names a lease at its coordinator.
type leaseKey struct {
	peer int
	id   LeaseID
}

// leaseCoordinator is what a dispatcher knows of the shards that it coordinates.
type leaseCoordinator struct {
	slots          map[uint64]*workerSlots // by worker
	leases         map[leaseKey]*grantedLease
	grants         []*grantedLease // all of them; each that goes leaves its place to the last
	waiting        []*waitingRequest
	waitingByKey   map[leaseKey]*waitingRequest
	requestedSlots map[Shard]float64 // slots that waiting requests want
	peers          map[int]peerUse
	free           map[Shard]freeSlots
	members        map[Shard][]*workerInfo // nil: the list has changed
	since          time.Duration           // when the first message came; 0: none has
	nothingFreed   bool                    // nothing has become free since waiting requests were last tried
}

// peerUse counts what a dispatcher has of the coordinator's tables.
type peerUse struct{ leases, waiting int }

// freeSlots are the slots of a shard that were free at an instant.
type freeSlots struct {
	countedAt time.Duration
	slots     float64
}

// grantedLease is a lease that a dispatcher has.
type grantedLease struct {
	key          leaseKey
	worker       uint64
	demand       float64 // slots
	position     int     // in slotCoordinator.byGrant
	grantedAt    time.Duration
	reportedAt   time.Duration // last reported
	isLimitBound bool          // the limit was what bound the worker when it was granted
	isStarted    bool
}

// waitingRequest is a request that no worker could be found for.
type waitingRequest struct {
	key        leaseKey
	request    LeaseRequest
	receivedAt time.Duration
	promoteAt  time.Duration
	repeatedAt time.Duration // last repeated
}

func newCoordinator() leaseCoordinator {
	return leaseCoordinator{
		slots:          map[uint64]*workerSlots{},
		leases:         map[leaseKey]*grantedLease{},
		waitingByKey:   map[leaseKey]*waitingRequest{},
		requestedSlots: map[Shard]float64{},
		peers:          map[int]peerUse{},
		free:           map[Shard]freeSlots{},
	}
}

// isValid tells whether the figures of a request make sense: what a peer says may be anything.
func (r *LeaseRequest) isValid(settings *Settings) bool {
	isKnownClass := r.Class >= 0 && r.Class < len(settings.Classes)
	isWork := r.Work >= 0 && r.Work <= maxLeaseWorkSeconds
	return isKnownClass && isLeaseDemand(r.Demand) && isWork && !math.IsNaN(r.LongChance)
}

func isLeaseDemand(demand float64) bool { return demand > 0 && demand <= maxLeaseSlots }

// mayHold tells whether a dispatcher may have one more of a table that has room for so many in all.
func (d *Dispatcher) mayHold(own, all, limit int) bool {
	return all < limit && own < limit/min(max(1, d.settings.Replicas), minPeersPerTable)
}

func (d *Dispatcher) mayHoldLease(peer int) bool {
	return d.mayHold(d.coordinator.peers[peer].leases, len(d.coordinator.leases), maxGranted)
}

func (d *Dispatcher) onLeaseRequest(from int, message LeaseRequest) {
	if !message.isValid(&d.settings) {
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
	if waiting := coordinator.waitingByKey[key]; waiting != nil {
		waiting.repeatedAt = d.now
		waiting.request.Demoted = message.Demoted
	} else if lease := d.grantLease(key, &message); lease != nil {
		d.tellGranted(lease, message.Shard)
		return
	} else {
		d.holdRequest(key, &message)
	}
	d.tell(from, LeaseQueued{ID: message.ID, FreeSlots: d.freeSlotsOf(message.Shard)})
}

// holdRequest has a request wait, if there is room for it and its shard has workers.
func (d *Dispatcher) holdRequest(key leaseKey, request *LeaseRequest) {
	coordinator := &d.coordinator
	hasRoom := d.mayHold(coordinator.peers[key.peer].waiting, len(coordinator.waiting), maxWaiting)
	if !hasRoom || len(d.membersOf(request.Shard)) == 0 {
		return
	}
	held := &waitingRequest{key: key, request: *request, receivedAt: d.now, repeatedAt: d.now}
	held.promoteAt = d.now + min(max(request.PromoteIn, -maxPromoteIn), maxPromoteIn)
	held.request.Excluded = request.Excluded[:min(len(request.Excluded), MaxExcluded)]
	coordinator.waiting = append(coordinator.waiting, held)
	coordinator.waitingByKey[key] = held
	coordinator.requestedSlots[request.Shard] += request.Demand
	coordinator.countFor(key.peer, 0, 1)
}

// countFor counts what a dispatcher has.
func (c *leaseCoordinator) countFor(peer, leases, waiting int) {
	use := c.peers[peer]
	use.leases += leases
	use.waiting += waiting
	c.peers[peer] = use
	if use == (peerUse{}) {
		delete(c.peers, peer)
	}
}

func (d *Dispatcher) tellGranted(lease *grantedLease, shard Shard) {
	free := d.freeSlotsOf(shard)
	d.tell(lease.key.peer, LeaseGranted{ID: lease.key.id, Worker: lease.worker, FreeSlots: free})
}

// grantWaiting grants what waits, in the design's order, as far as slots have become free.
func (d *Dispatcher) grantWaiting() {
	coordinator := &d.coordinator
	if coordinator.nothingFreed || len(coordinator.waiting) == 0 {
		return
	}
	coordinator.nothingFreed = true
	slices.SortStableFunc(coordinator.waiting, d.compareWaiting)
	ungranted := map[requestShape]LeaseRequest{}
	coordinator.withdraw(func(waiting *waitingRequest) bool {
		return d.now-waiting.repeatedAt > waitingRequestExpiry || d.grantHeld(waiting, ungranted)
	})
}

// requestShape is what requests have in common that the same workers may be leased for.
type requestShape struct {
	shard Shard
	group int // of classes
}

// grantHeld grants a request that waits, if it can. ungranted are those that could not be granted since
// slots became free: one that wants as much as the last of its shape can't be either.
func (d *Dispatcher) grantHeld(waiting *waitingRequest, ungranted map[requestShape]LeaseRequest) bool {
	request := &waiting.request
	shape := requestShape{shard: request.Shard, group: d.queue.placementGroups[request.Class]}
	last, hasLast := ungranted[shape]
	if hasLast && request.Demand >= last.Demand && request.Work >= last.Work {
		return false
	}
	lease := d.grantLease(waiting.key, request)
	if lease == nil {
		if len(request.Excluded) == 0 && d.mayHoldLease(waiting.key.peer) {
			ungranted[shape] = *request
		}
		return false
	}
	d.tellGranted(lease, request.Shard)
	return true
}

// compareWaiting is the order in which requests are granted.
func (d *Dispatcher) compareWaiting(a, b *waitingRequest) int {
	rank := d.waitingRank(a)
	if byRank := cmp.Compare(rank, d.waitingRank(b)); byRank != 0 {
		return byRank
	}
	if rank == rankPromoted {
		return cmp.Compare(a.promoteAt, b.promoteAt)
	}
	return cmp.Or(
		cmp.Compare(a.request.LongChance, b.request.LongChance),
		cmp.Compare(a.receivedAt, b.receivedAt),
	)
}

// waitingRank is the first that decides when a request is granted.
type waitingRank int

const (
	rankPromoted waitingRank = iota // it has waited for over tau
	rankByScore
	rankDemoted // its job can't earn in full any more
)

func (d *Dispatcher) waitingRank(waiting *waitingRequest) waitingRank {
	switch {
	case waiting.request.Demoted:
		return rankDemoted
	case waiting.promoteAt < d.now:
		return rankPromoted
	default:
		return rankByScore
	}
}

// grantLease leases slots of the least-occupied worker that can start a job; nil: there is none.
func (d *Dispatcher) grantLease(key leaseKey, request *LeaseRequest) *grantedLease {
	coordinator := &d.coordinator
	if !d.mayHoldLease(key.peer) {
		return nil
	}
	worker := d.chooseLeasedWorker(request)
	if worker == nil {
		return nil
	}
	slots := coordinator.slotsOf(worker.ID)
	isBound := slots.used+request.Demand+1 > slots.limit
	if d.warmUpShare(worker) < 1 {
		slots.warmUpWork = append(slots.warmUpWork, workSample{at: d.now, work: request.Work})
	}
	lease := &grantedLease{
		key:          key,
		worker:       worker.ID,
		demand:       request.Demand,
		grantedAt:    d.now,
		reportedAt:   d.now,
		isLimitBound: isBound,
	}
	coordinator.addLease(lease)
	return lease
}

// chooseLeasedWorker is the least-occupied worker of a shard that can start a job now, drawn among equals
// by speed. Of a large shard it is that of a sample.
func (d *Dispatcher) chooseLeasedWorker(request *LeaseRequest) (chosen *workerInfo) {
	least, weights := 0.0, 0.0
	members := d.membersOf(request.Shard)
	from, count := d.sample(len(members), maxScanned, maxScanned)
	for i := range count {
		worker := members[(from+i)%len(members)]
		slots := d.coordinator.slotsOf(worker.ID)
		if chosen != nil && slots.used > least || !d.canLease(request, worker, slots) {
			continue
		}
		if chosen == nil || slots.used < least {
			least, weights = slots.used, 0
		}
		weights += worker.speed.factor
		if d.rng.Float64()*weights < worker.speed.factor {
			chosen = worker
		}
	}
	return chosen
}

// canLease tells whether a worker may be leased for a job, as far as its coordinator knows.
func (d *Dispatcher) canLease(request *LeaseRequest, worker *workerInfo, slots *workerSlots) bool {
	class := &d.settings.Classes[request.Class]
	if !worker.Ready || d.outliers.isEjected(worker) || d.now < slots.suspendedUntil {
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
		clear(coordinator.free)
		for _, worker := range d.fleet.workers {
			of := d.directory.shardOf(worker)
			coordinator.members[of] = append(coordinator.members[of], worker)
		}
	}
	return coordinator.members[shard]
}

// freeSlotsOf are the slots that a shard has free, less those that are waited for.
func (d *Dispatcher) freeSlotsOf(shard Shard) int {
	members := d.membersOf(shard)
	if len(members) == 0 {
		return 0
	}
	counted, isCounted := d.coordinator.free[shard]
	if !isCounted || d.now-counted.countedAt >= freeSlotsMaxAge {
		counted = freeSlots{countedAt: d.now}
		for _, worker := range members {
			slots := d.coordinator.slotsOf(worker.ID)
			if worker.Ready && d.now >= slots.suspendedUntil {
				counted.slots += max(0, min(slots.limit, d.maxSlots(worker))-slots.used)
			}
		}
		d.coordinator.free[shard] = counted
	}
	return int(counted.slots - d.coordinator.requestedSlots[shard])
}

// onLeaseStarted learns from a start whether a worker has room for more.
func (d *Dispatcher) onLeaseStarted(from int, message LeaseStarted) {
	lease := d.coordinator.leases[leaseKey{peer: from, id: message.ID}]
	if lease == nil {
		return
	}
	slots, worker := d.coordinator.slotsOf(lease.worker), d.fleet.byID[lease.worker]
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
	if coordinator.waitingByKey[key] != nil {
		coordinator.withdraw(func(waiting *waitingRequest) bool { return waiting.key == key })
	}
	lease := coordinator.leases[key]
	if lease == nil {
		return
	}
	d.leaseHasEnded(lease, message.Result)
	coordinator.freeLease(lease)
}

// onLeaseReport brings what is known of a dispatcher's leases in line with what it says. Leases that are
// not known were granted by an earlier coordinator, or their slots were taken without one.
func (d *Dispatcher) onLeaseReport(from int, message LeaseReport) {
	coordinator := &d.coordinator
	if coordinator.since == 0 {
		coordinator.since = d.now
	}
	for _, held := range message.Leases[:min(len(message.Leases), MaxReported)] {
		key := leaseKey{peer: from, id: held.ID}
		lease := coordinator.leases[key]
		if lease == nil {
			if !d.mayHoldLease(from) || !isLeaseDemand(held.Demand) {
				continue
			}
			lease = &grantedLease{key: key, worker: held.Worker, demand: held.Demand, grantedAt: d.now}
			coordinator.addLease(lease)
		}
		if held.Started && !lease.isStarted {
			lease.isStarted = true
			coordinator.slotsOf(lease.worker).running += lease.demand
		}
		lease.reportedAt = d.now
	}
	if message.Complete {
		coordinator.freeWhere(func(lease *grantedLease) bool {
			return lease.key.peer == from && lease.reportedAt != d.now && d.now-lease.grantedAt > reportDelay
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
	coordinator.freeWhere(func(lease *grantedLease) bool { return d.now-lease.reportedAt > leaseExpiry })
	for id, slots := range coordinator.slots {
		if slots.leases == 0 && d.fleet.byID[id] == nil {
			delete(coordinator.slots, id)
		}
	}
	coordinator.nothingFreed = false // workers warm up, and are trusted again
	d.grantWaiting()
}

// withdraw forgets requests that wait.
func (c *leaseCoordinator) withdraw(isMeant func(waiting *waitingRequest) bool) {
	c.waiting = slices.DeleteFunc(c.waiting, func(waiting *waitingRequest) bool {
		if !isMeant(waiting) {
			return false
		}
		shard := waiting.request.Shard
		c.requestedSlots[shard] -= waiting.request.Demand
		if c.requestedSlots[shard] <= 0 {
			delete(c.requestedSlots, shard)
		}
		delete(c.waitingByKey, waiting.key)
		c.countFor(waiting.key.peer, 0, -1)
		return true
	})
}

func (c *leaseCoordinator) addLease(lease *grantedLease) {
	lease.position = len(c.grants)
	c.grants = append(c.grants, lease)
	c.leases[lease.key] = lease
	c.countFor(lease.key.peer, 1, 0)
	slots := c.slotsOf(lease.worker)
	slots.leases++
	slots.used += lease.demand
}

func (c *leaseCoordinator) freeLease(lease *grantedLease) {
	slots := c.slotsOf(lease.worker)
	slots.leases--
	slots.used = max(0, slots.used-lease.demand)
	if lease.isStarted {
		slots.running = max(0, slots.running-lease.demand)
	}
	if slots.leases == 0 { // sums leave a remainder
		slots.used, slots.running = 0, 0
	}
	c.countFor(lease.key.peer, -1, 0)
	last := c.grants[len(c.grants)-1]
	c.grants[lease.position], last.position = last, lease.position
	c.grants[len(c.grants)-1] = nil
	c.grants = c.grants[:len(c.grants)-1]
	delete(c.leases, lease.key)
	c.nothingFreed = false
}

func (c *leaseCoordinator) freeWhere(isOver func(lease *grantedLease) bool) {
	for i := len(c.grants) - 1; i >= 0; i-- { // the last takes the place of each that goes
		if lease := c.grants[i]; isOver(lease) {
			c.freeLease(lease)
		}
	}
}
